package fleet

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/resume"
	"github.com/yuccalb/yuccalb/internal/core/spec"
	"github.com/yuccalb/yuccalb/internal/edge/clock"
	"github.com/yuccalb/yuccalb/platform"
)

// Bases returns the base versions of the services.
func (f *Fleet) Bases() *resume.Bases { return &f.bases }

// Moved reports whether a stream that a service gets now may have begun at another one, to which a version
// has sent its host, path and hash.
func (f *Fleet) Moved(service, host, path string, hash uint64, within time.Duration) bool {
	return f.moves.Moved(service, host, path, hash, within, time.Now())
}

// ServesVersion reports whether a region that is allowed has servers of a service at a software
// version that are not leaving.
func (f *Fleet) ServesVersion(service, version string, allowed func(region string) bool) bool {
	return slices.ContainsFunc(f.View().Usable(), func(e spec.Server) bool {
		return e.Service == service && e.Version == version && !e.Leaving && allowed(f.Region(e.Site))
	})
}

// ListAge returns the time since the list of servers was confirmed to be current. Suspensions of
// the host count.
func (f *Fleet) ListAge() time.Duration { return clock.Now() - f.tracker.State().EntriesConfirmed }

// Confirmed returns when it was last confirmed, on the clock of package clock, that a process is the
// one registered for its server, 0 if the last list does not name it.
func (f *Fleet) Confirmed(p pick.Process) time.Duration {
	at := f.updateLists() // before the list is read, which may be a later one
	if slices.ContainsFunc(f.View().Servers, func(e spec.Server) bool { return e.ID == p.ID && e.Born == p.Born }) {
		return f.lists.Confirmed(p.ID, p.Born, at)
	}
	return 0
}

// updateLists updates what is known of the lists of servers, and returns when the last one was confirmed.
func (f *Fleet) updateLists() time.Duration {
	at := f.tracker.State().EntriesConfirmed
	f.lists.Update(f.View().Servers, at)
	return at
}

// StoreSettled reports whether the store holds all that hosts have written, as far as is known:
// it was not restored from a copy lately.
func (f *Fleet) StoreSettled() bool {
	return f.tracker.State().Era.Age(clock.Now()) >= eras.SettleTime
}

// resumableServices returns the services with routes whose streams may be taken up.
func resumableServices(s *spec.Snapshot) []string {
	var names []string
	for _, r := range s.Routes {
		if !r.Stream || !r.Resumable {
			continue
		}
		for _, t := range r.Targets {
			if !slices.Contains(names, t.Service) {
				names = append(names, t.Service)
			}
		}
	}
	return names
}

// writeBases writes the records of base versions that are missing or outdated. Only the first
// host of each region does. It reports whether all calls succeeded.
func (f *Fleet) writeBases() bool {
	if f.Position() != 0 {
		return true
	}
	ok := true
	for _, b := range f.bases.Writes(f.ListAge(), time.Now()) {
		err := f.writeBase(b)
		switch {
		case err == nil:
			f.opts.Log.Info("base version written", zap.String("service", b.Service), zap.String("version", b.Version), zap.Bool("absent", b.Absent))
		case errors.Is(err, platform.ErrConflict): // another host was faster
		default:
			f.opts.Log.Debug("base version not written", zap.String("service", b.Service), zap.Error(err))
			ok = false
		}
	}
	return ok
}

// writeRouting writes the record of the routes of streams if it is missing or outdated. Only the first host
// of each region does. It reports whether the call succeeded.
func (f *Fleet) writeRouting() bool {
	if f.Position() != 0 {
		return true
	}
	now := time.Now()
	r, ok := f.moves.Write(f.ListAge(), now)
	if !ok {
		return true
	}
	key, value, err := platform.EncodeRouting(r)
	if err == nil {
		r.Rev, err = f.swap(key, value, r.Rev)
	}
	switch {
	case err == nil:
		f.moves.UpdateStored(&r, r.Rev, now)
	case errors.Is(err, platform.ErrConflict): // another host was faster
		f.moves.Conflict(now)
	default:
		f.opts.Log.Debug("routes of streams not written", zap.Error(err))
		return false
	}
	return true
}

// writeBase replaces the record at b.Rev.
func (f *Fleet) writeBase(b resume.Base) error {
	key, value, err := platform.EncodeBase(b)
	if err != nil {
		return err
	}
	_, err = f.swap(key, value, b.Rev)
	return err
}

// swap replaces the record at a revision and returns its new one.
func (f *Fleet) swap(key string, value []byte, rev eras.Revision) (eras.Revision, error) {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	rev, err := f.opts.Records.Swap(ctx, key, value, rev, f.opts.Records.NoLease())
	f.opts.Count("swap", err)
	return rev, err
}
