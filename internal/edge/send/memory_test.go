package send

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/fake/heap"
	"github.com/yuccalb/yuccalb/internal/fake/local"
)

// TestUploadNotCopied guards against an upload that takes twice its memory while its server reads it.
func TestUploadNotCopied(t *testing.T) {
	const uploads, size = 8, 3500 << 10
	client, body := NewClient(DefaultDial), make([]byte, size)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range uploads {
		req, _ := answerOnce(t, "HTTP/1.1 200 OK\r\n"+idHeader+": 1\r\nContent-Length: 0\r\n\r\n", whole)
		req.Method, req.Body = http.MethodPost, body
		resp, err := client.Do(context.Background(), req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Close()
	}
	runtime.ReadMemStats(&after)
	if n := (after.TotalAlloc - before.TotalAlloc) / uploads; n > size/4 {
		t.Errorf("%d bytes allocated for an upload of %d", n, size)
	}
}

// TestUnsentBytes guards against megabytes that the kernel of a host holds, beside the body itself, for each
// peer that does not read, on connections that it opens and on those that it accepts.
func TestUnsentBytes(t *testing.T) {
	l, err := net.Listen("tcp4", local.Addr(t).String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	opened, err := NewDialer(DefaultDial).DialContext(context.Background(), "tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = opened.Close() }()
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = accepted.Close() }()
	if err := LimitUnsent(accepted); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]net.Conn{"opened": opened, "accepted": accepted} {
		_ = c.SetWriteDeadline(time.Now().Add(500 * time.Millisecond)) // the peer never reads
		n, err := c.Write(make([]byte, kernelBuffers))
		if err == nil || n > 1<<20 {
			t.Errorf("%s connection: %d bytes were taken, error %v", name, n, err)
		}
	}
}

// TestRefusedIdentifiers guards against a host that runs out of memory because its connections keep the identifiers of
// the requests that servers refused, which callers choose.
func TestRefusedIdentifiers(t *testing.T) {
	const conns, size, most = 32, 58 << 10, 8 << 20
	before := heap.InUse()
	var list []*conn
	for range conns {
		cn := newConn(nil, netip.AddrPort{}, nil)
		for i := range 2 * maxRefused {
			cn.addRefused(fmt.Sprint(i, strings.Repeat("x", size)))
		}
		list = append(list, cn)
	}
	if n := heap.InUse() - before; n > most {
		t.Errorf("%d connections hold %d bytes, want at most %d", conns, n, most)
	}
	last := fmt.Sprint(2*maxRefused-1, strings.Repeat("x", size))
	for _, cn := range list {
		if !slices.Contains(cn.refused, hashID(last)) || slices.Contains(cn.refused, hashID("other")) {
			t.Fatal("the refused request is not the one that is remembered")
		}
	}
}
