// Package await waits for outcomes in tests.
package await

import (
	"errors"
	"testing"
	"time"
)

// interval is the time between two looks.
const interval = 10 * time.Millisecond

// errNotYet is the error of a condition that does not hold.
var errNotYet = errors.New("not yet")

// For waits until check returns nil, and fails the test after patience.
func For(t testing.TB, patience time.Duration, what string, check func() error) {
	t.Helper()
	end := time.Now().Add(patience)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s: %v", patience, what, err)
		}
		time.Sleep(interval)
	}
}

// True waits until ok returns true, and fails the test after patience.
func True(t testing.TB, patience time.Duration, what string, ok func() bool) {
	t.Helper()
	For(t, patience, what, func() error {
		if !ok() {
			return errNotYet
		}
		return nil
	})
}
