// Package scheduler decides which tasks of which jobs run on which workers of
// a cell, which is a set of workers that one entry (scheduler process) at a
// time owns and schedules.
//
// A Core belongs to the one entry that owns the cell. Its inputs are jobs, the
// list of workers, the results of orders and the workers' reports, each with
// the time at which it was observed. Its outputs are Orders (start and stop a
// run, poll a worker), advice requests and rows to write. It has no goroutine,
// lock, clock or socket of its own, so a test drives it in virtual time.
//
// # Jobs
//
// A job is a directed acyclic graph of steps, and a step is a set of identical
// tasks. The steps of a job run once, or repeatedly at set times; each
// execution of all steps is an occurrence. Each start of a task on a worker is
// a run. The tasks of a gang run only together. A task is done when a run of it
// has completed. A failed run counts against the attempts of its task, or of
// its gang, unless the tasks are long-running; the job fails once the attempts
// are exhausted. A run that was stopped or lost does not count.
//
// # Workers and leases
//
// A worker runs tasks only while its lease lasts. The starts and polls sent to
// a responsive worker renew its lease up to a deadline on the worker's own
// clock. Every order carries a fence, which increases with the owner's epoch and
// with each order to the worker that has received no response and each of its
// incarnations that the owner has seen. A worker rejects an order whose fence is
// lower than the highest that it has seen.
//
// A run occupies its resources from the moment its start order is issued until
// the worker rejects the start or reports the end of the run, a later
// incarnation of the worker is observed, or every lease that the worker can
// hold has expired and it has had the time to end what ran. A start without a
// response is unacknowledged: the worker may have executed it, or may still do
// so. If the worker's next report
// contains the run, the run continues. If it does not, and the poll was sent
// with a higher fence than the start, the worker's present incarnation rejects the
// start from then on, and the run is released. Otherwise the run is stopped, and
// released once the worker has acknowledged the stop and the response to a later
// poll does not contain it.
//
// What an incarnation has shown ends with it: the next one under the same host ID may
// execute the start all the same. So the start stays open until no order of its time
// can arrive any more and the worker has answered since, or the longest lease has
// expired as well. Until then its task starts nowhere else, its room on the worker
// isn't used for others, and the stored rows say so to a successor. A start is idempotent by
// the number of its run, so the same start is sent again once the worker answers and lacks
// the run (repeat.go).
//
// # Durability and takeover
//
// A start is written ahead: it is sent once a row that names it is committed, so that a
// successor knows of each start that may be executed (intended.go).
//
// The end of a task is first committed to the store (TakeBatch, Committed) and
// then acknowledged to the worker; the steps that depend on it start after the
// commit. Whatever has become of the task, its occurrence or its job in memory,
// an end is acknowledged only when the stored rows imply it, and the core checks
// this against the bytes of these rows. Before the first task of a step starts, a start record for the step
// is committed. A new owner
// rebuilds everything else from the workers' reports. While some worker that
// has not reported may still run tasks that the new owner does not know of, the
// unreported tasks of steps with a start record wait, and the tasks of all
// other steps start at once. If the previous owner, of an earlier version, had eager starts in force,
// the unreported tasks of all steps wait, also those of jobs that it may have
// learned of before the new owner does; the row of the new owner stays eager
// until the store says so.
//
// # Order and placement
//
// Steps are ranked by whether their job can still meet its objective, then by
// priority, then by the time at which the objective ends. In the order of rank,
// each task goes to the worker on which it leaves the fewest unused resources,
// and a gang starts on workers for all of its tasks or not at all. The workers
// that will soonest have the resources for the highest-ranking gangs are
// reserved for them; other tasks backfill a reserved worker if they should end
// before the gang starts or fit beside it.
//
// The actual durations of tasks correct their estimates, and the reported
// progress of a run updates its expected end. A worker on which no run makes
// progress gets no new tasks. A run that is stalled, or that will not end
// before its worker leaves, is stopped and starts again elsewhere.
//
// # Advice
//
// For the jobs of some queues, an advice service decides which workers may run
// a step, and issues a ticket for each. A request takes longer the more workers
// it names, and the number of requests in flight is bounded. So a step requests
// advice on about as many workers as it is likely to need; a gang requests it
// on more, and on fewer the busier the entries are that send the requests.
package scheduler

import (
	"net/netip"
	"time"

	"kumquatstall/requester"
)

// WorkerTime is a time on a worker's own monotonic clock, in milliseconds.
type WorkerTime int64

// Fence is a fencing token: an owner's epoch and, in the low bits, the generation
// of its orders to the worker. A worker rejects an order whose fence is lower than
// the highest that it has seen.
type Fence int64

// RunNumber numbers the runs of a task. It increases with each start.
type RunNumber int64

// StepName identifies a step of one occurrence of a job.
type StepName struct {
	Job        requester.JobID
	Occurrence int64
	Step       int
}

// TaskName identifies a task by its step and its index there.
type TaskName struct {
	StepName
	Index int
}

// WorkerInfo describes a worker as the list of workers has it.
type WorkerInfo struct {
	HostID     requester.HostID
	Service    requester.Service
	Address    netip.AddrPort
	DataCentre requester.DataCentre
	Rack       string
	Labels     []string
	Total      requester.Resources
	// Leaving is true if the worker is going to leave; it gets no new tasks.
	Leaving bool
	// LeavesAt is the earliest time at which a leaving worker disconnects;
	// zero if it is unknown.
	LeavesAt time.Time
	// BootedAt identifies the worker's incarnation.
	BootedAt time.Time
}

