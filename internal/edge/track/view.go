// Package track follows the platform's store: the configuration, backend servers,
// hosts and evacuations. Its goroutines read the store, or a peer that has read it
// later, and publish immutable views for the request path.
package track

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/platform"
)

// View is the state of the store that a host acts on. It is immutable.
type View struct {
	// Snapshot is the configuration in force, nil before the first, and Item the
	// store's item that it was decoded from.
	Snapshot *spec.Snapshot
	Item     platform.Item
	// Listing is the last read of the entries, empty before the first, and Digest
	// the digest of these entries.
	*Listing
	Digest uint64
}

// Listed reports whether the entries have been read.
func (v *View) Listed() bool { return !v.Answered.IsZero() }

// Version returns the version of the configuration in force, the zero value if
// there is none.
func (v *View) Version() eras.Version {
	if v.Snapshot == nil {
		return eras.Version{}
	}
	return eras.Version{Number: v.Snapshot.Version, Rev: v.Item.Rev}
}

// Listing is the result of one read of the entries, by this host or a peer.
type Listing struct {
	platform.Entries
	// EntriesRev is the revision of the store at which the entries were read.
	EntriesRev eras.Revision
	// Asked and Answered are when the read began and ended. Remaining times in
	// the entries are counted from Answered, so that none ends too early.
	Asked, Answered time.Time
	// Expired are servers whose entries were missing at the first read after an
	// outage or a restore of the store. They are retained until RetainUntil, by
	// when running ones have registered again. ExpiredRev is the revision of the
	// last read before, which listed them.
	Expired     []spec.Server
	RetainUntil time.Time
	ExpiredRev  eras.Revision
	// Unconfirmed are servers that were first listed after the store was restored
	// from an older copy, and that may have ended. They get no requests.
	Unconfirmed []spec.Server
}

// Usable returns the servers that are registered and the expired ones that are
// retained.
func (l *Listing) Usable() []spec.Server { return slices.Concat(l.Servers, l.Expired) }

// provisional reports whether the listing holds expired or unconfirmed servers, so
// that another read is needed even if the entries have not changed.
func (l *Listing) provisional() bool { return len(l.Expired) > 0 || len(l.Unconfirmed) > 0 }

// MaxTime is the latest of the times passed to Raise, on the clock of package clock.
// It is safe for concurrent use.
type MaxTime struct{ at atomic.Int64 }

// Raise sets the time to at if at is later.
func (m *MaxTime) Raise(at time.Duration) {
	for {
		old := m.at.Load()
		if old >= int64(at) || m.at.CompareAndSwap(old, int64(at)) {
			return
		}
	}
}

// At returns the time, or 0 if it was never raised.
func (m *MaxTime) At() time.Duration { return time.Duration(m.at.Load()) }
