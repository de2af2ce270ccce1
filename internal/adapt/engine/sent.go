package engine

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// SendTrace records how much of a request was sent.
type SendTrace struct {
	check func() error

	mu    sync.Mutex
	conn  net.Conn
	stage Stage
	err   error
}

// TraceSend returns a context for one request and the SendTrace that records it.
// check may be nil; otherwise it is called when the connection is open and nothing
// has been written, and if it returns an error, nothing is written.
func TraceSend(ctx context.Context, check func() error) (context.Context, *SendTrace) {
	s := &SendTrace{check: check}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:      s.onConn,
		WroteHeaders: s.onHeaders,
	}), s
}

// onConn is called before the transport writes. From then on the request counts as
// written, since the transport does not report a partial write.
func (s *SendTrace) onConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conn = info.Conn
	if s.check != nil {
		if s.err = s.check(); s.err != nil {
			info.Conn.Close()
			return
		}
	}
	s.stage = StageWritten
}

func (s *SendTrace) onHeaders() {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The transport also reports headers that it wrote only to its buffer. If
	// check failed, the connection is closed and they are not sent.
	if s.err == nil {
		s.stage = StageWritten
	}
}

// Stage returns StageUnwritten or StageWritten.
func (s *SendTrace) Stage() Stage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stage
}

// CheckErr returns the error that check returned.
func (s *SendTrace) CheckErr() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// CloseConn closes the connection of the request, so that it is not reused even if
// the transport has already returned it to its pool.
func (s *SendTrace) CloseConn() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conn != nil {
		s.conn.Close()
	}
}
