package scheduler

import (
	"cmp"
	"net/netip"
	"slices"
	"strconv"
	"time"
)

// Intervals of polls.
const (
	// pollRetryInterval is the delay before an unresponsive worker is polled
	// again.
	pollRetryInterval = 300 * time.Millisecond
	// commitWait is how long after a report with ended runs the poll of a
	// worker is delayed unless these are to be acknowledged earlier: a poll
	// before that would only return them again.
	commitWait = 150 * time.Millisecond
	// freshnessWindow is how long after its last report a worker may get new
	// tasks.
	freshnessWindow = 2500 * time.Millisecond
	// runReportTime, for each run on all workers, is the least time between two reports of
	// a worker, at most maxReportInterval. A report lists all runs of its worker, and one that
	// also has ends is sent at once: reports of very many runs would take all of the
	// processor while tasks end.
	runReportTime     = 8 * time.Microsecond
	maxReportInterval = time.Second
)

// reportInterval returns the least time between two reports of a worker.
func (c *Core) reportInterval() time.Duration {
	runs := 0
	for _, w := range c.sortedWorkers {
		runs += len(w.runs)
	}
	return min(time.Duration(runs)*runReportTime, maxReportInterval)
}

// reportInterval returns the least time between two reports of the worker, from that of all. It
// is the longest while many stops of the worker are due: until they are, its reports list the
// same runs again and again, and each poll that acknowledges ends has the stops on their way
// rejected for their fence.
func (w *worker) reportInterval(ofAll time.Duration) time.Duration {
	if w.manyStopsDue() && !w.stopFailed {
		return maxReportInterval
	}
	return ofAll
}

// stopsDue reports whether stops of the worker wait or are in flight, manyStopsDue whether they
// are too many for the owner to send at once.
func (w *worker) stopsDue() bool { return w.manyStopsDue() || w.inFlight.stops > 0 }

func (w *worker) manyStopsDue() bool { return len(w.stops) > 0 || w.inFlight.carried > 0 }

// pollWorkers issues a poll order for each worker that is due for one.
func (c *Core) pollWorkers() {
	interval := c.reportInterval()
	for _, w := range c.sortedWorkers {
		if w.pollInFlight || c.now.Before(w.nextPollAt) || c.now.Sub(w.clockAt) < w.reportInterval(interval) || !w.address().IsValid() {
			continue
		}
		if address, known := w.elsewhere(); known && w.lookElsewhere {
			c.sendLook(w, address)
			continue
		}
		if acknowledged, due := c.pollDue(w); due {
			c.sendPoll(w, acknowledged)
		}
	}
}

// pollDue returns the number up to which a poll now acknowledges a worker's ends, and
// whether it is better sent now than after what would soon make it of more use.
func (c *Core) pollDue(w *worker) (acknowledged int64, due bool) {
	sinceReport := c.now.Sub(w.clockAt)
	if w.keepsEnds() && sinceReport < commitWait || c.closesSoon(w) && sinceReport < closingPolls {
		return 0, false
	}
	if !c.holdsEndsBack(w) {
		w.heldEnds = 0
		return c.acknowledgement(w), true
	}
	w.heldBackAt, w.heldEnds = c.now, w.listedEnds
	return 0, sinceReport >= heldPolls || c.closesSoon(w)
}

// sendPoll issues a poll order for a worker.
func (c *Core) sendPoll(w *worker, acknowledged int64) {
	w.pollInFlight = true
	c.stats.Looks++
	c.logAcknowledged(w, acknowledged)
	c.orders.Polls = append(c.orders.Polls, PollOrder{
		Worker:          w.ref(),
		Fence:           c.fence(w),
		AcknowledgedEnd: acknowledged,
		Deadline:        c.grantLease(w),
		LongPoll:        w.reported && !w.keepsEnds() && w.unanswered == 0 && !c.closesSoon(w) && !c.holdsEndsBack(w) && !w.lookNow,
		SentAt:          c.now,
	})
	w.lookNow = false
	if acknowledged > 0 {
		c.raiseGeneration(w)
	}
}

