package scheduler

import (
	"slices"
	"time"

	"kumquatstall/requester"
)

// worker is one worker as the owner sees it.
type worker struct {
	info WorkerInfo
	// listed tells that the worker is on the list now.
	listed bool
	// rostered tells that the stored roster names the worker.
	leaseRecorded bool
	// inherited tells that an earlier owner may have given it orders.
	inherited bool
	// answered tells that this life has answered under this owner's fence.
	reported  bool
	bootedAt  time.Time
	runs      map[runKey]*run
	allocated requester.Resources
	// clock is the worker's clock as it stood no earlier than clockAt.
	clock   WorkerTime
	clockAt time.Time
	// granted is the latest lease that can have been given out, by the
	// worker's clock.
	leaseDeadline WorkerTime
	// unreportedSince is from when on the worker hasn't answered, in this life
	// and under this owner.
	unreportedSince time.Time
	// seen is the number of the last end taken in; confirmed of the last one
	// whose job's rows are written.
	appliedEnd   int64
	committedEnd int64
	pendingEnds  []pendingEnd
	pollInFlight bool
	// nextPollAt is before when no look is sent.
	nextPollAt time.Time
	// silent counts looks and orders in a row without an answer.
	unanswered int
	// suspendedUntil keeps a worker that fails what it starts from getting more.
	suspendedUntil time.Time
	health         health
	// held is what the worker is held for; nil for nothing. spare is what
	// others may take of it beyond the time at which that is ready.
	reservation *hold
	unreserved  requester.Resources
	// speed is the share of the expected speed at which its tasks worked at
	// speedAt; 0 means that they stood still.
	speed   float64
	speedAt time.Time
	// unsized counts the runs of unknown size; while there are any, nothing
	// more is started there.
	unsized int
}

func (w *worker) ref() WorkerRef {
	return WorkerRef{HostID: w.info.HostID, Address: w.info.Address, BootedAt: w.bootedAt}
}

// usable reports whether the worker may get new tasks at all.
func (w *worker) usable() bool {
	return w.listed && w.leaseRecorded && w.reported && !w.info.Leaving && w.unsized == 0
}

// takes reports whether the worker may get new tasks now.
func (w *worker) eligible(now time.Time) bool {
	return w.usable() && w.unanswered == 0 && now.Sub(w.clockAt) < freshnessWindow && !now.Before(w.suspendedUntil) &&
		w.speedNow(now) > 0 &&
		(!w.health.probation || len(w.runs) == 0)
}

func (w *worker) available() requester.Resources { return w.info.Total.Sub(w.allocated) }

// clockUpperBound returns the worker's clock at now, or somewhat more.
func (w *worker) clockUpperBound(now time.Time) WorkerTime {
	return w.clock + WorkerTime(now.Sub(w.clockAt)/time.Millisecond)
}

// leaseExpiry returns when all leases granted to the worker must have ended.
func (w *worker) leaseExpiry(c *Core) time.Time {
	if !w.reported {
		longest := c.options.PreviousOwnerTerm + time.Duration(float64(c.options.MaxLease)/minClockRate)
		return w.unreportedSince.Add(longest + expiryMargin)
	}
	left := time.Duration(w.leaseDeadline-w.clock) * time.Millisecond
	return w.clockAt.Add(time.Duration(float64(left)/minClockRate) + expiryMargin)
}

// grant returns the deadline for an order given now; 0 grants nothing. A
// worker that doesn't answer gets no more time: its tasks are to start again
// elsewhere once its lease has lapsed.
func (c *Core) grantLease(w *worker) WorkerTime {
	if !w.reported || w.unanswered > 0 {
		return 0
	}
	deadline := w.clockUpperBound(c.now) + WorkerTime(c.options.LeaseTerm/time.Millisecond)
	w.leaseDeadline = max(w.leaseDeadline, deadline)
	return deadline
}

