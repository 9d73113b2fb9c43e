package scheduler

import (
	"net/netip"
	"slices"
	"time"

	"kumquatstall/requester"
)

// worker is the owner's view of one worker.
type worker struct {
	info WorkerInfo
	// listed is true if the current list of workers contains the worker.
	listed bool
	// leaseRecorded is true if the committed row of leased workers contains the
	// worker with its home.
	leaseRecorded bool
	// ended is true if the incarnation at the worker's present address has
	// provably ended. Nothing runs there, and no lease is held.
	ended bool
	// inherited is true if a previous owner may have sent the worker orders.
	inherited bool
	// grantedTo is the birth of the incarnation that alone may hold leases of
	// previous owners; zero if it is unknown.
	grantedTo time.Time
	// inheritedUntil is until when the incarnation that was born at inheritedLife may hold leases,
	// as the previous owner has handed it on; zero if it hasn't. boundStored is true if this
	// owner's row for its successor may have the worker: it is granted no lease then.
	inheritedUntil time.Time
	inheritedLife  time.Time
	boundStored    bool
	// boundedFrom is from when on no lease of the current incarnation, whoever granted it,
	// ends later than one that begins then.
	boundedFrom time.Time
	// reported is true if the worker's current incarnation has responded to a
	// poll of this owner.
	reported bool
	// endsListed is true once the current incarnation has responded to this owner
	// without More, so that all that ended there before is known. endsAt is when
	// it last reported an end that was new, or responded for the first time.
	endsListed bool
	endsAt     time.Time
	bootedAt   time.Time
	// followed is true if this owner has observed that the current incarnation
	// replaced another one.
	followed bool
	// birthSeenAt is when bootedAt was first observed, listedBirth the birth in the
	// last reading of the list.
	birthSeenAt time.Time
	listedBirth time.Time
	// former is what was counted of the incarnation that ended last, for the log only.
	former lifeCount
	// heard is true once the worker has told its birth to this owner. home is the
	// address at which it did so last; before that, the one at which a previous owner
	// knew it, or at which it is listed.
	heard bool
	home  netip.AddrPort
	// otherEntry is the last entry of the worker if its birth isn't the one that the
	// worker has told; nil otherwise.
	otherEntry *WorkerInfo
	// lookNow is true if the next poll is to be answered at once, lookElsewhere if it is
	// sent to the other address at which the worker may be.
	lookNow       bool
	lookElsewhere bool
	// generation is part of the fence of new orders. bornFence is the fence
	// from which orders were meant for the worker's current incarnation.
	generation int64
	bornFence  Fence
	runs       map[runKey]*run
	// stepRuns counts the runs of each step, stepOpens, as of the last placement pass, the
	// open starts that may become some.
	stepRuns  map[StepName]int
	stepOpens map[StepName]int
	// underWay counts the starts that are under way (underway.go), members those of gangs.
	underWay, members int
	allocated         requester.Resources
	// reservedForOpen is what the open starts need whose runs were released, as of the
	// last placement pass: the worker's next incarnation may have them already.
	reservedForOpen requester.Resources
	// lasting is the part of allocated that tasks that last occupy.
	lasting requester.Resources
	// clock is a reading of the worker's clock, taken no later than clockAt.
	clock   WorkerTime
	clockAt time.Time
	// leaseDeadline is the latest deadline of a lease that the worker can have
	// been granted, on its own clock.
	leaseDeadline WorkerTime
	// grantedAt is when the last order was issued that granted a lease.
	// answeredPollAt is when the last poll was issued to which the worker has
	// responded with a whole report.
	grantedAt      time.Time
	answeredPollAt time.Time
	// answeredFence is the fence of the last poll to which the present incarnation has responded
	// with a whole report; 0 for none.
	answeredFence Fence
	// answeredAt is when the last poll was issued to which it has responded at all.
	answeredAt time.Time
	// heldBackAt is when acknowledgements were last held back because of mayHaveUnreadEnd,
	// heldEnds how many ends the worker lists meanwhile, 0 if none is held back.
	// listedEnds is how many the last report listed. hidesStart is true if there were more,
	// so that it may not have shown what has become of an open start.
	heldBackAt time.Time
	heldEnds   int
	listedEnds int
	hidesStart bool
	// unreportedSince is the time since which the current incarnation has not
	// reported to this owner: the takeover or the observed restart.
	unreportedSince time.Time
	// appliedEnd is the number of the last ended run that was applied;
	// committedEnd that of the last one whose job's rows are committed, which
	// polls acknowledge.
	appliedEnd   int64
	committedEnd int64
	pendingEnds  []pendingEnd
	// acknowledgedEnd is the highest number that a poll has acknowledged.
	acknowledgedEnd int64
	// confirmedEnd is the highest number in a poll to which the worker has
	// responded.
	confirmedEnd int64
	// unverifiedEnds are the reported ends that have not been compared with the
	// stored rows. violatedEnd is the number of the last one that was to be
	// acknowledged although these did not imply it.
	unverifiedEnds []EndedRun
	violatedEnd    int64
	// withheld is the Withheld of the last report. appliedBeyond are the numbers
	// of the applied ends after it.
	withheld      int64
	appliedBeyond map[int64]bool
	// stops are the runs whose stops wait to be sent, inFlight counts the orders in flight.
	stops    []*run
	inFlight orderCount
	// lastCarrier is the carrier of the worker's last batch of stops, failedCarrier that of the
	// last one without all results, if none has had them since. Until ownUntil the owner sends
	// all its stops itself.
	lastCarrier, failedCarrier requester.EntryID
	ownUntil                   time.Time
	// stopFailed is true if a stop has failed since the last report. stopAgain are the runs in
	// the present report that are to be stopped again.
	stopFailed   bool
	stopAgain    []*run
	pollInFlight bool
	// fencedPoll is true if the last poll was rejected because of its fence. The next
	// one acknowledges nothing, so that it has the latest fence.
	fencedPoll bool
	// nextPollAt is the earliest time of the next poll.
	nextPollAt time.Time
	// unanswered counts consecutive polls and starts without a usable response;
	// the worker is unresponsive unless it is 0.
	unanswered int
	// suspendedUntil is the time until which the worker gets no new tasks,
	// because jobs failed on it in a row or it refused a start.
	suspendedUntil time.Time
	health         health
	// silentAt is when the worker last stopped answering, silence what explains it.
	silentAt time.Time
	silence  silenceCause
	// silenceNoted is true once this silence is noted with the runs that had just
	// started there.
	silenceNoted bool
	// trial is the trial of a task that may crash the worker; nil for none.
	trial *trial
	// reservation is the reservation that includes the worker; nil for none.
	// unreserved is the part of the worker's resources for runs of other steps
	// that last beyond the time at which the reservation is ready.
	reservation *reservation
	unreserved  requester.Resources
	// clearedFor is the step for whose waiting tasks the worker's best-effort
	// runs were stopped; nil for none.
	clearedFor *step
	// sharedWith is the step with a target whose tasks may start beside the worker's
	// best-effort runs; nil for none. filling counts these runs.
	sharedWith *step
	filling    int
	// targeted counts the runs of tasks with a target for their response times.
	targeted int
	// speed is the speed of the worker's tasks at speedAt, relative to the
	// expected one; 0 means that they made no progress.
	speed   float64
	speedAt time.Time
	// unsized counts the runs whose resources are unknown; while there are any,
	// the worker gets no new tasks.
	unsized int
}

