package entry

import (
	"testing"

	"github.com/yuccalb/yuccalb/internal/fake/line"
	"github.com/yuccalb/yuccalb/platform"
)

// withPrompt adds the header of a prompt with a part that sound requests have as well.
func withPrompt(c line.Call) line.Call {
	return c.With(platform.HeaderPrompt, "guide:165,own:20").With(platform.HeaderTokens, "2000,20")
}

// TestRequestCrashesServers guards against servers that crash one after the other at the same
// request, which comes again at all hosts, on all kinds of route and in both regions. Others
// of the same caller, on the same path or with the same body, must be served.
func TestRequestCrashesServers(t *testing.T) {
	for _, tt := range []struct {
		name       string
		dead, good line.Call
		late       bool
	}{
		{"unsafe", post("/order/x", "dead"), post("/order/x", "fine"), false},
		{"safe", get("/safe/dead"), get("/safe/fine"), false},
		{"safe, same path", post("/safe/x", "dead"), post("/safe/x", "fine"), false},
		{"public", get("/open/dead").With(platform.HeaderAPIKey, ""), get("/open/fine"), false},
		{"stream", post("/chat/x", "dead"), post("/chat/x", "fine"), false},
		{"stream with a shared part", withPrompt(post("/chat/x", "dead")), withPrompt(post("/chat/x", "fine")), false},
		{"resumable stream", post("/ask/x", "dead"), post("/ask/x", "fine"), false},
		{"stream after its first event", post("/chat/x", "dead"), post("/chat/x", "fine"), true},
		{"resumable stream after its first event", post("/ask/x", "dead"), post("/ask/x", "fine"), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			crashCase{nth: 3, late: tt.late, dead: same(tt.dead), good: same(tt.good)}.run(t)
		})
	}
}

// same returns a function that returns a call each time.
func same(c line.Call) func() line.Call { return func() line.Call { return c } }

// TestRequestRefusedAfterRestart guards against hosts that, after all of them have restarted,
// send a request again that is known to make servers crash.
func TestRequestRefusedAfterRestart(t *testing.T) {
	testOutlivesHosts(t, post("/order/x", "dead"), post("/order/x", "fine"))
}
