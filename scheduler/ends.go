package scheduler

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"kumquatstall/requester"
)

func compareRuns(a, b *run) int {
	return cmp.Or(
		cmp.Compare(a.name.Job, b.name.Job),
		cmp.Compare(a.name.Occurrence, b.name.Occurrence),
		cmp.Compare(a.name.Step, b.name.Step),
		cmp.Compare(a.name.Index, b.name.Index),
		cmp.Compare(a.number, b.number),
	)
}

// health tells a worker that fails whatever it starts from one that ran into
// jobs which fail anywhere.
type health struct {
	// streak counts failed ends in a row, of different jobs.
	failureStreak int
	lastJob       requester.JobID
	probation     bool
	// rests counts the rests in a row.
	suspensions int
}

// Bounds on workers that fail what they start.
const (
	// failuresToSuspend is how many jobs in a row must fail on a worker; one or
	// two of them may be at fault themselves.
	failuresToSuspend   = 3
	firstSuspension     = time.Second
	maxSuspensionFactor = 8
)

// applyEnd takes in the end of a run.
func (c *Core) applyEnd(w *worker, ended EndedRun) {
	key := runKey{ended.Task, ended.Run}
	t := c.findTask(ended.Task)
	pending := pendingEnd{number: ended.Number}
	r := w.runs[key]
	if r != nil {
		// Nothing more has to be asked of it.
		r.phase, r.barredAt = runStopping, c.now
	}
	if t != nil && !t.step.job().state.Ended() {
		c.applyTaskEnd(w, t, ended)
		pending.job, pending.version = t.step.job(), t.step.job().version
	}
	w.pendingEnds = append(w.pendingEnds, pending)
	if r == nil {
		return
	}
	if ended.Kind == EndStopped || ended.Kind == EndExpired {
		c.releaseLost(r, "it was stopped")
		return
	}
	// Failures and broken gangs end the other members without an order.
	c.release(r)
}

// applyTaskEnd applies the end of a run to its task.
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

// finish marks a task as done; the members of a gang are done together.
func (c *Core) markDone(t *task, number RunNumber) {
	s := t.step
	tasks := []*task{t}
	if s.def.Gang {
		tasks = s.tasks
	}
	for _, member := range tasks {
		if member.done {
			continue
		}
		member.done = true
		s.done++
		if member.run == nil {
			s.waiting--
		} else if member.run.number != number {
			c.stop(member.run, "its task is done")
		}
	}
	if s.complete() {
		c.closeStep(s)
	}
}

// fail counts a failed run.
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

// recordWorkerFailure notes that a job failed on a worker.
func (c *Core) recordWorkerFailure(w *worker, id requester.JobID) {
	if w.health.lastJob == id {
		return
	}
	w.health.lastJob = id
	w.health.failureStreak++
	if w.health.failureStreak < failuresToSuspend && !w.health.probation {
		return
	}
	w.health.probation = true
	factor := min(1<<w.health.suspensions, maxSuspensionFactor)
	w.health.suspensions++
	w.suspendedUntil = c.now.Add(time.Duration(factor) * firstSuspension)
	c.stats.WorkersRested++
	c.log(LogRecord{Worker: w.info.HostID, Event: "worker rests", Why: "it fails what it starts"})
}
