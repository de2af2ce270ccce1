package serve

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/engine"
	"github.com/yuccalb/yuccalb/internal/adapt/trace"
	"github.com/yuccalb/yuccalb/internal/core/member"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/retry"
	"github.com/yuccalb/yuccalb/internal/core/route"
	"github.com/yuccalb/yuccalb/internal/wire/peerpb"
)

// Remote opens streams to other hosts. If once is set, the call must not run twice, and
// the stream uses a new connection.
type Remote interface {
	Forward(ctx context.Context, to netip.AddrPort, once bool) (Stream, error)
}

// Messages is the receiving end of a forwarded request. Recv returns io.EOF
// after the last message.
type Messages interface {
	Send(m *peerpb.ForwardMsg) error
	Recv() (*peerpb.ForwardMsg, error)
}

// Stream is the sending end of a forwarded request.
type Stream interface {
	Messages
	Close() error
	// CloseStalled closes the stream and all idle connections to its host. It is called
	// after a Send or Recv has made no progress for too long, and makes it fail.
	CloseStalled()
}

const (
	// maxForwardChunk bounds the body bytes in one message.
	maxForwardChunk = 64 << 10
	// keepAliveInterval is the time between the empty messages that the receiving
	// host sends.
	keepAliveInterval = time.Second
	// stallTimeout is how long a Send or Recv may take before the connection is
	// considered stalled. It covers several missed keep-alive messages and the
	// transfer of a 4 MiB body at the default bandwidth limit of a wide-area link.
	stallTimeout = 5 * time.Second
)

// stallGuard is a Stream that is closed when a Send or Recv stalls. The timer runs only
// during these calls, because the caller may read slowly.
type stallGuard struct {
	Stream
	timer *time.Timer
}

// guardStalls returns s with a timeout of stallTimeout for each Send and Recv.
func guardStalls(s Stream) *stallGuard {
	w := &stallGuard{Stream: s, timer: time.AfterFunc(stallTimeout, s.CloseStalled)}
	w.timer.Stop()
	return w
}

// Send implements Messages.
func (w *stallGuard) Send(m *peerpb.ForwardMsg) error {
	w.timer.Reset(stallTimeout)
	return w.stop(w.Stream.Send(m))
}

// Recv implements Messages. It skips keep-alive messages.
func (w *stallGuard) Recv() (*peerpb.ForwardMsg, error) {
	for {
		w.timer.Reset(stallTimeout)
		m, err := w.Stream.Recv()
		if err = w.stop(err); err != nil {
			return nil, err
		}
		if m.Head != nil || len(m.Data) > 0 || m.End || m.Fault != "" {
			return m, nil
		}
	}
}

// stop stops the timer after a call and returns the call's error, or a stall error if
// the timer has fired.
func (w *stallGuard) stop(err error) error {
	if !w.timer.Stop() {
		return fmt.Errorf("connection stalled, no message for %s: %w", stallTimeout, errors.Join(err, context.DeadlineExceeded))
	}
	return err
}

// remote forwards the call to a host of another data centre.
func (r *runner) remote(ctx context.Context, req *route.Request, choice route.SiteChoice) *failure {
	to, ok := r.s.pickHost(choice.Site)
	if !ok {
		r.svc.Router.Sites.Done(choice, 0, true, time.Now())
		req.ExcludeSites = append(req.ExcludeSites, choice.Site)
		return notRun(model.Reject(model.ReasonNoServer, "no live host is known in data centre %q", choice.Site).WithRetryAfter(time.Second))
	}
	n, f := r.forward(ctx, to, "")
	r.svc.Router.Sites.Done(choice, n, f != nil && f.unreachable, time.Now())
	r.s.o.Meter.CountForward(choice.Site, n)
	if f != nil {
		req.ExcludeSites = append(req.ExcludeSites, choice.Site)
	}
	return f
}

// pickHost returns a random healthy host of another data centre.
func (s *Server) pickHost(site string) (to netip.AddrPort, ok bool) {
	st, found := s.o.Fleet.View().Site(site)
	if !found {
		return to, false
	}
	var candidates []netip.AddrPort
	for _, h := range st.Members {
		if h.State == member.StateLive {
			candidates = append(candidates, h.Addr)
		}
	}
	if len(candidates) == 0 {
		return to, false
	}
	s.random(func(rng *rand.Rand) { to = candidates[rng.IntN(len(candidates))] })
	return to, true
}

// forward sends the call to another host and passes its response to the sink. It returns
// the number of body bytes sent and received.
func (r *runner) forward(ctx context.Context, to netip.AddrPort, ticket string) (int, *failure) {
	r.attemptCount++
	ctx, span := r.s.o.Tracer.Start(ctx, "forward "+to.String())
	defer span.End()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	raw, err := r.s.o.Remote.Forward(ctx, to, r.c.Route.Once)
	if err != nil {
		return 0, &failure{unreachable: true, outcome: retry.NotWritten, rej: model.Reject(model.ReasonNoServer, "forward to %s: %v", to, err).WithRetryAfter(time.Second)}
	}
	defer raw.Close()
	stream := guardStalls(raw)
	if f := r.checkDispatch(); f != nil {
		return 0, f
	}
	sent, err := r.sendCall(ctx, stream, ticket)
	if err != nil {
		return sent, noResponse(to, err)
	}
	received, f := r.receive(to, stream)
	return sent + received, f
}

// noResponse returns the failure of a forward after which the other host may have run
// the call.
func noResponse(to netip.AddrPort, err error) *failure {
	return &failure{unreachable: true, outcome: retry.NoResponse, rej: &model.Rejection{
		Reason: model.ReasonUnknown, Run: model.RunUnknown, Text: fmt.Sprintf("forwarded to %s: %v", to, err),
	}}
}

