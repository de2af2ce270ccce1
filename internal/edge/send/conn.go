package send

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"github.com/yuccalb/yuccalb/internal/edge/clock"
)

const (
	readBuffer = 4 << 10
	// maxRefused bounds the refused requests that are remembered.
	maxRefused = 32
	// idleMargin is subtracted from a server's idle timeout, since the server may
	// close the connection while a request is on its way.
	idleMargin = 500 * time.Millisecond
	// defaultIdle is the idle timeout assumed for servers that state none.
	defaultIdle = 20 * time.Second
)

// conn is a connection to a server. One request uses it at a time.
type conn struct {
	net.Conn
	br     *bufio.Reader
	addr   netip.AddrPort
	reused bool
	opened time.Time
	// openedAt is opened on the clock of package clock.
	openedAt time.Duration
	process  identity
	// expires is when the idle connection must no longer be used.
	expires     time.Time
	idleTimeout time.Duration
	// refused are hashes of the identifiers of requests that the server refused on this
	// connection, the newest last. Callers choose the identifiers, which may be long.
	refused []uint64
	// inHead is set while a head is read, whose limit is head.
	inHead bool
	head   headLimit
}

// newConn returns a connection whose long heads are counted in long.
func newConn(c net.Conn, addr netip.AddrPort, long *atomic.Int64) *conn {
	cn := &conn{Conn: c, addr: addr, idleTimeout: defaultIdle, head: headLimit{long: long}, opened: time.Now(), openedAt: clock.Now()}
	cn.br = bufio.NewReaderSize(cn, readBuffer)
	return cn
}

// Read reads from the connection. It returns an error when a head exceeds its limit.
func (c *conn) Read(p []byte) (int, error) {
	if !c.inHead {
		return c.Conn.Read(p)
	}
	n, err := c.Conn.Read(p)
	if limit := c.head.add(p[:n]); limit != nil {
		return 0, limit
	}
	return n, err
}

// readHead reads the status line and header of the response to req. Package net/http ignores
// Transfer-Encoding in HTTP/1.0 and before a space, so that chunks would become part of the body.
func (c *conn) readHead(req *http.Request) (*http.Response, error) {
	c.head.begin()
	buffered, _ := c.br.Peek(c.br.Buffered()) // can't fail
	if err := c.head.add(buffered); err != nil {
		return nil, err
	}
	c.inHead = true
	resp, err := http.ReadResponse(c.br, req)
	c.inHead = false
	if err != nil && c.head.err != nil {
		err = c.head.err // not that of the incomplete line
	}
	if err == nil && c.head.encoded && len(resp.TransferEncoding) == 0 {
		return nil, errEncoding
	}
	return resp, err
}

// parseKeepAlive reads the idle timeout from the Keep-Alive header of a response.
func (c *conn) parseKeepAlive(h http.Header) {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(value); err == nil {
			c.idleTimeout = time.Duration(n) * time.Second
		}
	}
}

// addRefused records that the server refused a request.
func (c *conn) addRefused(id string) {
	if len(c.refused) >= maxRefused {
		c.refused = append(c.refused[:0], c.refused[1:]...)
	}
	c.refused = append(c.refused, hashID(id))
}

// hashID returns the hash of the identifier of a request.
func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// checkAcknowledged returns errNotTaken if a reset has arrived, or if the kernel of the server has not
// acknowledged all that was written. It returns nil if that can't be determined.
func (c *conn) checkAcknowledged() error {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return errNotTaken // it was closed
	}
	pending, unsent := 0, 0
	err = raw.Control(func(fd uintptr) {
		pending, _ = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR) // 0 if unknown
		unsent, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)                     // 0 if unknown
	})
	if err != nil || pending != 0 || unsent > 0 {
		return errNotTaken
	}
	return nil
}

// startIdle sets the time at which the connection expires.
func (c *conn) startIdle(now time.Time) { c.expires = now.Add(c.idleTimeout - idleMargin) }

// usable reports whether the idle connection is open and has no bytes to read.
// Unsolicited bytes could be taken for the response to the next request.
func (c *conn) usable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	var b [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = err == unix.EAGAIN
		return true
	})
	return err == nil && usable
}
