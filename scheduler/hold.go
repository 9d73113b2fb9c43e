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
type hold struct {
	step *step
	// readyAt is when enough of the workers should have room, plannedAt what
	// that was when they were chosen.
	readyAt   time.Time
	plannedAt time.Time
	// parts are the workers, and what is kept there.
	parts []heldPart
	// readySince is from when on there has been room; zero before.
	readySince time.Time
	// milliCores is what is kept in all.
	milliCores int64
}

// heldPart is a worker of a hold.
type heldPart struct {
	worker *worker
	slots  int
}

// Bounds of holds.
const (
	// holdInterval separates calculations of what is held.
	holdInterval = 100 * time.Millisecond
	// heldShare bounds what is held of all processors.
	heldShare = 0.2
	// holdHorizon is how far ahead a gang's room may lie, holdSlip by how much
	// it may come later than planned before other workers are chosen.
	holdHorizon = 5 * time.Second
	holdSlip    = 700 * time.Millisecond
	// holdFactor times a gang's tasks are the slots kept for it: some come
	// later than they should.
	holdFactor = 1.15
	// overdueShare of the time that a run has taken so far is what is left
	// of one that should have ended already.
	overdueShare = 0.25
	// heldPenalty prefers any worker that is not held for others.
	heldPenalty = 2
	// holdPatience is for how long, beyond the time of a question for advice, a
	// gang may not start though its room is ready; after that it holds no
	// workers for holdRest.
	holdPatience = 1500 * time.Millisecond
	holdRest     = 3 * time.Second
	// ticketSlack is for how long tickets should be good once a gang's room is
	// ready.
	ticketSlack = 300 * time.Millisecond
)

// updateHolds calculates anew for which gangs workers are held. The open steps
// are in order.
func (c *Core) updateHolds() {
	if c.now.Sub(c.reservationsUpdatedAt) < holdInterval {
		return
	}
	c.reservationsUpdatedAt = c.now
	left := int64(heldShare * float64(c.takenTotal()))
	for _, h := range slices.Clone(c.reservations) {
		if !c.wantsHold(h.step) || !c.refresh(h) {
			c.dropHold(h)
			continue
		}
		left -= h.milliCores
	}
	for _, s := range c.open {
		if left <= 0 || s.rank.tier > 1 {
			return
		}
		if s.reservation != nil || !c.wantsHold(s) {
			continue
		}
		if h := c.findHold(s); h != nil && h.milliCores <= left {
			left -= h.milliCores
			c.apply(h)
		}
	}
}

// takenTotal is what the workers that take tasks have of processors.
func (c *Core) takenTotal() int64 {
	var total int64
	for _, w := range c.eligible {
		total += w.info.Total.MilliCores
	}
	return total
}

// wantsHold reports whether a step is a gang that waits for nothing but room.
func (c *Core) wantsHold(s *step) bool {
	if !s.open || !s.def.Gang || s.def.SameRack || s.waiting < len(s.tasks) || c.now.Before(s.reserveAfter) {
		return false
	}
	advised := s.job().spec.Advice == nil || len(s.advice.tickets) > 0
	return advised && c.startRecorded(s) && c.mayStart(s)
}

// refresh calculates anew when a hold's workers have room, and reports whether
// they are still worth holding.
func (c *Core) refresh(h *hold) bool {
	var openings []opening
	for _, part := range h.parts {
		if part.worker.eligible(c.now) {
			openings = c.openingsOn(openings, h.step, part.worker, part.slots)
		}
	}
	openings = earliest(openings, len(h.step.tasks))
	if openings == nil {
		return false
	}
	h.setReady(c.now, openings[len(openings)-1].at)
	if h.slipped(c.now) {
		return false
	}
	if h.helpsNothing(c.now) {
		h.step.reserveAfter = c.now.Add(holdRest)
		return false
	}
	h.keep(c.now)
	return true
}

// setReady notes when there should be room, and since when there is.
func (h *hold) setReady(now, at time.Time) {
	h.readyAt = at
	switch {
	case at.After(now):
		h.readySince = time.Time{}
	case h.readySince.IsZero():
		h.readySince = now
	}
}

// slipped reports whether room comes much later than planned.
func (h *hold) slipped(now time.Time) bool {
	return h.readyAt.After(now) && h.readyAt.After(h.plannedAt.Add(holdSlip))
}

// helpsNothing reports whether the gang hasn't started though there has been
// room for as long as renewing its tickets may take.
func (h *hold) helpsNothing(now time.Time) bool {
	return !h.readySince.IsZero() && now.Sub(h.readySince) > holdPatience+h.step.job().spec.adviceTime()
}

// dropHold gives a hold up.
func (c *Core) dropHold(h *hold) {
	h.step.reservation = nil
	for _, part := range h.parts {
		part.worker.reservation = nil
		c.markFreed(part.worker)
	}
	if i := slices.Index(c.reservations, h); i >= 0 {
		c.reservations = slices.Delete(c.reservations, i, i+1)
	}
}

func (c *Core) apply(h *hold) {
	h.step.reservation = h
	for _, part := range h.parts {
		part.worker.reservation = h
	}
	h.keep(c.now)
	c.reservations = append(c.reservations, h)
	c.stats.Holds++
	c.log(LogRecord{
		Job: h.step.job().name(), Event: "workers held for a gang",
		Why: strconv.Itoa(len(h.parts)) + " workers, ready in " + h.readyAt.Sub(c.now).Truncate(time.Millisecond).String(),
	})
}

// keep calculates what others may take of the workers.
func (h *hold) keep(now time.Time) {
	for _, part := range h.parts {
		w := part.worker
		w.unreserved = w.info.Total.Sub(w.outlasting(now, h.readyAt)).Sub(scale(h.step.def.allocation(), part.slots))
	}
}

