package scheduler

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"kumquatstall/requester"
)

// runPhase is the phase of a run, from the owner's view.
type runPhase int

const (
	// runStarting means that the start was sent and its result is outstanding.
	runStarting runPhase = iota
	// runAcknowledged means that the worker accepted the start or reported the
	// run.
	runAcknowledged
	// runUnacknowledged means that the start received no response. The worker
	// may have executed it, or may still do so.
	runUnacknowledged
	// runStopping means that the run is to be stopped and the worker has not
	// reported its end.
	runStopping
	// runIntended means that the start has not been sent yet (intended.go).
	runIntended
)

// run is one run of a task on a worker. It occupies its resources until it is
// certain that it has ended. task is nil if the run was orphaned when its
// worker first reported it.
type run struct {
	task   *task
	name   TaskName
	number RunNumber
	worker *worker
	phase  runPhase
	need   requester.Resources
	// startedAt is when the start was issued, or before that intended, or the run was
	// first reported.
	startedAt time.Time
	// acknowledgedAt is when the worker accepted or first reported the run;
	// zero before that.
	acknowledgedAt time.Time
	// startFence is the fence of the start, or that of the worker when it first
	// reported the run. reported is true once the worker's current incarnation
	// has reported the run.
	startFence Fence
	reported   bool
	// address is where the start was sent; it is not known of runs that were first known
	// from a report.
	address netip.AddrPort
	// settled is true once no incarnation of the worker executes the start any more:
	// it was answered, or the run was reported. It is true as well before it is sent.
	settled bool
	// written is the start in the list of intended starts; nil if this owner didn't
	// intend it.
	written *writtenStart
	// ticket is the ticket with which the run starts; empty if it needs none.
	ticket string
	// repeat is true if the start repeats an open one; before it was, untilBefore and
	// repeatUntilBefore were the times until which that could be executed.
	repeat                         bool
	untilBefore, repeatUntilBefore time.Time
	// givenUpAt is when the start was given up without an answer; zero before that.
	givenUpAt time.Time
	// confirmed is true if the worker's present incarnation has accepted the start.
	confirmed bool
	// expectedEnd is when the run should end, by the expected duration or by
	// its progress.
	expectedEnd time.Time
	// resumed is true if the run started from a checkpoint or was started by a
	// previous owner, so that its duration says nothing about the whole task.
	resumed bool
	// tracked is true if the run was first known from a worker's report, so
	// that it is older than startedAt says.
	tracked bool
	// checkpoint is the last one that the worker reported.
	checkpoint string
	// progress is the reported progress over time.
	progress runProgress
	// stopInFlight is true if a stop waits to be sent, or was sent and its result is
	// outstanding.
	stopInFlight bool
	// stopWhy is why the run is to be stopped, for the log, until a stop is issued.
	stopWhy string
	// barredAt is when the worker acknowledged a stop or reported the end. From
	// then on the worker rejects a start that is still in flight.
	barredAt time.Time
	// sound is true once the run has shown that its worker is sound, as a task
	// that lasts and is not done otherwise.
	sound bool
	// pace is the pace of a best-effort run.
	pace runPace
	// unsized is true if the resources that the run occupies are unknown.
	unsized bool
	// underWay is true if the start counts among those that are under way.
	underWay bool
}

type runKey struct {
	name   TaskName
	number RunNumber
}

// sortedRuns returns the runs in the order of their names, so that decisions do
// not depend on map iteration order.
func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

// stop orders a run to be stopped. The run occupies its resources until it is
// certain that it has ended.
func (c *Core) stop(r *run, why string) {
	if r.phase == runStopping {
		return
	}
	if r.toBeSent() {
		c.withdraw(r, why)
		return
	}
	r.phase = runStopping
	c.startAnswered(r)
	r.stopWhy = why
	c.stats.Stops++
	c.sendStop(r)
}

// StopDone handles the result of a stop order.
func (c *Core) StopDone(now time.Time, order StopOrder, result OrderResult) {
	c.now = now
	c.stopReturned(c.workers[order.Worker.HostID])
	c.stopDone(order, result)
}

