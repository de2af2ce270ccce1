package server

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Booking is the response of a plain service to a call that is not idempotent.
type Booking struct {
	// Ref is the field "booking" of the request, or a digest of the body if there is none.
	Ref string `json:"booking"`
	// Runs is the number of runs of this booking; above 1 it is a duplicate.
	Runs int `json:"runs"`
	// Number is the number of runs of all bookings of the server.
	Number int `json:"number"`
}

// Stock is the response of a plain service to a lookup.
type Stock struct {
	Item string `json:"item"`
	Left int    `json:"left"`
}

// PlainConfig configures a Plain.
type PlainConfig struct {
	// Work is the duration of a call.
	Work time.Duration
	// Limit is the number of calls that run at the same time; default 64. Further
	// calls wait.
	Limit int
	// Size is the length in bytes to which shorter responses are padded.
	Size int
}

// Plain is a fake plain service. GET and HEAD requests are lookups, all others are
// bookings, whose runs it counts. It is safe for concurrent use.
type Plain struct {
	*base
	cfg   PlainConfig
	batch *batch
}

// NewPlain returns a plain service.
func NewPlain(cfg PlainConfig) *Plain {
	if cfg.Limit <= 0 {
		cfg.Limit = 64
	}
	return &Plain{base: newBase(), cfg: cfg, batch: newBatch(cfg.Limit, 0, 0)}
}

// ServeHTTP implements http.Handler.
func (p *Plain) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if p.control(w, r) {
		return
	}
	req := p.record(r)
	if r.URL.Path == "/v1/load" {
		p.echo(w, r, Fault{})
		writeJSON(w, http.StatusOK, p.batch.report(p.Fault().Leaving, 0))
		return
	}
	f := p.consumeFault()
	if !p.admit(w, r, f) {
		return
	}
	body, err := p.body(r, req)
	if err != nil || f.Drop == DropBody {
		drop()
	}
	if p.batch.acquire(r.Context(), 0, 0) != nil {
		refuse(w, http.StatusServiceUnavailable, "full")
		return
	}
	defer p.batch.release()
	if !p.sleep(r.Context(), p.cfg.Work) {
		drop()
	}
	p.respond(w, r, f, p.work(r, body))
}

// work runs a call and returns the response body.
func (p *Plain) work(r *http.Request, body []byte) any {
	if r.Method == http.MethodGet || r.Method == http.MethodHead {
		item := r.URL.Query().Get("item")
		return Stock{Item: item, Left: int(xxhash.Sum64String(item) % 100)}
	}
	ref := bookingRef(body)
	runs := p.countRun(ref)
	number := 0
	for _, n := range p.Runs() {
		number += n
	}
	return Booking{Ref: ref, Runs: runs, Number: number}
}

// bookingRef returns the identifier of a booking.
func bookingRef(body []byte) string {
	var b struct {
		Booking string `json:"booking"`
	}
	if json.Unmarshal(body, &b) == nil && b.Booking != "" {
		return b.Booking
	}
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:8])
}

// respond writes a response and applies the faults that take effect after the run.
func (p *Plain) respond(w http.ResponseWriter, r *http.Request, f Fault, v any) {
	if f.Drop == DropRun || !p.sleep(r.Context(), time.Duration(f.Late)) {
		drop()
	}
	data, err := json.Marshal(v)
	if err != nil {
		drop()
	}
	if pad := p.cfg.Size - len(data); pad > 0 {
		data = append(data, fmt.Sprintf("%*s", pad, "")...)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", fmt.Sprint(len(data)))
	w.WriteHeader(http.StatusOK)
	flush(w)
	switch {
	case f.Drop == DropStatus:
		drop()
	case f.Stall > 0:
		p.stall(r)
	case f.Drop == DropHalf || f.Truncate > 0:
		w.Write(data[:len(data)/2])
		flush(w)
		drop()
	}
	w.Write(data)
}

// flush sends buffered data to the client.
func flush(w http.ResponseWriter) { http.NewResponseController(w).Flush() }
