// Package caller is an HTTP client for tests that sends requests to a host as callers do.
package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Timeout bounds a request. It is long enough that only a request that hangs reaches it.
const Timeout = 60 * time.Second

// Request is a request of a caller. Base is the URL of the host, Key the API key and Idem
// the idempotency key. ID becomes part of the request id that servers receive. Idem and
// ID may be empty.
type Request struct {
	Base, Key, ID, Method, Path, Body, Idem string
}

// Result is the response to a request, or the error that ended it.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error
}

// Send sends a request and reads the whole response.
func Send(q Request) Result {
	ctx, cancel := context.WithTimeout(context.Background(), Timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.Method, q.Base+q.Path, strings.NewReader(q.Body))
	if err != nil {
		return Result{Err: fmt.Errorf("request: %w", err)}
	}
	req.Header.Set("Authorization", "Bearer "+q.Key)
	for name, value := range map[string]string{"X-Request-Id": q.ID, "Idempotency-Key": q.Idem} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return Result{Err: fmt.Errorf("send: %w", err)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return Result{resp.StatusCode, resp.Header, data, err}
}

// errNoEnd is the error of a stream without an end marker.
var errNoEnd = errors.New("the stream has no end marker")

// Chat sends a chat request for a stream of n tokens, with the Base, Key and ID of q. A
// stream without its end marker is an error.
func Chat(q Request, route, prompt string, n int) Result {
	q.Method, q.Path, q.Body = http.MethodPost, "/v1/chat/completions", ChatBody(route, prompt, n, true)
	r := Send(q)
	if r.Err == nil && r.Status == http.StatusOK && !bytes.HasSuffix(r.Body, []byte("data: [DONE]\n\n")) {
		r.Err = errNoEnd
	}
	return r
}

// ChatBody returns the body of a chat request for n tokens.
func ChatBody(route, prompt string, n int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, route, stream, n, prompt)
}

// Failure returns the reason why the request was not served, or nil.
func (r Result) Failure() error {
	if r.Err != nil {
		return r.Err
	}
	if r.Status != http.StatusOK {
		return fmt.Errorf("status %d, run %q: %s", r.Status, r.Run(), r.Body)
	}
	return nil
}

// Run returns the header X-Run, which says whether a rejected request was run.
func (r Result) Run() string { return r.Header.Get("X-Run") }

// Reason returns the reason of a rejection, or "" if the body has none.
func (r Result) Reason() string {
	var body struct {
		Error struct {
			Reason string `json:"reason"`
		} `json:"error"`
	}
	_ = json.Unmarshal(r.Body, &body) // a body that is not of this form has no reason
	return body.Error.Reason
}
