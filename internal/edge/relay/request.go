package relay

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/poison"
	"github.com/yuccalb/yuccalb/internal/core/reach"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/edge/fleet"
	"github.com/yuccalb/yuccalb/internal/edge/intake"
	"github.com/yuccalb/yuccalb/internal/edge/ledger"
	"github.com/yuccalb/yuccalb/internal/edge/stats"
	"github.com/yuccalb/yuccalb/platform"
)

// Headers between hosts. They carry the decisions of the first host, which is
// the one that received the request from its caller.
const (
	headerRoute    = "Yuccalb-Route"    // flags of the route, see encodeRoute
	headerService  = "Yuccalb-Service"  // the service that serves the request
	headerOrg      = "Yuccalb-Org"      // the organisation, if any
	headerTimeout  = "Yuccalb-Millis"   // remaining time in milliseconds
	headerUntil    = "Yuccalb-Until"    // the deadline on the receiver's clock, see formatClock
	headerClock    = "Yuccalb-Clock"    // on responses: the clock of the host
	headerPriority = "Yuccalb-Urgency"  // the priority
	headerLevel    = "Yuccalb-Level"    // the priority of the route alone
	headerGoal     = "Yuccalb-Goal"     // the route's latency target for the first byte in ms
	headerProbe    = "Yuccalb-Probe"    // set if the request tests a suspected part of prompts
	headerRecorded = "Yuccalb-Recorded" // the least number for a record of the stream's version, if not 0; on responses how many the host began
	headerVersion  = "Yuccalb-Version"  // the only software version of servers allowed; on responses that of the server
	headerOutcome  = "Yuccalb-Outcome"  // on responses that the host generated itself
	headerFraming  = "Yuccalb-Framing"  // on responses whose server did not mark their end
	headerUnsent   = "Yuccalb-Unsent"   // on refusals: no server was asked either
	headerNoPath   = "Yuccalb-No-Path"  // on refusals: the host does not reach the servers of the service
	outcomeNotRun  = "not-run"          // the request has not run
	outcomeUnknown = "unknown"          // it may have run
)

