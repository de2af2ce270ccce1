package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// defaultTokens is the length of a response when the request sets no
// max_tokens.
const defaultTokens = 16

// words is the vocabulary of all responses; each word counts as one token.
var words = []string{
	"oak ", "saw ", "plane ", "chisel ", "joint ", "plank ", "dowel ", "glue ",
	"sledge ", "slope ", "snow ", "runner ", "rope ", "brake ", "trail ", "hut ",
}

// Text returns n tokens of the response to a prompt, starting with number from. Every
// engine gives the same response, so that a stream can be resumed on another engine.
func Text(prompt []byte, from, n int) string {
	var b strings.Builder
	for i := from; i < from+n; i++ {
		b.WriteString(word(xxhash.Sum64(prompt), i))
	}
	return b.String()
}

// word returns token i of the response to the prompt with the hash seed.
func word(seed uint64, i int) string {
	return words[(seed+uint64(i)*7+uint64(i/5))%uint64(len(words))]
}

// chatRequest holds the fields of a request body that the engine uses.
type chatRequest struct {
	Messages []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens int  `json:"max_tokens"`
	Stream    bool `json:"stream"`
}

// Prompt returns the prompt that a request body stands for: of each message the role and
// the content, each followed by a newline.
func Prompt(body []byte) ([]byte, error) {
	c, err := parseChat(body)
	if err != nil {
		return nil, err
	}
	return c.prompt(), nil
}

func parseChat(body []byte) (*chatRequest, error) {
	c := &chatRequest{}
	if err := json.Unmarshal(body, c); err != nil {
		return nil, fmt.Errorf("chat request: %w", err)
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultTokens
	}
	return c, nil
}

func (c *chatRequest) prompt() []byte {
	var b []byte
	for _, m := range c.Messages {
		b = append(b, m.Role...)
		b = append(b, '\n')
		b = append(b, m.Content...)
		b = append(b, '\n')
	}
	return b
}

// Usage holds the token counts of a response.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Cached     int `json:"cached_tokens"`
}

// response is the response to one chat request while it is generated.
type response struct {
	e       *Engine
	w       http.ResponseWriter
	r       *http.Request
	ctx     context.Context
	fault   Fault
	id      string // request id
	seed    uint64 // hash of the prompt
	from, n int    // number of the first token to send and length of the whole response
	usage   Usage
}

// chat serves POST /v1/chat/completions.
func (e *Engine) chat(w http.ResponseWriter, r *http.Request, req *Request) {
	f := e.consumeFault()
	if !e.admit(w, r, f) {
		return
	}
	body, err := e.body(r, req)
	if err != nil || f.Drop == DropBody {
		drop()
	}
	c, err := parseChat(body)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	ctx, cancel := e.track(r)
	defer cancel()
	prompt := c.prompt()
	resp := &response{
		e: e, w: w, r: r, ctx: ctx, fault: f, id: w.Header().Get("X-Request-Id"),
		seed: xxhash.Sum64(prompt), n: c.MaxTokens, usage: Usage{Prompt: (len(prompt) + 3) / 4},
	}
	resp.from, _ = strconv.Atoi(r.Header.Get("X-Resume"))
	if err := e.batch.acquire(ctx, priority(r.Header), resp.usage.Prompt); err != nil {
		if ctx.Err() != nil {
			drop()
		}
		refuse(w, http.StatusServiceUnavailable, "queue is full")
		return
	}
	defer e.batch.release()
	e.countRun(req.ID)
	resp.usage.Cached = e.cache.use(Digests(prompt))
	uncached := resp.usage.Prompt - resp.usage.Cached
	if !e.sleep(ctx, e.cfg.First+time.Duration(uncached)*time.Second/time.Duration(e.cfg.Prefill)) {
		drop()
	}
	if f.Poison != "" && strings.Contains(string(prompt), f.Poison) {
		e.crash()
	}
	if f.Drop == DropRun || !e.sleep(ctx, time.Duration(f.Late)) {
		drop()
	}
	if c.Stream {
		resp.stream()
	} else {
		resp.respond()
	}
}

