package scheduler

import (
	"time"
)

// A worker on which several jobs have failed in a row is on probation: after
// its suspension it gets one trial at a time, beside what has been running
// there since before, until a trial shows that it is sound. A task that lasts is
// never done, so it has to show it by the time for which it is at work.

// soundAfter is how long a task that lasts has to be at work on a worker to
// show that the worker is sound.
const soundAfter = 3 * time.Second

// proving reports whether a run that was started on probation has yet to show
// whether the worker is sound.
func (w *worker) proving() bool {
	for _, r := range w.runs {
		if !r.sound && r.startedAt.After(w.health.probationSince) {
			return true
		}
	}
	return false
}

// recordAtWork ends the probation of a worker on which a task that lasts has
// been at work for soundAfter, as one that is done does.
func (c *Core) recordAtWork(r *run) {
	if r.sound || r.task == nil || !r.task.step.def.LongRunning || r.phase != runAcknowledged || c.now.Sub(r.acknowledgedAt) < soundAfter {
		return
	}
	r.sound = true
	if w := r.worker; r.startedAt.After(w.health.probationSince) {
		w.health = health{}
	}
}
