package route_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"testing"

	"github.com/yuccalb/yuccalb/internal/fake/replay"
)

var update = flag.Bool("update", false, "rewrite the traces in testdata")

// traceSeed is the seed of the traces in testdata.
const traceSeed = 20

// seeds is the number of replays that are pooled for a result. Their seeds are
// 1, 2, ...
const seeds = 5

// traces are the names of the traces in testdata.
var traces = []string{"workshops", "sledges"}

// readTrace reads a trace from testdata.
func readTrace(tb testing.TB, trace string) []replay.Row {
	tb.Helper()
	path := "testdata/" + trace + ".csv"
	if *update {
		text := replay.Generate(trace, rand.New(rand.NewPCG(traceSeed, traceSeed)))
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			tb.Fatal(err)
		}
	}
	f, err := os.Open(path)
	if err != nil {
		tb.Fatal(err)
	}
	defer f.Close()
	rows, err := replay.Read(f, path)
	if err != nil {
		tb.Fatal(err)
	}
	return rows
}

// oneSiteSetup returns a setup of one data centre with 12 servers and 8 hosts.
// At its pace the accelerators are 75% busy under the policy "two".
func oneSiteSetup(policy string) replay.Setup {
	return replay.Setup{Policy: policy, Regions: []string{"west"}, Servers: 12, Hosts: 8, Passes: 3, Warm: true, Pace: 1.5, Stay: true}
}

// uniquePace is the pace at which the accelerators are 75% busy when no prompts
// share a prefix.
var uniquePace = map[string]float64{"workshops": 0.85, "sledges": 0.7}

// variants are the conditions of the replays, as changes to a setup.
var variants = map[string]func(trace string, s *replay.Setup){
	"shared":      func(string, *replay.Setup) {},
	"events lost": func(_ string, s *replay.Setup) { s.NoEvents = true },
	"unique":      func(trace string, s *replay.Setup) { s.Unique, s.Pace = true, uniquePace[trace] },
}

// TestTimeToFirstToken guards against a routing change that loses the benefit of
// prefix caches, depends on cache events, or slows down requests that share no
// prefix.
func TestTimeToFirstToken(t *testing.T) {
	for _, trace := range traces {
		rows := readTrace(t, trace)
		for variant, change := range variants {
			t.Run(trace+"/"+variant, func(t *testing.T) {
				t.Parallel()
				s := oneSiteSetup("two")
				change(trace, &s)
				twoChoices := replay.Pooled(rows, s, seeds)
				s.Policy = "expected"
				got := replay.Pooled(rows, s, seeds)
				t.Logf("two random choices: %v", twoChoices)
				t.Logf("expected time: %v", got)
				limit := replay.Quantile(twoChoices.TTFT, 99)
				if variant != "unique" {
					limit /= 4
				}
				if q := replay.Quantile(got.TTFT, 99); q > limit {
					t.Errorf("p99 %.3f s, want at most %.3f s", q, limit)
				}
			})
		}
	}
}

// TestHalfDown guards against retries that multiply the load when half of the
// servers fail and no load report shows it.
func TestHalfDown(t *testing.T) {
	t.Parallel()
	for _, trace := range traces {
		s := oneSiteSetup("expected")
		s.Down, s.Pace = true, 0.7
		got := replay.Pooled(readTrace(t, trace), s, seeds)
		t.Logf("%s: %v", trace, got)
		if attempts := float64(got.Attempts) / float64(got.Requests); attempts > 1.1 {
			t.Errorf("%s: %.3f attempts per request, want at most 1.1", trace, attempts)
		}
		if failed := float64(got.Failed) / float64(got.Requests); failed > 0.05 {
			t.Errorf("%s: %.3f of the requests failed, want at most 0.05", trace, failed)
		}
	}
}

