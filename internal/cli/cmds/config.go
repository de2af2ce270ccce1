package cmds

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/store"
	"github.com/yuccalb/yuccalb/internal/core/config"
	"github.com/yuccalb/yuccalb/internal/core/model"
)

// readFolder reads and validates a configuration folder.
func readFolder(dir string) (*model.Config, error) {
	cfg, err := config.Read(os.DirFS(dir))
	if err != nil {
		return nil, withExitCode(ExitInput, fmt.Errorf("configuration %s:\n%w", dir, err))
	}
	return cfg, nil
}

// Platform holds the flags of commands that use the platform's key-value service.
type Platform struct {
	Platform string        `help:"Base URL of the platform." required:"" env:"YUCCALB_PLATFORM"`
	Timeout  time.Duration `help:"Time to keep trying while the platform does not answer." default:"30s"`
}

// open returns a client of the key-value service and a context with the timeout.
func (p *Platform) open() (*store.Client, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), p.Timeout)
	return store.New(p.Platform, nil), ctx, cancel
}

// inForce returns the configuration in force, or nil if there is none.
func (p *Platform) inForce() (*model.Config, error) {
	kv, ctx, cancel := p.open()
	defer cancel()
	defer kv.Close()
	current, err := store.Load(ctx, kv)
	if err != nil {
		return nil, withExitCode(ExitUnreachable, fmt.Errorf("read the configuration in force: %w", err))
	}
	if current == nil {
		return nil, nil
	}
	return current.Snapshot.Config, nil
}

// DiffCmd shows what apply would change.
type DiffCmd struct {
	Dir string `arg:"" help:"Configuration folder." type:"existingdir"`
	Platform
}

// Run executes the command.
func (c *DiffCmd) Run(e *env) error {
	cfg, err := readFolder(c.Dir)
	if err != nil {
		return err
	}
	old, err := c.inForce()
	if err != nil {
		return err
	}
	e.Printf("%s", config.Diff(old, cfg))
	return nil
}

// ApplyCmd puts a configuration in force.
type ApplyCmd struct {
	Dir string `arg:"" help:"Configuration folder." type:"existingdir"`
	Platform
	Expect uint64 `help:"Apply only when this version is in force; 0 means any." default:"0"`
	JSON   bool   `help:"Print JSON."`
}

// applyResult is the JSON output of ApplyCmd.
type applyResult struct {
	Version  uint64 `json:"version"`
	Digest   string `json:"digest"`
	Segments int    `json:"segments"`
	Bytes    int    `json:"bytes"`
	Changed  bool   `json:"changed"`
}

// Run executes the command.
func (c *ApplyCmd) Run(e *env) error {
	cfg, err := readFolder(c.Dir)
	if err != nil {
		return err
	}
	kv, ctx, cancel := c.open()
	defer cancel()
	defer kv.Close()
	p, err := store.Publish(ctx, kv, cfg, rand.Text(), c.Expect)
	var conflict *store.PublishConflictError
	switch {
	case errors.Is(err, store.ErrNoChange):
		if c.JSON {
			return e.JSON(applyResult{})
		}
		e.Printf("nothing to change: this configuration is already in force\n")
		return nil
	case errors.As(err, &conflict):
		return withExitCode(ExitRace, fmt.Errorf("another operator changed the configuration first: version %d is in force and this change was not applied; review that version and apply again", conflict.Version))
	case errors.Is(err, store.ErrOutcomeUnknown):
		return withExitCode(ExitUnreachable, fmt.Errorf("the platform stopped answering, so it is unknown whether the change took effect; run diff when the platform answers again: %w", err))
	case err != nil:
		return withExitCode(ExitUnreachable, fmt.Errorf("configuration not applied, nothing was changed: %w", err))
	}
	result := applyResult{Version: p.Version, Digest: p.Digest, Segments: p.Segments, Bytes: p.Bytes, Changed: true}
	if c.JSON {
		return e.JSON(result)
	}
	e.Printf("version %d is accepted (%d segments, %d bytes); hosts put it in force within 4 s\n", result.Version, result.Segments, result.Bytes)
	return nil
}

// KeyCmd groups the key commands.
type KeyCmd struct {
	New KeyNewCmd `cmd:"" help:"Create a key: its text is printed once, the configuration holds its hash."`
}

// KeyNewCmd creates a key and prints the configuration entry with its hash.
type KeyNewCmd struct {
	Org  string `arg:"" help:"Organisation that the key is for."`
	Note string `help:"Note that says where the key is used."`
	JSON bool   `help:"Print JSON."`
}

// Run executes the command.
func (c *KeyNewCmd) Run(e *env) error {
	text := model.NewKey()
	hash := model.HashKey(text)
	if c.JSON {
		return e.JSON(struct {
			Key  string        `json:"key"`
			Hash model.KeyHash `json:"hash"`
			Org  string        `json:"org"`
		}{text, hash, c.Org})
	}
	fmt.Fprintf(e.err, "key (shown only now): %s\n", text)
	e.Printf("amend:\n  organisations:\n    - name: %s\n      keys:\n        - {hash: %s, note: %q}\n", c.Org, hash, c.Note)
	return nil
}
