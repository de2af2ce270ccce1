package server

import (
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
)

// TestProcess guards against faults that cannot be set over HTTP and against requests
// that are not recorded.
func TestProcess(t *testing.T) {
	e := NewEngine(EngineConfig{})
	p, err := Start(netip.MustParseAddrPort("127.0.0.1:0"), e)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	url := "http://" + p.Addr.String()
	post := func(path, body string) (int, string) {
		resp, err := http.Post(url+path, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		data, _ := io.ReadAll(resp.Body)
		return resp.StatusCode, string(data)
	}
	if code, text := post("/fault", `{"drop":"nowhere"}`); code != http.StatusBadRequest || !strings.Contains(text, "nowhere") {
		t.Errorf("status %d, body %s, want an error that names the value", code, text)
	}
	if code, _ := post("/fault", `{"full":true,"count":1,"slow":"1ms"}`); code != http.StatusOK {
		t.Errorf("status %d", code)
	}
	const body = `{"messages":[{"role":"user","content":"x"}],"max_tokens":2}`
	for _, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
		if code, text := post("/v1/chat/completions", body); code != want {
			t.Errorf("status %d, body %s, want %d", code, text, want)
		}
	}
	if r := e.Requests(); len(r) != 2 || r[1].Body != body || r[1].Header.Get("Content-Type") == "" {
		t.Errorf("requests %+v", r)
	}
	e.SetFault(Fault{Refuse: true})
	http.DefaultClient.CloseIdleConnections()
	if _, err := http.Get(url + "/v1/load"); err == nil {
		t.Error("request succeeded while connections are refused")
	}
}

// TestCache guards against a prefix cache that exceeds its size, or evicts a prefix
// from its start.
func TestCache(t *testing.T) {
	c := newCache(4*blockTokens, 0, "")
	a, b := []uint64{1, 2, 3}, []uint64{1, 2, 4, 5}
	for i, tc := range []struct {
		digests []uint64
		want    int
	}{{a, 0}, {a, 3}, {b, 2}, {b, 4}, {a, 2}, {b, 3}} {
		if got := c.use(tc.digests); got != tc.want*blockTokens {
			t.Errorf("use %d: %d tokens found, want %d blocks", i, got, tc.want)
		}
	}
	var ops []string
	for _, e := range c.page(0, 0).Events {
		ops = append(ops, e.Op)
	}
	if want := []string{"add", "add", "add", "add", "add", "drop", "add", "drop", "add", "drop"}; !slices.Equal(ops, want) {
		t.Errorf("events %v, want %v", ops, want)
	}
}
