package scheduler

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"kumquatstall/requester"
)

// A start without an answer may be executed seconds later, and not only by the
// incarnation of the worker for which it was meant: the next one under the same host ID
// knows of no fence, no stop and no run of before, and its clock begins anew, so that a
// deadline may not have passed either. What one incarnation has shown, such as a report without
// the run, says nothing about the next. So such a start is open, whatever has become of
// the run, and its task starts again nowhere, but for the same run on the same worker
// (repeat.go), until nothing of the start can act any more. That is so once the latest time at which an order
// arrives has passed and the worker has answered a poll sent after it: the report has
// the run, or nobody will ever have it. If the worker doesn't answer, the longest lease
// has to pass as well, since the run may go on behind a cut.
//
// A start is settled, and not open, once it has been answered, whatever the answer, or a
// worker has reported the run: an order is executed at most once. An acceptance says that
// the run has begun, but not in which life: until the worker has answered a poll sent after it,
// that may be one of which the owner knows nothing. The clock in the acceptance tells as long as no
// later life is seen.
//
// The owner stores the open starts with the details of their tasks, so that its
// successor waits for them too.

// openStart is a start that has no answer and may be executed until Until. A run that
// began by then may go on until its lease expires.
//
// Its stored form is storedOpenStart.
type openStart struct {
	Run    RunNumber
	Worker requester.HostID
	Until  time.Time
	// repeated is true if the start may have been sent more than once (repeat.go).
	repeated bool
	// address is where the start was sent, fence that of its last order. Neither is stored, and
	// a successor doesn't know them; its own fence is higher.
	address netip.AddrPort
	fence   Fence
	// repeatUntil is until when orders of this owner may be executed that repeat the start of an
	// earlier owner; zero for none.
	repeatUntil time.Time
	// ended is true if a worker has shown that it had the run and has it no more.
	ended bool
}

const (
	// longestDelay is how long a worker may hold an order back that it doesn't answer.
	longestDelay = 12 * time.Second
	// arrivalMargin is added to the time at which an order is given up, as its bytes
	// may be on their way then.
	arrivalMargin = 50 * time.Millisecond
	// maxOrderDelay and maxPollDelay are how long after it was issued an order, or a poll,
	// without an answer may still be executed: it may arrive until it is given up.
	maxOrderDelay = OrderTimeout + arrivalMargin + longestDelay
	maxPollDelay  = PollWait + PollTimeout + arrivalMargin + longestDelay
	// closingPolls is the interval between polls of a worker on which a start is open
	// whose time has passed, or will have by the end of a long poll.
	closingPolls = 100 * time.Millisecond
	// answerTime is after what time without an answer a start is stored as open. The
	// answer may still come.
	answerTime = 100 * time.Millisecond
	// maxClockDifference is how much the clocks of two owners may differ.
	maxClockDifference = 5 * time.Second
)

// actsUntil returns the time until which an incarnation of the worker may execute the
// start of a run that is not settled. If the entry stood still, one that it hasn't given up
// yet may be older than OrderTimeout, and arrive only now.
func (c *Core) actsUntil(r *run) time.Time {
	givenUpAt := r.givenUpAt
	if givenUpAt.IsZero() {
		givenUpAt = c.now
	}
	return latest(r.startedAt.Add(maxOrderDelay), givenUpAt.Add(arrivalMargin+longestDelay))
}

// giveUpStart records that a start is given up now. That may be later than OrderTimeout after
// it was issued if the entry stood still, and it may have arrived at any time until then.
func (c *Core) giveUpStart(r *run, order StartOrder) {
	if r != nil {
		r.givenUpAt = c.now
	}
	t := c.openTask(order.Task, order.Run)
	if t == nil {
		return
	}
	stored := t.open.Until
	until := c.now.Add(arrivalMargin + longestDelay)
	c.prolongOpen(t, until)
	if t.run != nil && t.run.repeat && t.run.startFence > order.Fence {
		t.run.untilBefore = latest(t.run.untilBefore, until)
	}
	if t.open.Until.Sub(stored) > answerTime {
		c.storeOpen(t)
	}
}

