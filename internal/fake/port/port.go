// Package port finds free loopback addresses for daemons whose settings need a fixed
// address.
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

// Ports are chosen below the ephemeral range, which begins at 32768 or later. An
// outgoing connection can take a port of that range before the daemon listens on it.
const (
	lowest  = 10000
	highest = 32000
	tries   = 100
)

// Free returns a loopback address on which nothing listened when it was checked.
func Free() (netip.AddrPort, error) {
	ip := netip.AddrFrom4([4]byte{127, 0, 0, 1})
	return find(ip, func() int { return rand.IntN(highest - lowest) })
}

// issued counts the addresses that Unique has tried.
var issued atomic.Uint32

// Unique returns a loopback address that it has not returned before and that it does not
// return in other processes. Tests run in parallel, and a daemon that stops frees its
// ports: without unique addresses, a daemon of another test could take them and receive
// data for the stopped one.
func Unique() (netip.AddrPort, error) {
	return find(IP(), func() int { return int(issued.Add(1)) % (highest - lowest) })
}

// IP returns the IP address of all addresses that Unique returns. It depends on the
// process id.
func IP() netip.Addr {
	pid := os.Getpid()
	// Process ids have at most 22 bits on Linux.
	return netip.AddrFrom4([4]byte{127, byte(64 + pid>>16), byte(pid >> 8), byte(pid)})
}

// find tries ports until it finds one on which nothing listens.
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
