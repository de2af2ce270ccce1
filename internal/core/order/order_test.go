package order

import (
	"flag"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// init sets a fixed seed for property tests, which -rapid.seed on the command
// line overrides. Failures are not written to files, because later runs would
// replay them.
func init() {
	flag.Set("rapid.seed", "1")
	flag.Set("rapid.nofailfile", "true")
}

var (
	owner = netip.MustParseAddrPort("127.0.0.1:8001")
	start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
)

// TestBook guards against a ticket that runs twice. It checks a book with low
// limits on records and responses, all outcomes, and a clock that is set back.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook(owner, 7, Limits{TicketTTL: time.Minute, Records: 3, Bytes: 10})
		now := start
		var tickets []Ticket
		runs, open := map[string]int{}, map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-90, 90).Draw(t, "seconds")) * time.Second)
			if len(tickets) == 0 || rapid.IntRange(0, 3).Draw(t, "issue") == 0 {
				tickets = append(tickets, b.Issue("org", fmt.Sprint(len(tickets)), now))
			}
			tk := rapid.SampledFrom(tickets).Draw(t, "ticket")
			if open[tk.ID] && rapid.Bool().Draw(t, "finish") {
				o := Outcome{Run: rapid.SampledFrom([]model.Run{model.RunNo, model.RunUnknown}).Draw(t, "run")}
				if rapid.Bool().Draw(t, "done") {
					o = Outcome{Response: &Response{Body: make([]byte, rapid.IntRange(0, 12).Draw(t, "size"))}}
				} else if o.Run == model.RunNo {
					runs[tk.ID]--
				}
				b.Finish(tk.ID, o)
				open[tk.ID] = false
				continue
			}
			response, rejection := b.Begin(tk, "x", now, now.Add(time.Second))
			if response == nil && rejection == nil {
				runs[tk.ID]++
				open[tk.ID] = true
			}
			if rejection != nil && rejection.Run == model.RunNo && runs[tk.ID] > 0 {
				t.Errorf("ticket %s ran and is rejected with %v, run no", tk.ID, rejection)
			}
			if runs[tk.ID] > 1 {
				t.Errorf("ticket %s ran %d times", tk.ID, runs[tk.ID])
			}
			if b.Len() > 3 || b.bytes > 10 {
				t.Errorf("book holds %d records and %d bytes", b.Len(), b.bytes)
			}
		}
	})
}

// TestSigner guards against modified tickets, tickets signed with a revoked
// secret, and secrets that can't be rotated.
func TestSigner(t *testing.T) {
	old, current := []byte("0123456789abcdef"), []byte("fedcba9876543210")
	signer, _ := NewSigner(old)
	both, _ := NewSigner(current, old)
	next, _ := NewSigner(current)
	want := NewBook(owner, 7, Limits{}).Issue("org", "id", start)
	text, err := signer.Sign(want)
	if err != nil {
		t.Fatal(err)
	}
	got, rejection := both.Check(text, "org")
	if rejection != nil || !cmp.Equal(got, want, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })) {
		t.Errorf("ticket %+v, rejection %v, want %+v", got, rejection, want)
	}
	if _, rejection := next.Check(text, "org"); rejection == nil || rejection.Run != model.RunUnknown {
		t.Errorf("ticket with a revoked secret: rejection %v, want one with run unknown", rejection)
	}
	for i := range text {
		changed := []byte(text)
		changed[i] ^= 1
		if _, rejection := signer.Check(string(changed), "org"); rejection == nil {
			t.Errorf("ticket with changed character %d was accepted", i)
		}
	}
	if _, err := NewSigner([]byte("short")); err == nil {
		t.Error("short secret was accepted")
	}
}

// TestRecordJSON guards against a change of the stored format, which hosts with
// different versions of the program read.
func TestRecordJSON(t *testing.T) {
	r := Record{State: StateRunning, Body: "b", Host: owner, Incarnation: 7, Nonce: "n", Until: start}
	r = r.Finish(Outcome{Response: &Response{Status: 200, Type: "application/json", Body: []byte("{}")}})
	const want = `{"state":"done","body":"b","host":"127.0.0.1:8001","incarnation":7,"nonce":"n",` +
		`"until":"2026-01-02T03:04:05Z","response":{"status":200,"type":"application/json","body":"e30="}}`
	data, err := r.Encode()
	if err != nil || string(data) != want {
		t.Errorf("record %s, error %v, want %s", data, err, want)
	}
	if _, err := DecodeRecord([]byte(`{"state":"other"}`)); err == nil {
		t.Error("unknown state was accepted")
	}
	if Digest([]byte("a"), []byte("bc")) == Digest([]byte("ab"), []byte("c")) {
		t.Error("digests of different parts are equal")
	}
}
