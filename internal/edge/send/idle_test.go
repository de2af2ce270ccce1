package send

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/local"
)

// statingServer serves requests, and at /born sends text: with length, or, if it is empty, nothing.
func statingServer(t *testing.T, status int, text string, seen chan<- string) *Request {
	t.Helper()
	addr := local.Addr(t)
	l, err := net.Listen("tcp4", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }() // the test has its answers
				for br := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					seen <- r.URL.Path
					switch {
					case r.URL.Path != "/born":
						_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", idHeader)
					case text != "":
						_, _ = fmt.Fprintf(c, "HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text)
					}
				}
			}()
		}
	}()
	return newRequest(addr)
}

// TestIdleConnectionPastDeadline guards against idle connections that are closed, and opened again, once
// the deadline of the last request on them has passed, or the time to read the body of a refusal.
func TestIdleConnectionPastDeadline(t *testing.T) {
	seen := make(chan string, 10)
	req := statingServer(t, 200, "7", seen)
	client := NewClient(DefaultDial)
	for range 3 {
		req.Deadline = time.Now().Add(200 * time.Millisecond)
		resp, err := client.Do(context.Background(), req)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp)
		resp.Discard(1, 20*time.Millisecond)
		_ = resp.Close()
		time.Sleep(250 * time.Millisecond)
	}
	if n := client.Opened(); n != 1 {
		t.Errorf("%d connections were opened", n)
	}
}
