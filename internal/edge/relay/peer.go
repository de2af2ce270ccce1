package relay

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/edge/send"
	"github.com/yuccalb/yuccalb/platform"
)

// Flags of a route in headerRoute.
const (
	flagIdempotent = "idempotent"
	flagStream     = "stream"
	flagResumable  = "resumable"
	flagSticky     = "sticky"
)

// encodeRoute returns the flags of the route, for headerRoute.
func (q *request) encodeRoute() string {
	flags := make([]string, 0, 4)
	add := func(set bool, name string) {
		if set {
			flags = append(flags, name)
		}
	}
	add(q.route.Idempotent, flagIdempotent)
	add(q.route.Stream, flagStream)
	add(q.route.Resumable, flagResumable)
	add(q.route.Sticky, flagSticky)
	return strings.Join(flags, " ")
}

// fromPeer decodes the headers of a forwarded request. At most one attempt of
// this host may run: the first host decides on retries.
func (q *request) fromPeer() error {
	h := q.r.Header
	q.forwarded = true
	q.service = h.Get(headerService)
	if q.service == "" || q.id == "" {
		return errors.New("service or request ID is missing")
	}
	remaining, ok := platform.ParseMillis(h.Get(headerTimeout))
	if !ok {
		return fmt.Errorf("header %s: %q is not a number of milliseconds", headerTimeout, h.Get(headerTimeout))
	}
	q.deadline = q.arrived.Add(remaining)
	if until, ok := q.statedDeadline(); ok && until.Before(q.deadline) {
		q.deadline = until
	}
	var err error
	if q.forwardedPriority, err = strconv.Atoi(h.Get(headerPriority)); err != nil {
		return fmt.Errorf("header %s: %w", headerPriority, err)
	}
	q.forwardedLevel = q.forwardedPriority
	if level := h.Get(headerLevel); level != "" { // hosts of earlier versions do not send it
		if q.forwardedLevel, err = strconv.Atoi(level); err != nil {
			return fmt.Errorf("header %s: %w", headerLevel, err)
		}
	}
	q.forwardedOrg = h.Get(headerOrg)
	q.probe = h.Get(headerProbe) != ""
	if text := h.Get(headerRecorded); text != "" {
		if q.formerRecords, err = strconv.Atoi(text); err != nil {
			return fmt.Errorf("header %s: %w", headerRecorded, err)
		}
		q.records = q.formerRecords
	}
	if version, ok := parseVersion(h); ok {
		q.pin(version)
	}
	q.route = &spec.Route{Attempts: 1}
	if goal := h.Get(headerGoal); goal != "" {
		if q.route.Goal, ok = platform.ParseMillis(goal); !ok {
			return fmt.Errorf("header %s: %q is not a number of milliseconds", headerGoal, goal)
		}
	}
	for _, flag := range strings.Fields(h.Get(headerRoute)) {
		switch flag {
		case flagIdempotent:
			q.route.Idempotent = true
		case flagStream:
			q.route.Stream = true
		case flagResumable:
			q.route.Resumable = true
		case flagSticky:
			q.route.Sticky = true
		}
	}
	return nil
}

// NotRunLine is the header line of a response to another host whose request has not run.
const NotRunLine = headerOutcome + ": " + outcomeNotRun + "\r\n"

// setPeerOutcome states in headerOutcome whether the request may have run.
func (q *request) setPeerOutcome(status int) {
	outcome := outcomeUnknown
	if q.tally.Ran == 0 && status != http.StatusGatewayTimeout {
		outcome = outcomeNotRun
	}
	q.w.Header().Set(headerOutcome, outcome)
	q.w.Header().Set(headerClock, q.s.clockNow())
	q.dropRecord()
	q.setRecorded(q.w.Header())
	if q.tally.Sends == 0 {
		q.w.Header().Set(headerUnsent, "1")
	}
	if !q.s.fleet.Reaches(q.service) {
		q.w.Header().Set(headerNoPath, "1")
	}
}

// recordRefusal counts a refused attempt as sent, unless another host refused it and no
// server was asked.
func (q *request) recordRefusal(resp *send.Response) {
	if !q.fromPeerHost() || resp.Header.Get(headerOutcome) == "" {
		q.tally.Sends++
		return
	}
	q.unsent = resp.Header.Get(headerUnsent) != ""
	if !q.unsent {
		q.tally.Sends++
	}
	if resp.Header.Get(headerNoPath) != "" {
		q.s.fleet.MarkUnreached(q.dest.addr, q.service)
	}
}
