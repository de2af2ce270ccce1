package server

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// maxRequests bounds the recorded requests; the oldest tenth is dropped at the
	// bound.
	maxRequests = 10_000
	// maxBody bounds the body of a request in bytes.
	maxBody = 16 << 20
	// maxRecordedBody bounds the recorded part of a body in bytes.
	maxRecordedBody = 64 << 10
)

// Request is a request that a server received.
type Request struct {
	At time.Time `json:"at"`
	// Conn is the remote address, which differs between connections.
	Conn   string      `json:"conn"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	ID     string      `json:"id"`
	Header http.Header `json:"header"`
	// Body is the start of the body. It is empty if the connection was closed
	// before the body was read.
	Body string `json:"body"`
	// Leaving is set if the server had the fault Leaving when the request arrived.
	Leaving bool `json:"leaving"`
}

// base holds what Engine and Plain share: faults, recorded requests and counts of runs.
type base struct {
	done chan struct{}
	once sync.Once // closes done

	mu       sync.Mutex
	fault    Fault
	until    time.Time       // end of the fault; zero if it does not expire
	seen     map[string]bool // remote addresses of all connections
	frozen   map[string]bool // remote addresses of connections that stall
	down     time.Time       // end of the time for which a crashed server is down
	requests []*Request
	runs     map[string]int // by booking or request id
}

func newBase() *base {
	return &base{
		done: make(chan struct{}), seen: make(map[string]bool),
		frozen: make(map[string]bool), runs: make(map[string]int),
	}
}

// SetFault replaces the fault of the server and starts its time limit.
func (b *base) SetFault(f Fault) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.fault = f
	b.until = time.Time{}
	if f.For > 0 {
		b.until = time.Now().Add(time.Duration(f.For))
	}
	if f.Freeze {
		maps.Copy(b.frozen, b.seen)
	}
}

// Fault returns the current fault.
func (b *base) Fault() Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current()
}

// current returns the fault after clearing it if its time is over. The caller holds b.mu.
func (b *base) current() Fault {
	if !b.until.IsZero() && time.Now().After(b.until) {
		b.fault, b.until = Fault{}, time.Time{}
	}
	return b.fault
}

// consumeFault returns the fault that applies to a request and counts the request
// against Fault.Count.
func (b *base) consumeFault() Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	f := b.current()
	switch {
	case f.Count > 1:
		b.fault.Count--
	case f.Count == 1:
		b.fault = Fault{Refuse: f.Refuse, Leaving: f.Leaving}
	}
	return f
}

// Requests returns the requests received, oldest first.
func (b *base) Requests() []Request {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := make([]Request, len(b.requests))
	for i, r := range b.requests {
		all[i] = *r
	}
	return all
}

// Runs returns the number of runs of each request by booking or request id.
func (b *base) Runs() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.runs)
}

// countRun counts a run of ref and returns the number of its runs.
func (b *base) countRun(ref string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[ref]++
	return b.runs[ref]
}

// Close ends all stalled responses without waiting for their handlers.
func (b *base) Close() error {
	b.once.Do(func() { close(b.done) })
	return nil
}

// record records a request and its connection.
func (b *base) record(r *http.Request) *Request {
	req := &Request{
		At: time.Now(), Conn: r.RemoteAddr, Method: r.Method, Path: r.URL.RequestURI(),
		ID: r.Header.Get("X-Request-Id"), Header: r.Header.Clone(),
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	req.Leaving = b.current().Leaving
	b.seen[r.RemoteAddr] = true
	if len(b.requests) >= maxRequests {
		b.requests = slices.Delete(b.requests, 0, maxRequests/10)
	}
	b.requests = append(b.requests, req)
	return req
}

// body reads the body of a request and records its start.
func (b *base) body(r *http.Request, req *Request) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	b.mu.Lock()
	defer b.mu.Unlock()
	req.Body = string(data[:min(len(data), maxRecordedBody)])
	return data, err
}

// stalled reports whether the fault Freeze applies to the connection of r.
func (b *base) stalled(r *http.Request) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.frozen[r.RemoteAddr]
}

// setDown makes the server drop all connections for d.
func (b *base) setDown(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.down = time.Now().Add(d)
}

// crashed reports whether the server is down after a crash.
func (b *base) crashed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.down)
}

// stall blocks until the client cancels the request or the server is closed, and then
// drops the connection.
func (b *base) stall(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-b.done:
	}
	drop()
}

// drop aborts the handler, which closes its connection.
func drop() { panic(http.ErrAbortHandler) }

// sleep waits for d. It returns false if ctx ends or the server is closed first.
func (b *base) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-b.done:
	}
	return false
}

// admit applies the faults that take effect before the body of a request is read, and
// reports whether the request is to be handled.
func (b *base) admit(w http.ResponseWriter, r *http.Request, f Fault) bool {
	if b.stalled(r) {
		b.stall(r)
	}
	if b.crashed() {
		drop()
	}
	if f.Refuse || f.Drop == DropHead || !b.sleep(r.Context(), time.Duration(f.Slow)) {
		drop()
	}
	b.echo(w, r, f)
	switch {
	case f.Down:
		http.Error(w, `{"error":"down"}`, http.StatusServiceUnavailable)
		return false
	case f.Full:
		refuse(w, http.StatusServiceUnavailable, "full")
		return false
	}
	return true
}

// echo sets the request id of the response to that of the request, unless the fault is
// Mismatch.
func (b *base) echo(w http.ResponseWriter, r *http.Request, f Fault) {
	id := r.Header.Get("X-Request-Id")
	if f.Mismatch {
		id = "other-" + id
	}
	w.Header().Set("X-Request-Id", id)
	if f.Unframed {
		w.Header().Set("Transfer-Encoding", "identity") // net/http sends no chunks
	}
}

// refuse rejects a request and states that it was not run.
func refuse(w http.ResponseWriter, status int, reason string) {
	w.Header().Set("X-Run", "no")
	w.Header().Set("Retry-After", "1")
	writeJSON(w, status, map[string]string{"error": reason})
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(v)
}

// control serves /fault, /requests and /runs, which tests and operators of the demo use.
// It reports whether r is such a request.
func (b *base) control(w http.ResponseWriter, r *http.Request) bool {
	switch r.URL.Path {
	case "/fault":
		if r.Method == http.MethodPost {
			data, _ := io.ReadAll(io.LimitReader(r.Body, maxBody))
			f, err := ParseFault(data)
			if err != nil {
				writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
				return true
			}
			b.SetFault(f)
		}
		writeJSON(w, http.StatusOK, b.Fault())
	case "/requests":
		writeJSON(w, http.StatusOK, b.Requests())
	case "/runs":
		writeJSON(w, http.StatusOK, b.Runs())
	default:
		return false
	}
	return true
}
