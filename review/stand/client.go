package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/yuccalb/yuccalb/platform/plattest"
)

// answer is what a client has received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // the answer is missing or incomplete
}

// newID returns an identifier for a client attempt.
func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it returns no errors
	return hex.EncodeToString(b[:])
}

// client sends requests to one front address over kept connections.
type client struct{ http http.Client }

func newClient() *client {
	return &client{http.Client{Transport: &http.Transport{
		DisableCompression: true, MaxIdleConnsPerHost: 64,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}}
}

// send sends one client attempt and reads its whole answer.
func (c *client) send(front netip.AddrPort, method, path, id string, header map[string]string, body string, deadline time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front.String()+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = plattest.Host
	req.Header.Set("X-Attempt-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	for name, v := range header {
		req.Header.Set(name, v)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }() // the body was read
	b, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header, string(b), err}
}
