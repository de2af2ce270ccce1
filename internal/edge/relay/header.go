package relay

import (
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/yuccalb/yuccalb/internal/edge/send"
	"github.com/yuccalb/yuccalb/platform"
)

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// peerHeaders are those between hosts.
var peerHeaders = []string{headerRoute, headerService, headerOrg, headerUntil, headerUrgency, headerGoal, headerOutcome}

// passed returns a copy of h without the headers of the connection.
func passed(h http.Header) http.Header {
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

// forServer returns the headers of an attempt at a server.
func (q *request) forServer(id string) http.Header {
	h := passed(q.r.Header)
	// A header that the caller names in Connection is dropped, but not the
	// ones that identify the request.
	h[platform.HeaderID] = q.r.Header[platform.HeaderID]
	for _, name := range platform.Reserved {
		delete(h, name)
	}
	for _, name := range peerHeaders {
		delete(h, name)
	}
	h[platform.HeaderDeadline] = []string{formatMillis(q.left())}
	h[platform.HeaderServer] = []string{id}
	if org := q.organisation(); org != "" {
		h[platform.HeaderOrg] = []string{org}
	}
	if q.route.Sticky {
		h[platform.HeaderUrgency] = []string{strconv.Itoa(min(max(q.priority(), 0), maxUrgency))}
	}
	q.setResume(h)
	return h
}

// maxUrgency is the least urgent value that servers know.
const maxUrgency = 9

// setResume asks for what follows the last event that was passed on.
func (q *request) setResume(h http.Header) {
	if q.lastID != "" {
		h[platform.HeaderResume] = []string{q.lastID}
	}
}

// forPeer returns the headers of an attempt at another host.
func (q *request) forPeer() http.Header {
	h := passed(q.r.Header)
	h[platform.HeaderID] = q.r.Header[platform.HeaderID]
	for _, name := range platform.Reserved {
		delete(h, name)
	}
	h[headerRoute] = []string{q.encodeRoute()}
	h[headerService] = []string{q.service}
	h[headerUntil] = []string{formatMillis(q.left())}
	h[headerUrgency] = []string{strconv.Itoa(q.priority())}
	h[headerOrg] = []string{q.organisation()}
	if q.route.Goal > 0 {
		h[headerGoal] = []string{formatMillis(q.route.Goal)}
	}
	q.setResume(h)
	return h
}

// build returns the request to send to addr.
func (q *request) build(h http.Header, p place) *send.Request {
	return &send.Request{
		Addr: p.addr, Method: q.r.Method, Target: q.r.RequestURI, Host: q.r.Host,
		Header: h, Body: q.body, HasBody: q.r.ContentLength != 0 || q.r.Header["Content-Length"] != nil,
		ID: q.id, IDHeader: platform.HeaderID, Until: q.until.Add(answerMargin),
		Fresh: q.tally.Ran > 0,
	}
}

// answerMargin is the time after its deadline in which a server's own answer
// can arrive.
const answerMargin = 100 * time.Millisecond
