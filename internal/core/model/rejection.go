package model

import (
	"fmt"
	"net/http"
	"time"
)

// Reason is the machine-readable cause of a rejection.
type Reason string

// Reasons of rejections.
const (
	ReasonKeyMissing   Reason = "key_missing"
	ReasonKeyUnknown   Reason = "key_unknown"
	ReasonKeyRevoked   Reason = "key_revoked"
	ReasonRouteUnknown Reason = "route_unknown"
	ReasonRouteDenied  Reason = "route_denied"
	ReasonRegionDenied Reason = "region_denied"
	ReasonRateLimited  Reason = "rate_limited"
	ReasonTooLarge     Reason = "too_large"
	ReasonOverloaded   Reason = "overloaded"
	ReasonDeadline     Reason = "deadline"
	ReasonLeaving      Reason = "leaving"
	ReasonNoServer     Reason = "no_server"
	ReasonStoreDown    Reason = "store_down"
	ReasonKeyReused    Reason = "key_reused"
	ReasonRunning      Reason = "running"
	ReasonUnknown      Reason = "unknown"
	ReasonTruncated    Reason = "truncated"
	ReasonBadRequest   Reason = "bad_request"
	ReasonStale        Reason = "stale"
)

// statuses holds the HTTP status code of each reason.
var statuses = map[Reason]int{
	ReasonKeyMissing:   http.StatusUnauthorized,
	ReasonKeyUnknown:   http.StatusUnauthorized,
	ReasonKeyRevoked:   http.StatusUnauthorized,
	ReasonRouteUnknown: http.StatusNotFound,
	ReasonRouteDenied:  http.StatusForbidden,
	ReasonRegionDenied: http.StatusForbidden,
	ReasonRateLimited:  http.StatusTooManyRequests,
	ReasonTooLarge:     http.StatusRequestEntityTooLarge,
	ReasonOverloaded:   http.StatusServiceUnavailable,
	ReasonDeadline:     http.StatusGatewayTimeout,
	ReasonLeaving:      http.StatusServiceUnavailable,
	ReasonNoServer:     http.StatusServiceUnavailable,
	ReasonStoreDown:    http.StatusServiceUnavailable,
	ReasonKeyReused:    http.StatusUnprocessableEntity,
	ReasonRunning:      http.StatusConflict,
	ReasonUnknown:      http.StatusBadGateway,
	ReasonTruncated:    http.StatusBadGateway,
	ReasonBadRequest:   http.StatusBadRequest,
	ReasonStale:        http.StatusServiceUnavailable,
}

// Run reports whether a rejected request may have run on a backend server.
type Run string

// RunNo means that nothing was written to a backend server. RunUnknown is used
// in all other cases.
const (
	RunNo      Run = "no"
	RunUnknown Run = "unknown"
)

// Rejection is the error response to a request that was not served in full.
type Rejection struct {
	Reason Reason
	Run    Run
	// RetryAfter is the time after which the caller may retry. 0 means that a retry
	// does not help or that the time is not known.
	RetryAfter time.Duration
	// Text is the message for the caller.
	Text string
}

// Reject returns the rejection of a request that did not run on a backend
// server.
func Reject(reason Reason, format string, args ...any) *Rejection {
	return &Rejection{Reason: reason, Run: RunNo, Text: fmt.Sprintf(format, args...)}
}

// Error implements error.
func (r *Rejection) Error() string {
	return string(r.Reason) + ": " + r.Text
}

// WithRetryAfter returns a copy of r with the time after which to retry.
func (r *Rejection) WithRetryAfter(d time.Duration) *Rejection {
	c := *r
	c.RetryAfter = d
	return &c
}

// MayHaveRun returns a copy of r for a request that may have run on a backend
// server.
func (r *Rejection) MayHaveRun() *Rejection {
	c := *r
	c.Run = RunUnknown
	return &c
}

// Status returns the HTTP status code of the rejection.
func (r *Rejection) Status() int {
	if code, ok := statuses[r.Reason]; ok {
		return code
	}
	return http.StatusInternalServerError
}
