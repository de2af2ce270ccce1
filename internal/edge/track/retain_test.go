package track

import (
	"slices"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/edge/clock"
	"github.com/yuccalb/yuccalb/platform"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// listing returns a listing of servers at a revision of the store.
func listing(count int64, servers ...spec.Server) *Listing {
	return &Listing{
		Entries: platform.Entries{Servers: servers}, EntriesRev: eras.Revision{Count: count},
		Asked: time.Now(), Answered: time.Now(),
	}
}

// TestRetainedByPeer guards against requests to a server that has ended, or that leaves, because a host which
// was cut off meanwhile takes its entry for one that expired in an outage, and passes it on to a host that has
// read the entries all the while. It also guards against dropping servers whose entries did expire in an outage.
func TestRetainedByPeer(t *testing.T) {
	var (
		one     = spec.Server{ID: "s1", Service: "desk", Addr: addr, Born: 5, Seq: 10}
		other   = spec.Server{ID: "s2", Service: "desk", Addr: addr, Born: 5, Seq: 10}
		leaving = spec.Server{ID: "s1", Service: "desk", Addr: addr, Born: 5, Seq: 12, Leaving: true}
	)
	const cutOffAt = 100 // the revision that the other host read last before its cut
	for name, c := range map[string]struct {
		own      *Listing
		from     int64         // the revision from which the other host retains
		followed time.Duration // how long this host has followed the entries
		gap      time.Duration // how long its last confirmation was ago
		want     []spec.Server
	}{
		"seen to end":              {listing(150, other), cutOffAt, 10 * time.Second, time.Second, []spec.Server{other}},
		"ended before its start":   {listing(150, other), cutOffAt, 3 * time.Second, time.Second, []spec.Server{other}},
		"host states no revision":  {listing(150, other), 0, 10 * time.Second, time.Second, []spec.Server{other}},
		"leaves":                   {listing(150, leaving, other), cutOffAt, 10 * time.Second, time.Second, []spec.Server{other, leaving}},
		"leaves, read just now":    {listing(150, leaving, other), cutOffAt, time.Second, time.Second, []spec.Server{other, leaving}},
		"still listed":             {listing(150, one, other), cutOffAt, 10 * time.Second, time.Second, []spec.Server{other, one}},
		"read after an outage":     {listing(150, other), cutOffAt, time.Second, time.Second, []spec.Server{other, one}},
		"not read since":           {listing(150, other), cutOffAt, 10 * time.Second, 3 * time.Second, []spec.Server{other, one}},
		"read before the other":    {listing(90, other), cutOffAt, 10 * time.Second, time.Second, []spec.Server{other, one}},
		"nothing read":             {nil, cutOffAt, 0, 0, []spec.Server{other, one}},
		"retained by this host":    {&Listing{Entries: platform.Entries{Servers: []spec.Server{other}}, EntriesRev: eras.Revision{Count: 150}, Answered: time.Now(), Expired: []spec.Server{one}}, cutOffAt, 10 * time.Second, time.Second, []spec.Server{other, one}},
		"read in a restored store": {&Listing{Entries: platform.Entries{Servers: []spec.Server{other}}, EntriesRev: eras.Revision{Era: 1, Count: 20}, Answered: time.Now()}, cutOffAt, 10 * time.Second, time.Second, []spec.Server{other}},
	} {
		t.Run(name, func(t *testing.T) {
			read := listing(200, other)
			read.EntriesRev.Era = 1
			read.Expired, read.RetainUntil, read.ExpiredRev = []spec.Server{one}, time.Now().Add(2*time.Second), eras.Revision{Count: c.from}
			opts := Options{Store: platform.NewStore(addr, nil), Log: zap.NewNop(), OnChange: func() {}}
			o := &peerHost{Tracker: New(opts)}
			o.setListing(read, clock.Now())
			opts.PeerReader = o
			tr := New(opts)
			tr.mergeEra(eras.Era{Number: 1, Since: clock.Now() - eras.SettleTime}, "test")
			if c.own != nil {
				now := clock.Now()
				tr.setListing(c.own, now-c.gap-c.followed)
				for ago := c.followed; ago >= 0; ago -= time.Second {
					tr.entriesConfirmed.Raise(now - c.gap - ago)
				}
			}
			if err := tr.readPeerEntries(Source{Addr: addr}); err != nil {
				t.Fatal(err)
			}
			if got := tr.View().Usable(); !slices.Equal(got, c.want) {
				t.Errorf("servers %+v, want %+v", got, c.want)
			}
			if v := tr.View(); len(v.Expired) == 0 && !v.RetainUntil.IsZero() {
				t.Errorf("no server is retained until %v", v.RetainUntil)
			}
		})
	}
}

// TestServerEndsDuringCut guards against a server that has ended and is in use again at a host that has read so,
// because another host was cut off from the store and from it, and is the first to read a change afterwards.
func TestServerEndsDuringCut(t *testing.T) {
	t.Parallel()
	s := newStore(t)
	s.PutServer("s1", "desk", "a1", addr, "ready")
	proxy, cut := plattest.FaultProxy(t, s)
	o := &peerHost{Tracker: startAt(t, proxy, "h0", 0)}
	tr := startWithPeer(t, s.Addr(), o)
	eventually(t, "server", func() bool { return tr.hasServer("s1") && o.hasServer("s1") })
	time.Sleep(reregisterTime) // the host has followed the entries
	cut.Store(true)
	s.RemoveServer("s1")
	eventually(t, "server gone", func() bool { return !tr.hasServer("s1") })
	time.Sleep(2 * time.Second) // the outage of the other host
	eventually(t, "a read", func() bool { return clock.Now()-tr.entriesConfirmed.At() < 200*time.Millisecond })
	s.PutServer("s2", "desk", "a1", addr, "ready")
	cut.Store(false)
	eventually(t, "retained by the other host", func() bool { return o.hasServer("s2") && o.hasServer("s1") })
	for end := time.Now().Add(reregisterTime + time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if tr.hasServer("s1") {
			t.Fatal("a server that has ended is in use again")
		}
	}
	if !tr.hasServer("s2") {
		t.Error("the new server is missing")
	}
}
