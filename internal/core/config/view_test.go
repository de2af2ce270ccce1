package config

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/yuccalb/yuccalb/internal/core/lint"
	"github.com/yuccalb/yuccalb/internal/fake/golden"
)

// TestViewGolden guards against findings of a folder with wrong files, lines or fields, and
// against findings that a version read from the store does not have.
func TestViewGolden(t *testing.T) {
	var got strings.Builder
	read := func(dir string) *lint.View {
		cfg, src, err := ReadSource(os.DirFS("testdata/" + dir))
		if err != nil {
			t.Fatal(err)
		}
		v := View(dir, cfg, src)
		found := lint.Check(v)
		fmt.Fprintf(&got, "# check of %s\n", dir)
		for _, f := range found {
			fmt.Fprintln(&got, f)
		}
		if n := len(lint.Check(View("store", cfg, nil))); n != len(found) {
			t.Errorf("%s: %d findings without files, %d with files", dir, n, len(found))
		}
		if diff := lint.Against(View("store", cfg, nil), v); len(diff) > 0 {
			t.Errorf("%s: differences from itself: %v", dir, diff)
		}
		return v
	}
	a, b := read("a"), read("b")
	read("lint")
	got.WriteString("# b against a\n")
	for _, f := range lint.Against(a, b) {
		fmt.Fprintln(&got, f)
	}
	golden.Equal(t, "check.golden", got.String())
}
