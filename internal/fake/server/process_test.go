package server

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"
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

// TestUnframedResponse guards against a response that has a length or chunks although the
// fault says that it has neither.
func TestUnframedResponse(t *testing.T) {
	e := NewEngine(EngineConfig{})
	e.SetFault(Fault{Unframed: true})
	srv := httptest.NewServer(e)
	defer srv.Close()
	for _, stream := range []string{"false", "true"} {
		resp, err := http.Post(srv.URL+"/v1/chat/completions", "application/json", strings.NewReader(`{"messages":[{"role":"user","content":"x"}],"max_tokens":2,"stream":`+stream+`}`))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || len(body) == 0 || resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 {
			t.Errorf("stream %s: length %d, encoding %v, %d bytes, error %v", stream, resp.ContentLength, resp.TransferEncoding, len(body), err)
		}
	}
}

// TestPoison guards against an engine that survives a prompt that should make it crash, and
// against one that serves other requests meanwhile.
func TestPoison(t *testing.T) {
	e := NewEngine(EngineConfig{})
	e.SetFault(Fault{Poison: "dead"})
	srv := httptest.NewServer(e)
	defer srv.Close()
	ask := func(prompt string) error {
		resp, err := http.Post(srv.URL+"/v1/chat/completions", "application/json", strings.NewReader(`{"messages":[{"role":"user","content":"`+prompt+`"}],"max_tokens":2}`))
		if err != nil {
			return err
		}
		_, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		return err
	}
	if err := ask("fine"); err != nil {
		t.Errorf("other prompt: %v", err)
	}
	if ask("a dead part") == nil {
		t.Error("the prompt was answered")
	}
	if ask("fine") == nil {
		t.Error("the engine serves requests after a crash")
	}
	time.Sleep(crashTime)
	if err := ask("fine"); err != nil {
		t.Errorf("after the crash: %v", err)
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
