package scheduler

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatstall/estimator"
	"kumquatstall/requester"
)

// Options configure a Core. A zero duration means its default.
type Options struct {
	// Epoch is the epoch of the ownership. It is part of the fence of all
	// orders.
	Epoch int64
	// LeaseTerm is the duration of the lease that an order grants to a worker;
	// default 9 s, longer than most partitions last.
	LeaseTerm time.Duration
	// MaxLease is the longest lease that any owner may have granted; default
	// 10 s.
	MaxLease time.Duration
	// PreviousOwnerEager is true if the previous owner may have started steps
	// whose start records are not committed.
	PreviousOwnerEager bool
	// PreviousOwnerTerm is how long a previous owner may have continued to
	// issue orders after this one took over; default 3 s.
	PreviousOwnerTerm time.Duration
}

func (o Options) withDefaults() Options {
	if o.LeaseTerm <= 0 {
		o.LeaseTerm = 9 * time.Second
	}
	if o.MaxLease <= 0 {
		o.MaxLease = 10 * time.Second
	}
	if o.PreviousOwnerTerm <= 0 {
		o.PreviousOwnerTerm = 3 * time.Second
	}
	return o
}

// minClockRate is the lowest rate at which a worker's clock is assumed to run,
// relative to the owner's clock.
const minClockRate = 0.98

// expiryMargin is added to the time at which a lease expires, because of
// messages in flight.
const expiryMargin = 200 * time.Millisecond

// runsPerEpoch is how many run numbers each epoch has, so that the runs of
// different owners have different numbers.
const runsPerEpoch = 1 << 20

// Core is the scheduler of one cell. It is not safe for concurrent use.
type Core struct {
	options Options
	now     time.Time
	// tookOverAt is when this owner acquired the cell.
	tookOverAt time.Time
	jobs       map[requester.JobID]*job
	// dirty are the jobs with changes that no batch contains yet, oldest change
	// first.
	dirty []*job
	// open are the incomplete steps whose predecessors are committed as done.
	// Each placement pass sorts them by rank.
	open    []*step
	workers map[requester.HostID]*worker
	// generations has the last generation of every worker that this owner has
	// ever known.
	generations map[requester.HostID]int64
	// sortedWorkers are the workers in the order of their host IDs.
	sortedWorkers []*worker
	// eligible are the workers that may get new tasks in the current placement
	// pass.
	eligible []*worker
	// totalMilliCores is the processor capacity of the listed workers,
	// usedMilliCores what runs occupied of it on those that answer, both as of the
	// start of the last placement pass, and wantedMilliCores what waiting tasks
	// needed. freeMilliCores is what is free on eligible workers without a trial.
	totalMilliCores  int64
	usedMilliCores   int64
	wantedMilliCores int64
	freeMilliCores   int64
	// scratch is the buffer that allowedWorkers reuses.
	scratch []*worker
	// freed is a log of workers that may have more free resources than before.
	// Its first entry has the number freedOffset.
	freed       []*worker
	freedOffset int
	// reservations are the reservations of workers for gangs, last updated at
	// reservationsUpdatedAt.
	reservations          []*reservation
	reservationsUpdatedAt time.Time
	// leasedWorkersDirty is true if the stored row of leased workers lacks a
	// worker or contains a removed one.
	leasedWorkersDirty bool
	// unknownLeases is true if workers that this owner does not know of may
	// hold leases granted by a previous one.
	unknownLeases bool
	// timed are the unfinished jobs with occurrences at set times.
	timed map[requester.JobID]*job
	// strays counts, by task, the orphaned runs that may still be active.
	strays map[TaskName]int
	// excluded are the jobs whose rows cannot be decoded.
	excluded map[requester.JobID]bool
	// unknownEnds are the jobs of pending ends whose job or occurrence the core
	// has not been told of. Of the jobs in the store, the core has been told of
	// all as of jobsRevision, and of all that were stored before jobsKnownAt.
	// storeMarks, oldest first, relate the two.
	unknownEnds  map[requester.JobID]bool
	jobsRevision int64
	jobsKnownAt  time.Time
	storeMarks   []storeMark
	// awaitingAdvice are the steps with advice requests in flight.
	awaitingAdvice map[StepName]*step
	// longInFlight counts the long advice requests in flight. adviceLoad is the
	// share of the capacity for long requests that was in use when requests
	// were last issued.
	longInFlight int
	adviceLoad   float64
	// eager lets steps start before their start records are committed.
	// startsKnown is true once this owner knows which steps its predecessor has
	// started.
	eager       bool
	startsKnown bool
	// allowedShares is, by queue, the observed share of workers that the advice
	// service allows to run a step.
	allowedShares map[string]float64
	// corrections relate, by queue, the observed durations of tasks to their
	// estimates.
	corrections map[string]*estimator.Correction
	orders      Orders
	// placementPending is true if a change since the last placement pass may
	// let tasks start.
	placementPending bool
	// fenced is true if a worker has seen a higher fence.
	fenced bool
	// lostLives are the incarnations of workers that ended lately.
	lostLives []lostLife
	// unknownLivesRecorded is true once the tasks that a previous owner may have
	// started and no worker has reported are recorded as such.
	unknownLivesRecorded bool
	// silences are the recent events in which a worker fell silent right after a
	// start; risky counts them by queue.
	silences   []silence
	risky      map[string]int
	logRecords []LogRecord
	stats      Stats
}

