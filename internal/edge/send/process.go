package send

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/yuccalb/yuccalb/internal/edge/clock"
)

// Errors of requests that were not sent because of Request.Process.
var (
	// ErrOtherProcess means that another process has taken the server's place.
	ErrOtherProcess = errors.New("another process of the server")
	// ErrUnknownProcess means that the server did not state which process it is.
	ErrUnknownProcess = errors.New("process of the server unknown")
)

const (
	// stateTimeout bounds the question which process a connection leads to, and maxState
	// the response in bytes.
	stateTimeout = 400 * time.Millisecond
	maxState     = 64 << 10
	// unknownPause is how long a server is not asked on a new connection after it did not
	// answer on one, or closed it with its answer, as a leaving one does.
	unknownPause = time.Second
)

// Process is the process of a server that a request is for. A connection leads to the same
// process for as long as it lasts.
type Process struct {
	// Born is when the process started, in Unix milliseconds, 0 if that is unknown.
	Born int64
	// Until is the time on the clock of package clock up to which connections that were
	// opened lead to this process. On others the server is asked first, once.
	Until time.Duration
	// Target is the path at which a server states when it started, and Parse reads its response.
	Target string
	Parse  func(body []byte) (int64, error)
}

// identity is what is known of the process to which a connection leads.
type identity struct {
	// asked is set once the server was asked, and born is what it stated, 0 for nothing.
	asked bool
	born  int64
}

// known reports whether a connection is known to lead to the process, without asking.
func (p *Process) known(cn *conn) bool {
	return p == nil || cn.openedAt <= p.Until || cn.process.asked && cn.process.born != 0 && cn.process.born == p.Born
}

// identify returns an error unless the connection leads to the process that the request is for. It
// asks the server if need be.
func (cn *conn) identify(ctx context.Context, req *Request) (asked bool, err error) {
	p := req.Process
	if p.known(cn) {
		return false, nil
	}
	if !cn.process.asked {
		asked = true
		if err := cn.ask(ctx, req); err != nil {
			return asked, fmt.Errorf("%w: %w", ErrUnknownProcess, err)
		}
	}
	switch {
	case cn.process.born == 0 || p.Born == 0:
		return asked, ErrUnknownProcess
	case cn.process.born != p.Born:
		return asked, fmt.Errorf("%w: started at %d, not %d", ErrOtherProcess, cn.process.born, p.Born)
	}
	return asked, nil
}

// ask asks the server when it started. After an error the connection can't be used.
func (cn *conn) ask(ctx context.Context, req *Request) error {
	defer context.AfterFunc(ctx, func() { _ = cn.Close() })()
	deadline := time.Now().Add(stateTimeout)
	if req.Deadline.Before(deadline) {
		deadline = req.Deadline
	}
	if err := cn.SetDeadline(deadline); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	question, err := encode(&Request{Method: http.MethodGet, Target: req.Process.Target, Host: req.Addr.String(), Header: http.Header{}})
	if err != nil {
		return err
	}
	if _, err := question.WriteTo(cn.Conn); err != nil {
		return fmt.Errorf("ask: %w", err)
	}
	resp, err := cn.readHead(&http.Request{Method: http.MethodGet})
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	defer cn.head.release()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxState))
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	if resp.Close || framing(http.MethodGet, resp) == FramingClose || len(body) == maxState || cn.br.Buffered() > 0 {
		return errors.New("the connection ends with the answer")
	}
	cn.process.asked = true
	cn.parseKeepAlive(resp.Header)
	if resp.StatusCode != http.StatusOK {
		return nil // it does not say
	}
	if born, err := req.Process.Parse(body); err == nil {
		cn.process.born = born
	}
	return nil
}

// pause keeps a server from being asked again on new connections, after one that was new.
func (c *Client) pause(cn *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !cn.reused {
		c.unknown[cn.addr] = time.Now().Add(unknownPause)
	}
}

// paused reports whether the server would have to be asked on a new connection and is not.
func (c *Client) paused(req *Request) bool {
	if req.Process == nil || clock.Now() <= req.Process.Until {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.unknown[req.Addr])
}
