package replay_test

import (
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/yuccalb/yuccalb/internal/fake/replay"
)

// TestReadErrors guards against replaying part of an invalid trace, and against
// errors without the line and the field.
func TestReadErrors(t *testing.T) {
	const good = "10,west,a,ask,g,16,32,8\n"
	for _, c := range []struct{ text, want string }{
		{"", "t.csv: the trace has no requests"},
		{good + "x,west,a,ask,g,16,32,8\n", `t.csv:2: time: "x" is not a whole number`},
		{good + "1700000000000,west,a,ask,g,16,32,8\n", `t.csv:2: time: "1700000000000" is not`},
		{good + "9,west,a,ask,g,16,32,8\n", `t.csv:2: time: "9" is before the line above`},
		{good + "\n11,west,a,ask,g,16,-1,8\n", `t.csv:3: prompt tokens: "-1" is not`},
		{"10,west,a,ask,g,33,32,8\n", "t.csv:1: shared tokens: 33 is more than"},
		{"10,west,a,ask,g,16,32,2000000\n", `t.csv:1: answer tokens: "2000000" is not`},
		{good + "10,west\n", "t.csv:2: 2 fields, want 8"},
		{good + "10,we\"st\n", "t.csv:2: column 6: bare"},
	} {
		rows, err := replay.Read(strings.NewReader(c.text), "t.csv")
		if err == nil || !strings.HasPrefix(err.Error(), c.want) || rows != nil {
			t.Errorf("Read(%q) = %d rows, error %v, want %q", c.text, len(rows), err, c.want)
		}
	}
}

// TestReplayRepeats guards against figures that differ between replays of the same
// trace and setup, and against generated rows that Read rejects.
func TestReplayRepeats(t *testing.T) {
	rows, err := replay.Read(strings.NewReader(replay.Generate("workshops", rand.New(rand.NewPCG(1, 1)))), "generated")
	if err != nil {
		t.Fatal(err)
	}
	s := replay.Setup{Policy: "expected", Regions: []string{"west"}, Servers: 4, Hosts: 2, Seed: 1, Passes: 1}
	if a, b := replay.Replay(rows, s).String(), replay.Replay(rows, s).String(); a != b {
		t.Errorf("figures differ: %s and %s", a, b)
	}
}
