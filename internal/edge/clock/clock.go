// Package clock reads a clock that also counts the time during which the host
// was suspended, unlike the monotonic readings of package time.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was booted, with suspensions. It is
// meaningful only in comparison with other results on the same host.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is missing: " + err.Error()) // Linux has it since 2.6.39
	}
	return time.Duration(ts.Nano())
}
