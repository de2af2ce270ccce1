package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// drainBound is drain_ms of the rule.
	drainBound = 3 * time.Second
	// drainRounds is how often a worker leaves, and drainRound how long each round takes.
	drainRounds = 6
	drainRound  = 8 * time.Second
	// Times of a round, from the moment at which the worker leaves: when the routes go to
	// the other service, when they come back, and when the worker ends.
	drainMoved = 300 * time.Millisecond
	drainBack  = 2700 * time.Millisecond
	drainEnds  = 4800 * time.Millisecond
	// drainClients is the number of clients, and drainPause the time between two requests
	// of each.
	drainClients = 40
	drainPause   = 80 * time.Millisecond
	// drainStaying is the number of workers of each service that stay.
	drainStaying = 4
)

// drainPlay is the state of playDrain.
type drainPlay struct {
	*play
	*operator
	mu   sync.Mutex
	sent map[string]time.Time
	by   map[string]*leaver // the worker that ran a request
	late int
}

// leaver is a worker that leaves in a round.
type leaver struct {
	*worker
	leaving atomic.Bool
	// passed is when a client first got an answer that says so.
	passed time.Time
}

// serve returns the handler of a worker, which leaves if l is set and says so.
func (d *drainPlay) serve(l *leaver) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Attempt-Id")
		if l != nil {
			d.mu.Lock()
			d.by[id] = l
			if sent := d.sent[id]; !l.passed.IsZero() && sent.Sub(l.passed) > drainBound {
				d.late++
				d.play.record("request %s reaches %s, sent %.3f s after an answer with Server-Leaving was passed on", id, l.id, sent.Sub(l.passed).Seconds())
			}
			d.mu.Unlock()
			if l.leaving.Load() {
				w.Header().Set("Server-Leaving", "1")
			}
		}
		time.Sleep(60 * time.Millisecond)
		_, _ = fmt.Fprint(w, id) // the caller notices a cut
	}
}

// send sends requests as one client until stop is closed.
func (d *drainPlay) send(h *host, stop <-chan struct{}) {
	c := newClient()
	for {
		select {
		case <-stop:
			return
		case <-time.After(drainPause):
		}
		id := newID()
		d.mu.Lock()
		d.sent[id] = time.Now()
		d.mu.Unlock()
		a := c.send(h.front, http.MethodPost, "/order/2f", id, nil, "one board", 4*time.Second)
		if a.status != http.StatusOK {
			d.play.record("client gets %d for request %s, error %v", a.status, id, a.err)
			continue
		}
		if a.header.Get("Server-Leaving") == "" {
			continue
		}
		d.mu.Lock()
		if l := d.by[id]; l.passed.IsZero() {
			l.passed = time.Now()
			d.play.record("client gets the first answer with Server-Leaving of %s, to request %s", l.id, id)
		}
		d.mu.Unlock()
	}
}

// playDrain lets workers leave that are cut off from the store, while the operator moves the
// routes to another service and back.
func playDrain(p *play) (bool, error) {
	z := zone{"a1", "ra"}
	dep, err := newDeployment(z)
	if err != nil {
		return false, err
	}
	defer dep.close()
	d := &drainPlay{play: p, operator: &operator{play: p, store: dep.store}, sent: make(map[string]time.Time), by: make(map[string]*leaver)}
	d.putConfig("blue", false)
	for i := range 2 * drainStaying {
		name := []string{"blue", "green"}[i%2]
		w, err := newWorker(dep.store, fmt.Sprintf("i-%s-%d", name, i/2), name, z, d.serve(nil))
		if err != nil {
			return false, err
		}
		defer w.close()
	}
	h, err := dep.addHost(z, nil)
	if err != nil {
		return false, err
	}
	if err := dep.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for range drainClients {
		clients.Go(func() { d.send(h, stop) })
	}
	for i := range drainRounds {
		if err := d.round(fmt.Sprintf("i-leaves-%d", i+1), z); err != nil {
			return false, err
		}
	}
	close(stop)
	clients.Wait()
	p.record("%d requests of %d reached a worker too late", d.late, len(d.sent))
	return d.late > 0, nil
}

// round plays one worker that leaves.
func (d *drainPlay) round(id string, z zone) error {
	began := time.Now()
	l := &leaver{}
	w, err := newWorker(d.store, id, "blue", z, d.serve(l))
	if err != nil {
		return err
	}
	defer w.close()
	l.worker = w
	time.Sleep(2*heartbeat + 50*time.Millisecond) // it has just renewed its entry
	at := time.Now()
	l.leaving.Store(true)
	expires := w.cutOff()
	d.play.record("%s leaves; it is cut off from the store, which removes its entry %.3f s from now", id, expires.Sub(at).Seconds())
	if d.trouble {
		time.Sleep(time.Until(at.Add(drainMoved)))
		d.putConfig("green", true)
		time.Sleep(time.Until(at.Add(drainBack)))
		d.putConfig("blue", false)
	}
	time.Sleep(time.Until(at.Add(drainEnds)))
	d.play.record("%s ends", id)
	w.close()
	time.Sleep(time.Until(began.Add(drainRound)))
	return nil
}
