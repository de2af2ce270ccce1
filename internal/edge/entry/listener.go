package entry

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// acceptQuiet is how long no connection must have come before a listener
	// closes, and acceptWait how long it waits for that.
	acceptQuiet = time.Millisecond
	acceptWait  = 300 * time.Millisecond
)

// listener takes the connections that wait in its queue before it closes: the
// kernel would reset them otherwise.
type listener struct {
	*net.TCPListener
	closing atomic.Bool
	ended   chan struct{}
	// empty is called when the queue was seen empty, before the listener
	// closes. It is set by tests only.
	empty func()

	once   sync.Once
	closed error
}

func newListener(tcp *net.TCPListener) *listener {
	return &listener{TCPListener: tcp, ended: make(chan struct{})}
}

// Accept returns the next connection. After Drain was called, it returns
// net.ErrClosed once none waits.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if l.closing.Load() {
			if err := l.SetDeadline(time.Now().Add(acceptQuiet)); err != nil {
				return nil, err
			}
		}
		c, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if l.waits() {
			continue // the deadline had passed before the queue was looked at
		}
		if l.empty != nil {
			l.empty()
		}
		_ = l.Close() // Drain returns its error
		close(l.ended)
		return nil, net.ErrClosed
	}
}

// waits reports whether a connection waits to be accepted.
func (l *listener) waits() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	waits := false
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		waits = err == nil && n > 0
	})
	return err == nil && waits
}

// Drain closes the listener once no connection waits to be accepted. It lets the
// queue hold a single one from now on: a burst that comes just before the end
// is not connected then, and its callers go elsewhere.
func (l *listener) Drain() error {
	limited := l.limitQueue()
	l.closing.Store(true)
	if err := l.SetDeadline(time.Now().Add(acceptQuiet)); err != nil { // wakes Accept
		return errors.Join(limited, err)
	}
	select {
	case <-l.ended:
	case <-time.After(acceptWait):
	}
	return errors.Join(limited, l.Close())
}

// limitQueue bounds the connections that wait to be accepted to one.
func (l *listener) limitQueue() error {
	raw, err := l.SyscallConn()
	if err != nil {
		return fmt.Errorf("limit queue: %w", err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = unix.Listen(int(fd), 0) })
	if err = errors.Join(err, failed); err != nil {
		return fmt.Errorf("limit queue: %w", err)
	}
	return nil
}

// Close closes the listener. Later calls return what the first returned, since
// net/http closes it as well.
func (l *listener) Close() error {
	l.once.Do(func() { l.closed = l.TCPListener.Close() })
	return l.closed
}
