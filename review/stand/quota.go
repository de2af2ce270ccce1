package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/platform/plattest"
)

// Figures of the rule, of the tenant and of its requests, in tokens and seconds. Rate and
// burst are those of the configuration that the bench shows for Huettenlauf.
const (
	quotaRate   = 566635
	quotaBurst  = 566635
	quotaWindow = 8 * time.Second
	quotaExcess = 0.1
	quotaSlack  = 190000
	quotaPrompt = 17020
	quotaOutput = 120
	quotaCost   = quotaPrompt + quotaOutput
	// quotaUsual is what the tenant sends a second without the disruption, and quotaHot
	// how many times that it sends with it.
	quotaUsual = quotaRate / 1.8
	quotaHot   = 6.0
	quotaPlay  = 11 * time.Second
	// quotaSenders is the number of the tenant's clients. They move to another zone after each
	// quotaShift, quotaShifts times.
	quotaSenders = 48
	quotaShift   = 2500 * time.Millisecond
	quotaShifts  = 2
)

// quotaRun is a request that a worker ran.
type quotaRun struct{ sent, arrived time.Time }

// tenant is the state that the clients of one tenant share: the address in use, and those
// that have refused a request since the tenant came to its zone.
type tenant struct {
	play    *play
	hosts   []*host
	zones   []zone
	mu      sync.Mutex
	zone    int
	addr    netip.AddrPort
	refused []netip.AddrPort
	sent    map[string]time.Time
	runs    []quotaRun
	served  int
	limited int
}

