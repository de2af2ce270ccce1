package main

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/local"
	"github.com/yuccalb/yuccalb/platform/plattest"
)

// Faults of the path between two regions.
const (
	pathSound = iota
	pathCut   // nothing passes until the fault ends, datagrams are lost
	pathLossy // a third of the datagrams are lost, bytes come late
	pathSlow  // everything comes late
	numPathFaults
)

// lateBy is the additional delay of a path that is slow.
const lateBy = 400 * time.Millisecond

// regionLinks carries what hosts of different regions send each other, with the delay of the way.
// Each host has one address for each other region, which stands for its own in all that hosts of
// that region read: in the store, in frames and in responses of other hosts.
type regionLinks struct {
	t     *testing.T
	hosts []linkedHost
	// views holds the addresses of hosts as a data centre sees them: its own ones directly.
	views  []map[int]netip.AddrPort
	faults [][]*atomic.Int32 // by data centre of the sender and of the receiver
	done   sync.WaitGroup
	ended  chan struct{}
	end    func() // closes ended, once
}

// linkedHost is a host with its own address.
type linkedHost struct {
	site int
	addr netip.AddrPort
}

// newRegionLinks connects hosts, whose own addresses must be free.
func newRegionLinks(t *testing.T, hosts []linkedHost) *regionLinks {
	l := &regionLinks{t: t, hosts: hosts, ended: make(chan struct{})}
	l.end = sync.OnceFunc(func() { close(l.ended) })
	for from := range fleetSites {
		view := make(map[int]netip.AddrPort)
		for i, h := range hosts {
			view[i] = h.addr
			if h.site != from {
				view[i] = local.Addr(t)
			}
		}
		l.views = append(l.views, view)
		l.faults = append(l.faults, nil)
		for range fleetSites {
			l.faults[from] = append(l.faults[from], &atomic.Int32{})
		}
	}
	var closers []func() error
	t.Cleanup(func() {
		l.end()
		for _, c := range closers {
			_ = c() // makes reads fail
		}
		l.done.Wait()
	})
	sockets := make(map[netip.AddrPort]*net.UDPConn)
	for from, view := range l.views {
		for i, addr := range view {
			if hosts[i].site == from {
				continue
			}
			conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
			if err != nil {
				t.Fatal(err)
			}
			listener, err := net.Listen("tcp4", addr.String())
			if err != nil {
				t.Fatal(err)
			}
			closers = append(closers, conn.Close, listener.Close)
			sockets[addr] = conn
			l.done.Go(func() { l.accept(listener, from, i) })
		}
	}
	for from, view := range l.views {
		for i, addr := range view {
			if hosts[i].site != from {
				l.done.Go(func() { l.carryFrames(sockets, sockets[addr], from, i) })
			}
		}
	}
	return l
}

// replacer returns a replacer of the addresses that hosts of one data centre know by those that
// hosts of another one know. All addresses have the same length.
func (l *regionLinks) replacer(from, to int) *strings.Replacer {
	var pairs []string
	for i := range l.hosts {
		before, after := l.views[from][i], l.views[to][i]
		b, err := before.MarshalBinary()
		if err != nil {
			l.t.Error(err)
		}
		a, err := after.MarshalBinary()
		if err != nil {
			l.t.Error(err)
		}
		pairs = append(pairs, string(b), string(a), before.String(), after.String())
	}
	return strings.NewReplacer(pairs...)
}

// wait waits for the delay of a path and while it is cut. It returns false if the run ends.
func (l *regionLinks) wait(from, to int, since time.Time) bool {
	delay := regionDelay
	if f := l.faults[from][to].Load(); f == pathSlow || f == pathLossy {
		delay += lateBy
	}
	for {
		t := time.NewTimer(max(time.Until(since.Add(delay)), 0))
		select {
		case <-l.ended:
			t.Stop()
			return false
		case <-t.C:
		}
		if l.faults[from][to].Load() != pathCut {
			return true
		}
		delay = time.Since(since) + 20*time.Millisecond
	}
}

