package fleet

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/poison"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/platform"
)

const (
	// recordInterval is how often records of suspected parts are compared with the
	// store's, and recordTimeout bounds the calls for one record.
	recordInterval = 200 * time.Millisecond
	recordTimeout  = 1500 * time.Millisecond
	// recordPause replaces recordInterval after a call that failed.
	recordPause = time.Second
	// recordTTL is the time to live of a record that is not replaced.
	recordTTL = 10 * time.Minute
)

// Records writes records to the store.
type Records interface {
	NoLease() platform.Lease
	Grant(ctx context.Context, ttl time.Duration) (platform.Lease, error)
	Swap(ctx context.Context, key string, value []byte, rev eras.Revision, l platform.Lease) (eras.Revision, error)
	Remove(ctx context.Context, key string, rev eras.Revision) error
}

// updatePoison passes the listed servers of a service and the store's records of suspected
// parts to its detector.
func (f *Fleet) updatePoison(name string, s *Service, servers []spec.Server, suspects []platform.Suspect, now time.Time) {
	listed := make(map[pick.Process]bool, len(servers))
	for _, e := range servers {
		listed[pick.Process{ID: e.ID, Born: e.Born}] = true
	}
	f.LogPoison(name, s.Poison.Listed(listed, now))
	var records []poison.Record
	for _, r := range suspects {
		if r.Service == name {
			records = append(records, poison.Record{Part: poison.Part(r.Part), Probes: r.Probes, Rev: r.Rev})
		}
	}
	f.LogPoison(name, s.Poison.Records(records, now), zap.String("from", "store"))
}

// poisonReports returns the reports of the detectors by service.
func (f *Fleet) poisonReports(s poison.Scope, now time.Time) map[string]poison.Report {
	var reports map[string]poison.Report
	for name, svc := range *f.tables.Load() {
		r := svc.Poison.Report(s, now)
		if r.Empty() {
			continue
		}
		if reports == nil {
			reports = make(map[string]poison.Report)
		}
		reports[name] = r
	}
	return reports
}

// mergePoison merges the reports of another host or region.
func (f *Fleet) mergePoison(reports map[string]poison.Report, s poison.Scope, from string, received time.Time) {
	for name, svc := range *f.tables.Load() {
		f.LogPoison(name, svc.Poison.Merge(reports[name], s, received), zap.String("from", from))
	}
}

// LogPoison logs changes of the suspected parts of a service; source are fields that tell
// where they are known from.
func (f *Fleet) LogPoison(service string, changes []poison.Change, source ...zap.Field) {
	for _, c := range changes {
		what, hash := "prompt part", "part_hash"
		if c.Part.Whole() {
			what, hash = "request", "request_hash"
		}
		fields := append(slices.Clip(source), zap.String("service", service), zap.Stringer(hash, c.Part))
		if c.Cleared {
			f.opts.Log.Info(what+" cleared", fields...)
			continue
		}
		f.opts.Log.Warn(what+" suspected", append(fields, zap.Int("crashes", c.Crashes))...)
	}
}

// SuspectedParts returns the number of parts that are suspected to make servers crash.
func (f *Fleet) SuspectedParts() int {
	n := 0
	for _, svc := range *f.tables.Load() {
		n += svc.Poison.Suspects()
	}
	return n
}

// keepRecords keeps the store's records of suspected parts and of base versions until the
// fleet is closed.
func (f *Fleet) keepRecords() {
	t := time.NewTimer(recordInterval)
	defer t.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-t.C:
		}
		next := recordInterval
		for name, svc := range *f.tables.Load() {
			if !f.writeRecords(name, svc.Poison) {
				next = recordPause
			}
		}
		if !f.writeBases() {
			next = recordPause
		}
		if !f.writeRouting() {
			next = recordPause
		}
		t.Reset(next)
	}
}

// writeRecords writes the records that this host should write, and removes those of parts
// that were suspected wrongly. It reports whether all calls succeeded.
func (f *Fleet) writeRecords(service string, d *poison.Detector) bool {
	ok := true
	for _, r := range d.Writes(f.Position() == 0, time.Now()) {
		asked := time.Now()
		rev, err := f.writeRecord(service, r)
		if err != nil {
			ok = f.logRecord("record of suspicion not written", service, r, err) && ok
			continue
		}
		r.Rev = rev
		d.Written(r, asked)
		f.opts.Log.Info("record of suspicion written", zap.String("service", service), zap.Stringer("part_hash", r.Part), zap.Int("probes", r.Probes))
	}
	for _, r := range d.Removals(f.Position() == 0) {
		if err := f.removeRecord(service, r); err != nil && !f.logRecord("record of suspicion not removed", service, r, err) {
			ok = false
			continue
		}
		d.Removed(r)
	}
	return ok
}

// logRecord logs a failed call for a record. It returns true for a conflict, which is not a
// failure: another host was faster.
func (f *Fleet) logRecord(msg, service string, r poison.Record, err error) bool {
	if errors.Is(err, platform.ErrConflict) {
		return true
	}
	f.opts.Log.Debug(msg, zap.String("service", service), zap.Stringer("part_hash", r.Part), zap.Error(err))
	return false
}

// writeRecord replaces the record at r.Rev and returns the new revision.
func (f *Fleet) writeRecord(service string, r poison.Record) (eras.Revision, error) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	key, value, err := platform.EncodeSuspect(platform.Suspect{Service: service, Part: uint64(r.Part), Probes: r.Probes})
	if err != nil {
		return eras.Revision{}, err
	}
	l, err := f.opts.Records.Grant(ctx, recordTTL)
	f.opts.Count("grant", err)
	if err != nil {
		return eras.Revision{}, err
	}
	rev, err := f.opts.Records.Swap(ctx, key, value, r.Rev, l)
	f.opts.Count("swap", err)
	return rev, err
}

// removeRecord removes the record at r.Rev.
func (f *Fleet) removeRecord(service string, r poison.Record) error {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	key, _, err := platform.EncodeSuspect(platform.Suspect{Service: service, Part: uint64(r.Part)})
	if err != nil {
		return err
	}
	err = f.opts.Records.Remove(ctx, key, r.Rev)
	f.opts.Count("remove", err)
	return err
}
