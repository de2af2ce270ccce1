package peers

import (
	"context"
	"fmt"

	"storj.io/drpc/drpcerr"

	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// Beater handles heartbeats.
type Beater interface {
	Beat(ctx context.Context, req *peerpb.BeatRequest) (*peerpb.BeatReply, error)
}

// Puller handles requests for the configuration.
type Puller interface {
	Pull(ctx context.Context, req *peerpb.PullRequest) (*peerpb.PullReply, error)
}

// Granter handles requests for tokens of organisations' rate limits.
type Granter interface {
	Grant(ctx context.Context, req *peerpb.GrantRequest) (*peerpb.GrantReply, error)
}

// Settler handles reports on how many granted tokens were spent.
type Settler interface {
	Settle(ctx context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error)
}

// ForwardStream is the serving side of a forwarded request. Recv returns io.EOF
// after the last message of the forwarding host.
type ForwardStream interface {
	Send(m *peerpb.ForwardMsg) error
	Recv() (*peerpb.ForwardMsg, error)
}

// Forwarder serves forwarded requests. The context ends when the forwarding host
// disconnects.
type Forwarder interface {
	Forward(ctx context.Context, s ForwardStream) error
}

// Handler holds the handlers of the methods, which are called concurrently. Calls
// of a method whose handler is nil fail with drpcerr.Unimplemented.
type Handler struct {
	Beat    Beater
	Pull    Puller
	Grant   Granter
	Settle  Settler
	Forward Forwarder
}

// service adapts a Handler to the generated interface.
type service struct{ h Handler }

func unimplemented(method string) error {
	return drpcerr.WithCode(fmt.Errorf("method %s is unimplemented", method), drpcerr.Unimplemented)
}

// codeHandler is the drpc error code of errors that handlers return, so that the
// client can distinguish them from connection errors, which have no code.
const codeHandler = 2

// withCode adds codeHandler to an error without a code.
func withCode[T any](reply T, err error) (T, error) {
	if err != nil && drpcerr.Code(err) == 0 {
		err = drpcerr.WithCode(err, codeHandler)
	}
	return reply, err
}

// Beat implements peerpb.DRPCPeerServer.
func (s service) Beat(ctx context.Context, req *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	if s.h.Beat == nil {
		return nil, unimplemented("Beat")
	}
	return withCode(s.h.Beat.Beat(ctx, req))
}

// Pull implements peerpb.DRPCPeerServer.
func (s service) Pull(ctx context.Context, req *peerpb.PullRequest) (*peerpb.PullReply, error) {
	if s.h.Pull == nil {
		return nil, unimplemented("Pull")
	}
	return withCode(s.h.Pull.Pull(ctx, req))
}

// Grant implements peerpb.DRPCPeerServer.
func (s service) Grant(ctx context.Context, req *peerpb.GrantRequest) (*peerpb.GrantReply, error) {
	if s.h.Grant == nil {
		return nil, unimplemented("Grant")
	}
	return withCode(s.h.Grant.Grant(ctx, req))
}

// Settle implements peerpb.DRPCPeerServer.
func (s service) Settle(ctx context.Context, req *peerpb.SettleRequest) (*peerpb.SettleReply, error) {
	if s.h.Settle == nil {
		return nil, unimplemented("Settle")
	}
	return withCode(s.h.Settle.Settle(ctx, req))
}

// Forward implements peerpb.DRPCPeerServer.
func (s service) Forward(st peerpb.DRPCPeer_ForwardStream) error {
	if s.h.Forward == nil {
		return unimplemented("Forward")
	}
	_, err := withCode(struct{}{}, s.h.Forward.Forward(st.Context(), st))
	return err
}
