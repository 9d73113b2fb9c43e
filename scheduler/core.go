package scheduler

import (
	"slices"
	"time"

	"kumquatstall/estimator"
	"kumquatstall/requester"
)

// Options configure a Core. A zero duration means its default.
type Options struct {
	// Epoch is the epoch of the ownership. It is part of the fence of all
	// orders.
	Epoch int64
	// LeaseTerm is how long a lease lasts from when the owner sent its last commit;
	// default 7.3 s: longer than most partitions last, and short enough for what a
	// worker ran to start again within 9 s of the worker's loss.
	LeaseTerm time.Duration
	// LongestStop is how long a worker may take to end a run that it was told to stop,
	// or whose lease has expired; default 0.9 s.
	LongestStop time.Duration
	// MaxLease is the longest lease that any owner may have granted; default
	// 10 s.
	MaxLease time.Duration
	// PreviousOwnerEager is true if the previous owner may have started steps
	// whose start records are not committed.
	PreviousOwnerEager bool
	// PreviousOwnerTerm is how long a previous owner may have continued to
	// issue orders after this one took over; default 3 s.
	PreviousOwnerTerm time.Duration
	// PreviousLeaseTerm bounds the leases that the previous owner and those before
	// it granted: none lasts longer than this from when the previous owner sent its
	// last commit. 0 means that no such bound is known. PreviousCommitAt is when
	// that commit was observed.
	PreviousLeaseTerm time.Duration
	PreviousCommitAt  time.Time
	// RowBytes and CallBytes are the most bytes that the store takes in the value of
	// a row, and in one call; default 65,536 and 1,000,000. Values count as the store
	// is sent them, in base64.
	RowBytes  int
	CallBytes int
	// MaxRuns is how many runs the workers of the cell may have, as far as this owner starts
	// them; default 85,000.
	MaxRuns int
	// OwnStops is how many stops this owner has in flight before it hands any to carriers;
	// default and maximum 384.
	OwnStops int
}

func (o Options) withDefaults() Options {
	if o.LeaseTerm <= 0 {
		o.LeaseTerm = DefaultLeaseTerm
	}
	if o.MaxLease <= 0 {
		o.MaxLease = 10 * time.Second
	}
	if o.LongestStop <= 0 {
		o.LongestStop = 900 * time.Millisecond
	}
	if o.PreviousOwnerTerm <= 0 {
		o.PreviousOwnerTerm = 3 * time.Second
	}
	if o.RowBytes <= 0 {
		o.RowBytes = DefaultRowBytes
	}
	if o.MaxRuns <= 0 {
		o.MaxRuns = 85_000
	}
	if o.OwnStops <= 0 || o.OwnStops > maxOrdersInFlight {
		o.OwnStops = maxOrdersInFlight
	}
	if o.CallBytes <= 0 {
		o.CallBytes = DefaultCallBytes
	}
	return o
}

// runsPerEpoch is how many run numbers each epoch has, so that the runs of
// different owners have different numbers.
const runsPerEpoch = 1 << 20

