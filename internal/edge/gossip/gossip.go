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
	// Lost is the age of the last frame after which a host counts as lost.
	Lost = 1500 * time.Millisecond
	// forget is the age after which a peer is dropped.
	forget = 20 * time.Second
	// maxFrame bounds a datagram in bytes.
	maxFrame = 60 << 10
)

// Round is what to send at one time.
type Round struct {
	// Near are hosts of the own region, Far those of others.
	Near, Far []netip.AddrPort
	// Wait is the time until the next round.
	Wait time.Duration
}

// Source is what an Exchange reports of its host.
type Source interface {
	// Round returns what to send now. An urgent one goes to all that should
	// hear of a change at once. It may be called concurrently.
	Round(urgent bool) Round
	// State returns the state to send to hosts of the own region or of others.
	State(near bool) State
	// Heard is called with each state that arrives.
	Heard(p Peer)
}

// Exchange sends the state of its host at intervals and keeps that of others.
// It is safe for concurrent use.
type Exchange struct {
	conn *net.UDPConn
	boot int64
	src  Source
	log  *zap.Logger

	mu    sync.Mutex
	peers map[string]Peer
	echo  map[netip.AddrPort]echo

	stop chan struct{}
	done sync.WaitGroup
}

// echo is the last frame of a peer by address.
type echo struct {
	sent, arrived time.Duration
	boot          int64
}

// Listen opens the socket of an exchange for a process that started at boot,
// in Unix nanoseconds.
func Listen(addr netip.AddrPort, boot int64, log *zap.Logger) (*Exchange, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, fmt.Errorf("listen for other hosts: %w", err)
	}
	return &Exchange{
		conn: conn, boot: boot, log: log, peers: make(map[string]Peer),
		echo: make(map[netip.AddrPort]echo), stop: make(chan struct{}),
	}, nil
}

// Boot returns the start of the process in Unix nanoseconds.
func (e *Exchange) Boot() int64 { return e.boot }

// Start begins to send the state of src.
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
		return fmt.Errorf("close exchange: %w", err)
	}
	return nil
}

// Peers returns what was heard of other hosts, lost ones included.
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

// Flush sends the state at once.
func (e *Exchange) Flush() { e.round(true) }

// round sends the state to the hosts that should hear of it now, and returns
// the time until the next round.
func (e *Exchange) round(urgent bool) time.Duration {
	r := e.src.Round(urgent)
	e.broadcast(r.Near, true)
	e.broadcast(r.Far, false)
	return r.Wait
}

func (e *Exchange) broadcast(targets []netip.AddrPort, near bool) {
	if len(targets) == 0 {
		return
	}
	body, err := cbor.Marshal(e.src.State(near))
	if err != nil {
		e.log.Error("state of this host can't be encoded", zap.Error(err))
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
		f.Held = now - last.arrived
		f.Boot = last.boot
	}
	e.mu.Unlock()
	b, err := cbor.Marshal(f)
	if err != nil {
		e.log.Error("frame can't be encoded", zap.Error(err))
		return
	}
	if _, err := e.conn.WriteToUDPAddrPort(b, addr); err != nil && !errors.Is(err, net.ErrClosed) {
		e.log.Debug("frame not sent", zap.Stringer("peer", addr), zap.Error(err))
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
			e.log.Debug("frame not received", zap.Error(err))
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if err := e.take(buf[:n], from); err != nil {
			e.log.Warn("frame not understood", zap.Stringer("peer", from), zap.Error(err))
		}
	}
}

func (e *Exchange) take(b []byte, from netip.AddrPort) error {
	arrived := clock.Now()
	var f frame
	if err := cbor.Unmarshal(b, &f); err != nil {
		return fmt.Errorf("decode frame: %w", err)
	}
	p := Peer{Heard: time.Now()}
	if err := cbor.Unmarshal(f.State, &p.State); err != nil {
		return fmt.Errorf("decode state: %w", err)
	}
	p.Era = arrived - p.State.EraAge
	if err := p.State.check(); err != nil {
		return fmt.Errorf("state of host %s: %w", p.State.Host.Name, err)
	}
	if f.Echo > 0 && f.Boot == e.boot {
		sent := min(f.Echo+f.Held, arrived)
		p.Proof = before(sent, p.State.Proof)
		p.Listed = before(sent, p.State.Listed)
	}
	e.mu.Lock()
	old, ok := e.echo[from]
	if ok && f.Sent < old.sent && e.peers[p.State.Host.Name].State.Boot == p.State.Boot {
		e.mu.Unlock()
		return nil // overtaken by a newer frame
	}
	e.echo[from] = echo{sent: f.Sent, arrived: arrived, boot: p.State.Boot}
	e.peers[p.State.Host.Name] = p
	for name, other := range e.peers {
		if p.Heard.Sub(other.Heard) > forget {
			delete(e.peers, name)
		}
	}
	e.mu.Unlock()
	e.src.Heard(p)
	return nil
}

// before returns the time age before sent, or 0 if there is none.
func before(sent, age time.Duration) time.Duration {
	if age <= 0 || age >= sent {
		return 0
	}
	return sent - age
}
