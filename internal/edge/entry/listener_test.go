package entry

import (
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/local"
)

// TestBurstAtClose guards against connections that the kernel resets because
// they come between the last look at the queue and the end of the listener. A
// busy machine makes that time long, and callers whose requests end together
// come back together: seen as 19 of 20 callers cut off in TestStopUnderLoad.
func TestBurstAtClose(t *testing.T) {
	const callers = 20
	tcp, err := net.Listen("tcp4", local.Addr(t).String())
	if err != nil {
		t.Fatal(err)
	}
	l := newListener(tcp.(*net.TCPListener))
	var taken, connected atomic.Int64
	var dials sync.WaitGroup
	l.empty = func() {
		for range callers {
			dials.Go(func() {
				conn, err := net.DialTimeout("tcp4", tcp.Addr().String(), 300*time.Millisecond)
				if err != nil {
					return // it may go elsewhere
				}
				connected.Add(1)
				_ = conn.Close()
			})
		}
		time.Sleep(100 * time.Millisecond) // a busy machine
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
	if cut := connected.Load() - taken.Load(); cut > callers/10 {
		t.Errorf("%d of %d callers were connected and got no answer", cut, callers)
	}
}
