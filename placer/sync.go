package placer

import (
	"net/netip"
	"time"

	"kumquatstall/estimator"
	"kumquatstall/requester"
)

// Sync is a request to a worker. Its result is handed back to OnReport or
// OnSyncFailed.
type Sync struct {
	Worker  requester.HostID
	Address netip.AddrPort
	// Request's Deadline is by the holder's clock; the sender converts it
	// to the worker's.
	Request SyncRequest
	SentAt  time.Time
}

// maxStarts bounds the starts of one sync.
const maxStarts = 64

// Syncs returns the requests to send now: to workers with something to do,
// and to all others once in an interval. A silent worker is asked too, but its
// lease is not extended.
func (f *Fleet) Syncs(now time.Time) []Sync {
	var syncs []Sync
	for _, w := range f.order {
		urgent := !w.silent && len(w.starts)+len(w.stops)+len(w.throttles)+len(w.acks) > 0
		due := now.Sub(w.syncedAt) >= f.limits.SyncInterval
		if w.syncOpen || w.gone || !urgent && !due {
			continue
		}
		syncs = append(syncs, f.sync(w, now))
	}
	return syncs
}

func (f *Fleet) sync(w *worker, now time.Time) Sync {
	starts := w.starts[:min(maxStarts, len(w.starts))]
	if !w.silent {
		// The lease counts as given out from the moment it is sent.
		w.leaseUntil = now.Add(f.limits.LeaseTerm)
	}
	request := SyncRequest{
		Holder:   f.holder,
		Epoch:    f.epoch,
		Deadline: w.leaseUntil,
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
	w.syncOpen = true
	w.syncedAt = now
	return Sync{Worker: w.info.HostID, Address: w.info.Address, Request: request, SentAt: now}
}

// OnSyncFailed takes in that a sync got no answer. Its stops and acks are sent
// again; its starts may have taken effect and are settled by the next report.
func (f *Fleet) OnSyncFailed(now time.Time, sync Sync) {
	w, ok := f.workers[sync.Worker]
	if !ok {
		return
	}
	w.syncOpen = false
	w.silent = true
	w.sequence = 0
	w.stops = append(sync.Request.Stops, w.stops...)
	w.throttles = append(sync.Request.Throttles, w.throttles...)
	w.acks = append(sync.Request.Acks, w.acks...)
	// Sending a start twice is harmless: the worker knows its TaskID.
	w.starts = append(sync.Request.Starts, w.starts...)
}

// OnReport takes in a worker's answer to a sync.
func (f *Fleet) OnReport(now time.Time, sync Sync, report SyncReport) {
	w, ok := f.workers[sync.Worker]
	if !ok {
		return
	}
	w.syncOpen = false
	if report.Fenced {
		return
	}
	w.silent = false
	full := sync.Request.Since == 0
	if !full && report.Boot != w.boot {
		// The worker has started anew and knows nothing: ask for all.
		w.sequence = 0
		w.syncedAt = time.Time{}
		return
	}
	w.boot = report.Boot
	w.reported = true
	w.sequence = report.Sequence
	f.startRunning(now, w, sync.Request.Starts)
	for _, run := range report.Tasks {
		f.onRun(now, w, run)
	}
	if full {
		f.dropMissing(now, w, report.Tasks)
	}
	f.relieve(w)
}

// dropMissing puts the tasks back in the queue that a full report does not
// name though the worker had been told to start them.
func (f *Fleet) dropMissing(now time.Time, w *worker, reports []TaskReport) {
	present := make(map[TaskID]bool, len(reports))
	for _, run := range reports {
		present[run.Task] = true
	}
	for _, start := range w.starts {
		present[start.Task] = true
	}
	for _, t := range w.sortedTasks() {
		if !present[t.id] {
			f.lapseTask(now, t)
		}
	}
	for id := range w.foreign {
		if !present[id] {
			f.dropForeign(w, id)
		}
	}
}

func (f *Fleet) dropForeign(w *worker, id TaskID) {
	f.give(w, w.foreign[id])
	delete(w.foreign, id)
}

// startRunning moves the tasks whose start was answered to Running.
func (f *Fleet) startRunning(now time.Time, w *worker, starts []TaskStart) {
	for _, start := range starts {
		t, ok := w.tasks[start.Task]
		if !ok || !t.machine.Can("Start") {
			continue
		}
		_ = t.machine.Fire("Start")
		t.started = now
		if t.replaces != nil {
			f.stop(t.replaces)
			t.replaces = nil
		}
	}
}

// onRun takes in what a worker tells of one run.
func (f *Fleet) onRun(now time.Time, w *worker, run TaskReport) {
	t, ok := w.tasks[run.Task]
	if !ok {
		t = f.adopt(now, w, run)
	}
	if t == nil {
		return
	}
	switch run.State {
	case RunRunning:
		f.onUse(t, run.Use)
	case RunSucceeded:
		f.onSucceeded(now, t)
	case RunFailed:
		f.onFailed(now, t)
	case RunStopped, RunLapsed:
		t.progress = max(t.progress, time.Duration(run.ProgressMicros)*time.Microsecond)
		f.acknowledge(t)
		f.again(now, t)
	}
}

// adopt takes over a run that an earlier holder started. It returns nil for a
// run that is not wanted; that one is stopped or acknowledged.
func (f *Fleet) adopt(now time.Time, w *worker, run TaskReport) *task {
	j, ok := f.jobs[run.Job]
	var t *task
	if ok && run.Task.Index < len(j.tasks) {
		t = j.tasks[run.Task.Index]
	}
	wanted := t != nil && t.machine.In("Waiting") && (run.State == RunRunning || run.State == RunSucceeded)
	if !wanted {
		f.refuseRun(w, run)
		return nil
	}
	j.waiting = without(j.waiting, t)
	_ = t.machine.Fire("Adopt")
	t.id = run.Task
	t.run = max(t.run, run.Task.Run)
	f.occupy(t, w, run.Need, now)
	if j.state == requester.JobPending {
		j.state = requester.JobRunning
	}
	return t
}

// refuseRun stops a run that nobody wants, or forgets one that has ended. Its
// room counts as taken until it has stopped. Every job that an earlier holder
// can have started stood in the table when this one read it.
func (f *Fleet) refuseRun(w *worker, run TaskReport) {
	_, counted := w.foreign[run.Task]
	if run.State == RunRunning {
		if !counted {
			w.foreign[run.Task] = run.Need
			f.take(w, run.Need)
		}
		w.stops = append(w.stops, run.Task)
		return
	}
	if counted {
		f.dropForeign(w, run.Task)
	}
	w.acks = append(w.acks, run.Task)
}

func without(tasks []*task, t *task) []*task {
	for i, other := range tasks {
		if other == t {
			return append(tasks[:i:i], tasks[i+1:]...)
		}
	}
	return tasks
}

// onUse takes in what a running task was seen to use.
func (f *Fleet) onUse(t *task, use requester.Resources) {
	t.use = use
	if use == (requester.Resources{}) {
		return
	}
	f.sizes.Observe(estimator.Key{Scope: string(t.job.spec.Trade), Kind: t.job.spec.Kind}, use)
	if larger := t.need.Max(use); larger != t.need && !t.throttled {
		f.grow(t, larger)
	}
}

// grow changes what is reserved for a running task.
func (f *Fleet) grow(t *task, need requester.Resources) {
	delta := need.Sub(t.need)
	t.need = need
	f.take(t.worker, delta)
	state := f.trade(t.job.spec.Trade)
	state.taken = state.taken.Add(delta)
}

// relieve helps a worker on which tasks use more than it has: it throttles the
// least urgent, newest ones to what they declared, and where that is not
// enough, or memory is short, it stops them at a checkpoint.
func (f *Fleet) relieve(w *worker) {
	f.throttle(w)
	taken := w.taken
	for _, t := range w.tasks {
		if t.machine.In("Stopping") {
			taken = taken.Sub(t.need)
		}
	}
	for !taken.Fits(w.info.Total) {
		victim := cheapest(w)
		if victim == nil {
			return
		}
		taken = taken.Sub(victim.need)
		f.stop(victim)
	}
}

// throttle bounds tasks to the processor time that they declared until the
// worker's is enough.
func (f *Fleet) throttle(w *worker) {
	for w.taken.MilliCores > w.info.Total.MilliCores {
		t := cheapestOf(w, func(t *task) bool {
			return t.machine.In("Running") && !t.throttled && t.need.MilliCores > t.job.spec.Need.MilliCores
		})
		if t == nil {
			return
		}
		bound := t.need
		bound.MilliCores = t.job.spec.Need.MilliCores
		f.grow(t, bound)
		t.throttled = true
		w.throttles = append(w.throttles, Throttle{Task: t.id, MilliCores: bound.MilliCores})
	}
}

func cheapest(w *worker) *task {
	return cheapestOf(w, func(t *task) bool { return t.machine.Can("Stop") })
}

// cheapestOf returns the least urgent, newest task that may be chosen.
func cheapestOf(w *worker, may func(*task) bool) *task {
	var best *task
	for _, t := range w.sortedTasks() {
		if !may(t) {
			continue
		}
		if best == nil || cheaper(t, best) {
			best = t
		}
	}
	return best
}

func cheaper(a, b *task) bool {
	if a.job.spec.Urgency != b.job.spec.Urgency {
		return a.job.spec.Urgency < b.job.spec.Urgency
	}
	return a.started.After(b.started)
}

func (f *Fleet) onSucceeded(now time.Time, t *task) {
	f.acknowledge(t)
	t.worker.breaker.RecordSuccess()
	j := t.job
	f.vacate(t)
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
	f.touch(j)
}

func (f *Fleet) onFailed(now time.Time, t *task) {
	f.acknowledge(t)
	t.worker.breaker.RecordFailure(now, f.limits.Breaker)
	t.failedOn = append(t.failedOn, t.worker.info.HostID)
	t.failures++
	j := t.job
	if t.failures < f.limits.TaskAttempts || j.state.Ended() || j.spec.Shape == requester.ShapeService {
		f.again(now, t)
		return
	}
	f.vacate(t)
	_ = t.machine.Fire("Fail")
	j.failed++
	f.end(j, requester.JobFailed, requester.ReasonRepeatedFailure, now)
}

// again puts a task whose run has ended back in the queue.
func (f *Fleet) again(now time.Time, t *task) {
	j := t.job
	f.vacate(t)
	switch {
	case j.state.Ended():
		if t.machine.Can("Cancel") {
			_ = t.machine.Fire("Cancel")
		}
	case j.tasks[t.index] != t:
		// A replica that another one has replaced.
	default:
		if err := t.machine.Fire("Retry"); err != nil {
			f.violation = err.Error()
			return
		}
		f.enqueue(t)
		f.touch(j)
	}
}

// acknowledge lets the worker forget a run once the job's row, which the
// caller touches, has been written.
func (f *Fleet) acknowledge(t *task) {
	f.touch(t.job)
	t.job.acks = append(t.job.acks, pendingAck{worker: t.worker, task: t.id, version: t.job.version})
}

// Lapse puts the tasks of silent workers back in the queue once their lease
// has surely lapsed, and returns how many.
func (f *Fleet) Lapse(now time.Time) int {
	lapsed := 0
	for _, w := range f.order {
		if len(w.tasks)+len(w.foreign) == 0 || now.Before(w.leaseUntil.Add(f.limits.Margin)) {
			continue
		}
		for id := range w.foreign {
			f.dropForeign(w, id)
		}
		for _, t := range w.sortedTasks() {
			f.lapseTask(now, t)
			lapsed++
		}
		w.starts = nil
		w.stops = nil
		w.sequence = 0
		w.reported = false
	}
	return lapsed
}

func (f *Fleet) lapseTask(now time.Time, t *task) {
	j := t.job
	f.vacate(t)
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
