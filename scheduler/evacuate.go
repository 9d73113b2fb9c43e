package scheduler

import (
	"time"
)

// Workers tell some time before that they leave, and what still runs there
// then is gone without a word: its tasks could start again only once its lease
// must have lapsed. So runs that won't have ended by then are stopped, at once,
// and start again elsewhere.

const (
	// leaveMargin is how much sooner than it should a worker may be gone: its
	// notice is some time old when it is seen.
	leaveMargin = 500 * time.Millisecond
)

// evacuate stops what will not end in time on workers that leave.
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

// outlives reports whether a run should not have ended by a time.
func (r *run) outlives(now, until time.Time) bool {
	s := r.task.step
	if s.def.LongRunning {
		return true
	}
	end := r.endBy(now)
	if s.def.Gang {
		end = latest(end, s.slowestEnd(r.number))
	}
	return end.After(until)
}
