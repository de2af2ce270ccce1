package cmds_test

import (
	"bytes"
	"encoding/json"
	"fmt"
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
	for _, args := range [][]string{{}, {"--policy", "nearest"}, {"--policy", "two", "--seeds", "0"}, {"--policy", "two", "--pace", "0"}, {"--policy", "two", "--class", "ask"}, {"--policy", "two", "--class", "ask=10"}, {"--policy", "two", "--class", "ask=1,soon"}, {"--policy", "two", "--class", "ask=1", "--class", "ask=2"}} {
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

// classReport is the part of a report on one class.
type classReport struct {
	Route   string `json:"route"`
	Sent    int    `json:"sent"`
	Served  int    `json:"served"`
	InTime  int    `json:"in_time"`
	Late    int    `json:"late"`
	Refused int    `json:"refused"`
	Wait    struct {
		P99 float64 `json:"p99"`
	} `json:"refused_wait"`
}

// TestReplayClasses guards against a report by class that loses requests, and against engines
// that admit requests in the order of their arrival only. The load is 1.4 times what the
// engines can prefill, half of it of each of two routes that differ in their priority only.
func TestReplayClasses(t *testing.T) {
	const rows, measuredPasses = 2000, 2
	var trace bytes.Buffer
	for i := range rows {
		fmt.Fprintf(&trace, "%d,west,a,%s,,0,900,40\n", i*9, []string{"ask", "stock"}[i%2])
	}
	file := filepath.Join(t.TempDir(), "t.csv")
	if err := os.WriteFile(file, trace.Bytes(), 0o644); err != nil {
		t.Fatal(err)
	}
	run := func(args ...string) (urgent, other classReport) {
		t.Helper()
		var out, errs bytes.Buffer
		args = append([]string{"replay", file, "--policy", "expected", "--seeds", "1", "--class", "ask=3,3s", "--class", "stock=1,3s", "--json"}, args...)
		if code := cmds.Run(args, &out, &errs); code != cmds.ExitOK {
			t.Fatalf("exit code %d: %s", code, &errs)
		}
		var got struct {
			Classes []classReport `json:"classes"`
		}
		if err := json.Unmarshal(out.Bytes(), &got); err != nil || len(got.Classes) != 2 || got.Classes[0].Route != "stock" {
			t.Fatalf("report %s, error %v, want the classes stock and ask", &out, err)
		}
		for _, c := range got.Classes {
			if c.Sent != measuredPasses*rows/2 || c.Served+c.Refused != c.Sent || c.InTime+c.Late != c.Served {
				t.Errorf("%+v: not all requests of the measured passes are accounted for", c)
			}
		}
		return got.Classes[0], got.Classes[1]
	}
	urgent, other := run()
	if other.Late == 0 || urgent.InTime <= other.InTime {
		t.Errorf("%d of the more urgent requests are in time and %d of the others, of which %d are late", urgent.InTime, other.InTime, other.Late)
	}
	urgent, other = run("--fair")
	if n := urgent.Refused + other.Refused; n == 0 || max(urgent.Wait.P99, other.Wait.P99) <= 0 {
		t.Errorf("%d requests are refused, waits %+v and %+v", n, urgent.Wait, other.Wait)
	}
}