// priority returns the priority of a request in the queue, of which the highest goes first.
func priority(h http.Header) int {
	if urgency, err := strconv.Atoi(h.Get("X-Request-Urgency")); err == nil {
		return -urgency
	}
	n, _ := strconv.Atoi(h.Get("X-Priority")) // 0 if it states none
	return n
}

// crash drops all requests, and all that arrive within crashTime.
func (e *Engine) crash() {
	e.setDown(crashTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, cancel := range e.cancels {
		cancel()
	}
}

// track registers a request, so that cancel can end it. The returned function
// deregisters it.
func (e *Engine) track(r *http.Request) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(r.Context())
	id := r.Header.Get("X-Request-Id")
	e.mu.Lock()
	e.cancels[id] = cancel
	e.mu.Unlock()
	return ctx, func() {
		e.mu.Lock()
		delete(e.cancels, id)
		e.mu.Unlock()
		cancel()
	}
}

// stream sends the response as a stream with one event per token.
func (resp *response) stream() {
	resp.w.Header().Set("Content-Type", "text/event-stream")
	resp.w.WriteHeader(http.StatusOK)
	flush(resp.w)
	if resp.fault.Drop == DropStatus {
		drop()
	}
	for i := resp.from; i < resp.n; i++ {
		if !resp.beforeToken(i) {
			return
		}
		if !resp.e.sleep(resp.ctx, resp.e.cfg.Token) {
			drop()
		}
		resp.sendEvent(map[string]any{"delta": map[string]string{"content": word(resp.seed, i)}, "index": 0, "finish_reason": nil}, nil)
	}
	if !resp.beforeToken(resp.n) {
		return
	}
	resp.usage.Completion = resp.n
	resp.sendEvent(map[string]any{"delta": map[string]string{}, "index": 0, "finish_reason": "length"}, &resp.usage)
	fmt.Fprint(resp.w, "data: [DONE]\n\n")
	flush(resp.w)
}

// beforeToken applies the faults that interrupt a response before its token i, and
// reports whether the response continues.
func (resp *response) beforeToken(i int) bool {
	sent := i - resp.from + 1
	switch {
	case resp.fault.Stall > 0 && sent == resp.fault.Stall, resp.e.stalled(resp.r):
		resp.e.stall(resp.r)
	case resp.fault.Truncate > 0 && sent == resp.fault.Truncate:
		// A truncated stream lacks its end mark but ends with a complete HTTP
		// response. With Drop the connection is closed instead.
		return false
	case resp.fault.Drop == DropHalf && i == (resp.from+resp.n)/2:
		drop()
	}
	return true
}

// sendEvent sends one event of the stream.
func (resp *response) sendEvent(choice map[string]any, usage *Usage) {
	data, err := json.Marshal(struct {
		ID      string           `json:"id"`
		Object  string           `json:"object"`
		Model   string           `json:"model"`
		Choices []map[string]any `json:"choices"`
		Usage   *Usage           `json:"usage,omitempty"`
	}{resp.id, "chat.completion.chunk", resp.e.cfg.Model, []map[string]any{choice}, usage})
	if err != nil {
		drop()
	}
	fmt.Fprintf(resp.w, "data: %s\n\n", data)
	flush(resp.w)
}

// respond sends the response as a single JSON document.
func (resp *response) respond() {
	var text strings.Builder
	for i := resp.from; i < resp.n; i++ {
		if !resp.beforeToken(i) || !resp.e.sleep(resp.ctx, resp.e.cfg.Token) {
			drop()
		}
		text.WriteString(word(resp.seed, i))
	}
	resp.usage.Completion = resp.n
	writeJSON(resp.w, http.StatusOK, map[string]any{
		"id": resp.id, "object": "chat.completion", "model": resp.e.cfg.Model, "usage": resp.usage,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "length",
			"message": map[string]string{"role": "assistant", "content": text.String()},
		}},
	})
}
