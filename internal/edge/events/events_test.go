package events

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/yuccalb/yuccalb/internal/fake/golden"
)

// TestHistory guards against a history that misses a line of the request, includes
// lines of other requests, or shows a state that the host reached only later.
func TestHistory(t *testing.T) {
	for _, id := range []string{"cut", "deadly", "displaced", "late", "limited", "poisoned", "refused", "resumed"} {
		t.Run(id, func(t *testing.T) {
			var l Log
			files, err := filepath.Glob("testdata/*.log")
			if err != nil || len(files) < 2 {
				t.Fatalf("logs %v, %v", files, err)
			}
			for _, name := range files {
				read(t, &l, name)
			}
			var out bytes.Buffer
			if n, err := l.Write(&out, id); err != nil || n == 0 {
				t.Fatalf("%d lines, %v", n, err)
			}
			golden.Equal(t, id+".golden", out.String())
		})
	}
}

// read adds the lines of the named file to l.
func read(t *testing.T, l *Log, name string) {
	t.Helper()
	f, err := os.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if _, err := l.Read(f); err != nil {
		t.Fatal(err)
	}
}

// TestSkippedLines guards against failing to read a log that also contains lines of
// another format.
func TestSkippedLines(t *testing.T) {
	var l Log
	skipped, err := l.Read(strings.NewReader("panic: x\n{\"msg\":\n\n 1.5 host {\"ts\":\"2026-01-01T00:00:00Z\",\"msg\":\"a\",\"id\":\"x\"}\n"))
	if err != nil || skipped != 3 {
		t.Fatalf("%d lines skipped, %v", skipped, err)
	}
	var out bytes.Buffer
	if n, err := l.Write(&out, "x"); n != 1 || err != nil {
		t.Errorf("%d lines, %v", n, err)
	}
}
