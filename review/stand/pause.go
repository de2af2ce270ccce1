package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// pauseTime is what the worker asks for in Retry-After, and pauseGrace the time after
	// which the rule begins to count.
	pauseTime  = 6 * time.Second
	pauseGrace = 500 * time.Millisecond
	// pauseMost is the number of requests that may reach the worker in that time.
	pauseMost = 2
	// pauseRefusal is how long the worker takes to turn a request away.
	pauseRefusal = 50 * time.Millisecond
	// Times from the first refusal: when the route goes to the other service, and when it
	// comes back.
	pauseMoved = 300 * time.Millisecond
	pauseBack  = 2700 * time.Millisecond
	// pauseClients is the number of clients, and pauseGap the time between two requests of
	// each. pauseStaying is the number of sound workers of each service.
	pauseClients = 40
	pauseGap     = 80 * time.Millisecond
	pauseStaying = 4
)

// pausing is a worker that turns all requests away.
type pausing struct {
	play    *play
	mu      sync.Mutex
	refused time.Time // when it first answered 503
	late    int
	begun   chan struct{} // closed at the first refusal
}

// serve turns a request away, as not run and with the time to return.
func (w *pausing) serve(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	w.mu.Lock()
	if since := time.Since(w.refused); !w.refused.IsZero() && since > pauseGrace && since < pauseTime {
		w.late++
		w.play.record("request %s reaches the worker %.3f s after its first 503 with Retry-After: %.0f", id, since.Seconds(), pauseTime.Seconds())
	}
	w.mu.Unlock()
	time.Sleep(pauseRefusal)
	rw.Header().Del("X-Server-Seal")
	rw.Header().Set("X-Not-Run", "1")
	rw.Header().Set("Retry-After", strconv.FormatFloat(pauseTime.Seconds(), 'f', 0, 64))
	rw.WriteHeader(http.StatusServiceUnavailable)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refused.IsZero() {
		w.refused = time.Now()
		w.play.record("the worker answers 503 with Retry-After: %.0f to request %s", pauseTime.Seconds(), id)
		close(w.begun)
	}
}

// playPause lets a worker ask for a pause, while the operator moves the route to another service
// and back.
func playPause(p *play) (bool, error) {
	z := zone{"a1", "ra"}
	d, err := newDeployment(z)
	if err != nil {
		return false, err
	}
	defer d.close()
	o := &operator{play: p, store: d.store}
	o.putConfig("blue", false)
	run := func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(60 * time.Millisecond)
		_, _ = fmt.Fprint(w, r.Header.Get("X-Attempt-Id")) // the caller notices a cut
	}
	for i := range 2 * pauseStaying {
		name := []string{"blue", "green"}[i%2]
		w, err := newWorker(d.store, fmt.Sprintf("i-%s-%d", name, i/2), name, z, run)
		if err != nil {
			return false, err
		}
		defer w.close()
	}
	h, err := d.addHost(z, nil)
	if err != nil {
		return false, err
	}
	if err := d.startAll(); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	served := make([]int, pauseClients)
	for n := range pauseClients {
		clients.Go(func() {
			c := newClient()
			for {
				select {
				case <-stop:
					return
				case <-time.After(pauseGap):
				}
				if a := c.send(h.front, http.MethodPost, "/order/2f", newID(), nil, "one board", 4*time.Second); a.status == http.StatusOK {
					served[n]++
				}
			}
		})
	}
	full := &pausing{play: p, begun: make(chan struct{})}
	w, err := newWorker(d.store, "i-full", "blue", z, full.serve)
	if err != nil {
		return false, err
	}
	defer w.close()
	select {
	case <-full.begun:
	case <-time.After(20 * time.Second):
		return false, fmt.Errorf("no request has reached the worker")
	}
	if p.trouble {
		time.Sleep(pauseMoved)
		o.putConfig("green", true)
		time.Sleep(pauseBack - pauseMoved)
		o.putConfig("blue", false)
	}
	full.mu.Lock()
	end := full.refused.Add(pauseTime)
	full.mu.Unlock()
	time.Sleep(time.Until(end))
	close(stop)
	clients.Wait()
	sum := 0
	for _, n := range served {
		sum += n
	}
	full.mu.Lock()
	defer full.mu.Unlock()
	p.record("%d requests served; %d reached the worker in its pause, %d at most are allowed", sum, full.late, pauseMost)
	return full.late > pauseMost, nil
}
