package fleet

import (
	"strconv"
	"testing"
	"time"
)

// TestAbsentServicesBounded guards against memory that grows with each service that a version
// of the configuration leaves out.
func TestAbsentServicesBounded(t *testing.T) {
	a := make(absentServices)
	now := time.Now()
	for i := range 2 * maxAbsent {
		a.add(strconv.Itoa(i), &Service{}, now.Add(time.Duration(i)*time.Second))
	}
	if len(a) != maxAbsent || a.take("0") != nil || a.take(strconv.Itoa(maxAbsent)) == nil {
		t.Errorf("%d services kept, want the newest %d", len(a), maxAbsent)
	}
	a.expire(now.Add(absentTTL + (2*maxAbsent-1)*time.Second))
	if len(a) != 1 {
		t.Errorf("%d services kept after their time, want the last one", len(a))
	}
}
