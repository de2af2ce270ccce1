package config

import (
	"errors"
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"github.com/yuccalb/yuccalb/internal/core/model"
)

// Upper bounds of numeric fields. They keep sums over the fleet within an int64.
const (
	maxTokens = 1 << 40 // tokens, or tokens per second
	maxSlots  = 10_000  // slots of a data centre
	maxWeight = 1_000_000
)

// nameRE matches valid names. Names are restricted because they are parts of store keys.
var nameRE = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// methodRE matches an HTTP method.
var methodRE = regexp.MustCompile(`^[A-Z]+$`)

// checkName returns an error if name is not valid.
func checkName(name string) error {
	if name == "" {
		return errors.New("a name is required")
	}
	if !nameRE.MatchString(name) {
		return fmt.Errorf("name %q: want 1 to 63 letters, digits, dots, underscores and hyphens, the first a letter or digit", truncate(name))
	}
	return nil
}

// Check validates a configuration that was not read from files. Its error joins a
// *Problem with a field but without a line for each error found.
func Check(cfg *model.Config) error {
	m := newMerger()
	addAll(m, m.regions, cfg.Regions)
	addAll(m, m.sites, cfg.Sites)
	addAll(m, m.services, cfg.Services)
	addAll(m, m.routes, cfg.Routes)
	addAll(m, m.orgs, cfg.Orgs)
	m.check(cfg)
	return errors.Join(m.errs...)
}

// addAll adds values to a table and reports invalid and duplicate names.
func addAll[T any](m *merger, t *table[T], values []T) {
	for i := range values {
		name := t.name(&values[i])
		field := fmt.Sprintf("%s[%d].name", t.list, i)
		if err := checkName(name); err != nil {
			m.errs = append(m.errs, &Problem{Position: Position{File: "configuration"}, Field: field, Message: err.Error()})
			continue
		}
		if _, ok := t.entries[name]; ok {
			m.errs = append(m.errs, &Problem{Position: Position{File: "configuration"}, Field: field, Message: fmt.Sprintf("%q is defined twice", name)})
			continue
		}
		t.entries[name] = &entry[T]{value: values[i], position: Position{File: "configuration"}}
	}
}

// failField records a problem with a field of a definition, unless the field could not
// be decoded, which has been reported already.
func failField[T any](m *merger, t *table[T], e *entry[T], field, format string, args ...any) {
	if e.fields != nil && e.fields.invalid[field] {
		return
	}
	m.errs = append(m.errs, &Problem{
		Position: e.fieldPosition(field),
		Field:    fmt.Sprintf("%s[%s].%s", t.list, t.name(&e.value), field),
		Message:  fmt.Sprintf(format, args...),
	})
}

// check validates the merged definitions.
func (m *merger) check(cfg *model.Config) {
	for _, e := range m.sites.sorted() {
		m.checkSite(e)
	}
	siteOf := make(map[netip.AddrPort]string)
	for _, e := range m.services.sorted() {
		m.checkService(e, siteOf)
	}
	for _, e := range m.routes.sorted() {
		m.checkRoute(e)
	}
	owners := make(map[model.KeyHash]string, len(cfg.Orgs))
	for _, e := range m.orgs.sorted() {
		m.checkOrg(e, owners)
	}
}

// checkRegion reports a problem if no region is defined under name.
func checkRegion[T any](m *merger, t *table[T], e *entry[T], field, name string) {
	if _, ok := m.regions.entries[name]; !ok {
		failField(m, t, e, field, "region %q is not defined", truncate(name))
	}
}

func (m *merger) checkSite(e *entry[model.Site]) {
	checkRegion(m, m.sites, e, "region", e.value.Region)
	if e.value.Slots < 1 || e.value.Slots > maxSlots {
		failField(m, m.sites, e, "slots", "value %d: want 1 to %d", e.value.Slots, maxSlots)
	}
}

// checkService checks a service. siteOf holds the data centre of each server address
// seen so far: an address in two data centres could violate data residency.
func (m *merger) checkService(e *entry[model.Service], siteOf map[netip.AddrPort]string) {
	s := &e.value
	if s.Kind != model.KindEngine && s.Kind != model.KindPlain {
		failField(m, m.services, e, "kind", "value %q: want engine or plain", truncate(string(s.Kind)))
	}
	seen := make(map[netip.AddrPort]bool, len(s.Servers))
	for i, srv := range s.Servers {
		field := fmt.Sprintf("servers[%d]", i)
		if !srv.Addr.IsValid() || srv.Addr.Port() == 0 {
			failField(m, m.services, e, field+".addr", "an address of the form IP:port is required")
			continue
		}
		if seen[srv.Addr] {
			failField(m, m.services, e, field+".addr", "server %s is listed twice", srv.Addr)
		}
		seen[srv.Addr] = true
		if _, ok := m.sites.entries[srv.Site]; !ok {
			failField(m, m.services, e, field+".site", "data centre %q is not defined", truncate(srv.Site))
			continue
		}
		if other, ok := siteOf[srv.Addr]; ok && other != srv.Site {
			failField(m, m.services, e, field+".site", "server %s is also listed in data centre %q", srv.Addr, other)
		}
		siteOf[srv.Addr] = srv.Site
	}
}

