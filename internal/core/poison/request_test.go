package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/eras"
)

// deadly is the request that makes servers crash in these tests.
var deadly = NewRequest("/chat/x", "workshop", []byte("dead"))

// with returns the parts of a prompt followed by a whole request.
func with(whole Part, ids ...string) []Part { return append(parts(ids...), whole) }

// sound returns a request of its own.
func sound(i int) Part { return NewRequest("/chat/x", "workshop", fmt.Append(nil, i)) }

// refuses reports whether a detector refuses a request at a time in seconds.
func refuses(d *Detector, s float64, list []Part) bool { return d.Check(list, at(s)).Refuse }

// TestNewRequest guards against requests of other callers, to other paths or with other
// bodies that are taken for the same one.
func TestNewRequest(t *testing.T) {
	seen := make(map[Part]bool)
	for _, r := range []Part{
		deadly, NewRequest("/chat/y", "workshop", []byte("dead")), NewRequest("/chat/x", "shop", []byte("dead")),
		NewRequest("/chat/x", "workshop", nil), NewRequest("/chat/xworkshop", "", []byte("dead")),
	} {
		if !r.Whole() || seen[r] {
			t.Errorf("request %v: whole %v, seen %v", r, r.Whole(), seen[r])
		}
		seen[r] = true
	}
	if NewPart("dead").Whole() || NewRequest("/chat/x", "workshop", []byte("dead")) != deadly {
		t.Error("a part of prompts is taken for a request, or a request differs from itself")
	}
}

// TestRequestSuspected guards against a request that ends server after server because all of
// its parts are in sound requests as well, or because it has none.
func TestRequestSuspected(t *testing.T) {
	for name, ids := range map[string][]string{"no parts": nil, "shared parts": {"guide", "terms"}, "parts of its own": {"mine"}} {
		t.Run(name, func(t *testing.T) {
			d := NewDetector()
			for i := range 3 {
				s := float64(i)
				if refuses(d, s, with(deadly, ids...)) {
					t.Fatalf("refused after %d crashes", i)
				}
				crashAt(d, i, s, with(deadly, ids...), with(sound(i), "guide", "terms"))
				d.Begun(parts("guide", "terms"), at(s+0.3))
				d.Begun([]Part{sound(i)}, at(s+0.4))
			}
			if !refuses(d, 4, with(deadly, ids...)) {
				t.Error("the request is not suspected after three crashes")
			}
			if refuses(d, 4, with(sound(1), "guide", "terms")) || d.Suspects() != 1 {
				t.Errorf("others are refused: %v", d.suspects)
			}
		})
	}
}

// TestResentRequest guards against counting the crashes of a request and of its retries, which
// follow within milliseconds, as one; and against suspecting a request that is at several
// servers when all of them end at once.
func TestResentRequest(t *testing.T) {
	d := NewDetector()
	for i := range 3 {
		sent := at(1 + float64(i)/20)
		d.Broken(process(i), []Part{deadly}, sent, sent.Add(20*time.Millisecond))
		d.Ended(process(i), at(2))
	}
	if !refuses(d, 3, []Part{deadly}) {
		t.Error("three crashes one after the other do not count apart")
	}
	d = NewDetector()
	for i := range 20 {
		d.Broken(process(i), []Part{deadly}, at(1), at(1.5+float64(i)/50))
		d.Ended(process(i), at(2))
	}
	if refuses(d, 3, []Part{deadly}) {
		t.Error("a request is suspected because all servers ended at once")
	}
}

// TestPartOfRepeatedRequests guards against a part of prompts that is found late because the
// request that had it first was sent again and was suspected in its place.
func TestPartOfRepeatedRequests(t *testing.T) {
	d := NewDetector()
	for i := range 3 {
		crashAt(d, i, float64(i), with(deadly, "guide", "dead"))
		d.Begun(parts("guide"), at(float64(i)+0.3))
	}
	for i := range 2 {
		crashAt(d, 10+i, 4+float64(i), with(sound(i), "guide", "dead"))
		d.Begun(parts("guide"), at(4.3+float64(i)))
	}
	if !refuses(d, 6, with(sound(5), "guide", "dead")) || refuses(d, 6, with(sound(6), "guide")) {
		t.Errorf("suspects after five crashes: %v", d.suspects)
	}
}

