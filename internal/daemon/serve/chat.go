package serve

import (
	"encoding/json"
	"fmt"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// bytesPerToken is the assumed length of a token when tokens are estimated from text.
const bytesPerToken = 4

// Chat holds the fields of a chat request that the gateway uses.
type Chat struct {
	Model string
	// Stream is set when the caller wants a streamed response.
	Stream bool
	// MaxTokens is the largest number of tokens of the response; 0 means not set.
	MaxTokens int64
	// IncludeUsage is set when the caller wants the usage event of a stream.
	IncludeUsage bool
	// Prompt is the text of the messages in the form over which engines compute
	// the digests of cached prefixes: role, newline, content and newline of each.
	Prompt []byte

	fields map[string]json.RawMessage
}

// ParseChat parses the body of a chat request.
func ParseChat(body []byte) (*Chat, error) {
	c := &Chat{}
	if err := json.Unmarshal(body, &c.fields); err != nil {
		return nil, fmt.Errorf("request body: %w", err)
	}
	if c.fields == nil {
		return nil, fmt.Errorf("request body: want an object, got null")
	}
	for _, f := range []struct {
		name string
		to   any
	}{{"model", &c.Model}, {"stream", &c.Stream}, {"max_tokens", &c.MaxTokens}} {
		raw, ok := c.fields[f.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, f.to); err != nil {
			return nil, fmt.Errorf("field %q: %w", f.name, err)
		}
	}
	if raw, ok := c.fields["stream_options"]; ok {
		var opts struct {
			Usage bool `json:"include_usage"`
		}
		if err := json.Unmarshal(raw, &opts); err != nil {
			return nil, fmt.Errorf("field %q: %w", "stream_options", err)
		}
		c.IncludeUsage = opts.Usage
	}
	if err := c.readPrompt(c.fields["messages"]); err != nil {
		return nil, err
	}
	if c.Model == "" {
		return nil, fmt.Errorf("field %q: required", "model")
	}
	if c.MaxTokens < 0 {
		return nil, fmt.Errorf("field %q: value %d is negative", "max_tokens", c.MaxTokens)
	}
	return c, nil
}

// readPrompt sets Prompt from the messages. Content that is not a string, such as a
// list of parts, is included as its JSON text.
func (c *Chat) readPrompt(raw json.RawMessage) error {
	var messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	if err := json.Unmarshal(raw, &messages); err != nil || len(messages) == 0 {
		return fmt.Errorf("field %q: want a list of messages", "messages")
	}
	for _, m := range messages {
		var text string
		if json.Unmarshal(m.Content, &text) != nil {
			text = string(m.Content)
		}
		c.Prompt = fmt.Appendf(c.Prompt, "%s\n%s\n", m.Role, text)
	}
	return nil
}

// bound sets MaxTokens from the route, or to model.DefaultReservedTokens, if the request
// does not set it.
func (c *Chat) bound(route *model.Route) {
	if c.MaxTokens == 0 {
		c.MaxTokens = route.ReservedTokens
	}
	if c.MaxTokens == 0 {
		c.MaxTokens = model.DefaultReservedTokens
	}
}

// promptTokens estimates the number of tokens of the prompt.
func (c *Chat) promptTokens() int64 {
	return tokens(len(c.Prompt))
}

// tokens estimates the number of tokens in n bytes of text.
func tokens(n int) int64 {
	return int64(n+bytesPerToken-1) / bytesPerToken
}

// encode returns the request body with the given model name. The response is always
// streamed and includes usage, and max_tokens is the number that was reserved.
func (c *Chat) encode(engineModel string) ([]byte, error) {
	fields := make(map[string]json.RawMessage, len(c.fields)+3)
	for name, raw := range c.fields {
		fields[name] = raw
	}
	for name, value := range map[string]any{
		"model":          engineModel,
		"stream":         true,
		"max_tokens":     c.MaxTokens,
		"stream_options": map[string]bool{"include_usage": true},
	} {
		raw, err := json.Marshal(value)
		if err != nil {
			return nil, fmt.Errorf("encode field %q: %w", name, err)
		}
		fields[name] = raw
	}
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return body, nil
}
