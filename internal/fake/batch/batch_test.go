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

// TestUrgency guards against an engine that lets more urgent requests wait behind others, that
// preempts requests which are as urgent, or that continues a preempted one without a prefill.
func TestUrgency(t *testing.T) {
	e := New(smallConfig)
	old, recent := &Run{Prompt: 1000, Output: 20, Urgency: 3}, &Run{Prompt: 1000, Output: 20, Urgency: 3}
	e.Add(old)
	e.Add(recent)
	e.Advance(250 * time.Millisecond) // both prefilled, and some tokens of each generated
	if old.decoded == 0 || recent.decoded == 0 {
		t.Fatal("the batch does not run both requests")
	}
	same, urgent := &Run{Prompt: 1000, Output: 1, Urgency: 3}, &Run{Prompt: 1000, Output: 1, Urgency: 2}
	e.Add(same)
	e.Advance(e.now + time.Millisecond)
	if old.Preempted+recent.Preempted > 0 {
		t.Error("a request was preempted by one that is as urgent")
	}
	e.Add(urgent)
	generated := recent.decoded
	e.Advance(e.now + 101*time.Millisecond) // one step with the prefill of the urgent request
	if old.Preempted != 0 || recent.Preempted != 1 || !urgent.Ended() {
		t.Errorf("preempted %d and %d times, want the newest once; urgent one ended: %v", old.Preempted, recent.Preempted, urgent.Ended())
	}
	e.Advance(e.now + time.Millisecond) // one step, with a chunk of 1000 tokens
	if recent.toPrefill != generated {
		t.Errorf("%d tokens of the preempted request are left to prefill, want %d: its prompt and what it had generated, without a chunk", recent.toPrefill, generated)
	}
	e.Advance(time.Minute)
	if !old.Ended() || !recent.Ended() || !same.Ended() || e.memory != 0 {
		t.Errorf("ended %v, %v and %v, %d tokens of memory held", old.Ended(), recent.Ended(), same.Ended(), e.memory)
	}
}

// TestUselessPreemption guards against preempting requests for one that finds no memory all
// the same, because the rest belongs to requests that are as urgent.
func TestUselessPreemption(t *testing.T) {
	e := New(Config{Slots: 3, Memory: 10_000, Step: 10 * time.Millisecond, PrefillRate: 10_000, Chunk: 1000, EventTokens: 1})
	urgent, other := &Run{Prompt: 5000, Output: 100}, &Run{Prompt: 3000, Output: 100, Urgency: 2}
	e.Add(urgent)
	e.Add(other)
	e.Advance(20 * time.Millisecond)
	e.Add(&Run{Prompt: 6000, Output: 100})
	e.Advance(40 * time.Millisecond)
	if other.Preempted != 0 {
		t.Error("a request was preempted although this makes too little room")
	}
}
