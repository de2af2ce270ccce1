// Package slots decides how the hosts of a data centre claim slots, which are
// parts of the rate limits, in one record of the store by compare-and-swap. At
// any time at most one process uses a slot. The package performs no I/O: it takes
// the times and contents of reads and writes and returns the record to write.
package slots

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/quota"
)

// TakeoverDelay is how long a host waits before it takes over the slot of a failed host.
const TakeoverDelay = 6 * time.Hour

// Key returns the store key of the record of a data centre.
func Key(site string) string { return "yuccalb/slots/" + site }

// Holder identifies a process that holds a slot or intends to take it over.
type Holder struct {
	Addr        netip.AddrPort `json:"addr"`
	Incarnation int64          `json:"incarnation"`
}

// Claim is the claim of a process to a slot.
type Claim struct {
	Slot   int     `json:"slot"`
	Holder Holder  `json:"holder"`
	Intent *Holder `json:"intent,omitempty"` // process that waits to take over the slot
}

// Record holds the claims of a data centre, sorted by slot.
type Record struct {
	Claims []Claim `json:"claims"`
}

// Decode decodes a record. Empty data decodes to an empty record.
func Decode(data []byte) (Record, error) {
	var r Record
	if len(data) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("slot record: %w", err)
	}
	return r, nil
}

// Encode returns the stored form of a record.
func (r Record) Encode() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // unreachable: all fields can be encoded
	}
	return data
}

// index returns the index of the claim of an address, or -1.
func (r Record) index(addr netip.AddrPort) int {
	return slices.IndexFunc(r.Claims, func(c Claim) bool { return c.Holder.Addr == addr })
}

// free returns the lowest unclaimed slot below n, or -1.
func (r Record) free(n int) int {
	for slot := range n {
		if !slices.ContainsFunc(r.Claims, func(c Claim) bool { return c.Slot == slot }) {
			return slot
		}
	}
	return -1
}

// clone returns a copy with its own slice of claims.
func (r Record) clone() Record { return Record{Claims: slices.Clone(r.Claims)} }

// safetyMargin returns how long before the end of takeoverDelay a holder stops using a
// slot that it could not confirm. It covers the maximum difference of clock rates
// (takeoverDelay/99), stale reads (takeoverDelay/72, 5 minutes at 6 h), and the time
// until all leases and grants have expired (quota.Reclaim).
func safetyMargin(takeoverDelay time.Duration) time.Duration {
	return takeoverDelay/99 + takeoverDelay/72 + quota.Reclaim
}