// Stats are counters of the core's orders and of ended runs and jobs.
type Stats struct {
	Starts int64
	Stops  int64
	// Looks counts polls of workers.
	Looks int64
	// Done and Failed count the runs whose end was reported as such. Lapsed
	// counts the runs that ended unreported, because the worker's lease expired
	// or its incarnation ended.
	Done   int64
	Failed int64
	Lapsed int64
	// Rejected counts starts that were not executed, Doubtful those whose
	// outcome is unknown.
	Rejected int64
	Doubtful int64
	// AdviceAsked counts advice requests.
	AdviceAsked int64
	// JobsCompleted, JobsFailed and JobsCancelled count ended jobs.
	JobsCompleted int64
	JobsFailed    int64
	JobsCancelled int64
	// Violations counts starts and acknowledgements withheld because they would
	// have violated an invariant.
	Violations int64
	// WorkersRested counts suspensions of workers on which several jobs failed
	// in a row.
	WorkersRested int64
	// RoomsShrunk and RoomsGrown count the changes of the capacity of workers to
	// less, or more, of a resource; a change may be both.
	RoomsShrunk int64
	RoomsGrown  int64
	// Holds counts the reservations of workers for gangs.
	Holds int64
	// Stalled counts runs that were stopped because they made no progress; the
	// run of a whole gang counts once.
	Stalled int64
	// Evacuated counts runs that were stopped because they were not expected to
	// end before their worker leaves; the run of a whole gang counts once.
	Evacuated int64
	// Displaced counts best-effort runs that were stopped for tasks with a
	// target for their response times.
	Displaced int64
	// Acknowledged counts the ends that polls have acknowledged to workers. A
	// worker forgets them.
	Acknowledged int64
	// Vanished counts acknowledged runs that their worker no longer reported,
	// neither as running nor as ended.
	Vanished int64
	// LongWaits counts how often tasks of a step waited for one reason for
	// longWait, leaving out waits for room while half of it is in use.
	LongWaits int64
	// StraysStopped counts orphaned runs: a worker reported them, and no
	// unfinished task needed them.
	StraysStopped int64
	// Crashes counts incarnations of workers that ended while they ran tasks.
	// Trials counts the starts of tasks under suspicion. GivenUp counts the
	// jobs that failed because a task crashes its workers.
	Crashes int64
	Trials  int64
	GivenUp int64
}

// LogRecord is an event for the log.
type LogRecord struct {
	// Job, Task and Worker are the subjects of the event; each may be empty.
	Job    requester.JobID
	Task   TaskName
	Run    RunNumber
	Worker requester.HostID
	// Waited is the time between the due time of a task's occurrence and its
	// start; Tier is the tier of its step's rank. Both are set for starts only.
	Waited time.Duration
	Tier   int
	// Event is what happened, Why the reason.
	Event string
	Why   string
	// Violation is true if an order was withheld because it would have violated
	// an invariant.
	Violation bool
}

