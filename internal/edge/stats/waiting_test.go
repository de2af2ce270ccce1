package stats

import (
	"net/http/httptest"
	"strings"
	"testing"
)

// TestPriorityLabels guards against a label value for each priority that a configuration or
// another host states, and against counts that are lost when priorities share a label.
func TestPriorityLabels(t *testing.T) {
	m := New()
	m.Waiting(func() map[string]map[int]int {
		return map[string]map[int]int{"chat": {-3: 1, 0: 2, 2: 0, 9: 4, 70: 5, 1 << 40: 6}}
	})
	for priority := range 1000 {
		m.TurnedAway("chat", priority, "late")
	}
	w := httptest.NewRecorder()
	m.Handler().ServeHTTP(w, httptest.NewRequest("GET", StatePath, nil))
	page := w.Body.String()
	for _, line := range []string{
		`yuccalb_waiting_requests{priority="0",service="chat"} 3`,
		`yuccalb_waiting_requests{priority="2",service="chat"} 0`,
		`yuccalb_waiting_requests{priority="9",service="chat"} 15`,
		`yuccalb_turned_away_total{priority="9",reason="late",service="chat"} 991`,
	} {
		if !strings.Contains(page, line+"\n") {
			t.Errorf("the page lacks %s", line)
		}
	}
	if n := strings.Count(page, "\nyuccalb_turned_away_total{"); n != 10 {
		t.Errorf("%d series of requests turned away, want 10", n)
	}
}
