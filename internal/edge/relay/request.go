package relay

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/edge/stats"
	"github.com/yuccalb/yuccalb/platform"
)

// Headers between hosts. They carry what the first host has decided.
const (
	headerRoute    = "Yuccalb-Route"   // flags of the route, see encodeRoute
	headerService  = "Yuccalb-Service" // the service that the route leads to
	headerOrg      = "Yuccalb-Org"     // the organisation, if any
	headerUntil    = "Yuccalb-Millis"  // what is left until the timeout
	headerUrgency  = "Yuccalb-Urgency" // the priority
	headerGoal     = "Yuccalb-Goal"    // the goal of the route in milliseconds
	headerOutcome  = "Yuccalb-Outcome" // on responses that no server gave
	outcomeNotRun  = "not-run"         // the request has not run
	outcomeUnknown = "unknown"         // it may have run
)

// request is one request on its way through the gateway.
type request struct {
	s *Relay
	w http.ResponseWriter
	r *http.Request

	id      string
	arrived time.Time
	// until is when the caller, or the route, gives up.
	until    time.Time
	route    *spec.Route
	org      *spec.Org
	service  string
	rev      eras.Revision
	keyAge   time.Duration
	body     []byte
	reserved reservation // for the body
	pick     pick.Request
	tokens   bool
	// forwarded is set when another host sent the request.
	forwarded bool
	urgency   int
	orgName   string

	taken  float64 // from the limit of the organisation
	tally  retry.Tally
	tried  []netip.AddrPort
	reason string
	began  bool      // the response's header was written
	first  time.Time // of the response's first byte
	// attempted is when the last attempt before the first byte began.
	attempted time.Time
	lastID    string // of the last event passed on
	expected  time.Duration
	own       time.Duration // expected of the own region
	place     place
	server    string
	choice    pick.Choice // of the last attempt in the own region
	listed    time.Time   // when the entries that decided were read
	// inputs are what decided on a refusal, for its log line.
	inputs []zap.Field
}

func (s *Relay) newRequest(w http.ResponseWriter, r *http.Request) *request {
	q := &request{s: s, reserved: reservation{limit: &s.bodies}, w: w, r: r, id: r.Header.Get(platform.HeaderID), arrived: time.Now(), lastID: r.Header.Get(platform.HeaderResume)}
	q.pick.Connected = s.servers.Connected
	return q
}

// path returns the undecoded path.
func (q *request) path() (string, bool) {
	path, _, _ := strings.Cut(q.r.RequestURI, "?")
	return path, strings.HasPrefix(path, "/")
}

// bound sets the end of the request from the caller's and the route's limits.
func (q *request) bound() {
	wait := defaultWait
	if q.route.Timeout > 0 {
		wait = q.route.Timeout
	}
	if d, ok := platform.ParseMillis(q.r.Header.Get(platform.HeaderDeadline)); ok {
		wait = min(wait, d)
	}
	q.until = q.arrived.Add(wait)
}

// left returns the time until the end of the request.
func (q *request) left() time.Duration { return time.Until(q.until) }

// readBody reads the whole body, so that a slow caller takes no place at a
// server and a refused request can be sent to another one.
func (q *request) readBody(limits spec.Limits) *refusal {
	if q.r.Body == nil || q.r.ContentLength == 0 {
		return nil
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = maxBody
	}
	if q.r.ContentLength > limit {
		return &refusal{http.StatusRequestEntityTooLarge, reasonBody, 0}
	}
	control := http.NewResponseController(q.w)
	if err := control.SetReadDeadline(time.Now().Add(max(limits.HeaderTimeout, bodyWait))); err != nil {
		q.s.log.Debug("no deadline for the body", zap.String("id", q.id), zap.Error(err))
	}
	var body bytes.Buffer
	err := q.reserved.read(&body, http.MaxBytesReader(q.w, q.r.Body, limit), limit)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return &refusal{http.StatusRequestEntityTooLarge, reasonBody, 0}
	case errors.Is(err, errNoMemory):
		q.w.Header().Set("Connection", "close") // the rest is not read
		return &refusal{http.StatusServiceUnavailable, reasonMemory, retryState}
	case err != nil:
		return &refusal{http.StatusRequestTimeout, reasonRead, 0}
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		q.s.log.Debug("deadline of the body not lifted", zap.String("id", q.id), zap.Error(err))
	}
	q.body = body.Bytes()
	return nil
}

// parsePrompt reads what the caller states of its prompt. What it states
// wrongly counts as not stated: it is a hint for routing, and the server
// checks it.
func (q *request) parsePrompt() {
	in, out, ok := strings.Cut(q.r.Header.Get(platform.HeaderTokens), ",")
	if ok {
		prompt, err1 := strconv.Atoi(strings.TrimSpace(in))
		output, err2 := strconv.Atoi(strings.TrimSpace(out))
		if err1 == nil && err2 == nil && prompt >= 0 && output >= 0 {
			q.tokens = true
			q.pick.Prompt = prompt
			q.pick.Output = output
		}
	}
	q.pick.Parts = sharedParts(q.r.Header.Get(platform.HeaderPrompt), q.pick.Prompt)
}

