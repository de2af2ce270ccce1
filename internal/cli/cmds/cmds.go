// Package cmds implements the subcommands of yuccalb, the operators' command line.
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
	ExitRace        = 3 // another operator changed the configuration first
	ExitUnreachable = 4 // the platform or the host did not answer
)

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// withExitCode returns err with an exit code, or nil if err is nil.
func withExitCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

// CLI defines the commands and flags; kong derives their names from the fields.
type CLI struct {
	Check   CheckCmd   `cmd:"" help:"Check a configuration, as a folder or as a platform's JSON file, and, with --settings, a daemon's settings file. Uses no network without --platform."`
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

// env holds the output streams of a command.
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

// Printf prints to standard output. It ignores write errors, which could not be
// reported anywhere else.
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
		var c *exitError
		if errors.As(err, &c) {
			return c.code
		}
		return ExitFailed
	}
	return ExitOK
}
