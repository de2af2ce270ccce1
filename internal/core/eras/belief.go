package eras

import (
	"slices"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/spec"
)

// Belief is what is believed of the servers that the store lists.
type Belief struct {
	// Servers are listed, Evacuated the data centres to leave alone.
	Servers   []spec.Server
	Evacuated []string
	// Doubted are listed since the store came back from a copy, but may have
	// ended after the copy was made.
	Doubted []spec.Server
}

// Restored returns what to believe of servers and evacuations that were listed
// by a store that came back from a copy shortly before, if b was believed until
// then, some time ago. Entries of the copy are older than what is known:
//
//   - a server that is listed as it was before keeps its newer state;
//   - one that was not known is doubted until its entry is renewed, if the
//     first listing of the era names it;
//   - a data centre remains evacuated.
//
// Servers that are missing are left to the caller.
func (b Belief) Restored(listed []spec.Server, evacuated []string, first bool, ago time.Duration) Belief {
	known := byID(b.Servers)
	doubted := byID(b.Doubted)
	var next Belief
	for _, s := range listed {
		old, ok := known[s.ID]
		d, doubt := doubted[s.ID]
		switch {
		case ok && outdated(s, old):
			old.Warm = max(old.Warm-ago, 0)
			next.Servers = append(next.Servers, old)
		case !ok && first, doubt && !renewed(s, d):
			next.Doubted = append(next.Doubted, s)
		default:
			next.Servers = append(next.Servers, s)
		}
	}
	next.Evacuated = slices.Clone(evacuated)
	for _, site := range b.Evacuated {
		if !slices.Contains(next.Evacuated, site) {
			next.Evacuated = append(next.Evacuated, site)
		}
	}
	return next
}

// outdated reports whether an entry is older than the one that is known of the
// same server.
func outdated(s, known spec.Server) bool {
	if s.Born != known.Born {
		return s.Born < known.Born
	}
	return s.Seq < known.Seq
}

// renewed reports whether an entry was written since it was first seen.
func renewed(s, first spec.Server) bool { return s.Born > first.Born || s.Seq != first.Seq }

func byID(list []spec.Server) map[string]spec.Server {
	m := make(map[string]spec.Server, len(list))
	for _, s := range list {
		m[s.ID] = s
	}
	return m
}
