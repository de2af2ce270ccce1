// Package track follows the platform's store: the configuration, backend
// servers, hosts and evacuations. One goroutine owns the control state;
// traffic reads immutable views.
package track

import (
	"sync/atomic"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

// View is what a host believes at one moment. It is immutable.
type View struct {
	// Snapshot is the configuration in force, nil while none is known, and
	// Rev its revision in the store.
	Snapshot *spec.Snapshot
	Rev      int64
	Servers  []spec.Server
	Hosts    []spec.Host
	// Evacuated are data centres whose servers get no requests.
	Evacuated []string
	// At is when the entries were asked for and Answered when they arrived:
	// what they say of remaining times holds from then on at the latest. List
	// is the revision of the store, and Digest that of the entries.
	At, Answered time.Time
	List         int64
	Digest       uint64
	// Listed is set once the entries were read.
	Listed bool
}

// Proof is the latest time, on the clock of package clock, at which the
// configuration in force was known to be the newest. It only moves forward.
type Proof struct{ at atomic.Int64 }

// Raise moves the proof to at unless it is later already.
func (p *Proof) Raise(at time.Duration) {
	for {
		old := p.at.Load()
		if old >= int64(at) || p.at.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// At returns the time of the proof, 0 if there is none.
func (p *Proof) At() time.Duration { return time.Duration(p.at.Load()) }
