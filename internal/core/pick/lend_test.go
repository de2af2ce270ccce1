package pick

import (
	"testing"
	"time"
)

// TestLenders guards against requests that are sent on to hosts which have no room, have
// refused one, or have reported nothing lately.
func TestLenders(t *testing.T) {
	tab := newTable(1)
	free := HostRoom{Own: 4, Running: 1, Limited: true}
	tab.MergeRoom("free", free, epoch)
	tab.MergeRoom("none", HostRoom{Limited: true}, epoch)
	tab.MergeRoom("crowded", HostRoom{Own: 4, Running: 4, Waiting: 4, Limited: true}, epoch)
	tab.MergeRoom("refused", free, epoch)
	tab.Lend("refused")
	tab.Lent("refused", true)
	got := tab.Lenders(epoch)
	if len(got) != 1 || got["free"] != 3 {
		t.Errorf("lenders %v, want 3 requests at host free", got)
	}
	for range 3 {
		tab.Lend("free")
	}
	if w := tab.Lenders(epoch)["free"]; w <= 0 || w >= 1 {
		t.Errorf("weight %v while no request waits, want little", w)
	}
	tab.MergeRoom("refused", free, epoch.Add(time.Second))
	if w := tab.Lenders(epoch.Add(time.Second))["refused"]; w != 3 {
		t.Errorf("weight %v after a new report, want 3", w)
	}
	if got := tab.Lenders(epoch.Add(3 * time.Second)); len(got) != 0 {
		t.Errorf("lenders %v by old reports, want none", got)
	}
}

// TestLoadOfEndedHost guards against the load of a host that has ended and counts for good.
func TestLoadOfEndedHost(t *testing.T) {
	tab := newTable(1)
	tab.MergePeer("ended", map[string]Load{"s0": {Running: 5}}, nil, epoch)
	tab.Update(engine, entries(1), nil, allDiscovered("h0", "other"), epoch.Add(time.Minute))
	if c, ok := tab.Pick(&Request{}, epoch.Add(time.Minute)); !ok || c.Load.Running != 0 {
		t.Errorf("%d requests of a host that has ended count", c.Load.Running)
	}
}
