package engine

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// RunHeader is the response header that a backend server sets to RunNo if it
// refused the request without running any part of it.
const (
	RunHeader = "X-Run"
	RunNo     = "no"
)

// Stage is the point that a failed call reached.
type Stage uint8

// Stages of a call, in the order in which a call passes them.
const (
	// StageUnwritten means that no byte of the request was written.
	StageUnwritten Stage = iota
	// StageRefused means that the server responded that it did not run the request.
	StageRefused
	// StageWritten means that the request may have been written completely or
	// partly, and that no response to it was read.
	StageWritten
	// StageAnswered means that the response header of the server was read.
	StageAnswered
)

// String returns the name of the stage.
func (s Stage) String() string {
	switch s {
	case StageUnwritten:
		return "unwritten"
	case StageRefused:
		return "refused"
	case StageWritten:
		return "written"
	default:
		return "answered"
	}
}

// Kind is the cause of a failed call.
type Kind uint8

// Causes of failed calls.
const (
	// KindInvalid is a call that the client did not send because it is invalid or
	// the client is closed.
	KindInvalid Kind = iota
	// KindConnect is a connection that could not be opened.
	KindConnect
	// KindBroken is a connection that failed before the response header was read.
	KindBroken
	// KindStalled is a call that made no progress within its timeout.
	KindStalled
	// KindCancelled is a call whose context ended.
	KindCancelled
	// KindMismatch is a response with the id of another request.
	KindMismatch
	// KindTruncated is a response that ended before it was complete.
	KindTruncated
	// KindTooLarge is a response, or an event of a stream, over the size limit.
	KindTooLarge
	// KindStatus is a response whose status code reports a failure.
	KindStatus
	// KindFormat is a response that does not follow the protocol.
	KindFormat
)

// String returns the name of the cause.
func (k Kind) String() string {
	names := [...]string{
		"invalid", "connect", "broken", "stalled", "cancelled",
		"mismatch", "truncated", "too_large", "status", "format",
	}
	if int(k) < len(names) {
		return names[k]
	}
	return "kind " + strconv.Itoa(int(k))
}

// Error is the failure of one call to a backend server. All errors of this
// package and of package plain are of this type.
type Error struct {
	Addr  netip.AddrPort
	Stage Stage
	Kind  Kind
	// Status is the status code of the response, 0 without a response.
	Status int
	// RetryAfter is the server's Retry-After, 0 without one.
	RetryAfter time.Duration
	// Body is the start of the response body of an error of KindStatus.
	Body []byte
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("server %s: %s, request %s", e.Addr, e.Kind, e.Stage)
	if e.Status != 0 {
		text += ", status " + strconv.Itoa(e.Status)
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// NotRun reports whether the request certainly did not run: either nothing was
// written, or the server responded so.
func (e *Error) NotRun() bool { return e.Stage <= StageRefused }

// Run returns the value for the Run field of a rejection. It is model.RunNo only if
// nothing was written.
func (e *Error) Run() model.Run {
	if e.Stage == StageUnwritten {
		return model.RunNo
	}
	return model.RunUnknown
}

// AsError returns the Error in the chain of err, or nil.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// Refused reports whether a response states that the request was not run. The
// header is trusted only with the statuses 409, 429 and 503; any other status
// contradicts it.
func Refused(resp *http.Response) bool {
	switch resp.StatusCode {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return resp.Header.Get(RunHeader) == RunNo
	}
	return false
}

// RetryAfter returns the Retry-After of a response, or 0 if it is absent or not a
// whole number of seconds.
func RetryAfter(resp *http.Response) time.Duration {
	n, err := strconv.ParseUint(resp.Header.Get("Retry-After"), 10, 31)
	if err != nil {
		return 0
	}
	return time.Duration(n) * time.Second
}
