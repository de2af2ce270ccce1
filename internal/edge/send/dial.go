package send

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// silence is how long sent bytes may stay unacknowledged before a
	// connection counts as broken.
	silence = 2 * time.Second
	// probeIdle and probeEvery time the keep-alive probes that find a silent
	// peer on a connection with nothing to send.
	probeIdle  = time.Second
	probeEvery = time.Second
	probeCount = 2
)

// NewDialer returns a dialer whose connections notice a silent peer within a
// few seconds.
func NewDialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control:         bound,
	}
}

// bound limits the time that sent bytes may stay unacknowledged.
func bound(_, _ string, c syscall.RawConn) error {
	var set error
	err := c.Control(func(fd uintptr) {
		set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return set
}
