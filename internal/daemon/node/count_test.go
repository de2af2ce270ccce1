package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/fake/infra"
	"github.com/yuccalb/yuccalb/internal/fake/server"
)

// Guards against an organisation that gets its full rate and burst on each side of a
// network partition (I7). Admitted tokens are counted at the engines.
func TestRateLimitDuringPartition(t *testing.T) {
	const (
		smallKey    = "yk_small"
		rate, burst = 400, 2000
		cost        = 40 + 6 // tokens of a chat: response and prompt
	)
	f := newFleet(t, fleetSpec{
		hosts: []string{"east-a", "east-a", "west-a", "west-a"}, servers: []string{"east-a", "west-a"},
		engine: server.EngineConfig{Limit: 64},
		orgs:   []model.Org{{Name: "small", Rate: rate, Burst: burst, Keys: []model.Key{{Hash: model.HashKey(smallKey)}}}},
	})
	// admitted returns the tokens of the requests that a data centre's engine received.
	admitted := func(site string) (sum int64) {
		for _, r := range f.engines[site].Requests() {
			if strings.HasPrefix(r.ID, "small") {
				sum += cost
			}
		}
		return sum
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	start := time.Now()
	for i, n := range f.nodes {
		callers.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				n.send(request{key: smallKey, id: fmt.Sprintf("small-%d-%d", i, k), method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(40, true)})
			}
		})
	}
	sides := []string{"east-a", "west-a"}
	phase := func(name string, length time.Duration) {
		before, from := admitted(sides[0])+admitted(sides[1]), time.Now()
		var atStart [2]int64
		for i, site := range sides {
			atStart[i] = admitted(site)
		}
		time.Sleep(length)
		sum, took := admitted(sides[0])+admitted(sides[1])-before, time.Since(from).Seconds()
		t.Logf("%s: %d tokens in %.1f s (east %d, west %d), bound %d", name, sum, took, admitted(sides[0])-atStart[0], admitted(sides[1])-atStart[1], int64(rate*took)+burst)
		if name == "cut" && (admitted(sides[0]) == atStart[0] || admitted(sides[1]) == atStart[1]) {
			t.Error("one side of the partition admitted nothing")
		}
	}
	phase("joined", 3*time.Second)
	f.links.Cut("east-a", "west-a", platformGroup)
	phase("cut", 12*time.Second)
	f.links.Heal("east-a", "west-a", platformGroup)
	phase("healed", 5*time.Second)
	close(stop)
	callers.Wait()
	sum, bound := admitted(sides[0])+admitted(sides[1]), int64(rate*time.Since(start).Seconds())+burst
	t.Logf("%d tokens admitted, bound %d", sum, bound)
	if sum > bound {
		t.Errorf("%d tokens admitted, more than rate x time + burst = %d", sum, bound)
	}
}

// Guards against a booking that runs on both sides of a partition, or again after the
// partition has healed, while the platform loses responses, returns stale data, or both
// (I10). Also guards against a request that is reported as not run although it reached
// a server (I9).
func TestBookingDuringPartition(t *testing.T) {
	f := newFleet(t, fleetSpec{hosts: []string{"east-a", "east-a", "west-a", "west-a"}, servers: []string{"east-a", "west-a"}})
	for _, n := range f.nodes {
		f.eventually("booking before the partition", func() error { return n.book("first-"+n.base, "first-"+n.base).Failure() })
	}
	for _, c := range []struct {
		name         string
		isolatedFrom []string
		fault        infra.Fault
	}{
		{"cut", []string{"west-a"}, infra.Fault{}},
		{"lost", []string{"west-a"}, infra.Fault{Lose: 25}},
		{"old", []string{"west-a"}, infra.Fault{Old: 25}},
		{"both", []string{"west-a"}, infra.Fault{Lose: 25, Old: 25, Slow: 20 * time.Millisecond}},
		{"isolated", []string{"west-a", platformGroup}, infra.Fault{Lose: 12, Old: 12}},
		{"dropped", []string{"west-a"}, infra.Fault{Lose: 12}},
	} {
		const keys = 20
		drop := server.Fault{}
		if c.name == "dropped" { // the backend server's response is lost as well
			drop = server.Fault{Drop: server.DropRun, Count: 8}
		}
		f.links.Cut("east-a", c.isolatedFrom...)
		f.platform.SetFault(infra.PartKV, c.fault)
		for _, d := range f.plainServers {
			d.SetFault(drop)
		}
		total := make(map[string]int) // number of responses by the run state that they report
		var notRun []string           // IDs of requests reported as not run
		var mu sync.Mutex
		var callers sync.WaitGroup
		for k := range keys {
			for i, n := range f.nodes {
				callers.Go(func() {
					ref := fmt.Sprintf("%s-%d", c.name, k)
					id := fmt.Sprintf("%s-at-%d", ref, i)
					r := n.book(id, ref)
					mu.Lock()
					defer mu.Unlock()
					what := r.Run()
					if r.Failure() == nil {
						what = "done"
					}
					if what == "no" {
						notRun = append(notRun, id)
					}
					total[what]++
				})
			}
		}
		callers.Wait()
		f.links.Heal("east-a", c.isolatedFrom...)
		f.platform.SetFault(infra.PartKV, infra.Fault{})
		for _, r := range slices.Concat(f.plainServers["east-a"].Requests(), f.plainServers["west-a"].Requests()) {
			if id, _, _ := strings.Cut(r.ID, "."); slices.Contains(notRun, id) {
				t.Errorf("request %s reached a server and was reported as not run", id)
			}
		}
		for k := range keys {
			ref := fmt.Sprintf("%s-%d", c.name, k)
			for _, n := range f.nodes { // repeat on every host after the partition has healed
				n.book(ref, ref)
			}
			if ran := f.plainServers["east-a"].Runs()[ref] + f.plainServers["west-a"].Runs()[ref]; ran > 1 {
				t.Errorf("booking %s ran %d times", ref, ran)
			}
		}
		t.Logf("%s: %d bookings at %d hosts each: responses %v", c.name, keys, len(f.nodes), total)
	}
}

