// Package placer assigns the tasks of jobs to the workers of one data centre.
//
// A Fleet belongs to the holder, the entry that holds the lease of the data
// centre's placement shard. The epoch of the shard is the fencing token of every
// request to a worker. Inputs of the Fleet are the job rows in the table, the list
// of workers, their reports and the limits of the profile in force. Its outputs
// are syncs, which renew the leases of workers and start, stop and throttle runs,
// and writes of job rows. A run is one execution of a task.
//
// The Fleet knows the resources of every worker and those allocated to each
// task, and assigns a task only to a worker on which it fits. All runs on a
// worker share one lease, which each sync renews. A task runs again elsewhere
// only after its worker has reported the end of the earlier run, or has sent a
// full report without that run, or after the lease has expired on the worker.
//
// # Order
//
// Jobs are placed by urgency and, where that is equal, from the trade with the
// lowest weighted share (dominant-resource fairness). The weighted share of a
// trade is its dominant share divided by its weight. If it exceeds the fair share,
// which is 1 divided by the number of trades with waiting tasks, all jobs of the
// trade count as being of low urgency. Within a trade, jobs are ordered by urgency
// and then by the time at which they were enqueued. If a job does not fit, later
// jobs may be placed before it. A gang is placed as a whole or not at all.
//
// # Recovery
//
// The desired state (the jobs, and which of their tasks have succeeded) is in
// the table; which runs are active is known only to the workers. A new holder
// reads the job rows and syncs the workers. It assigns no task of the jobs that it
// has read, the recovered jobs, until every worker has reported or LeaseTerm and
// Margin have passed, after which no lease of an earlier holder is valid. A worker
// keeps the result of a run until it is acknowledged, which happens only after the
// write of the job's row has committed.
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

//go:generate go tool -modfile=../tools/go.mod stringer -type=RunState -trimprefix=Run -linecomment

// TaskID identifies a run of a task.
type TaskID struct {
	Job   requester.JobID
	Index int
	Run   int
	// Epoch is the epoch of the placement shard under which the run was
	// started. It distinguishes runs started by different holders.
	Epoch int64
}

// Compare orders TaskIDs by job, task, epoch and run.
func (t TaskID) Compare(other TaskID) int {
	return cmp.Or(
		cmp.Compare(t.Job, other.Job),
		cmp.Compare(t.Index, other.Index),
		cmp.Compare(t.Epoch, other.Epoch),
		cmp.Compare(t.Run, other.Run),
	)
}

// RunState is the state of a run on its worker.
type RunState int

// The states of a run.
const (
	RunRunning RunState = iota
	RunSucceeded
	RunFailed
	// RunStopped is a run that was checkpointed and stopped on request.
	RunStopped
	// RunExpired is a run that the worker ended because the worker's lease
	// expired.
	RunExpired // Lapsed
)

