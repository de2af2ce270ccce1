package entry

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/local"
)

// TestBurstAtClose guards against connections that the kernel resets because they
// arrive after the last check of the queue and before the listener closes. That
// time is long on a busy machine, and callers whose requests end together
// reconnect together: in TestStopUnderLoad, 19 of 20 callers were cut off.
func TestBurstAtClose(t *testing.T) {
	const callers = 20
	tcp, err := net.Listen("tcp4", local.Addr(t).String())
	if err != nil {
		t.Fatal(err)
	}
	l := newListener(tcp.(*net.TCPListener))
	var taken, connected atomic.Int64
	var dials sync.WaitGroup
	l.onEmpty = func() {
		for range callers {
			dials.Go(func() {
				conn, err := net.DialTimeout("tcp4", tcp.Addr().String(), 300*time.Millisecond)
				if err != nil {
					return // a caller would use another host
				}
				connected.Add(1)
				_ = conn.Close()
			})
		}
		time.Sleep(100 * time.Millisecond) // as on a busy machine
	}
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			taken.Add(1)
			_ = conn.Close()
		}
	}()
	if err := l.Drain(); err != nil {
		t.Fatal(err)
	}
	<-accepted
	dials.Wait()
	if cutOff := connected.Load() - taken.Load(); cutOff > callers/10 {
		t.Errorf("%d of %d callers were connected but not accepted", cutOff, callers)
	}
}