// carryFrames forwards datagrams that hosts of a data centre send to host i, from the address
// that stands for the sender.
func (l *regionLinks) carryFrames(sockets map[netip.AddrPort]*net.UDPConn, conn *net.UDPConn, from, i int) {
	to := l.hosts[i].site
	r := l.replacer(from, to)
	buf := make([]byte, 64<<10)
	for {
		n, sender, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		fault := l.faults[from][to].Load()
		if fault == pathCut || fault == pathLossy && rand.IntN(3) == 0 {
			continue
		}
		frame := []byte(r.Replace(string(buf[:n])))
		sender = netip.AddrPortFrom(sender.Addr().Unmap(), sender.Port())
		for k, h := range l.hosts {
			if h.addr == sender {
				out := sockets[l.views[to][k]]
				received := time.Now()
				l.done.Go(func() {
					if l.wait(from, to, received) {
						_, _ = out.WriteToUDPAddrPort(frame, l.hosts[i].addr) // datagrams may be lost
					}
				})
			}
		}
	}
}

// accept forwards connections of hosts of a data centre to host i.
func (l *regionLinks) accept(listener net.Listener, from, i int) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		l.done.Go(func() { l.carry(c, from, i) })
	}
}

// carry forwards one connection.
func (l *regionLinks) carry(client net.Conn, from, i int) {
	to := l.hosts[i].site
	defer func() { _ = client.Close() }()
	if !l.wait(from, to, time.Now()) || !l.wait(to, from, time.Now()) {
		return
	}
	target, err := net.DialTimeout("tcp4", l.hosts[i].addr.String(), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = target.Close() }()
	var copies sync.WaitGroup
	copies.Go(func() { l.copy(target, client, from, to) })
	copies.Go(func() { l.copy(client, target, to, from) })
	ended := make(chan struct{})
	go func() { copies.Wait(); close(ended) }()
	select {
	case <-ended:
	case <-l.ended:
	}
}

// copy forwards the bytes of one direction, each after the delay.
func (l *regionLinks) copy(dst, src net.Conn, from, to int) {
	type chunk struct {
		b  []byte
		at time.Time
	}
	chunks := make(chan chunk, 256)
	r := l.replacer(from, to)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, 16<<10)
			n, err := src.Read(buf)
			if n > 0 {
				select {
				case chunks <- chunk{[]byte(r.Replace(string(buf[:n]))), time.Now()}:
				case <-l.ended:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		if !l.wait(from, to, c.at) {
			return
		}
		if _, err := dst.Write(c.b); err != nil {
			_ = src.Close() // dst is closed
			return
		}
	}
	if l.wait(from, to, time.Now()) {
		_ = dst.(*net.TCPConn).CloseWrite() // the peer may have closed it
	}
}

// storeOf starts a server of the store as hosts of a data centre see it, with the addresses by
// which they reach the others, and returns its address.
func (l *regionLinks) storeOf(s *plattest.Store, site int) netip.AddrPort {
	var pairs []string
	for i, h := range l.hosts {
		pairs = append(pairs, h.addr.String(), l.views[site][i].String())
	}
	r := strings.NewReplacer(pairs...)
	return local.Host(local.Serve(l.t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		// A call without a response would not see that the host closes its connection.
		ctx, cancel := context.WithCancel(req.Context())
		defer cancel()
		go func() {
			select {
			case <-l.ended:
				cancel()
			case <-ctx.Done():
			}
		}()
		rec := httptest.NewRecorder()
		s.ServeHTTP(rec, req.WithContext(ctx))
		body := rec.Body.Bytes()
		var page struct {
			Items []storeItem `json:"items"`
			Rev   int64       `json:"current_rev"`
		}
		if strings.HasPrefix(req.URL.Path, "/-/kv-range") && rec.Code == http.StatusOK && json.Unmarshal(body, &page) == nil {
			for i, it := range page.Items {
				page.Items[i].Value = []byte(r.Replace(string(it.Value)))
			}
			if b, err := json.Marshal(page); err == nil {
				body = bytes.TrimSpace(b)
			}
		}
		for name, values := range rec.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(rec.Code)
		_, _ = w.Write(body) // the host may have left
	})))
}

// storeItem is an item of the store.
type storeItem struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	Rev   int64  `json:"rev"`
}