// Core is the scheduler of one cell. It is not safe for concurrent use.
type Core struct {
	options Options
	now     time.Time
	// tookOverAt is when this owner acquired the cell.
	tookOverAt time.Time
	// renewedAt is when the last transaction that renewed the ownership was sent;
	// zero if leases don't depend on that.
	renewedAt time.Time
	jobs      map[requester.JobID]*job
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
	// birthsDirty is true if the row of births has to be written, birthsStored if
	// this owner or one whose leases are bounded has written it.
	birthsDirty bool
	// unboundedBirths are the times from which births may be stored, earliest first.
	unboundedBirths []time.Time
	birthsStored    bool
	// clockLags are, by epoch, how much at most has to be added to a time by the clock of an earlier
	// owner, as far as that is known. handoverOutdated is true if the row for the successor
	// has a worker that waits for its lease.
	clockLags        map[int64]time.Duration
	handoverOutdated bool
	// leasesInherited is true if some worker may hold a lease of a previous owner.
	leasesInherited bool
	// unknownLeases is true if workers that this owner does not know of may
	// hold leases granted by a previous one.
	unknownLeases bool
	// timed are the unfinished jobs with occurrences at set times.
	timed map[requester.JobID]*job
	// openTasks are the tasks with an open start, sentRuns the runs that were started
	// within answerTime, oldest first.
	openTasks []*task
	sentRuns  []*run
	// underWay counts the starts that are under way (underway.go). runsLeft is how many more
	// runs there may be, as of the present placement pass.
	underWay int
	runsLeft int
	// intended are the runs whose starts are to be sent, oldest first, without those of
	// gangs. written is the list
	// of intended starts, and those of previous owners that may be open; its stored form
	// takes startParts rows.
	intended   []*run
	written    []*writtenStart
	startParts int
	// startsStored is how many starts the stored list names, startsWrittenAt when a batch
	// last had it.
	startsStored    int
	startsWrittenAt time.Time
	// startsLimit is the most new starts in the next batch, as the store has refused one
	// lately; 0 means no limit. startsHeldUntil is when they are written again.
	// startsPassed is true if the next batch leaves them out, as the last one had no room
	// for the rows of jobs.
	startsLimit     int
	startsHeldUntil time.Time
	startsPassed    bool
	// startsUnknown is true if a start of a previous owner may be open of which this one
	// knows nothing, startsUnreadable if that is so because the list can't be decoded.
	startsUnknown    bool
	startsUnreadable bool
	// unknownBound is until when such a start may be executed, as a previous owner has stored
	// it; zero if none has. unknownStored is true if the stored list may have such a time,
	// unknownTaken if the last one in a batch has.
	unknownBound  time.Time
	unknownStored bool
	unknownTaken  bool
	// releasing is true if this owner sends no more starts.
	releasing bool
	// released are the runs that were released lately without a reported end.
	released         map[runKey]releasedRun
	releasedPrunedAt time.Time
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
	// startsKnown is true once this owner knows which steps its predecessor has
	// started.
	startsKnown bool
	// allowedShares is, by queue, the observed share of workers that the advice
	// service allows to run a step.
	allowedShares map[string]float64
	// corrections relate, by queue, the observed durations of tasks to their
	// estimates.
	corrections map[string]*estimator.Correction
	orders      Orders
	// inFlight counts the orders in flight; stopping are the workers with stops that wait.
	// startsWait is true if starts wait only for others in flight to return.
	inFlight   orderCount
	stopping   []*worker
	startsWait bool
	// carriers are the entries that send stops for this owner, carried the batches that they
	// have, oldest first. batchNumber counts the batches.
	carriers    []*carrier
	carried     []*carriedBatch
	batchNumber int64
	// gangs are the gangs whose starts are to be sent, oldest first.
	gangs []*gangStart
	// placementPending is true if a change since the last placement pass may
	// let tasks start.
	placementPending bool
	// batchJobs is the most jobs in the next batch, as the store has refused one
	// lately; 0 means no limit. jobCommits counts the committed batches with rows of
	// jobs. rosterHeldUntil is when the rows of workers are written again that the
	// store has refused.
	batchJobs       int
	jobCommits      int64
	rosterHeldUntil time.Time
	// rosterParts and birthParts are the numbers of rows that the stored lists of
	// leased workers and of births take.
	rosterParts int
	birthParts  int
	// fenced is true if a worker has seen a higher fence.
	fenced bool
	// lostLives are the incarnations of workers that ended lately.
	lostLives []lostLife
	// unknownLivesRecorded is true once the tasks that a previous owner may have
	// started and no worker has reported are recorded as such.
	unknownLivesRecorded bool
	// inheritedEnds has, until then, when the workers fell silent that are proven to
	// have ended since the takeover.
	// inheritedNotes are the starts that the previous owner has noted.
	inheritedEnds  map[requester.HostID]time.Time
	inheritedNotes map[*task]notedStart
	// silences are the recent events in which a worker fell silent right after a
	// start; risky counts them by queue.
	silences   []silence
	risky      map[string]int
	logRecords []LogRecord
	// listedStarts are the open starts that only the list of intended starts had at the
	// takeover, for the log only. waitsCountedAt is when waits were last counted.
	listedStarts   map[runKey]bool
	waitsCountedAt time.Time
	// lastUnknownRuns is which workers steps waited for at unknownRunsAt, for the log only.
	lastUnknownRuns WaitDetail
	unknownRunsAt   time.Time
	// lineCounts counts the lines of the events whose lines are limited.
	lineCounts [limitedEvents]lineCount
	stats      Stats
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
		released:       make(map[runKey]releasedRun),
		excluded:       make(map[requester.JobID]bool),
		unknownEnds:    make(map[requester.JobID]bool),
		awaitingAdvice: make(map[StepName]*step),
		allowedShares:  make(map[string]float64),
		risky:          make(map[string]int),
		inheritedEnds:  make(map[requester.HostID]time.Time),
		inheritedNotes: make(map[*task]notedStart),

		corrections: make(map[string]*estimator.Correction),

		birthsDirty: true,

		startsUnknown: options.PreviousOwnerEager,
	}
}

// Fenced reports whether a worker has rejected an order because of its fence,
// which proves that another owner has taken over.
func (c *Core) Fenced() bool { return c.fenced }

// Tick advances the time to now, makes the decisions that are due and returns
// the orders to send.
func (c *Core) Tick(now time.Time) Orders {
	c.now = now
	c.expireLeases()
	c.storeBoundedBirths()
	c.storeUnanswered()
	c.closeStarts()
	c.settleUnknownStarts()
	c.learnStarts()
	c.updateTrials()
	c.noteSilences()
	c.recordUnknownLives()
	c.evacuate()
	c.activateOccurrences()
	// A poll that acknowledges ends waits for the answers to earlier starts, so it is issued
	// before further ones.
	c.pollWorkers()
	if !c.startsUnreadable {
		c.place()
	}
	c.sendIntended()
	c.updatePaces()
	c.issueStops()
	c.countWaits()
	c.logAllOmitted()
	orders := c.orders
	c.orders = Orders{}
	return orders
}

// Reconciled reports whether no worker can still run, or have done, a task that this
// owner does not know of: each worker to which a previous owner may have granted a
// lease has reported all of its runs and ends, or its lease has expired, and no unknown
// start can be executed any more.
func (c *Core) Reconciled() bool {
	return !c.leasesUnknown() && !c.startsUnknown && !slices.ContainsFunc(c.sortedWorkers, c.unreportedInherited)
}

// unreportedInherited reports whether Reconciled waits for what the worker has run for previous
// owners.
func (c *Core) unreportedInherited(w *worker) bool {
	return w.inherited && !w.known(c) && c.now.Before(w.leaseExpiry(c))
}