// agingTickets returns the workers of a hold whose tickets have to be renewed
// now to be good when the room is ready.
func (c *Core) agingTickets(s *step) []requester.HostID {
	h := s.reservation
	if h == nil {
		return nil
	}
	takes := s.job().spec.Advice.duration(len(h.parts))
	if c.now.Add(takes + ticketSlack).Before(h.readyAt) {
		return nil
	}
	goodUntil := h.readyAt
	if goodUntil.Before(c.now) {
		goodUntil = c.now
	}
	var ids []requester.HostID
	for _, part := range h.parts {
		id := part.worker.info.HostID
		if _, valid := s.advice.valid(part.worker, goodUntil.Add(ticketSlack)); !valid && !s.advice.inQuestion[id] {
			ids = append(ids, id)
		}
	}
	return ids[:min(len(ids), maxAsked)]
}

// opening is a moment from which on a worker has room for one more task.
type opening struct {
	at     time.Time
	worker *worker
}

// findHold returns the workers that will have room for a gang soonest; nil if
// it will take too long.
func (c *Core) findHold(s *step) *hold {
	var openings []opening
	for _, w := range c.mayTake(s) {
		if w.reservation != nil || !c.suits(s, w) {
			continue
		}
		openings = c.openingsOn(openings, s, w, len(s.tasks))
	}
	count := len(s.tasks)
	ready := earliest(openings, count)
	if ready == nil {
		return nil
	}
	h := &hold{step: s, readyAt: ready[count-1].at, plannedAt: ready[count-1].at}
	openings = openings[:min(len(openings), int(holdFactor*float64(count)))]
	places := make(map[*worker]int, count)
	for _, o := range openings {
		place, ok := places[o.worker]
		if !ok {
			place = len(h.parts)
			places[o.worker] = place
			h.parts = append(h.parts, heldPart{worker: o.worker})
		}
		h.parts[place].slots++
	}
	h.milliCores = int64(len(openings)) * s.def.allocation().MilliCores
	return h
}

// earliest sorts openings and returns the first ones, or nil where there are
// too few.
func earliest(openings []opening, count int) []opening {
	slices.SortStableFunc(openings, func(a, b opening) int { return a.at.Compare(b.at) })
	if len(openings) < count {
		return nil
	}
	return openings[:count]
}

// openingsOn appends when a worker will have room for each of up to most tasks
// of a step within the horizon.
func (c *Core) openingsOn(openings []opening, s *step, w *worker, most int) []opening {
	most = min(most, s.mostOn(w))
	type ending struct {
		at   time.Time
		need requester.Resources
	}
	endings := make([]ending, 0, len(w.runs))
	for _, r := range w.runs {
		endings = append(endings, ending{r.endBy(c.now), r.need})
	}
	slices.SortFunc(endings, func(a, b ending) int { return a.at.Compare(b.at) })
	room, at, slots := w.available(), c.now, 0
	for next := 0; ; next++ {
		for fit := slotsIn(room, s.def.allocation(), most); slots < fit; slots++ {
			openings = append(openings, opening{at, w})
		}
		if next == len(endings) || slots == most || endings[next].at.Sub(c.now) > holdHorizon {
			return openings
		}
		room = room.Add(endings[next].need)
		at = endings[next].at
	}
}

// endBy is when a run should end.
func (r *run) endBy(now time.Time) time.Time {
	ends := r.expectedEnd
	if r.task != nil && r.task.step.def.Gang && r.progress.percent >= allDone {
		ends = r.task.step.slowestEnd(r.number)
	}
	if now.Before(ends) {
		return ends
	}
	return now.Add(time.Duration(overdueShare * float64(now.Sub(r.startedAt))))
}

// slowestEnd is when the last member of a gang's run should have done its work.
func (s *step) slowestEnd(number RunNumber) time.Time {
	var end time.Time
	for _, member := range s.tasks {
		if member.run != nil && member.run.number == number {
			end = latest(end, member.run.expectedEnd)
		}
	}
	return end
}

// outlasting is what the runs on a worker take that should go on beyond a time.
func (w *worker) outlasting(now, until time.Time) requester.Resources {
	var taken requester.Resources
	for _, r := range w.runs {
		if r.endBy(now).After(until) {
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

// heldFrom reports whether the worker is held for a step that goes before s.
func (w *worker) heldFrom(s *step) bool {
	return w.reservation != nil && w.reservation.step != s && w.reservation.step.rank.compare(s.rank) < 0
}

// roomFor is the room of a worker that a task of the step may take.
func (c *Core) roomFor(s *step, w *worker) requester.Resources {
	room := w.available()
	if !w.heldFrom(s) || !c.outlasts(s, w.reservation) {
		return room
	}
	return requester.Resources{
		MilliCores:   min(room.MilliCores, w.unreserved.MilliCores),
		MemoryMB:     min(room.MemoryMB, w.unreserved.MemoryMB),
		Accelerators: min(room.Accelerators, w.unreserved.Accelerators),
	}
}

// outlasts reports whether a task started now should go on beyond the time at
// which a gang's room is ready.
func (c *Core) outlasts(s *step, h *hold) bool {
	if s.def.LongRunning {
		return true
	}
	return c.now.Add(s.expectedDuration()).After(h.readyAt)
}

// takeSpare notes that a task was started on a held worker.
func (c *Core) takeSpare(s *step, w *worker) {
	if w.reservation != nil && w.reservation.step != s && c.outlasts(s, w.reservation) {
		w.unreserved = w.unreserved.Sub(s.def.allocation())
	}
}