// New returns the core of an owner that acquired the cell at now.
func New(options Options, now time.Time) *Core {
	return &Core{
		options:        options.withDefaults(),
		now:            now,
		tookOverAt:     now,
		jobs:           make(map[requester.JobID]*job),
		workers:        make(map[requester.HostID]*worker),
		generations:    make(map[requester.HostID]int64),
		timed:          make(map[requester.JobID]*job),
		strays:         make(map[TaskName]int),
		excluded:       make(map[requester.JobID]bool),
		unknownEnds:    make(map[requester.JobID]bool),
		awaitingAdvice: make(map[StepName]*step),
		allowedShares:  make(map[string]float64),
		risky:          make(map[string]int),

		corrections: make(map[string]*estimator.Correction),
	}
}

// Fenced reports whether a worker has rejected an order because of its fence,
// which proves that another owner has taken over.
func (c *Core) Fenced() bool { return c.fenced }

// Stats returns the core's counters.
func (c *Core) Stats() Stats { return c.stats }

// TakeLogRecords returns the log records since the last call.
func (c *Core) TakeLogRecords() []LogRecord {
	records := c.logRecords
	c.logRecords = nil
	return records
}

func (c *Core) log(record LogRecord) { c.logRecords = append(c.logRecords, record) }

// Tick advances the time to now, makes the decisions that are due and returns
// the orders to send.
func (c *Core) Tick(now time.Time) Orders {
	c.now = now
	c.expireLeases()
	c.learnStarts()
	c.updateTrials()
	c.recordUnknownLives()
	c.evacuate()
	c.activateOccurrences()
	c.place()
	c.pollWorkers()
	orders := c.orders
	c.orders = Orders{}
	return orders
}

// Reconciled reports whether no worker can still run a task that this owner
// does not know of: each worker to which a previous owner may have granted a
// lease has reported, or its lease has expired.
func (c *Core) Reconciled() bool {
	if c.leasesUnknown() {
		return false
	}
	for _, w := range c.sortedWorkers {
		if w.inherited && !w.reported && c.now.Before(w.leaseExpiry(c)) {
			return false
		}
	}
	return true
}

// RowWrite is a row to write, or, without a Value, to remove.
type RowWrite struct {
	Key   string
	Value []byte
}

// LeasedWorkersKey is the key of the row of leased workers.
const LeasedWorkersKey = ProgressPrefix + "@roster"

// A key consists of a table, a partition of it and a row. Transactions within
// different partitions do not wait for each other. All rows that the owner
// writes are in one partition; accepted jobs are spread over several.
const (
	JobTable       = "jobs/"
	StatePrefix    = "states/cell/"
	ProgressPrefix = "progress/cell/"
	// JobPartitions is the number of partitions for accepted jobs.
	JobPartitions = 8
	// CancelSuffix is the suffix of the key of a row that cancels a job.
	CancelSuffix = "~cancel"
)

// JobPrefix returns the key prefix of a partition for accepted jobs.
func JobPrefix(part int) string { return JobTable + strconv.Itoa(part) + "/" }

// JobPartition returns the partition that holds a job.
func JobPartition(id requester.JobID) int { return int(xxhash.Sum64String(string(id)) % JobPartitions) }

// JobKey returns the key of the row with a job as it was accepted.
func JobKey(id requester.JobID) string { return JobPrefix(JobPartition(id)) + string(id) }

// CancelKey returns the key of the row that cancels a job.
func CancelKey(id requester.JobID) string { return JobKey(id) + CancelSuffix }

// StateKey returns the key of the row with a job's state.
func StateKey(id requester.JobID) string { return StatePrefix + string(id) }

// ProgressKey returns the key of the row with a job's progress.
func ProgressKey(id requester.JobID) string { return ProgressPrefix + string(id) }

// Batch is a set of rows to write in one transaction.
type Batch struct {
	Writes        []RowWrite
	jobs          []jobWrite
	leasedWorkers []leasedWrite
}

// leasedWrite is a worker and its address in a row of leased workers.
type leasedWrite struct {
	worker  *worker
	address netip.AddrPort
}

// jobWrite is the version, state and progress of a job that a batch writes.
type jobWrite struct {
	job      *job
	version  int64
	state    State
	progress []byte
}

// Empty reports whether there is nothing to write.
func (b *Batch) Empty() bool { return len(b.Writes) == 0 }

// writesPerJob is the maximum number of rows that a change of one job writes.
const writesPerJob = 2

