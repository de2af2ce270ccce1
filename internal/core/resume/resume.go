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
)

// Base is the store's record of the base version of a service: a stream of which the store
// holds no record began at a server of that version. Hosts send it to each other in CBOR
// under the names of its fields.
type Base struct {
	Service, Version string
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
	// absentSince is since when no server of the base version is listed, zero if one is. It
	// was last seen to be absent at seenAt.
	absentSince, seenAt time.Time
}

// Update replaces the listed servers of all regions and the store's records. The argument
// names lists the services whose streams may be taken up.
func (b *Bases) Update(names []string, servers []spec.Server, records []Base, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.services
	b.services = make(map[string]*service, len(names))
	for _, name := range names {
		s := old[name]
		if s == nil {
			s = &service{}
		}
		s.update(name, servers, records, now)
		b.services[name] = s
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
	switch {
	case s.versions[s.base.Version] > 0:
		s.absentSince = time.Time{}
	case s.absentSince.IsZero() || now.Sub(s.seenAt) > maxUnseen:
		s.absentSince = now // it may have been listed meanwhile
	}
	s.seenAt = now
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
// revision: the missing ones, and those whose version has left for good. By an outdated list
// of servers it replaces none.
func (b *Bases) Writes(listAge time.Duration, now time.Time) []Base {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []Base
	for name, s := range b.services {
		most, ok := s.most()
		switch {
		case s.known && !s.listed: // lost in a restore of the store
			list = append(list, Base{Service: name, Version: s.base.Version})
		case !s.known && ok:
			list = append(list, Base{Service: name, Version: most})
		case Outdated(listAge) || now.Sub(s.seenAt) > maxUnseen:
		case s.known && ok && !s.absentSince.IsZero() && now.Sub(s.absentSince) >= absentTime:
			list = append(list, Base{Service: name, Version: most, Rev: s.base.Rev})
		}
	}
	return list
}

// Current reports whether a record that was read with a list of some age is still in force.
func Current(listAge time.Duration) bool { return listAge <= maxBaseAge }

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
// such a stream. Any allows all: no server of the base is listed, so that the stream can't be
// taken up at all. None is the value while the base is no longer known.
const (
	None Unrecorded = iota
	OnlyBase
	Any
)

// Unrecorded returns the versions at which a stream of a service may begin without a record, and
// the base version.
func (b *Bases) Unrecorded(name string, listAge time.Duration) (string, Unrecorded) {
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
	if !served {
		return version, Any
	}
	return version, OnlyBase
}

// Allows reports whether a stream at a version may begin without a record; base is the base version.
func (u Unrecorded) Allows(version, base string) bool {
	return u == Any || u == OnlyBase && version == base
}

// MustRecord reports whether a stream that begins at a version must be recorded. The argument
// recorded is set if an earlier attempt may have written a record, which must be replaced.
func (b *Bases) MustRecord(name, version string, recorded bool, listAge time.Duration) bool {
	base, known := b.Base(name, listAge)
	return recorded || !known || base != version
}

// Only returns the version at which a stream began of which nothing is known: the base, if no
// server of another version is listed and no stream was recorded at one lately. The list alone
// does not show it: it may be outdated, and servers may have come and gone.
func (b *Bases) Only(name string, recorded []string, listAge time.Duration) (string, bool) {
	base, known := b.Base(name, listAge)
	if !known || slices.ContainsFunc(recorded, func(v string) bool { return v != base }) {
		return "", false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.services[name] // a version may have left it out since
	return base, s != nil && len(s.versions) == 1 && s.versions[base] > 0
}
