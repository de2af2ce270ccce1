package proxy

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/local"
)

// echo returns a connection through a proxy to an echo server.
func echo(t *testing.T) (*Proxy, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp4", local.Addr(t).String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	p := New(t, netip.MustParseAddrPort(l.Addr().String()))
	c, err := net.Dial("tcp4", p.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return p, c
}

// answered reports whether one byte comes back within d.
func answered(c net.Conn, d time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(d))
	n, _ := c.Read(make([]byte, 1))
	return n == 1
}

// TestFaults guards against a proxy that does not inject the faults on which the soak
// test relies.
func TestFaults(t *testing.T) {
	const short, long = 100 * time.Millisecond, 5 * time.Second
	send := func(c net.Conn) { _, _ = c.Write([]byte{1}) }
	t.Run("none", func(t *testing.T) {
		_, c := echo(t)
		send(c)
		if !answered(c, long) {
			t.Error("no answer from the echo server")
		}
	})
	t.Run("delay", func(t *testing.T) {
		p, c := echo(t)
		p.Set(Fault{Delay: 2 * short})
		began := time.Now()
		send(c)
		if !answered(c, long) || time.Since(began) < 4*short {
			t.Errorf("answered after %v, want at least %v", time.Since(began), 4*short)
		}
	})
	for name, f := range map[string]Fault{"forth": {HoldForth: true}, "back": {HoldBack: true}, "silent": {HoldForth: true, HoldBack: true}} {
		t.Run(name, func(t *testing.T) {
			p, c := echo(t)
			p.Set(f)
			send(c)
			if answered(c, short) {
				t.Error("answered although data is held back")
			}
			p.Set(Fault{})
			if !answered(c, long) {
				t.Error("no answer after the fault has ended")
			}
		})
	}
	t.Run("reset", func(t *testing.T) {
		p, c := echo(t)
		send(c)
		answered(c, long)
		p.Set(Fault{Reset: true})
		if answered(c, long) {
			t.Error("answered on a connection that was reset")
		}
		if c, err := net.Dial("tcp4", p.Addr().String()); err == nil {
			send(c)
			if answered(c, short) {
				t.Error("a new connection was served although connections are reset")
			}
		}
	})
}
