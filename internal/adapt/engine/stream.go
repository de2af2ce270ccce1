package engine

import (
	"errors"
	"io"
	"net/netip"
	"sync"
	"time"
)

const (
	// drainTimeout bounds the wait for the end of the body after the end mark. The
	// two usually arrive together.
	drainTimeout = 100 * time.Millisecond
	// maxDrain bounds the bytes read after the end mark.
	maxDrain = 4 << 10
)

// Stream is the response to a chat request. Next must not be called concurrently;
// Close may be called from any goroutine.
type Stream struct {
	client       *Client
	addr         netip.AddrPort
	body         io.ReadCloser
	sent         *SendTrace
	progress     *Progress
	eventTimeout time.Duration
	events       *events
	count        int64 // events returned
	done         bool  // the end mark was returned
	err          error
	once         sync.Once
}

// Next returns the next event with data. Its bytes are valid until the next call of
// Next or Close. After the event with the end mark Next returns io.EOF; every other
// error is an *Error, which later calls return again. The time between two calls
// does not count towards Call.EventTimeout; Call.FirstTimeout runs from the start
// of Chat.
func (s *Stream) Next() (Event, error) {
	if s.err != nil {
		return Event{}, s.err
	}
	if s.done {
		return Event{}, io.EOF
	}
	if s.count > 0 {
		s.progress.timer.Reset(s.eventTimeout)
	}
	for {
		ev, err := s.events.next()
		if err != nil {
			s.err = s.fail(err)
			return Event{}, s.err
		}
		if len(ev.Data) == 0 {
			// A comment is only a keep-alive and does not count as progress.
			continue
		}
		s.progress.timer.Stop()
		s.count++
		s.done = ev.Done
		return ev, nil
	}
}

// fail returns the error of a stream that ended without the end mark.
func (s *Stream) fail(err error) *Error {
	s.progress.timer.Stop()
	e := &Error{Addr: s.addr, Stage: StageAnswered, Err: err}
	switch {
	case errors.Is(err, errEventSize):
		e.Kind = KindTooLarge
	default:
		e.Kind = contextKind(s.progress.ctx, KindTruncated)
	}
	if e.Kind == KindStalled {
		s.client.pools.CloseIdle(s.addr)
	}
	s.progress.cancel(nil)
	// A response without the end mark can be complete HTTP, in which case the
	// transport would reuse the connection.
	s.sent.CloseConn()
	return e
}

// Close ends the stream. After the end mark it waits up to 100 ms for the end of
// the response, so that the connection can be reused. Before the end mark it closes
// the connection, which makes the engine stop.
func (s *Stream) Close() error {
	s.once.Do(func() {
		if s.done {
			s.progress.timer.Reset(drainTimeout)
			io.CopyN(io.Discard, s.body, maxDrain)
		}
		s.progress.Stop()
		s.body.Close()
		s.client.pools.End()
	})
	return nil
}