// TakeBatch returns up to limit rows to write. The caller passes the batch to
// Committed once the transaction has committed.
func (c *Core) TakeBatch(limit int) *Batch {
	batch := &Batch{}
	if c.leasedWorkersDirty && !c.leasesUnknown() {
		c.leasedWorkersDirty = false
		row := LeasedWorkersRow{}
		for _, w := range c.sortedWorkers {
			batch.leasedWorkers = append(batch.leasedWorkers, leasedWrite{w, w.info.Address})
			row.Workers = append(row.Workers, LeasedWorker{HostID: w.info.HostID, Address: w.info.Address})
		}
		batch.Writes = append(batch.Writes, RowWrite{Key: LeasedWorkersKey, Value: EncodeRow(row)})
	}
	for len(c.dirty) > 0 && len(batch.Writes)+writesPerJob <= limit {
		batch.add(c.dirty[0])
		c.dirty = c.dirty[1:]
	}
	return batch
}

// add adds the rows of a job to the batch.
func (b *Batch) add(j *job) {
	j.dirty = false
	writes := j.rowWrites()
	b.jobs = append(b.jobs, jobWrite{job: j, version: j.version, state: j.state, progress: writes[len(writes)-1].Value})
	b.Writes = append(b.Writes, writes...)
}

// Committed records that a batch was committed: ended runs may be acknowledged
// to their workers, and steps that depend on them may start.
func (c *Core) Committed(now time.Time, batch *Batch) {
	c.now = now
	for _, write := range batch.leasedWorkers {
		if w := write.worker; !w.leaseRecorded && write.address == w.info.Address {
			w.leaseRecorded = true
			c.markFreed(w)
		}
	}
	for _, write := range batch.jobs {
		write.job.committedVersion = write.version
		write.job.storedState = write.state
		write.job.storedProgress = committedProgress{value: write.progress}
		c.openReadySteps(write.job)
	}
	for _, w := range c.sortedWorkers {
		c.advanceCommittedEnd(w)
	}
	c.placementPending = true
}

// markDirty increments the version of a job and queues its rows for a batch.
func (c *Core) markDirty(j *job) {
	j.version++
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

// RemovableJobs returns up to limit jobs whose rows can be removed: they ended
// before a time, their final rows are committed and no run of theirs is left.
func (c *Core) RemovableJobs(before time.Time, limit int) []requester.JobID {
	var ids []requester.JobID
	for id, j := range c.jobs {
		if j.state.Ended() && j.endedAt.Before(before) && j.committedVersion == j.version && j.activeRuns == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(len(ids), limit)]
}

// RemoveJobs removes from the core jobs whose rows have been removed from the
// store.
func (c *Core) RemoveJobs(ids []requester.JobID) {
	for _, id := range ids {
		delete(c.jobs, id)
	}
}

// Load is a summary of the cell's waiting tasks, runs and workers.
type Load struct {
	Jobs int
	// OpenTasks counts the tasks of open steps that wait for a worker. Unasked
	// counts those among them whose steps need advice and have received none.
	OpenTasks   int
	Unasked     int
	RunningRuns int
	// Waits counts the tasks that wait, by reason.
	Waits [waitReasons]int
	// Workers counts the usable workers, Silent the unresponsive ones among
	// them. Used is the sum of the resources that runs occupy on all workers,
	// Total that of the resources of the usable workers.
	Workers int
	Silent  int
	Used    requester.Resources
	Total   requester.Resources
}

// Load returns the current load of the cell.
func (c *Core) Load() Load {
	var load Load
	for _, j := range c.jobs {
		if !j.state.Ended() {
			load.Jobs++
		}
	}
	for _, s := range c.open {
		load.OpenTasks += s.waiting
		load.Waits[s.wait.reason] += s.waiting
		if s.job().spec.Advice != nil && s.advice.decided == nil {
			load.Unasked += s.waiting
		}
	}
	for _, w := range c.sortedWorkers {
		load.RunningRuns += len(w.runs)
		load.Used = load.Used.Add(w.allocated)
		if !w.usable() {
			continue
		}
		load.Workers++
		load.Total = load.Total.Add(w.info.Total)
		if w.unanswered > 0 {
			load.Silent++
		}
	}
	return load
}

// Dirty reports whether there are changes that no batch contains yet.
func (c *Core) Dirty() bool { return len(c.dirty) > 0 || c.leasedWorkersDirty }
