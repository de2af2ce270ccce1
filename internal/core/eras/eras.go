// Package eras orders states that are read from the platform's store. The store
// may be restored from a copy that is some seconds old: it then lacks later
// writes, reuses revision numbers and begins a new era. The operator and the
// backend servers write again what was lost.
package eras

import (
	"cmp"
	"fmt"
	"time"
)

const (
	// RewriteTime is the time after a restore of the store within which the
	// operator writes the newest configuration again. Until then a read does
	// not show which configuration is the newest.
	RewriteTime = 2 * time.Second
	// SettleTime is the time after a restore of the store from which its entries
	// are trusted: running servers have renewed theirs, and those of others
	// have expired.
	SettleTime = 4 * time.Second
)

// Revision identifies a state of the store. Count is the store's own revision
// number, which increases within an era.
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

// Version identifies a version of the configuration.
type Version struct {
	// Number is assigned by the operator and increases.
	Number int64 `cbor:"1,keyasint"`
	// Rev is the revision at which the configuration was written.
	Rev Revision `cbor:"2,keyasint"`
}

// After reports whether v replaces o. Within an era the later revision wins.
// Across eras the higher number wins, so that a restore of the store does not
// bring an older configuration back into force.
func (v Version) After(o Version) bool {
	if v.Rev.Era == o.Rev.Era {
		return v.Rev.Count > o.Rev.Count
	}
	return cmp.Or(cmp.Compare(v.Number, o.Number), cmp.Compare(v.Rev.Era, o.Rev.Era)) > 0
}

// Same reports whether v and o are the same configuration. In a new era the
// operator writes it again under the same number.
func (v Version) Same(o Version) bool {
	if v.Rev.Era == o.Rev.Era {
		return v.Rev.Count == o.Rev.Count
	}
	return v.Number == o.Number
}

// Era is the era of the store as seen by one host, on the clock of that host.
type Era struct {
	Number int64
	// Since is when this host, or a peer that reported the era, first saw it.
	// It is never before the era began.
	Since time.Duration
}

// Merge returns the newer of e and o, where o was reported by a peer or the
// store, and whether the era has changed. Of two equal eras it returns the one
// that was seen first.
func (e Era) Merge(o Era) (Era, bool) {
	switch {
	case o.Number > e.Number:
		return o, true
	case o.Number == e.Number && o.Since < e.Since:
		return o, false
	}
	return e, false
}

// Age returns the time since the era was first seen. The first era needs no time
// to settle.
func (e Era) Age(now time.Duration) time.Duration {
	if e.Number == 0 {
		return SettleTime
	}
	return now - e.Since
}