// stopDone handles the result of a stop that the owner or a carrier has sent.
func (c *Core) stopDone(order StopOrder, result OrderResult) {
	w, r, ok := c.currentRun(order.Worker, runKey{order.Task, order.Run}, order.Fence)
	if !ok {
		return
	}
	r.stopInFlight = false
	switch result {
	case OrderAccepted:
		r.barredAt = c.now
		// A poll sent from now on shows whether the run is still active. Several stops are
		// shown by one.
		if !w.stopsDue() {
			w.nextPollAt = c.now
		}
	case OrderFenced:
		if c.rejectedByFence(w, order.Fence); !c.fenced {
			// An order that was issued after it has overtaken it.
			c.sendStop(r)
		}
	case OrderOtherIncarnation:
		c.endIncarnation(w, order.Worker)
	case OrderUnknown, OrderUnsent:
		c.raiseGeneration(w)
	}
	if result != OrderAccepted && !r.stopInFlight {
		// It is sent again once the worker reports the run.
		w.stopFailed = true
	}
}

// StartDone handles the result of a start order.
func (c *Core) StartDone(now time.Time, order StartOrder, result OrderResult) {
	c.now = now
	w, ok := c.workers[order.Worker.HostID]
	c.startReturned(w)
	if !ok {
		return
	}
	r, ok := w.runs[runKey{order.Task, order.Run}]
	if ok && r.repeat && order.Fence < r.startFence {
		r, ok = nil, false // this answers an earlier order of the run
	}
	if result == OrderUnknown {
		c.giveUpStart(r, order)
	} else {
		c.settleStart(r, order, result)
	}
	if ok {
		c.startAnswered(r)
	}
	if ok && result == OrderUnsent {
		c.startUnsent(r, order)
		return
	}
	if !ok || !c.addressesCurrent(w, order.Fence) || r.phase != runStarting && r.phase != runStopping {
		return
	}
	switch result {
	case OrderAccepted:
		r.acknowledgedAt = now
		r.countStarted()
		if r.phase == runStarting {
			r.phase = runAcknowledged
			c.markRunning(r.task.step.job())
		}
		return
	case OrderUnknown, OrderOtherIncarnation:
		c.stats.Doubtful++
		c.log(LogRecord{Job: order.Task.Job, Task: order.Task, Run: order.Run, Worker: w.info.HostID, Event: "start without an answer"})
		if r.phase == runStarting {
			r.phase = runUnacknowledged
		}
		c.openStart(r)
		c.noteUnanswered(w)
		c.raiseGeneration(w)
		return
	case OrderFenced:
		c.rejectedByFence(w, order.Fence)
	case OrderRefused:
		w.suspendedUntil = now.Add(refusalCoolDown)
	case OrderNoTicket:
		if r.task != nil {
			r.task.step.advice.invalidate(w.info.HostID)
		}
	}
	c.stats.Rejected++
	c.log(LogRecord{Job: order.Task.Job, Task: order.Task, Run: order.Run, Worker: w.info.HostID, Event: "start rejected", Why: result.String()})
	c.releaseLost(r, "start was rejected")
}

// startUnsent handles a start that was never sent. Whichever incarnation of the worker it
// was meant for, none executes it.
func (c *Core) startUnsent(r *run, order StartOrder) {
	w := r.worker
	if r.acknowledgedAt.IsZero() {
		c.stats.Rejected++
		c.log(LogRecord{Job: order.Task.Job, Task: order.Task, Run: order.Run, Worker: w.info.HostID, Event: "start not sent"})
		c.releaseLost(r, "its start was not sent")
	}
	// The run is released before, so that it doesn't explain why the worker is silent.
	if c.addressesCurrent(w, order.Fence) {
		c.noteUnanswered(w)
	}
}

// noteUnanswered counts a start without an answer: the worker is unresponsive, and is
// polled at once.
func (c *Core) noteUnanswered(w *worker) {
	c.withdrawFrom(w, "its worker doesn't answer")
	c.noteSilent(w)
	w.unanswered++
	w.nextPollAt = c.now
}

// countStarted counts a run that its worker is known to have started.
func (r *run) countStarted() {
	if r.task != nil && r.task.run == r {
		r.task.startedRuns++
	}
}

// refusalCoolDown is how long a worker that refused a start gets no new tasks.
const refusalCoolDown = 500 * time.Millisecond

// markRunning moves a queued job to the running state.
func (c *Core) markRunning(j *job) {
	if j.state == StateQueued {
		j.state = StateRunning
		c.markDirty(j)
	}
}

