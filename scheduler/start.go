package scheduler

import (
	"kumquatstall/requester"
)

// firstRun returns the lowest run number of this owner's epoch. No previous
// owner can have used it or a higher one.
func (c *Core) firstRun() RunNumber { return RunNumber((c.options.Epoch-1)*runsPerEpoch) + 1 }

// nextRun returns the number for the next run of a task.
func (t *task) nextRun(c *Core) RunNumber { return max(t.lastRun+1, c.firstRun()) }

// startRun intends the start of a run, or withholds it and logs a violation if it would
// violate an invariant. The run has its room from now on, and its start is sent once it is
// written ahead.
func (c *Core) startRun(t *task, w *worker, number RunNumber, ticket string) {
	s := t.step
	need := s.def.allocation()
	repeat := t.open != nil && t.open.Run == number && t.open.Worker == w.info.HostID
	r := &run{
		task:        t,
		name:        t.name(),
		number:      number,
		worker:      w,
		need:        need,
		ticket:      ticket,
		repeat:      repeat,
		startedAt:   c.now,
		startFence:  c.fence(w),
		expectedEnd: c.now.Add(s.expectedDuration()),
		resumed:     t.resumesFrom() != "",
		pace:        runPace{percent: fullPace},
	}
	if violated := c.violatedInvariant(t, w, need, repeat); violated != "" {
		c.stats.Violations++
		c.log(LogRecord{Job: s.job().name(), Task: r.name, Worker: w.info.HostID, Event: "start withheld", Why: violated, Violation: true})
		return
	}
	t.lastRun = max(t.lastRun, number)
	t.setRun(r)
	s.waiting--
	s.job().activeRuns++
	w.addRun(r)
	c.consumeUnreserved(s, w)
	c.startUnderWay(r)
	c.runsLeft--
	c.intend(r)
}

// violatedInvariant returns the invariant that a start would violate, or an
// empty string.
func (c *Core) violatedInvariant(t *task, w *worker, need requester.Resources, repeat bool) string {
	s := t.step
	switch {
	case t.done:
		return "the task is done"
	case c.mayRun(t):
		return "the task may be running"
	case t.open != nil && !repeat:
		return "an earlier start of the task may still be executed"
	case s.job().state.Ended():
		return "the job has ended"
	case !s.occurrence.predecessorsDone(s):
		return "an earlier step is not done"
	case s.job().spec.Occurrences > 0 && c.now.Before(s.occurrence.dueAt):
		return "the occurrence is not due"
	case !need.Fits(w.available()):
		return "the worker lacks the resources"
	case !c.compatible(s, w):
		return "the worker does not meet the step's constraints"
	case s.def.AntiAffinity > 0 && s.countRuns(w) >= s.def.AntiAffinity:
		return "too many tasks of the step on the worker"
	case s.keptApart(w):
		return "best-effort tasks beside tasks with a response time target"
	case !c.startRecorded(s):
		return "the step has no start record"
	case !t.crashes.committed(s.job()):
		return "the crashes under the task are not committed"
	case repeat && w.answeredFence <= t.open.fence:
		return "the worker has not shown that it lacks the run"
	case !repeat && s.mayHaveUnknownRuns && !c.Reconciled():
		return "a run of a previous owner may not have been reported"
	}
	return ""
}
