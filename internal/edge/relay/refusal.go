package relay

import (
	"math/rand/v2"
	"time"

	"github.com/yuccalb/yuccalb/platform"
)

// refusal is a response that the gateway generates instead of a server.
type refusal struct {
	status int
	reason string
	// retryAfter is when the caller should retry; 0 sends no Retry-After.
	retryAfter time.Duration
}

// Reasons of outcomes other than a success, in logs and metrics.
const (
	reasonBusy            = "too many requests in progress"
	reasonDraining        = "host stops"
	reasonNoConfig        = "no configuration"
	reasonKeysUnconfirmed = "keys not confirmed"
	reasonNoRoute         = "no route"
	reasonUnknownKey      = "unknown key"
	reasonBadRequest      = "bad request"
	reasonTokens          = "token counts out of range"
	reasonBodyTooLarge    = "body too large"
	reasonBodyMemory      = "no memory for bodies"
	reasonBodyEvicted     = "body too slow for its memory"
	reasonInFlight        = "large bodies in flight to servers"
	reasonBodyNotRead     = "body not read"
	reasonOrgLimit        = "organisation over its limit"
	reasonNoServer        = "no server"
	reasonNoPath          = "no path to servers"
	reasonRetryAfter      = "servers want no requests"
	reasonServerLimit     = "servers limit requests"
	reasonNoRoom          = "no room at servers"
	reasonPoison          = "prompt part crashes servers"
	reasonPoisonRequest   = "request crashes servers"
	reasonVersionGone     = "no server of the stream's version"
	reasonNotRecorded     = "version of the stream not recorded"
	reasonVersionUnknown  = "version of the stream unknown"
	reasonServiceUnknown  = "service of the stream unknown"
	reasonListOld         = "list of servers too old"
	reasonProcess         = "process of server not known"
	reasonTooLate         = "deadline can't be met"
	reasonNotRun          = "refused by servers"
	reasonTimeout         = "timeout"
	reasonConnBroken      = "connection to server broken"
	reasonNoAnswer        = "no answer"
	reasonServerError     = "server error"
	reasonTruncated       = "response cut"
	reasonBegunAgain      = "stream begun again"
	reasonEndUnknown      = "end of response unknown"
	reasonDisconnected    = "caller left"
)

// Values of Retry-After for refused callers.
const (
	// retryAfterHostState is for refusals because of the state of this host, such
	// as a missing configuration.
	retryAfterHostState = time.Second
	// retryAfterBusy is for refusals because of the load or state of servers.
	retryAfterBusy = 300 * time.Millisecond
	// retryAfterElsewhere is for refusals that other hosts of the region need not
	// make.
	retryAfterElsewhere = 20 * time.Millisecond
)

// Reasons for which requests are turned away for lack of capacity, in metrics.
const (
	turnedFull      = "queue full" // no place to wait
	turnedDisplaced = "displaced"  // another request took the place
	turnedWaited    = "waited"     // no room within the time for which it may wait
	turnedLate      = "late"       // the response would begin too late
	turnedLimit     = "limit"      // servers state a limit or a pause
	turnedServer    = "server"     // servers refused it
	turnedInFlight  = "in flight"  // large bodies in flight to servers
)

// turnedReason returns the reason for which a refusal turns the request away for lack of
// capacity, or an empty string if it is refused for something else.
func (q *request) turnedReason(ref *refusal) string {
	switch ref.reason {
	case reasonNoRoom:
		return q.turnedAway
	case reasonTooLate:
		return turnedLate
	case reasonServerLimit, reasonRetryAfter:
		return turnedLimit
	case reasonNotRun:
		return turnedServer
	case reasonInFlight:
		return turnedInFlight
	}
	return ""
}

// refuse sends a refusal to the caller.
func (q *request) refuse(ref *refusal) {
	q.reason = ref.reason
	if reason := q.turnedReason(ref); reason != "" {
		q.s.stats.TurnedAway(q.service, q.priority(), reason)
	}
	h := q.w.Header()
	if q.id != "" {
		h.Set(platform.HeaderAttemptID, q.id)
	}
	if ref.retryAfter > 0 {
		// Jitter keeps refused callers from retrying at the same time.
		spread := 1 + rand.Float64()/2
		h.Set("Retry-After", formatRetryAfter(time.Duration(float64(ref.retryAfter)*spread)))
	}
	if q.forwarded {
		q.setPeerOutcome(ref.status)
	}
	q.closeIfDraining()
	q.boundWrites()
	h.Set("Content-Length", "0")
	q.w.WriteHeader(ref.status)
	q.finish("refused", ref.status)
}
