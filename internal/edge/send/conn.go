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
	// maxHead bounds the head of a response in bytes.
	maxHead = 64 << 10
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
	// inHead is set while a head is read, of which left bytes may still come.
	inHead bool
	left   int
}

func newConn(c net.Conn, addr netip.AddrPort) *conn {
	cn := &conn{Conn: c, addr: addr, idle: defaultIdle}
	cn.br = bufio.NewReaderSize(cn, readBuffer)
	return cn
}

// Read reads from the connection. A head that does not end within maxHead
// bytes is an error.
func (c *conn) Read(p []byte) (int, error) {
	if !c.inHead {
		return c.Conn.Read(p)
	}
	if c.left <= 0 {
		return 0, errHead
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// readHead reads the head of a response to a request.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.inHead = true
	c.left = maxHead
	resp, err := http.ReadResponse(c.br, req)
	c.inHead = false
	return resp, err
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
