package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock measures time that includes the suspension of the machine. Go's own
// monotonic time stands still meanwhile.
type Clock func() time.Duration

// BootTime returns the time since the machine started.
func BootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Without the clock no lease may be trusted: every lease has expired.
		return time.Duration(1<<63 - 1)
	}
	return time.Duration(ts.Nano())
}