// sendLook issues a poll order to another address than the one at which the worker gets its
// orders. It grants and acknowledges nothing.
func (c *Core) sendLook(w *worker, address netip.AddrPort) {
	w.pollInFlight, w.lookElsewhere = true, false
	c.stats.Looks++
	to := w.ref()
	to.Address = address
	c.orders.Polls = append(c.orders.Polls, PollOrder{Worker: to, Fence: c.fence(w), SentAt: c.now})
}

// lookFailed handles a poll to another address than the one at which the worker gets its
// orders. It says nothing of the worker there, unless the worker's last known incarnation
// was at that address.
func (c *Core) lookFailed(w *worker, order PollOrder, result OrderResult) {
	if result == OrderOtherIncarnation {
		c.endIncarnation(w, order.Worker)
	}
	w.lookElsewhere, w.nextPollAt = false, c.now
}

// keepsEnds reports whether the worker has ends that a poll now would not
// acknowledge, so that it would respond at once.
func (w *worker) keepsEnds() bool {
	return w.appliedEnd > w.committedEnd || w.withheld > 0 || w.violatedEnd > w.acknowledgedEnd
}

// PollDone handles the result of a poll order.
func (c *Core) PollDone(now time.Time, order PollOrder, report *Report, result OrderResult) {
	c.now = now
	c.noteAcknowledgement(order, report, result)
	w, ok := c.workers[order.Worker.HostID]
	if !ok {
		return
	}
	if result == OrderUnknown && order.Deadline > 0 {
		// If the entry stood still, it may have been sent later than it was issued. Whichever
		// life it was meant for, another one may execute it.
		w.grantedAt = latest(w.grantedAt, c.now.Add(-PollWait-PollTimeout))
	}
	if !c.addressesCurrent(w, order.Fence) {
		if result == OrderAccepted {
			c.observeReportedBirth(w, order, report.BootedAt)
		}
		return
	}
	w.pollInFlight = false
	if order.Worker.Address != w.address() && result != OrderAccepted {
		c.lookFailed(w, order, result)
		return
	}
	switch result {
	case OrderAccepted:
		c.applyReport(w, order, report)
	case OrderFenced:
		w.fencedPoll = true
		c.rejectedByFence(w, order.Fence)
	case OrderOtherIncarnation:
		c.endIncarnation(w, order.Worker)
	default:
		if w.unanswered == 0 {
			c.log(LogRecord{Worker: w.info.HostID, Event: "worker doesn't answer", Address: w.address(), BootedAt: w.bootedAt})
		}
		c.withdrawFrom(w, "its worker doesn't answer")
		c.noteSilent(w)
		c.silentAtItsAddress(w)
		if result == OrderUnknown || result == OrderUnsent {
			c.raiseGeneration(w)
		}
	}
}

// endIncarnation releases the runs of an incarnation that has provably ended,
// because another host ID responded to an order at its address, and with it the
// leases that any owner has granted it. What was sent to the address is for the other host
// ID; a start that was sent to an earlier address of the worker stays open. An answer from
// an address that only the list names proves nothing of what the worker has elsewhere, nor
// does one from its address of a run that it has had at another one.
func (c *Core) endIncarnation(w *worker, addressed WorkerRef) {
	if addressed.Address != w.home {
		if addressed.Address == w.address() {
			c.silentAtItsAddress(w)
		}
		return
	}
	c.noteEndedAt(w, addressed.Address)
	c.withdrawFrom(w, "its worker's incarnation ended")
	ended := !slices.ContainsFunc(w.sortedRuns(), func(r *run) bool { return r.goesOnElsewhere(addressed.Address) })
	if ended {
		c.recordCrash(w)
	} else {
		c.noteSilent(w)
	}
	c.silentAtItsAddress(w)
	for _, r := range w.sortedRuns() {
		if r.goesOnElsewhere(addressed.Address) {
			continue
		}
		c.stats.Lapsed++
		if r.address == addressed.Address {
			c.settle(r)
		}
		c.releaseLost(r, "its worker's incarnation ended")
	}
	w.ended = ended
	for _, t := range slices.Clone(c.openTasks) {
		if t.open.Worker == w.info.HostID && t.open.address == addressed.Address {
			c.closeAnswered(t)
		}
	}
}

// goesOnElsewhere reports whether the worker has shown the run and its start was sent to
// another address than the given one.
func (r *run) goesOnElsewhere(address netip.AddrPort) bool {
	return (r.reported || r.confirmed) && r.address.IsValid() && r.address != address
}

