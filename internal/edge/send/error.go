// Package send sends requests to backend servers and other hosts over pooled
// connections. A request is written at most once: nothing in this package
// repeats it. Responses are matched by the identifier that the server echoes.
package send

import (
	"fmt"
	"net/netip"
)

// Stage is how far a failed call got.
type Stage int

// Stages. After StageConnect nothing was written; in all others the server
// may have run the request.
const (
	StageConnect Stage = iota
	StageWrite
	StageWait
)

// String returns the name of the stage.
func (s Stage) String() string {
	switch s {
	case StageConnect:
		return "connect"
	case StageWrite:
		return "write"
	default:
		return "wait"
	}
}

// Error is a call that brought no response.
type Error struct {
	Stage Stage
	Addr  netip.AddrPort
	// Reused is set when the connection had served other requests before.
	Reused bool
	Err    error
}

// Error describes the failure.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Stage, e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
