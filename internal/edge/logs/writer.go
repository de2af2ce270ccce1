// Package logs writes structured logs without ever blocking a request: lines
// wait in a bounded buffer and are dropped and counted when it is full, and
// repeated lines are sampled.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queued is the number of batches that wait to be written.
	queued = 64
	// batchBytes is the size at which a batch is handed to the writer;
	// flushEvery is the longest time that a line waits.
	batchBytes = 8 << 10
	flushEvery = 200 * time.Millisecond
	// closeWait bounds the wait for a reader that has stopped reading.
	closeWait = 500 * time.Millisecond
)

// Writer passes lines on to another writer from a goroutine of its own. Write
// never blocks.
type Writer struct {
	out     io.Writer
	batches chan []byte
	dropped atomic.Int64

	mu     sync.Mutex
	batch  []byte
	lines  int64
	closed bool

	stop chan struct{}
	done chan struct{}
}

// NewWriter starts a writer to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, batches: make(chan []byte, queued), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write takes one line. It drops the line if the buffer is full.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		w.dropped.Add(1)
		return len(p), nil
	}
	w.batch = append(w.batch, p...)
	w.lines++
	if len(w.batch) >= batchBytes {
		w.hand()
	}
	return len(p), nil
}

// hand passes the batch to the goroutine, or drops it.
func (w *Writer) hand() {
	if len(w.batch) == 0 {
		return
	}
	select {
	case w.batches <- w.batch:
	default:
		w.dropped.Add(w.lines)
	}
	w.batch = nil
	w.lines = 0
}

// Sync hands on what waits; it does not wait for it to be written.
func (w *Writer) Sync() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hand()
	return nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits, but waits at most half a second for a reader that
// has stopped reading.
func (w *Writer) Close() error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	w.hand()
	w.closed = true
	close(w.stop)
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
	return nil
}

func (w *Writer) run() {
	defer close(w.done)
	t := time.NewTicker(flushEvery)
	defer t.Stop()
	var told int64
	for {
		select {
		case b := <-w.batches:
			w.write(b)
		case <-t.C:
			told = w.tell(told)
			_ = w.Sync() // it returns no error
		case <-w.stop:
			w.drain()
			return
		}
	}
}

func (w *Writer) drain() {
	for {
		select {
		case b := <-w.batches:
			w.write(b)
		default:
			return
		}
	}
}

// tell writes a line when more lines were dropped since told.
func (w *Writer) tell(told int64) int64 {
	n := w.dropped.Load()
	if n == told {
		return told
	}
	w.write(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d,\"total\":%d}\n", n-told, n))
	return n
}

// write passes a batch on. A failure can't be logged: it is counted as a
// dropped line.
func (w *Writer) write(b []byte) {
	if _, err := w.out.Write(b); err != nil {
		w.dropped.Add(1)
	}
}
