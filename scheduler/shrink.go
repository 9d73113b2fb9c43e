package scheduler

import (
	"fmt"

	"kumquatstall/requester"
)

// A worker's capacity, its room, may shrink and grow while it runs, and an
// incarnation may have another room than the one before. The list of workers
// shows it, at most one heartbeat late.

// updateRoom prepares a worker for the info that replaces its present one.
// Waiting tasks look at the worker again if it may have more room than was
// known. What runs there runs on, also if it exceeds the room.
func (c *Core) updateRoom(w *worker, info WorkerInfo) {
	before, after := w.info.Total, info.Total
	grown := !after.Fits(before)
	if !info.BootedAt.Equal(w.info.BootedAt) || grown {
		c.markFreed(w)
	}
	// A worker known only from the row of leased workers has no room yet.
	unknown := !w.listed && before == requester.Resources{}
	if unknown || before == after {
		return
	}
	if grown {
		c.stats.RoomsGrown++
	}
	if !before.Fits(after) {
		c.stats.RoomsShrunk++
	}
	why := "now " + describeRoom(after) + ", before " + describeRoom(before)
	if !w.allocated.Fits(after) {
		why += "; its runs exceed it, with " + describeRoom(w.allocated)
	}
	c.log(LogRecord{Worker: info.HostID, Event: "worker's capacity", Why: why})
}

func describeRoom(r requester.Resources) string {
	return fmt.Sprintf("%d MilliCores, %d MemoryMB, %d Accelerators", r.MilliCores, r.MemoryMB, r.Accelerators)
}
