package scheduler

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatstall/estimator"
	"kumquatstall/requester"
)

// Options configures a Core. A zero duration means its default.
type Options struct {
	// Epoch is that of the ownership; it is the fence on all orders.
	Epoch int64
	// LeaseTerm is how long a worker runs tasks after an order; default 9 s,
	// longer than most partitions last.
	LeaseTerm time.Duration
	// MaxLease is what any owner may have granted; default 10 s.
	MaxLease time.Duration
	// PreviousOwnerEager tells that the earlier owner may have started steps that
	// aren't stored as begun.
	PreviousOwnerEager bool
	// PreviousOwnerTerm is how long an earlier owner may have gone on giving
	// orders after this one took over; default 3 s.
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

// minClockRate is how slow a worker's clock may be, as a factor.
const minClockRate = 0.98

// expiryMargin covers messages on their way when a lease ends.
const expiryMargin = 200 * time.Millisecond

// runsPerEpoch separates the run numbers of owners.
const runsPerEpoch = 1 << 20

// Core decides for one cell. It is not safe for concurrent use.
type Core struct {
	options Options
	now     time.Time
	// tookOverAt is when this owner began.
	tookOverAt time.Time
	jobs       map[requester.JobID]*job
	// dirty are jobs whose rows have to be written, oldest change first.
	dirty []*job
	// open are the steps with tasks that may start, in no order.
	open          []*step
	workers       map[requester.HostID]*worker
	sortedWorkers []*worker
	// takers are the workers that may get new tasks in the present pass.
	eligible []*worker
	// scratch is reused by mayTake.
	scratch []*worker
	// freed are the workers whose room has grown, in turn; the first of them
	// has the number freedOffset.
	freed       []*worker
	freedOffset int
	// holds are what is held for gangs, as calculated at reservationsUpdatedAt.
	reservations          []*hold
	reservationsUpdatedAt time.Time
	// leasedWorkersDirty tells that the stored roster lacks a worker or names one
	// that is gone.
	leasedWorkersDirty bool
	// timed are jobs with occurrences still to begin.
	timed map[requester.JobID]*job
	// asking are the steps about which advice is being asked.
	awaitingAdvice map[StepName]*step
	// longInFlight counts the long questions on their way, adviceLoad is the share
	// of those possible that were when questions were last asked.
	longInFlight int
	adviceLoad   float64
	// eager lets steps start before they are stored as begun.
	eager bool
	// shares is the share of workers that may run a queue's steps, learned.
	allowedShares map[string]float64
	// corrections is how long a queue's tasks take against their estimates,
	// learned.
	corrections      map[string]*estimator.Correction
	orders           Orders
	placementPending bool
	// fenced tells that a worker has seen a higher fence.
	fenced     bool
	logRecords []LogRecord
	stats      Stats
}

// Stats counts what the core did.
type Stats struct {
	Starts int64
	Stops  int64
	Looks  int64
	// Done, Failed and Lapsed are ends of runs.
	Done   int64
	Failed int64
	Lapsed int64
	// Rejected starts were not carried out, Doubtful ones got no answer.
	Rejected    int64
	Doubtful    int64
	AdviceAsked int64
	// JobsCompleted, JobsFailed and JobsCancelled are ends of jobs.
	JobsCompleted int64
	JobsFailed    int64
	JobsCancelled int64
	// Violations are starts withheld because an invariant did not hold.
	Violations int64
	// WorkersRested counts rests of workers that fail what they start.
	WorkersRested int64
	// Holds counts the gangs for which workers were held.
	Holds int64
	// Stalled runs were stopped since they stood still.
	Stalled int64
	// Evacuated runs would not have ended before their worker leaves.
	Evacuated int64
	// Vanished runs were not listed by their worker any more.
	Vanished int64
	// StraysStopped are runs that nobody wanted.
	StraysStopped int64
}

// Note is something worth a line in the log.
type LogRecord struct {
	// Job, Task and Worker tell whom it is about; each may be empty.
	Job    requester.JobID
	Task   TaskName
	Run    RunNumber
	Worker requester.HostID
	// Waited is for how long a task that starts has waited since its job was
	// accepted, Tier its place in the order; only for starts.
	Waited time.Duration
	Tier   int
	// Event is what happened, Why what decided it.
	Event string
	Why   string
	// Broken tells that an invariant did not hold and an order was withheld.
	Violation bool
}

// New returns the core of an owner that took over at now.
func New(options Options, now time.Time) *Core {
	return &Core{
		options:        options.withDefaults(),
		now:            now,
		tookOverAt:     now,
		jobs:           make(map[requester.JobID]*job),
		workers:        make(map[requester.HostID]*worker),
		timed:          make(map[requester.JobID]*job),
		awaitingAdvice: make(map[StepName]*step),
		allowedShares:  make(map[string]float64),

		corrections: make(map[string]*estimator.Correction),
	}
}

// SetEager lets steps start before they are stored as begun, or not. Before it
// is set, the store must tell so; afterwards, until all that was begun is
// stored.
func (c *Core) SetEager(eager bool) { c.eager = eager }

// Fenced reports whether a worker has refused an order for its fence, so that
// another owner must have taken over.
func (c *Core) Fenced() bool { return c.fenced }

// Stats returns what the core has counted.
func (c *Core) Stats() Stats { return c.stats }

// TakeLogRecords returns what is worth logging since the last call.
func (c *Core) TakeLogRecords() []LogRecord {
	notes := c.logRecords
	c.logRecords = nil
	return notes
}

func (c *Core) log(note LogRecord) { c.logRecords = append(c.logRecords, note) }

// Tick lets time pass and returns what to do.
func (c *Core) Tick(now time.Time) Orders {
	c.now = now
	c.expireLeases()
	c.evacuate()
	c.activateOccurrences()
	c.place()
	c.pollWorkers()
	orders := c.orders
	c.orders = Orders{}
	return orders
}

// Settled reports whether no worker may run what hasn't been seen under this
// owner.
func (c *Core) Reconciled() bool {
	for _, w := range c.sortedWorkers {
		if w.inherited && !w.reported && c.now.Before(w.leaseExpiry(c)) {
			return false
		}
	}
	return true
}

// Save is a row to write. A Save without Value is to be removed.
type RowWrite struct {
	Key   string
	Value []byte
}

// LeasedWorkersKey is the key of the roster's row.
const LeasedWorkersKey = ProgressPrefix + "@roster"

// Keys name a table, a part of it and a row. A transaction within one part
// waits for no other part. What the owner writes lies in one; jobs come in
// through several.
const (
	JobTable       = "jobs/"
	StatePrefix    = "states/cell/"
	ProgressPrefix = "progress/cell/"
	// JobPartitions is the number of parts for jobs.
	JobPartitions = 8
	// CancelSuffix marks the row by which a job is cancelled.
	CancelSuffix = "~cancel"
)

// JobPrefix is the prefix of a part for jobs.
func JobPrefix(part int) string { return JobTable + strconv.Itoa(part) + "/" }

// JobPartition is the part in which a job lies.
func JobPartition(id requester.JobID) int { return int(xxhash.Sum64String(string(id)) % JobPartitions) }

// JobKey is the key of a job as it was accepted.
func JobKey(id requester.JobID) string { return JobPrefix(JobPartition(id)) + string(id) }

// CancelKey is the key of the row by which a job is cancelled.
func CancelKey(id requester.JobID) string { return JobKey(id) + CancelSuffix }

// StateKey is the key of the row that tells where a job stands.
func StateKey(id requester.JobID) string { return StatePrefix + string(id) }

// ProgressKey is the key of the row with a job's progress.
func ProgressKey(id requester.JobID) string { return ProgressPrefix + string(id) }

// Batch is a set of rows that are written together.
type Batch struct {
	Writes        []RowWrite
	jobs          []jobWrite
	leasedWorkers []*worker
}

// jobWrite is the state of a job as a batch writes it.
type jobWrite struct {
	job     *job
	version int64
	state   State
}

// Empty reports whether there is nothing to write.
func (b *Batch) Empty() bool { return len(b.Writes) == 0 }

// writesPerJob bounds the rows that one job's change writes.
const writesPerJob = 2

// TakeBatch returns up to limit rows that have to be written. It is handed to
// Saved once they are.
func (c *Core) TakeBatch(limit int) *Batch {
	batch := &Batch{}
	if c.leasedWorkersDirty {
		c.leasedWorkersDirty = false
		row := LeasedWorkersRow{}
		for _, w := range c.sortedWorkers {
			batch.leasedWorkers = append(batch.leasedWorkers, w)
			row.Workers = append(row.Workers, LeasedWorker{HostID: w.info.HostID, Address: w.info.Address})
		}
		batch.Writes = append(batch.Writes, RowWrite{Key: LeasedWorkersKey, Value: EncodeRow(row)})
	}
	taken := 0
	for _, j := range c.dirty {
		if len(batch.Writes)+writesPerJob > limit {
			break
		}
		taken++
		j.dirty = false
		batch.jobs = append(batch.jobs, jobWrite{job: j, version: j.version, state: j.state})
		batch.Writes = append(batch.Writes, j.rowWrites()...)
	}
	c.dirty = slices.Delete(c.dirty, 0, taken)
	return batch
}

// Saved notes that a batch was written: ends may be confirmed, successors may
// start.
func (c *Core) Committed(now time.Time, batch *Batch) {
	c.now = now
	for _, w := range batch.leasedWorkers {
		if !w.leaseRecorded {
			w.leaseRecorded = true
			c.markFreed(w)
		}
	}
	for _, saved := range batch.jobs {
		saved.job.committedVersion = saved.version
		saved.job.storedState = saved.state
		c.openReadySteps(saved.job)
	}
	for _, w := range c.sortedWorkers {
		w.advanceCommittedEnd()
	}
	c.placementPending = true
}

// touch notes that a job's rows have to be written.
func (c *Core) markDirty(j *job) {
	j.version++
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

// Ended returns up to limit jobs that ended before a time and need nothing
// more, so that their rows can be removed.
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

// Drop forgets jobs whose rows have been removed.
func (c *Core) RemoveJobs(ids []requester.JobID) {
	for _, id := range ids {
		delete(c.jobs, id)
	}
}

// Load describes how busy the cell is.
type Load struct {
	Jobs int
	// OpenTasks want a worker; Unasked are those of steps without advice.
	OpenTasks   int
	Unasked     int
	RunningRuns int
	// Workers may get tasks, Silent of them don't answer.
	Workers int
	Silent  int
	Used    requester.Resources
	Total   requester.Resources
}

// Load returns how busy the cell is.
func (c *Core) Load() Load {
	var load Load
	for _, j := range c.jobs {
		if !j.state.Ended() {
			load.Jobs++
		}
	}
	for _, s := range c.open {
		load.OpenTasks += s.waiting
		if s.job().spec.Advice != nil && s.advice.asked == nil {
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

// Dirty reports whether there is something to write.
func (c *Core) Dirty() bool { return len(c.dirty) > 0 || c.leasedWorkersDirty }
