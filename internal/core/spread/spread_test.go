package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

func region(n int) []spec.Host {
	var hosts []spec.Host
	for i := range n {
		hosts = append(hosts, spec.Host{Name: fmt.Sprint("host-", i), Site: fmt.Sprint("site-", i%2)})
	}
	return hosts
}

// TestOrder guards against hosts that disagree on which of them report to remote
// regions, and against choosing hosts of one data centre only, which a single
// partition would disconnect.
func TestOrder(t *testing.T) {
	hosts := region(25)
	want := Order(hosts)
	if want[0].Site == want[1].Site {
		t.Errorf("the first two hosts are both in %s", want[0].Site)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		if diff := cmp.Diff(want, Order(hosts), cmpopts.EquateComparable(spec.Host{})); diff != "" {
			t.Fatalf("the order depends on the order of the input:\n%s", diff)
		}
	}
	for i, h := range want {
		if r := Position(h.Name, want); r != i {
			t.Errorf("position %d of host %d", r, i)
		}
	}
	if r := Position("nobody", want); r != len(want) {
		t.Errorf("position %d of a host that is not listed", r)
	}
}

// TestWidth guards against reports that stop because the few hosts that exchange
// them can't reach each other.
func TestWidth(t *testing.T) {
	tests := []struct {
		age  time.Duration
		want int
	}{
		{0, minWidth},
		{overdue, minWidth},
		{overdue + 1, minWidth * widenFactor},
		{overdue + widenInterval + 1, minWidth * widenFactor * widenFactor},
		{time.Hour, AllHosts},
	}
	for _, tt := range tests {
		if got := Width(tt.age); got != tt.want {
			t.Errorf("after %v: %d hosts, want %d", tt.age, got, tt.want)
		}
	}
}

// TestReportRate checks the rate of reports in fleets of different sizes. It guards
// against a rate to remote regions that grows with the number of hosts there, and
// against more than two hundred reports a second to the local region.
func TestReportRate(t *testing.T) {
	for _, n := range []int{7, 75, 300} {
		hosts := n / 3
		local := float64(hosts-1) / Interval(hosts).Seconds()
		remote := float64(2*Width(0)) / RemoteInterval.Seconds()
		t.Logf("%d hosts in 3 regions: a host sends %.0f reports a second to its region, and %.1f to remote ones if it is one of the first", n, local, remote)
		if local > 200 || remote > 10 {
			t.Errorf("%d hosts: %.0f and %.1f reports a second", n, local, remote)
		}
	}
}
