package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"kumquatstall/requester"
)

// compareRuns orders runs by task name and run number.
func compareRuns(a, b *run) int {
	return cmp.Or(
		cmp.Compare(a.name.Job, b.name.Job),
		cmp.Compare(a.name.Occurrence, b.name.Occurrence),
		cmp.Compare(a.name.Step, b.name.Step),
		cmp.Compare(a.name.Index, b.name.Index),
		cmp.Compare(a.number, b.number),
	)
}

// health distinguishes a worker on which every task fails from one that
// happened to get jobs which fail anywhere.
type health struct {
	// failureStreak counts failed runs since the last completed run or restart;
	// consecutive failures of the same job count once.
	failureStreak int
	lastJob       requester.JobID
	probation     bool
	// probationSince is when the probation began; zero without one.
	probationSince time.Time
	// suspensions counts the suspensions since the last completed run or
	// restart.
	suspensions int
}

// Suspension of workers on which runs keep failing.
const (
	// failuresToSuspend is how many jobs in a row must fail on a worker before
	// it is suspended; one or two of them may be at fault themselves.
	failuresToSuspend = 3
	// firstSuspension is the duration of the first suspension. Each further one
	// is twice as long, up to maxSuspensionFactor times the first.
	firstSuspension     = time.Second
	maxSuspensionFactor = 8
)

// applyEnd applies the reported end of a run. A worker reports an end to each
// new owner again until it is acknowledged.
func (c *Core) applyEnd(w *worker, ended EndedRun) {
	record := func() LogRecord {
		return LogRecord{
			Job: ended.Task.Job, Task: ended.Task, Run: ended.Run, Worker: w.info.HostID, Event: limitedEventNames[eventStopped],
			Why: ended.Kind.String() + ", end " + strconv.FormatInt(ended.Number, 10),
		}
	}
	if ended.Kind == EndStopped {
		c.logLimited(eventStopped, record)
	} else {
		c.log(record())
	}
	key := runKey{ended.Task, ended.Run}
	c.noteResurfaced(w, key, ended.Kind.String())
	t := c.findTask(ended.Task)
	r := w.runs[key]
	c.settleEnded(r, ended)
	if r != nil {
		// The end is certain, so no stop is needed.
		r.phase, r.barredAt = runStopping, c.now
	}
	if t != nil && !t.step.job().state.Ended() {
		c.applyTaskEnd(w, t, ended)
	}
	c.addPendingEnd(w, ended)
	if r == nil {
		return
	}
	if ended.Kind == EndStopped || ended.Kind == EndExpired {
		c.releaseUndone(r, "it was stopped")
		return
	}
	// When a member of a gang fails or is aborted, the workers end the other
	// members without an order.
	c.release(r)
}

// applyTaskEnd applies the end of a run to its task and job.
func (c *Core) applyTaskEnd(w *worker, t *task, ended EndedRun) {
	j := t.step.job()
	t.lastRun = max(t.lastRun, ended.Run)
	t.step.lastRun = max(t.step.lastRun, ended.Run)
	if t.done {
		return
	}
	if ended.Checkpoint != "" && t.step.def.Checkpointing {
		c.setCheckpoint(t, ended.Checkpoint)
	}
	switch {
	case ended.Kind == EndDone && !t.step.def.LongRunning:
		c.stats.Done++
		w.health = health{}
		c.observeDuration(w.runs[runKey{ended.Task, ended.Run}])
		c.markDone(t, ended.Run)
	case ended.Kind == EndFailed:
		c.stats.Failed++
		c.recordWorkerFailure(w, j.name())
		c.recordFailure(w, t, ended)
	}
	c.markDirty(j)
	if t.step.complete() && t.step.doneVersion == 0 {
		t.step.doneVersion = j.version
	}
	c.completeJob(j)
}

// markDone marks a task as done, and with a member of a gang the whole gang. It
// stops other runs of these tasks.
func (c *Core) markDone(t *task, number RunNumber) {
	s := t.step
	if !s.def.Gang {
		c.markTaskDone(s, t.index, number)
	} else {
		for index := range s.def.Count {
			c.markTaskDone(s, index, number)
		}
	}
	if s.complete() {
		c.closeStep(s)
	}
}

// markTaskDone marks the task with that index as done by the run with that number, and stops
// another run of it.
func (c *Core) markTaskDone(s *step, index int, number RunNumber) {
	if s.taskIsDone(index) {
		return
	}
	t := s.knownTask(index)
	s.setDone(index)
	if t == nil || t.run == nil {
		s.waiting--
	} else if t.run.number != number {
		c.stop(t.run, "its task is done")
	}
}

// recordFailure counts a failed run against the attempts of its task or gang,
// and fails the job once they are exhausted. A run that was counted before is
// ignored.
func (c *Core) recordFailure(w *worker, t *task, ended EndedRun) {
	s := t.step
	failed := &t.failedRuns
	if s.def.Gang {
		failed = &s.failedRuns
	}
	if s.def.LongRunning || slices.Contains(*failed, ended.Run) {
		return
	}
	*failed = append(*failed, ended.Run)
	if !slices.Contains(s.avoid, w.info.HostID) {
		s.avoid = append(s.avoid, w.info.HostID)
	}
	j := s.job()
	c.log(LogRecord{Job: j.name(), Task: t.name(), Run: ended.Run, Worker: w.info.HostID, Event: "run failed", Why: "attempt " + strconv.Itoa(len(*failed)) + " of " + strconv.Itoa(max(1, j.spec.MaxAttempts))})
	if len(*failed) >= max(1, j.spec.MaxAttempts) {
		c.stats.JobsFailed++
		c.endJob(j, StateFailed, "a task has used its attempts")
	}
}

// recordWorkerFailure counts the failure of a job on a worker. It suspends the
// worker when failureStreak reaches failuresToSuspend, and at each further
// failure on probation.
func (c *Core) recordWorkerFailure(w *worker, id requester.JobID) {
	if w.health.lastJob == id {
		return
	}
	w.health.lastJob = id
	w.health.failureStreak++
	if w.health.failureStreak < failuresToSuspend && !w.health.probation {
		return
	}
	if !w.health.probation {
		w.health.probation, w.health.probationSince = true, c.now
	}
	factor := min(1<<w.health.suspensions, maxSuspensionFactor)
	w.health.suspensions++
	w.suspendedUntil = c.now.Add(time.Duration(factor) * firstSuspension)
	c.stats.WorkersRested++
	c.log(LogRecord{Worker: w.info.HostID, Event: "worker rests", Why: "several jobs failed on it in a row"})
}
