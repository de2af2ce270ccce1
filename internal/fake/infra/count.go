package infra

import (
	"errors"
	"fmt"
	"io"
	"net/http"
)

// Call is a type of call to the platform.
type Call string

// Types of calls. A watch counts as one call.
const (
	CallGet       Call = "get"
	CallPut       Call = "put"
	CallDelete    Call = "delete"
	CallList      Call = "list"
	CallWatch     Call = "watch"
	CallLease     Call = "lease"
	CallHosts     Call = "hosts"
	CallDirectory Call = "directory"
	CallWeights   Call = "weights"
)

// Count holds the counters of one type of call.
type Count struct {
	Calls int `json:"calls"`
	// In and Out are the bytes of request and response bodies.
	In  int `json:"in"`
	Out int `json:"out"`
}

// count returns the counters of a type of call. The caller holds p.mu.
func (p *Platform) count(call Call) *Count {
	c := p.calls[call]
	if c == nil {
		c = &Count{}
		p.calls[call] = c
	}
	return c
}

// countBytes adds the bytes of a call to its counters.
func (p *Platform) countBytes(call Call, in, out int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.count(call)
	c.In += in
	c.Out += out
}

// Counts returns the counters since the start or the last ResetCounts. Calls count even
// if a fault determined the response.
func (p *Platform) Counts() map[Call]Count {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make(map[Call]Count, len(p.calls))
	for k, v := range p.calls {
		out[k] = *v
	}
	return out
}

// ResetCounts sets all counters to 0.
func (p *Platform) ResetCounts() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.calls)
}

// getCalls serves GET /calls.
func (p *Platform) getCalls(w http.ResponseWriter, _ *http.Request) {
	jsonReply(http.StatusOK, p.Counts()).write(w)
}

// readAll reads a body that is limited by http.MaxBytesReader.
func readAll(r io.Reader) ([]byte, error) {
	data, err := io.ReadAll(r)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, fmt.Errorf("value is larger than %d bytes", tooLarge.Limit)
	}
	return data, err
}
