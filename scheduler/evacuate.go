package scheduler

import (
	"time"
)

// A worker announces some time in advance that it leaves. Runs that are still
// in progress when it leaves are lost without a report, and their tasks could
// start again only once every lease that the worker can hold has expired. Runs
// that are not expected to end in time are therefore stopped at once and start
// again elsewhere.

const (
	// leaveMargin is how much earlier than announced a worker may leave,
	// because the notice is some time old when the owner receives it.
	leaveMargin = 500 * time.Millisecond
)

// evacuate stops the runs on leaving workers that are not expected to end in
// time.
func (c *Core) evacuate() {
	for _, w := range c.sortedWorkers {
		if !w.info.Leaving || w.info.LeavesAt.IsZero() || w.unanswered > 0 {
			continue
		}
		for _, r := range w.sortedRuns() {
			if r.task == nil || r.phase != runAcknowledged || !r.outlives(c.now, w.info.LeavesAt.Add(-leaveMargin)) {
				continue
			}
			c.stats.Evacuated++
			if s := r.task.step; s.def.Gang {
				c.stopGang(s, r.number, "a worker leaves")
			} else {
				c.stop(r, "its worker leaves")
			}
		}
	}
}

// outlives reports whether a run is expected to last beyond a time. A member of
// a gang lasts until the last member has done its work.
func (r *run) outlives(now, until time.Time) bool {
	s := r.task.step
	if s.def.LongRunning {
		return true
	}
	end := r.projectedEnd(now)
	if s.def.Gang {
		end = latest(end, s.gangEnd(r.number))
	}
	return end.After(until)
}
