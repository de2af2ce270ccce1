// Package ledger records in the store at which software version streams began, so that
// callers can take them up at any host, after all hosts have restarted too. Records of
// streams that begin at about the same time are written together.
package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/platform"
)

const (
	// flushInterval is how long a record waits for others: the store accepts few calls.
	flushInterval = 120 * time.Millisecond
	// writeTimeout bounds a call for records, readTimeout the look-up of one.
	writeTimeout = time.Second
	readTimeout  = time.Second
	// maxBatch bounds the records of a call. The rest of the call is for marks.
	maxBatch = platform.MaxStreams - 4
	// maxWriters bounds the calls in progress.
	maxWriters = 4
	// retryTime is how long a record is written again after failures: the stream may
	// still break off, and its caller take it up.
	retryTime  = 5 * time.Second
	retryPause = 200 * time.Millisecond
	// leaseTTL is the time to live of records. Those of streams that have ended are not
	// removed. After renewAge records get another lease, so that each is kept for
	// leaseTTL-renewAge at least, which is longer than a stream and its take-ups last.
	leaseTTL = 90 * time.Second
	renewAge = 30 * time.Second
	// keepTime and maxKept bound what is kept in memory, to write it again after a
	// restore of the store and to read it while the store is away.
	keepTime = 30 * time.Second
	maxKept  = 8192
	// eraInterval is how often it is checked whether the store was restored.
	eraInterval = 250 * time.Millisecond
	// unhealthyTime is how long the store counts as unable to write after a failure, and
	// slowTime the age of a record from which on it does before the call has failed. It is
	// above flushInterval and a call to another region.
	unhealthyTime = 2 * time.Second
	slowTime      = 350 * time.Millisecond
)

// ErrOtherService means that a stream began at another service.
var ErrOtherService = errors.New("the stream began at another service")

// errUnsure means that the store lacks a record that this host added, and another host may have begun the stream.
var errUnsure = errors.New("the last record of the stream is not in the store")

// Store is the platform's store.
type Store interface {
	Era() int64
	Grant(ctx context.Context, ttl time.Duration) (platform.Lease, error)
	PutStreams(ctx context.Context, list []platform.Stream, marks []platform.Mark, l platform.Lease) error
	Stream(ctx context.Context, attempt platform.Attempt) (platform.Stream, error)
	MarkedVersions(ctx context.Context, service string) ([]string, error)
}

// Options sets up a Ledger.
type Options struct {
	Store Store
	// Count counts calls to the store.
	Count func(call string, err error)
	Log   *zap.Logger
}

// Ledger writes and reads records of streams. It is safe for concurrent use.
type Ledger struct {
	opts    Options
	kick    chan struct{} // receives a value when the first record of a batch is added
	ctx     context.Context
	cancel  context.CancelFunc
	done    sync.WaitGroup
	writers chan struct{} // holds a value for each call in progress

	mu      sync.Mutex
	pending []*Record
	// kept are the records added within keepTime, in the order of their addition, and
	// versions those of them by attempt.
	kept     []*Record
	versions map[platform.Attempt]*Record
	// open are the records that are not written yet, and not given up.
	open     map[*Record]bool
	era      int64 // of the store at the last check
	lease    platform.Lease
	leasedAt time.Time // zero if there is no lease
	// marks are the marks that the store holds under the lease.
	marks    map[platform.Mark]bool
	failedAt time.Time // of the last call
}

// New starts a ledger.
func New(opts Options) *Ledger {
	l := &Ledger{
		opts: opts, kick: make(chan struct{}, 1), writers: make(chan struct{}, maxWriters),
		versions: make(map[platform.Attempt]*Record), open: make(map[*Record]bool), era: opts.Store.Era(),
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.done.Go(l.run)
	return l
}

// Close cancels the calls in progress and waits for their end. Records that were not written
// are lost.
func (l *Ledger) Close() error {
	l.cancel()
	l.done.Wait()
	return nil
}

// Add records at which version an attempt begins a stream. The caller waits for it before it
// passes on the first event.
func (l *Ledger) Add(stream platform.Stream) *Record {
	r := &Record{Stream: stream, added: time.Now(), done: make(chan struct{})}
	l.mu.Lock()
	l.pending = append(l.pending, r)
	full := len(l.pending) == maxBatch
	l.open[r] = true
	l.keep(r)
	first := len(l.pending) == 1
	l.mu.Unlock()
	if first || full {
		l.wake()
	}
	return r
}

// Drop withdraws a record whose attempt has failed. It returns false if the store may hold it.
func (l *Ledger) Drop(r *Record) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.taken || r.unsure {
		return false
	}
	r.dropped = true
	delete(l.open, r)
	if l.versions[r.Attempt] == r {
		delete(l.versions, r.Attempt)
	}
	return true
}

// Pass states that the first event of the stream is passed on to the caller. Only from then on is
// the record the last one of the request: else another host may have begun the stream.
func (l *Ledger) Pass(r *Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.passed = true
}

