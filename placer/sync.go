package placer

import (
	"net/netip"
	"slices"
	"time"

	"kumquatstall/estimator"
	"kumquatstall/requester"
)

// Sync is a request to send to a worker. Its result is passed to OnReport or
// OnSyncFailed.
type Sync struct {
	Worker  requester.HostID
	Address netip.AddrPort
	// Request has its Deadline on the holder's clock. The sender converts it to
	// the worker's clock.
	Request SyncRequest
	SentAt  time.Time
}

// maxStarts bounds the starts of one sync.
const maxStarts = 64

// Syncs returns the requests to send now: at once to responsive workers for which
// starts, stops, throttles or acknowledgements are pending, and to all others
// once per SyncInterval. The lease of an unresponsive worker is not renewed. A
// removed worker gets no requests. A worker has at most one request in flight.
func (f *Fleet) Syncs(now time.Time) []Sync {
	var syncs []Sync
	for _, w := range f.workerList {
		pending := !w.unresponsive && len(w.starts)+len(w.stops)+len(w.throttles)+len(w.acks) > 0
		due := now.Sub(w.lastSyncAt) >= f.limits.SyncInterval
		if w.syncInFlight || w.removed || !pending && !due {
			continue
		}
		syncs = append(syncs, f.newSync(w, now))
	}
	return syncs
}

func (f *Fleet) newSync(w *worker, now time.Time) Sync {
	starts := w.starts[:min(maxStarts, len(w.starts))]
	if !w.unresponsive && w.boot != 0 {
		// The lease counts as granted from the moment the request is sent.
		w.leaseDeadline = now.Add(f.limits.LeaseTerm)
	}
	f.lastNumber++
	request := SyncRequest{
		Holder:   f.holder,
		Epoch:    f.epoch,
		Boot:     w.boot,
		Number:   f.lastNumber,
		Deadline: w.leaseDeadline,
		Since:    w.sequence,
		Starts:   starts,
		Stops:    w.stops,
		Acks:     w.acks,

		Throttles: w.throttles,
	}
	w.starts = w.starts[len(starts):]
	w.stops = nil
	w.throttles = nil
	w.acks = nil
	w.syncInFlight = true
	w.lastSyncAt = now
	return Sync{Worker: w.info.HostID, Address: w.info.Address, Request: request, SentAt: now}
}

// OnSyncFailed handles a sync that received no response. All that it contained is
// sent again. The starts may have taken effect; the next report is a full one and
// shows which runs there are.
func (f *Fleet) OnSyncFailed(now time.Time, sync Sync) {
	w, ok := f.workers[sync.Worker]
	if !ok {
		return
	}
	w.syncInFlight = false
	w.unresponsive = true
	w.sequence = 0
	w.putBack(&sync.Request)
}

// putBack queues again what a request contained that may not have been carried out, but
// no start of a task that isn't bound to the worker any more, as its lease has expired.
func (w *worker) putBack(request *SyncRequest) {
	w.stops = append(request.Stops, w.stops...)
	w.throttles = append(request.Throttles, w.throttles...)
	w.acks = append(request.Acks, w.acks...)
	// A repeated start is idempotent: the worker recognises its TaskID.
	bound := slices.DeleteFunc(slices.Clone(request.Starts), func(start TaskStart) bool { return w.tasks[start.Task] == nil })
	w.starts = append(bound, w.starts...)
}

// OnReport applies a worker's response to a sync. It ignores the report of a
// worker that has rejected the request, since a newer holder has taken over.
func (f *Fleet) OnReport(now time.Time, sync Sync, report SyncReport) {
	w, ok := f.workers[sync.Worker]
	if !ok {
		return
	}
	w.syncInFlight = false
	if report.Fenced {
		return
	}
	w.unresponsive = false
	w.reported = true
	w.sequence = report.Sequence
	full := sync.Request.Since == 0
	if report.Boot == sync.Request.Boot && !report.Overtaken {
		f.markRunning(now, w, sync.Request.Starts)
	} else {
		full = true
		f.onNotCarriedOut(now, w, &sync.Request, &report)
	}
	for _, run := range report.Tasks {
		f.onTaskReport(now, w, run)
	}
	if full {
		f.requeueMissing(now, w, report.Tasks)
	}
	f.resolveOvercommit(w)
}

