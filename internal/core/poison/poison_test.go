package poison

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/pick"
)

var start = time.Unix(1e9, 0)

// at returns a time in seconds after start.
func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func process(i int) pick.Process { return pick.Process{ID: fmt.Sprintf("s%d", i), Born: int64(i)} }

// parts returns the parts with the given identifiers.
func parts(ids ...string) []Part {
	var list []Part
	for _, id := range ids {
		list = append(list, NewPart(id))
	}
	return list
}

// crashAt makes a process end under requests with the given parts, one slice each.
func crashAt(d *Detector, i int, s float64, requests ...[]Part) []Change {
	for _, r := range requests {
		d.Broken(process(i), r, at(s), at(s))
	}
	return d.Ended(process(i), at(s+0.1))
}

func refused(d *Detector, s float64, ids ...string) bool {
	return refuses(d, s, parts(ids...))
}

// TestSuspect guards against a part that is not found although servers crash under it, and
// against the suspicion of parts that the requests with it share with others.
func TestSuspect(t *testing.T) {
	d := NewDetector()
	d.Begun(parts("guide"), at(0))
	for i := range 3 {
		if refused(d, 1+float64(i), "guide", "dead") {
			t.Fatalf("refused after %d crashes", i)
		}
		crashAt(d, i, 1+float64(i), parts("guide", "dead"), parts("other"), parts("guide"))
	}
	if !refused(d, 5, "guide", "dead") {
		t.Error("the part is not suspected after three crashes")
	}
	if refused(d, 5, "guide", "fine") || refused(d, 5, "guide") {
		t.Error("requests with the other part are refused")
	}
	if d.Suspects() != 1 {
		t.Errorf("%d parts are suspected", d.Suspects())
	}
}

// TestNotSuspected guards against wrong suspicions: of parts in use when many servers end at
// once, when servers crash by turns, or when they break off requests and go on.
func TestNotSuspected(t *testing.T) {
	for name, f := range map[string]func(d *Detector){
		"all servers at once": func(d *Detector) {
			for i := range 20 {
				crashAt(d, i, 1+float64(i)/50, parts("guide"))
			}
		},
		"servers by turns": func(d *Detector) {
			for i := range 20 {
				crashAt(d, i, float64(i), parts("guide"))
				d.Begun(parts("guide"), at(float64(i)+0.5))
			}
		},
		"processes that go on": func(d *Detector) {
			for i := range 20 {
				d.Broken(process(i), parts("guide"), at(float64(i)), at(float64(i)))
			}
			d.Listed(map[pick.Process]bool{process(19): true}, at(60))
		},
		"one process": func(d *Detector) {
			for i := range 20 {
				crashAt(d, 1, float64(i), parts("guide"))
			}
		},
		"long ago": func(d *Detector) {
			for i := range 3 {
				crashAt(d, i, 400*float64(i), parts("guide"))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			d := NewDetector()
			f(d)
			if d.Suspects() > 0 {
				t.Error("the part is suspected")
			}
		})
	}
}

// TestPositionOfPart guards against suspecting a shared part instead of the one that makes
// servers crash, wherever it is in the prompt and whether or not it was harmless before.
func TestPositionOfPart(t *testing.T) {
	for _, prompt := range [][]string{{"dead", "guide"}, {"guide", "dead"}, {"guide", "dead", "terms"}, {"terms", "guide", "dead"}} {
		for _, before := range []bool{false, true} {
			d := NewDetector()
			if before {
				d.Begun(parts("dead"), at(0))
			}
			for i := range 3 {
				d.Begun(parts("guide", "terms"), at(float64(i)+0.5))
				crashAt(d, i, 1+float64(i), parts(prompt...))
			}
			if !refused(d, 5, prompt...) {
				t.Errorf("%v: not refused", prompt)
			}
			if refused(d, 5, "guide", "terms") {
				t.Errorf("%v: requests with other parts are refused", prompt)
			}
		}
	}
}

