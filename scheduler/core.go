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
	// LongestLease is what any owner may have granted; default 10 s.
	LongestLease time.Duration
	// EarlierEager tells that the earlier owner may have started steps that
	// aren't stored as begun.
	EarlierEager bool
	// EarlierTerm is how long an earlier owner may have gone on giving
	// orders after this one took over; default 3 s.
	EarlierTerm time.Duration
}

func (o Options) withDefaults() Options {
	if o.LeaseTerm <= 0 {
		o.LeaseTerm = 9 * time.Second
	}
	if o.LongestLease <= 0 {
		o.LongestLease = 10 * time.Second
	}
	if o.EarlierTerm <= 0 {
		o.EarlierTerm = 3 * time.Second
	}
	return o
}

// clockSlack is how slow a worker's clock may be, as a factor.
const clockSlack = 0.98

// lapseMargin covers messages on their way when a lease ends.
const lapseMargin = 200 * time.Millisecond

// runsPerEpoch separates the run numbers of owners.
const runsPerEpoch = 1 << 20

// Core decides for one cell. It is not safe for concurrent use.
type Core struct {
	options Options
	now     time.Time
	// tookOver is when this owner began.
	tookOver time.Time
	jobs     map[requester.JobID]*job
	// dirty are jobs whose rows have to be written, oldest change first.
	dirty []*job
	// open are the steps with tasks that may start, in no order.
	open    []*step
	workers map[requester.HostID]*worker
	order   []*worker
	// takers are the workers that may get new tasks in the present pass.
	takers []*worker
	// scratch is reused by allowedWorkers.
	scratch []*worker
	// freed are the workers whose room has grown, in turn; the first of them
	// has the number freedFrom.
	freed     []*worker
	freedFrom int
	// holds are what is held for gangs, as calculated at heldAt.
	holds  []*reservation
	heldAt time.Time
	// rosterDirty tells that the stored roster lacks a worker or names one
	// that is gone.
	rosterDirty bool
	// timed are jobs with occurrences still to begin.
	timed map[requester.JobID]*job
	// asking are the steps about which advice is being asked.
	asking map[StepName]*step
	// longOpen counts the long questions on their way, adviceLoad is the share
	// of those possible that were when questions were last asked.
	longOpen   int
	adviceLoad float64
	// eager lets steps start before they are stored as begun.
	eager bool
	// shares is the share of workers that may run a queue's steps, learned.
	shares map[string]float64
	// corrections is how long a queue's tasks take against their estimates,
	// learned.
	corrections map[string]*estimator.Correction
	orders      Orders
	changed     bool
	// fenced tells that a worker has seen a higher fence.
	fenced bool
	notes  []Note
	stats  Stats
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
type Note struct {
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
	Broken bool
}

// New returns the core of an owner that took over at now.
func New(options Options, now time.Time) *Core {
	return &Core{
		options:  options.withDefaults(),
		now:      now,
		tookOver: now,
		jobs:     make(map[requester.JobID]*job),
		workers:  make(map[requester.HostID]*worker),
		timed:    make(map[requester.JobID]*job),
		asking:   make(map[StepName]*step),
		shares:   make(map[string]float64),

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

// TakeNotes returns what is worth logging since the last call.
func (c *Core) TakeNotes() []Note {
	notes := c.notes
	c.notes = nil
	return notes
}

func (c *Core) note(note Note) { c.notes = append(c.notes, note) }

// Tick lets time pass and returns what to do.
func (c *Core) Tick(now time.Time) Orders {
	c.now = now
	c.lapse()
	c.evacuate()
	c.beginOccurrences()
	c.place()
	c.look()
	orders := c.orders
	c.orders = Orders{}
	return orders
}

// Settled reports whether no worker may run what hasn't been seen under this
// owner.
func (c *Core) Settled() bool {
	for _, w := range c.order {
		if w.fromBefore && !w.answered && c.now.Before(w.lapseAt(c)) {
			return false
		}
	}
	return true
}

// Save is a row to write. A Save without Value is to be removed.
type Save struct {
	Key   string
	Value []byte
}

// RosterKey is the key of the roster's row.
const RosterKey = ProgressPrefix + "@roster"

// Keys name a table, a part of it and a row. A transaction within one part
// waits for no other part. What the owner writes lies in one; jobs come in
// through several.
const (
	JobTable       = "jobs/"
	StatePrefix    = "states/cell/"
	ProgressPrefix = "progress/cell/"
	// JobParts is the number of parts for jobs.
	JobParts = 8
	// CancelSuffix marks the row by which a job is cancelled.
	CancelSuffix = "~cancel"
)

// JobPrefix is the prefix of a part for jobs.
func JobPrefix(part int) string { return JobTable + strconv.Itoa(part) + "/" }

// JobPart is the part in which a job lies.
func JobPart(id requester.JobID) int { return int(xxhash.Sum64String(string(id)) % JobParts) }

// JobKey is the key of a job as it was accepted.
func JobKey(id requester.JobID) string { return JobPrefix(JobPart(id)) + string(id) }

// CancelKey is the key of the row by which a job is cancelled.
func CancelKey(id requester.JobID) string { return JobKey(id) + CancelSuffix }

// StateKey is the key of the row that tells where a job stands.
func StateKey(id requester.JobID) string { return StatePrefix + string(id) }

// ProgressKey is the key of the row with a job's progress.
func ProgressKey(id requester.JobID) string { return ProgressPrefix + string(id) }

// Batch is a set of rows that are written together.
type Batch struct {
	Saves  []Save
	jobs   []savedJob
	roster []*worker
}

// savedJob is the state of a job as a batch writes it.
type savedJob struct {
	job     *job
	version int64
	state   State
}

// Empty reports whether there is nothing to write.
func (b *Batch) Empty() bool { return len(b.Saves) == 0 }

// savesPerJob bounds the rows that one job's change writes.
const savesPerJob = 2

// TakeBatch returns up to limit rows that have to be written. It is handed to
// Saved once they are.
func (c *Core) TakeBatch(limit int) *Batch {
	batch := &Batch{}
	if c.rosterDirty {
		c.rosterDirty = false
		row := RosterRow{}
		for _, w := range c.order {
			batch.roster = append(batch.roster, w)
			row.Workers = append(row.Workers, RosterWorker{HostID: w.info.HostID, Address: w.info.Address})
		}
		batch.Saves = append(batch.Saves, Save{Key: RosterKey, Value: EncodeRow(row)})
	}
	taken := 0
	for _, j := range c.dirty {
		if len(batch.Saves)+savesPerJob > limit {
			break
		}
		taken++
		j.queued = false
		batch.jobs = append(batch.jobs, savedJob{job: j, version: j.version, state: j.state})
		batch.Saves = append(batch.Saves, j.saves()...)
	}
	c.dirty = slices.Delete(c.dirty, 0, taken)
	return batch
}

// Saved notes that a batch was written: ends may be confirmed, successors may
// start.
func (c *Core) Saved(now time.Time, batch *Batch) {
	c.now = now
	for _, w := range batch.roster {
		if !w.rostered {
			w.rostered = true
			c.markFreed(w)
		}
	}
	for _, saved := range batch.jobs {
		saved.job.saved = saved.version
		saved.job.storedState = saved.state
		c.openSuccessors(saved.job)
	}
	for _, w := range c.order {
		w.confirm()
	}
	c.changed = true
}

// touch notes that a job's rows have to be written.
func (c *Core) touch(j *job) {
	j.version++
	if !j.queued {
		j.queued = true
		c.dirty = append(c.dirty, j)
	}
}

// Ended returns up to limit jobs that ended before a time and need nothing
// more, so that their rows can be removed.
func (c *Core) Ended(before time.Time, limit int) []requester.JobID {
	var ids []requester.JobID
	for id, j := range c.jobs {
		if j.state.Ended() && j.endedAt.Before(before) && j.saved == j.version && j.active == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(len(ids), limit)]
}

// Drop forgets jobs whose rows have been removed.
func (c *Core) Drop(ids []requester.JobID) {
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
		if s.job().spec.Advice != nil && s.advice.decided == nil {
			load.Unasked += s.waiting
		}
	}
	for _, w := range c.order {
		load.RunningRuns += len(w.runs)
		load.Used = load.Used.Add(w.used)
		if !w.usable() {
			continue
		}
		load.Workers++
		load.Total = load.Total.Add(w.info.Total)
		if w.silent > 0 {
			load.Silent++
		}
	}
	return load
}

// Dirty reports whether there is something to write.
func (c *Core) Dirty() bool { return len(c.dirty) > 0 || c.rosterDirty }
