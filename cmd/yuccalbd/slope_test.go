package main

import (
	"bufio"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// measureTime is the duration of one measurement.
const measureTime = 20 * time.Second

// BenchmarkDaemons reports the resources that idle daemons use in data centres of
// several sizes: processor time, memory, bytes to and from other hosts per host, and
// calls to the store by all hosts.
func BenchmarkDaemons(b *testing.B) {
	for _, n := range []int{2, 8, 18} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			sites := make([]string, n)
			for i := range sites {
				sites[i] = "west-a"
			}
			f := newFleet(b, sites...)
			time.Sleep(5 * time.Second) // connections and leases are established
			before, calls := f.usage(), f.storeCalls()
			time.Sleep(measureTime)
			after := f.usage()
			seconds := measureTime.Seconds() * float64(n)
			b.ReportMetric(100*(after.cpu-before.cpu)/seconds, "%core/host")
			b.ReportMetric((after.in-before.in)/seconds, "B-in/s/host")
			b.ReportMetric((after.out-before.out)/seconds, "B-out/s/host")
			b.ReportMetric(after.rss/float64(n)/1e6, "MB/host")
			b.ReportMetric(float64(f.storeCalls()-calls)/measureTime.Seconds(), "store-calls/s")
		})
	}
}

// BenchmarkOrganisations reports the memory of daemons with many organisations after the
// configuration is loaded and after 20 changes, and the processor time per change.
func BenchmarkOrganisations(b *testing.B) {
	for _, n := range []int{5, 30_000} {
		b.Run(fmt.Sprintf("orgs=%d", n), func(b *testing.B) {
			f := newFleet(b, "west-a", "west-a", "west-a")
			for i := range n - 1 {
				f.cfg.Orgs = append(f.cfg.Orgs, model.Org{
					Name: fmt.Sprintf("org%05d", i), Rate: 2000, Burst: 16_000, Regions: []string{"west"}, HomeRegion: "west",
					Keys: []model.Key{{Hash: model.HashKey(fmt.Sprint("key", i))}},
				})
			}
			slices.SortFunc(f.cfg.Orgs, func(a, b model.Org) int { return strings.Compare(a.Name, b.Name) })
			f.publish()
			f.eventually("all hosts have the organisations", func() error { return f.checkVersions(2) })
			before := f.usage()
			const changes = 20
			for i := range changes {
				f.cfg.Orgs[i%len(f.cfg.Orgs)].Rate++
				f.publish()
				f.eventually("all hosts have the change", func() error { return f.checkVersions(uint64(3 + i)) })
			}
			after := f.usage()
			b.ReportMetric(before.rss/3/1e6, "MB-loaded/host")
			b.ReportMetric(after.rss/3/1e6, "MB-changed/host")
			b.ReportMetric(1000*(after.cpu-before.cpu)/3/changes, "ms-cpu/change/host")
		})
	}
}

// storeCalls returns the number of calls that the platform has received.
func (f *fleet) storeCalls() (n int) {
	for _, c := range f.platform.Counts() {
		n += c.Calls
	}
	return n
}

// usage holds resource metrics, summed over all daemons.
type usage struct{ cpu, rss, in, out float64 }

// usage reads the metrics of all daemons.
func (f *fleet) usage() (sum usage) {
	for _, d := range f.daemons {
		resp, err := http.Get("http://" + d.admin.String() + "/metrics")
		if err != nil {
			f.t.Fatal(err)
		}
		sc := bufio.NewScanner(resp.Body)
		for sc.Scan() {
			name, text, _ := strings.Cut(sc.Text(), " ")
			value, _ := strconv.ParseFloat(text, 64) // comment lines have no value
			switch name {
			case "process_cpu_seconds_total":
				sum.cpu += value
			case "process_resident_memory_bytes":
				sum.rss += value
			case "yuccalb_peer_received_bytes_total":
				sum.in += value
			case "yuccalb_peer_sent_bytes_total":
				sum.out += value
			}
		}
		resp.Body.Close()
	}
	return sum
}