// TestReportWithSharedPart guards against suspecting a part that other requests share because
// a report names it before the part that makes servers crash.
func TestReportWithSharedPart(t *testing.T) {
	for i := range 50 {
		guide, dead := fmt.Sprint("guide", i), fmt.Sprint("dead", i)
		a, b := NewDetector(), NewDetector()
		for i := range 3 {
			a.Broken(process(i), parts(guide, dead), at(float64(i)), at(float64(i)))
			b.Broken(process(i), parts(guide, fmt.Sprint("other", i)), at(float64(i)), at(float64(i)))
		}
		for i := range 3 {
			a.Ended(process(i), at(3))
		}
		a.suspects = make(map[Part]*suspect) // the report holds crashes only
		b.Merge(a.Report(Own, at(4)), Region, at(4.1))
		if !refused(b, 5, dead) || refused(b, 5, guide) {
			t.Fatalf("report %+v: suspects %v", a.Report(Own, at(4)), b.suspects)
		}
	}
}

// TestWrongSuspicionEnds guards against a wrong suspicion that lasts: a response that begins
// shows it, on all hosts, and it does not come back from a host that has not heard of it.
func TestWrongSuspicionEnds(t *testing.T) {
	a, b := NewDetector(), NewDetector()
	for i := range 3 {
		crashAt(a, i, 1+float64(i), parts("guide"))
	}
	b.Merge(a.Report(Own, at(4)), Region, at(4.1))
	if !refused(a, 4.2, "guide") || !refused(b, 4.2, "guide") {
		t.Fatal("not suspected at first")
	}
	late := b.Report(Own, at(4.4))
	if c := a.Begun(parts("guide"), at(4.3)); len(c) != 1 || !c[0].Cleared {
		t.Errorf("changes %+v", c)
	}
	a.Merge(late, Region, at(4.5))
	if refused(a, 4.6, "guide") {
		t.Error("the suspicion came back")
	}
	b.Merge(a.Report(Own, at(4.6)), Region, at(4.7))
	if refused(b, 4.8, "guide") {
		t.Error("the other host still suspects the part")
	}
}

// TestProbeOfHostCutOff guards against probes of two hosts at a time: one that was allowed a probe
// gets no request for it, is cut off, and another host is allowed the next one.
func TestProbeOfHostCutOff(t *testing.T) {
	a, b := NewDetector(), NewDetector()
	for i := range 3 {
		crashAt(a, i, 1+float64(i), parts("dead"))
	}
	b.Merge(a.Report(Own, at(4)), Region, at(4.1))
	record := Record{Part: NewPart("dead"), Rev: eras.Revision{Count: 5}}
	a.Records([]Record{record}, at(5))
	b.Records([]Record{record}, at(5))
	refused(a, 30, "dead")
	w := a.Writes(false, at(30))
	if len(w) != 1 {
		t.Fatalf("writes %+v", w)
	}
	w[0].Rev.Count = 9
	b.Records(w, at(30.5))
	a.Written(w[0], at(31.5)) // the answer of the store came late
	refused(b, 75.6, "dead")
	w = b.Writes(false, at(75.6))
	if len(w) != 1 || w[0].Probes != 2 {
		t.Fatalf("writes %+v", w)
	}
	b.Written(w[0], at(75.7))
	if v := b.Check(parts("dead"), at(75.8)); !v.Probe {
		t.Fatalf("the host that has replaced the record may not probe: %+v", v)
	}
	if !refused(a, 75.9, "dead") {
		t.Error("a host that is cut off sends the probe before the last as well")
	}
	a.Records(w, at(76))
	a.ReturnProbe(NewPart("dead")) // which it had sent before
	if !refused(a, 76.1, "dead") {
		t.Error("a host sends a returned probe again although another one was allowed the next")
	}
}

// TestProbeListedBeforeAnswer guards against a probe that no host sends: the host that has replaced the
// record reads it before the store's answer to its write arrives.
func TestProbeListedBeforeAnswer(t *testing.T) {
	d := NewDetector()
	for i := range 3 {
		crashAt(d, i, 1+float64(i), parts("dead"))
	}
	d.Records([]Record{{Part: NewPart("dead"), Rev: eras.Revision{Count: 5}}}, at(5))
	refused(d, 30, "dead")
	w := d.Writes(false, at(30))
	if len(w) != 1 {
		t.Fatalf("writes %+v", w)
	}
	w[0].Rev.Count = 9
	d.Records(w, at(30.5))
	d.Written(w[0], at(31))
	if refused(d, 31.1, "dead") {
		t.Error("the host that has replaced the record sends no probe")
	}
	if !refused(d, 31.2, "dead") {
		t.Error("it sends another one")
	}
	d.Records(nil, at(32)) // the store was restored from a copy
	w = d.Writes(true, at(34))
	if len(w) != 1 || w[0].Probes != 1 {
		t.Fatalf("writes %+v", w)
	}
	d.Written(w[0], at(34))
	if !refused(d, 34.1, "dead") {
		t.Error("it sends another one since it has written the record again")
	}
}

