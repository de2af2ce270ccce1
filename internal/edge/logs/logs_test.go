package logs

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// TestStoppedReader guards against blocking requests when the reader of the log has
// stopped reading, and against dropping lines without counting them.
func TestStoppedReader(t *testing.T) {
	r, pipe := io.Pipe()
	defer r.Close()
	w := NewWriter(pipe)
	l := New(w, "h", false)
	const lines = 20_000
	done := make(chan bool)
	go func() {
		for range lines {
			l.Info("line", zap.String("text", strings.Repeat("x", 100)))
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocks")
	}
	if l.Dropped() == 0 {
		t.Error("no line is counted as dropped")
	}
	began := time.Now()
	_ = w.Close() // it returns no error
	if d := time.Since(began); d > 5*time.Second {
		t.Errorf("Close waited %v", d)
	}
}

// buffer is a bytes.Buffer that is safe for concurrent use.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) count(s string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.b.String(), s)
}

// TestSampling guards against a log volume that grows with the load, and against
// leaving out lines without a summary.
func TestSampling(t *testing.T) {
	var out buffer
	w := NewWriter(&out)
	l := New(w, "h", false)
	const requests = 10_000
	for range requests {
		l.Served.Info("request served")
		l.Requests.Info("request refused")
	}
	l.Summarize()
	l.Summarize()
	_ = w.Close() // it returns no error
	// The loop may extend over two sampling intervals of one second.
	if n, most := out.count("request served"), 2*(servedFirst+requests/servedEvery); n > most || n == 0 {
		t.Errorf("%d lines about served requests, at most %d wanted", n, most)
	}
	if n, most := out.count("request refused"), 2*(failedFirst+requests/failedEvery); n > most || n < failedFirst {
		t.Errorf("%d lines about refused requests, at most %d wanted", n, most)
	}
	if n := out.count("request lines left out"); n != 1 {
		t.Errorf("%d summaries, want 1", n)
	}
	if int(l.Sampled())+out.count("request served")+out.count("request refused") != 2*requests {
		t.Errorf("%d lines left out, the rest was written", l.Sampled())
	}
}

// TestDroppedLinesReported guards against dropped lines that the log does not report.
func TestDroppedLinesReported(t *testing.T) {
	var out buffer
	w := NewWriter(&out)
	w.dropped.Add(7)
	for end := time.Now().Add(5 * time.Second); out.count("log lines dropped") == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the log does not report the dropped lines")
		}
	}
	_ = w.Close() // it returns no error
}
