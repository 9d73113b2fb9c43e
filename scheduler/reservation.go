package scheduler

import (
	"slices"
	"strconv"
	"time"

	"kumquatstall/requester"
)

// A gang starts whole or not at all, so under load it may wait for ever while
// small tasks take each piece of room that comes free. For the most urgent
// gangs that wait, the workers that will soonest have room for them are held:
// until that time, other steps start there only what should have ended by
// then, or what fits beside the gang.

// hold is what is kept free on some workers for one gang.
type reservation struct {
	step *step
	// readyAt is when enough of the workers should have room, plannedAt what
	// that was when they were chosen.
	readyAt   time.Time
	plannedAt time.Time
	// parts are the workers, and what is kept there.
	workers []reservedWorker
	// readySince is from when on there has been room; zero before.
	readySince time.Time
	// milliCores is what is kept in all.
	milliCores int64
}

// reservedWorker is a worker of a hold.
type reservedWorker struct {
	worker *worker
	slots  int
}

// Bounds of holds.
const (
	// reservationInterval separates calculations of what is held.
	reservationInterval = 100 * time.Millisecond
	// maxReservedShare bounds what is held of all processors.
	maxReservedShare = 0.2
	// reservationWindow is how far ahead a gang's room may lie, maxReservationDelay by how much
	// it may come later than planned before other workers are chosen.
	reservationWindow   = 5 * time.Second
	maxReservationDelay = 700 * time.Millisecond
	// reservationFactor times a gang's tasks are the slots kept for it: some come
	// later than they should.
	reservationFactor = 1.15
	// overdueShare of the time that a run has taken so far is what is left
	// of one that should have ended already.
	overdueShare = 0.25
	// reservedPenalty prefers any worker that is not held for others.
	reservedPenalty = 2
	// reservationTimeout is for how long, beyond the time of a question for advice, a
	// gang may not start though its room is ready; after that it holds no
	// workers for reservationCooldown.
	reservationTimeout  = 1500 * time.Millisecond
	reservationCooldown = 3 * time.Second
	// minTicketValidity is for how long tickets should be good once a gang's room is
	// ready.
	minTicketValidity = 300 * time.Millisecond
)

// updateReservations calculates anew for which gangs workers are held. The open steps
// are in order.
func (c *Core) updateReservations() {
	if c.now.Sub(c.heldAt) < reservationInterval {
		return
	}
	c.heldAt = c.now
	left := int64(maxReservedShare * float64(c.availableMilliCores()))
	for _, h := range slices.Clone(c.holds) {
		if !c.needsReservation(h.step) || !c.refresh(h) {
			c.releaseReservation(h)
			continue
		}
		left -= h.milliCores
	}
	for _, s := range c.open {
		if left <= 0 || s.rank.tier > 1 {
			return
		}
		if s.hold != nil || !c.needsReservation(s) {
			continue
		}
		if h := c.planReservation(s); h != nil && h.milliCores <= left {
			left -= h.milliCores
			c.reserve(h)
		}
	}
}

// availableMilliCores is what the workers that take tasks have of processors.
func (c *Core) availableMilliCores() int64 {
	var total int64
	for _, w := range c.takers {
		total += w.info.Total.MilliCores
	}
	return total
}

// needsReservation reports whether a step is a gang that waits for nothing but room.
func (c *Core) needsReservation(s *step) bool {
	if !s.open || !s.def.Gang || s.def.SameRack || s.waiting < len(s.tasks) || c.now.Before(s.holdAfter) {
		return false
	}
	advised := s.job().spec.Advice == nil || len(s.advice.tickets) > 0
	return advised && c.mayBegin(s) && c.runsKnown(s)
}

