package server

import (
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// Server is a fake server: an Engine or a Plain.
type Server interface {
	http.Handler
	Fault() Fault
	Close() error
}

// Process serves a fake server on a TCP address.
type Process struct {
	Addr   netip.AddrPort
	server Server
	http   *http.Server
	done   sync.WaitGroup
}

// Start listens on addr and serves s until Close. The address must be a loopback
// address; its port may be 0.
func Start(addr netip.AddrPort, s Server) (*Process, error) {
	if !addr.Addr().IsLoopback() {
		return nil, errors.New("fake server needs a loopback address")
	}
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	p := &Process{
		Addr: ln.Addr().(*net.TCPAddr).AddrPort(), server: s,
		http: &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second},
	}
	p.done.Go(func() { p.http.Serve(&listener{Listener: ln, server: s}) })
	return p, nil
}

// Close aborts all requests and waits until the server has stopped accepting.
func (p *Process) Close() error {
	p.server.Close()
	err := p.http.Close()
	p.done.Wait()
	return err
}

// listener resets new connections while the fault Refuse is set.
type listener struct {
	net.Listener
	server Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil || !l.server.Fault().Refuse {
			return conn, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			tcp.SetLinger(0) // makes the close a reset
		}
		conn.Close()
	}
}
