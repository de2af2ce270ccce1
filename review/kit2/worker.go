package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval at which a backend server writes its entry. The entry expires after
// three of them.
const heartbeat = 1200 * time.Millisecond

// worker is a stand-in of a backend server, as a process of its own. The path of a request tells
// how it is answered, after the milliseconds of its last part: /stream/N/MS/WAIT is a stream of N events
// at intervals of MS milliseconds, and /body/N/0/WAIT a body of N bytes.
type worker struct {
	id, service, addr, zone, store string
	born                           int64
	seq                            atomic.Int64
	slots                          int
	// open is n if one in n answers ends with its connection, 0 if none does.
	open    int
	answers atomic.Int64
	// quiet keeps requests out of the record.
	quiet bool

	out   sync.Mutex // of the record on standard output
	mu    sync.Mutex
	state string
	// end is when the server is gone according to its entry, zero if that does not say.
	end   time.Time
	lease int64
	// gone is set once the entry is removed for good.
	gone bool
}

// runWorker runs a backend server until it is killed. It reads changes of its state from standard
// input, a line each: "drain MS" states that it leaves and is gone after MS milliseconds, "leave" that
// it leaves without a word: its entry is removed and it serves on.
func runWorker(args []string) int {
	w := &worker{state: "ready", born: time.Now().UnixMilli()}
	fs := flag.NewFlagSet("worker", flag.ExitOnError)
	fs.StringVar(&w.id, "id", "", "identifier")
	fs.StringVar(&w.service, "service", "desk", "service")
	fs.StringVar(&w.addr, "addr", "", "address to listen on")
	fs.StringVar(&w.zone, "zone", "a", "data centre")
	fs.StringVar(&w.store, "store", "", "address of the store")
	fs.IntVar(&w.slots, "slots", 64, "requests at once")
	fs.IntVar(&w.open, "open", 0, "one in so many answers ends with its connection, 0 for none")
	fs.BoolVar(&w.quiet, "quiet", false, "keep requests out of the record")
	_ = fs.Parse(args) // exits on an error
	l, err := net.Listen("tcp4", w.addr)
	if err != nil {
		fmt.Fprintln(os.Stderr, "worker:", err)
		return exitFailed
	}
	w.addr = l.Addr().String()
	if err := w.register(); err != nil {
		fmt.Fprintln(os.Stderr, "worker:", err)
		return exitFailed
	}
	go w.beat()
	go w.readCommands()
	w.print("listens", "", "")
	for {
		c, err := l.Accept()
		if err != nil {
			return exitFailed
		}
		go w.serve(c)
	}
}

// maxPrinted bounds an identifier in the record, in bytes.
const maxPrinted = 32

// print writes a line of the record.
func (w *worker) print(what, id, detail string) {
	if w.quiet && id != "" {
		return
	}
	w.out.Lock()
	defer w.out.Unlock()
	fmt.Printf("%s %s %s %s\n", w.id, what, id[:min(len(id), maxPrinted)], detail)
}

// readCommands carries out the lines of standard input. The worker ends with it.
func (w *worker) readCommands() {
	in := bufio.NewScanner(os.Stdin)
	for in.Scan() {
		if in.Text() == "leave" {
			w.mu.Lock()
			w.gone = true
			err := w.call("/-/kv-txn", storeTxn{Expect: []storeItem{}, Writes: []storeWrite{}, Remove: []string{"servers/" + w.id}}, nil)
			w.mu.Unlock()
			w.print("left", "", fmt.Sprint(err))
		}
		if ms, ok := strings.CutPrefix(in.Text(), "drain "); ok {
			n, _ := strconv.Atoi(ms) // the case sends a number
			w.mu.Lock()
			w.state, w.end = "draining", time.Now().Add(time.Duration(n)*time.Millisecond)
			w.mu.Unlock()
			if err := w.register(); err != nil {
				fmt.Fprintln(os.Stderr, "worker:", err)
			}
			w.print("draining", "", ms)
		}
	}
	os.Exit(exitHeld)
}

func (w *worker) beat() {
	for range time.Tick(heartbeat) {
		_ = w.register() // the next one makes up for it
	}
}

