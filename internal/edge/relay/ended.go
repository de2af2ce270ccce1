package relay

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/edge/send"
	"github.com/yuccalb/yuccalb/platform"
)

// aliveTimeout bounds the wait for the response of a server that refuses connections, on an open one.
const aliveTimeout = 400 * time.Millisecond

// errServerEnded means that the process of a server has ended with its response.
var errServerEnded = fmt.Errorf("nothing listens at the address of the server: %w", io.ErrUnexpectedEOF)

// checkServerEnded returns errServerEnded if a response has ended with its connection and its server shows no
// sign of life afterwards: the kernel closes the connections of a process that ends in an orderly way, so that
// a response in part looks complete. Neither a lost path nor a server that leaves is an exception: both are
// seen when servers are killed, too.
func (q *request) checkServerEnded() error {
	if !q.endUnknown || q.fromPeerHost() || !q.s.servers.Refused(q.dest.addr) {
		return nil
	}
	if q.s.responds(q.ctx, q.dest.addr) {
		q.s.log.Debug("server refuses connections and runs", zap.String("id", q.id), zap.String("server", q.server))
		return nil
	}
	return errServerEnded
}

// responds reports whether a server responds on an open connection, whatever its response. A server that stops in
// an orderly way or can't be reached by new connections does so, one whose process has ended does not.
func (s *Relay) responds(ctx context.Context, addr netip.AddrPort) bool {
	_, err := s.ask(ctx, &send.Request{Addr: addr, Target: platform.ReportPath, Deadline: time.Now().Add(aliveTimeout), IdleOnly: true})
	return err == nil
}