// onNotCarriedOut handles that a request was not carried out: another incarnation than it
// names has answered it, or one that has seen a later request of this epoch. What it
// contained is sent again at once, to that incarnation and with a higher number. What runs
// there may hold a lease of an earlier holder, which can't have extended it since this
// one's epoch arrived.
func (f *Fleet) onNotCarriedOut(now time.Time, w *worker, request *SyncRequest, report *SyncReport) {
	w.boot = report.Boot
	f.lastNumber = max(f.lastNumber, report.Number)
	w.putBack(request)
	if expiry := now.Add(f.limits.LeaseTerm); expiry.After(w.leaseDeadline) {
		w.leaseDeadline = expiry
	}
	w.lastSyncAt = time.Time{}
}

// requeueMissing puts back in the queue the tasks whose starts were sent to the
// worker but that its full report does not contain, and releases the resources of
// orphans that it does not contain.
func (f *Fleet) requeueMissing(now time.Time, w *worker, reports []TaskReport) {
	present := make(map[TaskID]bool, len(reports))
	for _, run := range reports {
		present[run.Task] = true
	}
	for _, start := range w.starts {
		present[start.Task] = true
	}
	for _, t := range w.sortedTasks() {
		if !present[t.id] {
			f.requeueLost(now, t)
		}
	}
	for id := range w.orphans {
		if !present[id] {
			f.dropOrphan(w, id)
		}
	}
}

// dropOrphan releases the resources of an orphaned run.
func (f *Fleet) dropOrphan(w *worker, id TaskID) {
	f.release(w, w.orphans[id])
	delete(w.orphans, id)
}

// markRunning moves the tasks whose starts the worker has acknowledged to the
// state Running, and stops the replicas that they replace.
func (f *Fleet) markRunning(now time.Time, w *worker, starts []TaskStart) {
	for _, start := range starts {
		t, ok := w.tasks[start.Task]
		if !ok || !t.machine.Can("Start") {
			continue
		}
		_ = t.machine.Fire("Start")
		t.startedAt = now
		if t.replaces != nil {
			f.stop(t.replaces)
			t.replaces = nil
		}
	}
}

// onTaskReport applies a worker's report on one run.
func (f *Fleet) onTaskReport(now time.Time, w *worker, run TaskReport) {
	t, ok := w.tasks[run.Task]
	if !ok {
		t = f.adopt(now, w, run)
	}
	if t == nil {
		return
	}
	switch run.State {
	case RunRunning:
		f.onUsage(t, run.Use)
	case RunSucceeded:
		f.onSucceeded(now, t)
	case RunFailed:
		f.onFailed(now, t)
	case RunStopped, RunExpired:
		t.progress = max(t.progress, time.Duration(run.ProgressMicros)*time.Microsecond)
		f.acknowledgeOnCommit(t)
		f.requeue(now, t)
	}
}

// adopt binds a run that is bound to no task, such as one that an earlier holder
// started, to its task if the task is waiting and the run is active or has
// succeeded. Any other run is an orphan: adopt stops or acknowledges it and
// returns nil.
func (f *Fleet) adopt(now time.Time, w *worker, run TaskReport) *task {
	j, ok := f.jobs[run.Job]
	var t *task
	if ok && run.Task.Index < len(j.tasks) {
		t = j.tasks[run.Task.Index]
	}
	adoptable := t != nil && t.machine.In("Waiting") && (run.State == RunRunning || run.State == RunSucceeded)
	if !adoptable {
		f.handleOrphan(w, run)
		return nil
	}
	j.waiting = without(j.waiting, t)
	_ = t.machine.Fire("Adopt")
	t.id = run.Task
	t.run = max(t.run, run.Task.Run)
	f.bind(t, w, run.Need, now)
	if j.state == requester.JobPending {
		j.state = requester.JobRunning
	}
	return t
}

