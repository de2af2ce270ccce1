package send

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/local"
)

// Ends of a connection by a faulty server.
func reset(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }
func half(c *net.TCPConn)  { _ = c.CloseWrite() }
func whole(c *net.TCPConn) { half(c); _, _ = io.Copy(io.Discard, c) }
func both(c *net.TCPConn)  { half(c); reset(c) }

// answerOnce starts a server that reads the header of a request, sends text and ends its connection. The
// channel is closed once it has.
func answerOnce(t *testing.T, text string, end func(*net.TCPConn)) (*Request, <-chan struct{}) {
	t.Helper()
	addr := local.Addr(t)
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	ended, release := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(release); _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }() // may be closed already
		if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err != nil {
			return
		}
		_, _ = io.WriteString(c, text) // the client may have left
		end(c.(*net.TCPConn))
		close(ended)
		<-release
	}()
	return newRequest(addr), ended
}

// TestFaultyResponse guards against a partial response, or one with an invalid status, that is taken for
// complete: while its request is still being written, by a clean end that a reset follows or that a write
// has made of it, by statuses that are none, and by contradictory framing.
func TestFaultyResponse(t *testing.T) {
	const id, part = idHeader + ": 1\r\n", "some of the body"
	const ok, bare = "HTTP/1.1 200 OK\r\n" + id, "HTTP/1.1 200 OK\r\n" + id + "\r\n" + part
	const next = "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok"
	const large = 3500 << 10
	for name, c := range map[string]struct {
		text     string
		end      func(*net.TCPConn)
		upload   int
		complete bool
	}{
		"reset, large upload":               {bare, reset, large, false},
		"reset, small upload":               {bare, reset, 8 << 10, false},
		"end, large upload":                 {bare, half, large, false},
		"end and reset, large upload":       {bare, both, large, false},
		"end and reset, upload of 64 KiB":   {bare, both, 64 << 10, false},
		"end and reset, small upload":       {bare, both, 8 << 10, false},
		"end and reset, no upload":          {bare, both, 0, false},
		"end after the upload":              {bare, whole, 0, true},
		"HTTP/1.0, end, large upload":       {strings.Replace(bare, "1.1", "1.0", 1), half, large, false},
		"failure, end, large upload":        {strings.Replace(bare, "200", "500", 1), half, large, false},
		"reset before the header":           {"", reset, large, false},
		"reset in the status line":          {"HTTP/1.1 20", reset, large, false},
		"end in the header":                 {ok, half, large, false},
		"reset after the header":            {ok + "\r\n", reset, large, false},
		"end after the header":              {ok + "\r\n", half, large, false},
		"interim, reset":                    {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\n" + bare, reset, large, false},
		"interim only":                      {"HTTP/1.1 102 X\r\n\r\n", half, large, false},
		"interim, complete":                 {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\n" + next, half, large, true},
		"complete, large upload":            {next, reset, large, true}, // as its length shows
		"shorter than its length":           {ok + "Content-Length: 20\r\n\r\n" + part, half, large, false},
		"shorter than its length, closing":  {ok + "Connection: close\r\nContent-Length: 20\r\n\r\n" + part, half, 0, false},
		"two lengths":                       {ok + "Content-Length: 2\r\nContent-Length: 5\r\n\r\n" + part, half, 0, false},
		"a list of lengths":                 {ok + "Content-Length: 2, 5\r\n\r\n" + part, half, 0, false},
		"no length in Content-Length":       {ok + "Content-Length: \r\n\r\n" + part, half, 0, false},
		"no last chunk":                     {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n", half, 0, false},
		"no end of the last chunk":          {ok + "Transfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n0\r\n", half, 0, false},
		"no last chunk, length":             {ok + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n4\r\nsome\r\n", half, 0, false},
		"chunks and other encoding":         {ok + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nsome\r\n0\r\n\r\n", half, 0, false},
		"chunks in HTTP/1.0":                {"HTTP/1.0 200 OK\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n4\r\nsome\r\n", half, 0, false},
		"chunks and length in HTTP/1.0":     {"HTTP/1.0 200 OK\r\n" + id + "transfer-encoding : chunked\r\nContent-Length: 4\r\n\r\n4\r\nsome\r\n", half, 0, false},
		"chunks in HTTP/1.0, other case":    {"HTTP/1.0 200 OK\r\n" + id + "TRANSFER-encoding:chunked\r\n\r\n4\r\nsome\r\n", half, 0, false},
		"HEAD, chunks":                      {ok + "Transfer-Encoding: chunked\r\n\r\n", reset, 0, true},
		"HEAD, neither length nor chunks":   {ok + "\r\n", reset, 0, true},
		"204, chunks":                       {"HTTP/1.1 204 X\r\n" + id + "Transfer-Encoding: chunked\r\n\r\n", half, 0, true},
		"304, large upload":                 {"HTTP/1.1 304 X\r\n" + id + "\r\n", reset, large, true},
		"space before the colon":            {ok + "Transfer-Encoding : chunked\r\nContent-Length: 4\r\n\r\n4\r\nsome\r\n", half, 0, false},
		"status 000":                        {"HTTP/1.1 000 X\r\n" + id + "Content-Length: 2\r\n\r\nok", half, 0, false},
		"status 000, then 200":              {"HTTP/1.1 000 X\r\n\r\n" + next, half, 0, false},
		"status 099, then 200":              {"HTTP/1.1 099 X\r\n\r\n" + next, half, 0, false},
		"status +99, then 200":              {"HTTP/1.1 +99 X\r\n\r\n" + next, half, 0, false},
		"status 101, then 200":              {"HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n" + next, half, 0, false},
		"status 1000":                       {"HTTP/1.1 1000 X\r\n" + id + "Content-Length: 2\r\n\r\nok", half, 0, false},
		"status 600":                        {"HTTP/1.1 600 X\r\n" + id + "Content-Length: 2\r\n\r\nok", half, 0, false},
		"status 999, large upload":          {"HTTP/1.1 999 X\r\n" + id + "Content-Length: 2\r\n\r\nok", half, large, false},
		"no status":                         {"HTTP/1.1  \r\n" + id + "Content-Length: 2\r\n\r\nok", half, 0, false},
		"invalid status to another request": {"HTTP/1.1 700 X\r\n" + idHeader + ": 2\r\nContent-Length: 2\r\n\r\nok" + next, half, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			req, ended := answerOnce(t, c.text, c.end)
			if c.upload > 0 {
				req.Method, req.HasBody, req.Body = http.MethodPost, true, make([]byte, c.upload)
			}
			if strings.HasPrefix(name, "HEAD") {
				req.Method = http.MethodHead
			}
			client := NewClient(DefaultDial)
			resp, err := client.Do(context.Background(), req)
			body := []byte(nil)
			if err == nil {
				if !c.complete {
					<-ended
				}
				// A write that fails takes the error from the connection: the end of the response looks clean then.
				for i := 0; resp.writeErr != nil && len(resp.writeErr) == 0 && i < 20; i++ {
					time.Sleep(5 * time.Millisecond)
				}
				body, err = io.ReadAll(resp)
				_ = resp.Close()
			}
			if (err == nil) != c.complete {
				t.Errorf("%q, error %v, want complete %v", body, err, c.complete)
			}
			if resp != nil && !c.complete && client.HasIdle(req.Addr) {
				t.Error("the connection is used again")
			}
		})
	}
}
