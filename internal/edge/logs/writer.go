// Package logs writes structured logs without blocking requests. Lines wait in a
// bounded queue; they are dropped and counted when it is full. Lines about requests
// are sampled.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxBatches is the capacity of the queue of batches to be written.
	maxBatches = 64
	// batchBytes is the size at which a batch is queued, and flushInterval the
	// longest time before a line is queued.
	batchBytes    = 8 << 10
	flushInterval = 200 * time.Millisecond
	// closeTimeout bounds the time that Close waits, as the reader of the output
	// may have stopped reading.
	closeTimeout = 500 * time.Millisecond
)

// Writer writes lines to another writer in batches, from its own goroutine. Write
// never waits for the other writer.
type Writer struct {
	out     io.Writer
	batches chan []byte
	dropped atomic.Int64

	mu     sync.Mutex
	batch  []byte
	lines  int64 // in batch
	closed bool

	stop chan struct{}
	done chan struct{}
}

// NewWriter returns a Writer to out and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, batches: make(chan []byte, maxBatches), stop: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

// Write adds one line to the batch. It drops the line if w is closed.
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
		w.enqueue()
	}
	return len(p), nil
}

// enqueue queues the batch, or drops it if the queue is full. The caller holds w.mu.
func (w *Writer) enqueue() {
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

// Sync queues the current batch. It does not wait until the batch is written, and
// always returns nil.
func (w *Writer) Sync() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.enqueue()
	return nil
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the goroutine. It returns after half a
// second at the latest, even if the reader of the output has stopped reading.
func (w *Writer) Close() error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	w.enqueue()
	w.closed = true
	close(w.stop)
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
	return nil
}

// run writes the queued batches until the Writer is closed.
func (w *Writer) run() {
	defer close(w.done)
	t := time.NewTicker(flushInterval)
	defer t.Stop()
	var reported int64
	for {
		select {
		case b := <-w.batches:
			w.write(b)
		case <-t.C:
			reported = w.reportDropped(reported)
			_ = w.Sync() // it returns no error
		case <-w.stop:
			w.drain()
			return
		}
	}
}

// drain writes the batches that are left in the queue.
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

// reportDropped logs the number of lines dropped since reported, the previous total,
// if there are any. It returns the new total.
func (w *Writer) reportDropped(reported int64) int64 {
	n := w.dropped.Load()
	if n == reported {
		return reported
	}
	w.write(fmt.Appendf(nil, "{\"level\":\"warn\",\"msg\":\"log lines dropped\",\"lines\":%d,\"total\":%d}\n", n-reported, n))
	return n
}

// write writes a batch to the output. A failure can't be logged, so it is counted as
// one dropped line.
func (w *Writer) write(b []byte) {
	if _, err := w.out.Write(b); err != nil {
		w.dropped.Add(1)
	}
}
