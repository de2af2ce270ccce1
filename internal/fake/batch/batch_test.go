package batch

import (
	"testing"
	"time"
)

var smallConfig = Config{Slots: 2, Memory: 10_000, Step: 10 * time.Millisecond, PrefillRate: 10_000, Chunk: 1000, EventTokens: 1}

// TestPrefillDelaysStreams guards against a simulation in which the prefill of
// one request does not slow down the other requests.
func TestPrefillDelaysStreams(t *testing.T) {
	e := New(smallConfig)
	stream := &Run{Prompt: 100, Output: 10}
	e.Add(stream)
	e.Advance(30 * time.Millisecond)
	e.Add(&Run{Prompt: 3000, Output: 1})
	e.Advance(time.Second)
	if want := 110 * time.Millisecond; stream.Pause != want {
		t.Errorf("the longest pause was %v, want %v", stream.Pause, want)
	}
}

// TestCachedParts guards against prefilling a part although it and all parts
// before it are cached, and against a cache hit on a part whose predecessors are
// not cached.
func TestCachedParts(t *testing.T) {
	root := Part{Key: 1, Tokens: 1000}
	e := New(smallConfig)
	for i, c := range []struct {
		parts           []Part
		prefilledShared int
	}{
		{[]Part{root, {2, 500}}, 1500},
		{[]Part{root, {3, 500}}, 500},
		{[]Part{root, {2, 500}}, 0},
		{[]Part{{4, 8000}}, 8000}, // evicts the least recently used parts
		{[]Part{root, {3, 500}}, 500},
	} {
		r := &Run{Parts: c.parts, Prompt: 100, Output: 1}
		for _, p := range c.parts {
			r.Prompt += p.Tokens
		}
		e.Add(r)
		e.Advance(e.now + 5*time.Second)
		if !r.Ended() || r.PrefilledShared != c.prefilledShared {
			t.Errorf("request %d: ended %v, prefilled %d shared tokens, want %d", i, r.Ended(), r.PrefilledShared, c.prefilledShared)
		}
	}
}
