package entry

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

const (
	// doorQuiet is how long no connection must have come before a door closes,
	// and doorWait how long it waits for that.
	doorQuiet = time.Millisecond
	doorWait  = 300 * time.Millisecond
)

// door is a listener that takes the connections that wait in its queue before
// it closes: the kernel would reset them.
type door struct {
	*net.TCPListener
	closing atomic.Bool
	ended   chan struct{}
}

func newDoor(l *net.TCPListener) *door {
	return &door{TCPListener: l, ended: make(chan struct{})}
}

// Accept returns the next connection. After Shut was called, it returns
// net.ErrClosed once none waits.
func (d *door) Accept() (net.Conn, error) {
	if d.closing.Load() {
		if err := d.SetDeadline(time.Now().Add(doorQuiet)); err != nil {
			return nil, err
		}
	}
	c, err := d.TCPListener.Accept()
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return c, err
	}
	_ = d.TCPListener.Close() // nobody waits
	close(d.ended)
	return nil, net.ErrClosed
}

// Shut closes the listener once no connection waits to be accepted.
func (d *door) Shut() error {
	d.closing.Store(true)
	if err := d.SetDeadline(time.Now().Add(doorQuiet)); err != nil { // wakes Accept
		return err
	}
	select {
	case <-d.ended:
		return nil
	case <-time.After(doorWait):
		return d.TCPListener.Close()
	}
}
