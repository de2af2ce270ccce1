// Package resume decides at which software version of a service's servers a stream may go
// on. What two versions write does not fit together, and a caller takes a stream up at any
// host, after all hosts have restarted too.
//
// Each service has one base version, which is a record of the store. Streams that begin at
// another version are recorded, each before its first event reaches the caller, so that a
// stream without a record began at the base version. With one version in service, which
// is then the base, nothing is written.
package resume

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/eras"
	"github.com/yuccalb/yuccalb/internal/core/spec"
)

const (
	// absentTime is how long no server of the base version is listed before another version
	// becomes the base. A host that can't read the list may begin streams at servers of the old
	// base for maxBaseAge; these streams, which have no record, have ended by then: no
	// route lets a request run for the rest.
	absentTime = 10 * time.Minute
	maxBaseAge = 8 * time.Minute
	// maxUnseen is how long the list may not have been read while the absence of the base is
	// counted.
	maxUnseen = 10 * time.Second
	// absentKept is how long streams may last, and be taken up, that began without a record
	// while the base was absent.
	absentKept = 90 * time.Second
	// absentListed is how long the list must have named the base absent before streams begin at
	// other versions without a record: after that all hosts whose list is not outdated know it.
	absentListed = maxListAge + time.Second
	// unnamedTime is how long what is known of a service is kept that no version of the
	// configuration names, and maxUnnamed bounds these services.
	unnamedTime = 10 * time.Minute
	maxUnnamed  = 64
)

// Base is the store's record of the base version of a service: a stream of which the store
// holds no record began at a server of that version. Hosts send it to each other in CBOR
// under the names of its fields.
type Base struct {
	Service, Version string
	// Absent is set while no server of the version is listed, and for absentKept after that:
	// streams may have begun at others without a record.
	Absent bool
	// Rev is the revision of the record.
	Rev eras.Revision
}

// Bases holds the base versions of services. Its zero value knows none. It is safe for
// concurrent use.
type Bases struct {
	mu       sync.Mutex
	services map[string]*service
}

// service is what is known of the versions of one service.
type service struct {
	// base is the store's record, of which listed tells whether the store still holds it;
	// known is set once it was read.
	base          Base
	known, listed bool
	// versions counts the listed servers by version.
	versions map[string]int
	// absentSince is since when no server of the base version is listed, zero if one is, and
	// servedSince since when there is one. The list was last seen at seenAt.
	absentSince, servedSince, seenAt time.Time
	// markedSince is since when the record names the base absent, zero if it does not.
	markedSince time.Time
	// namedAt is when the service was last among those whose streams may be taken up.
	namedAt time.Time
}

// Update replaces the listed servers of all regions and the store's records. The argument
// names lists the services whose streams may be taken up. A service that is no longer among
// them is followed for some minutes more: a version may name it again.
func (b *Bases) Update(names []string, servers []spec.Server, records []Base, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.services == nil {
		b.services = make(map[string]*service, len(names))
	}
	for _, name := range names {
		if b.services[name] == nil {
			b.services[name] = &service{}
		}
		b.services[name].namedAt = now
	}
	maps.DeleteFunc(b.services, func(_ string, s *service) bool { return now.Sub(s.namedAt) > unnamedTime })
	b.dropUnnamed(len(names)+maxUnnamed, now)
	for name, s := range b.services {
		s.update(name, servers, records, now)
	}
}

// dropUnnamed removes the services that were named longest ago until at most n are left.
func (b *Bases) dropUnnamed(n int, now time.Time) {
	for len(b.services) > n {
		oldest, at := "", now
		for name, s := range b.services {
			if s.namedAt.Before(at) {
				oldest, at = name, s.namedAt
			}
		}
		delete(b.services, oldest)
	}
}

func (s *service) update(name string, servers []spec.Server, records []Base, now time.Time) {
	s.listed = false
	for _, r := range records {
		if r.Service == name {
			s.base = r
			s.known = true
			s.listed = true
		}
	}
	s.versions = make(map[string]int)
	for _, e := range servers {
		if e.Service == name {
			s.versions[e.Version]++
		}
	}
	gap := now.Sub(s.seenAt) > maxUnseen // the base may have come or left meanwhile
	served := s.versions[s.base.Version] > 0
	s.absentSince = since(s.absentSince, !served, gap, now)
	s.servedSince = since(s.servedSince, served, gap, now)
	s.markedSince = since(s.markedSince, s.base.Absent, false, now)
	s.seenAt = now
}

// since returns since when a condition holds that holds at now if holds is set: since the former
// time unless there was a gap, zero if it does not hold.
func since(former time.Time, holds, gap bool, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case former.IsZero() || gap:
		return now
	}
	return former
}