// RestoreLeasedWorkers takes in the workers that an earlier owner may have given orders.
func (c *Core) RestoreLeasedWorkers(row LeasedWorkersRow) {
	for _, listed := range row.Workers {
		w := c.addWorker(WorkerInfo{HostID: listed.HostID, Address: listed.Address})
		w.inherited = true
		w.leaseRecorded = true
	}
}

func (c *Core) addWorker(info WorkerInfo) *worker {
	if w, ok := c.workers[info.HostID]; ok {
		return w
	}
	w := &worker{info: info, runs: make(map[runKey]*run), unreportedSince: c.tookOverAt}
	c.workers[info.HostID] = w
	c.sortedWorkers = append(c.sortedWorkers, w)
	slices.SortFunc(c.sortedWorkers, func(a, b *worker) int { return compareHosts(a.info.HostID, b.info.HostID) })
	return w
}

func compareHosts(a, b requester.HostID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// SetWorkers replaces the list of workers.
func (c *Core) SetWorkers(now time.Time, infos []WorkerInfo) {
	c.now = now
	listed := make(map[requester.HostID]bool, len(infos))
	for _, info := range infos {
		listed[info.HostID] = true
		w, known := c.workers[info.HostID]
		if !known {
			w = c.addWorker(info)
			c.leasedWorkersDirty = true
		}
		if !w.listed || w.info.Leaving != info.Leaving {
			c.log(LogRecord{Worker: info.HostID, Event: "worker listed", Why: leavingText(info.Leaving)})
			c.markFreed(w)
			w.nextPollAt = now
		}
		w.setInfo(info)
		w.listed = true
		c.updateIncarnation(w, info.BootedAt)
	}
	for _, w := range c.sortedWorkers {
		if w.listed && !listed[w.info.HostID] {
			w.listed = false
			c.log(LogRecord{Worker: w.info.HostID, Event: "worker not listed any more"})
		}
	}
	c.removeUnlistedWorkers()
}

// setInfo takes over what the list says. A notice is as old as when it was seen
// first: the list repeats it unchanged.
func (w *worker) setInfo(info WorkerInfo) {
	if before := w.info; before.Leaving && info.Leaving && !before.LeavesAt.IsZero() && before.LeavesAt.Before(info.LeavesAt) {
		info.LeavesAt = before.LeavesAt
	}
	w.info = info
}

func leavingText(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "ready"
}

// removeUnlistedWorkers forgets the workers that are not listed and hold nothing.
func (c *Core) removeUnlistedWorkers() {
	kept := c.sortedWorkers[:0]
	for _, w := range c.sortedWorkers {
		if !w.listed && len(w.runs) == 0 && !w.pollInFlight && !c.now.Before(w.leaseExpiry(c)) {
			delete(c.workers, w.info.HostID)
			c.leasedWorkersDirty = true
			continue
		}
		kept = append(kept, w)
	}
	c.sortedWorkers = kept
}

// updateIncarnation takes in that a life of a worker began at born. What ran in an
// earlier life is gone, but for starts without an answer, which the new life
// may still carry out.
func (c *Core) updateIncarnation(w *worker, born time.Time) {
	if born.IsZero() || !born.After(w.bootedAt) {
		return
	}
	if w.bootedAt.IsZero() {
		w.bootedAt = born
		return
	}
	w.bootedAt = born
	c.log(LogRecord{Worker: w.info.HostID, Event: "worker reborn"})
	w.appliedEnd, w.committedEnd, w.pendingEnds = 0, 0, nil
	w.clock, w.leaseDeadline = 0, 0
	w.clockAt = time.Time{}
	w.reported = false
	w.unreportedSince = c.now
	w.health = health{}
	w.speedAt = time.Time{}
	for _, r := range w.sortedRuns() {
		if r.phase == runStarting || r.phase == runUnacknowledged || r.phase == runStopping && r.acknowledgedAt.IsZero() {
			r.phase = runUnacknowledged
			r.stopInFlight = false
			continue
		}
		c.stats.Lapsed++
		c.releaseLost(r, "its worker was reborn")
	}
}