// TestProbeAfterUnusedOne guards against a part that is never probed again since the host that was
// allowed a probe got no request for it in time.
func TestProbeAfterUnusedOne(t *testing.T) {
	d := NewDetector()
	for i := range 3 {
		crashAt(d, i, 1+float64(i), parts("dead"))
	}
	record := Record{Part: NewPart("dead"), Rev: eras.Revision{Count: 5}}
	d.Records([]Record{record}, at(5))
	refused(d, 30, "dead")
	for _, w := range d.Writes(false, at(30)) {
		d.Written(w, at(30))
	}
	if !refused(d, 200, "dead") {
		t.Error("a probe is sent after another host may have been allowed the next one")
	}
	if w := d.Writes(false, at(200)); len(w) != 1 || w[0].Probes != 2 {
		t.Errorf("writes %+v", w)
	}
}

// TestProbe guards against a suspicion that never ends for lack of requests, and against
// probes of more than one host at a time.
func TestProbe(t *testing.T) {
	a, b := NewDetector(), NewDetector()
	for i := range 3 {
		crashAt(a, i, 1+float64(i), parts("dead"))
	}
	b.Merge(a.Report(Own, at(4)), Region, at(4.1))
	if w := a.Writes(false, at(4.2)); len(w) != 1 || w[0].Probes != 0 {
		t.Fatalf("writes %+v", w)
	}
	if w := b.Writes(true, at(4.2)); len(w) != 0 {
		t.Fatalf("the other host writes %+v at once", w)
	}
	record := Record{Part: NewPart("dead"), Rev: eras.Revision{Count: 5}}
	a.Written(record, at(4.3))
	a.Records([]Record{record}, at(5))
	b.Records([]Record{record}, at(5))
	v := a.Check(parts("guide", "dead"), at(10))
	if !v.Refuse || v.Index != 1 || v.Wait <= 0 || v.Wait > hold(record.Part, 0) {
		t.Errorf("verdict %+v", v)
	}
	refused(b, 30, "dead")
	w := b.Writes(false, at(30))
	if len(w) != 1 || w[0].Probes != 1 || w[0].Rev != record.Rev {
		t.Fatalf("writes %+v", w)
	}
	w[0].Rev.Count = 9
	b.Written(w[0], at(30.1))
	a.Records(w, at(30.2))
	if !refused(a, 30.3, "dead") || len(a.Writes(true, at(31))) > 0 {
		t.Error("a host that has not replaced the record may probe")
	}
	if v := b.Check(parts("dead"), at(30.4)); !v.Probe {
		t.Errorf("verdict %+v", v)
	}
	if !refused(b, 30.5, "dead") {
		t.Error("a second probe is allowed")
	}
	b.ReturnProbe(NewPart("dead"))
	if v := b.Check(parts("dead"), at(30.6)); !v.Probe {
		t.Errorf("a returned probe is not allowed: %+v", v)
	}
	b.Begun(parts("dead"), at(30.7))
	r := b.Removals(false)
	if len(r) != 1 || r[0].Rev.Count != 9 {
		t.Fatalf("removals %+v", r)
	}
	b.Removed(r[0])
	if r := b.Removals(true); len(r) != 0 {
		t.Errorf("removals %+v of a record that was removed", r)
	}
	a.Merge(b.Report(Own, at(30.8)), Region, at(30.9))
	if r := a.Removals(false); len(r) != 0 {
		t.Errorf("a host that has not seen the response removes %+v", r)
	}
	if r := a.Removals(true); len(r) != 1 {
		t.Errorf("the first host of a region removes %+v", r)
	}
}

