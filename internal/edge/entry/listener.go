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
	// acceptIdle is how long no connection must arrive before a draining listener
	// closes. drainTimeout bounds the wait for that.
	acceptIdle   = time.Millisecond
	drainTimeout = 300 * time.Millisecond
)

// listener is a TCP listener that can accept the connections in its queue before
// it closes. The kernel would reset them otherwise.
type listener struct {
	*net.TCPListener
	draining atomic.Bool
	drained  chan struct{}
	// onEmpty is called after the queue was found empty, before the listener
	// closes. Only tests set it.
	onEmpty func()

	closeOnce sync.Once
	closeErr  error
}

func newListener(tcp *net.TCPListener) *listener {
	return &listener{TCPListener: tcp, drained: make(chan struct{})}
}

// Accept returns the next connection. After Drain was called, it closes the
// listener and returns net.ErrClosed once the queue is empty.
func (l *listener) Accept() (net.Conn, error) {
	for {
		if l.draining.Load() {
			if err := l.SetDeadline(time.Now().Add(acceptIdle)); err != nil {
				return nil, err
			}
		}
		c, err := l.TCPListener.Accept()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return c, err
		}
		if l.pending() {
			continue // the deadline had passed before Accept read the queue
		}
		if l.onEmpty != nil {
			l.onEmpty()
		}
		_ = l.Close() // Drain returns its error
		close(l.drained)
		return nil, net.ErrClosed
	}
}

// pending reports whether a connection can be accepted.
func (l *listener) pending() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	pending := false
	err = raw.Control(func(fd uintptr) {
		n, err := unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
		pending = err == nil && n > 0
	})
	return err == nil && pending
}

// Drain closes the listener once its queue is empty. It limits the queue to one
// connection first: otherwise a burst of connections just before the listener
// closes would be established and then reset, instead of failing to connect, so
// that callers use another host.
func (l *listener) Drain() error {
	limited := l.limitQueue()
	l.draining.Store(true)
	if err := l.SetDeadline(time.Now().Add(acceptIdle)); err != nil { // wakes Accept
		return errors.Join(limited, err)
	}
	select {
	case <-l.drained:
	case <-time.After(drainTimeout):
	}
	return errors.Join(limited, l.Close())
}

// limitQueue limits the accept queue to one connection.
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
	l.closeOnce.Do(func() { l.closeErr = l.TCPListener.Close() })
	return l.closeErr
}
