package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
)

// TestServerBeginsAgain guards against a server that ignores Last-Event-Id and begins a stream
// again, whose events are added to those that the caller has.
func TestServerBeginsAgain(t *testing.T) {
	for name, scripts := range map[string][2]string{
		"ids": {origin.Events(1, 3), origin.Events(1, 6)}, "an event without an id first": {origin.Events(1, 3), "data: hello\n\n" + origin.Events(1, 6)},
	} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t)
			e := cl.host("a1")
			for i := range 3 {
				cl.server(fmt.Sprint("s", i), "a1", func(x *origin.Exchange) bool {
					x.StartStream()
					if x.Header.Get(platform.HeaderLastEventID) == "" {
						x.Chunk(scripts[0])
						time.Sleep(10 * time.Millisecond)
						return isWarmUp(x) && x.EndStream()
					}
					x.Chunk(scripts[1])
					return x.EndStream()
				})
			}
			cl.warmUp(e)
			resp := cl.do(e, post("/ask/x", "1"))
			if resp.Body != scripts[0] || resp.Err == nil {
				t.Errorf("status %d, error %v, body %q", resp.Status, resp.Err, resp.Body)
			}
			a := attempt{id: nextID(), last: 3}
			resp = cl.do(e, a.resume())
			if resp.Body != "" || resp.Status != http.StatusBadGateway {
				t.Errorf("taken up: status %d, error %v, body %q", resp.Status, resp.Err, resp.Body)
			}
		})
	}
}

// TestStreamWithoutIDs guards against a stream whose events have no identifiers, so that no server
// can go on with it, and which begins again within the same response when it breaks off.
func TestStreamWithoutIDs(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	for i := range 3 {
		cl.server(fmt.Sprint("s", i), "a1", func(x *origin.Exchange) bool {
			x.StartStream()
			x.Chunk("data: part 1\n\n")
			time.Sleep(10 * time.Millisecond)
			return isWarmUp(x) && x.EndStream()
		})
	}
	cl.warmUp(e)
	resp := cl.do(e, post("/ask/x", "1"))
	if resp.Body != "data: part 1\n\n" || resp.Err == nil {
		t.Errorf("status %d, error %v, body %q", resp.Status, resp.Err, resp.Body)
	}
}
