package scheduler

import (
	"slices"
	"time"
)

// Intervals and bounds of looks.
const (
	// retryLook separates looks at a worker that doesn't answer.
	retryLook = 300 * time.Millisecond
	// confirmDelay bounds how long a worker that has told of ends is left alone
	// until these are stored: a look before that would only list them again.
	confirmDelay = 150 * time.Millisecond
	// freshFor is how long after its last answer a worker gets new tasks.
	freshFor = 2500 * time.Millisecond
)

// look orders looks at the workers that need one.
func (c *Core) look() {
	for _, w := range c.order {
		if w.lookOpen || c.now.Before(w.lookAfter) || !w.info.Address.IsValid() {
			continue
		}
		unconfirmed := w.seen > w.confirmed
		if unconfirmed && c.now.Sub(w.clockAt) < confirmDelay {
			continue
		}
		w.lookOpen = true
		c.stats.Looks++
		c.orders.Looks = append(c.orders.Looks, LookOrder{
			Worker:   w.ref(),
			Fence:    Fence(c.options.Epoch),
			Seen:     w.confirmed,
			Deadline: c.grant(w),
			Wait:     w.answered && !unconfirmed && w.silent == 0,
			SentAt:   c.now,
		})
	}
}

// LookDone takes in the answer to a look.
func (c *Core) LookDone(now time.Time, order LookOrder, report *Report, result OrderResult) {
	c.now = now
	w, ok := c.workers[order.Worker.HostID]
	if !ok {
		return
	}
	w.lookOpen = false
	switch result {
	case OrderAccepted:
		c.takeReport(w, order, report)
	case OrderFenced:
		c.fenced = true
	case OrderOtherLife:
		// Another worker answers at the address: this one is gone for good.
		c.loseWorker(w)
	default:
		if w.silent == 0 {
			c.note(Note{Worker: w.info.HostID, Event: "worker doesn't answer"})
		}
		w.silent++
		w.lookAfter = now.Add(retryLook)
	}
}

// loseWorker releases what ran in a life that is proven to have ended.
func (c *Core) loseWorker(w *worker) {
	c.note(Note{Worker: w.info.HostID, Event: "worker's life has ended", Why: "another one answers at its address"})
	w.silent++
	w.lookAfter = c.now.Add(retryLook)
	for _, r := range w.sortedRuns() {
		c.stats.Lapsed++
		c.lose(r, "its worker is gone")
	}
	w.granted = w.clock
}

func (c *Core) takeReport(w *worker, order LookOrder, report *Report) {
	c.noteBorn(w, report.Born)
	if !report.Born.IsZero() && report.Born.Before(w.born) {
		return
	}
	if w.silent > 0 || !w.answered {
		c.markFreed(w)
		c.note(Note{Worker: w.info.HostID, Event: "worker answers"})
	}
	w.silent = 0
	w.clock, w.clockAt = report.Clock, c.now
	if !w.answered {
		// An earlier owner may have granted as much until now.
		w.answered = true
		w.granted = w.clock + WorkerTime(c.options.LongestLease/time.Millisecond)
	}
	for _, ended := range report.Ended {
		if ended.Number > w.seen {
			w.seen = ended.Number
			c.takeEnd(w, ended)
		}
	}
	c.takeRunning(w, order, report)
	c.updateSpeed(w)
	c.stopStalled(w)
	w.confirm()
	c.changed = true
}

// confirm moves on to the last end whose job's rows are written.
func (w *worker) confirm() {
	for len(w.pending) > 0 && (w.pending[0].job == nil || w.pending[0].job.saved >= w.pending[0].version) {
		w.confirmed = w.pending[0].number
		w.pending = w.pending[1:]
	}
}

// takeRunning compares what runs on a worker with what is known.
func (c *Core) takeRunning(w *worker, order LookOrder, report *Report) {
	listed := make(map[runKey]bool, len(report.Running))
	for _, running := range report.Running {
		key := runKey{running.Task, running.Run}
		listed[key] = true
		r := w.runs[key]
		if r == nil {
			r = c.adopt(w, running)
		}
		if r != nil {
			c.noteRunning(r, running)
		}
	}
	if report.Partial {
		return
	}
	var unlisted []*run
	for key, r := range w.runs {
		if !listed[key] {
			unlisted = append(unlisted, r)
		}
	}
	slices.SortFunc(unlisted, compareRuns)
	for _, r := range unlisted {
		switch {
		case r.phase == runDoubtful || r.phase == runStopping && r.presentAt.IsZero():
			// A look from before the stop tells nothing of what began since.
			if !r.barredAt.IsZero() && !order.SentAt.Before(r.barredAt) {
				c.lose(r, "never began")
			} else if r.barredAt.IsZero() {
				c.sendStop(r)
			}
		case !r.presentAt.IsZero() && r.presentAt.Before(order.SentAt):
			// Neither running nor listed as ended: its end was confirmed.
			c.stats.Vanished++
			c.lose(r, "not listed by its worker")
		}
	}
}

// adopt takes in a run that an earlier owner started, or that nobody wants.
func (c *Core) adopt(w *worker, running RunningTask) *run {
	t := c.find(running.Task)
	r := &run{name: running.Task, number: running.Run, worker: w, phase: runPresent, startedAt: c.now, presentAt: c.now}
	if t != nil {
		r.need = t.step.def.room()
		t.lastRun = max(t.lastRun, running.Run)
		t.step.lastRun = max(t.step.lastRun, running.Run)
	} else if j := c.jobs[running.Task.Job]; j != nil && running.Task.Step < len(j.spec.Steps) {
		r.need = j.spec.Steps[running.Task.Step].room()
	} else {
		r.unsized = true
		w.unsized++
	}
	w.runs[runKey{running.Task, running.Run}] = r
	w.used = w.used.Add(r.need)
	wanted := t != nil && !t.done && t.run == nil && !t.step.job().state.Ended() && !c.splitsGang(t, running.Run)
	if !wanted {
		c.stats.StraysStopped++
		c.note(Note{Job: running.Task.Job, Task: running.Task, Run: running.Run, Worker: w.info.HostID, Event: "stray run stopped"})
		c.stop(r, "nobody wants it")
		return r
	}
	r.task = t
	r.resumed = true
	t.run = r
	t.step.waiting--
	t.step.job().active++
	r.endsAt = c.now.Add(t.step.expected())
	c.begun(t.step.job())
	return r
}

// splitsGang reports whether a run belongs to another run of its gang than the
// one in progress.
func (c *Core) splitsGang(t *task, number RunNumber) bool {
	if !t.step.def.Gang {
		return false
	}
	for _, member := range t.step.tasks {
		if member.run != nil && member.run.number != number {
			return true
		}
	}
	return false
}

func (c *Core) noteRunning(r *run, running RunningTask) {
	if r.phase == runStarting || r.phase == runDoubtful {
		r.phase = runPresent
	}
	if r.presentAt.IsZero() {
		r.presentAt = c.now
	}
	r.checkpoint = running.Checkpoint
	r.recordPercent(c.now, running.Percent)
	if r.phase == runStopping && !r.stopOpen {
		c.sendStop(r)
	}
}
