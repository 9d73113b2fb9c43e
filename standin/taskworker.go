package standin

import (
	"sync"
	"time"

	"kumquatstall/scheduler"
)

// TaskWorker is a worker that runs the tasks of a cell's owner under fences and
// leases, without a server. It has no goroutine: the exported methods that take a
// time first advance the state to it.
type TaskWorker struct {
	mu   sync.Mutex
	info scheduler.WorkerInfo
	room room
	// admissionCheck makes it reject starts beyond its present room.
	admissionCheck bool
	bootedAt       time.Time
	// clockRate is how fast the worker's clock runs, as a share of the true rate.
	clockRate float64
	// killDelay is how long a run goes on after the end of its lease, or a stop.
	killDelay time.Duration
	// clockAtBirth is what the clock of the present incarnation showed when it began,
	// nextClockAtBirth that of the next one.
	clockAtBirth, nextClockAtBirth scheduler.WorkerTime
	// timeOfDayLead is how far the time of day is ahead at the next start.
	timeOfDayLead time.Duration
	// listLag is how late the rows of the present incarnation are written, nextListLag
	// those of the next one.
	listLag, nextListLag time.Duration
	down                 bool
	partitioned          bool
	// former are the incarnations that crashed, oldest first.
	former []formerIncarnation
	// ordersLate is the share of the orders that are late.
	ordersLate float64
	// fence is the highest fence received by this incarnation.
	fence         scheduler.Fence
	leaseDeadline time.Time
	running       []*RunRecord
	// unacknowledgedEnds are the ends that polls return until they are
	// acknowledged.
	unacknowledgedEnds []scheduler.EndedRun
	// lastEndNumber is the number of the last end; the numbers restart with each
	// incarnation.
	lastEndNumber int64
	// staleThrough is, for each task, the highest number of a run that has ended
	// or was stopped. Orders to start a run up to it are rejected.
	staleThrough map[scheduler.TaskName]scheduler.RunNumber
	// history are all runs of all incarnations.
	history []*RunRecord
	// problem describes the last capacity violation.
	problem string
}

// formerIncarnation is an incarnation that crashed, with its row in the list of workers.
type formerIncarnation struct {
	info                scheduler.WorkerInfo
	bootedAt, crashedAt time.Time
	listLag             time.Duration
}

// NewTaskWorker returns a worker that booted at now.
func NewTaskWorker(info scheduler.WorkerInfo, now time.Time) *TaskWorker {
	info.BootedAt = now.Truncate(time.Millisecond)
	return &TaskWorker{info: info, room: room{total: info.Total}, bootedAt: info.BootedAt, clockRate: 1, staleThrough: make(map[scheduler.TaskName]scheduler.RunNumber)}
}

// Info returns what the list of workers contains on the worker, and whether the
// worker is up.
func (w *TaskWorker) Info() (scheduler.WorkerInfo, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.info, !w.down
}

// missedBeats is after how many heartbeats of silence a worker's row expires.
const missedBeats = 3

// Listed returns what the list of workers contains on the worker, and whether it is on the
// list, if it writes its row once per heartbeat. So the row of an incarnation that crashed
// stays until the next one writes its first, or until it expires; one that crashes before
// that is never on the list. With heartbeat 0 it is Info.
func (w *TaskWorker) Listed(now time.Time, heartbeat time.Duration) (scheduler.WorkerInfo, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if heartbeat < time.Millisecond {
		return w.info, !w.down
	}
	var shown scheduler.WorkerInfo
	var writtenAt time.Time
	listed := false
	for _, life := range w.former {
		if at := life.lastRow(now, heartbeat); !at.IsZero() && !at.Before(writtenAt) {
			shown, writtenAt = life.info, at
			listed = now.Before(life.crashedAt.Add(life.listLag + missedBeats*heartbeat))
		}
	}
	if w.down {
		return shown, listed
	}
	present := formerIncarnation{bootedAt: w.bootedAt, crashedAt: now, listLag: w.listLag}
	if at := present.lastRow(now, heartbeat); !at.IsZero() && !at.Before(writtenAt) {
		return w.info, true
	}
	return shown, listed
}

// lastRow returns when the list last got a row of the incarnation, by now; zero for never.
func (f *formerIncarnation) lastRow(now time.Time, heartbeat time.Duration) time.Time {
	last := now
	if end := f.crashedAt.Add(f.listLag); end.Before(last) {
		last = end
	}
	first := f.bootedAt.Add(firstBeat(f.bootedAt, heartbeat) + f.listLag)
	if last.Before(first) {
		return time.Time{}
	}
	return first.Add(last.Sub(first) / heartbeat * heartbeat)
}

