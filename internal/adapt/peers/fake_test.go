package peers

import (
	"context"
	"net/netip"

	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

var fakeAddr = netip.MustParseAddrPort("10.0.0.1:7000")

// beatFunc is a function that implements Beater.
type beatFunc func(ctx context.Context, req *peerpb.BeatRequest) (*peerpb.BeatReply, error)

func (f beatFunc) Beat(ctx context.Context, req *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	return f(ctx, req)
}

// echoBeat replies with the version of the request.
var echoBeat = beatFunc(func(_ context.Context, req *peerpb.BeatRequest) (*peerpb.BeatReply, error) {
	return &peerpb.BeatReply{Version: req.Version}, nil
})

// forwardFunc is a function that implements Forwarder.
type forwardFunc func(ctx context.Context, s ForwardStream) error

func (f forwardFunc) Forward(ctx context.Context, s ForwardStream) error { return f(ctx, s) }