// silentAtItsAddress counts an order to the worker's address that it hasn't answered.
func (c *Core) silentAtItsAddress(w *worker) {
	w.unanswered++
	w.lookElsewhere, w.nextPollAt = true, c.now.Add(pollRetryInterval)
}

// applyReport applies a worker's report. A report of an earlier incarnation is
// ignored, and so is that of a new one that responds to a poll which was meant
// for an earlier one: only a poll of its own makes it reject such orders.
func (c *Core) applyReport(w *worker, order PollOrder, report *Report) {
	if !c.observeReportedBirth(w, order, report.BootedAt) || !c.addressesCurrent(w, order.Fence) {
		return
	}
	c.noteEndsMissing(w, report)
	w.confirmedEnd = max(w.confirmedEnd, order.AcknowledgedEnd)
	if w.unanswered > 0 || !w.reported {
		c.markFreed(w)
		c.forgetSilence(w)
		c.log(LogRecord{Worker: w.info.HostID, Event: "worker answers", Address: order.Worker.Address, BootedAt: w.bootedAt})
	}
	w.unanswered, w.ended, w.fencedPoll, w.stopFailed = 0, false, false, false
	w.clock, w.clockAt = report.Clock, c.now
	w.listedEnds, w.hidesStart = len(report.Ended), report.More && c.namedByOpenStart(w)
	if !w.reported {
		// A previous owner may have granted a lease of this length just now.
		w.reported, w.endsAt = true, c.now
		c.handoverOutdated = c.handoverOutdated || w.boundStored
		c.noteReportedBirth(w)
		w.leaseDeadline = w.clock + WorkerTime(c.options.MaxLease/time.Millisecond)
	}
	w.withheld = report.Withheld
	for _, ended := range sortedEnds(report) {
		if w.isNewEnd(ended.Number) {
			w.endsAt = c.now
			w.addUnverifiedEnd(ended)
			c.applyEnd(w, ended)
		}
	}
	w.answeredAt = order.SentAt
	c.reconcileRuns(w, order, report)
	if !report.Partial && !report.More {
		w.answeredPollAt, w.answeredFence = order.SentAt, order.Fence
	}
	c.noteEndsListed(w, report)
	c.updateSpeed(w)
	c.stopStalled(w)
	c.advanceCommittedEnd(w)
	c.placementPending = true
}

// noteEndsListed records whether the worker has more ends than it has listed so far.
func (c *Core) noteEndsListed(w *worker, report *Report) {
	if report.More && !w.endsListed && w.inherited {
		c.stats.EndsInParts++
		c.log(LogRecord{Worker: w.info.HostID, Event: "worker has more ends", Why: "tasks of earlier owners wait for the rest; listed up to end " + strconv.FormatInt(w.appliedEnd, 10)})
	}
	w.endsListed = w.endsListed || !report.More
}

// sortedEnds returns the ends of a report in the order of their numbers, as an
// acknowledgement covers all lower numbers.
func sortedEnds(report *Report) []EndedRun {
	byNumber := func(a, b EndedRun) int { return cmp.Compare(a.Number, b.Number) }
	if slices.IsSortedFunc(report.Ended, byNumber) {
		return report.Ended
	}
	return slices.SortedFunc(slices.Values(report.Ended), byNumber)
}

