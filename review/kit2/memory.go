package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// memoryMB is the memory of a host in its settings.
	memoryMB = 284
	// crowdSize is the number of callers, crowdTime how long they send, and longID the length of
	// the identifiers that they send: the head stays below 64 KiB.
	crowdSize = 100
	crowdTime = 25 * time.Second
	longID    = 58_000
)

// resident returns the memory in MB that a process has in use.
func resident(p *process) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), "VmRSS:")
	kb := 0
	_, _ = fmt.Sscan(rest, &kb) // 0 once the process has ended
	return kb >> 10
}

// movingServices are the services to which the route of streams leads, one after the other.
var movingServices = []string{"desk", "spare"}

// movingRoutes are the routes of a version that sends streams to a service.
func movingRoutes(service string) []route {
	return []route{
		{Name: "ask", Host: hostName, Prefix: "/stream/", Kind: "stream", Service: service, Timeout: 5000, Goal: 800, Attempts: 2, Resumable: true},
		{Name: "book", Host: hostName, Prefix: "/body/", Kind: "unsafe", Service: movingServices[0], Timeout: 4000, Goal: 400, Attempts: 1},
	}
}

// startMoving starts a host and three servers of each service.
func startMoving(w *world) (*host, error) {
	if _, err := w.store.put("op/config", config(1, movingServices, movingRoutes(movingServices[0]), nil)); err != nil {
		return nil, err
	}
	for _, service := range movingServices {
		for i := range 3 {
			if _, err := w.startWorker(fmt.Sprintf("%s%d", service, i+1), "", "-service", service, "-quiet"); err != nil {
				return nil, err
			}
		}
	}
	h, err := w.newHost(hostOptions{name: "h1", site: "a", region: "r", sites: map[string]string{"a": "r"}, first: true})
	if err != nil {
		return nil, err
	}
	if err := w.startHost(h); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second) // the host has read the list
	return h, nil
}

// caseCrowd lets callers send requests with long identifiers, while a version of the configuration moves the
// route of their streams to another service. The process of the host is killed, as the platform does, once it
// exceeds its memory. Without the disruption the identifiers are short.
func caseCrowd(w *world) (verdict, error) {
	h, err := startMoving(w)
	if err != nil {
		return verdict{}, err
	}
	filler := ""
	if w.trouble {
		filler = strings.Repeat("x", longID)
	}
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	var sent, answered, refused atomic.Int64
	for i := range crowdSize {
		crowd.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if !keepAsking(h.front, i, filler, stop, &sent, &answered, &refused) {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	w.logf("version 2 moves the route of the streams to another service")
	if _, err := w.store.put("op/config", config(2, movingServices, movingRoutes(movingServices[1]), nil)); err != nil {
		return verdict{}, err
	}
	most, killed := 0, false
	for end := time.Now().Add(crowdTime); time.Now().Before(end) && !killed; time.Sleep(50 * time.Millisecond) {
		now := resident(h.process)
		if now > most+20 {
			w.logf("host h1 uses %d MB; %d requests sent, %d answered, %d of them refused as not run", now, sent.Load(), answered.Load(), refused.Load())
		}
		most = max(most, now)
		if now > memoryMB {
			w.logf("host h1 exceeds its memory of %d MB: the platform kills it", memoryMB)
			h.kill()
			killed = true
		}
	}
	close(stop)
	crowd.Wait()
	time.Sleep(time.Second)
	a := call(h.front, http.MethodPost, "/body/800/0/30", "ordinary", 4*time.Second)
	w.logf("most memory %d MB; an ordinary caller got %v", most, a)
	return verdict{broken: killed}, nil
}

// keepAsking sends requests on a connection until it ends, and reports whether any was answered.
func keepAsking(addr string, caller int, filler string, stop <-chan struct{}, sent, answered, refused *atomic.Int64) bool {
	c, err := net.DialTimeout("tcp4", addr, time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }() // nothing is left to read
	br := bufio.NewReader(c)
	for served := false; ; served = true {
		select {
		case <-stop:
			return served
		default:
		}
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		id := fmt.Sprintf("%d-%d-%s", caller, sent.Add(1), filler)
		if _, err := fmt.Fprintf(c, "POST /stream/2/5/50 HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: 2\r\n\r\nok", hostName, id); err != nil {
			return served
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return served
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return served
		}
		answered.Add(1)
		if resp.StatusCode == http.StatusServiceUnavailable {
			refused.Add(1)
		}
		if resp.Close {
			return true
		}
	}
}
