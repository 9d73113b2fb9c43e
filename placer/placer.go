// Package placer lays the tasks of jobs over the workers of one data centre.
//
// A Fleet is held by the entry that holds the placement seat. It knows what
// every worker has and what each task takes, and places a task only where it
// fits. A worker's tasks run under one lease, renewed by each sync; a task
// runs again elsewhere only after the worker confirmed its end or the lease
// has lapsed on the worker.
//
// # Order
//
// Trades below their fair share go first, by urgency; then the trade with the
// least dominant share for its weight (dominant-resource fairness). Within a
// trade jobs go by urgency and age. A job that finds no room lets later ones
// pass. A gang is placed whole or not at all.
//
// # Recovery
//
// What is wanted (jobs and which of their tasks have succeeded) is in the
// table; what runs is on the workers. A new holder reads the one, asks the
// others, and places nothing of an older job until every worker has reported
// or its lease must have lapsed. A worker keeps the result of a task until it
// is acknowledged, which happens after the job's row has been written.
//
// A Fleet owns no goroutine, lock, clock or socket.
package placer

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"kumquatstall/breaker"
	"kumquatstall/charter"
	"kumquatstall/estimator"
	"kumquatstall/requester"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=RunState -trimprefix=Run

// TaskID identifies one run of one task.
type TaskID struct {
	Job   requester.JobID
	Index int
	Run   int
	// Epoch is that of the placement seat under which the run started; it
	// keeps runs started by different holders apart.
	Epoch int64
}

// Compare orders TaskIDs by job, task and run.
func (t TaskID) Compare(other TaskID) int {
	return cmp.Or(
		cmp.Compare(t.Job, other.Job),
		cmp.Compare(t.Index, other.Index),
		cmp.Compare(t.Epoch, other.Epoch),
		cmp.Compare(t.Run, other.Run),
	)
}

// RunState is where a run of a task stands on its worker.
type RunState int

// The states of a run.
const (
	RunRunning RunState = iota
	RunSucceeded
	RunFailed
	// RunStopped is a run that was checkpointed and stopped on request.
	RunStopped
	// RunLapsed is a run that the worker ended because its lease lapsed.
	RunLapsed
)

