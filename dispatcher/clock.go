package dispatcher

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a monotonic clock that continues while the host is suspended.
type Clock interface{ Now() time.Time }

// bootClock is a Clock that starts from the wall-clock time of its creation.
type bootClock struct {
	wall time.Time
	boot time.Duration
}

// NewClock returns a Clock that reads the boot-time clock of this host.
func NewClock() Clock {
	return &bootClock{wall: time.Now().Round(0), boot: sinceBoot()}
}

// Now implements Clock.
func (c *bootClock) Now() time.Time { return c.wall.Add(sinceBoot() - c.boot) }

// sinceBoot returns the time since the host booted, including the time that it
// was suspended. The monotonic clock of the Go runtime excludes that time.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call fails only if the kernel does not have this clock.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
