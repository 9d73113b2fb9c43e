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

// RunSpec is how long a task of a job runs in a stand-in, and whether it
// fails. It is read from the job's payload.
type RunSpec struct {
	Millis int64
	Fails  bool
}

// Payload returns the payload by which a job tells how long its tasks run, and
// what they take.
func (l RunSpec) Payload(need requester.Resources) string {
	return fmt.Sprintf("%d %t %d %d", l.Millis, l.Fails, need.MilliCores, need.MemoryMB)
}

func parsePayload(payload string) (RunSpec, requester.Resources) {
	var length RunSpec
	var need requester.Resources
	// A payload of another form stands for a task that ends at once.
	_, _ = fmt.Sscanf(payload, "%d %t %d %d", &length.Millis, &length.Fails, &need.MilliCores, &need.MemoryMB)
	return length, need
}

// RunRecord is one run, as the worker saw it.
type RunRecord struct {
	Task      scheduler.TaskName
	Run       scheduler.RunNumber
	Need      requester.Resources
	StartedAt time.Time
	EndsAt    time.Time
	EndedAt   time.Time
	Kind      scheduler.EndKind
	// Confirmed tells that an owner has taken note of the end, under a lease
	// that had not lapsed since.
	Acknowledged bool
	number       int64
	stale        bool
	fails        bool
}

// percent is how much of its work the run has done.
func (r *RunRecord) percent(now time.Time) int {
	return int(100 * now.Sub(r.StartedAt) / max(1, r.EndsAt.Sub(r.StartedAt)))
}

// TaskWorker is a worker that runs tasks under fences and leases, without a
// server. State is brought up to date whenever it is asked.
type TaskWorker struct {
	mu      sync.Mutex
	info    scheduler.WorkerInfo
	bornAt  time.Time
	down    bool
	away    bool
	fence   scheduler.Fence
	lease   time.Time
	running []*RunRecord
	ended   []scheduler.EndedRun
	number  int64
	barred  map[scheduler.TaskName]scheduler.RunNumber
	history []*RunRecord
	problem string
}

// longestLease is the longest lease that a worker grants.
const longestLease = 10 * time.Second

// NewTaskWorker returns a worker that starts at now.
func NewTaskWorker(info scheduler.WorkerInfo, now time.Time) *TaskWorker {
	info.BootedAt = now.Truncate(time.Millisecond)
	return &TaskWorker{info: info, bornAt: info.BootedAt, barred: make(map[scheduler.TaskName]scheduler.RunNumber)}
}

// Info returns what the list says of the worker, and whether it is up.
func (w *TaskWorker) Info() (scheduler.WorkerInfo, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.info, !w.down
}

// Reachable reports whether orders arrive.
func (w *TaskWorker) Reachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.down && !w.away
}

// SetPartitioned cuts the worker off, or ends the cut.
func (w *TaskWorker) SetPartitioned(away bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.away = away
}

// SetLeaving marks the worker as leaving.
func (w *TaskWorker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.info.Leaving = leaving
}

// Crash ends the worker's life; what runs is gone.
func (w *TaskWorker) Crash(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	for _, run := range w.running {
		run.EndedAt, run.Kind = now, scheduler.EndUnknown
	}
	w.down, w.running, w.ended = true, nil, nil
}

// Restart begins another life of a worker that has crashed.
func (w *TaskWorker) Restart(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.down {
		return
	}
	w.down, w.fence, w.lease, w.number = false, 0, time.Time{}, 0
	w.barred = make(map[scheduler.TaskName]scheduler.RunNumber)
	w.bornAt = now.Truncate(time.Millisecond)
	w.info.BootedAt = w.bornAt
}

// Runs returns all runs that have ever begun, and a problem seen with one, if
// any.
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

func (w *TaskWorker) clock(now time.Time) scheduler.WorkerTime {
	return scheduler.WorkerTime(now.Sub(w.bornAt) / time.Millisecond)
}

func (w *TaskWorker) obey(fence scheduler.Fence) bool {
	if fence < w.fence {
		return false
	}
	w.fence = fence
	return true
}

func (w *TaskWorker) extend(deadline scheduler.WorkerTime, now time.Time) {
	if !now.Before(w.lease) {
		// Whoever held the lease may have given up what it stood for.
		for _, run := range w.history {
			run.stale = run.stale || run.number > 0 && !run.Acknowledged
		}
	}
	until := w.bornAt.Add(time.Duration(deadline) * time.Millisecond)
	if latest := now.Add(longestLease); until.After(latest) {
		until = latest
	}
	if until.After(w.lease) {
		w.lease = until
	}
}

