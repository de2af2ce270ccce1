package quota

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Remote is a remote data centre whose pools can be asked.
type Remote struct {
	Site   string
	Region string
	// Owner returns the address of the host of the data centre that has a
	// duty, or an invalid address when there is none.
	Owner func(duty string) netip.AddrPort
}

// View is an immutable snapshot of the membership.
type View struct {
	// Members are the healthy hosts of the local data centre that are not
	// leaving, sorted.
	Members []netip.AddrPort
	// Order orders exactly the Members for a duty; the first has it. It must
	// return the same order on every host that has the same Members, because
	// that is what gives each pool a single owner under one member list.
	Order func(duty string) []netip.AddrPort
	// Remotes are the reachable remote data centres.
	Remotes []Remote
}

// owner returns the host that owns the pool of org, or an invalid address.
func (v *View) owner(org string) netip.AddrPort {
	if v == nil || v.Order == nil {
		return netip.AddrPort{}
	}
	ordered := v.Order(Duty(org))
	if len(ordered) == 0 {
		return netip.AddrPort{}
	}
	return ordered[0]
}

// Duty is the name of the duty of owning the pool of an organisation. A duty is
// a named task that is assigned to one host of a data centre.
func Duty(org string) string { return "pool/" + org }

// Digest returns a digest of a member list, which replaces the list in
// messages. With the list itself, the leases among 18 hosts took 7 KB/s per
// host.
func Digest(members []netip.AddrPort) uint64 {
	d := xxhash.New()
	var buf [18]byte
	for _, m := range members {
		addr := m.Addr().As16()
		copy(buf[:], addr[:])
		binary.BigEndian.PutUint16(buf[16:], m.Port())
		_, _ = d.Write(buf[:]) // never fails
	}
	return d.Sum64()
}

// sameMembers reports whether two sorted member lists are equal.
func sameMembers(a, b []netip.AddrPort) bool {
	return slices.Equal(a, b)
}
