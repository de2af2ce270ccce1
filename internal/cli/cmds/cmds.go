// Package cmds holds the commands of the operators' command line.
package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/alecthomas/kong"
)

// Exit codes of the command line.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitInput       = 2 // bad arguments, files or configuration
	ExitRace        = 3 // another operator's change was first
	ExitUnreachable = 4 // the platform or the host did not answer
)

// coded is an error with the exit code that it stands for.
type coded struct {
	code int
	err  error
}

func (e *coded) Error() string { return e.err.Error() }
func (e *coded) Unwrap() error { return e.err }

// exit gives err an exit code; a nil error stays nil.
func exit(code int, err error) error {
	if err == nil {
		return nil
	}
	return &coded{code: code, err: err}
}

// CLI is the command line.
type CLI struct {
	Check   CheckCmd   `cmd:"" help:"Check a configuration folder and, with --settings, a daemon's settings file. Uses no network."`
	Apply   ApplyCmd   `cmd:"" help:"Put the configuration of a folder in force everywhere."`
	Diff    DiffCmd    `cmd:"" help:"Show what apply would change."`
	Status  StatusCmd  `cmd:"" help:"Show what one host knows: version, peers, data centres, backend servers."`
	Hosts   HostsCmd   `cmd:"" help:"Show the hosts that callers are told to use."`
	Key     KeyCmd     `cmd:"" help:"Create keys."`
	Cert    CertCmd    `cmd:"" help:"Create the fleet's certificate authority and the certificates of its hosts."`
	Drain   DrainCmd   `cmd:"" help:"Begin the planned stop of a host; it exits when its requests have ended."`
	Order   OrderCmd   `cmd:"" help:"Order an engine to load a model, an adapter or a version, or to change its role."`
	Send    SendCmd    `cmd:"" help:"Send one request as a caller and print the response as it arrives."`
	Load    LoadCmd    `cmd:"" help:"Send chats at a given rate and report times and rejections."`
	Replay  ReplayCmd  `cmd:"" help:"Replay a recorded trace on a model of one data centre (12 servers, 8 hosts) and print the figures of a routing policy."`
	Explain ExplainCmd `cmd:"" help:"Print the history of one request from the logs of hosts."`
	Demo    DemoCmd    `cmd:"" help:"Run two regions with three hosts and stand-ins in this process and send a chat, a look-up and a booking."`
	Fake    FakeCmd    `cmd:"" help:"Run a stand-in for the platform, a model engine or a plain service."`
}

// env is where commands print.
type env struct {
	out io.Writer
	err io.Writer
}

// JSON prints v as indented JSON.
func (e *env) JSON(v any) error {
	enc := json.NewEncoder(e.out)
	enc.SetIndent("", "  ")
	if err := enc.Encode(v); err != nil {
		return fmt.Errorf("print JSON: %w", err)
	}
	return nil
}

// Printf prints to standard output. A failing output has no better place to
// be reported.
func (e *env) Printf(format string, args ...any) {
	fmt.Fprintf(e.out, format, args...)
}

// Run parses args, runs the command and returns the exit code.
func Run(args []string, stdout, stderr io.Writer) int {
	e := &env{out: stdout, err: stderr}
	code, exited := ExitOK, false
	parser, err := kong.New(&CLI{},
		kong.Name("yuccalb"),
		kong.Description("Operators' command line of the yuccalb inference gateway. Exit codes: 0 success, 1 failure, 2 invalid input, 3 lost a race, 4 unreachable."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(c int) { code, exited = c, true }),
		kong.UsageOnError(),
		kong.Bind(e),
	)
	if err != nil {
		fmt.Fprintln(stderr, "yuccalb:", err)
		return ExitFailed
	}
	kctx, err := parser.Parse(args)
	if exited {
		return code
	}
	if err != nil {
		fmt.Fprintln(stderr, "yuccalb:", err)
		return ExitInput
	}
	if err := kctx.Run(e); err != nil {
		fmt.Fprintln(stderr, "yuccalb:", err)
		var c *coded
		if errors.As(err, &c) {
			return c.code
		}
		return ExitFailed
	}
	return ExitOK
}
