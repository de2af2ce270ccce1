package pick

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

// TestNotice guards against long prompts that several hosts send to one server before they
// hear of each other's, and against a notice that counts beside the report that includes it.
func TestNotice(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	table := NewTable(spec.Service{Engine: true, Slots: 16, CacheTokens: 300_000}, rand.New(rand.NewPCG(1, 2)))
	servers := []spec.Server{{ID: "a", Born: 1}, {ID: "b", Born: 1}}
	table.Update(spec.Service{Engine: true, Slots: 16, CacheTokens: 300_000}, servers, nil, RegionHosts{Self: "h1", Hosts: []string{"h1", "h2"}, Discovered: true}, now)
	long := &Request{Prompt: 20_000, Output: 100}
	n := Notice{Server: "a", Load: Load{Running: 1, Unread: 20_000, Memory: 20_100}}
	table.MergeNotice("h2", n, now)
	if l := table.servers["a"].total(); l != (Load{}) {
		t.Errorf("load %+v by the notice of a host that has not reported", l)
	}
	table.MergePeer("h2", nil, nil, now)
	table.MergeNotice("h2", n, now)
	for range 10 {
		c, ok := table.Pick(long, now)
		if !ok || c.ID != "b" {
			t.Fatalf("long prompt sent to %q, where another one has been announced", c.ID)
		}
		if notice, due := c.Notice(long); !due || notice.Load.Unread != 20_000 {
			t.Errorf("notice %+v, due %v", notice, due)
		}
		table.Done(&c, Aborted, now)
	}
	table.MergePeer("h2", map[string]Load{"a": n.Load}, nil, now)
	if l := table.servers["a"].total(); l != n.Load {
		t.Errorf("load %+v after the report, want %+v", l, n.Load)
	}
}