// ref identifies the worker's current incarnation.
func (w *worker) ref() WorkerRef {
	return WorkerRef{HostID: w.info.HostID, Address: w.address(), BootedAt: w.bootedAt}
}

// addRun adds a run on the worker.
func (w *worker) addRun(r *run) {
	w.runs[runKey{r.name, r.number}] = r
	w.stepRuns[r.name.StepName]++
	w.allocated = w.allocated.Add(r.need)
	w.countTask(r, 1)
}

// removeRun removes a run from the worker.
func (w *worker) removeRun(r *run) {
	delete(w.runs, runKey{r.name, r.number})
	if w.stepRuns[r.name.StepName]--; w.stepRuns[r.name.StepName] <= 0 {
		delete(w.stepRuns, r.name.StepName)
	}
	w.allocated = w.allocated.Sub(r.need)
	w.countTask(r, -1)
}

// countTask adds to what the worker knows of the kinds of tasks of its runs, or removes it
// with a factor of -1.
func (w *worker) countTask(r *run, factor int) {
	w.lasting = w.lasting.Add(scale(r.lastingNeed(), factor))
	w.filling += factor * r.countFilling()
	if r.task != nil && r.task.step.def.TargetMillis > 0 {
		w.targeted += factor
	}
}

// usable reports whether the worker may get new tasks, leaving aside transient
// conditions.
func (w *worker) usable() bool {
	return w.listed && w.leaseRecorded && w.reported && !w.boundStored && !w.info.Leaving && w.unsized == 0 && w.infoIsCurrent()
}

