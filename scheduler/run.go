package scheduler

import (
	"slices"
	"time"

	"kumquatstall/requester"
)

// runPhase is where a run stands, as the owner sees it.
type runPhase int

const (
	// runStarting: the order has been given and not been answered.
	runStarting runPhase = iota
	// runPresent: the worker has confirmed the run.
	runPresent
	// runDoubtful: the order got no answer.
	runDoubtful
	// runStopping: the worker is to stop it and has not listed its end.
	runStopping
)

// run is one run of a task on a worker. It takes room until it is known to
// have ended.
type run struct {
	task   *task
	name   TaskName
	number RunNumber
	worker *worker
	phase  runPhase
	need   requester.Resources
	// startedAt is when the order was given.
	startedAt time.Time
	// presentAt is when the worker confirmed it.
	presentAt time.Time
	// endsAt is when it should end, by its estimate.
	endsAt time.Time
	// resumed tells that it began from a checkpoint.
	resumed bool
	// checkpoint is the one last reported.
	checkpoint string
	// advance is how far it has come.
	advance runProgress
	// stopOpen tells that a stop has been sent and not been answered.
	stopOpen bool
	// barredAt is when a stop was confirmed: from then on an order that is
	// still on its way can't begin the run any more.
	barredAt time.Time
	// unsized tells that what it takes isn't known.
	unsized bool
}

// pendingEnd is an end that waits for its job's rows to be written.
type pendingEnd struct {
	number  int64
	job     *job
	version int64
}

type runKey struct {
	name   TaskName
	number RunNumber
}

// sortedRuns returns the runs in the order of their names, so that decisions
// don't depend on the order of a map.
func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

// stop asks for a run to be stopped. Its room stays taken until the worker
// lists its end.
func (c *Core) stop(r *run, why string) {
	if r.phase == runStopping {
		return
	}
	r.phase = runStopping
	c.stats.Stops++
	c.note(Note{Job: r.name.Job, Task: r.name, Run: r.number, Worker: r.worker.info.HostID, Event: "stop", Why: why})
	c.sendStop(r)
}

func (c *Core) sendStop(r *run) {
	if r.stopOpen {
		return
	}
	r.stopOpen = true
	c.orders.Stops = append(c.orders.Stops, StopOrder{Worker: r.worker.ref(), Task: r.name, Run: r.number, Fence: Fence(c.options.Epoch)})
}

// StopDone takes in the answer to a stop.
func (c *Core) StopDone(now time.Time, order StopOrder, result OrderResult) {
	c.now = now
	w, ok := c.workers[order.Worker.HostID]
	if !ok {
		return
	}
	r, ok := w.runs[runKey{order.Task, order.Run}]
	if !ok {
		return
	}
	r.stopOpen = false
	switch result {
	case OrderAccepted:
		r.barredAt = now
		// A look that is sent from now on tells whether it runs still.
		w.lookAfter = now
	case OrderFenced:
		c.fenced = true
	case OrderOtherLife:
		c.loseWorker(w)
	}
}

// StartDone takes in the answer to a start.
func (c *Core) StartDone(now time.Time, order StartOrder, result OrderResult) {
	c.now = now
	w, ok := c.workers[order.Worker.HostID]
	if !ok {
		return
	}
	r, ok := w.runs[runKey{order.Task, order.Run}]
	if !ok || r.phase != runStarting && r.phase != runStopping {
		return
	}
	switch result {
	case OrderAccepted:
		r.presentAt = now
		if r.phase == runStarting {
			r.phase = runPresent
			c.begun(r.task.step.job())
		}
		return
	case OrderUnknown, OrderOtherLife:
		c.stats.Doubtful++
		c.note(Note{Job: order.Task.Job, Task: order.Task, Run: order.Run, Worker: w.info.HostID, Event: "start without an answer"})
		if r.phase == runStarting {
			r.phase = runDoubtful
		}
		w.silent++
		w.lookAfter = now
		return
	case OrderFenced:
		c.fenced = true
	case OrderRefused:
		w.restUntil = now.Add(refusedRest)
	case OrderNoTicket:
		if r.task != nil {
			r.task.step.advice.invalidate(w.info.HostID)
		}
	}
	c.stats.Rejected++
	c.note(Note{Job: order.Task.Job, Task: order.Task, Run: order.Run, Worker: w.info.HostID, Event: "start rejected", Why: result.String()})
	c.lose(r, "start was rejected")
}

// refusedRest is how long a worker that is unwell gets nothing new.
const refusedRest = 500 * time.Millisecond

// begun notes that a task of the job has started.
func (c *Core) begun(j *job) {
	if j.state == StateQueued {
		j.state = StateRunning
		c.touch(j)
	}
}

// release frees the room of a run and, where it was wanted, makes its task
// wait again.
func (c *Core) release(r *run) {
	w := r.worker
	delete(w.runs, runKey{r.name, r.number})
	w.used = w.used.Sub(r.need)
	if r.unsized {
		w.unsized--
	}
	c.markFreed(w)
	t := r.task
	if t == nil || t.run != r {
		return
	}
	t.run = nil
	t.step.job().active--
	if t.done {
		return
	}
	t.step.waiting++
	if r.checkpoint != "" && t.step.def.Checkpointing {
		c.keepCheckpoint(t, r.checkpoint)
	}
}

// lose releases a run whose worker doesn't list its end, and stops the other
// members of its gang.
func (c *Core) lose(r *run, why string) {
	c.release(r)
	if t := r.task; t != nil && t.step.def.Gang && !t.done {
		c.breakGang(t.step, r.number, why)
	}
}

// breakGang stops the other members of a gang's run.
func (c *Core) breakGang(s *step, number RunNumber, why string) {
	for _, member := range s.tasks {
		if member.run != nil && member.run.number == number {
			c.stop(member.run, "another member of its gang: "+why)
		}
	}
}

// keepCheckpoint notes where a task goes on; all members of a gang go on from
// the same point.
func (c *Core) keepCheckpoint(t *task, checkpoint string) {
	if t.step.def.Gang {
		for _, member := range t.step.tasks {
			member.checkpoint = checkpoint
		}
		return
	}
	t.checkpoint = checkpoint
}

// lapse releases what ran under leases that must have ended.
func (c *Core) lapse() {
	for _, w := range c.order {
		if len(w.runs) == 0 || c.now.Before(w.lapseAt(c)) {
			continue
		}
		for _, r := range w.sortedRuns() {
			c.stats.Lapsed++
			c.note(Note{Job: r.name.Job, Task: r.name, Run: r.number, Worker: w.info.HostID, Event: "lease lapsed"})
			c.lose(r, "its lease lapsed")
		}
	}
}