// nextLifeExpiry returns the time by which every lease has expired, and what had one has
// ended, that an incarnation of the worker of which this owner hears nothing can have been
// granted. Orders to an earlier one grant it some: the deadlines in them lie far ahead of
// its clock.
func (c *Core) nextLifeExpiry(until time.Time) time.Time {
	return until.Add(c.endedAfter(c.options.MaxLease))
}

// runExpiry returns the time by which a run on a worker that doesn't answer has ended.
// Unless the present incarnation is known to have it, a later one may.
func (c *Core) runExpiry(r *run) time.Time {
	expiry := r.worker.leaseExpiry(c)
	if r.reported || r.confirmed || r.worker.ended {
		return expiry
	}
	last := c.actsUntil(r)
	if late := r.worker.grantedAt.Add(maxPollDelay); late.After(last) {
		last = late
	}
	if beyond := c.nextLifeExpiry(last); beyond.After(expiry) {
		return beyond
	}
	return expiry
}

// settle records that the start of a run is not executed any more.
func (c *Core) settle(r *run) {
	r.settled = true
	if r.task != nil && r.task.open != nil && r.task.open.Run == r.number {
		c.closeAnswered(r.task)
	}
}

// closeAnswered closes the open start of a task as one of its orders was answered, or a worker
// has reported the run. If there are several orders, the others may still be executed.
func (c *Core) closeAnswered(t *task) {
	if !t.open.repeated {
		c.closeStart(t)
	}
}

// settleStart settles the start of an order that has been answered, also if its run has
// been released since. A released run that was accepted after all goes on: it is certain
// what has become of it once the worker has answered a poll from now on.
func (c *Core) settleStart(r *run, order StartOrder, result OrderResult) {
	switch t := c.openTask(order.Task, order.Run); {
	case r != nil:
		c.repeatOver(r, result)
		c.settle(r)
	case t != nil && result == OrderAccepted && !t.open.repeated:
		t.open.Until = c.now
	case t != nil:
		t.open.ended = t.open.ended || result == OrderStaleRun
		c.closeAnswered(t)
	}
}

// settleEnded settles the start of a run whose end a worker has reported.
func (c *Core) settleEnded(r *run, ended EndedRun) {
	t := c.openTask(ended.Task, ended.Run)
	if t != nil {
		t.open.ended = true
	}
	if r != nil {
		c.settle(r)
	} else if t != nil {
		c.closeAnswered(t)
	}
}

// openTask returns the task with that open start, or nil.
func (c *Core) openTask(name TaskName, number RunNumber) *task {
	if t := c.findTask(name); t != nil && t.open != nil && t.open.Run == number {
		return t
	}
	return nil
}

// StartAccepted handles the acceptance of a start by a worker whose clock showed that
// time then.
func (c *Core) StartAccepted(now time.Time, order StartOrder, clock WorkerTime) {
	c.StartDone(now, order, OrderAccepted)
	w, ok := c.workers[order.Worker.HostID]
	if !ok {
		return
	}
	r := w.runs[runKey{order.Task, order.Run}]
	switch {
	case r == nil || r.reported:
	case w.reported && c.addressesCurrent(w, order.Fence) && w.showsKnownClock(clock, r.startedAt, now):
		r.confirmed = true
	default:
		c.stats.UnknownLives++
		c.log(LogRecord{Job: order.Task.Job, Task: order.Task, Run: order.Run, Worker: w.info.HostID, Event: "start accepted, unknown by which incarnation", Address: r.address, BootedAt: w.bootedAt, Lease: c.countLife(w).lease, Why: "its clock showed " + strconv.FormatInt(int64(clock), 10) + "ms"})
		// A successor must not count on the leases of the known life either.
		c.setOpen(r, now)
	}
}

