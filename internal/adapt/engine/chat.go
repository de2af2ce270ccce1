package engine

import (
	"context"
	"io"
	"mime"
	"net/http"
	"net/netip"
	"strconv"
	"time"
)

// Default timeouts of a Call. An engine under full load sends the first token
// within seconds and then takes tens of milliseconds per token.
const (
	DefaultFirstTimeout = 15 * time.Second
	DefaultEventTimeout = 5 * time.Second
)

// maxErrorBody bounds how much of the body of an error response is kept, in bytes.
const maxErrorBody = 4 << 10

// Call is one chat request to one engine.
type Call struct {
	Addr netip.AddrPort
	// ID identifies the attempt. It must differ between the attempts of one
	// request, since otherwise cancelling the first could end the second.
	ID string
	// Body is the JSON request, which must request a stream.
	Body []byte
	// Priority is passed to the engine, which serves higher values first.
	Priority int
	// Resume is the number of generated tokens that the caller already has; the
	// stream continues after them.
	Resume int64
	// Trace is the W3C traceparent of the hop, or empty.
	Trace string
	// FirstTimeout bounds the time from the start of the call to the first event;
	// EventTimeout bounds the time from one event to the next. 0 means
	// DefaultFirstTimeout and DefaultEventTimeout.
	FirstTimeout, EventTimeout time.Duration
}

// Chat sends a request and returns its stream when the response header has been
// read. The stream must be closed. It fails when ctx ends. The error is an *Error.
func (c *Client) Chat(ctx context.Context, call Call) (*Stream, error) {
	if err := c.pools.Begin(); err != nil {
		return nil, &Error{Addr: call.Addr, Kind: KindInvalid, Err: err}
	}
	s, err := c.chat(ctx, call)
	if err != nil {
		c.pools.End()
		return nil, err
	}
	return s, nil
}

func (c *Client) chat(ctx context.Context, call Call) (*Stream, error) {
	firstTimeout, eventTimeout := call.FirstTimeout, call.EventTimeout
	if firstTimeout <= 0 {
		firstTimeout = DefaultFirstTimeout
	}
	if eventTimeout <= 0 {
		eventTimeout = DefaultEventTimeout
	}
	p := NewProgress(ctx, firstTimeout)
	traced, sent := TraceSend(p.ctx, nil)
	req, err := NewRequest(traced, http.MethodPost, call.Addr, "/v1/chat/completions", call.ID, call.Trace, call.Body, false)
	if err != nil {
		p.Stop()
		return nil, &Error{Addr: call.Addr, Kind: KindInvalid, Err: err}
	}
	req.Header.Set("Accept", "text/event-stream")
	if call.Priority != 0 {
		req.Header.Set("X-Priority", strconv.Itoa(call.Priority))
	}
	if call.Resume > 0 {
		req.Header.Set("X-Resume", strconv.FormatInt(call.Resume, 10))
	}
	resp, err := c.pools.Get(call.Addr).RoundTrip(req)
	if err != nil {
		defer p.Stop()
		return nil, c.sendError(p.ctx, call.Addr, sent, err)
	}
	if err := checkResponse(resp, call.Addr, call.ID); err != nil {
		if err.Kind == KindMismatch {
			sent.CloseConn()
		}
		resp.Body.Close()
		p.Stop()
		return nil, err
	}
	return &Stream{
		client: c, addr: call.Addr, body: resp.Body, sent: sent, progress: p,
		eventTimeout: eventTimeout, events: newEvents(resp.Body),
	}, nil
}

// sendError is SendError for calls on pooled connections. After a stall it closes
// the idle connections to addr.
func (c *Client) sendError(ctx context.Context, addr netip.AddrPort, sent *SendTrace, err error) *Error {
	e := SendError(ctx, addr, sent, err)
	if e.Kind == KindStalled {
		c.pools.CloseIdle(addr)
	}
	return e
}

// SendError returns the error of a call without a response. ctx is the
// context of the call.
func SendError(ctx context.Context, addr netip.AddrPort, sent *SendTrace, err error) *Error {
	e := &Error{Addr: addr, Stage: sent.Stage(), Kind: KindBroken, Err: err}
	if e.Stage == StageUnwritten {
		e.Kind = KindConnect
	}
	if checked := sent.CheckErr(); checked != nil {
		e.Kind, e.Err = KindInvalid, checked
		return e
	}
	e.Kind = contextKind(ctx, e.Kind)
	if e.Kind == KindStalled || e.Kind == KindCancelled {
		e.Err = context.Cause(ctx)
	}
	return e
}

// CheckResponseID returns an error unless the response has the request id that was
// sent.
func CheckResponseID(resp *http.Response, addr netip.AddrPort, id string) *Error {
	if resp.Header.Get("X-Request-Id") == id {
		return nil
	}
	// The response belongs to another request, so it is unknown whether this one
	// ran.
	return &Error{Addr: addr, Stage: StageWritten, Kind: KindMismatch}
}

// checkResponse checks the header of a response to a chat request.
func checkResponse(resp *http.Response, addr netip.AddrPort, id string) *Error {
	if err := CheckResponseID(resp, addr, id); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return StatusError(resp, addr)
	}
	if t, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type")); err != nil || t != "text/event-stream" {
		return &Error{Addr: addr, Stage: StageAnswered, Kind: KindFormat, Status: resp.StatusCode}
	}
	return nil
}

// StatusError returns the error of a response with a status that reports a
// failure. It reads the start of the body, which the context of the call bounds in
// time.
func StatusError(resp *http.Response, addr netip.AddrPort) *Error {
	e := &Error{Addr: addr, Stage: StageAnswered, Kind: KindStatus, Status: resp.StatusCode, RetryAfter: RetryAfter(resp)}
	if Refused(resp) {
		e.Stage = StageRefused
	}
	e.Body, _ = io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	return e
}