// lookup asks the directory of a host of the tenant's zone for addresses.
func (t *tenant) lookup() ([]netip.AddrPort, error) {
	z := t.zones[t.zone]
	i := slices.IndexFunc(t.hosts, func(h *host) bool { return h.zone == z })
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + t.hosts[i].lookup.String() + "/-/lookup?" + url.Values{"name": {plattest.Host}, "region": {z.region}, "zone": {z.name}}.Encode())
	if err != nil {
		return nil, fmt.Errorf("look up: %w", err)
	}
	defer func() { _ = resp.Body.Close() }() // the body was read
	var out struct {
		Addrs []netip.AddrPort `json:"addrs"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil || len(out.Addrs) == 0 {
		return nil, fmt.Errorf("look up: status %d, no addresses, %w", resp.StatusCode, err)
	}
	return out.Addrs, nil
}

// choose picks an address of the directory at random, if possible one that has not refused a
// request. The caller holds t.mu.
func (t *tenant) choose() {
	addrs, err := t.lookup()
	if err != nil {
		t.play.record("%v", err)
		return
	}
	left := slices.DeleteFunc(slices.Clone(addrs), func(a netip.AddrPort) bool { return slices.Contains(t.refused, a) })
	if len(left) == 0 {
		left = addrs
	}
	t.addr = left[rand.IntN(len(left))]
}

// move makes the clients go to the next zone.
func (t *tenant) move() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zone = (t.zone + 1) % len(t.zones)
	t.refused = nil
	t.choose()
	t.play.record("the clients of the tenant are in zone %s now", t.zones[t.zone].name)
}

// begin returns the address for a request and remembers when it is sent.
func (t *tenant) begin(id string) netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent[id] = time.Now()
	return t.addr
}

// end counts the answer to a request. After a refusal the clients go on at another address.
func (t *tenant) end(id string, addr netip.AddrPort, a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch a.status {
	case http.StatusOK:
		t.served++
	case http.StatusTooManyRequests:
		t.limited++
		if addr == t.addr && !slices.Contains(t.refused, addr) {
			t.refused = append(t.refused, addr)
			t.choose()
			t.play.record("%v answers 429 to request %s, Retry-After %s; the next address is %v", addr, id, a.header.Get("Retry-After"), t.addr)
		}
	default:
		t.play.record("%v answers %d to request %s, error %v", addr, a.status, id, a.err)
	}
}

// run answers a request as a worker.
func (t *tenant) run(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	t.mu.Lock()
	t.runs = append(t.runs, quotaRun{t.sent[r.Header.Get("X-Attempt-Id")], now})
	t.mu.Unlock()
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(20 * time.Millisecond)
	_, _ = fmt.Fprint(w, "id: 1\ndata: token\n\n") // the caller notices a cut
}

// send sends requests as one client, one each gap, until end.
func (t *tenant) send(first, end time.Time, gap time.Duration) {
	c := newClient()
	header := map[string]string{
		"Api-Key": "key-1", "X-Model": "m", "X-Token-Counts": fmt.Sprintf("%d,%d", quotaPrompt, quotaOutput), "X-Prompt-Prefix": "5c1e07a2:13300,e4402b7d:3720",
	}
	for next := first; next.Before(end); next = next.Add(gap) {
		time.Sleep(time.Until(next))
		id := newID()
		addr := t.begin(id)
		t.end(id, addr, c.send(addr, http.MethodPost, "/ask/2f", id, header, "prompt", 10*time.Second))
	}
}

// worst returns the most tokens of requests that were sent and arrived within one window, and
// the start of that window.
func (t *tenant) worst() (float64, time.Time) {
	most, at := 0, time.Time{}
	for _, first := range t.runs {
		n := 0
		for _, r := range t.runs {
			if !r.sent.Before(first.sent) && r.arrived.Sub(first.sent) < quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, first.sent
		}
	}
	return float64(most * quotaCost), at
}

// playQuota lets one tenant send many times its usual while its clients move from zone to zone.
func playQuota(p *play) (bool, error) {
	zones := []zone{{"a1", "ra"}, {"b1", "rb"}, {"c1", "rc"}}
	d, err := newDeployment(zones...)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.store.PutConfig(plattest.Config{
		Version: 1, Services: []string{"writer"}, Org: "workshop", Keys: []string{"key-1"}, Rate: quotaRate, Burst: quotaBurst,
		Routes: []plattest.Route{{Prefix: "/ask/", Service: "writer", Kind: "stream", Attempts: 1, TimeoutMS: 10000}},
	})
	t := &tenant{play: p, zones: zones, sent: make(map[string]time.Time)}
	for i := range 12 {
		w, err := newWorker(d.store, fmt.Sprintf("i-%d", i), "writer", zones[i%len(zones)], t.run)
		if err != nil {
			return false, err
		}
		defer w.close()
	}
	for i := range 7 {
		h, err := d.addHost(zones[i%len(zones)], nil)
		if err != nil {
			return false, err
		}
		p.record("host %s in zone %s at %v", h.name, h.zone.name, h.front)
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second) // the regions report to each other
	t.hosts = d.hosts
	t.mu.Lock()
	t.choose()
	t.mu.Unlock()
	pace := quotaUsual
	if p.trouble {
		pace *= quotaHot
	}
	p.record("the tenant sends %.0f tokens a second; its rate is %d and its burst %d", pace, quotaRate, quotaBurst)
	gap := time.Duration(quotaSenders * quotaCost / pace * float64(time.Second))
	began := time.Now()
	var clients sync.WaitGroup
	for n := range quotaSenders {
		first := began.Add(gap * time.Duration(n) / quotaSenders)
		clients.Go(func() { t.send(first, began.Add(quotaPlay), gap) })
	}
	if p.trouble {
		for i := 1; i <= quotaShifts; i++ {
			time.Sleep(time.Until(began.Add(time.Duration(i) * quotaShift)))
			t.move()
		}
	}
	clients.Wait()
	t.mu.Lock()
	defer t.mu.Unlock()
	tokens, at := t.worst()
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaExcess) + quotaSlack
	p.record("%d requests served, %d refused with 429", t.served, t.limited)
	p.record("%.0f tokens sent and run in the worst window of %v, from %.3f; the bound is %.0f", tokens, quotaWindow, at.Sub(p.began).Seconds(), bound)
	if t.served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return tokens > bound, nil
}