// handleOrphan stops an orphaned run or, if it has ended, acknowledges it. The
// resources of the run are allocated until it has stopped. A worker may report a
// result again before its job's row has committed, so the acknowledgement waits
// for that. A run of an unknown job is an orphan because every job of which an
// earlier holder can have started runs was in the table when this holder read it.
// Ended runs of an excluded job are kept for a holder that can decode its row.
func (f *Fleet) handleOrphan(w *worker, run TaskReport) {
	_, counted := w.orphans[run.Task]
	if run.State == RunRunning {
		if !counted {
			w.orphans[run.Task] = run.Need
			f.allocate(w, run.Need)
		}
		w.stops = append(w.stops, run.Task)
		return
	}
	if counted {
		f.dropOrphan(w, run.Task)
	}
	if f.excluded[run.Job] {
		return
	}
	if j, ok := f.jobs[run.Job]; ok && j.committedVersion < j.version {
		j.pendingAcks = append(j.pendingAcks, pendingAck{worker: w, task: run.Task, version: j.version})
		return
	}
	w.acks = append(w.acks, run.Task)
}

// without returns tasks without t.
func without(tasks []*task, t *task) []*task {
	for i, other := range tasks {
		if other == t {
			return append(tasks[:i:i], tasks[i+1:]...)
		}
	}
	return tasks
}

// onUsage records the measured usage of a running task, and raises the task's
// allocation to it unless the task is throttled. Zero usage means that none has
// been measured yet.
func (f *Fleet) onUsage(t *task, usage requester.Resources) {
	t.usage = usage
	if usage == (requester.Resources{}) {
		return
	}
	f.peakUsage.Observe(estimator.Key{Scope: string(t.job.spec.Trade), Kind: t.job.spec.Kind}, usage)
	if larger := t.allocation.Max(usage); larger != t.allocation && !t.throttled {
		f.resize(t, larger)
	}
}

// resize changes the allocation of a running task.
func (f *Fleet) resize(t *task, allocation requester.Resources) {
	delta := allocation.Sub(t.allocation)
	t.allocation = allocation
	f.allocate(t.worker, delta)
	state := f.trade(t.job.spec.Trade)
	state.allocated = state.allocated.Add(delta)
}

// resolveOvercommit reduces the allocation on a worker whose tasks use more than
// it has: it throttles the least urgent, newest tasks to their declared processor
// time and, where that does not suffice or memory is short, stops tasks at a
// checkpoint in the same order.
func (f *Fleet) resolveOvercommit(w *worker) {
	f.throttle(w)
	allocated := w.allocated
	for _, t := range w.tasks {
		if t.machine.In("Stopping") {
			allocated = allocated.Sub(t.allocation)
		}
	}
	for !allocated.Fits(w.info.Total) {
		victim := stopVictim(w)
		if victim == nil {
			return
		}
		allocated = allocated.Sub(victim.allocation)
		f.stop(victim)
	}
}

// throttle limits tasks to their declared processor time until the allocated
// processor time no longer exceeds the worker's.
func (f *Fleet) throttle(w *worker) {
	for w.allocated.MilliCores > w.info.Total.MilliCores {
		t := selectVictim(w, func(t *task) bool {
			return t.machine.In("Running") && !t.throttled && t.allocation.MilliCores > t.job.spec.Need.MilliCores
		})
		if t == nil {
			return
		}
		bound := t.allocation
		bound.MilliCores = t.job.spec.Need.MilliCores
		f.resize(t, bound)
		t.throttled = true
		w.throttles = append(w.throttles, Throttle{Task: t.id, MilliCores: bound.MilliCores})
	}
}

// stopVictim returns the task to stop first on an overcommitted worker, or nil.
func stopVictim(w *worker) *task {
	return selectVictim(w, func(t *task) bool { return t.machine.Can("Stop") })
}

// selectVictim returns the least urgent task that is eligible, the newest of
// several, or nil.
func selectVictim(w *worker, eligible func(*task) bool) *task {
	var best *task
	for _, t := range w.sortedTasks() {
		if !eligible(t) {
			continue
		}
		if best == nil || lowerPriority(t, best) {
			best = t
		}
	}
	return best
}