// sendCall sends the call and its body, and returns the length of the body.
func (r *runner) sendCall(ctx context.Context, stream Stream, ticket string) (int, error) {
	c := r.c
	body := c.Body
	if c.Chat != nil {
		var err error
		if body, err = c.Chat.encode(c.Chat.Model); err != nil {
			return 0, fmt.Errorf("forwarded body: %w", err)
		}
	}
	start := &peerpb.ForwardStart{
		Id: r.attemptID(), Org: c.orgName(), Route: c.Route.Name, Version: r.s.o.Config.Current().Version,
		Regions: c.Regions, Deadline: int64(time.Until(c.Deadline)), Method: c.Method, Path: c.RawQuery,
		Ticket: ticket, Trace: trace.Header(ctx), Headers: []*peerpb.Header{{Name: "Content-Type", Value: c.ContentType}},
	}
	if c.HasKey {
		start.Keyed = c.Key.String()
	}
	for _, hop := range c.Hops {
		start.Hops = append(start.Hops, hop.String())
	}
	if err := stream.Send(&peerpb.ForwardMsg{Id: start.Id, Start: start}); err != nil {
		return 0, fmt.Errorf("send start: %w", err)
	}
	for part := range chunks(body, maxForwardChunk) {
		if err := stream.Send(&peerpb.ForwardMsg{Id: start.Id, Data: part}); err != nil {
			return len(body), fmt.Errorf("send body: %w", err)
		}
	}
	if err := stream.Send(&peerpb.ForwardMsg{Id: start.Id, End: true}); err != nil {
		return len(body), fmt.Errorf("send end: %w", err)
	}
	return len(body), nil
}

// chunks yields body in parts of at most n bytes.
func chunks(body []byte, n int) func(yield func([]byte) bool) {
	return func(yield func([]byte) bool) {
		for len(body) > 0 {
			part := body[:min(n, len(body))]
			if !yield(part) {
				return
			}
			body = body[len(part):]
		}
	}
}

// receive passes the response of the other host to the sink. It returns the number of
// body bytes received.
func (r *runner) receive(to netip.AddrPort, stream Stream) (int, *failure) {
	var (
		n    int
		head *peerpb.ForwardHead
		body bytes.Buffer
	)
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			err = errors.New("the stream ended before the response was complete")
		}
		if err == nil && m.Id != r.attemptID() {
			err = fmt.Errorf("message of request %q", m.Id)
		}
		if err == nil && m.Fault != "" {
			err = errors.New(m.Fault)
		}
		if err != nil {
			return n, r.incompleteForward(to, err)
		}
		n += len(m.Data)
		if m.Head != nil {
			head = m.Head
			r.trail.add(head.Trail...)
			if head.Reason != "" {
				return n, forwardRejection(head)
			}
		}
		if head == nil {
			return n, r.incompleteForward(to, errors.New("response without a head"))
		}
		if len(m.Data) > 0 {
			if err := r.remoteData(m.Data, &body); err != nil {
				return n, r.sinkFailure(err)
			}
		}
		if m.End {
			if err := r.remoteEnd(head, body.Bytes()); err != nil {
				return n, r.sinkFailure(err)
			}
			return n, nil
		}
	}
}

// incompleteForward returns the failure of a forward whose response is missing or
// incomplete.
func (r *runner) incompleteForward(to netip.AddrPort, err error) *failure {
	f := noResponse(to, err)
	if r.delivered {
		f.outcome = retry.Started
	}
	return f
}

// sinkFailure returns the failure after an error of the sink: the caller has disconnected
// or an event can't be decoded.
func (r *runner) sinkFailure(err error) *failure {
	return &failure{outcome: retry.Started, rej: &model.Rejection{Reason: model.ReasonTruncated, Run: model.RunUnknown, Text: err.Error()}}
}

// forwardRejection converts a rejection by the other host.
func forwardRejection(head *peerpb.ForwardHead) *failure {
	rej := &model.Rejection{
		Reason: model.Reason(head.Reason), Run: model.Run(head.Run),
		RetryAfter: time.Duration(head.Retry), Text: head.Text,
	}
	f := &failure{outcome: retry.NoResponse, rej: rej}
	if rej.Run == model.RunNo { // nothing was written to a backend server
		f.outcome = retry.NotWritten
	}
	return f
}

// remoteData handles a part of the response: an event of a chat is passed on, and a part
// of a plain response is added to body until the response is complete.
func (r *runner) remoteData(data []byte, body *bytes.Buffer) error {
	if r.c.Chat == nil {
		body.Write(data)
		return nil
	}
	return r.handleEvent(r.chatSink(), parseEvent(data))
}

// remoteEnd completes a forwarded response.
func (r *runner) remoteEnd(head *peerpb.ForwardHead, body []byte) error {
	if r.c.Chat != nil {
		return r.chatSink().end()
	}
	*r.use = usage{prompt: max(1, tokens(len(r.c.Body))), response: tokens(len(body)), counted: true}
	return r.sendResponse(int(head.Status), contentType(head), body)
}

// contentType returns the content type of a forwarded response.
func contentType(head *peerpb.ForwardHead) string {
	for _, h := range head.Headers {
		if http.CanonicalHeaderKey(h.Name) == "Content-Type" {
			return h.Value
		}
	}
	return jsonType
}

// doneData is the data of the end marker of a chat stream.
var doneData = []byte("[DONE]")

// parseEvent extracts the data of a server-sent event.
func parseEvent(raw []byte) engine.Event {
	_, data, _ := bytes.Cut(raw, []byte("data:"))
	data = bytes.TrimSpace(data)
	return engine.Event{Raw: raw, Data: data, Done: bytes.Equal(data, doneData)}
}