// Guards against a forwarded chat that hangs until its deadline, or whose response is
// truncated but looks complete, when the connection between the hosts stalls
// permanently (I8).
func TestStalledForward(t *testing.T) {
	f := newFleet(t, fleetSpec{
		hosts: []string{"east-a", "east-b", "west-a"}, servers: []string{"east-a", "east-b"},
		engine: server.EngineConfig{Token: 5 * time.Millisecond},
	})
	west := f.at("west-a")[0]
	for range 40 { // fills the retry budget
		if err := west.chat("before", 1).Failure(); err != nil {
			t.Fatal(err)
		}
	}
	for _, e := range f.engines { // longer than a stalled connection is tolerated
		e.SetFault(server.Fault{Slow: server.Duration(7 * time.Second), Count: 1})
	}
	if r := west.chat("slow", 1); r.Failure() != nil || len(r.Header.Values("X-Trail")) != 3 {
		t.Errorf("a slow engine counts as a stalled connection: %v, trail %q", r.Failure(), r.Header.Values("X-Trail"))
	}
	for _, e := range f.engines {
		e.SetFault(server.Fault{})
	}
	const tokens = 400
	want := server.Text([]byte("user\n"+prompt+"\n"), 0, tokens)
	for _, c := range []struct {
		name   string
		stream bool
		after  time.Duration
	}{
		{"at the start", true, 0},
		{"stream", true, 300 * time.Millisecond},
		{"whole response", false, 300 * time.Millisecond},
	} {
		done := make(chan result, 1)
		go func() {
			done <- west.send(request{id: "stall", method: http.MethodPost, path: "/v1/chat/completions", body: chatBody(tokens, c.stream)})
		}()
		site := ""
		f.eventually(c.name+": the chat runs", func() error {
			for name, e := range f.engines {
				if e.Running() > 0 {
					site = name
					return nil
				}
			}
			return fmt.Errorf("no request at an engine")
		})
		time.Sleep(c.after)
		f.links.Freeze(site, "west-a")
		start := time.Now()
		r := <-done
		text, complete := chatText(t, r, c.stream)
		t.Logf("%s: %s after the stall: status %d, complete %t, %d of %d bytes of text, reason %q", c.name, time.Since(start).Round(10*time.Millisecond), r.Status, complete, len(text), len(want), r.Reason())
		switch {
		case r.Err != nil: // connection closed early: the caller sees that the response is incomplete
		case complete && text != want:
			t.Errorf("%s: the response looks complete and has %d of %d bytes of text", c.name, len(text), len(want))
		case !complete && !strings.HasPrefix(want, text):
			t.Errorf("%s: the partial response is not a prefix of the expected text", c.name)
		case !complete && !strings.Contains(string(r.Body), `"error"`):
			t.Errorf("%s: the response was truncated without an error: %.200s", c.name, r.Body)
		}
		if strings.Contains(string(r.Body), "deadline has passed") {
			t.Errorf("%s: the stall was noticed only at the request's deadline", c.name)
		}
		f.eventually(c.name+": chats are served over new connections", func() error { return west.chat("after", 3).Failure() })
	}
}

// chatText returns the text of a chat response and whether the response looks complete.
func chatText(t *testing.T, r result, stream bool) (text string, complete bool) {
	t.Helper()
	type choice struct {
		Delta, Message struct{ Content string }
	}
	var parts []string
	if !stream {
		parts = []string{string(r.Body)}
	} else {
		for _, line := range strings.Split(string(r.Body), "\n") {
			data, ok := strings.CutPrefix(line, "data: ")
			if ok && data == "[DONE]" {
				complete = true
			} else if ok {
				parts = append(parts, data)
			}
		}
	}
	for _, part := range parts {
		var v struct{ Choices []choice }
		if err := json.Unmarshal([]byte(part), &v); err != nil {
			t.Errorf("event or body %.100q: %v", part, err)
		}
		for _, c := range v.Choices {
			text += c.Delta.Content + c.Message.Content
			complete = complete || !stream
		}
	}
	return text, complete
}