func (m *merger) checkRoute(e *entry[model.Route]) {
	r := &e.value
	svc, ok := m.services.entries[r.Service]
	if !ok {
		failField(m, m.routes, e, "service", "service %q is not defined", truncate(r.Service))
	}
	switch r.Kind {
	case model.KindChat, model.KindPlain:
		want := map[model.Kind]model.Kind{model.KindChat: model.KindEngine, model.KindPlain: model.KindPlain}[r.Kind]
		if ok && svc.value.Kind != want {
			failField(m, m.routes, e, "kind", "a %s route needs a service of kind %s, %q is %s", r.Kind, want, r.Service, svc.value.Kind)
		}
	default:
		failField(m, m.routes, e, "kind", "value %q: want chat or plain", truncate(string(r.Kind)))
	}
	if r.Method != "" && !methodRE.MatchString(r.Method) {
		failField(m, m.routes, e, "method", "value %q: want an HTTP method", truncate(r.Method))
	}
	if r.Path != "" && (!strings.HasPrefix(r.Path, "/") || strings.ContainsAny(r.Path, " \r\n\t")) {
		failField(m, m.routes, e, "path", "value %q: want a path that starts with /", truncate(r.Path))
	}
	for i, name := range r.Regions {
		checkRegion(m, m.routes, e, fmt.Sprintf("regions[%d]", i), name)
	}
	if r.Deadline < 0 {
		failField(m, m.routes, e, "deadline", "value %s: must not be negative", r.Deadline)
	}
	if r.ReservedTokens < 0 || r.ReservedTokens > maxTokens {
		failField(m, m.routes, e, "answer", "value %d: want 0 to %d", r.ReservedTokens, int64(maxTokens))
	}
	if r.Class != "" && r.Class != model.ClassShort && r.Class != model.ClassLong {
		failField(m, m.routes, e, "class", "value %q: want short or long", truncate(string(r.Class)))
	}
}

// checkOrg checks an organisation. owners holds the organisation and position of each
// key seen so far.
func (m *merger) checkOrg(e *entry[model.Org], owners map[model.KeyHash]string) {
	o := &e.value
	if o.Rate < 1 || o.Rate > maxTokens {
		failField(m, m.orgs, e, "rate", "value %d: want 1 to %d tokens per second", o.Rate, int64(maxTokens))
	}
	if o.Burst < 1 || o.Burst > maxTokens {
		failField(m, m.orgs, e, "burst", "value %d: want 1 to %d tokens", o.Burst, int64(maxTokens))
	}
	if o.Weight < 0 || o.Weight > maxWeight {
		failField(m, m.orgs, e, "weight", "value %d: want 0 to %d", o.Weight, maxWeight)
	}
	if o.MaxConfigAge < 0 {
		failField(m, m.orgs, e, "fresh", "value %s: must not be negative", o.MaxConfigAge)
	}
	for i, name := range o.Regions {
		checkRegion(m, m.orgs, e, fmt.Sprintf("regions[%d]", i), name)
	}
	if o.HomeRegion != "" {
		checkRegion(m, m.orgs, e, "home", o.HomeRegion)
	}
	for i, name := range o.Routes {
		if _, ok := m.routes.entries[name]; !ok {
			failField(m, m.orgs, e, fmt.Sprintf("routes[%d]", i), "route %q is not defined", truncate(name))
		}
	}
	for i, k := range o.Keys {
		field := fmt.Sprintf("keys[%d].hash", i)
		if k.Hash == (model.KeyHash{}) {
			failField(m, m.orgs, e, field, "a key hash is required")
			continue
		}
		owner := fmt.Sprintf("organisation %q at %s", o.Name, e.fieldPosition(field))
		if first, ok := owners[k.Hash]; ok {
			failField(m, m.orgs, e, field, "key %s occurs twice, first for %s", k.Hash, first)
			continue
		}
		owners[k.Hash] = owner
	}
}