// lowerPriority reports whether a is less urgent than b or, if they are equally
// urgent, newer.
func lowerPriority(a, b *task) bool {
	if a.job.spec.Urgency != b.job.spec.Urgency {
		return a.job.spec.Urgency < b.job.spec.Urgency
	}
	return a.startedAt.After(b.startedAt)
}

func (f *Fleet) onSucceeded(now time.Time, t *task) {
	f.acknowledgeOnCommit(t)
	t.worker.breaker.RecordSuccess()
	j := t.job
	f.unbind(t)
	if j.state.Ended() {
		_ = t.machine.Fire("Cancel")
		return
	}
	if err := t.machine.Fire("Finish"); err != nil {
		f.violation = err.Error()
		return
	}
	j.succeeded++
	if j.succeeded == len(j.tasks) {
		j.state = requester.JobSucceeded
		j.endedAt = now
	}
	f.markDirty(j)
}

func (f *Fleet) onFailed(now time.Time, t *task) {
	f.acknowledgeOnCommit(t)
	t.worker.breaker.RecordFailure(now, f.limits.Breaker)
	t.failedOn = append(t.failedOn, t.worker.info.HostID)
	t.failures++
	j := t.job
	if t.failures < f.limits.TaskAttempts || j.state.Ended() || j.spec.Shape == requester.ShapeService {
		f.requeue(now, t)
		return
	}
	f.unbind(t)
	_ = t.machine.Fire("Fail")
	j.failed++
	f.end(j, requester.JobFailed, requester.ReasonRepeatedFailure, now)
}

// requeue puts a task whose run has ended back in the queue, unless its job has
// ended or another replica has replaced it.
func (f *Fleet) requeue(now time.Time, t *task) {
	j := t.job
	f.unbind(t)
	switch {
	case j.state.Ended():
		if t.machine.Can("Cancel") {
			_ = t.machine.Fire("Cancel")
		}
	case j.tasks[t.index] != t:
		// Another replica has replaced this one.
	default:
		if err := t.machine.Fire("Retry"); err != nil {
			f.violation = err.Error()
			return
		}
		f.enqueue(t)
		f.markDirty(j)
	}
}

// acknowledgeOnCommit acknowledges a run to its worker once the job's row with
// the run's result has committed. The worker discards the result then.
func (f *Fleet) acknowledgeOnCommit(t *task) {
	f.markDirty(t.job)
	t.job.pendingAcks = append(t.job.pendingAcks, pendingAck{worker: t.worker, task: t.id, version: t.job.version})
}

// ExpireLeases unbinds the tasks of each worker whose lease has certainly expired:
// the safety margin after its deadline has passed. It puts the tasks back in the
// queue unless their job has ended or another replica has replaced them, drops the
// orphans of the worker, and returns the number of tasks that were unbound. The
// worker gets no tasks until it has sent a full report.
func (f *Fleet) ExpireLeases(now time.Time) int {
	expired := 0
	for _, w := range f.workerList {
		if len(w.tasks)+len(w.orphans) == 0 || now.Before(w.leaseDeadline.Add(f.limits.Margin)) {
			continue
		}
		for id := range w.orphans {
			f.dropOrphan(w, id)
		}
		for _, t := range w.sortedTasks() {
			f.requeueLost(now, t)
			expired++
		}
		w.starts = nil
		w.stops = nil
		w.sequence = 0
		w.reported = false
	}
	return expired
}

// requeueLost puts back in the queue a task whose run was lost: the lease has
// expired, or a full report of the worker does not contain the run. It does not
// requeue a task whose job has ended or that another replica has replaced.
func (f *Fleet) requeueLost(now time.Time, t *task) {
	j := t.job
	f.unbind(t)
	if j.state.Ended() {
		_ = t.machine.Fire("Lapse")
		_ = t.machine.Fire("Cancel")
		return
	}
	if j.tasks[t.index] != t {
		return
	}
	if err := t.machine.Fire("Lapse"); err != nil {
		f.violation = err.Error()
		return
	}
	f.enqueue(t)
}
