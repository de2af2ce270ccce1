package lint

// limits reports limits that contradict each other.
func (c *checker) limits() {
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Timeout > 0 && r.Pause > r.Timeout {
			c.warn(r.At(AttrPause, -1), "the longest pause of %s between events is longer than the timeout of %s", r.Pause, r.Timeout)
		}
		if r.Timeout > 0 && r.Goal > r.Timeout {
			c.warn(r.At(AttrGoal, -1), "the goal of %s is longer than the timeout of %s", r.Goal, r.Timeout)
		}
	}
	for i := range c.Services {
		s := &c.Services[i]
		if s.Conns > 0 && s.Conns < s.Slots {
			c.warn(s.At(AttrConns, -1), "%d connections to a server can't use its %d slots", s.Conns, s.Slots)
		}
	}
	for i := range c.Orgs {
		o := &c.Orgs[i]
		switch {
		case o.Rate == 0 && o.Burst > 0:
			c.warn(o.At(AttrBurst, -1), "the burst of %g %s has no effect: a rate of 0 sets no limit", o.Burst, o.Unit)
		case o.Rate > 0 && o.Burst >= 0:
			c.orgBurst(o)
		}
	}
}

// orgBurst reports a burst below the cost of one request.
func (c *checker) orgBurst(o *Org) {
	cost, route := o.Cost, ""
	for i := range c.Routes {
		r := &c.Routes[i]
		if !r.Public && o.permits(r) && o.Cost+r.Cost > cost {
			cost, route = o.Cost+r.Cost, r.Name
		}
	}
	if o.Burst >= cost {
		return
	}
	effect := "it is admitted only when nothing of the burst is used, and then exceeds it"
	if c.BurstRefuses {
		effect = "it is refused"
	}
	on := ""
	if route != "" {
		on = " on route " + route
	}
	c.warn(o.At(AttrBurst, -1), "a request%s that does not state its size costs %g %s, more than the burst of %g: %s", on, cost, o.Unit, o.Burst, effect)
}
