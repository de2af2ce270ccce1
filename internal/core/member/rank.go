package member

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// node is the address of a host that can have duties.
type node struct {
	addr netip.AddrPort
	hash uint64
}

// hashAddr returns the xxhash of an address in its 16-byte form and port.
func hashAddr(a netip.AddrPort) uint64 {
	var b [18]byte
	ip := a.Addr().As16()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
	return xxhash.Sum64(b[:])
}

// score returns the score of a hashed address for a hashed duty; the address
// with the highest score has the duty.
func score(duty, addr uint64) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], duty)
	binary.BigEndian.PutUint64(b[8:], addr)
	return xxhash.Sum64(b[:])
}

// precedes reports whether a precedes b in the order for the hashed duty.
func precedes(duty uint64, a, b node) bool {
	x, y := score(duty, a.hash), score(duty, b.hash)
	return x > y || x == y && a.addr.Compare(b.addr) < 0
}

// ordered returns the addresses of nodes in the order for the duty.
func ordered(duty string, nodes []node) []netip.AddrPort {
	type scored struct {
		addr  netip.AddrPort
		score uint64
	}
	h := xxhash.Sum64String(duty)
	all := make([]scored, len(nodes))
	for i, n := range nodes {
		all[i] = scored{n.addr, score(h, n.hash)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), a.addr.Compare(b.addr))
	})
	addrs := make([]netip.AddrPort, len(all))
	for i, s := range all {
		addrs[i] = s.addr
	}
	return addrs
}

// OrderOf orders addresses for a duty by rendezvous hashing; the first has the
// duty. The result is the same on all hosts and does not depend on the order of
// addrs.
func OrderOf(duty string, addrs []netip.AddrPort) []netip.AddrPort {
	nodes := make([]node, len(addrs))
	for i, a := range addrs {
		nodes[i] = node{a, hashAddr(a)}
	}
	return ordered(duty, nodes)
}

// OwnerOf returns the first address of OrderOf without allocating, or the
// zero value when addrs is empty.
func OwnerOf(duty string, addrs []netip.AddrPort) netip.AddrPort {
	var best node
	h := xxhash.Sum64String(duty)
	for i, a := range addrs {
		n := node{a, hashAddr(a)}
		if i == 0 || precedes(h, n, best) {
			best = n
		}
	}
	return best.addr
}
