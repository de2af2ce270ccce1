package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// streamRoutes are the routes of the cases on answers that end with their connection.
var streamRoutes = []route{
	{Name: "chat", Host: hostName, Prefix: "/stream/", Kind: "stream", Service: "desk", Timeout: 10000, Goal: 1000, Attempts: 1},
	{Name: "book", Host: hostName, Prefix: "/body/", Kind: "unsafe", Service: "desk", Timeout: 4000, Goal: 400, Attempts: 1},
}

// startOne starts one host with a configuration of the desk service and its servers.
func startOne(w *world, workers int, more ...string) (*host, []*process, error) {
	if _, err := w.store.put("op/config", config(1, []string{"desk"}, streamRoutes, nil)); err != nil {
		return nil, nil, err
	}
	var list []*process
	for i := range workers {
		p, err := w.startWorker(fmt.Sprintf("w%d", i+1), "", more...)
		if err != nil {
			return nil, nil, err
		}
		list = append(list, p)
	}
	h, err := w.newHost(hostOptions{name: "h1", site: "a", region: "r", sites: map[string]string{"a": "r"}, first: true})
	if err != nil {
		return nil, nil, err
	}
	if err := w.startHost(h); err != nil {
		return nil, nil, err
	}
	time.Sleep(2 * time.Second) // the host has read the list
	return h, list, nil
}

// cutStreams reports how many answers look complete before the last event of their stream.
func cutStreams(w *world, answers []answer) int {
	n := 0
	for _, a := range answers {
		last, total := lastEvent(a.body)
		early := a.status == http.StatusOK && a.err == nil && last < total
		if early {
			n++
		}
		w.logf("caller got %v, event %d of %d, early end looks complete: %v", a, last, total, early)
	}
	return n
}

// openEvery is how many answers of a worker there are for each one that ends with its connection:
// one in twenty, the share of the site file.
const openEvery = "20"

// sendStreams sends streams of 20 events, and calls meanwhile while they run.
func sendStreams(w *world, h *host, n int, meanwhile func()) []answer {
	answers := make([]answer, n)
	var done sync.WaitGroup
	for i := range n {
		done.Go(func() {
			id := fmt.Sprintf("s%03d", i)
			w.logf("caller sends %s", id)
			answers[i] = call(h.front, http.MethodPost, "/stream/20/200/0", id, 10*time.Second)
		})
	}
	time.Sleep(1500 * time.Millisecond)
	meanwhile()
	done.Wait()
	return answers
}

// caseZone kills all servers of a data centre at the same moment, while their answers run.
func caseZone(w *world) (verdict, error) {
	h, workers, err := startOne(w, 3, "-open", openEvery)
	if err != nil {
		return verdict{}, err
	}
	answers := sendStreams(w, h, 75, func() {
		if !w.trouble {
			return
		}
		w.logf("all servers of data centre a are killed")
		for _, p := range workers {
			p.signal(syscall.SIGKILL)
		}
	})
	return verdict{broken: cutStreams(w, answers) > 0}, nil
}

// caseSpot lets one of seven servers announce that it is gone after 2 s, and kills it then.
func caseSpot(w *world) (verdict, error) {
	h, workers, err := startOne(w, 7, "-open", openEvery)
	if err != nil {
		return verdict{}, err
	}
	answers := sendStreams(w, h, 175, func() {
		w.logf("server w1 announces that it leaves")
		workers[0].tell("drain 2000")
		time.Sleep(2 * time.Second)
		if w.trouble {
			w.logf("the time of server w1 has run out: it is killed")
			workers[0].kill()
		}
	})
	return verdict{broken: cutStreams(w, answers) > 0}, nil
}
