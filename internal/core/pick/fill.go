package pick

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// rateSpan is the time over which the own rate of requests is averaged.
	rateSpan = time.Second
	// levelSteps bounds the steps of the search for a level.
	levelSteps = 40
	// leastUnseen is the number of unseen requests below which the best
	// server is chosen.
	leastUnseen = 0.5
)

// candidate is a server that may get a request.
type candidate struct {
	server *server
	load   Load // of all hosts
	cost   cost
	// free is the number of places in its batch, and slope what each further
	// request adds to its score.
	free  float64
	slope time.Duration
}

// arrivals estimates the rate of requests per second.
type arrivals struct {
	rate float64
	last time.Time
}

// add counts a request.
func (a *arrivals) add(now time.Time) {
	d := now.Sub(a.last).Seconds()
	a.last = now
	decay := math.Exp(-max(d, 0) / rateSpan.Seconds())
	a.rate = a.rate*decay + 1/rateSpan.Seconds()
}

// unseen returns the number of requests that other hosts are expected to have
// sent since their last reports, if they get as many as this one.
func (t *Table) unseen() float64 {
	return t.arrivals.rate * float64(max(len(t.warm.Hosts)-1, 0)) * t.warm.Reports.Seconds()
}

// fill chooses among candidates so that this host and the others, which choose
// in the same way without knowing of each other, together raise the least
// loaded servers to one level. Choosing the best server instead would send all
// that arrives between two reports to it.
func fill(list []candidate, unseen float64, rng *rand.Rand) candidate {
	free := 0.0
	for _, c := range list {
		free += c.free
	}
	capped := free > unseen
	least, most := list[0].cost.score, list[0].cost.score
	for _, c := range list {
		least = min(least, c.cost.score)
		most = max(most, c.cost.score+time.Duration(unseen*float64(c.slope)))
	}
	low, high := float64(least), float64(most)
	for range levelSteps {
		mid := (low + high) / 2
		sum := 0.0
		for _, c := range list {
			sum += c.room(mid, capped)
		}
		if sum < unseen {
			low = mid
		} else {
			high = mid
		}
	}
	sum := 0.0
	for _, c := range list {
		sum += c.room(high, capped)
	}
	x := rng.Float64() * sum
	for _, c := range list {
		x -= c.room(high, capped)
		if x < 0 {
			return c
		}
	}
	return bestOf(list, rng)
}

// room returns how many requests raise the score of a server to a level, at
// most its free places if capped is set.
func (c *candidate) room(level float64, capped bool) float64 {
	n := (level - float64(c.cost.score)) / float64(c.slope)
	if capped {
		n = min(n, c.free)
	}
	return max(n, 0)
}

// bestOf returns the candidate with the least score.
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
