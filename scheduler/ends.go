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
	streak    int
	lastJob   requester.JobID
	probation bool
	// rests counts the rests in a row.
	rests int
}

// Bounds on workers that fail what they start.
const (
	// failuresToRest is how many jobs in a row must fail on a worker; one or
	// two of them may be at fault themselves.
	failuresToRest = 3
	firstRest      = time.Second
	maxRestFactor  = 8
)

// takeEnd takes in the end of a run.
func (c *Core) takeEnd(w *worker, ended EndedRun) {
	key := runKey{ended.Task, ended.Run}
	t := c.find(ended.Task)
	pending := pendingEnd{number: ended.Number}
	r := w.runs[key]
	if r != nil {
		// Nothing more has to be asked of it.
		r.phase, r.barredAt = runStopping, c.now
	}
	if t != nil && !t.step.job().state.Ended() {
		c.endTask(w, t, ended)
		pending.job, pending.version = t.step.job(), t.step.job().version
	}
	w.pending = append(w.pending, pending)
	if r == nil {
		return
	}
	if ended.Kind == EndStopped || ended.Kind == EndLapsed {
		c.lose(r, "it was stopped")
		return
	}
	// Failures and broken gangs end the other members without an order.
	c.release(r)
}

// endTask applies the end of a run to its task.
func (c *Core) endTask(w *worker, t *task, ended EndedRun) {
	j := t.step.job()
	t.lastRun = max(t.lastRun, ended.Run)
	t.step.lastRun = max(t.step.lastRun, ended.Run)
	if t.done {
		return
	}
	if ended.Checkpoint != "" && t.step.def.Checkpointing {
		c.keepCheckpoint(t, ended.Checkpoint)
	}
	switch {
	case ended.Kind == EndDone && !t.step.def.LongRunning:
		c.stats.Done++
		w.health = health{}
		c.learn(w.runs[runKey{ended.Task, ended.Run}])
		c.finish(t, ended.Run)
	case ended.Kind == EndFailed:
		c.stats.Failed++
		c.countHealth(w, j.name())
		c.fail(w, t, ended)
	}
	c.touch(j)
	if t.step.complete() && t.step.doneVersion == 0 {
		t.step.doneVersion = j.version
	}
	c.settleJob(j)
}

// finish marks a task as done; the members of a gang are done together.
func (c *Core) finish(t *task, number RunNumber) {
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
func (c *Core) fail(w *worker, t *task, ended EndedRun) {
	s := t.step
	failed := &t.failed
	if s.def.Gang {
		failed = &s.failed
	}
	if s.def.LongRunning || slices.Contains(*failed, ended.Run) {
		return
	}
	*failed = append(*failed, ended.Run)
	if !slices.Contains(s.avoid, w.info.HostID) {
		s.avoid = append(s.avoid, w.info.HostID)
	}
	j := s.job()
	c.note(Note{Job: j.name(), Task: t.name(), Run: ended.Run, Worker: w.info.HostID, Event: "run failed", Why: "attempt " + strconv.Itoa(len(*failed)) + " of " + strconv.Itoa(max(1, j.spec.MaxAttempts))})
	if len(*failed) >= max(1, j.spec.MaxAttempts) {
		c.stats.JobsFailed++
		c.endJob(j, StateFailed, "a task has used its attempts")
	}
}

// countHealth notes that a job failed on a worker.
func (c *Core) countHealth(w *worker, id requester.JobID) {
	if w.health.lastJob == id {
		return
	}
	w.health.lastJob = id
	w.health.streak++
	if w.health.streak < failuresToRest && !w.health.probation {
		return
	}
	w.health.probation = true
	factor := min(1<<w.health.rests, maxRestFactor)
	w.health.rests++
	w.restUntil = c.now.Add(time.Duration(factor) * firstRest)
	c.stats.WorkersRested++
	c.note(Note{Worker: w.info.HostID, Event: "worker rests", Why: "it fails what it starts"})
}
