package store

import (
	"errors"
	"fmt"
)

// Errors of calls, to be tested with errors.Is. Each failed call matches exactly
// one of them and may also match the error of its context.
var (
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("not found")
	// ErrConflict means that the key has another version than expected and that
	// nothing was written. The error is a *ConflictError, which has the version.
	ErrConflict = errors.New("conflict")
	// ErrUnavailable means that there was no usable response and that nothing was
	// written.
	ErrUnavailable = errors.New("store unavailable, nothing written")
	// ErrOutcomeUnknown means that a write was sent but that it is unknown whether it
	// took effect.
	ErrOutcomeUnknown = errors.New("store outcome unknown")
	// ErrRejected means that the service rejected the request as invalid.
	ErrRejected = errors.New("request refused")
	// ErrUnchanged is returned by Watch if the key did not change in time.
	ErrUnchanged = errors.New("unchanged")
)

// ConflictError is a failed compare-and-swap. It matches ErrConflict.
type ConflictError struct {
	Key string
	// Version is the current version of the key, 0 if it does not exist.
	Version uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("conflict: key %s has version %d", e.Key, e.Version)
}

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// callError is the error of a call without a usable response.
type callError struct {
	kind  error // ErrUnavailable, ErrOutcomeUnknown or ErrRejected
	cause error
}

func (e *callError) Error() string   { return e.kind.Error() + ": " + e.cause.Error() }
func (e *callError) Unwrap() []error { return []error{e.kind, e.cause} }
