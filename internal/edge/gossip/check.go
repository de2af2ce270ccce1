package gossip

import (
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/yuccalb/yuccalb/internal/core/pick"
	"github.com/yuccalb/yuccalb/internal/core/poison"
)

const (
	// maxAge bounds the ages in a state: a host without anything newer became
	// unreachable long before.
	maxAge = 30 * 24 * time.Hour
	// maxCount bounds the numbers of requests, servers and tokens.
	maxCount = 1 << 40
)

// check returns an error if the state holds values that no correct host sends:
// using them would corrupt the decisions of this host.
func (s *State) check() error {
	if s.Host.Name == "" || s.Host.Site == "" || !s.Host.Peer.IsValid() || !s.Host.Front.IsValid() {
		return errors.New("host has no name, data centre or address")
	}
	errs := []error{
		amount("cores", s.Host.Cores), age("configuration", s.ConfigAge), age("entries", s.EntriesAge),
		count("era", int(s.Era)), age("era", s.EraAge),
	}
	for _, loads := range s.Loads {
		for id, l := range loads {
			errs = append(errs, count("load of "+id, l.Running), count("load of "+id, l.Unread), count("load of "+id, l.Memory), count("load of "+id, l.Later), count("load of "+id, l.LaterUnread), count("load of "+id, l.LaterMemory))
		}
	}
	for _, list := range s.Placements {
		errs = append(errs, placements(list)...)
	}
	for _, list := range s.Limits {
		for _, l := range list {
			errs = append(errs, amount("limit of "+l.Process.ID, l.Value), age("limit of "+l.Process.ID, l.Age))
		}
	}
	for _, list := range s.RefusalLimits {
		for _, l := range list {
			errs = append(errs, count("refusal limit of "+l.Process.ID, l.Value), age("refusal limit of "+l.Process.ID, l.Age))
		}
	}
	for name, r := range s.Rooms {
		errs = append(errs, count("room at "+name, r.Own), count("requests at "+name, r.Running), count("requests for "+name, r.Waiting), count("refusal limit of "+name, r.Limit))
	}
	for org, spent := range s.Admitted {
		errs = append(errs, amount("tokens of "+org, spent))
	}
	for _, r := range s.Poison {
		errs = append(errs, poisonErrors(r)...)
	}
	for i := range s.Regions {
		errs = append(errs, s.Regions[i].check())
	}
	return errors.Join(errs...)
}

// check returns an error if the report holds values that no correct host sends.
func (r *Region) check() error {
	if r.Name == "" {
		return errors.New("region has no name")
	}
	errs := []error{age("region "+r.Name, r.Age)}
	for _, m := range r.Members {
		if m.Host.Name == "" || !m.Host.Peer.IsValid() || !m.Host.Front.IsValid() {
			errs = append(errs, fmt.Errorf("host %q of region %s has no name or address", m.Host.Name, r.Name))
		}
		errs = append(errs, amount("cores", m.Host.Cores))
	}
	for name, sum := range r.Services {
		errs = append(errs, count("servers of "+name, sum.Servers), count("free slots of "+name, sum.Free), count("slots of "+name, sum.Slots), age("wait of "+name, sum.Wait))
	}
	for org, spent := range r.Admitted {
		errs = append(errs, amount("tokens of "+org, spent))
	}
	for _, p := range r.Poison {
		errs = append(errs, poisonErrors(p)...)
	}
	for name, d := range r.ReportAges {
		errs = append(errs, age("region "+name, d))
	}
	return errors.Join(errs...)
}

// placements returns errors for placements without parts, with too many parts, or
// with invalid numbers of tokens.
func placements(list []pick.Placement) []error {
	var errs []error
	for _, p := range list {
		if len(p.Parts) == 0 || len(p.Parts) > pick.MaxParts {
			errs = append(errs, fmt.Errorf("placement on server %s has %d parts", p.Server, len(p.Parts)))
		}
		for _, part := range p.Parts {
			errs = append(errs, count("part of a prompt", part.Tokens))
		}
	}
	return errs
}

// poisonErrors returns errors for ages and positions that are out of range.
func poisonErrors(r poison.Report) []error {
	var errs []error
	for _, c := range r.Crashes {
		errs = append(errs, age("crash of "+c.Process.ID, c.Age), age("request of "+c.Process.ID, c.Ran), count("position of a part", c.Position))
	}
	for _, b := range r.Begun {
		errs = append(errs, age("response to a part", b.Age))
	}
	for _, s := range r.Suspects {
		errs = append(errs, age("suspicion of a part", s.Age))
	}
	return errs
}

// age returns an error for an age that is out of range.
func age(what string, d time.Duration) error {
	if d < 0 || d > maxAge {
		return fmt.Errorf("%s: age %v is out of range", what, d)
	}
	return nil
}

// count returns an error for a number that is out of range.
func count(what string, n int) error {
	if n < 0 || n > maxCount {
		return fmt.Errorf("%s: number %d is out of range", what, n)
	}
	return nil
}

// amount returns an error for a value that is negative, infinite or not a number.
func amount(what string, x float64) error {
	if x < 0 || math.IsNaN(x) || math.IsInf(x, 0) {
		return fmt.Errorf("%s: value %v is out of range", what, x)
	}
	return nil
}
