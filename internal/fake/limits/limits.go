// Package limits states for tests what a server may get that names a limit: the rule
// of the platform for requests that reach it from all hosts together.
package limits

import (
	"slices"
	"time"
)

// Window is the time within which the requests to a server are counted.
const Window = 4 * time.Second

const (
	// excess is the factor by which the requests of a Window may exceed the limit,
	// and slack the number of further requests.
	excess = 1.5
	slack  = 5
)

// Allowed returns how many requests a server may get within any Window if it names a
// limit of rate requests per second.
func Allowed(rate float64) int { return int(excess*rate*Window.Seconds() + slack) }

// Most returns the largest number of the given times within a Window.
func Most(times []time.Time) int {
	times = slices.SortedFunc(slices.Values(times), time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) > Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}
