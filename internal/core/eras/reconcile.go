package eras

import (
	"slices"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

// Membership is the set of servers and evacuations that a host derives from the
// entries of the store.
type Membership struct {
	// Servers may receive requests, except those in the data centres that
	// Evacuated lists.
	Servers   []spec.Server
	Evacuated []string
	// Unconfirmed servers were first listed after the store was restored from an
	// older copy, and may have ended since the copy was made.
	Unconfirmed []spec.Server
}

// Reconcile merges m with the servers and evacuations that the store lists
// shortly after it was restored from an older copy. The age of m is ago. The
// restored entries may be older than those in m:
//
//   - a server whose listed entry is older than that in m keeps the state in m;
//   - a server that is not in m is unconfirmed until its entry is renewed, if the
//     first listing of the era names it;
//   - a data centre remains evacuated.
//
// Servers that are missing from the listing are left to the caller.
func (m Membership) Reconcile(listed []spec.Server, evacuated []string, first bool, ago time.Duration) Membership {
	known := byID(m.Servers)
	unconfirmed := byID(m.Unconfirmed)
	var next Membership
	for _, s := range listed {
		old, ok := known[s.ID]
		u, isUnconfirmed := unconfirmed[s.ID]
		switch {
		case ok && outdated(s, old):
			old.Warm = max(old.Warm-ago, 0)
			next.Servers = append(next.Servers, old)
		case !ok && first, isUnconfirmed && !renewed(s, u):
			next.Unconfirmed = append(next.Unconfirmed, s)
		default:
			next.Servers = append(next.Servers, s)
		}
	}
	next.Evacuated = slices.Clone(evacuated)
	for _, site := range m.Evacuated {
		if !slices.Contains(next.Evacuated, site) {
			next.Evacuated = append(next.Evacuated, site)
		}
	}
	return next
}

// outdated reports whether the entry s is older than the known entry of the same
// server.
func outdated(s, known spec.Server) bool {
	if s.Born != known.Born {
		return s.Born < known.Born
	}
	return s.Seq < known.Seq
}

// renewed reports whether the entry was written again after it was first listed.
func renewed(s, first spec.Server) bool { return s.Born > first.Born || s.Seq != first.Seq }

func byID(list []spec.Server) map[string]spec.Server {
	m := make(map[string]spec.Server, len(list))
	for _, s := range list {
		m[s.ID] = s
	}
	return m
}