// known reports whether no run or end of the time before the takeover is unknown on a
// worker that has reported. One that has more ends than a report holds lists them as the
// ones before are acknowledged; if that comes to a stop, since one of them can't be, the
// rest is given up after the time for which a silent worker is waited for. That doesn't
// count while this owner holds the acknowledgements back.
func (w *worker) known(c *Core) bool {
	if !w.reported || w.endsListed {
		return w.reported
	}
	since := w.endsAt
	if w.heldBackAt.After(since) {
		since = w.heldBackAt
	}
	return !c.now.Before(since.Add(c.longestUnreported()))
}

// eligible reports whether the worker may get new tasks now: it is usable, has
// reported within the freshness window, is responsive and not suspended, its
// reports have room for further ends, and its tasks make progress. On probation it
// gets one task at a time.
func (w *worker) eligible(now time.Time) bool {
	return w.usable() && w.unanswered == 0 && now.Sub(w.clockAt) < freshnessWindow && !now.Before(w.suspendedUntil) &&
		max(len(w.pendingEnds), w.heldEnds) < maxKeptEnds && !w.hidesStart && w.currentSpeed(now) > 0 &&
		(!w.health.probation || !w.proving())
}

// maxKeptEnds is the number of ends that wait for their acknowledgement from which
// on a worker gets no new tasks. A worker returns a limited number of ends, and
// those of its present runs are to be among them.
const maxKeptEnds = 250

// available returns the resources that no run occupies, and no open start may.
func (w *worker) available() requester.Resources {
	return w.info.Total.Sub(w.allocated).Sub(w.reservedForOpen)
}

// AssumeUnknownLeases is called instead of RestoreLeasedWorkers if a row of
// leased workers cannot be decoded. Until every lease of a previous owner has
// expired, the row is not replaced, so that a successor finds it as it is, and no
// worker gets new tasks.
func (c *Core) AssumeUnknownLeases() {
	c.rosterParts++
	c.unknownLeases, c.leasesInherited, c.leasedWorkersDirty = true, true, true
}

// RestoreLeasedWorkers adds the workers to which a previous owner may have sent
// orders. It is called for each part of the list.
func (c *Core) RestoreLeasedWorkers(row LeasedWorkersRow) {
	c.rosterParts++
	for _, listed := range row.Workers {
		w := c.addWorker(WorkerInfo{HostID: listed.HostID, Address: listed.Address})
		w.inherited, c.leasesInherited = true, true
		if !w.heard && w.home != listed.Address {
			w.home = listed.Address // the list was read before
		}
		w.leaseRecorded = w.home == listed.Address
	}
}

// addWorker returns the worker with that host ID and adds it if it is unknown.
func (c *Core) addWorker(info WorkerInfo) *worker {
	if w, ok := c.workers[info.HostID]; ok {
		return w
	}
	w := &worker{info: info, home: info.Address, runs: make(map[runKey]*run), stepRuns: make(map[StepName]int), unreportedSince: c.tookOverAt}
	c.observeBirth(w)
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

// SetWorkers replaces the list of workers. An entry may be of another incarnation
// than the one that has reported (birth.go).
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
		if !w.listed || w.entry().Leaving != info.Leaving {
			c.log(LogRecord{Worker: info.HostID, Event: "worker listed", Address: info.Address, BootedAt: info.BootedAt, Why: leavingText(info.Leaving)})
			c.markFreed(w)
			w.nextPollAt = now
		}
		c.observeEntry(w, info)
		w.listed = true
	}
	for _, w := range c.sortedWorkers {
		if w.listed && !listed[w.info.HostID] {
			w.listed = false
			c.log(LogRecord{Worker: w.info.HostID, Event: "worker not listed any more", Address: w.info.Address, BootedAt: w.bootedAt})
		}
	}
	c.removeUnlistedWorkers()
}

