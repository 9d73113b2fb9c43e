package scheduler

import (
	"slices"
	"strconv"
	"time"

	"kumquatstall/requester"
)

// A gang starts all of its tasks at once, so under load it may starve while
// small tasks take each piece of capacity that becomes free. The workers that
// are expected to have capacity soonest are therefore reserved for the
// highest-ranking waiting gangs. Until a reservation is ready, steps that rank
// after the gang backfill: they start tasks there only if these should end
// before that time or fit beside the gang.

// reservation is capacity on some workers that is kept for one gang.
type reservation struct {
	step *step
	// readyAt is when enough of the workers are expected to have capacity.
	// plannedAt is that time as expected when the workers were chosen.
	readyAt   time.Time
	plannedAt time.Time
	workers   []reservedWorker
	// readySince is when there was first capacity for the gang; zero while
	// there is not enough.
	readySince time.Time
	// milliCores is the reserved processor capacity.
	milliCores int64
}

// reservedWorker is a worker of a reservation and the number of tasks for which
// capacity is reserved there.
type reservedWorker struct {
	worker *worker
	slots  int
}

// Bounds on reservations.
const (
	// reservationInterval is the least time between two updates of the
	// reservations.
	reservationInterval = 100 * time.Millisecond
	// maxReservedShare is the upper bound for the reserved share of the
	// processors of all eligible workers.
	maxReservedShare = 0.2
	// reservationWindow is the time within which capacity for a gang must be
	// expected for workers to be reserved. If it is expected more than
	// maxReservationDelay later than planned, other workers are chosen.
	reservationWindow   = 5 * time.Second
	maxReservationDelay = 700 * time.Millisecond
	// reservationFactor is the ratio of the slots reserved for a gang to its
	// tasks. It exceeds 1 because some slots become free later than expected.
	reservationFactor = 1.15
	// overdueShare is the ratio of the expected remaining time of an overdue
	// run to the time that it has taken so far.
	overdueShare = 0.25
	// reservedPenalty applies to workers that are reserved for other steps.
	reservedPenalty = 2
	// reservationTimeout is how long, in addition to the time of an advice
	// request, workers stay reserved for a gang that does not start although
	// its capacity is ready. After that, none are reserved for it for
	// reservationCoolDown.
	reservationTimeout  = 1500 * time.Millisecond
	reservationCoolDown = 3 * time.Second
	// minTicketValidity is how long tickets should remain valid from the time
	// at which a gang's capacity is ready.
	minTicketValidity = 300 * time.Millisecond
)

// updateReservations releases the reservations that are no longer useful and
// reserves workers for the highest-ranking gangs without a reservation, up to
// maxReservedShare. c.open must be sorted by rank.
func (c *Core) updateReservations() {
	if c.now.Sub(c.reservationsUpdatedAt) < reservationInterval {
		return
	}
	c.reservationsUpdatedAt = c.now
	budget := int64(maxReservedShare * float64(c.eligibleMilliCores()))
	for _, res := range slices.Clone(c.reservations) {
		if !c.needsReservation(res.step) || !c.refresh(res) {
			c.releaseReservation(res)
			continue
		}
		budget -= res.milliCores
	}
	for _, s := range c.open {
		if budget <= 0 || s.rank.tier > 1 {
			return
		}
		if s.reservation != nil || !c.needsReservation(s) {
			continue
		}
		if res := c.planReservation(s); res != nil && res.milliCores <= budget {
			budget -= res.milliCores
			c.reserve(res)
		}
	}
}

// eligibleMilliCores returns the total processor capacity of the eligible
// workers.
func (c *Core) eligibleMilliCores() int64 {
	var total int64
	for _, w := range c.eligible {
		total += w.info.Total.MilliCores
	}
	return total
}

// needsReservation reports whether a step is a gang that could start but for
// lack of capacity, and is not in its cool-down. One that waits for a trial, or for starts to be
// sent, had room when it was last considered.
func (c *Core) needsReservation(s *step) bool {
	if !s.open || !s.def.Gang || s.def.SameRack || s.waiting < s.def.Count || c.now.Before(s.reserveAfter) || s.wait.reason == WaitTrial || s.wait.reason == WaitOpenStart || s.wait.reason == WaitStarts {
		return false
	}
	advised := s.job().spec.Advice == nil || len(s.advice.tickets) > 0
	return advised && c.startRecorded(s) && c.runsKnown(s)
}

