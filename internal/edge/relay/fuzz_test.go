package relay

import (
	"net/http"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/platform"
)

// FuzzPrompt guards against prompt headers that lead to negative sizes, or to
// shared parts larger than the whole prompt.
func FuzzPrompt(f *testing.F) {
	f.Add("1460,80", "5c1e07a2:800,91bd3f06:410,e4402b7d:250")
	f.Add("", ",,,:")
	f.Add("-1,5", "a:-7,b:9")
	f.Add("99999999999999999999,1", "a:99999999999999999999,b:1")
	f.Add("9223372036854775807,1", "a:1")
	f.Add("1, 67108865", "a:1")
	f.Add("10,1", "a:9223372036854775807,b:9223372036854775807,c:1")
	f.Fuzz(func(t *testing.T, tokens, parts string) {
		q := &request{r: &http.Request{Header: http.Header{}}}
		q.r.Header.Set(platform.HeaderTokens, tokens)
		q.r.Header.Set(platform.HeaderPrompt, parts)
		_ = q.parsePrompt() // the request is refused then
		p := q.pick
		if p.Prompt < 0 || p.Prompt > maxTokens || p.Output > maxTokens || p.Output < 0 || p.Shared() < 0 || p.Shared() > p.Prompt {
			t.Errorf("%q and %q: prompt %d, shared %d, output %d", tokens, parts, p.Prompt, p.Shared(), p.Output)
		}
	})
}

// FuzzFromPeer guards against a panic on malformed headers of another host, and
// against accepting a request without a service or a deadline.
func FuzzFromPeer(f *testing.F) {
	f.Add("chat", "stream resumable", "1000", "3", "800")
	f.Add("chat", "?", "x", "", "")
	now := time.Now()
	f.Fuzz(func(t *testing.T, service, route, millis, priority, goal string) {
		h := http.Header{}
		for name, v := range map[string]string{
			platform.HeaderAttemptID: "1", headerService: service, headerRoute: route, headerTimeout: millis, headerPriority: priority, headerGoal: goal,
		} {
			h.Set(name, v)
		}
		q := &request{id: "1", arrived: now, r: &http.Request{Header: h}}
		if err := q.fromPeer(); err == nil && (q.service == "" || !q.deadline.After(now) || q.route.Goal < 0) {
			t.Errorf("service %q, deadline %v", q.service, q.deadline)
		}
	})
}