// request is the state of one request.
type request struct {
	s *Relay
	w http.ResponseWriter
	r *http.Request
	// ctx is that of the attempts, see endAtStop. keepAtStop keeps a response that has
	// begun from being ended earlier than the connections: no answer can be given instead.
	ctx        context.Context
	keepAtStop func() bool

	id      string
	arrived time.Time
	// deadline is the end of the timeout of the caller or the route.
	deadline     time.Time
	route        *spec.Route
	org          *spec.Org
	service      string
	rev          eras.Revision
	keyAge       time.Duration
	body         []byte
	reserved     intake.Body // for the body
	pick         pick.Request
	target       *pick.Request // for the choice of a server in the last attempt: pick, or a stricter one
	parts        []poison.Part // of the prompt, without the last one
	wholePart    poison.Part   // see whole, 0 before the first call
	tokensStated bool
	// forwarded is set when another host forwarded the request. It states the
	// priority and the organisation in headers.
	forwarded         bool
	forwardedPriority int
	forwardedLevel    int
	forwardedOrg      string

	admittedCost  float64 // taken from the rate limit of the organisation
	tally         retry.Tally
	grant         retry.Grant // of the last attempt after the first, or why there is no other
	triedHosts    []netip.AddrPort
	reason        string
	headerWritten bool      // the response header was written to the caller
	eventsPassed  bool      // events of a stream were written as well
	firstByte     time.Time // when the first byte of the response was received
	// lastAttempt is when the last attempt before the first byte began, and sentAt when
	// the last one did.
	lastAttempt time.Time
	sentAt      time.Time
	lastEvent   string // ID of the last event that the caller has
	// lastWrite is when events were last passed on, and pause the longest time between two
	// of these.
	lastWrite     time.Time
	pause         time.Duration
	expected      time.Duration // time to the first byte at dest
	localExpected time.Duration // time to the first byte in the local region
	dest          destination
	server        string
	// framing is that of the last response, and withinEvent is set if this one was a
	// stream that ended within an event.
	framing     string
	withinEvent bool
	// began is set once the response to the last attempt has begun, and connLost if
	// the server closed the connection before the response ended, or refused it.
	began, connLost bool
	// record is that of the version of the stream, while it is being written. Attempts may
	// have written records with numbers below records, of which the host that forwarded
	// the request has given out those below formerRecords. The flag peerRecorded is set if
	// the other host may have begun records in the last attempt, and versionUnknown if the
	// events that the caller has are of an unknown version.
	record                       *ledger.Record
	records, formerRecords       int
	peerRecorded, versionUnknown bool
	// probe is set while the request may be sent although probePart, a part of its
	// prompt or the whole request, is suspected.
	probe     bool
	probePart poison.Part
	// endUnknown is set if the last response ends with its connection, so that its
	// server may have broken it off. endUnmarked is set if the header that was written
	// says so, and endsWithConn if the response to the caller ends with its
	// connection as well.
	endUnknown, endUnmarked, endsWithConn bool
	choice                                pick.Choice // of the last attempt in the local region
	// reached is the state of the path to the servers that the choice of a server went by. The
	// flag cautious is set if only a request that may not run twice went by it.
	reached  reach.State
	cautious bool
	// chosenFrom is the service of choice. A version may leave the service out before the
	// request is sent.
	chosenFrom    *fleet.Service
	entriesReadAt time.Time // when the server list behind choice was read
	// preferred is set if another kind of request can be deferred in favour of this one. It
	// is known, as is pick.Deferrable, once classified is set.
	preferred  bool
	classified bool
	// heldSince is when the request began to wait for room, and holdUntil when it no longer
	// waits; both are zero before it has waited. waited is for how long it has in all, and
	// turnedAway is why it lost its turn, see turnedReason.
	heldSince, holdUntil time.Time
	waited               time.Duration
	turnedAway           string
	// lentBy is the host of the region to which the attempt is sent because it has room,
	// and unsent is set if a host has refused the attempt without asking a server.
	lentBy string
	unsent bool
	// flightFull is set if servers were left out of the last choice because of the large bodies
	// in flight to them.
	flightFull bool
	// refusalInputs are the values that led to a refusal, for its log line.
	refusalInputs []zap.Field
}

func (s *Relay) newRequest(w http.ResponseWriter, r *http.Request) *request {
	q := &request{s: s, reserved: s.bodies.Request(), w: w, r: r, id: r.Header.Get(platform.HeaderAttemptID), arrived: time.Now(), lastEvent: r.Header.Get(platform.HeaderLastEventID)}
	q.pick.Connected = s.servers.HasIdle
	q.setWriteDeadline(time.Time{}) // that of the request before
	return q
}

// path returns the path without percent-decoding, and whether it is valid.
func (q *request) path() (string, bool) {
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	return path, strings.HasPrefix(path, "/")
}

// setDeadline sets the deadline from the timeouts of the caller and the route.
func (q *request) setDeadline() {
	wait := defaultTimeout
	if q.route.Timeout > 0 {
		wait = q.route.Timeout
	}
	if d, ok := platform.ParseMillis(q.r.Header.Get(platform.HeaderDeadline)); ok {
		wait = min(wait, d)
	}
	q.deadline = q.arrived.Add(wait)
}

// remaining returns the time until the deadline.
func (q *request) remaining() time.Duration { return time.Until(q.deadline) }