// Start carries out an order to start a run.
func (w *TaskWorker) Start(order scheduler.StartOrder, now time.Time) scheduler.OrderResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if !w.obey(order.Fence) {
		return scheduler.OrderFenced
	}
	for _, run := range w.running {
		if run.Task == order.Task && run.Run == order.Run {
			return scheduler.OrderAccepted
		}
	}
	if order.Run <= w.barred[order.Task] {
		return scheduler.OrderStaleRun
	}
	if order.Deadline <= w.clock(now) {
		return scheduler.OrderExpired
	}
	w.extend(order.Deadline, now)
	length, need := parsePayload(order.Payload)
	run := &RunRecord{Task: order.Task, Run: order.Run, Need: need, StartedAt: now, EndsAt: now.Add(time.Duration(length.Millis) * time.Millisecond), fails: length.Fails}
	w.running = append(w.running, run)
	w.history = append(w.history, run)
	var used requester.Resources
	for _, other := range w.running {
		used = used.Add(other.Need)
	}
	if !used.Fits(w.info.Total) {
		w.problem = fmt.Sprintf("%s: %v started beyond the room", w.info.HostID, order.Task)
	}
	return scheduler.OrderAccepted
}

// Stop carries out an order to stop a run.
func (w *TaskWorker) Stop(order scheduler.StopOrder, now time.Time) scheduler.OrderResult {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if !w.obey(order.Fence) {
		return scheduler.OrderFenced
	}
	w.barred[order.Task] = max(w.barred[order.Task], order.Run)
	for _, run := range slices.Clone(w.running) {
		if run.Task == order.Task && run.Run == order.Run {
			w.end(run, scheduler.EndStopped, now)
		}
	}
	return scheduler.OrderAccepted
}

// Look renews the lease and reports.
func (w *TaskWorker) Poll(order scheduler.PollOrder, now time.Time) (*scheduler.Report, scheduler.OrderResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if !w.obey(order.Fence) {
		return nil, scheduler.OrderFenced
	}
	w.extend(order.Deadline, now)
	for _, run := range w.history {
		if run.number > 0 && run.number <= order.AcknowledgedEnd && run.EndedAt.After(w.bornAt) && !run.stale {
			run.Acknowledged = true
		}
	}
	w.ended = slices.DeleteFunc(w.ended, func(e scheduler.EndedRun) bool { return e.Number <= order.AcknowledgedEnd })
	report := &scheduler.Report{Clock: w.clock(now), BootedAt: w.info.BootedAt, Ended: slices.Clone(w.ended)}
	for _, run := range w.running {
		report.Running = append(report.Running, scheduler.RunningTask{Task: run.Task, Run: run.Run, Percent: run.percent(now)})
	}
	return report, scheduler.OrderAccepted
}

// advance ends what has ended by now.
func (w *TaskWorker) advance(now time.Time) {
	for _, run := range slices.Clone(w.running) {
		switch {
		case run.EndsAt.After(w.lease) && !now.Before(w.lease):
			w.end(run, scheduler.EndExpired, w.lease)
		case !now.Before(run.EndsAt) && run.fails:
			w.end(run, scheduler.EndFailed, run.EndsAt)
		case !now.Before(run.EndsAt):
			w.end(run, scheduler.EndDone, run.EndsAt)
		}
	}
}

func (w *TaskWorker) end(run *RunRecord, kind scheduler.EndKind, at time.Time) {
	run.Kind, run.EndedAt = kind, at
	w.running = slices.DeleteFunc(w.running, func(other *RunRecord) bool { return other == run })
	w.barred[run.Task] = max(w.barred[run.Task], run.Run)
	w.number++
	run.number = w.number
	w.ended = append(w.ended, scheduler.EndedRun{Number: w.number, Task: run.Task, Run: run.Run, Kind: kind})
}

// CheckRuns returns what is wrong with the runs that workers have seen: tasks
// that ran twice at once, or again though their end was confirmed, and workers that were
// given more than they can hold.
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
			before := runs[i-1]
			if before.EndedAt.IsZero() || before.EndedAt.After(runs[i].StartedAt) {
				problems = append(problems, fmt.Sprintf("%v: runs %d and %d at the same time", task, before.Run, runs[i].Run))
			}
			if before.Kind == scheduler.EndDone && before.Acknowledged {
				problems = append(problems, fmt.Sprintf("%v: run %d after run %d was done", task, runs[i].Run, before.Run))
			}
		}
	}
	slices.SortFunc(problems, strings.Compare)
	return problems
}