// MarshalText encodes the state as its name.
func (s RunState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes the name of a state.
func (s *RunState) UnmarshalText(text []byte) error {
	for _, state := range []RunState{RunRunning, RunSucceeded, RunFailed, RunStopped, RunExpired} {
		if state.String() == string(text) {
			*s = state
			return nil
		}
	}
	return &requester.FieldError{Field: "State", Expected: "a defined name, not " + string(text)}
}

// TaskStart instructs a worker to start a run of a task.
type TaskStart struct {
	Task TaskID
	Job  requester.JobID
	// Need is the amount of resources allocated to the run. It may exceed the
	// requirement that the job declares.
	Need requester.Resources
	// RunMillis is the declared run time, in milliseconds.
	RunMillis int64 `json:",omitempty"`
	// ProgressMicros is the run time that earlier runs have checkpointed.
	ProgressMicros int64 `json:",omitempty"`
	// Forever is true if the task runs until it is stopped.
	Forever bool   `json:",omitempty"`
	Payload []byte `json:",omitempty"`
}

// SyncRequest renews the lease of a worker and starts, stops, throttles and
// acknowledges runs. A worker rejects a request whose epoch is lower than the
// highest one that it has received. It ends its runs at Deadline unless a later
// request extends the lease. It carries out the starts before the stops, as a request may
// stop what it starts.
//
// A request that gets no response may be carried out seconds later, and a worker that has
// started again knows nothing of before: no epoch, no stop and no run that has ended. So
// a request names the incarnation for which it is meant, and no other one carries it out.
type SyncRequest struct {
	Holder requester.EntryID
	Epoch  int64
	// Worker is the worker for which the request is meant. Another one that has its
	// address by now responds with 421, as its runs are none of that worker's.
	Worker requester.HostID
	// Boot is the incarnation of the worker's process that is to carry out the
	// request; 0 if the holder doesn't know it yet. Any other incarnation takes
	// over the epoch, reports in full and does nothing else.
	Boot int64
	// Number rises with each request of an epoch. An incarnation that has carried
	// out a later request of the epoch doesn't carry out this one.
	Number int64
	// Deadline is the end of the lease on the worker's clock, which nobody may set: it
	// has to rise steadily within an incarnation.
	Deadline time.Time
	// Since is the sequence number after which changes are reported; 0
	// requests a full report.
	Since  int64
	Starts []TaskStart `json:",omitempty"`
	// Stops lists the runs to checkpoint and stop.
	Stops     []TaskID   `json:",omitempty"`
	Throttles []Throttle `json:",omitempty"`
	// Acks lists ended runs whose results the worker may discard.
	Acks []TaskID `json:",omitempty"`
}

// Throttle limits the processor time of a running task.
type Throttle struct {
	Task       TaskID
	MilliCores int64
}

// TaskReport is a worker's report on one run.
type TaskReport struct {
	Task  TaskID
	Job   requester.JobID
	State RunState
	// Need is the amount of resources allocated to the run.
	Need requester.Resources
	// Use is the measured resource usage of the run; zero if none has been
	// measured yet. It may be out of date.
	Use requester.Resources `json:",omitzero"`
	// ProgressMicros is the checkpointed run time of a stopped or expired run.
	ProgressMicros int64 `json:",omitempty"`
}

// SyncReport is a worker's response to a SyncRequest.
type SyncReport struct {
	// Now is the time on the worker's clock.
	Now   time.Time
	Epoch int64
	// Fenced is true if the worker rejected the request because it has received
	// one with a higher epoch.
	Fenced bool `json:",omitempty"`
	// Boot identifies the incarnation of the worker's process. If the request names
	// another one, it was not carried out, and the report is a full one.
	Boot int64
	// Overtaken is true if the request was not carried out because a later one of
	// the same epoch had been, whose Number is given. The report is a full one.
	Overtaken bool  `json:",omitempty"`
	Number    int64 `json:",omitempty"`
	// Sequence is the sequence number of the last change reported.
	Sequence int64
	// Tasks lists the runs that have changed after SyncRequest.Since. In a full
	// report it lists all runs that are active or not acknowledged.
	Tasks []TaskReport `json:",omitempty"`
}

// WorkerInfo describes a worker.
type WorkerInfo struct {
	HostID  requester.HostID
	Address netip.AddrPort
	Rack    string
	Total   requester.Resources
	// Leaving is true if the worker is to be drained. It gets no new tasks.
	Leaving bool
}

// Limits configures a Fleet according to the settings and the profile in force.
type Limits struct {
	// LeaseTerm is the duration of a worker's lease, counted from the sync that
	// grants it.
	LeaseTerm time.Duration
	// Margin is the safety margin for clock differences and requests in flight.
	Margin time.Duration
	// SyncInterval is the interval between syncs of a worker that is
	// unresponsive or for which nothing is pending.
	SyncInterval time.Duration
	// Breaker configures the circuit breaker of each worker.
	Breaker breaker.Limits
	// TaskAttempts is the number of failed runs of one task at which its job
	// fails. Replicas of services are retried without limit.
	TaskAttempts int
	// Headroom is the share of each worker's processor time and memory that is
	// not allocated to new tasks.
	Headroom float64
	// Spread balances the load over the workers instead of packing it.
	Spread bool
	// FirstFit assigns a task to the first worker on which it fits.
	FirstFit bool
	// Weight returns a trade's weight; nil means 1.
	Weight func(requester.Trade) float64
	// Quota returns a trade's quota; nil or a zero dimension means no limit.
	Quota func(requester.Trade) requester.Resources
}

// worker is the holder's view of one worker.
type worker struct {
	info    WorkerInfo
	breaker breaker.Breaker
	tasks   map[TaskID]*task
	// allocated is the sum of the resources allocated to tasks and orphans.
	allocated requester.Resources
	// allocatable is the total less the headroom.
	allocatable requester.Resources
	// index is the worker's index in workerList and free.
	index int
	// leaseDeadline is the deadline of the last lease granted, on the holder's
	// clock and without the safety margin.
	leaseDeadline time.Time
	// reported is true if the worker has sent a full report to this holder and
	// ExpireLeases has not removed its tasks and orphans since.
	reported bool
	// boot is the incarnation of the worker's process that sent the last
	// report; 0 before the first.
	boot int64
	// sequence is the sequence number of the last change reported; 0 requests
	// a full report.
	sequence int64
	// unresponsive is true if the last sync failed. The lease is not renewed
	// until the worker responds again.
	unresponsive bool
	// orphans holds the resources allocated to each orphaned run: an active run
	// to which no task is bound. They stay allocated until the run has stopped.
	orphans map[TaskID]requester.Resources
	// inFlight is the number of the sync in flight; 0 if there is none.
	inFlight   int64
	lastSyncAt time.Time
	// removed is true if the list of workers no longer contains the worker.
	removed bool
	// starts, stops, throttles and acks are to be sent with the next sync.
	starts    []TaskStart
	stops     []TaskID
	throttles []Throttle
	acks      []TaskID
}

// task is one task of a job.
type task struct {
	job   *job
	index int
	// run is the number of the last run.
	run     int
	machine charter.Machine
	// worker is the worker to which the task is bound; nil if there is none.
	worker *worker
	// id identifies the run that is active on worker, and allocation is the
	// amount of resources allocated to it.
	id         TaskID
	allocation requester.Resources
	// usage is the last measured usage of the run.
	usage requester.Resources
	// startedAt is the time at which the worker acknowledged the start of the
	// run; before that, and for a run that was adopted, the time at which the
	// task was bound to the worker.
	startedAt time.Time
	// progress is the run time that earlier runs have checkpointed.
	progress time.Duration
	// throttled is true if the task's processor time is limited to the declared
	// requirement.
	throttled bool
	// failures counts the failed runs.
	failures int
	// failedOn lists the workers on which runs of the task failed.
	failedOn []requester.HostID
	// replaces is the replica to stop once this one is running.
	replaces *task
}

// job is the holder's view of one job.
type job struct {
	spec   requester.Job
	state  requester.JobState
	reason requester.Reason
	tasks  []*task
	// waiting lists the tasks to assign to a worker.
	waiting []*task
	// running counts the tasks that are bound to a worker; succeeded and failed
	// count those in these states.
	running   int
	succeeded int
	failed    int
	// recovered is true if the holder read the job from the table when it took
	// over: an earlier holder may have started its tasks.
	recovered bool
	// version increases with each change to be written; committedVersion is
	// the version in the table.
	version          int64
	committedVersion int64
	// rowRevision is the revision of the job's row in the table.
	rowRevision int64
	// pendingAcks lists the ended runs to acknowledge once the row that records
	// their results has committed.
	pendingAcks []pendingAck
	// endedAt is the time at which the job reached its final state.
	endedAt time.Time
}

// pendingAck is an ended run to acknowledge to its worker once the given version
// of the job's row has committed.
type pendingAck struct {
	worker  *worker
	task    TaskID
	version int64
}

// Fleet schedules the jobs of one data centre on its workers.
type Fleet struct {
	limits     Limits
	chart      *charter.Chart
	holder     requester.EntryID
	epoch      int64
	tookOverAt time.Time
	// lastNumber is the number of the last sync.
	lastNumber int64
	workers    map[requester.HostID]*worker
	workerList []*worker
	// free holds, for each worker of workerList, its allocatable resources less
	// the allocated ones. They are contiguous in memory because every placement
	// scans all of them.
	free []requester.Resources
	// total is the sum of the resources of all workers that are not leaving.
	total requester.Resources
	jobs  map[requester.JobID]*job
	// excluded are the jobs whose rows cannot be decoded.
	excluded map[requester.JobID]bool
	trades   map[requester.Trade]*tradeState
	// peakUsage holds the peak usage to which the requirement of tasks is raised.
	peakUsage *estimator.PeakUsage
	// dirtyJobs queues the jobs whose rows are to be written.
	dirtyJobs []*job
	// violation describes the last invariant violation; empty if there was none.
	violation string
}

// New returns an empty Fleet for an entry that has acquired the placement shard
// under an epoch at the time now.
func New(holder requester.EntryID, epoch int64, now time.Time, limits Limits) *Fleet {
	return &Fleet{
		limits:     limits,
		chart:      charter.MustLoad("task"),
		holder:     holder,
		epoch:      epoch,
		tookOverAt: now,
		workers:    make(map[requester.HostID]*worker),
		jobs:       make(map[requester.JobID]*job),
		excluded:   make(map[requester.JobID]bool),
		trades:     make(map[requester.Trade]*tradeState),
		peakUsage:  estimator.NewPeakUsage(),
	}
}

// SetLimits replaces the limits. They also apply to tasks that are already
// waiting.
func (f *Fleet) SetLimits(limits Limits) {
	f.limits = limits
	f.reindexWorkers()
}

// Violation returns a description of the last invariant violation, or an empty
// string if there was none.
func (f *Fleet) Violation() string { return f.violation }

// Recovering reports whether some worker may still run tasks, under a lease of
// an earlier holder, that it has not yet reported to this one. It is also true
// while no workers are known. It is false once LeaseTerm and Margin have passed.
func (f *Fleet) Recovering(now time.Time) bool {
	if !now.Before(f.tookOverAt.Add(f.limits.LeaseTerm + f.limits.Margin)) {
		return false
	}
	for _, w := range f.workerList {
		if !w.reported {
			return true
		}
	}
	return len(f.workerList) == 0
}

// SetWorkers replaces the list of workers, and drains those that begin to leave.
// The tasks on a removed worker run again once its lease has expired.
func (f *Fleet) SetWorkers(now time.Time, infos []WorkerInfo) {
	present := make(map[requester.HostID]bool, len(infos))
	for _, info := range infos {
		present[info.HostID] = true
		w, ok := f.workers[info.HostID]
		if !ok {
			w = &worker{breaker: breaker.New(), tasks: make(map[TaskID]*task), orphans: make(map[TaskID]requester.Resources)}
			f.workers[info.HostID] = w
			f.workerList = append(f.workerList, w)
		}
		startsLeaving := info.Leaving && !w.info.Leaving
		w.info = info
		w.removed = false
		if startsLeaving {
			f.drain(w)
		}
	}
	f.total = requester.Resources{}
	kept := f.workerList[:0]
	for _, w := range f.workerList {
		if !present[w.info.HostID] {
			w.removed = true
			if len(w.tasks) == 0 {
				delete(f.workers, w.info.HostID)
				continue
			}
		} else if !w.info.Leaving {
			f.total = f.total.Add(w.info.Total)
		}
		kept = append(kept, w)
	}
	f.workerList = kept
	f.reindexWorkers()
}

// drain starts to move the replicas of services off a leaving worker. Tasks of
// other shapes run to completion.
func (f *Fleet) drain(w *worker) {
	for _, t := range w.sortedTasks() {
		if t.job.spec.Shape == requester.ShapeService && t.machine.Can("Stop") {
			f.replaceReplica(t)
		}
	}
}

// sortedTasks returns the tasks on a worker in the order of their IDs, so that
// decisions do not depend on the iteration order of a map.
func (w *worker) sortedTasks() []*task {
	tasks := make([]*task, 0, len(w.tasks))
	for _, t := range w.tasks {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int { return a.id.Compare(b.id) })
	return tasks
}

// replaceReplica enqueues a new replica in place of an old one, which is stopped
// only once the new one is running.
func (f *Fleet) replaceReplica(old *task) {
	t := f.newTask(old.job, old.index)
	t.run = old.run
	t.failures = old.failures
	t.replaces = old
	old.job.tasks[old.index] = t
	f.enqueue(t)
}
