// Package track follows the platform's store: the configuration, backend
// servers, hosts and evacuations. One goroutine owns the control state;
// traffic reads immutable views.
package track

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/platform"
)

// View is what a host believes at one moment. It is immutable.
type View struct {
	// Snapshot is the configuration in force, nil while none is known, and
	// Item what was read, with its revision in the store.
	Snapshot *spec.Snapshot
	Item     platform.Item
	// Listing is the last read of the entries, an empty one before the first,
	// and Digest that of the entries.
	*Listing
	Digest uint64
}

// Listed reports whether the entries were read.
func (v *View) Listed() bool { return !v.Answered.IsZero() }

// Version returns that of the configuration in force, the zero value while none
// is known.
func (v *View) Version() eras.Version {
	if v.Snapshot == nil {
		return eras.Version{}
	}
	return eras.Version{Number: v.Snapshot.Version, Rev: v.Item.Rev}
}

// Listing is one read of the entries, by this host or another.
type Listing struct {
	platform.Entries
	// List is the revision of the store.
	List eras.Revision
	// Asked and Answered are the times of the read: what the entries say of
	// remaining times holds from the latter on at the latest.
	Asked, Answered time.Time
	// Lapsed are servers whose entries were missing at the first read after
	// an outage of the store. They are kept until they should be back.
	Lapsed []spec.Server
	Until  time.Time
	// Doubted are servers that the store lists since it came back from a copy
	// and that may have ended.
	Doubted []spec.Server
}

// Usable returns the servers that are registered and those that should be back
// soon.
func (l *Listing) Usable() []spec.Server { return slices.Concat(l.Servers, l.Lapsed) }

// unsure reports whether a further read of the entries will tell more although
// they don't change.
func (l *Listing) unsure() bool { return len(l.Lapsed) > 0 || len(l.Doubted) > 0 }

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
