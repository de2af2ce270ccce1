package send

import (
	"context"
	"errors"
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/edge/clock"
)

// forProcess returns the request for a process, of which connections opened until a time are known.
func (r *Request) forProcess(born int64, until time.Duration) *Request {
	next := *r
	next.Process = &Process{Born: born, Until: until, Target: "/born", Parse: func(b []byte) (int64, error) { return strconv.ParseInt(string(b), 10, 64) }}
	return &next
}

// TestProcess guards against a request that reaches another process than the one it is for, and against
// servers that are asked more than once on a connection, or without need.
func TestProcess(t *testing.T) {
	for name, tt := range map[string]struct {
		status int
		text   string
		born   int64
		until  time.Duration
		want   error
		paths  []string
	}{
		"stated":              {200, "7", 7, 0, nil, []string{"/born", "/", "/"}},
		"another one":         {200, "8", 7, 0, ErrOtherProcess, []string{"/born"}},
		"not stated":          {200, "x", 7, 0, ErrUnknownProcess, []string{"/born"}},
		"no such path":        {404, "7", 7, 0, ErrUnknownProcess, []string{"/born"}},
		"not known which":     {200, "7", 0, 0, ErrUnknownProcess, []string{"/born"}},
		"no answer":           {0, "", 7, 0, ErrUnknownProcess, []string{"/born"}},
		"opened early enough": {200, "8", 7, clock.Now() + time.Hour, nil, []string{"/", "/"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seen := make(chan string, 10)
			req := statingServer(t, tt.status, tt.text, seen).forProcess(tt.born, tt.until)
			client := NewClient(DefaultDial)
			for range 2 {
				resp, err := client.Do(context.Background(), req)
				if !errors.Is(err, tt.want) {
					t.Errorf("%v, want %v", err, tt.want)
				}
				if err == nil {
					_, _ = io.Copy(io.Discard, resp)
					_ = resp.Close()
				}
			}
			for _, path := range tt.paths {
				if got := <-seen; got != path {
					t.Errorf("request for %s, want %s", got, path)
				}
			}
			if len(seen) > 0 {
				t.Errorf("another request for %s", <-seen)
			}
		})
	}
}

// TestProcessOfIdleConnection guards against a new connection, or a question, while an idle connection
// is known to lead to the process.
func TestProcessOfIdleConnection(t *testing.T) {
	seen := make(chan string, 10)
	req := statingServer(t, 200, "7", seen)
	client := NewClient(DefaultDial)
	for i, r := range []*Request{req, req.forProcess(7, clock.Now()+time.Hour), req.forProcess(7, 0), req.forProcess(8, 0), req.forProcess(7, 0)} {
		resp, err := client.Do(context.Background(), r)
		if want := map[int]error{3: ErrOtherProcess}[i]; !errors.Is(err, want) {
			t.Fatalf("request %d: %v, want %v", i, err, want)
		}
		if err == nil {
			_, _ = io.Copy(io.Discard, resp)
			_ = resp.Close()
		}
	}
	if n := client.Opened(); n != 1 || len(seen) != 5 {
		t.Errorf("%d connections, %d requests", n, len(seen))
	}
}
