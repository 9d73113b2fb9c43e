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
	rostered bool
	// fromBefore tells that an earlier owner may have given it orders.
	fromBefore bool
	// answered tells that this life has answered under this owner's fence.
	answered bool
	born     time.Time
	runs     map[runKey]*run
	used     requester.Resources
	// clock is the worker's clock as it stood no earlier than clockAt.
	clock   WorkerTime
	clockAt time.Time
	// granted is the latest lease that can have been given out, by the
	// worker's clock.
	granted WorkerTime
	// unknownSince is from when on the worker hasn't answered, in this life
	// and under this owner.
	unknownSince time.Time
	// seen is the number of the last end taken in; confirmed of the last one
	// whose job's rows are written.
	seen      int64
	confirmed int64
	pending   []pendingEnd
	lookOpen  bool
	// lookAfter is before when no look is sent.
	lookAfter time.Time
	// silent counts looks and orders in a row without an answer.
	silent int
	// restUntil keeps a worker that fails what it starts from getting more.
	restUntil time.Time
	health    health
	// held is what the worker is held for; nil for nothing. spare is what
	// others may take of it beyond the time at which that is ready.
	held  *reservation
	spare requester.Resources
	// speed is the share of the expected speed at which its tasks worked at
	// speedAt; 0 means that they stood still.
	speed   float64
	speedAt time.Time
	// unsized counts the runs of unknown size; while there are any, nothing
	// more is started there.
	unsized int
}

func (w *worker) ref() WorkerRef {
	return WorkerRef{HostID: w.info.HostID, Address: w.info.Address, Born: w.born}
}

// usable reports whether the worker may get new tasks at all.
func (w *worker) usable() bool {
	return w.listed && w.rostered && w.answered && !w.info.Leaving && w.unsized == 0
}

// takes reports whether the worker may get new tasks now.
func (w *worker) takes(now time.Time) bool {
	return w.usable() && w.silent == 0 && now.Sub(w.clockAt) < freshFor && !now.Before(w.restUntil) &&
		w.currentSpeed(now) > 0 &&
		(!w.health.probation || len(w.runs) == 0)
}

func (w *worker) available() requester.Resources { return w.info.Total.Sub(w.used) }

// clockAtMost returns the worker's clock at now, or somewhat more.
func (w *worker) clockAtMost(now time.Time) WorkerTime {
	return w.clock + WorkerTime(now.Sub(w.clockAt)/time.Millisecond)
}

// lapseAt returns when all leases granted to the worker must have ended.
func (w *worker) lapseAt(c *Core) time.Time {
	if !w.answered {
		longest := c.options.EarlierTerm + time.Duration(float64(c.options.LongestLease)/clockSlack)
		return w.unknownSince.Add(longest + lapseMargin)
	}
	left := time.Duration(w.granted-w.clock) * time.Millisecond
	return w.clockAt.Add(time.Duration(float64(left)/clockSlack) + lapseMargin)
}

// grant returns the deadline for an order given now; 0 grants nothing. A
// worker that doesn't answer gets no more time: its tasks are to start again
// elsewhere once its lease has lapsed.
func (c *Core) grant(w *worker) WorkerTime {
	if !w.answered || w.silent > 0 {
		return 0
	}
	deadline := w.clockAtMost(c.now) + WorkerTime(c.options.LeaseTerm/time.Millisecond)
	w.granted = max(w.granted, deadline)
	return deadline
}

// SetRoster takes in the workers that an earlier owner may have given orders.
func (c *Core) SetRoster(row RosterRow) {
	for _, listed := range row.Workers {
		w := c.addWorker(WorkerInfo{HostID: listed.HostID, Address: listed.Address})
		w.fromBefore = true
		w.rostered = true
	}
}

func (c *Core) addWorker(info WorkerInfo) *worker {
	if w, ok := c.workers[info.HostID]; ok {
		return w
	}
	w := &worker{info: info, runs: make(map[runKey]*run), unknownSince: c.tookOver}
	c.workers[info.HostID] = w
	c.order = append(c.order, w)
	slices.SortFunc(c.order, func(a, b *worker) int { return compareHosts(a.info.HostID, b.info.HostID) })
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
			c.rosterDirty = true
		}
		if !w.listed || w.info.Leaving != info.Leaving {
			c.note(Note{Worker: info.HostID, Event: "worker listed", Why: leavingWord(info.Leaving)})
			c.markFreed(w)
			w.lookAfter = now
		}
		w.setInfo(info)
		w.listed = true
		c.noteBorn(w, info.Born)
	}
	for _, w := range c.order {
		if w.listed && !listed[w.info.HostID] {
			w.listed = false
			c.note(Note{Worker: w.info.HostID, Event: "worker not listed any more"})
		}
	}
	c.dropWorkers()
}

// setInfo takes over what the list says. A notice is as old as when it was seen
// first: the list repeats it unchanged.
func (w *worker) setInfo(info WorkerInfo) {
	if before := w.info; before.Leaving && info.Leaving && !before.LeavesAt.IsZero() && before.LeavesAt.Before(info.LeavesAt) {
		info.LeavesAt = before.LeavesAt
	}
	w.info = info
}

func leavingWord(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "ready"
}

// dropWorkers forgets the workers that are not listed and hold nothing.
func (c *Core) dropWorkers() {
	kept := c.order[:0]
	for _, w := range c.order {
		if !w.listed && len(w.runs) == 0 && !w.lookOpen && !c.now.Before(w.lapseAt(c)) {
			delete(c.workers, w.info.HostID)
			c.rosterDirty = true
			continue
		}
		kept = append(kept, w)
	}
	c.order = kept
}

// noteBorn takes in that a life of a worker began at born. What ran in an
// earlier life is gone, but for starts without an answer, which the new life
// may still carry out.
func (c *Core) noteBorn(w *worker, born time.Time) {
	if born.IsZero() || !born.After(w.born) {
		return
	}
	if w.born.IsZero() {
		w.born = born
		return
	}
	w.born = born
	c.note(Note{Worker: w.info.HostID, Event: "worker reborn"})
	w.seen, w.confirmed, w.pending = 0, 0, nil
	w.clock, w.granted = 0, 0
	w.clockAt = time.Time{}
	w.answered = false
	w.unknownSince = c.now
	w.health = health{}
	w.speedAt = time.Time{}
	for _, r := range w.sortedRuns() {
		if r.phase == runStarting || r.phase == runDoubtful || r.phase == runStopping && r.presentAt.IsZero() {
			r.phase = runDoubtful
			r.stopOpen = false
			continue
		}
		c.stats.Lapsed++
		c.lose(r, "its worker was reborn")
	}
}
