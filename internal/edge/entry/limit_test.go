package entry

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/yuccalb/yuccalb/internal/edge/stats"
	"github.com/yuccalb/yuccalb/internal/fake/origin"
	"github.com/yuccalb/yuccalb/platform"
)

// limitHeader returns the header line by which a server names a limit.
func limitHeader(rate string) string { return platform.HeaderServerLimit + ": " + rate }

// metricsPage returns the metrics of a host at a path.
func metricsPage(t *testing.T, e *Entry, path string) string {
	t.Helper()
	resp, err := http.Get("http://" + e.settings.Metrics.String() + path)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// TestLimitInMetrics guards against metrics that do not show which limits servers name
// and how many requests are sent to them, and against a page that a collector truncates
// before it gets to them.
func TestLimitInMetrics(t *testing.T) {
	cl := newCluster(t)
	e := cl.host("a1")
	cl.server("s1", "a1", func(x *origin.Exchange) bool { return x.Reply(http.StatusOK, "served", limitHeader("7.5")) })
	for range 2 {
		wantStatus(t, cl.do(e, get("/safe/x")), http.StatusOK)
	}
	page := metricsPage(t, e, stats.StatePath)
	for _, line := range []string{
		"yuccalb_limited_servers 1\n", "yuccalb_limited_rate 7.5\n", `yuccalb_limited_sends_total{service="desk"} 1` + "\n",
	} {
		if !strings.Contains(page, line) {
			t.Errorf("the metrics do not contain %s", line)
		}
	}
	for _, name := range []string{"go_", "process_", "_bucket"} {
		if strings.Contains(page, name) {
			t.Errorf("the page of counters and gauges contains %s", name)
		}
	}
}