// showsKnownClock reports whether a clock is that of the known incarnation, by its last reading.
// The clock was read after sentAt and before now, the last reading while its poll was answered.
// The clock of each incarnation begins anew: from 0, and then it shows less than has passed since
// the known one was alive, or from any other time, and then it agrees by chance at most. So
// a run that is confirmed by a clock is released as long as no later incarnation has been seen, and
// not any more then.
func (w *worker) showsKnownClock(clock WorkerTime, sentAt, now time.Time) bool {
	earliest, latest := sentAt.Sub(w.clockAt), now.Sub(w.answeredAt)
	if earliest > 0 {
		earliest = time.Duration(float64(earliest) * minClockRate)
	}
	passed := time.Duration(clock-w.clock) * time.Millisecond
	return passed > earliest-time.Millisecond && passed < latest+time.Millisecond && clock > WorkerTime(now.Sub(w.answeredPollAt)/time.Millisecond)
}

// openStart records that the start of a run is open, unless it is settled.
func (c *Core) openStart(r *run) {
	t := r.task
	if r.settled || t == nil || !c.now.Before(c.actsUntil(r)) || t.open != nil && t.open.Run == r.number {
		return
	}
	c.stats.OpenStarts++
	c.setOpen(r, c.actsUntil(r))
}

// setOpen records that the start of a run may be executed until a time.
func (c *Core) setOpen(r *run, until time.Time) {
	t := r.task
	if t == nil {
		return
	}
	if t.open == nil {
		c.openTasks = append(c.openTasks, t)
	}
	if t.open != nil && t.open.repeated && t.open.Run == r.number {
		t.open.prolong(until)
	} else {
		t.open = &openStart{Run: r.number, Worker: r.worker.info.HostID, Until: until, address: r.address, fence: r.startFence}
	}
	c.storeOpen(t)
}

// storeOpen has the open start of a task stored, or that there is none, unless nobody
// would start the task again.
func (c *Core) storeOpen(t *task) {
	if t.storesOpenStart() {
		c.markDirty(t.step.job())
	}
}

// storeUnanswered has the starts stored as open that have no answer after answerTime: if
// the owner is lost before it gives them up, its successor must know of them.
func (c *Core) storeUnanswered() {
	for len(c.sentRuns) > 0 && c.now.Sub(c.sentRuns[0].startedAt) >= answerTime {
		if r := c.sentRuns[0]; r.worker.runs[runKey{r.name, r.number}] == r {
			c.openStart(r)
		}
		c.sentRuns = c.sentRuns[1:]
	}
}

// closeStart records that the open start of a task cannot act any more.
func (c *Core) closeStart(t *task) {
	c.unname(t, t.open.Run)
	t.open = nil
	c.openTasks = slices.DeleteFunc(c.openTasks, func(other *task) bool { return other == t })
	// No worker is freed by this, so a scan of freed workers would not find one.
	t.step.scannedAt = time.Time{}
	c.placementPending = true
	c.storeOpen(t)
	if t.storesOpenStart() {
		t.closedVersion = t.step.job().version
	}
	t.step.forget(t)
}

// unname records that the list of intended starts needn't name a start any more that was closed, also
// if its run was released before: a successor would take it for the last one of its task.
func (c *Core) unname(t *task, number RunNumber) {
	for _, s := range c.written {
		if s.task == t && s.stored.Run == number {
			s.run = nil
		}
	}
}

// closeStarts closes the open starts that cannot act any more. Those of tasks that have
// ended keep their room until then.
func (c *Core) closeStarts() {
	for _, t := range slices.Clone(c.openTasks) {
		if !c.mayAct(t.open) {
			c.log(LogRecord{Job: t.step.job().name(), Task: t.name(), Run: t.open.Run, Worker: t.open.Worker, Event: "open start closed", Why: "its time is over, and " + c.proofOfClosing(t.open)})
			c.closeStart(t)
		}
	}
}

