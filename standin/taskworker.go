package standin

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// RunSpec is how long the tasks of a job run on a stand-in, and whether they
// fail. It is encoded in the job's payload.
type RunSpec struct {
	Millis int64
	Fails  bool
}

// Payload returns the job payload that encodes s and the resources that each task
// occupies.
func (s RunSpec) Payload(need requester.Resources) string {
	return fmt.Sprintf("%d %t %d %d %d", s.Millis, s.Fails, need.MilliCores, need.MemoryMB, need.Accelerators)
}

// parsePayload decodes a payload that Payload returned.
func parsePayload(payload string) (RunSpec, requester.Resources) {
	var spec RunSpec
	var need requester.Resources
	// A payload of another format is a task that ends at once.
	_, _ = fmt.Sscanf(payload, "%d %t %d %d %d", &spec.Millis, &spec.Fails, &need.MilliCores, &need.MemoryMB, &need.Accelerators)
	return spec, need
}

// RunRecord is one run, as recorded by the worker.
type RunRecord struct {
	Worker    requester.HostID
	Task      scheduler.TaskName
	Run       scheduler.RunNumber
	Need      requester.Resources
	StartedAt time.Time
	// EndsAt is when the run ends unless it is stopped or its lease expires.
	EndsAt time.Time
	// EndedAt is when the run ended; zero while it is running.
	EndedAt time.Time
	// Pace is the pace of the run in percent.
	Pace int
	Kind scheduler.EndKind
	// Acknowledged is true if an owner acknowledged the end before the lease
	// expired.
	Acknowledged bool
	// incarnation is the boot time of the incarnation that ran it.
	incarnation time.Time
	// endNumber is the number under which polls return and acknowledge the end; 0
	// while the run is running, or if the worker crashed before it ended.
	endNumber int64
	// maybeRescheduled is true if the lease expired before the end was
	// acknowledged, so that an owner may have started the task again elsewhere.
	maybeRescheduled bool
	fails            bool
}

// String returns where, when and how the run ran, for messages.
func (r *RunRecord) String() string {
	const clock = "15:04:05.000"
	end := "now"
	if !r.EndedAt.IsZero() {
		end = fmt.Sprintf("%s %v", r.EndedAt.Format(clock), r.Kind)
	}
	return fmt.Sprintf("run %d on %s, %s to %s", r.Run, r.Worker, r.StartedAt.Format(clock), end)
}

// percent returns the percentage of the run's execution time that has passed.
func (r *RunRecord) percent(now time.Time) int {
	return int(100 * now.Sub(r.StartedAt) / max(1, r.EndsAt.Sub(r.StartedAt)))
}

// TaskWorker is a worker that runs the tasks of a cell's owner under fences and
// leases, without a server. It has no goroutine: the exported methods that take a
// time first advance the state to it.
type TaskWorker struct {
	mu          sync.Mutex
	info        scheduler.WorkerInfo
	room        room
	bootedAt    time.Time
	down        bool
	partitioned bool
	// crashedAt is when the last incarnation before this one crashed, and former is what
	// its row in the list of workers contains. Zero if there was none.
	crashedAt time.Time
	former    scheduler.WorkerInfo
	// ordersLate is the share of the orders that are late.
	ordersLate float64
	// fence is the highest fence received by this incarnation.
	fence         scheduler.Fence
	leaseDeadline time.Time
	running       []*RunRecord
	// unacknowledgedEnds are the ends that polls return until they are
	// acknowledged.
	unacknowledgedEnds []scheduler.EndedRun
	// lastEndNumber is the number of the last end; the numbers restart with each
	// incarnation.
	lastEndNumber int64
	// staleThrough is, for each task, the highest number of a run that has ended
	// or was stopped. Orders to start a run up to it are rejected.
	staleThrough map[scheduler.TaskName]scheduler.RunNumber
	// history are all runs of all incarnations.
	history []*RunRecord
	// problem describes the last capacity violation.
	problem string
}

// maxLease is the longest lease that a worker accepts; it shortens a longer one.
const maxLease = 10 * time.Second

// NewTaskWorker returns a worker that booted at now.
func NewTaskWorker(info scheduler.WorkerInfo, now time.Time) *TaskWorker {
	info.BootedAt = now.Truncate(time.Millisecond)
	return &TaskWorker{info: info, room: room{total: info.Total}, bootedAt: info.BootedAt, staleThrough: make(map[scheduler.TaskName]scheduler.RunNumber)}
}

// Info returns what the list of workers contains on the worker, and whether the
// worker is up.
func (w *TaskWorker) Info() (scheduler.WorkerInfo, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.info, !w.down
}

// missedBeats is after how many heartbeats of silence a worker's row expires.
const missedBeats = 3

// Listed returns what the list of workers contains on the worker, and whether it is on the
// list, if it writes its row once per heartbeat. So the row of an incarnation that crashed
// stays until the next one writes its first, or until it expires. With heartbeat 0 it is
// Info.
func (w *TaskWorker) Listed(now time.Time, heartbeat time.Duration) (scheduler.WorkerInfo, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.down && !now.Before(w.bootedAt.Add(firstBeat(w.bootedAt, heartbeat))) {
		return w.info, true
	}
	return w.former, now.Before(w.crashedAt.Add(missedBeats * heartbeat))
}

// firstBeat returns how long after its start an incarnation first writes its row: at most
// a heartbeat, which depends on nothing but the time of its start.
func firstBeat(bootedAt time.Time, heartbeat time.Duration) time.Duration {
	if heartbeat < time.Millisecond {
		return 0
	}
	return time.Duration(bootedAt.UnixMilli()%heartbeat.Milliseconds()) * time.Millisecond
}

