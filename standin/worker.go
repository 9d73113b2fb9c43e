package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"kumquatstall/placer"
	"kumquatstall/requester"
)

// WorkerFaults are the faults that a worker injects. The zero value injects none.
type WorkerFaults struct {
	// FailAll makes every task fail as soon as it starts.
	FailAll bool
	// Down rejects every sync request with status 503, while tasks continue.
	Down bool
}

// TaskWork is the payload that sets the actual run time and usage of a job's tasks
// in the stand-in; the declared ones may differ.
type TaskWork struct {
	// RunMicros is the run time in microseconds; 0 means the declared one.
	RunMicros int64
	// Use is the actual resource usage; the zero value means the declared one.
	Use requester.Resources
	// Fail makes every run of the task fail as soon as it starts.
	Fail bool
}

// UsageLag is the run time after which a worker reports the usage of a task.
// Before, it reports none.
const UsageLag = 500 * time.Millisecond

// TaskRun is one ended run of a task, as recorded by the worker.
type TaskRun struct {
	Task      placer.TaskID
	Worker    requester.HostID
	StartedAt time.Time
	EndedAt   time.Time
	State     placer.RunState
}

// workerTask is a task that is running, or has ended and is not acknowledged.
type workerTask struct {
	start     placer.TaskStart
	work      TaskWork
	startedAt time.Time
	// endsAt is when the task succeeds unless it ends earlier for another reason; a
	// year after the start for a task that runs until it is stopped.
	endsAt time.Time
	state  placer.RunState
	// endedAt is zero while the task is running.
	endedAt time.Time
	// lastChange is the sequence number of the task's last change.
	lastChange int64
	// usageVisible is true if the end of UsageLag has been recorded as a change.
	usageVisible bool
}

// Runtime is the state of a worker without a server: its tasks, its lease and the
// epoch of the shard holder whose requests it accepts. It has no goroutine: the
// exported methods that take a time first advance the state to it.
type Runtime struct {
	hostID requester.HostID
	total  requester.Resources

	mu     sync.Mutex
	faults WorkerFaults
	// boot identifies the worker's incarnation: its boot time in Unix nanoseconds.
	boot int64
	// sequence is the number of the last change of a task.
	sequence int64
	// epoch is the highest epoch received, the fencing token, and number that of the
	// last request carried out under it.
	epoch, number int64
	// leaseDeadline is when the lease expires; zero before the first lease.
	leaseDeadline time.Time
	tasks         map[placer.TaskID]*workerTask
	// runs are the runs that have ended.
	runs               []TaskRun
	capacityViolations int64
}

// NewRuntime returns the runtime of a worker that booted at boot.
func NewRuntime(hostID requester.HostID, total requester.Resources, boot time.Time) *Runtime {
	return &Runtime{hostID: hostID, total: total, boot: boot.UnixNano(), tasks: make(map[placer.TaskID]*workerTask)}
}

// Reboot ends the runs without a report and begins a new incarnation, which knows
// nothing of before: no task, no lease and no epoch.
func (w *Runtime) Reboot(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	for _, task := range w.tasks {
		if task.state == placer.RunRunning {
			w.endTask(task, placer.RunFailed, now)
		}
	}
	w.boot, w.sequence, w.epoch, w.number, w.leaseDeadline = now.UnixNano(), 0, 0, 0, time.Time{}
	w.tasks = make(map[placer.TaskID]*workerTask)
}

// Worker is a stand-in for a worker host, which runs tasks under a lease and
// serves sync requests over HTTP.
type Worker struct {
	server
	*Runtime
}

// NewWorker starts a worker on loopback.
func NewWorker(hostID requester.HostID, total requester.Resources) (*Worker, error) {
	w := &Worker{Runtime: NewRuntime(hostID, total, time.Now())}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/sync", w.serveSync)
	mux.HandleFunc("PUT /faults", func(rw http.ResponseWriter, r *http.Request) { serveFaults(rw, r, w.SetFaults) })
	return w, w.start(mux)
}