// refresh recalculates when the workers of a reservation have capacity, and
// reports whether the reservation is still useful. One that has timed out puts
// its step into cool-down.
func (c *Core) refresh(res *reservation) bool {
	var future []futureSlot
	for _, reserved := range res.workers {
		if reserved.worker.eligible(c.now) {
			future = c.appendFutureSlots(future, res.step, reserved.worker, reserved.slots)
		}
	}
	future = earliestSlots(future, res.step.def.Count)
	if future == nil {
		return false
	}
	res.setReady(c.now, future[len(future)-1].at)
	if res.delayed(c.now) {
		return false
	}
	if res.timedOut(c.now) {
		res.step.reserveAfter = c.now.Add(reservationCoolDown)
		return false
	}
	res.updateUnreserved(c.now)
	return true
}

// setReady records when capacity is expected, and when there was first enough.
func (res *reservation) setReady(now, at time.Time) {
	res.readyAt = at
	switch {
	case at.After(now):
		res.readySince = time.Time{}
	case res.readySince.IsZero():
		res.readySince = now
	}
}

// delayed reports whether the capacity is expected more than
// maxReservationDelay later than planned.
func (res *reservation) delayed(now time.Time) bool {
	return res.readyAt.After(now) && res.readyAt.After(res.plannedAt.Add(maxReservationDelay))
}

// timedOut reports whether the gang has not started although there has been
// capacity for longer than reservationTimeout and the time of an advice
// request, so that its tickets could have been renewed.
func (res *reservation) timedOut(now time.Time) bool {
	return !res.readySince.IsZero() && now.Sub(res.readySince) > reservationTimeout+res.step.job().spec.adviceTime()
}

// releaseReservation ends a reservation and opens its workers to other steps.
func (c *Core) releaseReservation(res *reservation) {
	res.step.reservation = nil
	for _, reserved := range res.workers {
		reserved.worker.reservation = nil
		c.markFreed(reserved.worker)
	}
	if i := slices.Index(c.reservations, res); i >= 0 {
		c.reservations = slices.Delete(c.reservations, i, i+1)
	}
}

// reserve reserves the workers of a planned reservation.
func (c *Core) reserve(res *reservation) {
	res.step.reservation = res
	for _, reserved := range res.workers {
		reserved.worker.reservation = res
	}
	res.updateUnreserved(c.now)
	c.reservations = append(c.reservations, res)
	c.stats.Holds++
	c.log(LogRecord{
		Job: res.step.job().name(), Event: "workers held for a gang",
		Why: strconv.Itoa(len(res.workers)) + " workers, ready in " + res.readyAt.Sub(c.now).Truncate(time.Millisecond).String(),
	})
}

// updateUnreserved recalculates the unreserved resources of the reserved
// workers: those that neither the gang nor runs lasting beyond readyAt need.
func (res *reservation) updateUnreserved(now time.Time) {
	for _, reserved := range res.workers {
		w := reserved.worker
		w.unreserved = w.info.Total.Sub(w.usedAfter(now, res.readyAt)).Sub(scale(res.step.def.allocation(), reserved.slots))
	}
}

// ticketsToRenew returns the workers of the step's reservation whose tickets
// must be renewed now to be valid when the capacity is ready. It returns none
// while a renewal would come too early.
func (c *Core) ticketsToRenew(s *step) []requester.HostID {
	res := s.reservation
	if res == nil {
		return nil
	}
	requestTime := s.job().spec.Advice.duration(len(res.workers))
	if c.now.Add(requestTime + minTicketValidity).Before(res.readyAt) {
		return nil
	}
	expectedStart := res.readyAt
	if expectedStart.Before(c.now) {
		expectedStart = c.now
	}
	var ids []requester.HostID
	for _, reserved := range res.workers {
		id := reserved.worker.info.HostID
		if _, valid := s.advice.validTicket(reserved.worker, expectedStart.Add(minTicketValidity)); !valid && !s.advice.requested[id] {
			ids = append(ids, id)
		}
	}
	return ids[:min(len(ids), maxAdviceWorkers)]
}

// futureSlot is capacity for one more task on a worker, expected from a time
// on.
type futureSlot struct {
	at     time.Time
	worker *worker
}

// planReservation chooses the workers that are expected to have capacity for a
// gang soonest. It returns nil if that is not within reservationWindow.
func (c *Core) planReservation(s *step) *reservation {
	var future []futureSlot
	for _, w := range c.allowedWorkers(s) {
		if w.reservation != nil || !c.compatible(s, w) {
			continue
		}
		future = c.appendFutureSlots(future, s, w, s.def.Count)
	}
	count := s.def.Count
	ready := earliestSlots(future, count)
	if ready == nil {
		return nil
	}
	res := &reservation{step: s, readyAt: ready[count-1].at, plannedAt: ready[count-1].at}
	future = future[:min(len(future), int(reservationFactor*float64(count)))]
	indexes := make(map[*worker]int, count)
	for _, slot := range future {
		index, ok := indexes[slot.worker]
		if !ok {
			index = len(res.workers)
			indexes[slot.worker] = index
			res.workers = append(res.workers, reservedWorker{worker: slot.worker})
		}
		res.workers[index].slots++
	}
	res.milliCores = int64(len(future)) * s.def.allocation().MilliCores
	return res
}

