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

// WorkerFaults are the faults of one worker. The zero value has none.
type WorkerFaults struct {
	// FailAll fails every task as soon as it starts.
	FailAll bool
	// Down refuses every request while tasks go on.
	Down bool
}

// TaskWork is the payload by which a job tells the stand-in what a task
// really takes; declared sizes may differ.
type TaskWork struct {
	RunMicros int64
	Use       requester.Resources
	// Fail makes every run of the task fail.
	Fail bool
}

// UsageLag is how far a worker's reported usage is behind.
const UsageLag = 500 * time.Millisecond

// TaskRun is one run of a task, as the worker saw it.
type TaskRun struct {
	Task      placer.TaskID
	Worker    requester.HostID
	StartedAt time.Time
	EndedAt   time.Time
	State     placer.RunState
}

type workerTask struct {
	start   placer.TaskStart
	work    TaskWork
	started time.Time
	endsAt  time.Time
	state   placer.RunState
	ended   time.Time
	// changed is the sequence number of the task's last change.
	changed   int64
	usageSeen bool
}

// Runtime is what runs on a worker, without a server. It needs no goroutine of
// its own: state is brought up to date whenever it is asked.
type Runtime struct {
	hostID requester.HostID
	total  requester.Resources

	mu       sync.Mutex
	faults   WorkerFaults
	boot     int64
	sequence int64
	epoch    int64
	deadline time.Time
	tasks    map[placer.TaskID]*workerTask
	runs     []TaskRun
	overUses int64
}

// NewRuntime returns a worker's runtime that started at boot.
func NewRuntime(hostID requester.HostID, total requester.Resources, boot time.Time) *Runtime {
	return &Runtime{hostID: hostID, total: total, boot: boot.UnixNano(), tasks: make(map[placer.TaskID]*workerTask)}
}

// Worker is a stand-in for a host that runs tasks under leases.
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

// SetFaults replaces the faults.
func (w *Runtime) SetFaults(faults WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = faults
}

// Runs returns the task runs that have ended by now.
func (w *Runtime) Runs(now time.Time) []TaskRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return append([]TaskRun(nil), w.runs...)
}

// CapacityViolations returns how often the worker was given more than it can hold.
func (w *Runtime) CapacityViolations() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.overUses
}

// Taken returns the share of the worker that running tasks take in their
// dominant dimension at now.
func (w *Runtime) AllocatedShare(now time.Time) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.reserved().DominantShare(w.total)
}

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

// Sync carries out one request of a holder and reports all tasks. A request
// of an older epoch changes nothing.
func (w *Runtime) Sync(request placer.SyncRequest, now time.Time) placer.SyncReport {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if request.Epoch < w.epoch {
		return placer.SyncReport{Now: now, Epoch: w.epoch, Fenced: true}
	}
	w.epoch = request.Epoch
	if request.Deadline.After(w.deadline) {
		w.deadline = request.Deadline
	}
	for _, id := range request.Acks {
		if task, ok := w.tasks[id]; ok && task.state != placer.RunRunning {
			delete(w.tasks, id)
		}
	}
	for _, id := range request.Stops {
		if task, ok := w.tasks[id]; ok && task.state == placer.RunRunning {
			w.finish(task, placer.RunStopped, now)
		}
	}
	for _, throttle := range request.Throttles {
		if task, ok := w.tasks[throttle.Task]; ok && task.state == placer.RunRunning {
			task.throttle(throttle.MilliCores, now)
			w.note(task)
		}
	}
	report := placer.SyncReport{Now: now, Epoch: w.epoch, Boot: w.boot}
	if now.Before(request.Deadline) {
		for _, start := range request.Starts {
			w.begin(start, now)
		}
	}
	report.Sequence = w.sequence
	for id, task := range w.tasks {
		if task.changed <= request.Since && request.Since > 0 {
			continue
		}
		report.Tasks = append(report.Tasks, placer.TaskReport{Task: id, Job: task.start.Job, State: task.state, Need: task.start.Need, Use: task.usage(now), ProgressMicros: task.progress()})
	}
	slices.SortFunc(report.Tasks, func(a, b placer.TaskReport) int { return a.Task.Compare(b.Task) })
	return report
}

func (w *Runtime) begin(start placer.TaskStart, now time.Time) {
	if _, ok := w.tasks[start.Task]; ok {
		return
	}
	var work TaskWork
	_ = json.Unmarshal(start.Payload, &work)
	if work.RunMicros == 0 {
		work.RunMicros = start.RunMillis * 1000
	}
	task := &workerTask{start: start, work: work, started: now, state: placer.RunRunning}
	if start.Forever {
		task.endsAt = now.AddDate(1, 0, 0)
	} else {
		task.endsAt = now.Add(time.Duration(max(0, work.RunMicros-start.ProgressMicros)) * time.Microsecond)
	}
	w.tasks[start.Task] = task
	w.note(task)
	if !w.reserved().Fits(w.total) {
		w.overUses++
	}
	if w.faults.FailAll || work.Fail {
		w.finish(task, placer.RunFailed, now)
	}
}

// advance ends the tasks whose time is up and those whose lease has lapsed.
func (w *Runtime) advance(now time.Time) {
	for _, task := range w.tasks {
		if task.state != placer.RunRunning {
			continue
		}
		if !task.usageSeen && now.Sub(task.started) >= UsageLag {
			task.usageSeen = true
			w.note(task)
		}
		lapsed := !w.deadline.IsZero() && w.deadline.Before(now) && w.deadline.Before(task.endsAt)
		switch {
		case lapsed:
			w.finish(task, placer.RunExpired, w.deadline)
		case !now.Before(task.endsAt):
			w.finish(task, placer.RunSucceeded, task.endsAt)
		}
	}
}

func (w *Runtime) finish(task *workerTask, state placer.RunState, at time.Time) {
	task.state = state
	task.ended = at
	w.note(task)
	w.runs = append(w.runs, TaskRun{Task: task.start.Task, Worker: w.hostID, StartedAt: task.started, EndedAt: at, State: state})
}

// note gives a task's change the next sequence number.
func (w *Runtime) note(task *workerTask) {
	w.sequence++
	task.changed = w.sequence
}

func (w *Runtime) reserved() requester.Resources {
	var sum requester.Resources
	for _, task := range w.tasks {
		if task.state == placer.RunRunning {
			sum = sum.Add(task.start.Need)
		}
	}
	return sum
}

// throttle bounds the task's processor time; what is left takes longer.
func (t *workerTask) throttle(milliCores int64, now time.Time) {
	used := t.work.Use.MilliCores
	if used <= milliCores || milliCores <= 0 {
		return
	}
	t.work.Use.MilliCores = milliCores
	left := float64(t.endsAt.Sub(now)) * float64(used) / float64(milliCores)
	t.endsAt = now.Add(time.Duration(left))
}

// progress is the run time that a stopped task has checkpointed.
func (t *workerTask) progress() int64 {
	if t.state != placer.RunStopped {
		return 0
	}
	return t.start.ProgressMicros + t.ended.Sub(t.started).Microseconds()
}

// usage reports what the task uses, as known UsageLag ago.
func (t *workerTask) usage(now time.Time) requester.Resources {
	if t.state != placer.RunRunning || now.Sub(t.started) < UsageLag {
		return requester.Resources{}
	}
	if t.work.Use == (requester.Resources{}) {
		return t.start.Need
	}
	return t.work.Use
}
