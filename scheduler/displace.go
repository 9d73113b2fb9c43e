package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// A task with a target for its response times doesn't run beside best-effort
// tasks, which take the processor time that others leave. Where no other worker
// has room for it, the best-effort tasks of one worker are stopped and start
// again elsewhere. Until the waiting tasks of its step have started, that worker
// gets no other best-effort tasks.

// displaceInterval is the least time between two searches for workers to clear
// for a step.
const displaceInterval = 100 * time.Millisecond

// displaceBestEffort stops the best-effort runs on as many workers as the waiting
// tasks of a step with a target need beyond the room that there is, and the
// workers that are being cleared for the step already. Workers whose best-effort runs
// can't be stopped are shared instead.
func (c *Core) displaceBestEffort(s *step) {
	if s.def.TargetMillis <= 0 || s.def.Gang || s.advice.inFlight > 0 || c.now.Before(s.displaceAfter) {
		return
	}
	s.displaceAfter = c.now.Add(displaceInterval)
	wanted := c.startable(s)
	var found []*worker
	for _, w := range c.allowedWorkers(s) {
		switch {
		case w.clearedFor == s:
			wanted--
		case c.displaceable(s, w):
			found = append(found, w)
		default:
			wanted -= c.slots(s, w)
		}
	}
	slices.SortStableFunc(found, func(a, b *worker) int { return cmp.Compare(len(a.runs), len(b.runs)) })
	var kept []*worker
	for _, w := range found {
		if wanted <= 0 {
			return
		}
		if c.clearFor(s, w) {
			wanted--
		} else {
			kept = append(kept, w)
		}
	}
	for _, w := range kept[:max(0, min(wanted, len(kept)))] {
		c.shareWith(s, w)
	}
}

// startable counts the waiting tasks of a step that lack only a worker.
func (c *Core) startable(s *step) int {
	count := s.waiting
	for t := range s.knownTasks() {
		if t.waits() && c.holds(t) != WaitNothing {
			count--
		}
	}
	return count
}

// displaceable reports whether a worker could run a task of the step but for
// its best-effort runs.
func (c *Core) displaceable(s *step, w *worker) bool {
	if !w.hasBestEffortRun() || w.clearing() || !c.compatible(s, w) || !s.def.allocation().Fits(c.availableFor(s, w)) {
		return false
	}
	return s.def.AntiAffinity == 0 || s.countRuns(w) < s.def.AntiAffinity
}

// clearFor stops the best-effort runs on a worker for a step. It stops none of
// them and returns false if that would make more tasks of one of their steps
// unavailable than the step may miss.
func (c *Core) clearFor(s *step, w *worker) bool {
	var runs []*run
	stopped := make(map[*step]int)
	for _, r := range w.sortedRuns() {
		if r.task == nil || !r.task.step.def.Fills || r.phase == runStopping {
			continue
		}
		runs = append(runs, r)
		stopped[r.task.step]++
	}
	for other, count := range stopped {
		if other.def.MayMiss > 0 && other.unavailable()+count > other.def.MayMiss {
			return false
		}
	}
	w.clearedFor = s
	for _, r := range runs {
		const why = "a task with a target for its response times needs the worker"
		if r.task != nil && r.task.step.def.Gang {
			c.stopGang(r.task.step, r.number, why)
		} else {
			c.stop(r, why)
		}
	}
	c.stats.Displaced += int64(len(runs))
	return true
}

// clearing reports whether the worker is kept for waiting tasks of a step with a
// target.
func (w *worker) clearing() bool {
	if w.clearedFor != nil && (!w.clearedFor.open || w.clearedFor.waiting == 0) {
		w.clearedFor = nil
	}
	return w.clearedFor != nil
}

// unavailable counts the tasks of the step without a run that is known to be at work. That
// of a worker which doesn't answer isn't.
func (s *step) unavailable() int {
	count := s.def.Count
	for t := range s.knownTasks() {
		if t.run != nil && t.run.phase == runAcknowledged && t.run.worker.unanswered == 0 && t.run.progress.percent >= completePercent {
			count--
		}
	}
	return count
}