// SetFaults replaces the injected faults.
func (w *Runtime) SetFaults(faults WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
}

// Runs returns the runs that have ended by now.
func (w *Runtime) Runs(now time.Time) []TaskRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return append([]TaskRun(nil), w.runs...)
}

// CapacityViolations returns how often a task was started that did not fit the
// worker's free capacity.
func (w *Runtime) CapacityViolations() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.capacityViolations
}

// AllocatedShare returns the dominant share of the worker that is allocated to
// running tasks at now.
func (w *Runtime) AllocatedShare(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.allocated().DominantShare(w.total)
}

// serveSync serves POST /v1/sync, and rejects it while the fault Down is set.
func (w *Worker) serveSync(rw http.ResponseWriter, r *http.Request) {
	var request placer.SyncRequest
	w.mu.Lock()
	down := w.faults.Down
	w.mu.Unlock()
	if down {
		http.Error(rw, "worker is down", http.StatusServiceUnavailable)
		return
	}
	if !decodeJSON(rw, r, &request) {
		return
	}
	encodeJSON(rw, w.Sync(request, time.Now()))
}

// Sync executes a request of the shard's holder: it renews the lease, removes
// acknowledged tasks, stops, throttles and starts tasks, and reports the tasks that
// have changed since request.Since, or all if that is 0. A request of an older
// epoch changes nothing and is reported as fenced. A request for another incarnation, or
// one that a later one has overtaken, changes nothing but the epoch and gets a full
// report. A request whose deadline has passed starts no task.
func (w *Runtime) Sync(request placer.SyncRequest, now time.Time) placer.SyncReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if request.Epoch < w.epoch {
		return placer.SyncReport{Now: now, Epoch: w.epoch, Fenced: true}
	}
	if request.Epoch > w.epoch {
		w.epoch, w.number = request.Epoch, 0
	}
	if request.Boot != w.boot {
		return w.report(0, now)
	}
	if request.Number < w.number {
		report := w.report(0, now)
		report.Overtaken, report.Number = true, w.number
		return report
	}
	w.number = request.Number
	if request.Deadline.After(w.leaseDeadline) {
		w.leaseDeadline = request.Deadline
	}
	w.endTasks(request, now)
	if now.Before(request.Deadline) {
		for _, start := range request.Starts {
			w.startTask(start, now)
		}
	}
	return w.report(request.Since, now)
}

// endTasks removes the acknowledged tasks of a request, and stops and throttles tasks.
func (w *Runtime) endTasks(request placer.SyncRequest, now time.Time) {
	for _, id := range request.Acks {
		if task, ok := w.tasks[id]; ok && task.state != placer.RunRunning {
			delete(w.tasks, id)
		}
	}
	for _, id := range request.Stops {
		if task, ok := w.tasks[id]; ok && task.state == placer.RunRunning {
			w.endTask(task, placer.RunStopped, now)
		}
	}
	for _, throttle := range request.Throttles {
		if task, ok := w.tasks[throttle.Task]; ok && task.state == placer.RunRunning {
			task.throttle(throttle.MilliCores, now)
			w.recordChange(task)
		}
	}
}

// report returns a report on the tasks that have changed after since, or on all if that is
// 0.
func (w *Runtime) report(since int64, now time.Time) placer.SyncReport {
	report := placer.SyncReport{Now: now, Epoch: w.epoch, Boot: w.boot, Sequence: w.sequence}
	for id, task := range w.tasks {
		if task.lastChange <= since && since > 0 {
			continue
		}
		report.Tasks = append(report.Tasks, placer.TaskReport{Task: id, Job: task.start.Job, State: task.state, Need: task.start.Need, Use: task.usage(now), ProgressMicros: task.progress()})
	}
	slices.SortFunc(report.Tasks, func(a, b placer.TaskReport) int { return a.Task.Compare(b.Task) })
	return report
}

