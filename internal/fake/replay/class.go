package replay

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Class describes the requests of one route.
type Class struct {
	// Priority is the order in which engines admit requests to the batch; 0 goes first.
	Priority int
	// Goal is the latency target for the first token, 0 for none.
	Goal time.Duration
}

// ClassFigures are the results of the requests of one route, without those of a warm first
// pass. Without a goal all requests that are served are in time.
type ClassFigures struct {
	Sent, Served, InTime, Refused int
	// Waits are the times until requests were refused, in microseconds.
	Waits *hdrhistogram.Histogram
}

// class returns the figures of a route.
func (f *Figures) class(route string) *ClassFigures {
	c := f.Classes[route]
	if c == nil {
		c = &ClassFigures{Waits: newHistogram()}
		f.Classes[route] = c
	}
	return c
}

// merge adds the figures of another replay.
func (c *ClassFigures) merge(other *ClassFigures) {
	c.Sent += other.Sent
	c.Served += other.Served
	c.InTime += other.InTime
	c.Refused += other.Refused
	c.Waits.Merge(other.Waits)
}

// countServed records the time to the first token of a request in microseconds.
func (f *fleet) countServed(fl *flight, us int64) {
	c := f.fig.class(fl.row.Route)
	c.Served++
	if goal := f.Classes[fl.row.Route].Goal; goal == 0 || us <= goal.Microseconds() {
		c.InTime++
	}
}

// countRefused records that a request ends without a response at a time.
func (f *fleet) countRefused(fl *flight, at time.Time) {
	if fl.warm {
		return
	}
	c := f.fig.class(fl.row.Route)
	c.Refused++
	_ = c.Waits.RecordValue(min(max(at.Sub(fl.arrived).Microseconds(), 1), maxMicros)) // always in range
}