// Reachable reports whether orders reach the worker: it is up and not
// partitioned.
func (w *TaskWorker) Reachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.down && !w.partitioned
}

// SetOrdersLate sets the share, from 0 to 1, of the orders to this worker that are late,
// as CellFaults.OrdersLate does for all workers.
func (w *TaskWorker) SetOrdersLate(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ordersLate = share
}

// orderLateness returns the share of the orders that are late.
func (w *TaskWorker) orderLateness() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ordersLate
}

// SetPartitioned starts or ends a network partition, during which the worker's
// tasks continue but no order reaches it.
func (w *TaskWorker) SetPartitioned(partitioned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned = partitioned
}

// SetLeaving sets whether the list of workers shows the worker as leaving.
func (w *TaskWorker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.info.Leaving = leaving
}

// Crash stops the worker. Its runs end without being reported, and earlier ends
// that are not acknowledged are lost.
func (w *TaskWorker) Crash(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	for _, run := range w.running {
		run.EndedAt, run.Kind = now, scheduler.EndUnknown
	}
	if !w.down {
		w.crashedAt, w.former = now, w.info
	}
	w.down, w.running, w.unacknowledgedEnds = true, nil, nil
}

// Restart boots a crashed worker as a new incarnation, without the fence, the lease
// and the runs of the previous one.
func (w *TaskWorker) Restart(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.down {
		return
	}
	w.down, w.fence, w.leaseDeadline, w.lastEndNumber = false, 0, time.Time{}, 0
	w.staleThrough = make(map[scheduler.TaskName]scheduler.RunNumber)
	w.bootedAt = now.Truncate(time.Millisecond)
	w.info.BootedAt = w.bootedAt
}

// Runs returns the records of all runs that were ever started, over all
// incarnations, and the last capacity violation, "" for none.
func (w *TaskWorker) Runs(now time.Time) ([]RunRecord, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	runs := make([]RunRecord, len(w.history))
	for i, run := range w.history {
		runs[i] = *run
	}
	return runs, w.problem
}

// clock returns the worker's own clock, which counts milliseconds since the boot.
func (w *TaskWorker) clock(now time.Time) scheduler.WorkerTime {
	return scheduler.WorkerTime(now.Sub(w.bootedAt) / time.Millisecond)
}

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
	expiry := w.bootedAt.Add(time.Duration(deadline) * time.Millisecond)
	if latest := now.Add(maxLease); expiry.After(latest) {
		expiry = latest
	}
	if expiry.After(w.leaseDeadline) {
		w.leaseDeadline = expiry
	}
}

// Start executes an order to start a run. A repeated order for a run that is
// running is accepted without effect but on the lease, which an order that is rejected as
// stale extends as well. A run that does not fit the free capacity is
// started nevertheless and recorded as a violation.
func (w *TaskWorker) Start(order scheduler.StartOrder, now time.Time) scheduler.OrderResult {
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
	run := &RunRecord{Worker: w.info.HostID, Task: order.Task, Run: order.Run, Need: need, StartedAt: now, Pace: 100, incarnation: w.bootedAt, EndsAt: now.Add(time.Duration(spec.Millis) * time.Millisecond), fails: spec.Fails}
	w.running = append(w.running, run)
	w.history = append(w.history, run)
	var used requester.Resources
	for _, other := range w.running {
		used = used.Add(other.Need)
	}
	if !used.Fits(w.room.counted(now)) {
		w.problem = fmt.Sprintf("%s: %v started beyond the worker's capacity", w.info.HostID, order.Task)
	}
	return scheduler.OrderAccepted
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
	for _, run := range slices.Clone(w.running) {
		if run.Task == order.Task && run.Run == order.Run {
			w.end(run, scheduler.EndStopped, now)
		}
	}
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
// and those that outlast a lease that has expired.
func (w *TaskWorker) advance(now time.Time) {
	for _, run := range slices.Clone(w.running) {
		switch {
		case run.EndsAt.After(w.leaseDeadline) && !now.Before(w.leaseDeadline):
			w.end(run, scheduler.EndExpired, w.leaseDeadline)
		case !now.Before(run.EndsAt) && run.fails:
			w.end(run, scheduler.EndFailed, run.EndsAt)
		case !now.Before(run.EndsAt):
			w.end(run, scheduler.EndDone, run.EndsAt)
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

// CheckRuns checks the runs of all workers against the invariants of the cell and
// returns the violations: runs of one task that overlap, a run of a task whose
// completion had been acknowledged, and a worker whose capacity was exceeded.
func CheckRuns(workers []*TaskWorker, now time.Time) []string {
	var problems []string
	byTask := make(map[scheduler.TaskName][]RunRecord)
	for _, w := range workers {
		runs, problem := w.Runs(now)
		if problem != "" {
			problems = append(problems, problem)
		}
		for _, run := range runs {
			byTask[run.Task] = append(byTask[run.Task], run)
		}
	}
	for task, runs := range byTask {
		slices.SortFunc(runs, func(a, b RunRecord) int { return a.StartedAt.Compare(b.StartedAt) })
		for i := 1; i < len(runs); i++ {
			previous := runs[i-1]
			if previous.EndedAt.IsZero() || previous.EndedAt.After(runs[i].StartedAt) {
				problems = append(problems, fmt.Sprintf("%v: runs %d and %d overlap (%v; %v)", task, previous.Run, runs[i].Run, &previous, &runs[i]))
			}
			if previous.Kind == scheduler.EndDone && previous.Acknowledged {
				problems = append(problems, fmt.Sprintf("%v: run %d started after run %d was acknowledged as done (%v; %v)", task, runs[i].Run, previous.Run, &previous, &runs[i]))
			}
		}
	}
	slices.SortFunc(problems, strings.Compare)
	return problems
}
