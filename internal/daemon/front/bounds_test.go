package front

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/daemon/setup"
)

// listenFront runs a Front with small limits on a loopback address, which it returns.
func listenFront(t *testing.T) string {
	t.Helper()
	f, _, _ := newFront(t, okServer)
	f.limits = setup.Limits{Body: 64, Read: 100 * time.Millisecond, Conns: 4}
	f.http.ReadHeaderTimeout, f.http.MaxHeaderBytes = 100*time.Millisecond, 4<<10
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- f.Serve(ln) }()
	t.Cleanup(func() {
		if err := f.Close(t.Context()); err != nil {
			t.Log(err) // the test's context has already ended
		}
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return ln.Addr().String()
}

// TestBadCallers guards against callers that occupy a connection by sending slowly, against
// requests that exceed the limits, and against effects of both on other callers.
func TestBadCallers(t *testing.T) {
	const head = "POST /v1/call/stock HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\n"
	for name, tc := range map[string]struct {
		send   string
		status int // 0: the connection is closed without a response
	}{
		"header never ends":  {"POST /v1/call/stock HTTP/1.1\r\nHost: x\r\n", 0},
		"body never ends":    {head + "Content-Length: 10\r\n\r\n{", http.StatusBadRequest},
		"body over limit":    {head + "Content-Length: 100\r\n\r\n" + strings.Repeat("x", 100), http.StatusRequestEntityTooLarge},
		"chunked over limit": {head + "Transfer-Encoding: chunked\r\n\r\n64\r\n" + strings.Repeat("x", 100) + "\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
		"header over limit":  {head + "X-Pad: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			addr := listenFront(t)
			if got := exchange(t, addr, tc.send); got != tc.status {
				t.Errorf("status %d, want %d", got, tc.status)
			}
			if got := exchange(t, addr, head+"Content-Length: 2\r\n\r\n{}"); got != http.StatusOK {
				t.Errorf("another caller got status %d", got)
			}
		})
	}
}

// exchange sends text on a new connection and returns the status of the
// response, 0 when the server closed the connection.
func exchange(t *testing.T, addr, text string) int {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	if _, err := fmt.Fprint(conn, text); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