// refresh calculates anew when a hold's workers have room, and reports whether
// they are still worth holding.
func (c *Core) refresh(h *reservation) bool {
	var openings []futureSlot
	for _, part := range h.workers {
		if part.worker.takes(c.now) {
			openings = c.appendFutureSlots(openings, h.step, part.worker, part.slots)
		}
	}
	openings = earliestSlots(openings, len(h.step.tasks))
	if openings == nil {
		return false
	}
	h.setReady(c.now, openings[len(openings)-1].at)
	if h.delayed(c.now) {
		return false
	}
	if h.timedOut(c.now) {
		h.step.holdAfter = c.now.Add(reservationCooldown)
		return false
	}
	h.updateSpare(c.now)
	return true
}

// setReady notes when there should be room, and since when there is.
func (h *reservation) setReady(now, at time.Time) {
	h.readyAt = at
	switch {
	case at.After(now):
		h.readySince = time.Time{}
	case h.readySince.IsZero():
		h.readySince = now
	}
}

// slipped reports whether room comes much later than planned.
func (h *reservation) delayed(now time.Time) bool {
	return h.readyAt.After(now) && h.readyAt.After(h.plannedAt.Add(maxReservationDelay))
}

// timedOut reports whether the gang hasn't started though there has been
// room for as long as renewing its tickets may take.
func (h *reservation) timedOut(now time.Time) bool {
	return !h.readySince.IsZero() && now.Sub(h.readySince) > reservationTimeout+h.step.job().spec.adviceTime()
}

// releaseReservation gives a hold up.
func (c *Core) releaseReservation(h *reservation) {
	h.step.hold = nil
	for _, part := range h.workers {
		part.worker.held = nil
		c.markFreed(part.worker)
	}
	if i := slices.Index(c.holds, h); i >= 0 {
		c.holds = slices.Delete(c.holds, i, i+1)
	}
}

func (c *Core) reserve(h *reservation) {
	h.step.hold = h
	for _, part := range h.workers {
		part.worker.held = h
	}
	h.updateSpare(c.now)
	c.holds = append(c.holds, h)
	c.stats.Holds++
	c.note(Note{
		Job: h.step.job().name(), Event: "workers held for a gang",
		Why: strconv.Itoa(len(h.workers)) + " workers, ready in " + h.readyAt.Sub(c.now).Truncate(time.Millisecond).String(),
	})
}

// keep calculates what others may take of the workers.
func (h *reservation) updateSpare(now time.Time) {
	for _, part := range h.workers {
		w := part.worker
		w.spare = w.info.Total.Sub(w.usedAfter(now, h.readyAt)).Sub(scale(h.step.def.room(), part.slots))
	}
}

// ticketsToRenew returns the workers of a hold whose tickets have to be renewed
// now to be good when the room is ready.
func (c *Core) ticketsToRenew(s *step) []requester.HostID {
	h := s.hold
	if h == nil {
		return nil
	}
	takes := s.job().spec.Advice.duration(len(h.workers))
	if c.now.Add(takes + minTicketValidity).Before(h.readyAt) {
		return nil
	}
	goodUntil := h.readyAt
	if goodUntil.Before(c.now) {
		goodUntil = c.now
	}
	var ids []requester.HostID
	for _, part := range h.workers {
		id := part.worker.info.HostID
		if _, valid := s.advice.validTicket(part.worker, goodUntil.Add(minTicketValidity)); !valid && !s.advice.requested[id] {
			ids = append(ids, id)
		}
	}
	return ids[:min(len(ids), maxAdviceWorkers)]
}

// opening is a moment from which on a worker has room for one more task.
type futureSlot struct {
	at     time.Time
	worker *worker
}

// planReservation returns the workers that will have room for a gang soonest; nil if
// it will take too long.
func (c *Core) planReservation(s *step) *reservation {
	var openings []futureSlot
	for _, w := range c.allowedWorkers(s) {
		if w.held != nil || !c.compatible(s, w) {
			continue
		}
		openings = c.appendFutureSlots(openings, s, w, len(s.tasks))
	}
	count := len(s.tasks)
	ready := earliestSlots(openings, count)
	if ready == nil {
		return nil
	}
	h := &reservation{step: s, readyAt: ready[count-1].at, plannedAt: ready[count-1].at}
	openings = openings[:min(len(openings), int(reservationFactor*float64(count)))]
	places := make(map[*worker]int, count)
	for _, o := range openings {
		place, ok := places[o.worker]
		if !ok {
			place = len(h.workers)
			places[o.worker] = place
			h.workers = append(h.workers, reservedWorker{worker: o.worker})
		}
		h.workers[place].slots++
	}
	h.milliCores = int64(len(openings)) * s.def.room().MilliCores
	return h
}

