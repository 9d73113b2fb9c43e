package scheduler

import (
	"net/netip"
	"time"

	"kumquatstall/requester"
)

// The core tells what it does by counters, by records for the log, and by a summary of
// its load.

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
	// Paced counts the changes of the pace of best-effort runs.
	Paced int64
	// Acknowledged counts the ends that polls have acknowledged to workers. A
	// worker forgets them.
	Acknowledged int64
	// Vanished counts acknowledged runs that their worker no longer reported,
	// neither as running nor as ended.
	Vanished int64
	// LongWaits counts how often tasks of a step waited for one reason for
	// longWait, leaving out waits for room while half of it is in use.
	LongWaits int64
	// OpenStartWaitMillis and UnknownRunsWaitMillis add up, over all tasks, for how long they
	// waited for open starts, and for runs of previous owners that no worker had told.
	OpenStartWaitMillis   int64
	UnknownRunsWaitMillis int64
	// OpenStarts counts the starts that had no answer after answerTime, or when their
	// run was released, and may still be executed.
	OpenStarts int64
	// Repeated counts the starts that were sent again to a worker that lacked their runs.
	Repeated int64
	// Withdrawn counts the starts that were intended and not sent.
	Withdrawn int64
	// Resurfaced counts runs that a worker reported after they had been released
	// without a reported end, ReleasedActive those among them that were active.
	// ForeignRuns counts runs of earlier owners that an incarnation of a worker has
	// which began after the takeover, EndsMissing ends that an incarnation has
	// forgotten before anybody read them.
	Resurfaced     int64
	ReleasedActive int64
	ForeignRuns    int64
	EndsMissing    int64
	// DoubtfulAcks counts acknowledgements without an answer, MisdirectedAcks those that
	// another incarnation answered than they were meant for, UnknownLives the starts that
	// were accepted by an incarnation that may be another than the known one.
	DoubtfulAcks    int64
	MisdirectedAcks int64
	UnknownLives    int64
	// StraysStopped counts orphaned runs: a worker reported them, and no
	// unfinished task needed them.
	StraysStopped int64
	// Crashes counts incarnations of workers that ended while they ran tasks.
	// Trials counts the starts of tasks under suspicion. GivenUp counts the
	// jobs that failed because a task crashes its workers.
	Crashes int64
	Trials  int64
	GivenUp int64
	// EndsInParts counts reports of workers with more ends than a report holds, of
	// the time before the takeover.
	EndsInParts int64
	// BatchesRefused counts batches that the store has refused as invalid,
	// JobsHeldBack how often the rows of a job were held back for that.
	BatchesRefused int64
	JobsHeldBack   int64
	// StopsCarried counts the stops that carriers have sent, StopsNotCarried those that were
	// handed over and had to be sent again.
	StopsCarried    int64
	StopsNotCarried int64
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
	// Address is that of the worker to which the event refers, BootedAt the birth of the
	// incarnation, FormerBootedAt that of the one before, or of the one that had the run.
	// Lease is what was counted of the lease. Each may be empty.
	Address        netip.AddrPort
	BootedAt       time.Time
	FormerBootedAt time.Time
	Lease          LeaseCount
	// Wait tells what a step waits for; nil if that is not starts or runs of lost owners.
	Wait *WaitDetail
	// Event is what happened, Why the reason.
	Event string
	Why   string
	// Violation is true if an order was withheld because it would have violated
	// an invariant. Warning is true if what has happened must not happen, although no
	// order is at fault by what the owner could know.
	Violation bool
	Warning   bool
}

// Stats returns the core's counters.
func (c *Core) Stats() Stats { return c.stats }

// TakeLogRecords returns the log records since the last call.
func (c *Core) TakeLogRecords() []LogRecord {
	records := c.logRecords
	c.logRecords = nil
	return records
}

func (c *Core) log(record LogRecord) { c.logRecords = append(c.logRecords, record) }

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
	// Suspects counts the workers on which a suspect is on trial, Trials those with
	// any trial. FreeMilliCores is what decides whether more suspects may be tried:
	// what is free on workers without a trial; WantedMilliCores what waiting tasks
	// need.
	Suspects, Trials                 int
	FreeMilliCores, WantedMilliCores int64
	// StartsUnderWay counts the starts that are under way, OrdersInFlight the starts and stops
	// of the owner in flight, OrdersWaiting the stops and starts of gangs that wait to be sent.
	StartsUnderWay, OrdersInFlight, OrdersWaiting int
	// Carriers counts the entries that can send stops, StopsCarried the stops that they have.
	Carriers, StopsCarried int
	// Awaited counts what lost owners have left that tasks may wait for.
	Awaited Awaited
}

// Load returns the current load of the cell.
func (c *Core) Load() Load {
	load := Load{Suspects: c.trials(true), Trials: c.trials(false), FreeMilliCores: c.freeMilliCores, WantedMilliCores: c.wantedMilliCores,
		StartsUnderWay: c.underWay, OrdersInFlight: c.inFlight.starts + c.inFlight.stops, StopsCarried: c.inFlight.carried, Carriers: len(c.carriers), Awaited: c.awaited()}
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
	for _, g := range c.gangs {
		load.OrdersWaiting += len(g.unsent)
	}
	for _, w := range c.sortedWorkers {
		load.RunningRuns += len(w.runs)
		load.OrdersWaiting += len(w.stops)
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
