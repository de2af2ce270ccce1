package plat

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccalb/yuccalb/internal/core/member"
)

// serve starts a fake platform that responds with a status and a body. It returns a
// client and the last request as text.
func serve(t *testing.T, status int, body string) (*Client, *string) {
	t.Helper()
	var request string
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, _ := io.ReadAll(r.Body)
		request = strings.TrimSpace(r.Method + " " + r.URL.EscapedPath() + " " + string(data))
		if status == http.StatusTooManyRequests {
			w.Header().Set("Retry-After", "3")
		}
		if status/100 == 3 {
			w.Header().Set("Location", "/elsewhere")
		}
		w.WriteHeader(status)
		io.WriteString(w, body)
	}))
	t.Cleanup(srv.Close)
	c, err := New(srv.URL, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, &request
}

// Guards against host lists that are decoded incorrectly, unbounded in size, or
// accepted with an error status.
func TestHosts(t *testing.T) {
	for _, tc := range []struct {
		name, body string
		status     int
		want       []member.ListEntry
		err        string
	}{
		{
			"list", `[{"addr":"10.0.0.1:7000","site":"a","state":"live"},{"addr":"10.0.0.2:7000","site":"b","state":"leaving"},
			{"site":"a","state":"live"}]`, 200,
			[]member.ListEntry{
				{Addr: netip.MustParseAddrPort("10.0.0.1:7000"), Site: "a"},
				{Addr: netip.MustParseAddrPort("10.0.0.2:7000"), Site: "b", Leaving: true},
			},
			"",
		},
		{"empty", `[]`, 200, []member.ListEntry{}, ""},
		{"bad address", `[{"addr":"host","site":"a","state":"live"}]`, 200, nil, "decode host list"},
		{"too large", strings.Repeat(" ", maxHosts+1), 200, nil, "larger than"},
		{"failure", `[]`, 503, nil, "status 503"},
		{"redirect", `[]`, 302, nil, "status 302"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, request := serve(t, tc.status, tc.body)
			got, err := c.Hosts(t.Context())
			if tc.err == "" && err != nil || tc.err != "" && (err == nil || !strings.Contains(err.Error(), tc.err)) {
				t.Fatalf("error %v, want %q", err, tc.err)
			}
			same := cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })
			if diff := cmp.Diff(tc.want, got, same); diff != "" {
				t.Errorf("hosts (-want +got):\n%s", diff)
			}
			if *request != "GET /v1/hosts" {
				t.Errorf("request %q", *request)
			}
		})
	}
}

// Guards against writing the directory of another data centre, and against writing
// null for an empty list.
func TestPutDirectory(t *testing.T) {
	c, request := serve(t, 204, "")
	for _, tc := range []struct {
		site  string
		addrs []netip.AddrPort
		want  string
	}{
		{"a", []netip.AddrPort{netip.MustParseAddrPort("10.0.0.1:8000")}, `PUT /v1/directory/a {"addrs":["10.0.0.1:8000"]}`},
		{"a/b", nil, `PUT /v1/directory/a%2Fb {"addrs":[]}`},
	} {
		if err := c.PutDirectory(t.Context(), tc.site, tc.addrs); err != nil {
			t.Fatal(err)
		}
		if *request != tc.want {
			t.Errorf("request %s, want %s", *request, tc.want)
		}
	}
	*request = ""
	if err := c.PutDirectory(t.Context(), "..", nil); err == nil || *request != "" {
		t.Errorf("data centre \"..\": error %v, request %q; want an error and no request", err, *request)
	}
}

// Guards against a rate limit error that can't be distinguished from other errors.
func TestWeights(t *testing.T) {
	c, request := serve(t, 200, "weights")
	data, err := c.Weights(t.Context(), "drafter")
	if err != nil || string(data) != "weights" || *request != "GET /v1/weights/drafter" {
		t.Errorf("weights %q, %v, request %q", data, err, *request)
	}
	c, _ = serve(t, 429, "slow down")
	_, err = c.Weights(t.Context(), "drafter")
	if wait, ok := RateLimited(err); !ok || wait != 3*time.Second {
		t.Errorf("RateLimited(%v) = %s, %v; want 3s", err, wait, ok)
	}
	if _, ok := RateLimited(errors.New("other")); ok {
		t.Error("RateLimited is true for any error")
	}
}

// Guards against a call that ignores its context, and against accepting an invalid
// base URL.
func TestContext(t *testing.T) {
	c, _ := serve(t, 200, "[]")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := c.Hosts(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want Canceled", err)
	}
	for _, base := range []string{"", "10.0.0.1:7000", "ftp://10.0.0.1", "http://"} {
		if _, err := New(base, nil); err == nil {
			t.Errorf("base URL %q is accepted", base)
		}
	}
}