// reconcileRuns updates the runs on a worker from a report. A reported run that
// is unknown is tracked; an unreported one is released if the report proves
// that it has ended or can no longer start.
func (c *Core) reconcileRuns(w *worker, order PollOrder, report *Report) {
	reported := make(map[runKey]bool, len(report.Running))
	for _, running := range report.Running {
		key := runKey{running.Task, running.Run}
		reported[key] = true
		r := w.runs[key]
		if r == nil {
			r = c.trackReportedRun(w, running)
		}
		if r != nil {
			c.updateRun(r, running)
		}
	}
	c.sendStopsFirst(w, w.stopAgain)
	w.stopAgain = nil
	if report.Partial {
		return
	}
	var unreported []*run
	for key, r := range w.runs {
		if !reported[key] {
			unreported = append(unreported, r)
		}
	}
	slices.SortFunc(unreported, compareRuns)
	for _, r := range unreported {
		switch {
		case r.phase == runUnacknowledged || r.phase == runStopping && r.acknowledgedAt.IsZero():
			// The response to a poll that was sent before the stop was
			// acknowledged may miss a run that started in between. A start with a
			// lower fence than the poll's is rejected from the poll on.
			if r.startFence < order.Fence {
				c.releaseLost(r, "its start was never executed: the worker has seen a higher fence")
			} else if !r.barredAt.IsZero() && !order.SentAt.Before(r.barredAt) {
				c.releaseLost(r, "its start was never executed: the worker has accepted a stop")
			} else if r.barredAt.IsZero() {
				c.sendStop(r)
			}
		case !r.acknowledgedAt.IsZero() && r.acknowledgedAt.Before(order.SentAt):
			// The run is reported neither as running nor as ended, so its end
			// has been acknowledged.
			c.stats.Vanished++
			c.log(LogRecord{Job: r.name.Job, Task: r.name, Run: r.number, Worker: w.info.HostID, Event: "run vanished", Address: order.Worker.Address, BootedAt: w.bootedAt, Why: "reported neither as running nor as ended"})
			c.releaseLost(r, "no longer reported by its worker")
		}
	}
}

// trackReportedRun adds a reported run that this owner does not know of. A
// previous owner started it, or it is orphaned: no unfinished task needs it,
// and it is stopped.
func (c *Core) trackReportedRun(w *worker, running RunningTask) *run {
	key := runKey{running.Task, running.Run}
	c.noteResurfaced(w, key, stillActive)
	c.noteForeignRun(w, key)
	t := c.findTask(running.Task)
	r := &run{name: running.Task, number: running.Run, worker: w, phase: runAcknowledged, startedAt: c.now, acknowledgedAt: c.now, startFence: c.fence(w)}
	if t != nil {
		r.need = t.step.def.allocation()
		t.lastRun = max(t.lastRun, running.Run)
		t.step.lastRun = max(t.step.lastRun, running.Run)
	} else if j := c.jobs[running.Task.Job]; j != nil && running.Task.Step >= 0 && running.Task.Step < len(j.spec.Steps) {
		r.need = j.spec.Steps[running.Task.Step].allocation()
	} else {
		r.unsized = true
		w.unsized++
	}
	needed := t != nil && !t.done && t.run == nil && !t.step.job().state.Ended() && !c.conflictsWithGang(t, running.Run)
	if needed {
		r.task = t
	}
	w.addRun(r)
	if !needed {
		c.strays[r.name]++
		c.stats.StraysStopped++
		c.logLimited(eventOrphan, func() LogRecord {
			return LogRecord{Job: running.Task.Job, Task: running.Task, Run: running.Run, Worker: w.info.HostID, Address: w.address(), BootedAt: w.bootedAt}
		})
		c.stop(r, "orphaned, no unfinished task needs it")
		return r
	}
	r.resumed, r.tracked = true, true
	r.pace.percent = unknownPace
	t.setRun(r)
	c.noteReportedRun(r)
	t.step.waiting--
	t.step.job().activeRuns++
	r.expectedEnd = c.now.Add(t.step.expectedDuration())
	c.markRunning(t.step.job())
	return r
}

// conflictsWithGang reports whether a gang run with another number is in
// progress for the task's gang.
func (c *Core) conflictsWithGang(t *task, number RunNumber) bool {
	if !t.step.def.Gang {
		return false
	}
	for other := range t.step.gangRuns {
		if other != number {
			return true
		}
	}
	return false
}

// updateRun updates a run from a worker's report of it.
func (c *Core) updateRun(r *run, running RunningTask) {
	c.startAnswered(r)
	if r.phase == runStarting || r.phase == runUnacknowledged {
		r.phase = runAcknowledged
	}
	if r.acknowledgedAt.IsZero() {
		r.acknowledgedAt = c.now
		r.countStarted()
	}
	r.reported = true
	c.settle(r)
	r.checkpoint = running.Checkpoint
	r.recordPercent(c.now, running.Percent)
	c.clearRun(r)
	c.recordAtWork(r)
	if r.phase == runStopping && !r.stopInFlight && c.mayStopAgain(r) {
		r.worker.stopAgain = append(r.worker.stopAgain, r)
	}
}
