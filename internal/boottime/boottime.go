// Package boottime reads the clock on which the end of a permission is measured.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host was booted, including time in suspension: a
// process that was suspended must notice that its permission has ended before it
// acts. The monotonic clock of the time package stops while the host is suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Duration(time.Now().UnixNano())
	}
	return time.Duration(ts.Nano())
}
