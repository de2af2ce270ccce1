package peers

import (
	"net"
	"time"

	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

const (
	// writeTimeout bounds one write to a connection, so that calls to a peer that
	// stopped reading fail.
	writeTimeout = 10 * time.Second
	// maxMessageSize bounds a received message in bytes. The largest message is a
	// configuration snapshot of 30,000 organisations.
	maxMessageSize = 32 << 20
)

// writeTimeoutConn is a connection whose writes fail after writeTimeout.
type writeTimeoutConn struct {
	net.Conn
	// raw is closed instead of Conn if it is not nil. Closing a TLS connection
	// writes an alert, which would block on a peer that stopped reading.
	raw net.Conn
}

// Close implements net.Conn.
func (c writeTimeoutConn) Close() error {
	if c.raw != nil {
		return c.raw.Close()
	}
	return c.Conn.Close()
}

// Write implements net.Conn.
func (c writeTimeoutConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// managerOptions returns the drpc settings of clients and servers. Soft cancel
// stays off, so drpc closes the connection of a cancelled call.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize}}
}

// conn is a pooled connection. Its fields are guarded by the pool's mutex.
type conn struct {
	*drpcconn.Conn
	generation uint64 // the pool's generation at the time of the dial
	reused     bool   // taken from the idle connections
	idleSince  time.Time
}

func newConn(nc net.Conn, generation uint64) *conn {
	c := drpcconn.NewWithOptions(nc, drpcconn.Options{Manager: managerOptions()})
	return &conn{Conn: c, generation: generation}
}

// closed reports whether the connection is closed.
func (c *conn) closed() bool {
	select {
	case <-c.Closed():
		return true
	default:
		return false
	}
}
