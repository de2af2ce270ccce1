package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// maxCalls bounds the requests in progress of the callers of a region.
	maxCalls = 150
	// busyShape and calmShape are the rates of a region, by turns, in parts of the mean,
	// each for shapeTime.
	busyShape, calmShape = 1.7, 0.3
	shapeTime            = 6 * time.Second
	// maxTakeUps is how often a caller takes up a stream that breaks off.
	maxTakeUps = 2
	// patience is how long a caller waits for a stream at most.
	patience = 4 * time.Second
)

// fleetCalls are the kinds of requests with their share of all in percent, and the mean size of their
// bodies in bytes.
var fleetCalls = []struct {
	share  int
	prefix string
	method string
	wait   time.Duration
	tokens string
	body   int
}{
	{60, "/ask/", http.MethodPost, 5 * time.Second, "347,45", 770},
	{6, "/quote/", http.MethodPost, 10 * time.Second, "17000,120", 34_000},
	{22, "/order/", http.MethodPost, 4 * time.Second, "", 600},
	{12, "/stock/", http.MethodGet, 4 * time.Second, "", 0},
}

// maxBodySize bounds bodies, in parts of their mean size.
const maxBodySize = 6

// callerPool holds the open connections of callers by host.
type callerPool struct {
	mu   sync.Mutex
	idle map[netip.AddrPort][]*line.Conn
}

// get returns an open connection to a host, or opens one.
func (p *callerPool) get(host netip.AddrPort, fresh bool) (*line.Conn, error) {
	p.mu.Lock()
	list := p.idle[host]
	if n := len(list); n > 0 && !fresh {
		p.idle[host] = list[:n-1]
		p.mu.Unlock()
		return list[n-1], nil
	}
	p.mu.Unlock()
	return line.Dial(host)
}

// put keeps a connection for later requests.
func (p *callerPool) put(host netip.AddrPort, c *line.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[netip.AddrPort][]*line.Conn)
	}
	p.idle[host] = append(p.idle[host], c)
}

// close closes all connections.
func (p *callerPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, list := range p.idle {
		for _, c := range list {
			_ = c.Close() // it is not used again
		}
	}
}

// sendRequests sends requests of the callers of a region until the run ends.
func (f *fleet) sendRequests(site int, rng *rand.Rand) {
	slots := make(chan struct{}, maxCalls)
	for !f.over() {
		shape := calmShape
		if int(time.Since(f.begin)/shapeTime+time.Duration(site))%2 == 0 {
			shape = busyShape
		}
		rate := *fleetRate / float64(len(fleetSites)) * shape
		time.Sleep(time.Duration(rng.ExpFloat64() / rate * float64(time.Second)))
		c := caller{f: f, site: site, rng: rand.New(rand.NewPCG(rng.Uint64(), rng.Uint64()))}
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		f.tasks.Go(func() {
			defer func() { <-slots }()
			c.call()
		})
	}
}

// caller sends one request and what follows it.
type caller struct {
	f    *fleet
	site int
	rng  *rand.Rand
}

// call sends a request, and once more if it fails and may be repeated.
func (c *caller) call() {
	k, share := 0, c.rng.IntN(100)
	for share >= fleetCalls[k].share {
		share -= fleetCalls[k].share
		k++
	}
	kind := fleetCalls[k]
	path := fmt.Sprintf("%s%s-%d", kind.prefix, c.f.name, c.f.numbers.Add(1))
	size := int(min(c.rng.ExpFloat64(), maxBodySize) * float64(kind.body))
	call := line.Call{Method: kind.method, Path: path, Body: strings.Repeat("x", size)}.With(platform.HeaderTokens, kind.tokens)
	until := time.Now().Add(kind.wait)
	var s fleetStream
	for n := range 1 + maxTakeUps {
		id := fmt.Sprintf("%s-%d", path[len(kind.prefix):], n)
		if s.last > 0 {
			call = call.With(platform.HeaderLastEventID, strconv.Itoa(s.last))
			if c.rng.IntN(10) > 0 {
				call = call.With(platform.HeaderResumes, s.first)
			}
			c.f.checks.takeUp()
		}
		a := c.send(call, id, n > 0, time.Until(until))
		if isStream(path) {
			c.f.checks.follow(&s, id, path, a)
		}
		_, idempotent := repeats(path)
		complete := a.Err == nil && a.Status == http.StatusOK && (!isStream(path) || s.last >= eventsOf(path))
		again := idempotent || a.Err == nil && refused(a.Status)
		if complete || !again || a.Err == nil && final(a.Status) || s.last >= eventsOf(path) && isStream(path) {
			return
		}
		if n > 0 && !(isStream(path) && s.last > 0) {
			return // only streams are taken up twice
		}
		c.pause(a, time.Until(until))
		if time.Until(until) < 50*time.Millisecond || c.f.over() {
			return
		}
	}
}

// final reports whether no request is sent again after a status.
func final(status int) bool {
	return status == http.StatusBadRequest || status == http.StatusUnauthorized || status == http.StatusNotFound || status == http.StatusRequestEntityTooLarge
}

// pause waits as long as a response requests, at most a third of the time left. A fifth of the
// callers don't wait.
func (c *caller) pause(a line.Response, left time.Duration) {
	if a.Header == nil || c.rng.IntN(5) == 0 {
		return
	}
	seconds, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
	if err == nil {
		time.Sleep(min(time.Duration(seconds*float64(time.Second)), left/3))
	}
}

// send sends one request to a host and reads its response.
func (c *caller) send(call line.Call, id string, fresh bool, left time.Duration) line.Response {
	hosts := c.f.hostsOf(c.site, c.rng.IntN(8) == 0)
	wait := left
	if isStream(call.Path) {
		wait = min(wait, patience)
	}
	if c.rng.IntN(30) == 0 {
		wait = time.Duration(c.rng.Int64N(int64(time.Second))) // gives up early
	}
	return c.sendTo(hosts[c.rng.IntN(len(hosts))], call, id, fresh, left, wait)
}

// sendTo sends one request to a host, with the time left as its deadline, and reads its response
// for wait at most.
func (c *caller) sendTo(host netip.AddrPort, call line.Call, id string, fresh bool, left, wait time.Duration) line.Response {
	conn, err := c.f.pool.get(host, fresh)
	if err != nil {
		return line.Response{Err: err}
	}
	_ = conn.SetDeadline(time.Now().Add(wait)) // a closed connection fails below
	call = call.With(platform.HeaderDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10)).With(platform.HeaderAPIKey, fleetKey)
	c.f.checks.send(id, call, host.String(), left)
	a := conn.Do(call, id)
	c.f.checks.receive(id, a)
	if a.Err != nil || a.Close {
		_ = conn.Close() // it is not used again
	} else {
		c.f.pool.put(host, conn)
	}
	return a
}