// release frees the resources of a run. If it is the current run of a task that
// is not done, the task waits for a worker again.
func (c *Core) release(r *run) {
	w := r.worker
	w.removeRun(r)
	if r.unsized {
		w.unsized--
	}
	c.markFreed(w)
	t := r.task
	c.startAnswered(r)
	if t == nil {
		c.removeStray(r.name)
	}
	if t == nil || t.run != r {
		return
	}
	t.setRun(nil)
	c.forgetNote(t)
	t.step.job().activeRuns--
	c.openStart(r)
	if t.done {
		t.step.forget(t)
		return
	}
	t.step.waiting++
	t.step.addReturned(t)
	if r.checkpoint != "" && t.step.def.Checkpointing {
		c.setCheckpoint(t, r.checkpoint)
	}
}

// removeStray removes an orphaned run of a task that has ended.
func (c *Core) removeStray(name TaskName) {
	c.strays[name]--
	if c.strays[name] <= 0 {
		delete(c.strays, name)
	}
}

// mayRun reports whether some run of the task may be active.
func (c *Core) mayRun(t *task) bool {
	return t.run != nil || len(c.strays) > 0 && c.strays[t.name()] > 0
}

// anyMayRun reports whether some run of a task of the step may be active.
func (c *Core) anyMayRun(s *step) bool {
	for t := range s.knownTasks() {
		if t.run != nil {
			return true
		}
	}
	return c.anyStray(s)
}

// setRun sets the present run of the task; nil for none.
func (t *task) setRun(r *run) {
	if t.step.def.Gang {
		t.step.countMember(t.run, -1)
		t.step.countMember(r, 1)
	}
	t.run = r
}

// countMember adds to the count of the present runs of a gang with the number of a run, which
// may be nil.
func (s *step) countMember(r *run, change int) {
	if r == nil {
		return
	}
	if s.gangRuns == nil {
		s.gangRuns = make(map[RunNumber]int)
	}
	if s.gangRuns[r.number] += change; s.gangRuns[r.number] == 0 {
		delete(s.gangRuns, r.number)
	}
}

// anyStray reports whether some orphaned run of a task of the step may be active.
func (c *Core) anyStray(s *step) bool {
	name := s.name()
	for stray := range c.strays {
		if stray.StepName == name {
			return true
		}
	}
	return false
}

// releaseLost releases a run without a reported end: its start was rejected or
// never executed, or it was lost with its worker.
func (c *Core) releaseLost(r *run, why string) {
	c.noteReleased(r, why)
	c.releaseUndone(r, why)
}

// releaseUndone releases a run without a reported completion or failure. It stops
// the other members of the run's gang, unless their tasks are done.
func (c *Core) releaseUndone(r *run, why string) {
	c.release(r)
	if t := r.task; t != nil && t.step.def.Gang && !t.done {
		c.stopGang(t.step, r.number, why)
	}
}

// stopGang stops the remaining members of a gang's run.
func (c *Core) stopGang(s *step, number RunNumber, why string) {
	if s.sweptRun == number && s.sweptAt.Equal(c.now) {
		return
	}
	s.sweptRun, s.sweptAt = number, c.now
	for member := range s.runsOf(number) {
		c.stop(member, "another member of its gang: "+why)
	}
}

// maxCheckpoint bounds a checkpoint, in bytes. A longer one isn't used, and the task
// resumes from the one before it.
const maxCheckpoint = 4096

// setCheckpoint sets the checkpoint from which a task resumes. All members of a
// gang resume from the same one.
func (c *Core) setCheckpoint(t *task, checkpoint string) {
	if len(checkpoint) > maxCheckpoint {
		c.log(LogRecord{Job: t.step.job().name(), Task: t.name(), Event: "checkpoint dropped", Why: "it has " + strconv.Itoa(len(checkpoint)) + " bytes, and the rows of a job hold at most " + strconv.Itoa(maxCheckpoint)})
		return
	}
	t.setCheckpoint(checkpoint)
}

// setCheckpoint sets the checkpoint from which the task, or its gang, resumes.
func (t *task) setCheckpoint(checkpoint string) {
	if t.step.def.Gang {
		t.step.checkpoint = checkpoint
	} else {
		t.checkpoint = checkpoint
	}
}

// resumesFrom returns the checkpoint from which the task resumes; empty for none.
func (t *task) resumesFrom() string {
	if t.step.def.Gang {
		return t.step.checkpoint
	}
	return t.checkpoint
}
