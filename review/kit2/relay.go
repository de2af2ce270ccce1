package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"
)

// relay is the network between two hosts of a region: each reaches the other at an address of the
// relay, which takes the place of the other's own in all that passes. A cut drops datagrams, and
// connections and the calls of the second host to the store are reset.
type relay struct {
	cut atomic.Bool
	// dropped is when a datagram to the second host was last dropped, and refused when its last
	// read of the list was reset, in Unix nanoseconds.
	dropped, refused atomic.Int64
	// own are the addresses of the hosts, and seen those at which the other one reaches them.
	own, seen [2]netip.AddrPort
	sockets   [2]*net.UDPConn // bound to seen
}

// newRelay starts a relay between two hosts with these addresses.
func newRelay(first, second string) (*relay, error) {
	r := &relay{}
	for i, text := range []string{first, second} {
		own, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, err
		}
		free, err := freeAddr()
		if err != nil {
			return nil, err
		}
		r.own[i], r.seen[i] = own, netip.MustParseAddrPort(free)
	}
	for i := range r.own {
		socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(r.seen[i]))
		if err != nil {
			return nil, err
		}
		l, err := net.Listen("tcp4", r.seen[i].String())
		if err != nil {
			return nil, err
		}
		r.sockets[i] = socket
		go r.accept(l, i)
	}
	for i := range r.own {
		go r.carryFrames(i)
	}
	return r, nil
}

// translate replaces addresses in bytes that host number to gets: those as the sender knows them by
// those as the receiver does. All have the same length.
func (r *relay) translate(b []byte, to int) []byte {
	from := 1 - to
	for _, p := range [][2]netip.AddrPort{{r.own[from], r.seen[from]}, {r.seen[to], r.own[to]}} {
		before, _ := p[0].MarshalBinary() // returns no errors
		after, _ := p[1].MarshalBinary()  // returns no errors
		b = bytes.ReplaceAll(b, before, after)
	}
	return b
}

// carryFrames carries the datagrams to a host.
func (r *relay) carryFrames(to int) {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := r.sockets[to].ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if r.cut.Load() && to == 1 {
			r.dropped.Store(time.Now().UnixNano())
		}
		if !r.cut.Load() {
			// The receiver sees the address at which it reaches the sender.
			_, _ = r.sockets[1-to].WriteToUDPAddrPort(r.translate(buf[:n], to), r.own[to]) // may be lost
		}
	}
}

// accept carries the connections to a host.
func (r *relay) accept(l net.Listener, to int) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if r.cut.Load() {
			_ = c.Close() // nothing passes
			continue
		}
		d, err := net.Dial("tcp4", r.own[to].String())
		if err != nil {
			_ = c.Close() // nothing passes
			continue
		}
		go r.carry(c, d, to)
		go r.carry(d, c, 1-to)
	}
}

// carry carries the bytes of one direction of a connection to a host.
func (r *relay) carry(from, to net.Conn, host int) {
	defer func() {
		_ = from.Close() // nothing passes any more
		_ = to.Close()   // nothing passes any more
	}()
	buf := make([]byte, 256<<10)
	for {
		n, err := from.Read(buf)
		if r.cut.Load() {
			return
		}
		if n > 0 {
			if _, err := to.Write(r.translate(buf[:n], host)); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// view starts a view of the store for a host: it shows the other host at the address of the relay. It returns
// its address. With cuttable set, calls are reset while the relay is cut.
func (r *relay) view(s *store, host int, cuttable bool) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	other := 1 - host
	h := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if cuttable && r.cut.Load() {
			if q.URL.Path == "/-/kv-range" {
				r.refused.Store(time.Now().UnixNano())
			}
			panic(http.ErrAbortHandler)
		}
		s.serveView(w, q, func(it storeItem) storeItem {
			if it.Key == fmt.Sprintf("yuccalb/hosts/h%d", other+1) {
				it.Value = bytes.ReplaceAll(it.Value, quoted(r.own[other]), quoted(r.seen[other]))
			}
			return it
		})
	})
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }() // ends with the process
	return l.Addr().String(), nil
}

// heal ends a cut, at a moment at which the second host is about to read the list again and has just missed
// a datagram of the first one.
func (r *relay) heal() {
	for {
		now := time.Now().UnixNano()
		if now-r.refused.Load() > int64(230*time.Millisecond) && now-r.dropped.Load() < int64(30*time.Millisecond) {
			r.cut.Store(false)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// quoted returns an address as JSON.
func quoted(a netip.AddrPort) []byte {
	b, _ := json.Marshal(a.String()) // a string can always be encoded
	return b
}