// setHome records where a worker is. No task starts at another address before the
// row of leased workers has it: from the row, a later owner knows where the worker's
// last incarnation with tasks was, and that it has ended once another one responds
// there.
func (c *Core) setHome(w *worker, address netip.AddrPort) {
	if address != w.home {
		w.home, w.leaseRecorded = address, false
		c.leasedWorkersDirty = true
	}
}

// setInfo replaces the worker's info. The list repeats the remaining time of a
// leaving worker unchanged, so LeavesAt stays as it was computed when the
// notice was first observed.
func (w *worker) setInfo(info WorkerInfo) {
	if previous := w.info; previous.Leaving && info.Leaving && previous.BootedAt.Equal(info.BootedAt) && !previous.LeavesAt.IsZero() && previous.LeavesAt.Before(info.LeavesAt) {
		info.LeavesAt = previous.LeavesAt
	}
	w.info = info
}

func leavingText(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "ready"
}

// removeUnlistedWorkers removes the workers that are not listed, have no run, no open
// start and no poll in flight, and whose leases have expired.
func (c *Core) removeUnlistedWorkers() {
	kept := c.sortedWorkers[:0]
	for _, w := range c.sortedWorkers {
		if !w.listed && len(w.runs) == 0 && !w.pollInFlight && w.inFlight == (orderCount{}) && !c.now.Before(w.leaseExpiry(c)) && !c.namedByOpenStart(w) && !c.unknownStartOpen(w) {
			delete(c.workers, w.info.HostID)
			c.leasedWorkersDirty = true
			continue
		}
		kept = append(kept, w)
	}
	c.sortedWorkers = kept
}

// reborn records that a worker is in another incarnation than before. The runs that the
// previous one has reported have ended. The new one may have executed all other starts, or
// may still do so. Of a worker that has not told its birth before, only the list knew the
// previous incarnation; it may have ended long ago.
func (c *Core) reborn(w *worker, bootedAt time.Time, shownBy string) {
	c.noteReborn(w, bootedAt, shownBy)
	w.bootedAt, w.birthSeenAt = bootedAt, c.now
	c.withdrawFrom(w, "its worker restarted")
	if w.toldBirth() {
		w.followed = true
		c.recordCrash(w)
	}
	c.observeBirth(w)
	w.appliedEnd, w.committedEnd, w.acknowledgedEnd, w.pendingEnds = 0, 0, 0, nil
	w.unverifiedEnds, w.violatedEnd, w.confirmedEnd = nil, 0, 0
	w.withheld, w.appliedBeyond = 0, nil
	w.clock, w.leaseDeadline, w.answeredFence = 0, 0, 0
	w.grantedTo, c.birthsDirty = time.Time{}, true
	w.inheritedUntil = time.Time{}
	w.clockAt = time.Time{}
	w.reported, w.endsListed, w.ended, w.fencedPoll = false, false, false, false
	w.unreportedSince = c.now
	// A poll in flight was meant for the previous incarnation.
	w.pollInFlight, w.nextPollAt = false, c.now
	w.health = health{}
	w.speedAt = time.Time{}
	for _, r := range w.sortedRuns() {
		if r.reported {
			c.stats.Lapsed++
			c.releaseLost(r, "its worker restarted")
			continue
		}
		if r.confirmed {
			r.confirmed = false
			c.setOpen(r, c.now)
		}
		if r.phase != runStopping {
			r.phase = runUnacknowledged
		}
		r.acknowledgedAt, r.barredAt, r.stopInFlight = time.Time{}, time.Time{}, false
	}
}
