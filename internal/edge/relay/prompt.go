package relay

import (
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/poison"
	"github.com/yuccalb/yuccalb/platform"
)

// maxTokens bounds each number of tokens that a request may state. The sums that hosts report to each other
// stay in their range with it, whatever callers send.
const maxTokens = 1 << 26

// parsePrompt parses the headers about the size and the parts of the prompt.
// Invalid values count as absent: they are hints for routing, and the server
// checks them. Only numbers above maxTokens lead to a refusal, since the limits of
// organisations count them.
func (q *request) parsePrompt() *refusal {
	prompt, output, ok := parseTokens(q.r.Header.Get(platform.HeaderTokens))
	if prompt > maxTokens || output > maxTokens {
		return &refusal{http.StatusBadRequest, reasonTokens, 0}
	}
	if ok {
		q.tokensStated = true
		q.pick.Prompt = prompt
		q.pick.Output = output
	}
	q.parts = partsOf(q.r.Header.Get(platform.HeaderPrompt))
	q.pick.Parts = sharedParts(q.r.Header.Get(platform.HeaderPrompt), q.pick.Prompt)
	return nil
}

// parseTokens returns the tokens of a prompt and the most of its output, the greatest int for a number beyond it.
// The result is false if the text is not two whole numbers from 0 on.
func parseTokens(text string) (prompt, output int, ok bool) {
	in, out, ok := strings.Cut(text, ",")
	if !ok {
		return 0, 0, false
	}
	prompt, err1 := strconv.Atoi(strings.TrimSpace(in))
	output, err2 := strconv.Atoi(strings.TrimSpace(out))
	return prompt, output, err1 == nil && err2 == nil && prompt >= 0 && output >= 0
}

// sharedParts returns the parts of a prompt that other requests may share, which
// are all but the last: that one belongs to the request or its session. It
// returns nil if they have fewer than pick.PrefixTokens tokens, too few to route
// by.
func sharedParts(text string, prompt int) []pick.Part {
	var parts []pick.Part
	shared := 0
	key := uint64(0)
	for len(parts) < pick.MaxParts {
		id, size, rest, more := cutPart(text)
		if !more {
			break
		}
		text = rest
		n, err := strconv.Atoi(size)
		if err != nil || n < 0 || n > prompt-shared {
			break
		}
		d := xxhash.NewWithSeed(key)
		_, _ = d.WriteString(id) // it returns no errors
		key = d.Sum64() | 1      // 0 stands for no prefix
		shared += n
		parts = append(parts, pick.Part{Key: key, Tokens: n})
	}
	if shared < pick.PrefixTokens {
		return nil
	}
	return parts
}

// partsOf returns the parts of a prompt that other requests may share, each by its
// identifier alone: a part that makes servers crash does so wherever it is in a prompt.
func partsOf(text string) []poison.Part {
	var parts []poison.Part
	for len(parts) < poison.MaxParts {
		id, _, rest, more := cutPart(text)
		if !more {
			break
		}
		text = rest
		parts = append(parts, poison.NewPart(id))
	}
	return parts
}

// whole returns the part that stands for the whole request.
func (q *request) whole() poison.Part {
	if q.wholePart == 0 {
		q.wholePart = poison.NewRequest(q.r.RequestURI, q.organisation(), q.body)
	}
	return q.wholePart
}

// allParts returns the parts of the prompt, and the one that stands for the whole request.
func (q *request) allParts() []poison.Part { return append(slices.Clip(q.parts), q.whole()) }

// cutPart returns the identifier and the size of the first part in the text of a prompt
// header, the text after it, and whether another part follows. The last part is the
// request's own.
func cutPart(text string) (id, size, rest string, more bool) {
	part, rest, more := strings.Cut(text, ",")
	id, size, _ = strings.Cut(strings.TrimSpace(part), ":")
	return id, size, rest, more
}

// maxLoggedParts bounds the parts of a prompt in a log line, and maxLoggedPart the length
// of each in bytes.
const (
	maxLoggedParts = 8
	maxLoggedPart  = 32
)

// partNames returns the identifiers of the parts from the position first up to but not
// including end, of those that other requests may share, for logs.
func (q *request) partNames(first, end int) []string {
	var names []string
	text := q.r.Header.Get(platform.HeaderPrompt)
	for i := range end {
		id, _, rest, more := cutPart(text)
		if !more {
			break
		}
		text = rest
		if i >= first {
			names = append(names, id[:min(len(id), maxLoggedPart)])
		}
	}
	return names
}
