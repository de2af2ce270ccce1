package relay

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/rank"
	"github.com/yuccalb/yuccalb/internal/edge/send"
	"github.com/yuccalb/yuccalb/platform"
)

// hopHeaders are the hop-by-hop headers, and those that each connection sets
// itself.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// peerHeaders are the headers that only hosts send, to one another.
var peerHeaders = []string{headerRoute, headerService, headerOrg, headerTimeout, headerUntil, headerClock, headerPriority, headerLevel, headerGoal, headerOutcome, headerFraming, headerProbe, headerRecorded, headerVersion, headerUnsent, headerNoPath}

// endToEnd returns a copy of h without the hop-by-hop headers and those that
// Connection names.
func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, field := range h["Connection"] {
		for _, name := range strings.Split(field, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		delete(out, name)
	}
	return out
}

// serverHeader returns the header of an attempt at a server.
func (q *request) serverHeader(id string) http.Header {
	h := endToEnd(q.r.Header)
	// Connection cannot remove the header that identifies the request.
	h[platform.HeaderAttemptID] = q.r.Header[platform.HeaderAttemptID]
	for _, name := range platform.ReservedHeaders {
		delete(h, name)
	}
	for _, name := range peerHeaders {
		delete(h, name)
	}
	h[platform.HeaderDeadline] = []string{formatMillis(q.remaining())}
	h[platform.HeaderExpectInstance] = []string{id}
	if org := q.organisation(); org != "" {
		h[platform.HeaderOrg] = []string{org}
	}
	if q.route.Sticky {
		h[platform.HeaderPriority] = []string{strconv.Itoa(q.urgency())}
	}
	q.setResume(h)
	return h
}

// urgency returns the priority at the server, which admits deferrable requests after others
// of the same priority.
func (q *request) urgency() int {
	p := q.priority()
	if q.pick.Deferrable {
		p++
	}
	return min(max(p, 0), rank.MaxPriority)
}

// setResume requests the events after the last one that the caller has.
func (q *request) setResume(h http.Header) {
	if q.lastEvent != "" {
		h[platform.HeaderLastEventID] = []string{q.lastEvent}
	}
}

// peerHeader returns the header of an attempt at another host.
func (q *request) peerHeader() http.Header {
	h := endToEnd(q.r.Header)
	h[platform.HeaderAttemptID] = q.r.Header[platform.HeaderAttemptID]
	for _, name := range platform.ReservedHeaders {
		delete(h, name)
	}
	for _, name := range peerHeaders {
		delete(h, name)
	}
	h[headerRoute] = []string{q.encodeRoute()}
	h[headerService] = []string{q.service}
	h[headerTimeout] = []string{formatMillis(q.remaining())}
	if until, ok := q.stateDeadline(); ok {
		h[headerUntil] = []string{until}
	}
	h[headerPriority] = []string{strconv.Itoa(q.priority())}
	h[headerLevel] = []string{strconv.Itoa(q.level())}
	h[headerOrg] = []string{q.organisation()}
	if q.route.Goal > 0 {
		h[headerGoal] = []string{formatMillis(q.route.Goal)}
	}
	if q.probe {
		h[headerProbe] = []string{"1"}
	}
	if q.records > 0 {
		h[headerRecorded] = []string{strconv.Itoa(q.records)}
	}
	if q.target.Pinned {
		setVersion(h, q.target.Version)
	}
	q.setResume(h)
	return h
}

// outgoing returns the request to send to dest.
func (q *request) outgoing(h http.Header, dest destination) *send.Request {
	return &send.Request{
		Addr: dest.addr, Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host,
		Header: h, Body: q.body, HasBody: q.r.ContentLength != 0 || q.r.Header["Content-Length"] != nil,
		ID: q.id, IDHeader: platform.HeaderAttemptID, Deadline: q.deadline.Add(responseMargin),
		NewConn: q.tally.Ran > 0,
	}
}

// responseMargin is the time after the deadline in which the server's own timeout
// response can still arrive.
const responseMargin = 100 * time.Millisecond