// MarshalText encodes the state as its name.
func (s RunState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes the name of a state.
func (s *RunState) UnmarshalText(text []byte) error {
	for _, state := range []RunState{RunRunning, RunSucceeded, RunFailed, RunStopped, RunLapsed} {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return &requester.FieldError{Field: "State", Expected: "a defined name, not " + string(text)}
}

// TaskStart tells a worker to run a task.
type TaskStart struct {
	Task TaskID
	Job  requester.JobID
	Need requester.Resources
	// RunMillis is the declared run time, in milliseconds.
	RunMillis int64 `json:",omitempty"`
	// ProgressMicros is run time that an earlier run has checkpointed.
	ProgressMicros int64 `json:",omitempty"`
	// Forever tells that the task runs until it is stopped.
	Forever bool   `json:",omitempty"`
	Payload []byte `json:",omitempty"`
}

// SyncRequest is what a holder tells a worker. A worker refuses a request of
// an older epoch than it has seen, and ends its tasks at Deadline unless a
// later request moves it.
type SyncRequest struct {
	Holder requester.EntryID
	Epoch  int64
	// Deadline is by the worker's clock.
	Deadline time.Time
	// Since asks for changes after that sequence number only; 0 for all.
	Since  int64
	Starts []TaskStart `json:",omitempty"`
	// Stops are to be checkpointed and stopped.
	Stops     []TaskID   `json:",omitempty"`
	Throttles []Throttle `json:",omitempty"`
	Acks      []TaskID   `json:",omitempty"`
}

// Throttle bounds the processor time of a running task.
type Throttle struct {
	Task       TaskID
	MilliCores int64
}

// TaskReport is a worker's account of one run.
type TaskReport struct {
	Task  TaskID
	Job   requester.JobID
	State RunState
	Need  requester.Resources
	// Use is what the run was seen to use, some time ago.
	Use requester.Resources `json:",omitzero"`
	// ProgressMicros is the run time checkpointed by a stopped run.
	ProgressMicros int64 `json:",omitempty"`
}

// SyncReport is a worker's answer to a sync.
type SyncReport struct {
	Now   time.Time
	Epoch int64
	// Fenced tells that the request came from an older epoch.
	Fenced bool `json:",omitempty"`
	// Boot tells one run of the worker's process from the next.
	Boot int64
	// Sequence numbers the last change reported.
	Sequence int64
	Tasks    []TaskReport `json:",omitempty"`
}

// WorkerInfo describes a worker.
type WorkerInfo struct {
	HostID  requester.HostID
	Address netip.AddrPort
	Rack    string
	Total   requester.Resources
	Leaving bool
}

// Limits is what a Fleet has to know of settings and of the profile in force.
type Limits struct {
	// LeaseTerm is how long a worker runs tasks after a sync.
	LeaseTerm time.Duration
	// Margin covers clock differences and requests on their way.
	Margin time.Duration
	// SyncInterval is how often an idle worker is synced.
	SyncInterval time.Duration
	// Breaker configures the breaker of each worker.
	Breaker breaker.Limits
	// TaskAttempts bounds the failing runs of one task.
	TaskAttempts int
	// Headroom is the share of each worker to leave free.
	Headroom float64
	// Spread levels the load over workers instead of packing it.
	Spread bool
	// FirstFit takes the first worker with room.
	FirstFit bool
	// Weight returns a trade's weight; nil means 1.
	Weight func(requester.Trade) float64
	// Quota returns a trade's quota; nil or a zero dimension is unbounded.
	Quota func(requester.Trade) requester.Resources
}

// worker is one worker as the holder sees it.
type worker struct {
	info    WorkerInfo
	breaker breaker.Breaker
	tasks   map[TaskID]*task
	taken   requester.Resources
	// usable is what tasks may take: the total less the headroom.
	usable requester.Resources
	// index is the worker's place in the fleet's order.
	index int
	// leaseUntil is when the lease given out last has lapsed, by the
	// holder's clock and without margin.
	leaseUntil time.Time
	// reported tells that the worker has told all it runs.
	reported bool
	boot     int64
	sequence int64
	// silent tells that the last sync got no answer: the lease is not
	// extended before the worker has answered again.
	silent bool
	// foreign holds what runs take that nobody wants, until they stop.
	foreign  map[TaskID]requester.Resources
	syncOpen bool
	syncedAt time.Time
	gone     bool
	starts   []TaskStart
	stops    []TaskID
	// throttles are bounds still to be sent.
	throttles []Throttle
	acks      []TaskID
}

// task is one task of a job.
type task struct {
	job     *job
	index   int
	run     int
	machine charter.Machine
	worker  *worker
	id      TaskID
	need    requester.Resources
	use     requester.Resources
	started time.Time
	// progress is run time that earlier runs have checkpointed.
	progress time.Duration
	// throttled tells that the task's processor time is bounded.
	throttled bool
	// failures counts failing runs.
	failures int
	// failedOn are the workers on which the task failed.
	failedOn []requester.HostID
	// replaces is the replica to stop once this one runs.
	replaces *task
}

// job is a job as the holder sees it.
type job struct {
	spec   requester.Job
	state  requester.JobState
	reason requester.Reason
	tasks  []*task
	// waiting holds the tasks that want a worker.
	waiting   []*task
	running   int
	succeeded int
	failed    int
	// recovered tells that the job was read from the table by a new holder.
	recovered bool
	// version grows with each change worth writing; saved is the version
	// that the table holds.
	version int64
	saved   int64
	// rowRevision is the table's revision of the job's row.
	rowRevision int64
	// acks are the results to acknowledge once a version is saved.
	acks []pendingAck
	// endedAt is when the job ended.
	endedAt time.Time
}

type pendingAck struct {
	worker  *worker
	task    TaskID
	version int64
}

// Fleet holds the workers and jobs of one data centre.
type Fleet struct {
	limits  Limits
	chart   *charter.Chart
	holder  requester.EntryID
	epoch   int64
	started time.Time
	workers map[requester.HostID]*worker
	order   []*worker
	// room is what is free on each worker of order, side by side in memory
	// since every placement looks at all of it.
	room    []requester.Resources
	total   requester.Resources
	jobs    map[requester.JobID]*job
	trades  map[requester.Trade]*tradeState
	sizes   *estimator.PeakUsage
	changed []*job
	// violation is the first broken invariant found, empty if none.
	violation string
}

// New returns a Fleet of the holder's at an epoch of the placement seat.
func New(holder requester.EntryID, epoch int64, now time.Time, limits Limits) *Fleet {
	return &Fleet{
		limits:  limits,
		chart:   charter.MustLoad("task"),
		holder:  holder,
		epoch:   epoch,
		started: now,
		workers: make(map[requester.HostID]*worker),
		jobs:    make(map[requester.JobID]*job),
		trades:  make(map[requester.Trade]*tradeState),
		sizes:   estimator.NewPeakUsage(),
	}
}

// SetLimits changes the limits; they govern what waits already.
func (f *Fleet) SetLimits(limits Limits) {
	f.limits = limits
	f.indexWorkers()
}

// Violation returns a broken invariant, or an empty string.
func (f *Fleet) Violation() string { return f.violation }

// Recovering reports whether some worker may still run tasks, under an earlier
// holder's lease, that are not known here.
func (f *Fleet) Recovering(now time.Time) bool {
	if !now.Before(f.started.Add(f.limits.LeaseTerm + f.limits.Margin)) {
		return false
	}
	for _, w := range f.order {
		if !w.reported {
			return true
		}
	}
	return len(f.order) == 0
}

// SetWorkers replaces the list of workers. Tasks on a worker that is gone are
// run again once its lease has lapsed.
func (f *Fleet) SetWorkers(now time.Time, infos []WorkerInfo) {
	present := make(map[requester.HostID]bool, len(infos))
	for _, info := range infos {
		present[info.HostID] = true
		w, ok := f.workers[info.HostID]
		if !ok {
			w = &worker{breaker: breaker.New(), tasks: make(map[TaskID]*task), foreign: make(map[TaskID]requester.Resources)}
			f.workers[info.HostID] = w
			f.order = append(f.order, w)
		}
		left := info.Leaving && !w.info.Leaving
		w.info = info
		w.gone = false
		if left {
			f.drain(w)
		}
	}
	f.total = requester.Resources{}
	kept := f.order[:0]
	for _, w := range f.order {
		if !present[w.info.HostID] {
			w.gone = true
			if len(w.tasks) == 0 {
				delete(f.workers, w.info.HostID)
				continue
			}
		} else if !w.info.Leaving {
			f.total = f.total.Add(w.info.Total)
		}
		kept = append(kept, w)
	}
	f.order = kept
	f.indexWorkers()
}

// drain asks a leaving worker to checkpoint and stop what would run long.
// Batch tasks finish; replicas of services move.
func (f *Fleet) drain(w *worker) {
	for _, t := range w.sortedTasks() {
		if t.job.spec.Shape == requester.ShapeService && t.machine.Can("Stop") {
			f.replaceReplica(t)
		}
	}
}

// sortedTasks returns the tasks on a worker in the order of their names, so
// that decisions do not depend on the order of a map.
func (w *worker) sortedTasks() []*task {
	tasks := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int { return a.id.Compare(b.id) })
	return tasks
}

// replaceReplica wants a new replica before it stops the old one: the old
// task is stopped once the new one runs.
func (f *Fleet) replaceReplica(old *task) {
	t := f.newTask(old.job, old.index)
	t.run = old.run
	t.failures = old.failures
	t.replaces = old
	old.job.tasks[old.index] = t
	f.enqueue(t)
}

// View is what operators see of a worker.
type View struct {
	HostID   requester.HostID
	Rack     string
	Total    requester.Resources
	Taken    requester.Resources
	Tasks    int
	Breaker  string
	Leaving  bool
	Reported bool
}

// Workers lists the workers.
func (f *Fleet) Workers() []View {
	views := make([]View, 0, len(f.order))
	for _, w := range f.order {
		views = append(views, View{
			HostID:   w.info.HostID,
			Rack:     w.info.Rack,
			Total:    w.info.Total,
			Taken:    w.taken,
			Tasks:    len(w.tasks),
			Breaker:  string(w.breaker.State()),
			Leaving:  w.info.Leaving,
			Reported: w.reported,
		})
	}
	return views
}

// Packing returns the share of all workers' resources that tasks take, in the
// dominant dimension.
func (f *Fleet) Packing() float64 {
	var taken requester.Resources
	for _, w := range f.order {
		if !w.info.Leaving {
			taken = taken.Add(w.taken)
		}
	}
	return taken.DominantShare(f.total)
}

// Status returns where a job stands.
func (f *Fleet) Status(id requester.JobID) (requester.JobStatus, bool) {
	j, ok := f.jobs[id]
	if !ok {
		return requester.JobStatus{}, false
	}
	return j.status(), true
}

// Statuses lists all jobs.
func (f *Fleet) Statuses() []requester.JobStatus {
	statuses := make([]requester.JobStatus, 0, len(f.jobs))
	for _, j := range f.jobs {
		statuses = append(statuses, j.status())
	}
	return statuses
}

func (j *job) status() requester.JobStatus {
	return requester.JobStatus{
		Job:       j.spec,
		State:     j.state,
		Reason:    j.reason,
		Waiting:   len(j.waiting),
		Running:   j.running,
		Succeeded: j.succeeded,
		Failed:    j.failed,
	}
}
