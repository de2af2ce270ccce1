package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/trace"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/daemon/pause"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// maxForwardBody bounds the body of a forwarded request, in bytes. The entry host has
// already enforced the limit in its settings.
const maxForwardBody = 64 << 20

// ServeForwarded serves a request that another host forwarded. It returns when the
// response was sent. The error is one of the stream; a rejection is sent as the response.
func (s *Server) ServeForwarded(ctx context.Context, stream Messages) error {
	start, body, err := receiveCall(stream)
	if err != nil {
		return fmt.Errorf("forwarded request: %w", err)
	}
	ctx, tr := WithTrail(trace.Parent(ctx, start.Trace))
	ctx, span := s.o.Tracer.Start(ctx, "accept")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, time.Duration(start.Deadline))
	defer cancel()
	tr.add("host " + s.o.Self.String())
	out := &streamSink{stream: stream, id: start.Id, trail: tr}
	stop := out.keepAlive()
	c, rej := s.checkForwarded(start, body)
	if rej == nil && start.Ticket != "" {
		rej = s.runOnce(ctx, c, out, &usage{})
	} else if rej == nil {
		rej = s.run(ctx, c, out, &usage{})
	}
	stop()
	return out.finish(rej)
}

// receiveCall receives a forwarded request and its body.
func receiveCall(stream Messages) (*peerpb.ForwardStart, []byte, error) {
	first, err := stream.Recv()
	if err != nil {
		return nil, nil, fmt.Errorf("receive start: %w", err)
	}
	if first.Start == nil || first.Start.Id == "" {
		return nil, nil, errors.New("first message has no start")
	}
	var body []byte
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			return nil, nil, fmt.Errorf("receive body: %w", err)
		}
		if len(body)+len(m.Data) > maxForwardBody {
			return nil, nil, fmt.Errorf("body is larger than %d bytes", maxForwardBody)
		}
		body = append(body, m.Data...)
		if m.End {
			return first.Start, body, nil
		}
	}
}

// checkForwarded returns the call of a forwarded request. It does not trust the sender:
// the hop limit, key, route and residency are checked by this host's configuration.
func (s *Server) checkForwarded(start *peerpb.ForwardStart, body []byte) (*Call, *model.Rejection) {
	hops, err := parseHops(start.Hops)
	if err != nil {
		return nil, model.Reject(model.ReasonBadRequest, "%v", err)
	}
	if len(hops) >= maxHops || slices.Contains(hops, s.o.Self) {
		return nil, model.Reject(model.ReasonBadRequest, "the request has already visited %d hosts", len(hops))
	}
	snap := s.o.Config.Current()
	def := snap.Route(start.Route)
	if def == nil {
		return nil, model.Reject(model.ReasonRouteUnknown, "no route %q", start.Route)
	}
	c := &Call{
		ID: start.Id, Route: def, Arrived: time.Now(), Hops: append(hops, s.o.Self),
		Deadline: time.Now().Add(time.Duration(start.Deadline)),
		Method:   start.Method, Path: def.Path, RawQuery: start.Path, Body: body, IdempotencyKey: start.Ticket, ContentType: jsonType,
	}
	if rej := s.checkKey(snap, start, c); rej != nil {
		return nil, rej
	}
	c.Regions = slices.DeleteFunc(snap.AllowedRegions(c.Org, def), func(region string) bool {
		return !slices.Contains(start.Regions, region)
	})
	if region := s.o.Targets.Region(); !c.allows(region) {
		return nil, model.Reject(model.ReasonRegionDenied, "region %q is not allowed for this request", region)
	}
	if def.Kind == model.KindChat {
		if c.Chat, err = ParseChat(body); err != nil {
			return nil, model.Reject(model.ReasonBadRequest, "%v", err)
		}
		c.Chat.IncludeUsage = true // the entry host needs it for the settlement
	}
	return c, nil
}

// checkKey sets the organisation of the call from the hash of the caller's key. The
// organisation's name in the message must be the same.
func (s *Server) checkKey(snap *model.Snapshot, start *peerpb.ForwardStart, c *Call) *model.Rejection {
	if start.Keyed == "" {
		if !c.Route.Open {
			return model.Reject(model.ReasonKeyMissing, "route %q needs a key", c.Route.Name)
		}
		return nil
	}
	if err := c.Key.UnmarshalText([]byte(start.Keyed)); err != nil {
		return model.Reject(model.ReasonBadRequest, "%v", err)
	}
	c.HasKey, c.Org = true, snap.KeyOrg(c.Key)
	if c.Org == nil || c.Org.Name != start.Org {
		return model.Reject(model.ReasonKeyUnknown, "the key is unknown or was revoked")
	}
	if !snap.Permits(c.Org, c.Route) {
		return model.Reject(model.ReasonRouteDenied, "organisation %q may not use route %q", c.Org.Name, c.Route.Name)
	}
	return nil
}

// parseHops parses the addresses of the hosts that have handled a request.
func parseHops(texts []string) ([]netip.AddrPort, error) {
	hops := make([]netip.AddrPort, 0, len(texts)+1)
	for _, text := range texts {
		hop, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, fmt.Errorf("hop %q: %w", text, err)
		}
		hops = append(hops, hop)
	}
	if len(hops) == 0 {
		return nil, errors.New("the request names no hop")
	}
	return hops, nil
}

// streamSink sends a response to the host that forwarded the request.
type streamSink struct {
	stream Messages
	id     string
	trail  *Trail
	sent   bool

	mu sync.Mutex // held while sending
}

// send sends a message. It is safe for concurrent use.
func (s *streamSink) send(m *peerpb.ForwardMsg) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stream.Send(m)
}

// keepAlive sends an empty message every keepAliveInterval, so that the other host can
// distinguish a queued or running request from a stalled connection. The returned
// function stops that and waits for a send in progress.
func (s *streamSink) keepAlive() (stop func()) {
	return pause.Repeat(keepAliveInterval, func() bool {
		// After an error the next part of the response fails with the same error.
		return s.send(&peerpb.ForwardMsg{Id: s.id}) == nil
	})
}

// Head implements Sink.
func (s *streamSink) Head(status int, header http.Header) error {
	head := &peerpb.ForwardHead{Status: int32(status), Trail: s.trail.Steps}
	for name, values := range header {
		for _, value := range values {
			head.Headers = append(head.Headers, &peerpb.Header{Name: name, Value: value})
		}
	}
	s.sent = true
	if err := s.send(&peerpb.ForwardMsg{Id: s.id, Head: head}); err != nil {
		return fmt.Errorf("send head: %w", err)
	}
	return nil
}

// Data implements Sink.
func (s *streamSink) Data(p []byte) error {
	if err := s.send(&peerpb.ForwardMsg{Id: s.id, Data: p}); err != nil {
		return fmt.Errorf("send data: %w", err)
	}
	return nil
}

// finish ends the response with the end message or with the rejection.
func (s *streamSink) finish(rej *model.Rejection) error {
	m := &peerpb.ForwardMsg{Id: s.id}
	switch {
	case rej == nil:
		m.End = true
	case s.sent:
		m.Fault = rej.Error()
	default:
		m.Head = &peerpb.ForwardHead{
			Status: int32(rej.Status()), Reason: string(rej.Reason), Run: string(rej.Run),
			Retry: int64(rej.RetryAfter), Text: rej.Text, Trail: s.trail.Steps,
		}
	}
	if err := s.send(m); err != nil {
		return fmt.Errorf("send end: %w", err)
	}
	return nil
}
