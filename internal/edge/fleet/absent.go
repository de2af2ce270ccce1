package fleet

import (
	"maps"
	"time"
)

const (
	// absentTTL is how long the state of a service is kept that no version names: as long
	// as a pause may last that a server has requested.
	absentTTL = 10 * time.Minute
	// maxAbsent bounds the services whose state is kept.
	maxAbsent = 64
)

// absentServices holds the state of services that the configuration in force does not name.
// What their servers have said still holds when a version names them again. It is not
// safe for concurrent use.
type absentServices map[string]absentService

// absentService is the state of a service since a version left it out.
type absentService struct {
	*Service
	since time.Time
}

// add keeps the state of a service, in place of the oldest one if there are too many.
func (a absentServices) add(name string, s *Service, now time.Time) {
	if len(a) >= maxAbsent {
		oldest := name
		for other, s := range a {
			if oldest == name || s.since.Before(a[oldest].since) {
				oldest = other
			}
		}
		delete(a, oldest)
	}
	a[name] = absentService{s, now}
}

// take removes and returns the state of a service, or nil if there is none.
func (a absentServices) take(name string) *Service {
	s := a[name].Service
	delete(a, name)
	return s
}

// expire drops what is older than absentTTL.
func (a absentServices) expire(now time.Time) {
	maps.DeleteFunc(a, func(_ string, s absentService) bool { return now.Sub(s.since) > absentTTL })
}
