// Package clock reads a monotonic clock that includes the time during which the host was
// suspended, unlike the monotonic readings of package time.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was booted, including suspensions. Only results on
// the same host, without a reboot in between, can be compared.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is missing: " + err.Error()) // Linux provides it since 2.6.39
	}
	return time.Duration(ts.Nano())
}