// readBody reads the whole body before an attempt is made, so that a slow caller
// occupies no slot of a server, and a refused request can be sent to another one.
func (q *request) readBody(limits spec.Limits) *refusal {
	if q.r.Body == nil || q.r.ContentLength == 0 {
		return nil
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	if q.r.ContentLength > limit {
		return &refusal{http.StatusRequestEntityTooLarge, reasonBodyTooLarge, 0}
	}
	control := http.NewResponseController(q.w)
	if err := control.SetReadDeadline(time.Now().Add(max(limits.HeaderTimeout, bodyTimeout))); err != nil {
		q.s.log.Debug("read deadline for body not set", zap.String("id", q.id), zap.Error(err))
	}
	// The rest of a body that is still being read when the host ends its requests is not
	// needed.
	defer context.AfterFunc(q.ctx, func() { _ = control.SetReadDeadline(time.Now()) })()
	most := max(int(readingShare*float64(q.s.maxRunning)), 1)
	if !q.reserved.Begin(most, func() { _ = control.SetReadDeadline(time.Now()) }) { // fails if the connection is closed
		q.w.Header().Set("Connection", "close") // the body is not read
		return &refusal{http.StatusServiceUnavailable, reasonBusy, retryAfterHostState}
	}
	var body bytes.Buffer
	err := q.reserved.Read(&body, http.MaxBytesReader(q.w, q.r.Body, limit), limit)
	evicted := q.reserved.End()
	var tooLarge *http.MaxBytesError
	switch {
	case evicted:
		q.w.Header().Set("Connection", "close") // the rest of the body is not read
		return &refusal{http.StatusServiceUnavailable, reasonBodyEvicted, retryAfterHostState}
	case errors.As(err, &tooLarge):
		return &refusal{http.StatusRequestEntityTooLarge, reasonBodyTooLarge, 0}
	case errors.Is(err, intake.ErrNoMemory):
		q.w.Header().Set("Connection", "close") // the rest of the body is not read
		return &refusal{http.StatusServiceUnavailable, reasonBodyMemory, retryAfterHostState}
	case err != nil && q.aborted():
		return &refusal{http.StatusServiceUnavailable, reasonDraining, retryAfterElsewhere}
	case err != nil:
		return &refusal{http.StatusRequestTimeout, reasonBodyNotRead, 0}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		q.s.log.Debug("read deadline for body not cleared", zap.String("id", q.id), zap.Error(err))
	}
	q.body = body.Bytes()
	return nil
}

// hash returns the value that distributes requests over the targets of a route.
// Requests with the same prompt prefix go to the same target, and so does a stream that the
// caller takes up.
func (q *request) hash() uint64 {
	if prefix := q.pick.Prefix(); prefix != 0 {
		return prefix
	}
	if q.takeUp() {
		return xxhash.Sum64String(q.r.Header.Get(platform.HeaderResumes))
	}
	return xxhash.Sum64String(q.id)
}

// cost returns what the request takes from its organisation's rate limit.
func (q *request) cost() float64 {
	switch {
	case !q.org.ByToken:
		return 1
	case q.tokensStated:
		return float64(q.pick.Prompt + q.pick.Output)
	default:
		return q.org.DefaultTokens
	}
}

// priority returns the priority of the request; 0 is the most urgent.
func (q *request) priority() int {
	if q.forwarded {
		return q.forwardedPriority
	}
	if q.org != nil && q.org.HasPriority {
		return q.org.Priority
	}
	return q.route.Priority
}

// level returns the priority of the route, also if the organisation has one of its own.
func (q *request) level() int {
	if q.forwarded {
		return q.forwardedLevel
	}
	return q.route.Priority
}

// organisation returns the name of the organisation, empty if the request needs no
// key.
func (q *request) organisation() string {
	if q.org != nil {
		return q.org.Name
	}
	return q.forwardedOrg
}

// finish records the end of the request in metrics and the log, and refunds the
// rate limit if no attempt may have run.
func (q *request) finish(outcome string, status int) {
	service := q.service
	if service == "" {
		service = "none"
	}
	if q.admittedCost > 0 && q.tally.Ran == 0 {
		q.s.fleet.Limiter().Refund(q.org.Name, q.admittedCost)
	}
	took := time.Since(q.arrived)
	q.s.stats.Request(service, outcome, q.reason, took)
	if !q.firstByte.IsZero() {
		q.recordFirstByte(service)
	}
	log := q.s.log.Requests
	if outcome == "served" {
		q.s.lengths.Record(q.lengthKey(), took)
		log = q.s.log.Served
	}
	if e := log.Check(zap.InfoLevel, "request "+outcome); e != nil {
		e.Write(append(q.logFields(), zap.Int("status", status), zap.String("reason", q.reason), zap.Duration("took", took))...)
	}
}

// recordFirstByte records the time to the first byte and its parts.
func (q *request) recordFirstByte(service string) {
	m := q.s.stats
	m.FirstByte(service, q.firstByte.Sub(q.arrived))
	m.FirstBytePart(service, stats.PartRetry, q.lastAttempt.Sub(q.arrived))
	rest := q.firstByte.Sub(q.lastAttempt)
	if q.dest.region != "" {
		m.FirstBytePart(service, stats.PartRegion, rest)
		return
	}
	prefill := min(q.choice.PrefillTime, rest)
	m.FirstBytePart(service, stats.PartPrefill, prefill)
	m.FirstBytePart(service, stats.PartQueue, rest-prefill)
}

// logFields returns the values that led to the decisions on the request.
func (q *request) logFields() []zap.Field {
	fields := []zap.Field{
		zap.String("id", q.id), zap.String("service", q.service), zap.Stringer("config", q.rev), zap.Duration("key_age", q.keyAge),
		zap.Int("prompt", q.pick.Prompt), zap.Int("shared", q.pick.Shared()), zap.Int("output", q.pick.Output),
		zap.Int("sends", q.tally.Sends), zap.Int("ran", q.tally.Ran), zap.Bool("forwarded", q.forwarded),
		zap.String("server", q.server), zap.String("region", q.dest.region), zap.Duration("expected", q.expected),
		zap.Int("running", q.choice.Load.Running), zap.Int("unread", q.choice.Load.Unread), zap.Bool("cached", q.choice.Cached),
	}
	if !q.deadline.IsZero() {
		fields = append(fields, zap.Duration("left", q.remaining()))
	}
	if !q.entriesReadAt.IsZero() {
		fields = append(fields, zap.Duration("list_age", time.Since(q.entriesReadAt)))
	}
	if !q.firstByte.IsZero() {
		fields = append(fields, zap.Duration("first", q.firstByte.Sub(q.arrived)), zap.Duration("retried_for", q.lastAttempt.Sub(q.arrived)), zap.Duration("read", q.choice.PrefillTime))
	}
	if q.pause > 0 {
		fields = append(fields, zap.Duration("pause", q.pause))
	}
	if q.grant != "" {
		fields = append(fields, zap.String("retry", string(q.grant)))
	}
	if q.lentBy != "" {
		fields = append(fields, zap.String("lender", q.lentBy))
	}
	if q.reached != reach.Reached {
		fields = append(fields, zap.Stringer("path", q.reached))
	}
	if q.choice.Limited {
		fields = append(fields, zap.Float64("limit", q.choice.Limit))
	}
	if q.choice.Version != "" {
		fields = append(fields, zap.String("version", q.choice.Version))
	}
	if id := q.r.Header.Get(platform.HeaderResumes); id != "" {
		fields = append(fields, zap.String("resumes", id))
	}
	if q.lastEvent != "" {
		fields = append(fields, zap.String("last_event", q.lastEvent))
	}
	if q.framing != "" {
		fields = append(fields, zap.String("framing", q.framing))
	}
	if q.withinEvent {
		fields = append(fields, zap.Bool("within_event", true))
	}
	if q.route != nil {
		fields = append(fields, zap.String("route", q.route.Name), zap.Int("priority", q.priority()))
	}
	if q.waited > 0 {
		fields = append(fields, zap.Duration("waited", q.waited))
	}
	if org := q.organisation(); org != "" {
		fields = append(fields, zap.String("org", org))
	}
	return append(fields, q.refusalInputs...)
}
