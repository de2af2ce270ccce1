package relay

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/platform"
)

// Flags of a route between hosts.
const (
	flagIdempotent = "idempotent"
	flagStream     = "stream"
	flagResumable  = "resumable"
	flagSticky     = "sticky"
)

// encodeRoute returns what another host needs to know of the route.
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

// fromPeer takes over what the first host has decided. This host makes one
// attempt: retries are up to the first host.
func (q *request) fromPeer() error {
	h := q.r.Header
	q.forwarded = true
	q.service = h.Get(headerService)
	if q.service == "" || q.id == "" {
		return errors.New("service or identifier is missing")
	}
	left, ok := platform.ParseMillis(h.Get(headerUntil))
	if !ok {
		return fmt.Errorf("header %s: %q is no time", headerUntil, h.Get(headerUntil))
	}
	q.until = q.arrived.Add(left)
	var err error
	if q.urgency, err = strconv.Atoi(h.Get(headerUrgency)); err != nil {
		return fmt.Errorf("header %s: %w", headerUrgency, err)
	}
	q.orgName = h.Get(headerOrg)
	q.route = &spec.Route{Attempts: 1}
	if goal := h.Get(headerGoal); goal != "" {
		if q.route.Goal, ok = platform.ParseMillis(goal); !ok {
			return fmt.Errorf("header %s: %q is no time", headerGoal, goal)
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

// peerOutcome tells the first host whether the request may have run.
func (q *request) peerOutcome(status int) {
	outcome := outcomeUnknown
	if q.tally.Ran == 0 && status != http.StatusGatewayTimeout {
		outcome = outcomeNotRun
	}
	q.w.Header().Set(headerOutcome, outcome)
}
