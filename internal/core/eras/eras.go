// Package eras tells which of two things read from the platform's store is
// newer. The store may come back from a copy some seconds old: it then lacks
// what was written since, gives its revisions out again, and begins a new era.
// What the operator and the backend servers wrote is written again.
package eras

import (
	"cmp"
	"fmt"
	"time"
)

const (
	// Rewritten is the time after the return of the store within which the
	// operator has written the newest configuration again. Until then a read
	// does not prove which one that is.
	Rewritten = 2 * time.Second
	// Settled is the time after the return of the store from which its entries
	// are believed as they are: servers that live have renewed theirs, and
	// those of others have lapsed.
	Settled = 4 * time.Second
)

// Revision is a state of the store.
type Revision struct {
	Era   int64 `cbor:"1,keyasint,omitempty"`
	Count int64 `cbor:"2,keyasint"`
}

// Compare returns -1, 0 or 1 if r is older than o, the same, or newer.
func (r Revision) Compare(o Revision) int {
	return cmp.Or(cmp.Compare(r.Era, o.Era), cmp.Compare(r.Count, o.Count))
}

// After reports whether r is newer than o.
func (r Revision) After(o Revision) bool { return r.Compare(o) > 0 }

// String returns the era and the count.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.Era, r.Count) }

// Version is one version of the configuration.
type Version struct {
	// Number is the operator's, which increases.
	Number int64 `cbor:"1,keyasint"`
	// Rev is the revision at which it was written.
	Rev Revision `cbor:"2,keyasint"`
}

// After reports whether v replaces o. Within an era the later revision
// does. Of two eras the higher number does: a configuration does not go back
// because the store did.
func (v Version) After(o Version) bool {
	if v.Rev.Era == o.Rev.Era {
		return v.Rev.Count > o.Rev.Count
	}
	return cmp.Or(cmp.Compare(v.Number, o.Number), cmp.Compare(v.Rev.Era, o.Rev.Era)) > 0
}

// Same reports whether both are the same configuration, which is written again
// under the same number in a new era.
func (v Version) Same(o Version) bool {
	if v.Rev.Era == o.Rev.Era {
		return v.Rev.Count == o.Rev.Count
	}
	return v.Number == o.Number
}

// Era is the era of the store as one host knows it. Times are on its clock.
type Era struct {
	Number int64
	// Since is when the host or one that told it first heard of the era, at
	// the earliest when it began.
	Since time.Duration
}

// Join returns what is known after another host, or an answer of the store, has
// told of era o, and whether the era has changed.
func (e Era) Join(o Era) (Era, bool) {
	switch {
	case o.Number > e.Number:
		return o, true
	case o.Number == e.Number && o.Since < e.Since:
		return o, false
	}
	return e, false
}

// Age returns the time since the era is known. The first era is as old as the
// store.
func (e Era) Age(now time.Duration) time.Duration {
	if e.Number == 0 {
		return Settled
	}
	return now - e.Since
}
