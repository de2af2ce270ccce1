package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccalb/yuccalb/platform/plattest"
)

// seal is the value of X-Server-Seal in the responses of workers.
const seal = "3e1b.07.5a2.600.0.c9f2a4d1"

// worker is a sound worker: it runs a request that expects it and answers 421 to others. Its
// entry in the store is renewed until it is closed.
type worker struct {
	id, service string
	zone        zone
	addr        netip.AddrPort
	born        int64
	state       atomic.Value // ready or draining
	store       *plattest.Store
	srv         *http.Server
	run         http.HandlerFunc // answers a request that is run
	stop        chan struct{}
	stopOnce    sync.Once
	lastBeat    atomic.Int64 // of the last heartbeat, in Unix nanoseconds
}

// heartbeat is the interval at which workers renew their entries.
const heartbeat = 1200 * time.Millisecond

// newWorker starts a worker whose requests are run by the given handler.
func newWorker(store *plattest.Store, id, service string, z zone, run http.HandlerFunc) (*worker, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for worker %s: %w", id, err)
	}
	w := &worker{id: id, service: service, zone: z, addr: netip.MustParseAddrPort(l.Addr().String()), born: time.Now().UnixMilli(), store: store, run: run, stop: make(chan struct{})}
	w.state.Store("ready")
	w.srv = &http.Server{Handler: http.HandlerFunc(w.serve), IdleTimeout: 30 * time.Second}
	go func() { _ = w.srv.Serve(l) }() // it ends with close
	go w.beat()
	return w, nil
}

// beat renews the entry.
func (w *worker) beat() {
	for seq := int64(1); ; seq++ {
		select {
		case <-w.stop:
			return
		default:
		}
		w.lastBeat.Store(time.Now().UnixNano())
		w.store.PutEntry(plattest.Server{ID: w.id, Service: w.service, Site: w.zone.name, Addr: w.addr, State: w.state.Load().(string), Born: w.born, Seq: seq})
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (w *worker) serve(rw http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a request that is cut off is not answered
	rw.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	if r.Header.Get("X-Expect-Instance") != w.id {
		rw.Header().Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rw.Header().Set("X-Server-Seal", seal)
	w.run(rw, r)
}

// close ends the worker and its heartbeats.
func (w *worker) close() {
	w.stopOnce.Do(func() { close(w.stop) })
	_ = w.srv.Close() // its requests are cut off
}

// cutOff ends the heartbeats, as a partition from the store does. The store removes the entry
// after three intervals of silence. It returns the time of that.
func (w *worker) cutOff() time.Time {
	w.stopOnce.Do(func() { close(w.stop) })
	expires := time.Unix(0, w.lastBeat.Load()).Add(3 * heartbeat)
	time.AfterFunc(time.Until(expires), func() { w.store.RemoveServer(w.id) })
	return expires
}
