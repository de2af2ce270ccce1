package cmds

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// maxEventSize is the maximum length of a line of a chat stream, in bytes.
const maxEventSize = 1 << 20

// event holds the fields of a chat stream event that the command line uses.
type event struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *struct {
		Reason  string `json:"reason"`
		Message string `json:"message"`
	} `json:"error"`
}

// errTruncated is the error for a chat stream that ends without the [DONE] marker.
var errTruncated = errors.New("stream ended without the [DONE] marker")

// printEvents writes the text of a chat stream to out as it arrives.
func printEvents(r io.Reader, out io.Writer) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxEventSize)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data:")
		if !ok {
			continue
		}
		data = strings.TrimSpace(data)
		if data == "[DONE]" {
			return nil
		}
		var ev event
		if err := json.Unmarshal([]byte(data), &ev); err != nil {
			return fmt.Errorf("decode event: %w", err)
		}
		if ev.Error != nil {
			return fmt.Errorf("%s: %s", ev.Error.Reason, ev.Error.Message)
		}
		for _, c := range ev.Choices {
			if _, err := io.WriteString(out, c.Delta.Content); err != nil {
				return fmt.Errorf("write output: %w", err)
			}
		}
	}
	if err := sc.Err(); err != nil {
		return fmt.Errorf("read stream: %w", err)
	}
	return errTruncated
}
