package standin

import (
	"fmt"
	"slices"
	"time"

	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// maxLease is the longest lease that a worker accepts, on its clock; it shortens a longer one.
const maxLease = 10 * time.Second

// acceptFence reports whether fence is at least the highest one that the worker
// has received, and records it.
func (w *TaskWorker) acceptFence(fence scheduler.Fence) bool {
	if fence < w.fence {
		return false
	}
	w.fence = fence
	return true
}

// renewLease extends the lease to deadline, but not beyond maxLease after now. It
// never shortens the lease.
func (w *TaskWorker) renewLease(deadline scheduler.WorkerTime, now time.Time) {
	if !now.Before(w.leaseDeadline) {
		// The lease has expired, so the owner may have rescheduled the tasks whose
		// ends it has not acknowledged. A later acknowledgement does not show that
		// the owner has committed the end.
		for _, run := range w.history {
			run.maybeRescheduled = run.maybeRescheduled || run.endNumber > 0 && !run.Acknowledged
		}
	}
	expiry := w.bootedAt.Add(w.trueTime(time.Duration(deadline-w.clockAtBirth) * time.Millisecond))
	if latest := now.Add(w.trueTime(maxLease)); expiry.After(latest) {
		expiry = latest
	}
	if expiry.After(w.leaseDeadline) {
		w.leaseDeadline = expiry
	}
}

// Start executes an order to start a run. A repeated order for a run that is
// running is accepted without effect but on the lease, which an order that is rejected as
// stale or for want of capacity extends as well. A run that does not fit the free capacity
// is recorded as a violation, and started nevertheless without an admission check.
func (w *TaskWorker) Start(order scheduler.StartOrder, now time.Time) scheduler.OrderResult {
	return w.startSent(order, now, now)
}

// startSent is Start for an order that was sent at sentAt and is carried out at now.
func (w *TaskWorker) startSent(order scheduler.StartOrder, sentAt, now time.Time) scheduler.OrderResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if !w.acceptFence(order.Fence) {
		return scheduler.OrderFenced
	}
	if order.Deadline <= w.clock(now) {
		return w.startExpired(order)
	}
	w.renewLease(order.Deadline, now)
	if w.isRunning(order.Task, order.Run) {
		return scheduler.OrderAccepted
	}
	if order.Run <= w.staleThrough[order.Task] {
		return scheduler.OrderStaleRun
	}
	spec, need := parsePayload(order.Payload)
	if !w.admits(order.Task, need, sentAt) {
		return scheduler.OrderNoCapacity
	}
	run := &RunRecord{Worker: w.info.HostID, Task: order.Task, Run: order.Run, Need: need, StartedAt: now, Pace: 100, incarnation: w.bootedAt, EndsAt: now.Add(time.Duration(spec.Millis) * time.Millisecond), fails: spec.Fails}
	w.running = append(w.running, run)
	w.history = append(w.history, run)
	return scheduler.OrderAccepted
}

// admits reports whether a start that was sent at sentAt may begin, and records a violation
// if it doesn't fit the room on which it may rest.
func (w *TaskWorker) admits(task scheduler.TaskName, need requester.Resources, sentAt time.Time) bool {
	used := need
	for _, run := range w.running {
		used = used.Add(run.Need)
	}
	if !used.Fits(w.room.counted(sentAt)) {
		w.problem = fmt.Sprintf("%s: %v started beyond the worker's capacity", w.info.HostID, task)
	}
	return !w.admissionCheck || used.Fits(w.room.total)
}

// startExpired returns the result of an order to start a run whose deadline has passed.
func (w *TaskWorker) startExpired(order scheduler.StartOrder) scheduler.OrderResult {
	switch {
	case w.isRunning(order.Task, order.Run):
		return scheduler.OrderAccepted
	case order.Run <= w.staleThrough[order.Task]:
		return scheduler.OrderStaleRun
	}
	return scheduler.OrderExpired
}

// isRunning reports whether a run is running.
func (w *TaskWorker) isRunning(task scheduler.TaskName, number scheduler.RunNumber) bool {
	return slices.ContainsFunc(w.running, func(run *RunRecord) bool { return run.Task == task && run.Run == number })
}

