// Package send sends requests to backend servers and other hosts over pooled
// connections. It writes a request at most once and never retries it. Responses
// are matched to requests by the ID that the server echoes.
package send

import (
	"fmt"
	"net/netip"
)

// Stage is how far a failed call got.
type Stage int

// Stages. If a call failed in StageConnect, nothing was written. In all other
// stages the server may have run the request.
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

// Error is the error of a call that got no response.
type Error struct {
	Stage Stage
	Addr  netip.AddrPort
	// Reused is set when the connection had been used by earlier requests.
	Reused bool
	Err    error
}

// Error describes the failure.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Stage, e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
