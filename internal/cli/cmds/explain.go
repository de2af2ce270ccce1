package cmds

import (
	"fmt"
	"os"

	"github.com/yuccalb/yuccalb/internal/edge/events"
)

// ExplainCmd prints the history of one request from the logs of hosts.
type ExplainCmd struct {
	ID    string   `arg:"" help:"Identifier of the request."`
	Files []string `arg:"" help:"Logs of one or more hosts, JSON lines." type:"existingfile"`
}

// Run executes the command. It fails if no log line has the request identifier.
func (c *ExplainCmd) Run(e *env) error {
	var l events.Log
	for _, name := range c.Files {
		if err := readLog(e, &l, name); err != nil {
			return withExitCode(ExitInput, err)
		}
	}
	n, err := l.Write(e.out, c.ID)
	if err != nil {
		return err
	}
	if n == 0 {
		return fmt.Errorf("explain: no log line has the request identifier %s: sampling may have omitted the request, or the log of its host is missing", c.ID)
	}
	return nil
}

// readLog adds the lines of a log file to l and reports skipped lines to standard
// error.
func readLog(e *env, l *events.Log, name string) error {
	f, err := os.Open(name)
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	defer f.Close()
	skipped, err := l.Read(f)
	if err != nil {
		return fmt.Errorf("explain: %s: %w", name, err)
	}
	if skipped > 0 {
		fmt.Fprintf(e.err, "explain: %s: skipped %d lines that are not JSON objects\n", name, skipped)
	}
	return nil
}
