package send

import (
	"fmt"
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
	// maxUnsent bounds the bytes that the kernel holds for a connection beside those on their way, which
	// the peer's window bounds. Without it a peer that reads slowly makes it hold up to the largest send
	// buffer, of megabytes.
	maxUnsent = 128 << 10
)

// NewDialer returns a dialer whose connections detect an unreachable peer within
// a few seconds.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         setOptions,
	}
}

// setOptions sets TCP_USER_TIMEOUT to ackTimeout and bounds the unsent bytes.
func setOptions(_, _ string, c syscall.RawConn) error {
	if err := setOption(c, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds())); err != nil {
		return err
	}
	return setOption(c, unix.TCP_NOTSENT_LOWAT, maxUnsent)
}

// LimitUnsent bounds the bytes that the kernel holds for an accepted connection, as NewDialer does for those
// that it opens. Accepted connections do not inherit the limit from a listener of MPTCP, the default of
// package net. It does nothing to connections without a file descriptor.
func LimitUnsent(c net.Conn) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return fmt.Errorf("limit unsent bytes: %w", err)
	}
	return setOption(raw, unix.TCP_NOTSENT_LOWAT, maxUnsent)
}

// setOption sets an option of TCP.
func setOption(c syscall.RawConn, option, value int) error {
	var set error
	err := c.Control(func(fd uintptr) { set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, option, value) })
	if err != nil {
		return err
	}
	return set
}
