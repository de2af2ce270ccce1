package serve

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/engine"
	"github.com/yuccalb/yuccalb/internal/adapt/plain"
	"github.com/yuccalb/yuccalb/internal/adapt/trace"
	"github.com/yuccalb/yuccalb/internal/core/model"
	"github.com/yuccalb/yuccalb/internal/core/route"
)

// Priorities of requests at engines; an engine serves the higher value first.
const (
	priorityShort = 1
	priorityLong  = 0
)

// Content types of responses.
const (
	eventStream = "text/event-stream"
	jsonType    = "application/json"
)

// chat sends the call to an engine and passes the events of the response to the sink.
func (r *runner) chat(ctx context.Context, choice route.Choice) error {
	body, err := r.c.Chat.encode(r.engineModel())
	if err != nil {
		return fmt.Errorf("engine request: %w", err)
	}
	call := engine.Call{
		Addr: choice.Addr, ID: r.attemptID(), Body: body, Priority: priorityShort,
		Resume: int64(r.position), Trace: trace.Header(ctx),
	}
	if r.c.Route.Class == model.ClassLong {
		call.Priority = priorityLong
	}
	stream, err := r.s.o.Engine.Chat(ctx, call)
	if err != nil {
		return fmt.Errorf("chat: %w", err)
	}
	defer stream.Close()
	out := r.chatSink()
	for {
		ev, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return out.end()
		}
		if err != nil {
			return fmt.Errorf("chat stream: %w", err)
		}
		if err := r.handleEvent(out, ev); err != nil {
			return err
		}
	}
}

// engineModel returns the name under which the engines of the service serve the model.
func (r *runner) engineModel() string {
	if svc := r.s.o.Config.Current().Service(r.c.Route.Service); svc != nil && svc.Model != "" {
		return svc.Model
	}
	return r.c.Chat.Model
}

// usageField occurs in every event that may hold a usage count. Text of the response
// can't contain it, because JSON escapes the quotation marks.
var usageField = []byte(`"usage"`)

// contentField occurs in every event that holds a token.
var contentField = []byte(`"content":`)

// handleEvent passes one event to out and counts its token. A usage event is passed on
// only if the caller wants it.
func (r *runner) handleEvent(out chatSink, ev engine.Event) error {
	if len(ev.Data) == 0 && !ev.Done {
		return nil
	}
	if !ev.Done && bytes.Contains(ev.Data, usageField) && r.readUsage(ev.Data) {
		if !r.c.Chat.IncludeUsage {
			return nil
		}
	} else if bytes.Contains(ev.Data, contentField) {
		r.position++
	}
	return out.event(ev)
}

// readUsage sets the usage of the response if the event has one, and reports whether the
// event holds nothing else. If no event has a usage, all reserved tokens count as used.
func (r *runner) readUsage(data []byte) bool {
	var v struct {
		Choices []json.RawMessage `json:"choices"`
		Usage   *struct {
			Prompt int64 `json:"prompt_tokens"`
			Answer int64 `json:"completion_tokens"`
			Cached int64 `json:"cached_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(data, &v) != nil || v.Usage == nil {
		return false
	}
	*r.use = usage{prompt: v.Usage.Prompt, response: v.Usage.Answer, cached: v.Usage.Cached, counted: true}
	return len(v.Choices) == 0
}

// chatSink receives the events of a chat response.
type chatSink interface {
	event(ev engine.Event) error
	end() error
}

// chatSink returns the sink for a streamed or a collected response. A collected response
// is kept when the stream is resumed.
func (r *runner) chatSink() chatSink {
	if r.c.Chat.Stream || r.c.forwarded() {
		return &eventSink{r}
	}
	if r.collected == nil {
		r.collected = &collector{r: r}
	}
	return r.collected
}

// eventSink passes events on unchanged.
type eventSink struct{ r *runner }

func (s *eventSink) event(ev engine.Event) error {
	r := s.r
	if !r.delivered {
		r.delivered = true
		h := http.Header{"Content-Type": {eventStream}, "Cache-Control": {"no-store"}}
		if err := r.sink.Head(http.StatusOK, h); err != nil {
			return err
		}
	}
	return r.sink.Data(ev.Raw)
}

func (s *eventSink) end() error { return nil }

// collector combines the events into one JSON response. Its size is bounded by the
// max_tokens that is sent to the engine.
type collector struct {
	r      *runner
	id     string
	text   bytes.Buffer
	reason string
}

// chunk is one event of a chat response.
type chunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Reason string `json:"finish_reason"`
	} `json:"choices"`
}

func (c *collector) event(ev engine.Event) error {
	if ev.Done {
		return nil
	}
	var v chunk
	if err := json.Unmarshal(ev.Data, &v); err != nil {
		return fmt.Errorf("decode event: %w", err)
	}
	c.id = v.ID
	for _, choice := range v.Choices {
		c.text.WriteString(choice.Delta.Content)
		if choice.Reason != "" {
			c.reason = choice.Reason
		}
	}
	return nil
}

// completion is a chat response that is not streamed.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index   int               `json:"index"`
	Message completionMessage `json:"message"`
	Reason  string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	Prompt int64 `json:"prompt_tokens"`
	Answer int64 `json:"completion_tokens"`
	Total  int64 `json:"total_tokens"`
	Cached int64 `json:"cached_tokens"`
}

func (c *collector) end() error {
	use := c.r.use
	body, err := json.Marshal(completion{
		ID: c.id, Object: "chat.completion", Created: time.Now().Unix(), Model: c.r.c.Chat.Model,
		Choices: []completionChoice{{Message: completionMessage{Role: "assistant", Content: c.text.String()}, Reason: c.reason}},
		Usage:   completionUsage{Prompt: use.prompt, Answer: use.response, Total: use.prompt + use.response, Cached: use.cached},
	})
	if err != nil {
		return fmt.Errorf("encode response: %w", err)
	}
	return c.r.sendResponse(http.StatusOK, jsonType, body)
}

// sendResponse passes a complete response to the sink.
func (r *runner) sendResponse(status int, contentType string, body []byte) error {
	r.delivered = true
	if err := r.sink.Head(status, http.Header{"Content-Type": {contentType}}); err != nil {
		return err
	}
	return r.sink.Data(body)
}

// plain sends the call to a server of a plain service. The response is passed on only
// when it is complete, so that a failure before that can be retried.
func (r *runner) plain(ctx context.Context, choice route.Choice) error {
	path := r.c.Path
	if path == "" {
		path = "/"
	}
	if r.c.RawQuery != "" {
		path += "?" + r.c.RawQuery
	}
	resp, err := r.s.o.Plain.Do(ctx, plain.Call{
		Addr: choice.Addr, ID: r.attemptID(), Method: r.c.Method, Path: path, Body: r.c.Body,
		Idempotent: retryCall(r.c).Idempotent, Trace: trace.Header(ctx), Timeout: time.Until(r.c.Deadline),
	})
	if err != nil {
		return fmt.Errorf("plain call: %w", err)
	}
	*r.use = usage{prompt: max(1, tokens(len(r.c.Body))), response: tokens(len(resp.Body)), counted: true}
	return r.sendResponse(resp.Status, resp.Type, resp.Body)
}
