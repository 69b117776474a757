package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures time including the time for which the machine is suspended.
// Go's monotonic time does not advance during suspension.
type Clock func() time.Duration

// BootTime returns the time since the machine started.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without the clock no lease can be trusted, so that every lease has
		// expired.
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(ts.Nano())
}