// earliestSlots sorts slots by time and returns the first count of them, or nil
// if there are fewer.
func earliestSlots(future []futureSlot, count int) []futureSlot {
	slices.SortStableFunc(future, func(a, b futureSlot) int { return a.at.Compare(b.at) })
	if len(future) < count {
		return nil
	}
	return future[:count]
}

// appendFutureSlots appends the expected slots on a worker for up to limit
// tasks of a step, within reservationWindow.
func (c *Core) appendFutureSlots(future []futureSlot, s *step, w *worker, limit int) []futureSlot {
	limit = min(limit, s.taskLimit(w))
	type ending struct {
		at   time.Time
		need requester.Resources
	}
	endings := make([]ending, 0, len(w.runs))
	for _, r := range w.runs {
		endings = append(endings, ending{r.projectedEnd(c.now), r.need})
	}
	slices.SortFunc(endings, func(a, b ending) int { return a.at.Compare(b.at) })
	available, at, slots := w.available(), c.now, 0
	for next := 0; ; next++ {
		for fit := slotsIn(available, s.def.allocation(), limit); slots < fit; slots++ {
			future = append(future, futureSlot{at, w})
		}
		if next == len(endings) || slots == limit || endings[next].at.Sub(c.now) > reservationWindow {
			return future
		}
		available = available.Add(endings[next].need)
		at = endings[next].at
	}
}

// projectedEnd returns when a run is expected to end. A member of a gang that
// has done its work ends with the last member. The remaining time of an overdue
// run is extrapolated by overdueShare.
func (r *run) projectedEnd(now time.Time) time.Time {
	end := r.expectedEnd
	if r.task != nil && r.task.step.def.Gang && r.progress.percent >= completePercent {
		end = r.task.step.gangEnd(r.number)
	}
	if now.Before(end) {
		return end
	}
	return now.Add(time.Duration(overdueShare * float64(now.Sub(r.startedAt))))
}

// gangEnd returns when the last member of a gang's run is expected to have done
// its work.
func (s *step) gangEnd(number RunNumber) time.Time {
	var end time.Time
	for member := range s.runsOf(number) {
		end = latest(end, member.expectedEnd)
	}
	return end
}

// usedAfter returns the resources of the runs on a worker that are expected to
// last beyond a time.
func (w *worker) usedAfter(now, until time.Time) requester.Resources {
	var taken requester.Resources
	for _, r := range w.runs {
		if r.projectedEnd(now).After(until) {
			taken = taken.Add(r.need)
		}
	}
	return taken
}

func scale(need requester.Resources, count int) requester.Resources {
	return requester.Resources{
		MilliCores:   need.MilliCores * int64(count),
		MemoryMB:     need.MemoryMB * int64(count),
		Accelerators: need.Accelerators * int64(count),
	}
}

// reservedAheadOf reports whether the worker is reserved for another step that
// ranks before s.
func (w *worker) reservedAheadOf(s *step) bool {
	return w.reservation != nil && w.reservation.step != s && w.reservation.step.rank.compare(s.rank) < 0
}

// availableFor returns the resources of a worker that a task of the step may
// occupy. On a worker reserved for a step that ranks before, these are only the
// unreserved ones, unless the task should end before the reservation is ready.
func (c *Core) availableFor(s *step, w *worker) requester.Resources {
	available := w.available()
	if !w.reservedAheadOf(s) || !c.outlasts(s, w.reservation) {
		return available
	}
	return requester.Resources{
		MilliCores:   min(available.MilliCores, w.unreserved.MilliCores),
		MemoryMB:     min(available.MemoryMB, w.unreserved.MemoryMB),
		Accelerators: min(available.Accelerators, w.unreserved.Accelerators),
	}
}

// outlasts reports whether a task of the step that starts now should last
// beyond the time at which a reservation is ready.
func (c *Core) outlasts(s *step, res *reservation) bool {
	if s.def.LongRunning {
		return true
	}
	return c.now.Add(s.expectedDuration()).After(res.readyAt)
}

// consumeUnreserved subtracts a task that starts on a reserved worker from the
// unreserved resources there, if it should outlast the reservation.
func (c *Core) consumeUnreserved(s *step, w *worker) {
	if w.reservation != nil && w.reservation.step != s && c.outlasts(s, w.reservation) {
		w.unreserved = w.unreserved.Sub(s.def.allocation())
	}
}