// register writes the entry of the worker under a lease of three heartbeats.
func (w *worker) register() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.gone {
		return nil
	}
	if w.lease != 0 && w.call(fmt.Sprintf("/-/kv-keep/%d", w.lease), struct{}{}, nil) != nil {
		w.lease = 0
	}
	if w.lease == 0 {
		var out struct {
			Lease int64 `json:"lease"`
		}
		if err := w.call("/-/kv-lease", map[string]int64{"ttl_ms": 3 * heartbeat.Milliseconds()}, &out); err != nil {
			return err
		}
		w.lease = out.Lease
	}
	entry := map[string]any{
		"service": w.service, "addr": w.addr, "zone": w.zone, "version": "v1", "slots": w.slots, "state": w.state,
		"warm_left_ms": 0, "born": w.born, "seq": w.seq.Add(1),
	}
	if !w.end.IsZero() {
		entry["remaining_ms"] = max(time.Until(w.end), 0).Milliseconds()
	}
	value, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	return w.call("/-/kv-txn", storeTxn{Expect: []storeItem{}, Writes: []storeWrite{{"servers/" + w.id, value, w.lease}}, Remove: []string{}}, nil)
}

// call sends a call to the store.
func (w *worker) call(path string, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+w.store+path, "application/json", bytes.NewReader(b))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }() // it was read
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("store answered %d to %s", resp.StatusCode, path)
	}
	if out == nil {
		return nil
	}
	return json.NewDecoder(resp.Body).Decode(out)
}

// serve serves the requests on a connection.
func (w *worker) serve(c net.Conn) {
	defer func() { _ = c.Close() }() // nothing is left to send
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !w.answer(c, r) {
			return
		}
	}
}

// answer answers a request and reports whether the connection stays open.
func (w *worker) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Attempt-Id")
	w.mu.Lock()
	leaving := w.state != "ready"
	w.mu.Unlock()
	head := "X-Attempt-Id: " + id + "\r\n"
	if leaving {
		head += "Server-Leaving: 1\r\n"
	}
	switch {
	case r.URL.Path == "/healthz":
		status := http.StatusOK
		if leaving {
			status = http.StatusServiceUnavailable
		}
		return send(c, "HTTP/1.1 %d X\r\n%sX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", status, head, w.id)
	case r.URL.Path == "/-/report":
		body := fmt.Sprintf(`{"stage":"colocated","models":[],"busy":false,"seq":0,"born":%d}`, w.born)
		return send(c, "HTTP/1.1 200 OK\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", head, len(body), body)
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != w.id:
		w.print("misdirected", id, r.Header.Get("X-Expect-Instance"))
		return send(c, "HTTP/1.1 421 X\r\n%sContent-Length: 0\r\n\r\n", head)
	}
	w.print("runs", id, r.Method+" "+r.RequestURI+" tenant="+r.Header.Get("X-Tenant")+" tokens="+r.Header.Get("X-Token-Counts"))
	head += "X-Server-Seal: seal-" + id[:min(len(id), maxPrinted)] + "\r\n"
	part := append(strings.Split(strings.Trim(r.URL.Path, "/"), "/"), "", "", "")
	n, _ := strconv.Atoi(part[1])    // 0 if it is no number
	ms, _ := strconv.Atoi(part[2])   // 0 if it is no number
	wait, _ := strconv.Atoi(part[3]) // 0 if it is no number
	open := w.open > 0 && w.answers.Add(1)%int64(w.open) == int64(w.open/2)
	time.Sleep(time.Duration(wait) * time.Millisecond)
	if part[0] == "stream" {
		return w.stream(c, id, head, n, time.Duration(ms)*time.Millisecond, open)
	}
	body := strings.Repeat("x", n)
	if open {
		send(c, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n\r\n%s", head, body)
		return false
	}
	return send(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

// stream sends a stream of events.
func (w *worker) stream(c net.Conn, id, head string, n int, pause time.Duration, open bool) bool {
	head += "Content-Type: text/event-stream\r\n"
	if open {
		head += "Connection: close\r\n"
	} else {
		head += "Transfer-Encoding: chunked\r\n"
	}
	if !send(c, "HTTP/1.1 200 OK\r\n%s\r\n", head) {
		return false
	}
	for i := 1; i <= n; i++ {
		event := fmt.Sprintf("id: %d\ndata: part %d of %d\n\n", i, i, n)
		if !open {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if !send(c, "%s", event) {
			w.print("cut", id, fmt.Sprintf("after event %d", i-1))
			return false
		}
		time.Sleep(pause)
	}
	w.print("ends", id, fmt.Sprintf("after event %d", n))
	if open {
		return false
	}
	return send(c, "0\r\n\r\n")
}

// send writes to a connection and reports whether that succeeded.
func send(c net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(c, format, args...)
	return err == nil
}