// proofOfClosing says why a start cannot act any more whose time is over.
func (c *Core) proofOfClosing(open *openStart) string {
	if w := c.workers[open.Worker]; w != nil && w.answeredPollAt.After(c.latestExecution(open)) {
		return "a report lacks its run"
	}
	return "the longest lease has expired"
}

// openOn reports whether a start of the task is open on the worker whose run the owner
// doesn't have there.
func (t *task) openOn(id requester.HostID) bool {
	return t.open != nil && t.open.Worker == id && (t.run == nil || t.run.number != t.open.Run)
}

// reserveForOpen adds up what the open starts need on each worker, and counts them.
func (c *Core) reserveForOpen() {
	for _, w := range c.sortedWorkers {
		w.reservedForOpen, w.stepOpens = requester.Resources{}, nil
	}
	for _, t := range c.openTasks {
		if w := c.workers[t.open.Worker]; w != nil && t.openOn(t.open.Worker) {
			w.reservedForOpen = w.reservedForOpen.Add(t.step.def.allocation())
			if w.stepOpens == nil {
				w.stepOpens = make(map[StepName]int)
			}
			w.stepOpens[t.step.name()]++
		}
	}
	for _, s := range c.written {
		if w := c.workers[s.stored.Worker]; w != nil && s.task == nil && c.mayAct(c.openOf(&s.stored)) {
			w.reservedForOpen = w.reservedForOpen.Add(c.allocationOf(&s.stored, w))
		}
	}
}

// allocationOf returns what a start needs whose task this owner doesn't schedule: the whole
// worker if its job isn't known any more.
func (c *Core) allocationOf(stored *IntendedStart, w *worker) requester.Resources {
	if def := c.stepOf(stored); def != nil {
		return def.allocation()
	}
	return w.info.Total
}

// mayAct reports whether the start may be executed, or a run of it may be active of
// which its worker has not reported.
func (c *Core) mayAct(open *openStart) bool {
	until := c.latestExecution(open)
	if c.now.Before(until) {
		return true
	}
	last := until
	if w := c.workers[open.Worker]; w != nil {
		if w.answeredPollAt.After(until) {
			return false
		}
		// A late order that was sent since extends the lease of the life that has the run.
		if late := w.grantedAt.Add(maxPollDelay); late.After(last) {
			last = late
		}
	}
	return c.now.Before(c.nextLifeExpiry(last))
}

// namedByOpenStart reports whether some start on the worker is open.
func (c *Core) namedByOpenStart(w *worker) bool {
	return slices.ContainsFunc(c.openTasks, func(t *task) bool { return t.open.Worker == w.info.HostID })
}

// closesSoon reports whether a start is open on the worker of which the answer to a poll
// from now on is to show what has become.
func (c *Core) closesSoon(w *worker) bool {
	return w.reported && w.unanswered == 0 && slices.ContainsFunc(c.openTasks, func(t *task) bool {
		return t.open.Worker == w.info.HostID && c.latestExecution(t.open).Sub(c.now) < PollWait
	})
}

// latestExecution returns the time until which an open start may be executed, by this
// owner's clock. That of a previous owner may have differed, but it issued no order
// after the end of its term.
func (c *Core) latestExecution(open *openStart) time.Time {
	if open.Run >= c.firstRun() {
		return open.Until
	}
	until, bound := open.Until.Add(c.clockLag(open.Run)), c.inheritedUntil()
	if until.After(bound) {
		until = bound
	}
	return latest(until, open.repeatUntil)
}

// restoreOpenStarts takes over the open starts of a job that previous owners have
// stored.
func (c *Core) restoreOpenStarts(j *job) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for t := range s.knownTasks() {
				if t.open != nil && !t.done {
					c.openTasks = append(c.openTasks, t)
				}
			}
		}
	}
}
