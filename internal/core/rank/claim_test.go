package rank

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

var start = time.Unix(1_700_000_000, 0)

// at returns a time after the start.
func at(d time.Duration) time.Time { return start.Add(d) }

// TestCompare guards against an order in which callers lose more than they must: a rule that
// is applied before a more important one.
func TestCompare(t *testing.T) {
	fresh := Claim{Priority: 1, Level: 1, Due: at(800 * ms), Deadline: at(6 * time.Second), Work: 300 * ms, Since: start, Until: at(200 * ms)}
	with := func(change func(*Claim)) Claim {
		c := fresh
		change(&c)
		return c
	}
	tests := []struct {
		name          string
		first, second Claim
		now           time.Duration
	}{
		{"priority before level", with(func(c *Claim) { c.Priority, c.Level = 0, 2 }), fresh, 0},
		{"level before being on time", with(func(c *Claim) { c.Level, c.Due = 0, at(100*ms) }), fresh, 0},
		{"on time before an earlier due time", fresh, with(func(c *Claim) { c.Due = at(200 * ms) }), 0},
		{"late since its start must be over", fresh, with(func(c *Claim) { c.Due = at(350 * ms) }), 60 * ms},
		{"earlier latest start before less work", with(func(c *Claim) { c.Work = 400 * ms }), fresh, 0},
		{"less work at the same latest start", with(func(c *Claim) { c.Work, c.Due = 100*ms, at(600*ms) }), fresh, 0},
		{"earlier arrival", fresh, with(func(c *Claim) { c.Since, c.Until = at(10*ms), at(210*ms) }), 20 * ms},
		{"without a goal after those with one", fresh, with(func(c *Claim) { c.Due = time.Time{} }), 0},
		{"without a goal on time until its deadline", with(func(c *Claim) { c.Due = time.Time{} }), with(func(c *Claim) { c.Due = at(100 * ms) }), 0},
		{"neither goal nor deadline last", fresh, with(func(c *Claim) { c.Due, c.Deadline = time.Time{}, time.Time{} }), 0},
		{"half of the time waited", fresh, with(func(c *Claim) { c.Due, c.Since, c.Until = at(700*ms), at(50*ms), at(250*ms) }), 100 * ms},
		{"half of the time waited against one priority only", with(func(c *Claim) { c.Priority, c.Level, c.Since, c.Until = -1, -1, at(90*ms), at(290*ms) }), fresh, 100 * ms},
		{"less than half of the time waited", with(func(c *Claim) { c.Priority, c.Level = 0, 0 }), fresh, 99 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got, back := Compare(tt.first, tt.second, at(tt.now)), Compare(tt.second, tt.first, at(tt.now)); got >= 0 || back <= 0 {
				t.Errorf("compared %d and, the other way round, %d, want less and more than 0", got, back)
			}
		})
	}
	if got := Compare(fresh, fresh, start); got != 0 {
		t.Errorf("a claim compares to itself as %d", got)
	}
}

// drawClaim draws a claim with few different values, so that ties are frequent.
func drawClaim(t *rapid.T, name string) Claim {
	moment := func(field string) time.Time {
		if n := rapid.IntRange(0, 5).Draw(t, name+field); n > 0 {
			return at(time.Duration(n) * 100 * ms)
		}
		return time.Time{}
	}
	return Claim{
		Priority: rapid.IntRange(0, 2).Draw(t, name+" priority"), Level: rapid.IntRange(0, 2).Draw(t, name+" level"),
		Due: moment(" due"), Deadline: moment(" deadline"), Since: moment(" since"), Until: moment(" until"),
		Work: time.Duration(rapid.IntRange(0, 2).Draw(t, name+" work")) * 100 * ms,
	}
}

// TestOrder guards against an order that sorting can't rely on: one that depends on which
// claim is named first, runs in a circle, or changes before NextChange.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawClaim(t, "a"), drawClaim(t, "b"), drawClaim(t, "c")
		now := at(time.Duration(rapid.IntRange(0, 600).Draw(t, "now")) * ms)
		if x, y := Compare(a, b, now), Compare(b, a, now); x != -y {
			t.Fatalf("compared %d and, the other way round, %d", x, y)
		}
		if Compare(a, b, now) <= 0 && Compare(b, c, now) <= 0 && Compare(a, c, now) > 0 {
			t.Fatal("a is before b and b before c, but c before a")
		}
		end := at(time.Hour)
		for _, x := range []*Claim{&a, &b} {
			if next, ok := x.NextChange(now); ok && next.Before(end) {
				end = next
			}
		}
		if last := end.Add(-1); Compare(a, b, now) != Compare(a, b, last) {
			t.Fatalf("the order at %v differs from that at %v, before the next change", now.Sub(start), last.Sub(start))
		}
	})
}
