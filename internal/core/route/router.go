package route

import "time"

// Router chooses between the servers of the local data centre and other data
// centres for one service.
type Router struct {
	Table *Table
	Sites *Sites
}

// Decision is either a server or, when Site is set, a data centre to which the
// request is forwarded.
type Decision struct {
	Server Choice
	Site   SiteChoice
}

// Remote reports whether the request is to be forwarded.
func (d *Decision) Remote() bool { return d.Site.Site != "" }

// Pick decides where the request runs and counts it as sent there. The caller
// must then call either Table.Done or Sites.Done once. The error is ErrRegion if
// neither the local data centre nor any in the list of Sites is in an allowed region,
// and ErrNoServer otherwise.
func (r *Router) Pick(req *Request, now time.Time) (Decision, error) {
	c, sent, err := r.Table.pickBelow(req, r.Sites.minExpected(req), now)
	if sent {
		return Decision{Server: c}, nil
	}
	local := req.QueueWait + c.Expected
	if err != nil {
		local = -1
	}
	if site, ok := r.Sites.Choose(req, local, now); ok {
		return Decision{Site: site}, nil
	}
	if err == ErrRegion {
		if r.Sites.anyAllowed(req) {
			err = ErrNoServer
		}
		return Decision{}, err
	}
	c, err = r.Table.Pick(req, now)
	return Decision{Server: c}, err
}

// anyAllowed reports whether the request may be forwarded to any data centre
// in the list, by region and hop limit.
func (s *Sites) anyAllowed(req *Request) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range s.states {
		if req.allows(st.site.Region) {
			return !req.Forwarded
		}
	}
	return false
}