// Pace executes an order to set the pace of a run. It is recorded, and changes nothing else.
func (w *TaskWorker) Pace(order scheduler.PaceOrder, now time.Time) scheduler.OrderResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if !w.acceptFence(order.Fence) {
		return scheduler.OrderFenced
	}
	for _, run := range w.running {
		if run.Task == order.Task && run.Run == order.Run {
			run.Pace = order.Percent
			return scheduler.OrderAccepted
		}
	}
	return scheduler.OrderStaleRun
}

// Stop executes an order to stop a run. Later orders to start this run or an
// earlier one of the task are rejected, also if the run never started.
func (w *TaskWorker) Stop(order scheduler.StopOrder, now time.Time) scheduler.OrderResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if !w.acceptFence(order.Fence) {
		return scheduler.OrderFenced
	}
	w.staleThrough[order.Task] = max(w.staleThrough[order.Task], order.Run)
	for _, run := range w.running {
		if run.Task == order.Task && run.Run == order.Run && run.killedAt.IsZero() {
			run.killedAt, run.killedAs = now, scheduler.EndStopped
		}
	}
	w.advance(now)
	return scheduler.OrderAccepted
}

// Poll renews the lease, acknowledges ends up to order.AcknowledgedEnd, and
// returns the running runs and the ends not yet acknowledged.
func (w *TaskWorker) Poll(order scheduler.PollOrder, now time.Time) (*scheduler.Report, scheduler.OrderResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if !w.acceptFence(order.Fence) {
		return nil, scheduler.OrderFenced
	}
	w.renewLease(order.Deadline, now)
	for _, run := range w.history {
		if run.endNumber > 0 && run.endNumber <= order.AcknowledgedEnd && run.incarnation.Equal(w.bootedAt) && !run.maybeRescheduled {
			run.Acknowledged = true
		}
	}
	w.unacknowledgedEnds = slices.DeleteFunc(w.unacknowledgedEnds, func(e scheduler.EndedRun) bool { return e.Number <= order.AcknowledgedEnd })
	more := len(w.unacknowledgedEnds) >= maxListedEnds
	listed := w.unacknowledgedEnds[:min(len(w.unacknowledgedEnds), maxListedEnds)]
	report := &scheduler.Report{Clock: w.clock(now), BootedAt: w.info.BootedAt, Ended: slices.Clone(listed), Partial: more, More: more}
	for _, run := range w.running {
		report.Running = append(report.Running, scheduler.RunningTask{Task: run.Task, Run: run.Run, Percent: run.percent(now)})
	}
	return report, scheduler.OrderAccepted
}

// maxListedEnds is the most ends that a worker lists in a report. It lists the others once
// these are acknowledged.
const maxListedEnds = 500

// advance ends the runs that have ended by now: those whose execution time is over,
// and those that outlast a lease that has expired. A lease that is renewed while such a run
// is being killed doesn't save it.
func (w *TaskWorker) advance(now time.Time) {
	for _, run := range slices.Clone(w.running) {
		if run.killedAt.IsZero() && run.EndsAt.After(w.leaseDeadline) && !now.Before(w.leaseDeadline) {
			run.killedAt, run.killedAs = w.leaseDeadline, scheduler.EndExpired
		}
		kind, at := run.outcome(w.killDelay)
		if !now.Before(at) {
			w.end(run, kind, at)
		}
	}
}

// end records the end of a run and queues it for the next poll.
func (w *TaskWorker) end(run *RunRecord, kind scheduler.EndKind, at time.Time) {
	run.Kind, run.EndedAt = kind, at
	w.running = slices.DeleteFunc(w.running, func(other *RunRecord) bool { return other == run })
	w.staleThrough[run.Task] = max(w.staleThrough[run.Task], run.Run)
	w.lastEndNumber++
	run.endNumber = w.lastEndNumber
	w.unacknowledgedEnds = append(w.unacknowledgedEnds, scheduler.EndedRun{Number: w.lastEndNumber, Task: run.Task, Run: run.Run, Kind: kind})
}
