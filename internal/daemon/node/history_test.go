package node

import (
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/quota"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// recordingShares are the rate limit shares of one host, without token pools and clock.
// They record the largest share that each organisation has had in each data centre.
type recordingShares struct {
	*quota.Shares
	snap    *model.Snapshot
	largest map[string]float64
}

func (s *recordingShares) Apply(snap *model.Snapshot, floor uint64) {
	s.snap = snap
	s.Shares.Apply(snap)
	s.record()
	s.SetFloor(floor)
	s.record()
}

func (s *recordingShares) Restore(history []quota.Change) {
	s.Shares.Restore(history)
	s.record()
}

// record updates the largest shares with the current ones.
func (s *recordingShares) record() {
	if s.snap == nil {
		return
	}
	for i := range s.snap.Config.Orgs {
		for _, site := range s.snap.Config.Sites {
			org := &s.snap.Config.Orgs[i]
			f := s.Slot(org, site.Name)
			key := org.Name + "@" + site.Name
			s.largest[key] = max(s.largest[key], float64(f.Num)/float64(f.Den))
		}
	}
}

// testHost is the limits and the history of one host.
type testHost struct {
	recordingShares
	history
}

func newTestHost() *testHost {
	l := &testHost{recordingShares: recordingShares{Shares: quota.NewShares(), largest: map[string]float64{}}}
	l.limits = &l.recordingShares
	return l
}

// pull passes the history of from to l, encoded as in a pull reply.
func (l *testHost) pull(t *testing.T, from *testHost, now time.Time) {
	t.Helper()
	reply := &peerpb.PullReply{Version: from.snap.Version, Patch: []byte("snapshot")}
	from.addTo(reply, now)
	data, err := proto.Marshal(reply)
	if err != nil {
		t.Fatal(err)
	}
	got := &peerpb.PullReply{}
	if err := proto.Unmarshal(data, got); err != nil {
		t.Fatal(err)
	}
	l.receive(got)
}

// twoVersions returns two configurations. In the second, organisation "moves" has
// another home, and the number of slots may differ; with fewer slots, the share of each
// slot is larger.
func twoVersions(slotsBefore, slotsAfter int) (before, after *model.Snapshot) {
	cfg := func(home string, slots int) *model.Config {
		return &model.Config{
			Regions: []model.Region{{Name: "west"}, {Name: "east"}},
			Sites:   []model.Site{{Name: "a", Region: "west", Slots: slots}, {Name: "b", Region: "east", Slots: slots}},
			Orgs:    []model.Org{{Name: "moves", Rate: 100, Burst: 100, HomeRegion: home}, {Name: "stays", Rate: 100, Burst: 100, HomeRegion: "west"}},
		}
	}
	return model.NewSnapshot(1, "1", cfg("west", slotsBefore)), model.NewSnapshot(2, "2", cfg("east", slotsAfter))
}

// share returns a slot's share of an organisation's limit in a data centre, when all
// hosts have the same version.
func share(snap *model.Snapshot, org, site string) float64 {
	s := quota.NewShares()
	s.Apply(snap)
	s.Restore(nil)
	f := s.Slot(snap.Org(org), site)
	return float64(f.Num) / float64(f.Den)
}

var baseTime = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// TestHistory guards against a host that starts while a home or the number of slots
// changes, and then uses a larger share than hosts with the older version leave, or a
// smaller share than a complete history allows. It also guards against a history with a
// gap that is passed on as a complete one.
func TestHistory(t *testing.T) {
	for _, tt := range []struct {
		name          string
		before, after int
	}{
		{"home", 2, 2},
		{"home and fewer slots", 4, 2},
		{"home and more slots", 2, 4},
	} {
		t.Run(tt.name, func(t *testing.T) {
			v1, v2 := twoVersions(tt.before, tt.after)
			running := newTestHost()
			running.apply(v1, 1, baseTime)
			now := baseTime.Add(time.Minute)
			running.apply(v2, 1, now) // a third host still has version 1

			started, second := newTestHost(), newTestHost()
			started.pull(t, running, now)
			started.apply(v2, 0, now)
			second.pull(t, started, now)
			second.apply(v2, 1, now)
			unknown, after := newTestHost(), newTestHost()
			unknown.apply(v2, 0, now) // read from the store, without history
			after.pull(t, unknown, now)
			after.apply(v2, 1, now)
			for _, org := range []string{"moves", "stays"} {
				for _, site := range []string{"a", "b"} {
					// If one version changes both, every combination of home and slots counts,
					// so the share may be below those of both versions.
					smaller := min(share(v1, org, site), share(v2, org, site))
					key := org + "@" + site
					f := running.Slot(v2.Org(org), site)
					want := float64(f.Num) / float64(f.Den)
					if want > smaller || (tt.before == tt.after && want != smaller) {
						t.Errorf("running: share of %s is %v, want %v", key, want, smaller)
					}
					for name, h := range map[string]*testHost{"started": started, "started from that one": second} {
						if got := h.largest[key]; got != want {
							t.Errorf("%s: share of %s is %v, want %v", name, key, got, want)
						}
					}
					if got := after.largest[key]; tt.before == tt.after && got > 0.15 {
						t.Errorf("unknown history: share of %s is %v, want at most that of any home, 0.15", key, got)
					}
				}
			}
			started.largest = map[string]float64{}
			started.apply(v2, 2, now)
			if got, want := started.largest["moves@b"], share(v2, "moves", "b"); got != want {
				t.Errorf("share after version 1 is no longer in use: %v, want %v", got, want)
			}
			for _, d := range []time.Duration{0, 3 * quota.GrantLength} {
				unknown.apply(v2, 2, now)
				next := newTestHost()
				next.pull(t, unknown, now.Add(d))
				if complete := next.complete == 2; complete != (d > 0) {
					t.Errorf("%v after the floor has passed: complete history %v, want %v", d, complete, d > 0)
				}
			}
		})
	}
}

// TestHistoryBehind guards against a history that is passed on as complete by a host
// that has not yet applied the version of the reply to its limits.
func TestHistoryBehind(t *testing.T) {
	v1, v2 := twoVersions(2, 2)
	running, started := newTestHost(), newTestHost()
	running.apply(v1, 1, baseTime)
	now := baseTime.Add(time.Minute)
	running.snap = v2 // in force, but not yet applied to the limits
	started.pull(t, running, now)
	started.apply(v2, 1, now)
	if got := started.largest["moves@b"]; got > 0.15 {
		t.Errorf("share is %v, want at most 0.15", got)
	}
}