// keep remembers a record and forgets old ones.
func (l *Ledger) keep(r *Record) {
	for len(l.kept) > 0 && (len(l.kept) >= maxKept || r.added.Sub(l.kept[0].added) > keepTime) {
		if old := l.kept[0]; l.versions[old.Attempt] == old {
			delete(l.versions, old.Attempt)
		}
		l.kept = l.kept[1:]
	}
	l.kept = append(l.kept, r)
	l.versions[r.Attempt] = r
}

// wake makes run look at the pending records.
func (l *Ledger) wake() {
	select {
	case l.kick <- struct{}{}:
	default: // it looks already
	}
}

// Healthy reports whether records can be written, as far as the last calls show.
func (l *Ledger) Healthy(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.failedAt) <= unhealthyTime {
		return false
	}
	for r := range l.open {
		if now.Sub(r.added) > slowTime {
			return false
		}
	}
	return true
}

// Source is where the version of a stream is known from.
type Source string

// Sources. SourceNone means that the store has no record.
const (
	SourceNone   Source = "none"
	SourceStore  Source = "store"
	SourceMemory Source = "memory"
)

// Version returns the version at which a stream of a service began, by the attempt that brought its
// first event. The error is that of the store, if it can't be read and this host has not passed the
// first event on itself, errUnsure, or ErrOtherService.
func (l *Ledger) Version(ctx context.Context, attempt platform.Attempt, service string) (string, Source, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	stored, err := l.opts.Store.Stream(ctx, attempt)
	none := errors.Is(err, platform.ErrNotFound)
	if none {
		l.opts.Count("stream", nil)
	} else {
		l.opts.Count("stream", err)
	}
	l.mu.Lock()
	r := l.versions[attempt]
	passed := r != nil && r.passed
	l.mu.Unlock()
	switch {
	case err == nil && (r == nil || r.Number <= stored.Number):
		if stored.Service != "" && stored.Service != service {
			return "", "", ErrOtherService
		}
		return stored.Version, SourceStore, nil
	case passed && r.Service != service:
		return "", "", ErrOtherService
	case passed:
		return r.Version, SourceMemory, nil
	case err == nil || none && r != nil:
		return "", "", errUnsure
	case none:
		return "", SourceNone, nil
	}
	return "", "", err
}

// Versions returns the versions at which streams of a service were recorded lately, by any host.
// The error is that of the store.
func (l *Ledger) Versions(ctx context.Context, service string) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	versions, err := l.opts.Store.MarkedVersions(ctx, service)
	l.opts.Count("versions", err)
	return versions, err
}

// run writes the pending records in batches.
func (l *Ledger) run() {
	eras := time.NewTicker(eraInterval)
	defer eras.Stop()
	flush := time.NewTimer(flushInterval)
	defer flush.Stop()
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-eras.C:
			l.checkEra()
			continue
		case <-l.kick:
		case <-flush.C:
		}
		if wait := l.flush(); wait > 0 {
			flush.Reset(wait)
		}
	}
}

// checkEra writes the records again that the store may have lost in a restore.
func (l *Ledger) checkEra() {
	l.mu.Lock()
	era := l.opts.Store.Era()
	again := era != l.era
	l.era = era
	if again {
		l.leasedAt = time.Time{}
		now := time.Now()
		l.pending = nil
		for _, r := range l.kept {
			if now.Sub(r.added) <= keepTime && l.versions[r.Attempt] == r {
				l.pending = append(l.pending, r)
			}
		}
		again = len(l.pending) > 0
	}
	l.mu.Unlock()
	if again {
		l.wake()
	}
}

// flush begins to write the pending records that are due, and returns the time until others are,
// or 0 if there are none. If maxWriters calls are in progress, the end of one begins the next flush.
func (l *Ledger) flush() time.Duration {
	for {
		select {
		case l.writers <- struct{}{}:
		default:
			return 0
		}
		batch, wait := l.take(time.Now())
		if len(batch) == 0 {
			<-l.writers
			return wait
		}
		l.done.Go(func() {
			l.write(batch)
			<-l.writers
			l.wake()
		})
	}
}

// due returns the time until the pending records are written: none if they fill a call or the
// oldest has waited for flushInterval.
func (l *Ledger) due(now time.Time) time.Duration {
	if len(l.pending) >= maxBatch {
		return 0
	}
	return l.pending[0].added.Add(flushInterval).Sub(now)
}

// take removes the records of one call from the pending ones once they are due. It leaves out
// those that were withdrawn, and those that a later attempt of the same request has replaced. If
// none are due, it returns the time until those that wait are.
func (l *Ledger) take(now time.Time) (batch []*Record, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 && len(batch) < maxBatch {
		if wait := l.due(now); len(batch) == 0 && wait > 0 {
			return nil, wait
		}
		r := l.pending[0]
		l.pending = l.pending[1:]
		if newest := l.versions[r.Attempt]; !r.dropped && (newest == nil || newest == r) {
			r.taken = true
			batch = append(batch, r)
		} else {
			delete(l.open, r)
		}
	}
	return batch, 0
}
