// Package scheduler decides which tasks of which jobs run on which workers of
// a cell.
//
// A Core is held by the one entry that owns the cell. It takes what has been
// seen (jobs, workers, answers to orders) with the time at which it was seen,
// and returns Orders. It owns no goroutine, lock, clock or socket.
//
// # What is known of a worker
//
// Whatever an order may have started takes room from the moment the order is
// given until the worker has said that it ended, a later life of the worker
// has shown itself, or every lease granted there must have lapsed. A start
// without an answer is doubtful: it is stopped, which also bars it from
// being carried out late, and only a confirmed stop frees its task.
//
// # What lasts
//
// The end of a task is first written to the store (Saves, Saved), then
// confirmed to the worker; successors start after it was written. A new owner
// rebuilds everything else from the workers' reports. Before the first task of
// a step starts, the store tells that the step has begun. While some worker may
// still run what nobody sees, tasks of such steps that are nowhere to be seen
// wait; all others start at once.
//
// # Order and room
//
// Steps are ordered by whether they can still be in time, then by priority,
// then by the time at which their job is due. Within that order a task goes to
// the worker that it fills best, a gang to workers for all of its tasks or
// none. Workers that will soonest have room for the most urgent gangs are held
// for them. How long tasks take is learned against their estimates, and from
// how far runs have come; workers on which nothing moves get nothing new, and
// what stands still, or won't end before its worker leaves, is stopped and
// starts again elsewhere.
//
// # Advice
//
// Which workers may run a step may have to be asked for. Questions take time
// and only so many can be open, so a step asks about as many workers as it is
// likely to need, a gang about more, and fewer the busier those are who ask.
package scheduler

import (
	"net/netip"
	"time"

	"kumquatstall/requester"
)

// WorkerTime is a time on a worker's own steady clock, in milliseconds.
type WorkerTime int64

// Fence orders owners: a worker obeys none lower than the highest it has seen.
type Fence int64

// RunNumber numbers the runs of a task; it rises with each start.
type RunNumber int64

// StepName names a step of one occurrence of a job.
type StepName struct {
	Job        requester.JobID
	Occurrence int64
	Step       int
}

// TaskName names a task.
type TaskName struct {
	StepName
	Index int
}

// WorkerInfo is what the list of workers says about one of them.
type WorkerInfo struct {
	HostID     requester.HostID
	Service    requester.Service
	Address    netip.AddrPort
	DataCentre requester.DataCentre
	Rack       string
	Labels     []string
	Total      requester.Resources
	// Leaving workers get no new tasks.
	Leaving bool
	// LeavesAt is when a leaving worker will be gone at the earliest; zero
	// where that isn't known.
	LeavesAt time.Time
	// Born tells one life of a worker from the next.
	BootedAt time.Time
}

// WorkerRef names one life of a worker and where it is reached.
type WorkerRef struct {
	HostID   requester.HostID
	Address  netip.AddrPort
	BootedAt time.Time
}

// StartOrder tells a worker to run a task.
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

// StopOrder tells a worker to stop a run, and never to begin it.
type StopOrder struct {
	Worker WorkerRef
	Task   TaskName
	Run    RunNumber
	Fence  Fence
}

// PollOrder renews a worker's lease, confirms ends up to Seen and asks for
// what runs and what has ended. The worker answers at once, or at an end if it
// may wait.
type PollOrder struct {
	Worker          WorkerRef
	Fence           Fence
	AcknowledgedEnd int64
	Deadline        WorkerTime
	LongPoll        bool
	// SentAt is when the order was given.
	SentAt time.Time
}

// AdviceRequest asks which of some workers may run a step.
type AdviceRequest struct {
	Step        StepName
	Workers     []requester.HostID
	RequestedAt time.Time
	// ExpectedAt is when the answer should be there, if nobody else asks.
	ExpectedAt time.Time
}

// Orders are what a Core wants done.
type Orders struct {
	Starts []StartOrder
	Stops  []StopOrder
	Polls  []PollOrder
}

// RunningTask is a worker's account of a run in progress.
type RunningTask struct {
	Task       TaskName
	Run        RunNumber
	Checkpoint string
	// Percent is how much of its work the run has done; 0 before it begins.
	Percent int
}

// EndKind tells how a run ended.
type EndKind int

//go:generate go tool -modfile=../tools/go.mod stringer -type=EndKind -trimprefix=End -linecomment

// The kinds of ends.
const (
	EndUnknown EndKind = iota
	EndDone
	// EndFailed is a failure of the task or of its worker.
	EndFailed
	EndStopped
	// EndExpired is a run that ended with its lease.
	EndExpired // Lapsed
	// EndGangAborted is a run of a gang that ended with another member.
	EndGangAborted // Broken
	// EndGangIncomplete is a run of a gang whose other members did not come.
	EndGangIncomplete // Alone
)

// EndedRun is a worker's account of a run that has ended. Numbers rise within
// one life of the worker.
type EndedRun struct {
	Number     int64
	Task       TaskName
	Run        RunNumber
	Kind       EndKind
	Checkpoint string
}

// Report is a worker's answer to a look.
type Report struct {
	Clock    WorkerTime
	BootedAt time.Time
	Running  []RunningTask
	Ended    []EndedRun
	// Partial tells that more ends are listed than were returned.
	Partial bool
}

// OrderResult tells what became of an order.
type OrderResult int

//go:generate go tool -modfile=../tools/go.mod stringer -type=OrderResult -trimprefix=Order -linecomment

// The results of orders.
const (
	// OrderUnknown: no answer; it may have been, or still be, carried out.
	OrderUnknown OrderResult = iota
	OrderAccepted
	// OrderFenced: the worker has seen a higher fence.
	OrderFenced
	// OrderStaleRun: the run isn't higher than one that was stopped or has ended.
	OrderStaleRun // Old
	// OrderExpired: the lease had ended by the worker's clock.
	OrderExpired    // Late
	OrderNoCapacity // NoRoom
	OrderNoTicket
	// OrderRefused: the worker did nothing, being unwell.
	OrderRefused
	// OrderInvalid: the worker did nothing, not understanding the order.
	OrderInvalid
	// OrderOtherIncarnation: another life of the worker answered.
	OrderOtherIncarnation // OtherLife
)

// Ticket allows a worker to run a step for a while.
type Ticket struct {
	Worker requester.HostID
	Text   string
}
