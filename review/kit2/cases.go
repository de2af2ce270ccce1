package main

import (
	"errors"
	"fmt"
	"os"
)

// verdict is the result of a case: whether the rule was broken.
type verdict struct{ broken bool }

var cases = map[string]func(w *world) (verdict, error){
	"zone":  caseZone,
	"spot":  caseSpot,
	"hot":   caseHot,
	"back":  caseBack,
	"crowd": caseCrowd,
}

// runCase runs a case and returns the exit code.
func runCase(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: kit2 case NAME DIR")
		return exitFailed
	}
	w, err := newWorld(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "kit2:", err)
		return exitFailed
	}
	defer w.close()
	v, err := cases[args[0]](w)
	switch {
	case err != nil:
		w.logf("%v", errors.Join(errFailed, err))
		fmt.Fprintln(os.Stderr, "kit2:", err)
		return exitFailed
	case v.broken:
		w.logf("result: the rule was broken")
		return exitBroken
	}
	w.logf("result: the rule held")
	return exitHeld
}