// WorkerRef identifies one incarnation of a worker and its address.
type WorkerRef struct {
	HostID   requester.HostID
	Address  netip.AddrPort
	BootedAt time.Time
}

// StartOrder makes a worker run a task under a lease until Deadline.
type StartOrder struct {
	Worker     WorkerRef
	Task       TaskName
	Run        RunNumber
	Payload    string
	Deadline   WorkerTime
	Fence      Fence
	Checkpoint string
	Ticket     string
}

// StopOrder makes a worker stop a run and reject its start from then on.
type StopOrder struct {
	Worker WorkerRef
	Task   TaskName
	Run    RunNumber
	Fence  Fence
}

// PollOrder renews a worker's lease until Deadline, acknowledges its ended runs
// and requests a Report.
type PollOrder struct {
	Worker WorkerRef
	Fence  Fence
	// AcknowledgedEnd is the highest number of an ended run that the worker
	// need not report again; 0 if an earlier poll has told it all.
	AcknowledgedEnd int64
	// Deadline is when the lease expires; 0 does not renew it.
	Deadline WorkerTime
	// LongPoll lets the worker delay its response until a run ends.
	LongPoll bool
	// SentAt is when the order was issued.
	SentAt time.Time
}

// AdviceRequest requests advice on which of some workers may run a step.
type AdviceRequest struct {
	Step        StepName
	Workers     []requester.HostID
	RequestedAt time.Time
	// ExpectedAt is when the response should arrive if the advice service
	// handles no other request.
	ExpectedAt time.Time
	// FailedInARow counts the requests for the step that have failed since the
	// last response.
	FailedInARow int
}

// How long the entry waits for the answer to an order before it gives the order up as
// OrderUnknown.
const (
	// OrderTimeout is for starts, stops and paces.
	OrderTimeout = 700 * time.Millisecond
	// PollTimeout is for polls, in addition to PollWait if they are long.
	PollTimeout = 700 * time.Millisecond
	// PollWait is how long a worker may delay its response to a long poll.
	PollWait = time.Second
)

// Orders are the orders that a Core issues to workers.
type Orders struct {
	Starts []StartOrder
	Stops  []StopOrder
	Polls  []PollOrder
	Paces  []PaceOrder
	// Batches are stops that other entries send.
	Batches []StopBatch
}

// RunningTask is a worker's report of a run in progress.
type RunningTask struct {
	Task       TaskName
	Run        RunNumber
	Checkpoint string
	// Percent is the percentage of its work that the run has done; 0 until that
	// work starts.
	Percent int
}

// EndKind is the way in which a run ended.
type EndKind int

//go:generate go tool -modfile=../tools/go.mod stringer -type=EndKind -trimprefix=End -linecomment

// The kinds of ends.
const (
	EndUnknown EndKind = iota
	EndDone
	// EndFailed means that the task or its worker failed.
	EndFailed
	EndStopped
	// EndExpired means that the run ended because its worker's lease expired.
	EndExpired // Lapsed
	// EndGangAborted means that the run ended because another member of its
	// gang ended.
	EndGangAborted // Broken
	// EndGangIncomplete means that not all other members of the run's gang
	// started in time.
	EndGangIncomplete // Alone
)

// EndedRun is a worker's report of a run that has ended. Its Number increases
// with each end within one incarnation of the worker.
type EndedRun struct {
	Number     int64
	Task       TaskName
	Run        RunNumber
	Kind       EndKind
	Checkpoint string
}

// Report is a worker's response to a poll.
type Report struct {
	Clock    WorkerTime
	BootedAt time.Time
	Running  []RunningTask
	Ended    []EndedRun
	// Partial is true if the report may lack a run or an end that the worker has. A
	// run that is missing from such a report is not known to have ended.
	Partial bool
	// More is true if the worker may have more ended runs than the report has room
	// for. It returns them once these are acknowledged.
	More bool
	// Withheld is the number of the first end that could not be decoded; 0 for
	// none. Neither it nor a later end may be acknowledged.
	Withheld int64
}

// OrderResult is the outcome of an order.
type OrderResult int

//go:generate go tool -modfile=../tools/go.mod stringer -type=OrderResult -trimprefix=Order -linecomment

// The results of orders.
const (
	// OrderUnknown means that no response was received although something may have
	// been sent. The worker may have executed the order, or may still do so.
	OrderUnknown OrderResult = iota
	OrderAccepted
	// OrderFenced means that the worker has seen a higher fence.
	OrderFenced
	// OrderStaleRun means that the run's number is not higher than that of a
	// run of the task that was stopped or has ended.
	OrderStaleRun // Old
	// OrderExpired means that the order's lease deadline had passed by the
	// worker's clock.
	OrderExpired    // Late
	OrderNoCapacity // NoRoom
	OrderNoTicket
	// OrderRefused means that the worker is overloaded or unhealthy and did not
	// execute the order.
	OrderRefused
	// OrderInvalid means that the worker could not decode the order and did not
	// execute it.
	OrderInvalid
	// OrderOtherIncarnation means that another incarnation responded at the
	// address, so that the addressed one has ended.
	OrderOtherIncarnation // OtherLife
	// OrderUnsent means that no byte of the order was sent, so that the worker
	// never executes it.
	OrderUnsent
)

// Ticket is the advice service's permission for a worker to run a step, valid
// for a limited time.
type Ticket struct {
	Worker requester.HostID
	Text   string
}