// most returns the version with the most servers, the least one of several, and false if
// there are no servers.
func (s *service) most() (string, bool) {
	list := slices.SortedFunc(maps.Keys(s.versions), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.versions[b], s.versions[a]), cmp.Compare(a, b))
	})
	if len(list) == 0 {
		return "", false
	}
	return list[0], true
}

// Writes returns the records that should be written, each in place of the one at its
// revision: the missing ones, those whose version has left for good, and those that must name
// it absent or no longer absent. By an outdated list of servers it replaces none.
func (b *Bases) Writes(listAge time.Duration, now time.Time) []Base {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Base
	for name, s := range b.services {
		most, ok := s.most()
		switch {
		case s.known && !s.listed: // lost in a restore of the store
			list = append(list, Base{Service: name, Version: s.base.Version, Absent: s.base.Absent})
		case !s.known && ok:
			list = append(list, Base{Service: name, Version: most})
		case Outdated(listAge) || now.Sub(s.seenAt) > maxUnseen:
		case s.known && ok && !s.absentSince.IsZero() && now.Sub(s.absentSince) >= absentTime:
			list = append(list, Base{Service: name, Version: most, Rev: s.base.Rev})
		case s.known && !s.absentSince.IsZero() && !s.base.Absent:
			list = append(list, Base{Service: name, Version: s.base.Version, Absent: true, Rev: s.base.Rev})
		case s.known && s.base.Absent && !s.servedSince.IsZero() && now.Sub(s.servedSince) >= absentKept:
			list = append(list, Base{Service: name, Version: s.base.Version, Rev: s.base.Rev})
		}
	}
	return list
}

// Current reports whether a record that was read with a list of some age is still in force.
func Current(listAge time.Duration) bool { return listAge <= maxBaseAge }

// Began returns the version at which a stream of which the store holds no record began: the base. It
// returns false if that is unknown, by a list that may not yet name the base absent too.
func (b *Bases) Began(name string, listAge time.Duration) (string, bool) {
	base, known := b.Base(name, listAge)
	return base, known && !Outdated(listAge) && !b.isAbsent(name)
}

// isAbsent reports whether the record of the base names it absent.
func (b *Bases) isAbsent(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[name] // a version may have left it out since
	return s != nil && s.base.Absent
}

// Base returns the base version of a service, and false if it is unknown, or no longer known
// because the list was read so long ago.
func (b *Bases) Base(name string, listAge time.Duration) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[name]
	if s == nil || !s.known || !Current(listAge) {
		return "", false
	}
	return s.base.Version, true
}

// Unrecorded tells at which versions a stream may begin without a record.
type Unrecorded int

// Values of Unrecorded. OnlyBase allows the base version, for which hosts that find no record take
// such a stream. Any allows all: no server of the base is listed, and the hosts know that, so that
// the stream is not taken up at all. None is the value while hosts may not know it yet, or
// the base itself is no longer known.
const (
	None Unrecorded = iota
	OnlyBase
	Any
)

// Unrecorded returns the versions at which a stream of a service may begin without a record, and
// the base version.
func (b *Bases) Unrecorded(name string, listAge time.Duration, now time.Time) (string, Unrecorded) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[name]
	version, served := "", false
	switch {
	case !Current(listAge):
		return "", None
	case s == nil:
	case s.known:
		version, served = s.base.Version, s.versions[s.base.Version] > 0
	default:
		version, served = s.most() // it becomes the base
	}
	switch {
	case served:
		return version, OnlyBase
	case s != nil && s.known && (s.markedSince.IsZero() || now.Sub(s.markedSince) < absentListed):
		return version, None
	}
	return version, Any
}

// Allows reports whether a stream at a version may begin without a record; base is the base version.
func (u Unrecorded) Allows(version, base string) bool {
	return u == Any || u == OnlyBase && version == base
}

// MustRecord reports whether a stream that begins at a version should be recorded, if that is possible.
// The argument recorded is set if an earlier attempt may have written a record, which must be
// replaced.
func (b *Bases) MustRecord(name, version string, recorded bool, listAge time.Duration) bool {
	base, known := b.Base(name, listAge)
	return recorded || !known || base != version || b.isAbsent(name)
}

// Only returns the version at which a stream began of which nothing is known: the base, if no
// server of another version is listed and no stream was recorded at one lately. The list alone
// does not show it: it may be outdated, and servers may have come and gone.
func (b *Bases) Only(name string, recorded []string, listAge time.Duration) (string, bool) {
	base, known := b.Began(name, listAge)
	if !known || slices.ContainsFunc(recorded, func(v string) bool { return v != base }) {
		return "", false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[name] // a version may have left it out since
	return base, s != nil && len(s.versions) == 1 && s.versions[base] > 0
}
