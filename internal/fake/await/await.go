// Package await polls for conditions in tests.
package await

import (
	"errors"
	"testing"
	"time"
)

// interval is the time between two checks of a condition.
const interval = 10 * time.Millisecond

// errFalse is the error of a condition of True that does not hold.
var errFalse = errors.New("condition is false")

// For polls until check returns nil, and fails the test after the timeout. The argument
// what names the condition in the failure message.
func For(t testing.TB, timeout time.Duration, what string, check func() error) {
	t.Helper()
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("condition not met within %s: %s: %v", timeout, what, err)
		}
		time.Sleep(interval)
	}
}

// True polls until ok returns true, and fails the test after the timeout.
func True(t testing.TB, timeout time.Duration, what string, ok func() bool) {
	t.Helper()
	For(t, timeout, what, func() error {
		if !ok() {
			return errFalse
		}
		return nil
	})
}
