package relay

import (
	"net/netip"
	"testing"
	"time"
)

// TestPeerClocks guards against a deadline that another host reads later than it is, by an offset of
// its former process, or by one that holds no longer.
func TestPeerClocks(t *testing.T) {
	type response struct {
		start     int64
		read, now time.Duration
	}
	for name, tt := range map[string]struct {
		responses []response
		want      string
	}{
		"unknown":                {nil, ""},
		"one response":           {[]response{{1, 100 * time.Second, 10 * time.Second}}, "1 190000000000"},
		"a later, slower one":    {[]response{{1, 100 * time.Second, 10 * time.Second}, {1, 101 * time.Second, 12 * time.Second}}, "1 189998000000"},
		"a later, faster one":    {[]response{{1, 100 * time.Second, 11 * time.Second}, {1, 101 * time.Second, 11 * time.Second}}, "1 190000000000"},
		"another process":        {[]response{{1, 100 * time.Second, 10 * time.Second}, {2, 5 * time.Second, 11 * time.Second}}, "2 94000000000"},
		"clocks of other speeds": {[]response{{1, 100 * time.Second, 10 * time.Second}, {1, 1099500 * time.Millisecond, 1010 * time.Second}}, "1 189500000000"},
		"nothing that is a time": {[]response{{1, 100 * time.Second, 10 * time.Second}, {}}, "1 190000000000"},
	} {
		t.Run(name, func(t *testing.T) {
			var c peerClocks
			host := netip.MustParseAddrPort("127.0.0.1:1")
			for _, r := range tt.responses {
				text := formatClock(r.start, r.read)
				if r.start == 0 {
					text = "x"
				}
				c.record(host, text, r.now)
			}
			if got, ok := c.state(host, 100*time.Second); got != tt.want || ok != (tt.want != "") {
				t.Errorf("got %q, %v, want %q", got, ok, tt.want)
			}
		})
	}
}
