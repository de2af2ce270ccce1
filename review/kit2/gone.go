package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// drainTime is the time after the store's acknowledgement within which a server that has left
	// must get no more requests.
	drainTime = 3 * time.Second
	// cutTime is how long a host is cut off, and leaveAfter when in this time a server leaves.
	cutTime    = 5500 * time.Millisecond
	leaveAfter = 500 * time.Millisecond
)

// startPair starts two hosts of a region, a relay between them, and three servers.
func startPair(w *world) (r *relay, first, second *host, workers []*process, err error) {
	if _, err = w.store.put("op/config", config(1, []string{"desk"}, streamRoutes, nil)); err != nil {
		return nil, nil, nil, nil, err
	}
	for i := range 3 {
		p, err := w.startWorker(fmt.Sprintf("w%d", i+1), "")
		if err != nil {
			return nil, nil, nil, nil, err
		}
		workers = append(workers, p)
	}
	var peers [2]string
	for i := range peers {
		if peers[i], err = freeAddr(); err != nil {
			return nil, nil, nil, nil, err
		}
	}
	if r, err = newRelay(peers[0], peers[1]); err != nil {
		return nil, nil, nil, nil, err
	}
	var hosts [2]*host
	for i := range hosts {
		view, err := r.view(w.store, i, i == 1)
		if err != nil {
			return nil, nil, nil, nil, err
		}
		hosts[i], err = w.newHost(hostOptions{name: fmt.Sprintf("h%d", i+1), site: "a", region: "r", sites: map[string]string{"a": "r"}, first: true, store: view, peer: peers[i]})
		if err != nil {
			return nil, nil, nil, nil, err
		}
		if err := w.startHost(hosts[i]); err != nil {
			return nil, nil, nil, nil, err
		}
	}
	time.Sleep(7 * time.Second) // both are in touch
	return r, hosts[0], hosts[1], workers, nil
}

// caseBack cuts one of two hosts off from the store and from the other one. A server leaves meanwhile, as
// some do, without a word. Callers use the host that is not cut off.
func caseBack(w *world) (verdict, error) {
	r, first, _, workers, err := startPair(w)
	if err != nil {
		return verdict{}, err
	}
	stop := make(chan struct{})
	var done, asking sync.WaitGroup
	asking.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			done.Go(func() {
				a := call(first.front, http.MethodPost, "/body/800/0/30", fmt.Sprintf("b%04d", n), 4*time.Second)
				w.logf("caller of h1 got %v", a)
			})
		}
	})
	time.Sleep(time.Second)
	if w.trouble {
		w.logf("host h2 is cut off from the store and from h1")
		r.cut.Store(true)
	}
	began := time.Now()
	time.Sleep(leaveAfter)
	workers[0].tell("leave")
	time.Sleep(time.Until(began.Add(cutTime - time.Second)))
	w.store.awaitCall("/-/kv-range")
	if _, err := w.startWorker("w4", ""); err != nil {
		return verdict{}, err
	}
	if w.trouble {
		r.heal()
		w.logf("the cut is over")
	}
	time.Sleep(4 * time.Second)
	close(stop)
	asking.Wait()
	done.Wait()
	return verdict{broken: w.afterLeaving("w1") > 0}, nil
}

// afterLeaving returns how many requests a server ran later than drainTime after its entry was removed.
func (w *world) afterLeaving(id string) int {
	var left time.Time
	late := 0
	for _, l := range w.workerLines() {
		f := strings.Fields(l.text)
		if f[0] != id {
			continue
		}
		switch {
		case f[1] == "left":
			left = l.at
		case f[1] == "runs" && !left.IsZero() && l.at.Sub(left) > drainTime:
			late++
		}
	}
	w.logf("server %s ran %d requests later than %v after its entry was removed", id, late, drainTime)
	return late
}
