package replay

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Figures are the results of replays. Requests, Attempts, Failed, Away, Wide and
// Busy include the first pass of a replay with Setup.Warm.
type Figures struct {
	TTFT               *hdrhistogram.Histogram            // time to the first token in microseconds
	Orgs               map[string]*hdrhistogram.Histogram // time to the first token by organisation
	Requests, Attempts int
	Rejected           map[string]int           // by organisation
	Classes            map[string]*ClassFigures // by route
	Failed             int
	Away               int     // requests that were forwarded to another region
	Cached, Prompt     int     // tokens found in prefix caches, tokens of all prompts
	Wide               int     // bytes sent between regions
	Busy               float64 // accelerator seconds
	Span               float64 // seconds in which requests arrive
	Servers            int
	Low, High          float64 // least and greatest p99 of the pooled replays in seconds
}

func newFigures() *Figures {
	return &Figures{TTFT: newHistogram(), Orgs: map[string]*hdrhistogram.Histogram{}, Rejected: map[string]int{}, Classes: map[string]*ClassFigures{}}
}

// maxMicros is the highest value of the histograms, in microseconds.
const maxMicros = 3600e6

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicros, 3) }

// Quantile returns the q-th percentile of h in seconds.
func Quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return float64(h.ValueAtQuantile(q)) / 1e6
}

// Hits returns the fraction of the prompt tokens that were found in prefix caches.
func (f *Figures) Hits() float64 { return float64(f.Cached) / float64(max(f.Prompt, 1)) }

// Accelerator returns the accelerator seconds per request.
func (f *Figures) Accelerator() float64 { return f.Busy / float64(f.Requests) }

// Worst returns the organisation with the greatest p99, and the ratio of this p99
// to the median p99 of the organisations. Without measured requests it returns an
// empty name and 0.
func (f *Figures) Worst() (org string, ratio float64) {
	if len(f.Orgs) == 0 {
		return "", 0
	}
	orgs := slices.Sorted(maps.Keys(f.Orgs))
	slices.SortStableFunc(orgs, func(a, b string) int {
		return cmp.Compare(Quantile(f.Orgs[a], 99), Quantile(f.Orgs[b], 99))
	})
	org = orgs[len(orgs)-1]
	return org, Quantile(f.Orgs[org], 99) / Quantile(f.Orgs[orgs[len(orgs)/2]], 99)
}

// String formats all figures in one line.
func (f *Figures) String() string {
	n := float64(f.Requests)
	_, worst := f.Worst()
	return fmt.Sprintf("p50 %.3f p99 %.3f (%.3f to %.3f) p99.9 %.3f s, hits %.3f, load %.2f, accelerator %.3f s, away %.3f, wide %.2f MB, worst/median %.2f, attempts %.3f, failed %.4f, rejected %v",
		Quantile(f.TTFT, 50), Quantile(f.TTFT, 99), f.Low, f.High, Quantile(f.TTFT, 99.9), f.Hits(), f.Busy/f.Span/float64(f.Servers), f.Accelerator(), float64(f.Away)/n,
		float64(f.Wide)/1e6, worst, float64(f.Attempts)/n, float64(f.Failed)/n, f.Rejected)
}

// Others returns the p99 over the requests of all organisations except one.
func (f *Figures) Others(hot string) float64 {
	sum := newHistogram()
	for org, h := range f.Orgs {
		if org != hot {
			sum.Merge(h)
		}
	}
	return Quantile(sum, 99)
}

// Pooled replays the trace with the seeds from 1 to seeds and merges the figures. Low
// and High are the extremes of the p99 of the single replays.
func Pooled(rows []Row, s Setup, seeds int) *Figures {
	sum := newFigures()
	for seed := range seeds {
		s.Seed = uint64(seed + 1)
		f := Replay(rows, s)
		q := Quantile(f.TTFT, 99)
		if seed == 0 {
			sum.Low = q
		}
		sum.Low, sum.High = min(sum.Low, q), max(sum.High, q)
		sum.TTFT.Merge(f.TTFT)
		for org, h := range f.Orgs {
			if sum.Orgs[org] == nil {
				sum.Orgs[org] = newHistogram()
			}
			sum.Orgs[org].Merge(h)
		}
		for org, n := range f.Rejected {
			sum.Rejected[org] += n
		}
		for route, c := range f.Classes {
			sum.class(route).merge(c)
		}
		sum.Requests += f.Requests
		sum.Attempts += f.Attempts
		sum.Failed += f.Failed
		sum.Away += f.Away
		sum.Cached += f.Cached
		sum.Prompt += f.Prompt
		sum.Wide += f.Wide
		sum.Busy += f.Busy
		sum.Span += f.Span
		sum.Servers = f.Servers
	}
	return sum
}