// TestProbesOfRequest guards against a request that ends a server with each probe for ever,
// and against a suspicion that lasts although the request no longer comes.
func TestProbesOfRequest(t *testing.T) {
	d := NewDetector()
	for i := range 3 {
		crashAt(d, i, float64(i), []Part{deadly})
	}
	record := Record{Part: deadly, Rev: eras.Revision{Count: 1}}
	d.Written(record, at(4))
	sent := 0
	for s := 5.0; s < 3600; s++ {
		v := d.Check([]Part{deadly}, at(s))
		switch {
		case v.Probe:
			sent++
			crashAt(d, 10+sent, s, []Part{deadly})
		case !v.Refuse || v.Wait < minWait || v.Wait > suspectTTL:
			t.Fatalf("after %v s: %+v", s, v)
		}
		for _, w := range d.Writes(true, at(s)) {
			w.Rev.Count++
			d.Written(w, at(s))
		}
		d.Report(Own, at(s)) // removes what is too old
	}
	if sent != len(requestHolds) {
		t.Errorf("%d probes within an hour, want %d", sent, len(requestHolds))
	}
	d.Report(Own, at(3600).Add(suspectTTL))
	if refuses(d, 3600+suspectTTL.Seconds()+1, []Part{deadly}) {
		t.Error("still suspected long after the last request")
	}
}

// TestWrongSuspicionOfRequest guards against refusing a request after a complete response to
// it on another host, and against one that begins and breaks off counting as such.
func TestWrongSuspicionOfRequest(t *testing.T) {
	a, b := NewDetector(), NewDetector()
	for i := range 3 {
		crashAt(a, i, float64(i), with(deadly, "guide"))
		a.Begun(parts("guide"), at(float64(i)+0.5))
	}
	b.Merge(a.Report(Own, at(4)), Region, at(4.1))
	if !refuses(a, 4.2, []Part{deadly}) || !refuses(b, 4.2, []Part{deadly}) {
		t.Fatal("not suspected at first")
	}
	b.Begun([]Part{deadly}, at(4.3))
	a.Merge(b.Report(Own, at(4.4)), Region, at(4.5))
	if refuses(a, 4.6, []Part{deadly}) || refuses(b, 4.6, []Part{deadly}) {
		t.Error("still suspected")
	}
}

// TestRequestAmongMany guards against a request that is not found because reports are full of
// the requests that its servers took with them, each crash at another host and region.
func TestRequestAmongMany(t *testing.T) {
	hosts := make([]*Detector, 6) // the first three in one region
	for i := range hosts {
		hosts[i] = NewDetector()
	}
	n := 0
	for i := range 3 {
		others := [][]Part{{deadly}}
		for range 60 {
			n++
			others = append(others, []Part{sound(n)})
		}
		crashAt(hosts[i*2], i, float64(i), others...)
		for j := 1; j < len(others)-10; j++ {
			hosts[i*2].Begun(others[j], at(float64(i)+0.4))
		}
		for range 2 {
			for j, from := range hosts {
				for k, to := range hosts {
					switch {
					case j == k:
					case j/3 == k/3:
						to.Merge(from.Report(Own, at(float64(i)+0.5)), Region, at(float64(i)+0.5))
					default:
						to.Merge(from.Report(Region, at(float64(i)+0.5)), Remote, at(float64(i)+0.6))
					}
				}
			}
		}
	}
	for i, d := range hosts {
		if !refuses(d, 4, []Part{deadly}) || d.Suspects() != 1 {
			t.Errorf("host %d: suspects %v", i, d.suspects)
		}
	}
}

// TestMemoryOfRequests guards against state for each request that is answered.
func TestMemoryOfRequests(t *testing.T) {
	d := NewDetector()
	for i := range 10_000 {
		d.Begun([]Part{sound(i)}, at(float64(i)/100))
	}
	if n := len(d.begun.newer) + len(d.begun.older); n > 0 {
		t.Errorf("%d requests are remembered", n)
	}
}

// TestReportsAfterManyCrashes guards against reports that are full for minutes after many servers
// have ended by themselves, of requests that came once; one that came again stays in them.
func TestReportsAfterManyCrashes(t *testing.T) {
	d := NewDetector()
	for i := range 28 {
		requests := [][]Part{{sound(1000 + i)}}
		if i%14 == 0 {
			requests = append(requests, []Part{deadly})
		}
		for j := range 15 {
			requests = append(requests, []Part{sound(20*i + j)})
		}
		crashAt(d, i, float64(i)/2, requests...)
	}
	if r := d.Report(Own, at(14.5)); len(r.Crashes) != maxReportedCrashes {
		t.Errorf("%d crashes in the report at first", len(r.Crashes))
	}
	r := d.Report(Own, at(14).Add(repeatTime+time.Second))
	if len(r.Crashes) != 2 || r.Crashes[0].Part != deadly || r.Crashes[1].Part != deadly {
		t.Errorf("report %+v later", r)
	}
}
