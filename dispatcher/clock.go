package dispatcher

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells a time that never jumps and counts while the host is suspended.
type Clock interface{ Now() time.Time }

// bootClock counts from the time of day at which it was made.
type bootClock struct {
	wall time.Time
	boot time.Duration
}

// NewClock returns a Clock of this host.
func NewClock() Clock {
	return &bootClock{wall: time.Now().Round(0), boot: sinceBoot()}
}

// Now implements Clock.
func (c *bootClock) Now() time.Time { return c.wall.Add(sinceBoot() - c.boot) }

// sinceBoot reads the clock that goes on while the host is suspended, which
// the clock of the language's runtime doesn't.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The call fails only for a clock that the kernel doesn't have.
		panic("read the clock since boot: " + err.Error())
	}
	return time.Duration(t.Nano())
}
