package pick

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// rateWindow is the time constant of the moving average of this host's request
	// rate.
	rateWindow = time.Second
	// bisectionSteps is the number of steps of the bisection for the water level.
	bisectionSteps = 40
	// minUnreported is the number of unreported requests below which the best
	// server is chosen.
	minUnreported = 0.5
)

// candidate is a server that may get a request.
type candidate struct {
	server *server
	load   Load // from all hosts
	cost   cost
	// free is the number of free batch slots, and slope what each further request
	// adds to the score.
	free  float64
	slope time.Duration
}

// arrivals estimates this host's rate of requests per second.
type arrivals struct {
	rate float64
	last time.Time
}

// add records a request.
func (a *arrivals) add(now time.Time) {
	d := now.Sub(a.last).Seconds()
	a.last = now
	decay := math.Exp(-max(d, 0) / rateWindow.Seconds())
	a.rate = a.rate*decay + 1/rateWindow.Seconds()
}

// unreported returns the number of requests that the other hosts are expected to have
// sent since their last reports, on the assumption that each gets as many as this one.
func (t *Table) unreported() float64 {
	return t.arrivals.rate * float64(max(len(t.hosts.Hosts)-1, 0)) * t.hosts.ReportInterval.Seconds()
}

// waterFill chooses a candidate at random, with the probabilities by which all hosts
// together, each choosing without knowing of the others' choices, raise the least
// loaded servers to a common level (water-filling). If each chose the best server
// instead, all requests between two reports would go to that one.
func waterFill(list []candidate, unreported float64, rng *rand.Rand) candidate {
	free := 0.0
	for _, c := range list {
		free += c.free
	}
	capped := free > unreported
	least, most := list[0].cost.score, list[0].cost.score
	for _, c := range list {
		least = min(least, c.cost.score)
		most = max(most, c.cost.score+time.Duration(unreported*float64(c.slope)))
	}
	low, high := float64(least), float64(most)
	for range bisectionSteps {
		mid := (low + high) / 2
		sum := 0.0
		for _, c := range list {
			sum += c.requestsTo(mid, capped)
		}
		if sum < unreported {
			low = mid
		} else {
			high = mid
		}
	}
	sum := 0.0
	for _, c := range list {
		sum += c.requestsTo(high, capped)
	}
	x := rng.Float64() * sum
	for _, c := range list {
		x -= c.requestsTo(high, capped)
		if x < 0 {
			return c
		}
	}
	return bestOf(list, rng)
}

// requestsTo returns how many requests raise the score of the server to a level, at
// most its free batch slots if capped is set.
func (c *candidate) requestsTo(level float64, capped bool) float64 {
	n := (level - float64(c.cost.score)) / float64(c.slope)
	if capped {
		n = min(n, c.free)
	}
	return max(n, 0)
}

// timely returns the candidates at which the response is expected to begin within the time of
// the request, or all if there are none. A long prompt would otherwise wait for a server that
// has its prefix cached until it is late, although others are free to read the prefix again.
func timely(req *Request, list []candidate) []candidate {
	if req.Within <= 0 {
		return list
	}
	late := func(c candidate) bool { return c.cost.time > req.Within }
	if !slices.ContainsFunc(list, func(c candidate) bool { return !late(c) }) {
		return list
	}
	return slices.DeleteFunc(list, late)
}

// bestOf returns the candidate with the lowest score; rng breaks ties.
func bestOf(list []candidate, rng *rand.Rand) candidate {
	best := list[0]
	ties := 1
	for _, c := range list[1:] {
		switch {
		case c.cost.score < best.cost.score:
			ties = 1
		case c.cost.score > best.cost.score:
			continue
		default:
			ties++
			if rng.IntN(ties) > 0 {
				continue
			}
		}
		best = c
	}
	return best
}
