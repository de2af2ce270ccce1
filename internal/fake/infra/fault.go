package infra

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Part is a service of the platform that can fail independently.
type Part string

// Parts of the platform.
const (
	PartKV        Part = "kv"
	PartHosts     Part = "hosts"
	PartDirectory Part = "directory"
	PartWeights   Part = "weights"
)

// Duration is a time.Duration whose JSON form is a string such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Fault is an injected fault of a part. The zero value is a healthy part.
type Fault struct {
	// Slow is the delay before a call takes effect.
	Slow time.Duration
	// Down rejects calls with status 503 and ends waiting watches the same way.
	Down bool
	// Hang makes calls wait without effect until the client cancels them. Waiting
	// watches hang, too.
	Hang bool
	// Lose is the number of writes that take effect but whose response is lost;
	// -1 means all. Puts, deletes, lease calls and directory calls, also reads of
	// the directory, are writes in this sense.
	Lose int
	// Old is the number of key-value reads, lists and watches that return the
	// state before the last change of each key; -1 means all.
	Old int
	// OldKey limits Old to gets and watches of one key.
	OldKey string
	// Lag replaces Options.Lag, the age of the host list, if it is not 0.
	Lag time.Duration
}

// faultBody is the JSON form of a Fault. An empty part means all parts.
type faultBody struct {
	Part Part     `json:"part"`
	Slow Duration `json:"slow"`
	Down bool     `json:"down"`
	Hang bool     `json:"hang"`
	Lose int      `json:"lose"`
	Old  int      `json:"old"`
	Lag  Duration `json:"lag"`
}

// SetFault replaces the fault of a part; an empty part means all parts.
// Except for waiting watches, calls in progress are not affected.
func (p *Platform) SetFault(part Part, f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	parts := []Part{part}
	if part == "" {
		parts = []Part{PartKV, PartHosts, PartDirectory, PartWeights}
	}
	for _, name := range parts {
		partFault := f // each part has its own counters
		p.faults[name] = &partFault
	}
	p.kv.notify()
}

// postFault serves POST /fault.
func (p *Platform) postFault(w http.ResponseWriter, r *http.Request) {
	data, err := readBody(w, r)
	var b faultBody
	if err == nil {
		err = json.Unmarshal(data, &b)
	}
	switch b.Part {
	case "", PartKV, PartHosts, PartDirectory, PartWeights:
	default:
		err = fmt.Errorf("part %q does not exist", b.Part)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFault(b.Part, Fault{
		Slow: time.Duration(b.Slow), Down: b.Down, Hang: b.Hang, Lose: b.Lose, Old: b.Old, Lag: time.Duration(b.Lag),
	})
	w.WriteHeader(http.StatusNoContent)
}

// callFault is the fault that applies to one call.
type callFault struct {
	Fault
	lose, old bool // lose the response, return old data
}

// readsKey reports whether a call reads or watches key; an empty key matches all calls.
func readsKey(r *http.Request, key string) bool {
	return key == "" || r.PathValue("key") == key || r.URL.Query().Get("key") == key
}

// beginCall counts a call and returns the fault that applies to it.
func (p *Platform) beginCall(part Part, call Call) callFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count(call).Calls++
	f := p.faults[part]
	if f == nil {
		return callFault{}
	}
	a := callFault{Fault: *f}
	if f.Down || f.Hang {
		return a
	}
	if call == CallPut || call == CallDelete || call == CallLease || call == CallDirectory {
		a.lose = consume(&f.Lose)
	}
	if call == CallGet || call == CallList || call == CallWatch {
		a.old = consume(&f.Old)
	}
	return a
}

// consume decrements *n if it is positive, and reports whether it was not 0. A negative
// value is unlimited.
func consume(n *int) bool {
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
	}
	return true
}