// earliest sorts openings and returns the first ones, or nil where there are
// too few.
func earliestSlots(openings []futureSlot, count int) []futureSlot {
	slices.SortStableFunc(openings, func(a, b futureSlot) int { return a.at.Compare(b.at) })
	if len(openings) < count {
		return nil
	}
	return openings[:count]
}

// appendFutureSlots appends when a worker will have room for each of up to most tasks
// of a step within the horizon.
func (c *Core) appendFutureSlots(openings []futureSlot, s *step, w *worker, most int) []futureSlot {
	most = min(most, s.taskLimit(w))
	type ending struct {
		at   time.Time
		need requester.Resources
	}
	endings := make([]ending, 0, len(w.runs))
	for _, r := range w.runs {
		endings = append(endings, ending{r.expectedEnd(c.now), r.need})
	}
	slices.SortFunc(endings, func(a, b ending) int { return a.at.Compare(b.at) })
	room, at, slots := w.room(), c.now, 0
	for next := 0; ; next++ {
		for fit := slotsIn(room, s.def.room(), most); slots < fit; slots++ {
			openings = append(openings, futureSlot{at, w})
		}
		if next == len(endings) || slots == most || endings[next].at.Sub(c.now) > reservationWindow {
			return openings
		}
		room = room.Add(endings[next].need)
		at = endings[next].at
	}
}

// expectedEnd is when a run should end.
func (r *run) expectedEnd(now time.Time) time.Time {
	ends := r.endsAt
	if r.task != nil && r.task.step.def.Gang && r.advance.percent >= completePercent {
		ends = r.task.step.gangEnd(r.number)
	}
	if now.Before(ends) {
		return ends
	}
	return now.Add(time.Duration(overdueShare * float64(now.Sub(r.startedAt))))
}

// gangEnd is when the last member of a gang's run should have done its work.
func (s *step) gangEnd(number RunNumber) time.Time {
	var end time.Time
	for _, member := range s.tasks {
		if member.run != nil && member.run.number == number {
			end = latest(end, member.run.endsAt)
		}
	}
	return end
}

// outlasting is what the runs on a worker take that should go on beyond a time.
func (w *worker) usedAfter(now, until time.Time) requester.Resources {
	var taken requester.Resources
	for _, r := range w.runs {
		if r.expectedEnd(now).After(until) {
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

// reservedAheadOf reports whether the worker is held for a step that goes before s.
func (w *worker) reservedAheadOf(s *step) bool {
	return w.held != nil && w.held.step != s && w.held.step.rank.compare(s.rank) < 0
}

// roomFor is the room of a worker that a task of the step may take.
func (c *Core) roomFor(s *step, w *worker) requester.Resources {
	room := w.room()
	if !w.reservedAheadOf(s) || !c.outlasts(s, w.held) {
		return room
	}
	return requester.Resources{
		MilliCores:   min(room.MilliCores, w.spare.MilliCores),
		MemoryMB:     min(room.MemoryMB, w.spare.MemoryMB),
		Accelerators: min(room.Accelerators, w.spare.Accelerators),
	}
}

// outlasts reports whether a task started now should go on beyond the time at
// which a gang's room is ready.
func (c *Core) outlasts(s *step, h *reservation) bool {
	if s.def.LongRunning {
		return true
	}
	return c.now.Add(s.expected()).After(h.readyAt)
}

// consumeSpare notes that a task was started on a held worker.
func (c *Core) consumeSpare(s *step, w *worker) {
	if w.held != nil && w.held.step != s && c.outlasts(s, w.held) {
		w.spare = w.spare.Sub(s.def.room())
	}
}
