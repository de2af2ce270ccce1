package cmds_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/yuccalb/yuccalb/internal/cli/cmds"
)

// TestReplay guards against invalid input that exits with success, and against a
// report that counts requests other than those of the trace.
func TestReplay(t *testing.T) {
	file := filepath.Join(t.TempDir(), "t.csv")
	if err := os.WriteFile(file, []byte("0,west,a,ask,g,32,64,8\n5,west,b,ask,g,32,64,8\n"), 0o644); err != nil {
		t.Fatal(err)
	}
	for _, args := range [][]string{{}, {"--policy", "nearest"}, {"--policy", "two", "--seeds", "0"}} {
		var out, errs bytes.Buffer
		if code := cmds.Run(append([]string{"replay", file}, args...), &out, &errs); code != cmds.ExitInput {
			t.Errorf("replay with %q: exit code %d, want %d", args, code, cmds.ExitInput)
		}
	}
	var out, errs bytes.Buffer
	if code := cmds.Run([]string{"replay", file, "--policy", "expected", "--seeds", "2", "--json"}, &out, &errs); code != cmds.ExitOK {
		t.Fatalf("exit code %d: %s", code, &errs)
	}
	var got struct {
		Requests int     `json:"requests"`
		P99      float64 `json:"p99"`
	}
	if err := json.Unmarshal(out.Bytes(), &got); err != nil || got.Requests != 2*3*2 || got.P99 <= 0 {
		t.Errorf("report %s, error %v, want 12 requests (2 seeds, 3 passes, 2 rows) and a p99", &out, err)
	}
}
