// Command stand plays the cases of the review: it starts the daemon's processes with
// stand-ins for the platform's store, workers and clients, and checks one rule.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes: the rule held, it was broken, or the case couldn't be played.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// play is what a case needs: its record, and whether the disruption is left out.
type play struct {
	mu      sync.Mutex
	file    *os.File
	began   time.Time
	trouble bool
}

// record writes a line with the time since the start of the play.
func (p *play) record(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.file, "%8.3f "+format+"\n", append([]any{time.Since(p.began).Seconds()}, args...)...)
}

// cases are the cases by name. Each reports whether its rule was broken.
var cases = map[string]func(*play) (bool, error){
	"drain":  playDrain,
	"pause":  playPause,
	"quota":  playQuota,
	"revoke": playRevoke,
}

func main() { os.Exit(run(os.Args[1:])) }

// Values of the second argument: whether the disruption is played or left out.
const (
	withDisruption    = "with"
	withoutDisruption = "without"
)

// run plays the case named by the first argument, with or without its disruption as the second
// one says, and writes the record named by the third.
func run(args []string) int {
	if len(args) != 3 || cases[args[0]] == nil || args[1] != withDisruption && args[1] != withoutDisruption {
		fmt.Fprintln(os.Stderr, "usage: stand CASE with|without RECORD")
		return exitFailed
	}
	f, err := os.Create(args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return exitFailed
	}
	defer func() { _ = f.Close() }() // a short record shows in the file
	p := &play{file: f, began: time.Now(), trouble: args[1] == withDisruption}
	p.record("case %s, disruption %v", args[0], p.trouble)
	broken, err := cases[args[0]](p)
	switch {
	case err != nil:
		p.record("the case couldn't be played: %v", err)
		fmt.Fprintln(os.Stderr, "stand:", err)
		return exitFailed
	case broken:
		p.record("the rule was broken")
		return exitBroken
	}
	p.record("the rule held")
	return exitHeld
}
