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

// TestOrder guards against hosts that disagree on who carries reports, and
// against carriers of one data centre, which a single cut would silence.
func TestOrder(t *testing.T) {
	hosts := region(25)
	want := Order(hosts)
	if want[0].Site == want[1].Site {
		t.Errorf("the first two are both of %s", want[0].Site)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		rng.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
		if diff := cmp.Diff(want, Order(hosts), cmpopts.EquateComparable(spec.Host{})); diff != "" {
			t.Fatalf("the order depends on that of the list:\n%s", diff)
		}
	}
	for i, h := range want {
		if r := Rank(h.Name, want); r != i {
			t.Errorf("rank %d of host %d", r, i)
		}
	}
	if r := Rank("nobody", want); r != len(want) {
		t.Errorf("rank %d of a host that is not listed", r)
	}
}

// TestWidth guards against reports that stop because the few hosts that carry
// them can't reach each other.
func TestWidth(t *testing.T) {
	tests := []struct {
		age  time.Duration
		want int
	}{
		{0, pair},
		{overdue, pair},
		{overdue + 1, pair * widen},
		{overdue + widenAfter + 1, pair * widen * widen},
		{time.Hour, All},
	}
	for _, tt := range tests {
		if got := Width(tt.age); got != tt.want {
			t.Errorf("after %v: %d hosts, want %d", tt.age, got, tt.want)
		}
	}
}

// TestLoad is the exchange of reports in fleets of unlike size. It guards
// against a host that sends more the more hosts other regions have, and against
// more than two hundred reports a second to its own region.
func TestLoad(t *testing.T) {
	for _, n := range []int{7, 75, 300} {
		hosts := n / 3
		near := float64(hosts-1) / Interval(hosts).Seconds()
		far := float64(2*Width(0)) / Far.Seconds()
		t.Logf("%d hosts in 3 regions: a host sends %.0f reports a second to its region, the carriers %.1f to others", n, near, far)
		if near > 200 || far > 10 {
			t.Errorf("%d hosts: %.0f and %.1f reports a second", n, near, far)
		}
	}
}