// TestOverflow guards against overflow to another region that makes responses
// slower or exceeds the byte budget of the wide-area link.
func TestOverflow(t *testing.T) {
	t.Parallel()
	for _, trace := range traces {
		rows := readTrace(t, trace)
		s := replay.Setup{Policy: "expected", Regions: []string{"west", "east"}, Servers: 6, Hosts: 4, Passes: 3, Warm: true, Pace: 1.5, Stay: true}
		local := replay.Pooled(rows, s, seeds)
		s.Stay = false
		got := replay.Pooled(rows, s, seeds)
		t.Logf("%s, local: %v", trace, local)
		t.Logf("%s, overflow: %v", trace, got)
		if a, b := replay.Quantile(got.TTFT, 99), replay.Quantile(local.TTFT, 99); a > b {
			t.Errorf("%s: p99 %.3f s with overflow, %.3f s without", trace, a, b)
		}
		if got.Away == 0 {
			t.Errorf("%s: no request was forwarded at the daily peaks", trace)
		}
		if budget := 2 * 0.2 * replay.LinkRate * got.Span; float64(got.Wide) > budget {
			t.Errorf("%s: %d bytes on the wide-area links, want at most %.0f", trace, got.Wide, budget)
		}
	}
}

// replayHot replays a trace in which organisation c sends at factor times its
// rate.
func replayHot(rows []replay.Row, pace float64, factor int, fair bool) *replay.Figures {
	s := oneSiteSetup("expected")
	s.Hot, s.Factor, s.Fair, s.Pace = "c", factor, fair, pace
	return replay.Pooled(rows, s, seeds)
}

// TestHotOrganisation guards against a fair queue in which one organisation at
// five times its rate slows down the others by more than 10% at moderate load,
// or starves them at 75% load.
func TestHotOrganisation(t *testing.T) {
	for _, trace := range traces {
		rows := readTrace(t, trace)
		t.Run(trace+"/moderate", func(t *testing.T) {
			t.Parallel()
			checkHot(t, replayHot(rows, 1, 1, true), replayHot(rows, 1, 5, true))
		})
		t.Run(trace+"/busy", func(t *testing.T) {
			t.Parallel()
			hot, open := replayHot(rows, 1.5, 5, true), replayHot(rows, 1.5, 5, false)
			t.Logf("hot: %v", hot)
			if a, b := hot.Others("c"), open.Others("c"); a > b/4 {
				t.Errorf("others' p99 %.3f s, want at most a quarter of %.3f s without the fair queue", a, b)
			}
			rejected := 0
			for org, n := range hot.Rejected {
				if org != "c" {
					rejected += n
				}
			}
			if limit := hot.Requests / 1000; rejected > limit {
				t.Errorf("%d requests of the others were rejected, want at most %d", rejected, limit)
			}
		})
	}
}

// TestHotOrganisationBusy checks the limit of 10% at 75% load.
func TestHotOrganisationBusy(t *testing.T) {
	for _, trace := range traces {
		rows := readTrace(t, trace)
		t.Run(trace, func(t *testing.T) {
			t.Parallel()
			checkHot(t, replayHot(rows, 1.5, 1, true), replayHot(rows, 1.5, 5, true))
		})
	}
}

// checkHot compares the p99 of the other organisations without and with a hot
// organisation.
func checkHot(t *testing.T, usual, hot *replay.Figures) {
	t.Helper()
	a, b := hot.Others("c"), usual.Others("c")
	t.Logf("others' p99 %.3f s, with the hot organisation %.3f s", b, a)
	if a > 1.1*b {
		t.Errorf("others' p99 rose from %.3f s to %.3f s, want at most 10%% more", b, a)
	}
}

// BenchmarkPolicies compares the routing policies on all traces and variants.
func BenchmarkPolicies(b *testing.B) {
	for _, trace := range traces {
		rows := readTrace(b, trace)
		for variant, change := range variants {
			for _, policy := range []string{"random", "robin", "least", "two", "expected"} {
				b.Run(trace+"/"+variant+"/"+policy, func(b *testing.B) {
					s := oneSiteSetup(policy)
					change(trace, &s)
					var got *replay.Figures
					for b.Loop() {
						got = replay.Pooled(rows, s, seeds)
					}
					b.Log(got)
					b.ReportMetric(replay.Quantile(got.TTFT, 50), "p50-s")
					b.ReportMetric(replay.Quantile(got.TTFT, 99), "p99-s")
					b.ReportMetric(replay.Quantile(got.TTFT, 99.9), "p99.9-s")
					b.ReportMetric(float64(got.Cached)/float64(got.Prompt), "hits")
					b.ReportMetric(got.Busy/float64(got.Requests), "accelerator-s")
				})
			}
		}
	}
}
