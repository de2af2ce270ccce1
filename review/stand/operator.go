package main

import "github.com/yuccalb/yuccalb/platform/plattest"

// operator writes versions of a configuration with one route, which goes to one of the services
// blue and green.
type operator struct {
	play    *play
	store   *plattest.Store
	version int
}

// putConfig writes the next version, with the route on a service. It names no other service if
// only is set.
func (o *operator) putConfig(service string, only bool) {
	services := []string{"blue", "green"}
	if only {
		services = []string{service}
	}
	o.version += 3
	o.store.PutConfig(plattest.Config{
		Version: o.version, Services: services,
		Routes: []plattest.Route{{Prefix: "/order/", Service: service, Kind: "unsafe", Attempts: 1, TimeoutMS: 4000}},
	})
	o.play.record("the store acknowledges version %d: /order/ goes to %s, services %v", o.version, service, services)
}
