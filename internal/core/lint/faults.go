package lint

import (
	"slices"

	"github.com/yuccalb/yuccalb/internal/core/rank"
)

// faults reports values that hosts reject, or read as something else than they say.
func (c *checker) faults() {
	c.limitFaults()
	services := make(map[string]bool, len(c.Services))
	for i := range c.Services {
		s := &c.Services[i]
		c.checkName(services, s.Name, s.At)
		c.notNegative(s.At, AttrConns, float64(s.Conns))
		c.notNegative(s.At, AttrWarmup, s.Warmup)
		c.notNegative(s.At, AttrSlots, float64(s.Slots))
		c.notNegative(s.At, AttrTokens, float64(s.Tokens))
	}
	routes := make(map[string]bool, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		c.checkName(routes, r.Name, r.At)
		c.routeFaults(r)
	}
	orgs := make(map[string]bool, len(c.Orgs))
	owners := make(map[string]string, len(c.Orgs))
	for i := range c.Orgs {
		o := &c.Orgs[i]
		c.checkName(orgs, o.Name, o.At)
		c.orgFaults(o, owners)
	}
}

func (c *checker) limitFaults() {
	l := &c.Limits
	c.notNegative(c.At, AttrHeaderBytes, float64(l.HeaderBytes))
	c.notNegative(c.At, AttrBodyBytes, float64(l.BodyBytes))
	c.notNegative(c.At, AttrHeaderTimeout, l.HeaderTimeout.Seconds())
	c.notNegative(c.At, AttrIdleTimeout, l.IdleTimeout.Seconds())
}

func (c *checker) routeFaults(r *Route) {
	c.notNegative(r.At, AttrTimeout, r.Timeout.Seconds())
	c.notNegative(r.At, AttrPause, r.Pause.Seconds())
	c.notNegative(r.At, AttrGoal, r.Goal.Seconds())
	c.notNegative(r.At, AttrAttempts, float64(r.Attempts))
	c.checkPriority(r.At, r.Priority)
	c.checkRegions(r.At, r.Regions)
	if len(r.Targets) == 0 {
		c.fail(r.At(AttrTarget, -1), "the route has no service")
	}
	for i, t := range r.Targets {
		if t.Weight < 0 {
			c.fail(r.At(AttrWeight, i), "must not be negative")
		}
		if c.services[t.Service] == nil {
			c.fail(r.At(AttrTarget, i), "service %q is not defined", t.Service)
		}
	}
}

// orgFaults checks an organisation. The map owners holds the organisation of each key
// seen so far.
func (c *checker) orgFaults(o *Org, owners map[string]string) {
	c.notNegative(o.At, AttrRate, o.Rate)
	c.notNegative(o.At, AttrBurst, o.Burst)
	c.notNegative(o.At, AttrCost, o.Cost)
	if o.HasPriority {
		c.checkPriority(o.At, o.Priority)
	}
	c.checkRegions(o.At, o.Regions)
	for i, key := range o.Keys {
		if key == "" {
			c.fail(o.At(AttrKeys, i), "the key is empty")
			continue
		}
		if first, ok := owners[key]; ok {
			c.fail(o.At(AttrKeys, i), "the key occurs twice, first for organisation %q", first)
			continue
		}
		owners[key] = o.Name
	}
}

// checkName reports an empty name, and one that occurs twice in a list.
func (c *checker) checkName(seen map[string]bool, name string, at Locator) {
	switch {
	case name == "":
		c.fail(at(AttrName, -1), "a name is required")
	case seen[name]:
		c.fail(at(AttrName, -1), "%q is defined twice", name)
	}
	seen[name] = true
}

func (c *checker) notNegative(at Locator, a Attr, n float64) {
	if n < 0 {
		c.fail(at(a, -1), "must not be negative")
	}
}

func (c *checker) checkPriority(at Locator, n int64) {
	if n < 0 || n > rank.MaxPriority {
		c.fail(at(AttrPriority, -1), "value %d: want 0 to %d", n, rank.MaxPriority)
	}
}

// checkRegions reports regions that do not exist.
func (c *checker) checkRegions(at Locator, names []string) {
	if c.Regions == nil {
		return
	}
	for i, name := range names {
		if !slices.Contains(c.Regions, name) {
			c.fail(at(AttrRegions, i), "region %q does not exist", name)
		}
	}
}