// sharedParts returns the parts of a prompt but the last, which belongs to the
// request or its session, if they are worth routing by.
func sharedParts(text string, prompt int) []pick.Part {
	var parts []pick.Part
	shared := 0
	key := uint64(0)
	for len(parts) < pick.MaxParts {
		part, rest, more := strings.Cut(text, ",")
		if !more {
			break
		}
		text = rest
		id, size, ok := strings.Cut(strings.TrimSpace(part), ":")
		n, err := strconv.Atoi(size)
		if !ok || err != nil || n < 0 || n > prompt-shared {
			break
		}
		d := xxhash.NewWithSeed(key)
		_, _ = d.WriteString(id) // it returns no errors
		key = d.Sum64() | 1      // 0 stands for no prefix
		shared += n
		parts = append(parts, pick.Part{Key: key, Tokens: n})
	}
	if shared < pick.PrefixTokens {
		return nil
	}
	return parts
}

// hash spreads requests over the targets of a route; requests with the same
// prefix go to the same one.
func (q *request) hash() uint64 {
	if prefix := q.pick.Prefix(); prefix != 0 {
		return prefix
	}
	return xxhash.Sum64String(q.id)
}

// cost is what the request takes of its organisation's limit.
func (q *request) cost() float64 {
	switch {
	case !q.org.ByToken:
		return 1
	case q.tokens:
		return float64(q.pick.Prompt + q.pick.Output)
	default:
		return q.org.Plain
	}
}

// priority returns the rank of the request, 0 first.
func (q *request) priority() int {
	if q.forwarded {
		return q.urgency
	}
	if q.org != nil && q.org.Ranked {
		return q.org.Priority
	}
	return q.route.Priority
}

// organisation returns the name of the organisation, empty on open routes.
func (q *request) organisation() string {
	if q.org != nil {
		return q.org.Name
	}
	return q.orgName
}

// refuse answers with a status of the gateway's own.
func (q *request) refuse(ref *refusal) {
	q.reason = ref.reason
	h := q.w.Header()
	if q.id != "" {
		h.Set(platform.HeaderID, q.id)
	}
	if ref.retry > 0 {
		// The spread keeps refused callers from returning together.
		spread := 1 + rand.Float64()/2
		h.Set("Retry-After", formatRetry(time.Duration(float64(ref.retry)*spread)))
	}
	if q.forwarded {
		q.peerOutcome(ref.status)
	}
	h.Set("Content-Length", "0")
	q.w.WriteHeader(ref.status)
	q.finish("refused", ref.status)
}

// finish records the end of the request.
func (q *request) finish(outcome string, status int) {
	service := q.service
	if service == "" {
		service = "none"
	}
	if q.taken > 0 && q.tally.Ran == 0 {
		q.s.fleet.Book().Refund(q.org.Name, q.taken)
	}
	took := time.Since(q.arrived)
	q.s.stats.Request(service, outcome, q.reason, took)
	if !q.first.IsZero() {
		q.recordFirst(service)
	}
	log := q.s.log.Requests
	if outcome == "served" {
		if !q.forwarded {
			q.s.lengths.Note(q.route.Name, took)
		}
		log = q.s.log.Served
	}
	if e := log.Check(zap.InfoLevel, "request "+outcome); e != nil {
		e.Write(append(q.decision(), zap.Int("status", status), zap.String("reason", q.reason), zap.Duration("took", took))...)
	}
}

// recordFirst records the time to the first byte and its parts.
func (q *request) recordFirst(service string) {
	m := q.s.stats
	m.First(service, q.first.Sub(q.arrived))
	m.Part(service, stats.PartRetry, q.attempted.Sub(q.arrived))
	rest := q.first.Sub(q.attempted)
	if q.place.region != "" {
		m.Part(service, stats.PartRegion, rest)
		return
	}
	read := min(q.choice.Read, rest)
	m.Part(service, stats.PartRead, read)
	m.Part(service, stats.PartQueue, rest-read)
}

// decision returns the inputs that decided on the request.
func (q *request) decision() []zap.Field {
	fields := []zap.Field{
		zap.String("id", q.id), zap.String("service", q.service), zap.Stringer("config", q.rev), zap.Duration("key_age", q.keyAge),
		zap.Int("prompt", q.pick.Prompt), zap.Int("shared", q.pick.Shared()), zap.Int("output", q.pick.Output),
		zap.Int("sends", q.tally.Sends), zap.Int("ran", q.tally.Ran), zap.Bool("forwarded", q.forwarded),
		zap.String("server", q.server), zap.String("region", q.place.region), zap.Duration("expected", q.expected),
		zap.Int("running", q.choice.Load.Running), zap.Int("unread", q.choice.Load.Unread), zap.Bool("cached", q.choice.Cached),
	}
	if !q.until.IsZero() {
		fields = append(fields, zap.Duration("left", q.left()))
	}
	if !q.listed.IsZero() {
		fields = append(fields, zap.Duration("list_age", time.Since(q.listed)))
	}
	if !q.first.IsZero() {
		fields = append(fields, zap.Duration("first", q.first.Sub(q.arrived)), zap.Duration("retried_for", q.attempted.Sub(q.arrived)), zap.Duration("read", q.choice.Read))
	}
	if q.lastID != "" {
		fields = append(fields, zap.String("last_event", q.lastID))
	}
	if q.route != nil {
		fields = append(fields, zap.String("route", q.route.Name))
	}
	if org := q.organisation(); org != "" {
		fields = append(fields, zap.String("org", org))
	}
	return append(fields, q.inputs...)
}
