package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/await"
	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/internal/fake/proc"
)

// heldRequests is the number of requests that are held at once.
const heldRequests = 20

// TestDeadlineOfHeldRequest guards against a deadline that is handed to a server although most of the
// caller's time has passed while the request was held between two hosts, or at one that stood
// still.
func TestDeadlineOfHeldRequest(t *testing.T) {
	bin, err := proc.Build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	f := newFleet(t, bin, 2)
	f.tasks.Go(f.beat)
	defer f.tasks.Wait()
	defer close(f.ended)
	defer f.pool.close()
	defer f.links.end()
	last := f.hosts[len(f.hosts)-1] // its region may not serve these streams
	ask := func(name string) line.Response {
		path := fmt.Sprintf("/ask/%s-%s", f.name, name)
		c := caller{f: f, site: last.site, rng: f.rng}
		return c.sendTo(last.callers.Addr(), line.Post(path, ""), path+"-0", true, 4*time.Second, 4*time.Second)
	}
	await.For(t, serveTimeout, "stream served", func() error {
		if a := ask(fmt.Sprint("first-", time.Now().UnixNano())); a.Status != http.StatusOK || a.Err != nil {
			return fmt.Errorf("status %d, error %w", a.Status, a.Err)
		}
		return nil
	})
	askAll := func(name string) {
		var all sync.WaitGroup
		for i := range heldRequests {
			all.Go(func() { ask(fmt.Sprint(name, "-", i)) })
		}
		all.Wait()
	}
	for i := range 5 { // so that the host knows the clocks of all others
		askAll(fmt.Sprint("early-", i))
	}
	for _, h := range f.hosts {
		if h.site != last.site {
			_ = h.process.Signal(syscall.SIGSTOP) // fails if the process has exited, here and below
		}
	}
	go func() {
		time.Sleep(1500 * time.Millisecond)
		for _, h := range f.hosts {
			_ = h.process.Signal(syscall.SIGCONT)
		}
	}()
	askAll("held")
	// A busy machine may hold a few beyond that; the rule allows one in lateShare.
	if n, of := f.checks.overdue(); n*lateShare > heldRequests {
		t.Errorf("%d of %d arrivals have a deadline that ends over %v after the caller's", n, of, deadlineSlack)
	}
}