// TestRecordOutlivesHosts guards against forgetting a suspicion when all hosts restart.
func TestRecordOutlivesHosts(t *testing.T) {
	d := NewDetector()
	record := Record{Part: NewPart("dead"), Probes: 1, Rev: eras.Revision{Count: 5}}
	if c := d.Records([]Record{record}, at(1)); len(c) != 1 {
		t.Errorf("changes %+v", c)
	}
	if !refused(d, 2, "dead") {
		t.Error("not refused")
	}
	// A response that began shortly before shows that the record is outdated.
	d = NewDetector()
	d.Begun(parts("dead"), at(0))
	d.Records([]Record{record}, at(1))
	if refused(d, 2, "dead") {
		t.Error("refused although a response has just begun")
	}
}

// TestBounds guards against state and reports that grow with the parts that callers make up.
func TestBounds(t *testing.T) {
	d := NewDetector()
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 300 {
		s := float64(i) / 2
		for range 20 {
			var made []Part
			for range 2 * MaxParts {
				made = append(made, Part(rng.Uint64()))
			}
			d.Begun(made, at(s))
			d.Broken(process(i), made, at(s), at(s))
		}
		changes := crashAt(d, i, s, parts("dead"))
		if len(changes) > 0 && changes[0].Part != NewPart("dead") {
			t.Errorf("changes %+v", changes)
		}
	}
	r := d.Report(Own, at(200))
	if len(d.crashed) > maxCrashed || len(d.pending) > maxPending || len(d.ended) > maxEnded || len(d.suspects) > maxSuspects || len(d.begun.newer) > maxGeneration {
		t.Errorf("%d parts, %d pending, %d ended, %d suspects, %d begun", len(d.crashed), len(d.pending), len(d.ended), len(d.suspects), len(d.begun.newer))
	}
	if len(r.Crashes) > maxReportedCrashes || len(r.Begun) > maxReportedBegun {
		t.Errorf("report of %d crashes and %d begun", len(r.Crashes), len(r.Begun))
	}
	if !refused(d, 200, "dead") {
		t.Error("the part that makes servers crash is not suspected")
	}
}

// TestCrashesAtManyHosts guards against crashes that are seen at one host each and are not
// added up, over hosts of a region and over regions, also if reports are lost.
func TestCrashesAtManyHosts(t *testing.T) {
	hosts := make([]*Detector, 6) // the first three in one region
	for i := range hosts {
		hosts[i] = NewDetector()
	}
	for i := range 3 {
		d := hosts[i*2]
		crashAt(d, i, 1+float64(i), parts("guide", "dead"))
		for _, d := range hosts {
			d.Begun(parts("guide"), at(1.5+float64(i)))
		}
		for j, from := range hosts {
			for k, to := range hosts {
				switch {
				case j == k || (i+j+k)%5 == 0: // lost
				case j/3 == k/3:
					to.Merge(from.Report(Own, at(1.6+float64(i))), Region, at(1.7+float64(i)))
				default:
					to.Merge(from.Report(Region, at(1.6+float64(i))), Remote, at(1.8+float64(i)))
				}
			}
		}
	}
	for i, d := range hosts {
		for j, from := range hosts {
			if i != j {
				d.Merge(from.Report(Region, at(5)), Remote, at(5.1))
			}
		}
		if !refused(d, 6, "guide", "dead") || refused(d, 6, "guide") {
			t.Errorf("host %d: %v", i, d.Report(Remote, at(6)))
		}
	}
}

// BenchmarkFull measures the state of a detector that is filled with parts that callers make
// up, and the time of one more crash and of a report.
func BenchmarkFull(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d := NewDetector()
	rng := rand.New(rand.NewPCG(1, 1))
	made := func() []Part {
		list := make([]Part, MaxParts)
		for i := range list {
			list[i] = Part(rng.Uint64())
		}
		return list
	}
	for i := range 300 {
		for range 20 {
			d.Begun(made(), at(float64(i)))
			d.Broken(process(i), made(), at(float64(i)), at(float64(i)))
		}
		d.Ended(process(i), at(float64(i)))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	i := 300
	for b.Loop() {
		crashAt(d, i, 300, made())
		d.Report(Own, at(300))
		i++
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "state-bytes")
}
