package stats

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccalb/yuccalb/internal/core/rank"
)

// priorityLabel returns the label value of a priority. Priorities out of range are counted as
// the next one within, so that the number of values is bounded.
func priorityLabel(priority int) string {
	return strconv.Itoa(min(max(priority, 0), rank.MaxPriority))
}

// Waiting registers the gauge of the requests that wait for room at servers, whose values are
// read by service and priority when metrics are collected.
func (m *Metrics) Waiting(counts func() map[string]map[int]int) {
	m.state.MustRegister(&waitingGauge{counts, prometheus.NewDesc("yuccalb_waiting_requests",
		"Requests that wait for room at servers, by service and priority.", []string{"service", "priority"}, nil)})
}

// waitingGauge collects the waiting requests.
type waitingGauge struct {
	counts func() map[string]map[int]int
	desc   *prometheus.Desc
}

// Describe implements prometheus.Collector.
func (g *waitingGauge) Describe(ch chan<- *prometheus.Desc) { ch <- g.desc }

// Collect implements prometheus.Collector.
func (g *waitingGauge) Collect(ch chan<- prometheus.Metric) {
	for service, counts := range g.counts() {
		sums := make(map[string]int, len(counts))
		for priority, n := range counts {
			sums[priorityLabel(priority)] += n
		}
		for priority, n := range sums {
			ch <- prometheus.MustNewConstMetric(g.desc, prometheus.GaugeValue, float64(n), service, priority)
		}
	}
}
