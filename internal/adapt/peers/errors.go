// Package peers implements the drpc calls between the daemons of different hosts:
// a client with a connection pool per address, a server that dispatches to one
// handler per method, and the TLS certificates of both.
package peers

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/zeebo/errs"
	"storj.io/drpc/drpcerr"
)

// Error classifies the errors of this package.
var Error = errs.Class("peers")

var (
	// ErrBackoff means that an earlier call to the address failed and that it is
	// not dialled again before its backoff ends.
	ErrBackoff = errors.New("address is in back-off")
	// ErrBusy means that Options.MaxConns connections to the address were in use
	// until the context of the call ended.
	ErrBusy = errors.New("all connections to the address are in use")
	// ErrClosed means that the client or the server was closed.
	ErrClosed = errors.New("closed")
)

// codeClosing is the drpc error code of calls that reach a closing server.
const codeClosing = 14

// CallError is the error of every failed call.
type CallError struct {
	Method string
	Addr   netip.AddrPort
	// Sent is false if nothing of the call was written, so the other host can't
	// have acted on it.
	Sent bool
	// Stalled is set if the call timed out without a reply, after a wait long
	// enough to count as a stall of the connection.
	Stalled bool
	Elapsed time.Duration
	Err     error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("%s %s after %s: %v", e.Method, e.Addr, e.Elapsed.Round(time.Millisecond), e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Unimplemented reports whether a call failed because the other host has no
// handler for the method.
func Unimplemented(err error) bool { return drpcerr.Code(err) == drpcerr.Unimplemented }

// NotSent reports whether a call failed before anything was written, so that a
// retry is safe.
func NotSent(err error) bool {
	var e *CallError
	return errors.As(err, &e) && !e.Sent
}

// timedOut reports whether the deadline of ctx has passed or err is a timeout.
func timedOut(ctx context.Context, err error) bool {
	return errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, context.DeadlineExceeded)
}
