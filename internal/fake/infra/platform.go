// Package infra provides a fake platform: the key-value service, the host list, the
// directory and the weight store behind one http.Handler, with fault injection. Tests
// and the demo use it, and it can run as a separate process.
package infra

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// maxValue is the largest value of a key, in bytes.
const maxValue = 1 << 20

// watchTimeout is the time after which a watch returns without a change.
const watchTimeout = 30 * time.Second

// Clock is the source of time of a Platform.
type Clock interface {
	Now() time.Time
	// After sends the time on the channel once d has passed.
	After(d time.Duration) <-chan time.Time
}

// realClock is a Clock of the time package, which is virtual in a synctest bubble.
type realClock struct{}

func (realClock) Now() time.Time                         { return time.Now() }
func (realClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Options configures a Platform.
type Options struct {
	// Clock is the source of time; the default is the time package.
	Clock Clock
	// Lag is the age of the host list that clients see.
	Lag time.Duration
	// Weights is the size of the weights of each model in bytes; default 1 MiB.
	Weights int
	// Loads is the number of reads per second that the weight store serves; 0
	// means no limit.
	Loads float64
}

// Platform is a fake platform. It is an http.Handler and safe for concurrent use.
type Platform struct {
	opts  Options
	clock Clock
	mux   *http.ServeMux

	mu              sync.Mutex
	kv              *keyValue
	faults          map[Part]*Fault
	calls           map[Call]*Count
	hosts           []hostList          // oldest first
	dir             map[string][]string // addresses by data centre
	readTokens      float64             // token bucket of reads of the weight store
	readsRefilledAt time.Time
}

// New returns a platform without keys, hosts and directory entries.
func New(opts Options) *Platform {
	if opts.Clock == nil {
		opts.Clock = realClock{}
	}
	if opts.Weights == 0 {
		opts.Weights = 1 << 20
	}
	p := &Platform{
		opts:            opts,
		clock:           opts.Clock,
		mux:             http.NewServeMux(),
		kv:              newKeyValue(),
		faults:          make(map[Part]*Fault),
		calls:           make(map[Call]*Count),
		dir:             make(map[string][]string),
		readTokens:      1,
		readsRefilledAt: opts.Clock.Now(),
	}
	p.serve("GET /v1/kv/{key...}", PartKV, CallGet, p.get)
	p.serve("PUT /v1/kv/{key...}", PartKV, CallPut, p.put)
	p.serve("DELETE /v1/kv/{key...}", PartKV, CallDelete, p.delete)
	p.serve("GET /v1/kv", PartKV, CallList, p.list)
	p.serve("GET /v1/watch", PartKV, CallWatch, p.watch)
	p.serve("POST /v1/leases", PartKV, CallLease, p.newLease)
	p.serve("PUT /v1/leases/{id}", PartKV, CallLease, p.renewLease)
	p.serve("DELETE /v1/leases/{id}", PartKV, CallLease, p.deleteLease)
	p.serve("GET /v1/hosts", PartHosts, CallHosts, p.getHosts)
	p.serve("PUT /v1/directory/{site}", PartDirectory, CallDirectory, p.putDirectory)
	p.serve("GET /v1/directory/{site}", PartDirectory, CallDirectory, p.getDirectory)
	p.serve("GET /v1/weights/{model}", PartWeights, CallWeights, p.getWeights)
	p.mux.HandleFunc("POST /fault", p.postFault)
	p.mux.HandleFunc("GET /calls", p.getCalls)
	p.mux.HandleFunc("PUT /hosts", p.putHosts)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// reply is a response that was computed but not yet sent, so that a fault can lose it
// after the call took effect.
type reply struct {
	status  int
	version uint64 // X-Version, unless 0
	body    []byte
	retry   bool // set Retry-After to 1 s
}

// jsonReply returns a reply with the JSON form of v.
func jsonReply(status int, v any) reply {
	data, err := json.Marshal(v)
	if err != nil {
		return reply{status: http.StatusInternalServerError, body: []byte(err.Error())}
	}
	return reply{status: status, body: data}
}

// textReply returns a reply with an error message.
func textReply(status int, format string, args ...any) reply {
	return reply{status: status, body: []byte(fmt.Sprintf(format, args...))}
}

// handler executes one call. If old is true, it returns the data before the last change.
type handler func(r *http.Request, body []byte, old bool) reply

// serve registers a handler, and wraps it to count its calls and to inject faults.
func (p *Platform) serve(pattern string, part Part, call Call, h handler) {
	p.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		f := p.beginCall(part, call)
		if f.Slow > 0 && !p.sleep(r.Context(), f.Slow) {
			panic(http.ErrAbortHandler)
		}
		if f.Hang {
			// The http.Server detects a closed connection only after the body was
			// read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		if f.Down {
			http.Error(w, "down", http.StatusServiceUnavailable)
			return
		}
		body, err := readBody(w, r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
			return
		}
		rep := h(r, body, f.old && readsKey(r, f.OldKey))
		p.countBytes(call, len(body), len(rep.body))
		if f.lose || r.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		rep.write(w)
	})
}

// readBody reads a request body of at most maxValue bytes.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.Body == nil {
		return nil, nil
	}
	body := http.MaxBytesReader(w, r.Body, maxValue)
	defer body.Close()
	return readAll(body)
}

// write sends the reply.
func (rep reply) write(w http.ResponseWriter) {
	if rep.version != 0 {
		w.Header().Set("X-Version", fmt.Sprint(rep.version))
	}
	if rep.retry {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(rep.status)
	if rep.status != http.StatusNoContent {
		_, _ = w.Write(rep.body) // an error means that the client closed the connection
	}
}

// sleep waits for d and returns false if ctx ends first.
func (p *Platform) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-p.clock.After(d):
		return true
	}
}

// errAborted is the error of a call whose response was lost.
var errAborted = errors.New("connection closed without a response")
