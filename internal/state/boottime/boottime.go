// Package boottime reads the clock that counts the time since boot including
// suspensions.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is the machine's CLOCK_BOOTTIME. Go's own monotonic clock stops while
// the machine is suspended, so a lapsed lease would look valid on waking.
type Clock struct{}

// Now returns the time since boot.
func (Clock) Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39 and the pointer is valid.
		panic(err)
	}
	return time.Duration(ts.Nano())
}
