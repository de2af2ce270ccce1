package infra_test

import (
	"bytes"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccalb/yuccalb/internal/fake/infra"
)

// do sends a request and returns the status and the body. Status 0 means that the
// response was lost.
func do(t *testing.T, p *infra.Platform, method, path, body string) (int, string) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, "http://platform"+path, bytes.NewReader([]byte(body)))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := p.Transport().RoundTrip(r)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

// TestFaults guards against a fault that is set over HTTP and does not have the
// documented effect. The steps run in order.
func TestFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := infra.New(infra.Options{})
		for i, s := range []struct {
			method, path, body string
			status             int
			want               string
			took               time.Duration
		}{
			{"PUT", "/v1/kv/k?prev=0", "1", 200, "", 0},
			{"PUT", "/v1/kv/k?prev=1", "2", 200, "", 0},
			{"POST", "/fault", `{"part":"kv","old":1}`, 204, "", 0},
			{"GET", "/v1/kv/k", "", 200, "1", 0},
			{"GET", "/v1/kv/k", "", 200, "2", 0},
			{"POST", "/fault", `{"part":"kv","slow":"3s","lose":1}`, 204, "", 0},
			{"PUT", "/v1/kv/k?prev=2", "3", 0, "", 3 * time.Second},
			{"GET", "/v1/kv/k", "", 200, "3", 3 * time.Second},
			{"POST", "/fault", `{"down":true}`, 204, "", 0},
			{"PUT", "/v1/kv/k?prev=3", "4", 503, "down\n", 0},
			{"GET", "/v1/hosts", "", 503, "down\n", 0},
			{"POST", "/fault", `{"part":"kv"}`, 204, "", 0},
			{"GET", "/v1/kv/k", "", 200, "3", 0},
			{"GET", "/v1/hosts", "", 503, "down\n", 0},
			{"POST", "/fault", `{"part":"x"}`, 400, "part \"x\" does not exist\n", 0},
			{"POST", "/fault", `{"slow":3}`, 400, "", 0},
		} {
			begin := time.Now()
			status, body := do(t, p, s.method, s.path, s.body)
			if status != s.status || (s.want != "" && body != s.want) || time.Since(begin) != s.took {
				t.Errorf("step %d, %s %s: %d %q after %v, want %d %q after %v",
					i, s.method, s.path, status, body, time.Since(begin), s.status, s.want, s.took)
			}
		}
		want := map[infra.Call]infra.Count{
			infra.CallGet: {Calls: 4, Out: 4}, infra.CallPut: {Calls: 4, In: 3}, infra.CallHosts: {Calls: 2},
		}
		if diff := cmp.Diff(want, p.Counts()); diff != "" {
			t.Errorf("counts (-want +got):\n%s", diff)
		}
	})
}

// TestWatchDown guards against a watch that keeps waiting after the service has failed.
func TestWatchDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := infra.New(infra.Options{})
		time.AfterFunc(time.Second, func() { p.SetFault(infra.PartKV, infra.Fault{Down: true}) })
		begin := time.Now()
		if status, _ := do(t, p, "GET", "/v1/watch?key=k&after=0", ""); status != 503 || time.Since(begin) != time.Second {
			t.Errorf("watch: status %d after %v, want 503 after 1s", status, time.Since(begin))
		}
	})
}

// TestLists guards against a host list without lag, a directory that loses entries and
// a weight store without a rate limit.
func TestLists(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := infra.New(infra.Options{Lag: 10 * time.Second, Loads: 0.5, Weights: 3})
		p.SetHosts([]infra.Host{{Addr: netip.MustParseAddrPort("10.0.0.1:7"), Site: "a", State: "live"}})
		time.Sleep(6 * time.Second)
		do(t, p, "PUT", "/hosts", `[]`)
		const host = `[{"addr":"10.0.0.1:7","site":"a","state":"live"}]`
		for _, want := range []string{"[]", host, "[]"} {
			if _, got := do(t, p, "GET", "/v1/hosts", ""); got != want {
				t.Errorf("hosts at %v: %s, want %s", time.Now(), got, want)
			}
			time.Sleep(5 * time.Second)
		}
		do(t, p, "PUT", "/v1/directory/a", `{"addrs":["10.0.0.1:7"]}`)
		if _, got := do(t, p, "GET", "/v1/directory/a", ""); got != `{"addrs":["10.0.0.1:7"]}` {
			t.Errorf("directory: %s", got)
		}
		for i, want := range []int{200, 429, 200} {
			if got, _ := do(t, p, "GET", "/v1/weights/m", ""); got != want {
				t.Errorf("read %d of the weight store: status %d, want %d", i, got, want)
			}
			time.Sleep(time.Second)
		}
	})
}
