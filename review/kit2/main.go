// Command kit2 holds the stand-ins and the cases of the second independent review. It runs the
// daemons of the project as processes, and plays the platform's store, backend servers and callers
// for them.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case could not run
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: kit2 worker FLAGS | kit2 case NAME DIR")
		os.Exit(exitFailed)
	}
	switch os.Args[1] {
	case "worker":
		os.Exit(runWorker(os.Args[2:]))
	case "case":
		os.Exit(runCase(os.Args[2:]))
	}
	fmt.Fprintln(os.Stderr, "kit2: unknown command", os.Args[1])
	os.Exit(exitFailed)
}