// startTask starts a run of a task unless that run is already in tasks. A run that
// does not fit the free capacity is started nevertheless and counted as a violation.
func (w *Runtime) startTask(start placer.TaskStart, now time.Time) {
	if _, ok := w.tasks[start.Task]; ok {
		return
	}
	var work TaskWork
	_ = json.Unmarshal(start.Payload, &work)
	if work.RunMicros == 0 {
		work.RunMicros = start.RunMillis * 1000
	}
	task := &workerTask{start: start, work: work, startedAt: now, state: placer.RunRunning}
	if start.Forever {
		task.endsAt = now.AddDate(1, 0, 0)
	} else {
		task.endsAt = now.Add(time.Duration(max(0, work.RunMicros-start.ProgressMicros)) * time.Microsecond)
	}
	w.tasks[start.Task] = task
	w.recordChange(task)
	if !w.allocated().Fits(w.total) {
		w.capacityViolations++
	}
	if w.faults.FailAll || work.Fail {
		w.endTask(task, placer.RunFailed, now)
	}
}

// advance ends the tasks whose run time is over and those that outlast a lease that
// has expired, and records as a change that a task's usage has become visible.
func (w *Runtime) advance(now time.Time) {
	for _, task := range w.tasks {
		if task.state != placer.RunRunning {
			continue
		}
		if !task.usageVisible && now.Sub(task.startedAt) >= UsageLag {
			task.usageVisible = true
			w.recordChange(task)
		}
		expired := !w.leaseDeadline.IsZero() && w.leaseDeadline.Before(now) && w.leaseDeadline.Before(task.endsAt)
		switch {
		case expired:
			w.endTask(task, placer.RunExpired, w.leaseDeadline)
		case !now.Before(task.endsAt):
			w.endTask(task, placer.RunSucceeded, task.endsAt)
		}
	}
}

// endTask sets the final state of a task and records its run.
func (w *Runtime) endTask(task *workerTask, state placer.RunState, at time.Time) {
	task.state = state
	task.endedAt = at
	w.recordChange(task)
	w.runs = append(w.runs, TaskRun{Task: task.start.Task, Worker: w.hostID, StartedAt: task.startedAt, EndedAt: at, State: state})
}

// recordChange gives a changed task the next sequence number.
func (w *Runtime) recordChange(task *workerTask) {
	w.sequence++
	task.lastChange = w.sequence
}

// allocated returns the declared resources of the running tasks.
func (w *Runtime) allocated() requester.Resources {
	var sum requester.Resources
	for _, task := range w.tasks {
		if task.state == placer.RunRunning {
			sum = sum.Add(task.start.Need)
		}
	}
	return sum
}

// throttle limits the task's use of processor time, which extends its remaining run
// time in proportion. A limit of 0, or one that is not below the usage set by the
// payload or an earlier limit, has no effect; so a task whose payload sets no
// processor usage is never throttled.
func (t *workerTask) throttle(milliCores int64, now time.Time) {
	used := t.work.Use.MilliCores
	if used <= milliCores || milliCores <= 0 {
		return
	}
	t.work.Use.MilliCores = milliCores
	remaining := float64(t.endsAt.Sub(now)) * float64(used) / float64(milliCores)
	t.endsAt = now.Add(time.Duration(remaining))
}

// progress returns the run time that a stopped task has checkpointed, including
// that of previous runs, in microseconds; 0 for a task in another state.
func (t *workerTask) progress() int64 {
	if t.state != placer.RunStopped {
		return 0
	}
	return t.start.ProgressMicros + t.endedAt.Sub(t.startedAt).Microseconds()
}

// usage returns the resources that the worker reports for the task: its actual
// usage, but none in the first UsageLag of the run and after its end.
func (t *workerTask) usage(now time.Time) requester.Resources {
	if t.state != placer.RunRunning || now.Sub(t.startedAt) < UsageLag {
		return requester.Resources{}
	}
	if t.work.Use == (requester.Resources{}) {
		return t.start.Need
	}
	return t.work.Use
}