// firstBeat returns how long after its start an incarnation first writes its row: at most
// a heartbeat, which depends on nothing but the time of its start.
func firstBeat(bootedAt time.Time, heartbeat time.Duration) time.Duration {
	if heartbeat < time.Millisecond {
		return 0
	}
	return time.Duration(bootedAt.UnixMilli()%heartbeat.Milliseconds()) * time.Millisecond
}

// Reachable reports whether orders reach the worker: it is up and not
// partitioned.
func (w *TaskWorker) Reachable() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.down && !w.partitioned
}

// SetOrdersLate sets the share, from 0 to 1, of the orders to this worker that are late,
// as CellFaults.OrdersLate does for all workers.
func (w *TaskWorker) SetOrdersLate(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ordersLate = share
}

// SetAdmissionCheck sets whether the worker rejects starts that don't fit its present room.
// A start that exceeds what its owner could know of is a violation all the same.
func (w *TaskWorker) SetAdmissionCheck(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.admissionCheck = on
}

// orderLateness returns the share of the orders that are late.
func (w *TaskWorker) orderLateness() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ordersLate
}

// SetPartitioned starts or ends a network partition, during which the worker's
// tasks continue but no order reaches it.
func (w *TaskWorker) SetPartitioned(partitioned bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.partitioned = partitioned
}

// SetLeaving sets whether the list of workers shows the worker as leaving.
func (w *TaskWorker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.info.Leaving = leaving
}

// Crash stops the worker. Its runs end without being reported, and earlier ends
// that are not acknowledged are lost.
func (w *TaskWorker) Crash(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	for _, run := range w.running {
		run.EndedAt, run.Kind = now, scheduler.EndUnknown
	}
	if !w.down {
		w.former = append(w.former, formerIncarnation{info: w.info, bootedAt: w.bootedAt, crashedAt: now, listLag: w.listLag})
	}
	w.down, w.running, w.unacknowledgedEnds = true, nil, nil
}

// Restart boots a crashed worker as a new incarnation, without the fence, the lease
// and the runs of the previous one.
func (w *TaskWorker) Restart(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.down {
		return
	}
	w.down, w.fence, w.leaseDeadline, w.lastEndNumber = false, 0, time.Time{}, 0
	w.staleThrough = make(map[scheduler.TaskName]scheduler.RunNumber)
	w.bootedAt, w.listLag = now.Truncate(time.Millisecond), w.nextListLag
	w.clockAtBirth = w.nextClockAtBirth
	w.info.BootedAt = w.bootedAt.Add(w.timeOfDayLead.Truncate(time.Millisecond))
}

// Runs returns the records of all runs that were ever started, over all
// incarnations, and the last capacity violation, "" for none.
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

// SetClockRate sets how fast the worker's clock runs, as a share of the true rate. Set it
// before the first order.
func (w *TaskWorker) SetClockRate(rate float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clockRate = rate
}

// SetKillDelay sets how long each run goes on after the end of its lease, or after it was
// stopped, as the worker needs time to kill it. Set it before the first order.
func (w *TaskWorker) SetKillDelay(delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.killDelay = delay
}

// SetTimeOfDayLead sets how far the worker's time of day is ahead of the true one, or
// behind it if lead is negative, when it next restarts. The birth of that incarnation, as the
// list and the reports show it, is off by that and may be earlier than that of the former one.
func (w *TaskWorker) SetTimeOfDayLead(lead time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timeOfDayLead = lead
}

// SetListLag sets how much later than it sends them the list of workers gets the rows of the
// next incarnation. So a row may arrive when the incarnation has ended, also over one of the
// incarnation after it, which stays away until its own next heartbeat.
func (w *TaskWorker) SetListLag(lag time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextListLag = lag
}

// trueBirth returns when the present incarnation started, by the true time.
func (w *TaskWorker) trueBirth() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.bootedAt
}

// SetNextClock sets what the clock of the worker's next incarnation shows when it begins.
func (w *TaskWorker) SetNextClock(shown scheduler.WorkerTime) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nextClockAtBirth = shown
}

// clock returns the worker's own clock, which counts milliseconds since the boot and begins
// with clockAtBirth.
func (w *TaskWorker) clock(now time.Time) scheduler.WorkerTime {
	return w.clockAtBirth + scheduler.WorkerTime(float64(now.Sub(w.bootedAt))*w.clockRate/float64(time.Millisecond))
}

// shownClock returns the worker's own clock for a response.
func (w *TaskWorker) shownClock(now time.Time) scheduler.WorkerTime {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock(now)
}

// trueTime returns how long the worker's clock takes to count a time.
func (w *TaskWorker) trueTime(counted time.Duration) time.Duration {
	return time.Duration(float64(counted) / w.clockRate)
}
