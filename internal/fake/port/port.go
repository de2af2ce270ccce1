// Package port finds loopback addresses for daemons whose settings need a fixed
// one.
package port

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// Ports are taken from below the range that systems use for outgoing
// connections, which begins at 32768 or later: a port of that range was taken
// by a connection before the daemon could listen on it.
const (
	lowest  = 10000
	highest = 32000
	tries   = 100
)

// Free returns a loopback address on which nothing listened a moment ago.
func Free() (netip.AddrPort, error) {
	ip := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	return find(ip, func() int { return rand.IntN(highest - lowest) })
}

// handed counts the addresses that Own has returned.
var handed atomic.Uint32

// Own returns a loopback address that it has not returned before and that no
// other process gets from it. Tests use it: they run side by side, and a daemon
// that was stopped gives its ports free to those of other tests, which then hear
// what is meant for it.
func Own() (netip.AddrPort, error) {
	return find(IP(), func() int { return int(handed.Add(1)) % (highest - lowest) })
}

// IP returns the IP address of the addresses that Own returns.
func IP() netip.Addr {
	pid := os.Getpid()
	// Process ids have at most 22 bits.
	return netip.AddrFrom4([4]byte{127, byte(64 + pid>>16), byte(pid >> 8), byte(pid)})
}

// find tries ports until nothing listens on one.
func find(ip netip.Addr, offset func() int) (netip.AddrPort, error) {
	var last error
	for range tries {
		addr := netip.AddrPortFrom(ip, uint16(lowest+offset()))
		ln, err := net.Listen("tcp", addr.String())
		if err != nil {
			last = err
			continue
		}
		if err := ln.Close(); err != nil {
			return netip.AddrPort{}, fmt.Errorf("close listener: %w", err)
		}
		return addr, nil
	}
	return netip.AddrPort{}, errors.Join(errors.New("no free port found"), last)
}
