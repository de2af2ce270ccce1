package batch

import (
	"testing"
	"time"
)

var small = Config{Slots: 2, Memory: 10_000, Step: 10 * time.Millisecond, Read: 10_000, Chunk: 1000, Event: 1}

// TestReadingHoldsUpStreams guards against a model in which reading a prompt
// costs the other requests nothing.
func TestReadingHoldsUpStreams(t *testing.T) {
	e := New(small)
	stream := &Run{Prompt: 100, Output: 10}
	e.Add(stream)
	e.Advance(30 * time.Millisecond)
	e.Add(&Run{Prompt: 3000, Output: 1})
	e.Advance(time.Second)
	if want := 110 * time.Millisecond; stream.Pause != want {
		t.Errorf("the longest pause was %v, want %v", stream.Pause, want)
	}
}

// TestCachedParts guards against parts that are read although they and all
// before them are cached, and against parts that are found without those.
func TestCachedParts(t *testing.T) {
	head := Part{Key: 1, Tokens: 1000}
	e := New(small)
	for i, c := range []struct {
		parts []Part
		again int
	}{
		{[]Part{head, {2, 500}}, 1500},
		{[]Part{head, {3, 500}}, 500},
		{[]Part{head, {2, 500}}, 0},
		{[]Part{{4, 8000}}, 8000}, // drops the parts used least recently
		{[]Part{head, {3, 500}}, 500},
	} {
		r := &Run{Parts: c.parts, Prompt: 100, Output: 1}
		for _, p := range c.parts {
			r.Prompt += p.Tokens
		}
		e.Add(r)
		e.Advance(e.now + 5*time.Second)
		if !r.Ended() || r.Again != c.again {
			t.Errorf("request %d: ended %v, read %d shared tokens, want %d", i, r.Ended(), r.Again, c.again)
		}
	}
}
