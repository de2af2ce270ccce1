package send

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// ackTimeout is how long sent bytes may stay unacknowledged before the kernel
	// closes a connection. It also ends the keep-alive probes, whatever their count, so
	// that it covers all of them.
	ackTimeout = 3 * time.Second
	// probeIdle, probeInterval and probeCount configure the TCP keep-alive probes,
	// which detect an unreachable peer while there is nothing to send.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
)

// NewDialer returns a dialer whose connections detect an unreachable peer within
// a few seconds.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         setUserTimeout,
	}
}

// setUserTimeout sets TCP_USER_TIMEOUT to ackTimeout.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
