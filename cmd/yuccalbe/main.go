// Command yuccalbe is the daemon of a gateway host on a platform whose store
// holds the configuration.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/edge/boot"
	"github.com/yuccalb/yuccalb/internal/edge/entry"
	"github.com/yuccalb/yuccalb/internal/edge/logs"
	"github.com/yuccalb/yuccalb/platform"
)

// Exit codes of the daemon.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// args holds the command line arguments.
type args struct {
	Settings string `arg:"" optional:"" env:"${settings}" help:"Settings file (YAML)."`
	Check    bool   `help:"Check the settings and exit."`
	Debug    bool   `help:"Log debug messages."`
}

func main() {
	var a args
	kong.Parse(&a, kong.Name("yuccalbe"), kong.Vars{"settings": platform.SettingsVariable}, kong.Description("Gateway daemon for a platform whose store holds the configuration. It stops gracefully on SIGTERM or SIGINT and reads its settings again on SIGHUP."))
	os.Exit(run(a))
}

// run runs the daemon and returns the exit code of the process.
func run(a args) int {
	settings, err := boot.Load(a.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "yuccalbe:", err)
		return exitSettings
	}
	if a.Check {
		return exitOK
	}
	w := logs.NewWriter(os.Stdout)
	defer func() { _ = w.Close() }() // always nil
	log := logs.New(w, settings.Host, a.Debug)
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	e, err := entry.Start(settings, log)
	if err != nil {
		log.Error("start failed", zap.Error(err))
		return exitFailed
	}
	return wait(a, e, signals, log)
}

// wait reloads the settings on each SIGHUP, stops the daemon on any other signal and
// returns the exit code.
func wait(a args, e *entry.Entry, signals <-chan os.Signal, log *logs.Logger) int {
	for s := range signals {
		if s == syscall.SIGHUP {
			reload(a, e, log)
			continue
		}
		log.Info("stopping", zap.Stringer("signal", s))
		break
	}
	if err := e.Close(context.Background()); err != nil {
		log.Error("stopped with an error", zap.Error(err))
		return exitFailed
	}
	log.Info("stopped")
	return exitOK
}

// reload applies the settings file again, unless it is invalid.
func reload(a args, e *entry.Entry, log *logs.Logger) {
	settings, err := boot.Load(a.Settings)
	if err != nil {
		log.Error("settings not reloaded", zap.Error(err))
		return
	}
	e.Reload(settings)
}
