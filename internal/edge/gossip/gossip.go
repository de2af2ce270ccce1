package gossip

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/edge/clock"
)

const (
	// PeerTimeout is the age of the last frame after which a host counts as
	// unreachable.
	PeerTimeout = 1500 * time.Millisecond
	// peerTTL is the age of the last frame after which a peer is removed.
	peerTTL = 20 * time.Second
	// maxFrame bounds a datagram in bytes.
	maxFrame = 60 << 10
)

// Round lists the hosts to which the state is sent in one round.
type Round struct {
	// Local are hosts of the local region, Remote those of other regions.
	Local, Remote []netip.AddrPort
	// Wait is the time until the next round.
	Wait time.Duration
}

// Source provides the state of a host and processes the states of its peers.
type Source interface {
	// Round returns the next round. An immediate round includes the remote hosts
	// even if their regular round is not due, because the state has changed. It
	// may be called concurrently.
	Round(immediate bool) Round
	// State returns the state to send to local or remote hosts.
	State(local bool) State
	// Receive is called with each state that arrives.
	Receive(p Peer)
}

// Exchange sends the state of its host at intervals and stores those of peers. It
// is safe for concurrent use.
type Exchange struct {
	conn         *net.UDPConn
	processStart int64
	src          Source
	log          *zap.Logger

	mu    sync.Mutex
	peers map[string]Peer
	echo  map[netip.AddrPort]echo

	stop chan struct{}
	done sync.WaitGroup
}

// echo holds what the next frame to an address returns of the last frame from it.
type echo struct {
	sent, arrived time.Duration
	processStart  int64
}

// Listen opens the UDP socket of an exchange. The argument processStart is the
// start of the process in Unix nanoseconds.
func Listen(addr netip.AddrPort, processStart int64, log *zap.Logger) (*Exchange, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("listen for gossip: %w", err)
	}
	return &Exchange{
		conn: conn, processStart: processStart, log: log, peers: make(map[string]Peer),
		echo: make(map[netip.AddrPort]echo), stop: make(chan struct{}),
	}, nil
}

// ProcessStart returns the start of the process in Unix nanoseconds.
func (e *Exchange) ProcessStart() int64 { return e.processStart }

// Start begins to send the state of src and to receive those of peers.
func (e *Exchange) Start(src Source) {
	e.src = src
	e.done.Go(e.receive)
	e.done.Go(e.send)
}

// Close stops the exchange and waits for its goroutines.
func (e *Exchange) Close() error {
	close(e.stop)
	err := e.conn.Close()
	e.done.Wait()
	if err != nil {
		return fmt.Errorf("close gossip socket: %w", err)
	}
	return nil
}

// Peers returns the last states of other hosts, unreachable ones included.
func (e *Exchange) Peers() []Peer {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]Peer, 0, len(e.peers))
	for _, p := range e.peers {
		list = append(list, p)
	}
	return list
}

func (e *Exchange) send() {
	for {
		t := time.NewTimer(e.round(false))
		select {
		case <-e.stop:
			t.Stop()
			return
		case <-t.C:
		}
	}
}

// Flush sends the state immediately.
func (e *Exchange) Flush() { e.round(true) }

// round sends the state to the hosts of the next round, and returns the time
// until the one after it.
func (e *Exchange) round(immediate bool) time.Duration {
	r := e.src.Round(immediate)
	e.broadcast(r.Local, true)
	e.broadcast(r.Remote, false)
	return r.Wait
}

func (e *Exchange) broadcast(targets []netip.AddrPort, local bool) {
	if len(targets) == 0 {
		return
	}
	body, err := cbor.Marshal(e.src.State(local))
	if err != nil {
		e.log.Error("gossip state can't be encoded", zap.Error(err))
		return
	}
	for _, addr := range targets {
		e.sendTo(addr, body)
	}
}

func (e *Exchange) sendTo(addr netip.AddrPort, body cbor.RawMessage) {
	now := clock.Now()
	f := frame{Sent: now, State: body}
	e.mu.Lock()
	if last, ok := e.echo[addr]; ok {
		f.Echo = last.sent
		f.EchoAge = now - last.arrived
		f.ProcessStart = last.processStart
	}
	e.mu.Unlock()
	b, err := cbor.Marshal(f)
	if err != nil {
		e.log.Error("gossip frame can't be encoded", zap.Error(err))
		return
	}
	if _, err := e.conn.WriteToUDPAddrPort(b, addr); err != nil && !errors.Is(err, net.ErrClosed) {
		e.log.Debug("gossip frame not sent", zap.Stringer("peer", addr), zap.Error(err))
	}
}

func (e *Exchange) receive() {
	buf := make([]byte, maxFrame)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			e.log.Debug("gossip frame not received", zap.Error(err))
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if err := e.handle(buf[:n], from); err != nil {
			e.log.Warn("invalid gossip frame dropped", zap.Stringer("peer", from), zap.Error(err))
		}
	}
}

// handle decodes and checks a frame, stores the state of its sender and passes it
// to the source. Frames that arrive out of order are ignored.
func (e *Exchange) handle(b []byte, from netip.AddrPort) error {
	arrived := clock.Now()
	var f frame
	if err := cbor.Unmarshal(b, &f); err != nil {
		return fmt.Errorf("decode frame: %w", err)
	}
	p := Peer{Received: time.Now()}
	if err := cbor.Unmarshal(f.State, &p.State); err != nil {
		return fmt.Errorf("decode state: %w", err)
	}
	p.EraAt = arrived - p.State.EraAge
	if err := p.State.check(); err != nil {
		return fmt.Errorf("state of host %s: %w", p.State.Host.Name, err)
	}
	if f.Echo > 0 && f.ProcessStart == e.processStart {
		p.Echo = min(f.Echo, arrived)
		sent := min(f.Echo+f.EchoAge, arrived)
		p.ConfigConfirmed = before(sent, p.State.ConfigAge)
		p.EntriesConfirmed = before(sent, p.State.EntriesAge)
		p.State.delay(arrived - sent)
	}
	e.mu.Lock()
	old, ok := e.echo[from]
	if ok && f.Sent < old.sent && e.peers[p.State.Host.Name].State.ProcessStart == p.State.ProcessStart {
		e.mu.Unlock()
		return nil // a newer frame has arrived before
	}
	e.echo[from] = echo{sent: f.Sent, arrived: arrived, processStart: p.State.ProcessStart}
	e.peers[p.State.Host.Name] = p
	for name, other := range e.peers {
		if p.Received.Sub(other.Received) > peerTTL {
			delete(e.peers, name)
		}
	}
	e.mu.Unlock()
	e.src.Receive(p)
	return nil
}

// before returns the time that is age earlier than sent, or 0 if age is unknown or
// reaches back to before the start of the clock.
func before(sent, age time.Duration) time.Duration {
	if age <= 0 || age >= sent {
		return 0
	}
	return sent - age
}
