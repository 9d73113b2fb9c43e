package scheduler

import (
	"slices"
	"time"
)

// Intervals and bounds of looks.
const (
	// pollRetryInterval separates looks at a worker that doesn't answer.
	pollRetryInterval = 300 * time.Millisecond
	// commitWait bounds how long a worker that has told of ends is left alone
	// until these are stored: a look before that would only list them again.
	commitWait = 150 * time.Millisecond
	// freshnessWindow is how long after its last answer a worker gets new tasks.
	freshnessWindow = 2500 * time.Millisecond
)

// look orders looks at the workers that need one.
func (c *Core) pollWorkers() {
	for _, w := range c.sortedWorkers {
		if w.pollInFlight || c.now.Before(w.nextPollAt) || !w.info.Address.IsValid() {
			continue
		}
		unconfirmed := w.appliedEnd > w.committedEnd
		if unconfirmed && c.now.Sub(w.clockAt) < commitWait {
			continue
		}
		w.pollInFlight = true
		c.stats.Looks++
		c.orders.Polls = append(c.orders.Polls, PollOrder{
			Worker:          w.ref(),
			Fence:           Fence(c.options.Epoch),
			AcknowledgedEnd: w.committedEnd,
			Deadline:        c.grantLease(w),
			LongPoll:        w.reported && !unconfirmed && w.unanswered == 0,
			SentAt:          c.now,
		})
	}
}

// PollDone takes in the answer to a look.
func (c *Core) PollDone(now time.Time, order PollOrder, report *Report, result OrderResult) {
	c.now = now
	w, ok := c.workers[order.Worker.HostID]
	if !ok {
		return
	}
	w.pollInFlight = false
	switch result {
	case OrderAccepted:
		c.applyReport(w, order, report)
	case OrderFenced:
		c.fenced = true
	case OrderOtherIncarnation:
		// Another worker answers at the address: this one is gone for good.
		c.endIncarnation(w)
	default:
		if w.unanswered == 0 {
			c.log(LogRecord{Worker: w.info.HostID, Event: "worker doesn't answer"})
		}
		w.unanswered++
		w.nextPollAt = now.Add(pollRetryInterval)
	}
}

// endIncarnation releases what ran in a life that is proven to have ended.
func (c *Core) endIncarnation(w *worker) {
	c.log(LogRecord{Worker: w.info.HostID, Event: "worker's life has ended", Why: "another one answers at its address"})
	w.unanswered++
	w.nextPollAt = c.now.Add(pollRetryInterval)
	for _, r := range w.sortedRuns() {
		c.stats.Lapsed++
		c.releaseLost(r, "its worker is gone")
	}
	w.leaseDeadline = w.clock
}

func (c *Core) applyReport(w *worker, order PollOrder, report *Report) {
	c.updateIncarnation(w, report.BootedAt)
	if !report.BootedAt.IsZero() && report.BootedAt.Before(w.bootedAt) {
		return
	}
	if w.unanswered > 0 || !w.reported {
		c.markFreed(w)
		c.log(LogRecord{Worker: w.info.HostID, Event: "worker answers"})
	}
	w.unanswered = 0
	w.clock, w.clockAt = report.Clock, c.now
	if !w.reported {
		// An earlier owner may have granted as much until now.
		w.reported = true
		w.leaseDeadline = w.clock + WorkerTime(c.options.MaxLease/time.Millisecond)
	}
	for _, ended := range report.Ended {
		if ended.Number > w.appliedEnd {
			w.appliedEnd = ended.Number
			c.applyEnd(w, ended)
		}
	}
	c.reconcileRuns(w, order, report)
	c.judgeSpeed(w)
	c.stopStalled(w)
	w.advanceCommittedEnd()
	c.placementPending = true
}

// confirm moves on to the last end whose job's rows are written.
func (w *worker) advanceCommittedEnd() {
	for len(w.pendingEnds) > 0 && (w.pendingEnds[0].job == nil || w.pendingEnds[0].job.committedVersion >= w.pendingEnds[0].version) {
		w.committedEnd = w.pendingEnds[0].number
		w.pendingEnds = w.pendingEnds[1:]
	}
}

// reconcileRuns compares what runs on a worker with what is known.
func (c *Core) reconcileRuns(w *worker, order PollOrder, report *Report) {
	listed := make(map[runKey]bool, len(report.Running))
	for _, running := range report.Running {
		key := runKey{running.Task, running.Run}
		listed[key] = true
		r := w.runs[key]
		if r == nil {
			r = c.trackReportedRun(w, running)
		}
		if r != nil {
			c.updateRun(r, running)
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
		case r.phase == runUnacknowledged || r.phase == runStopping && r.acknowledgedAt.IsZero():
			// A look from before the stop tells nothing of what began since.
			if !r.barredAt.IsZero() && !order.SentAt.Before(r.barredAt) {
				c.releaseLost(r, "never began")
			} else if r.barredAt.IsZero() {
				c.sendStop(r)
			}
		case !r.acknowledgedAt.IsZero() && r.acknowledgedAt.Before(order.SentAt):
			// Neither running nor listed as ended: its end was confirmed.
			c.stats.Vanished++
			c.releaseLost(r, "not listed by its worker")
		}
	}
}

// adopt takes in a run that an earlier owner started, or that nobody wants.
func (c *Core) trackReportedRun(w *worker, running RunningTask) *run {
	t := c.findTask(running.Task)
	r := &run{name: running.Task, number: running.Run, worker: w, phase: runAcknowledged, startedAt: c.now, acknowledgedAt: c.now}
	if t != nil {
		r.need = t.step.def.allocation()
		t.lastRun = max(t.lastRun, running.Run)
		t.step.lastRun = max(t.step.lastRun, running.Run)
	} else if j := c.jobs[running.Task.Job]; j != nil && running.Task.Step < len(j.spec.Steps) {
		r.need = j.spec.Steps[running.Task.Step].allocation()
	} else {
		r.unsized = true
		w.unsized++
	}
	w.runs[runKey{running.Task, running.Run}] = r
	w.allocated = w.allocated.Add(r.need)
	wanted := t != nil && !t.done && t.run == nil && !t.step.job().state.Ended() && !c.conflictsWithGang(t, running.Run)
	if !wanted {
		c.stats.StraysStopped++
		c.log(LogRecord{Job: running.Task.Job, Task: running.Task, Run: running.Run, Worker: w.info.HostID, Event: "stray run stopped"})
		c.stop(r, "nobody wants it")
		return r
	}
	r.task = t
	r.resumed = true
	t.run = r
	t.step.waiting--
	t.step.job().activeRuns++
	r.expectedEnd = c.now.Add(t.step.expectedDuration())
	c.markRunning(t.step.job())
	return r
}

// conflictsWithGang reports whether a run belongs to another run of its gang than the
// one in progress.
func (c *Core) conflictsWithGang(t *task, number RunNumber) bool {
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

func (c *Core) updateRun(r *run, running RunningTask) {
	if r.phase == runStarting || r.phase == runUnacknowledged {
		r.phase = runAcknowledged
	}
	if r.acknowledgedAt.IsZero() {
		r.acknowledgedAt = c.now
	}
	r.checkpoint = running.Checkpoint
	r.notePercent(c.now, running.Percent)
	if r.phase == runStopping && !r.stopInFlight {
		c.sendStop(r)
	}
}
