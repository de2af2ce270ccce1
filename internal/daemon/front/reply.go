package front

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// errorResponse is the response body of a rejected request.
type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Reason  model.Reason `json:"reason"`
	Message string       `json:"message"`
	Run     model.Run    `json:"run"`
	Retry   string       `json:"retry,omitempty"`
	Request string       `json:"request"`
}

// newErrorResponse returns the response body for a rejection of the request with the
// given id.
func newErrorResponse(id string, rej *model.Rejection) errorResponse {
	body := errorBody{Reason: rej.Reason, Message: rej.Text, Run: rej.Run, Request: id}
	if rej.RetryAfter > 0 {
		body.Retry = rej.RetryAfter.Round(time.Millisecond).String()
	}
	return errorResponse{Error: body}
}

// reject sends a rejection as the complete response.
func reject(w http.ResponseWriter, id string, rej *model.Rejection) {
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Run", string(rej.Run))
	if rej.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(rej.RetryAfter.Seconds()))))
	}
	writeJSON(w, rej.Status(), newErrorResponse(id, rej))
}

// writeJSON sends v as the complete response. An error is ignored: it means that the
// caller has disconnected, which the HTTP server detects itself.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// sink is a serve.Sink that sends the response to the caller.
type sink struct {
	w           http.ResponseWriter
	rc          *http.ResponseController
	id          string
	trail       func() []string
	onFirstByte func() // called before the first byte of the body; may be nil
	sent        bool   // the response has started
	chatStream  bool   // the response is a stream of chat events
}

// Head implements serve.Sink.
func (s *sink) Head(status int, header http.Header) error {
	h := s.w.Header()
	for name, values := range header {
		h[name] = values
	}
	h.Set("X-Request-Id", s.id)
	for _, step := range s.trail() {
		h.Add("X-Trail", step)
	}
	s.sent = true
	s.w.WriteHeader(status)
	return nil
}

// Data implements serve.Sink.
func (s *sink) Data(p []byte) error {
	if s.onFirstByte != nil {
		s.onFirstByte()
		s.onFirstByte = nil
	}
	if _, err := s.w.Write(p); err != nil {
		return fmt.Errorf("write to the caller: %w", err)
	}
	if err := s.rc.Flush(); err != nil {
		return fmt.Errorf("flush to the caller: %w", err)
	}
	return nil
}

// fail sends a rejection. After the response has started its status can't be changed: a
// chat stream then ends with an error event instead of the end marker, and the connection
// of any other response is aborted, so that the caller does not take the response for
// complete.
func (s *sink) fail(rej *model.Rejection) {
	if !s.sent {
		reject(s.w, s.id, rej)
		return
	}
	if s.chatStream {
		if body, err := json.Marshal(newErrorResponse(s.id, rej)); err == nil {
			_ = s.Data([]byte("data: " + string(body) + "\n\n"))
		}
		return
	}
	panic(http.ErrAbortHandler)
}
