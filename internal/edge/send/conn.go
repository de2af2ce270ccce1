package send

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readBuffer = 4 << 10
	// idleMargin is how long before a server's idle timeout a connection is
	// no longer used.
	idleMargin = 500 * time.Millisecond
	// defaultIdle is assumed of servers that tell no idle timeout.
	defaultIdle = 20 * time.Second
)

// conn is a connection to a server. One request uses it at a time.
type conn struct {
	net.Conn
	br     *bufio.Reader
	addr   netip.AddrPort
	reused bool
	// until is when the connection must no longer be used.
	until time.Time
	idle  time.Duration
}

func newConn(c net.Conn, addr netip.AddrPort) *conn {
	return &conn{Conn: c, br: bufio.NewReaderSize(c, readBuffer), addr: addr, idle: defaultIdle}
}

// note takes the idle timeout that a response states.
func (c *conn) note(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			c.idle = time.Duration(n) * time.Second
		}
	}
}

// rest starts an idle time.
func (c *conn) rest(now time.Time) { c.until = now.Add(c.idle - idleMargin) }

// quiet reports whether nothing arrived while the connection was idle: a
// closed connection, or bytes that no request asked for, make it useless.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = err == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}
