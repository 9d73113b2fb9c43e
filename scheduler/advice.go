package scheduler

import (
	"cmp"
	"slices"
	"time"

	"kumquatstall/requester"
)

// advice is what is known of the workers that may run a step. Who may is
// fixed for good; only tickets age.
type stepAdvice struct {
	// asked are the workers about which there is an answer.
	decided map[requester.HostID]bool
	tickets map[requester.HostID]ticket
	// allowed are the workers with tickets, in order.
	allowed []requester.HostID
	// open counts the questions on their way, requested are the workers that
	// they name.
	inFlight  int
	requested map[requester.HostID]bool
	// again is before when no other question is asked.
	retryAt time.Time
	// expandAfter is until when no further workers are asked about: those
	// allowed are enough, or there are no others.
	expandAfter time.Time
	// stale are workers with room whose tickets have aged.
	stale []requester.HostID
}

type ticket struct {
	text      string
	bootedAt  time.Time
	expiresAt time.Time
}

// Bounds of questions for advice.
const (
	// maxAdviceWorkers is how many workers one question may name.
	maxAdviceWorkers = 100
	// ticketMargin is how long before its end a ticket isn't used any more:
	// an order has to reach the worker.
	ticketMargin = 100 * time.Millisecond
	// minAdviceWorkers is how many workers a question names at least: few more cost
	// little, and rooms change until the answer is there.
	minAdviceWorkers = 12
	// requestFactor is how many times the room that a step needs is asked
	// about.
	requestFactor = 2
	// sufficientFactor is how many times the room that a step needs its allowed
	// workers have to have in all; with more, waiting for room beats asking
	// about more workers.
	sufficientFactor = 4
	// expandInterval is for how long that is not calculated again.
	expandInterval = 500 * time.Millisecond
	// gangRequestFactor is how many times a gang its allowed workers have to hold if
	// they were empty, busyGangRequestFactor the same while all entries are asking;
	// maxGangRequests is how many questions about it may be open.
	gangRequestFactor     = 10
	busyGangRequestFactor = 3
	maxGangRequests       = 4
	// longRequestTime is from when on a question is a long one.
	longRequestTime = 250 * time.Millisecond
	// gangTolerance is the share of that which isn't worth another question.
	gangTolerance = 0.1
	// initialAllowedShare is the share of workers taken to be allowed before any
	// answer, minAllowedShare the least that is counted on.
	initialAllowedShare = 0.4
	minAllowedShare     = 0.05
	// allowedShareDecay is how much of the learned share stays with each answer.
	allowedShareDecay = 0.9
	// adviceRetryDelay separates a question that failed from the next.
	adviceRetryDelay = 100 * time.Millisecond
)

func (a *stepAdvice) invalidate(id requester.HostID) {
	if t, ok := a.tickets[id]; ok {
		t.expiresAt = time.Time{}
		a.tickets[id] = t
	}
}

// valid returns the ticket for a worker's present life, if it can be used.
func (a *stepAdvice) validTicket(w *worker, now time.Time) (string, bool) {
	t, ok := a.tickets[w.info.HostID]
	if !ok || !t.bootedAt.Equal(w.born) || !now.Add(ticketMargin).Before(t.expiresAt) {
		return "", false
	}
	return t.text, true
}

// allows reports whether a worker may run the step, and whether that is known.
func (a *stepAdvice) allows(w *worker) (allowed, known bool) {
	_, allowed = a.tickets[w.info.HostID]
	return allowed, a.decided[w.info.HostID]
}

// AdviceCapacity is how many questions may be asked now.
type AdviceCapacity struct {
	// Any may be of any length, Short ones must not be Long: short questions
	// shall not wait behind long ones.
	Any   int
	Short int
}

// Long reports whether the answer to a question takes long.
func (o *AdviceOrder) Long() bool { return o.DueAt.Sub(o.AskedAt) > longRequestTime }

// take takes the room for a question, if there is any.
func (r *AdviceCapacity) acquire(long bool) bool {
	switch {
	case !long && r.Short > 0:
		r.Short--
	case r.Any > 0:
		r.Any--
	default:
		return false
	}
	return true
}

// Advise returns questions to ask now, the most urgent first.
func (c *Core) RequestAdvice(now time.Time, room AdviceCapacity) []AdviceOrder {
	c.now = now
	c.adviceLoad = share(int64(c.longOpen), int64(c.longOpen+room.Any))
	// The last pass has put the open steps in order.
	var orders []AdviceOrder
	for _, s := range c.open {
		if room == (AdviceCapacity{}) {
			break
		}
		if s.job().spec.Advice == nil || s.waiting == 0 || now.Before(s.advice.retryAt) || !c.runsKnown(s) {
			continue
		}
		if room.Any == 0 && s.job().spec.Advice.long(minAdviceWorkers) {
			continue
		}
		for s.advice.inFlight < s.maxRequests() {
			workers := c.adviceWorkers(s)
			if len(workers) == 0 || !room.acquire(s.job().spec.Advice.long(len(workers))) {
				break
			}
			orders = append(orders, c.newAdviceOrder(s, workers))
		}
	}
	return orders
}

// maxRequests is how many questions about the step may be open. A gang needs
// answers about many workers before any of its tasks can start.
func (s *step) maxRequests() int {
	if s.def.Gang {
		return maxGangRequests
	}
	return 1
}

func (c *Core) newAdviceOrder(s *step, workers []requester.HostID) AdviceOrder {
	c.begin(s)
	s.advice.inFlight++
	if s.advice.requested == nil {
		s.advice.requested = make(map[requester.HostID]bool)
	}
	for _, id := range workers {
		s.advice.requested[id] = true
	}
	c.asking[s.name()] = s
	c.stats.AdviceAsked++
	order := AdviceOrder{Step: s.name(), Workers: workers, AskedAt: c.now, DueAt: c.now.Add(s.job().spec.Advice.duration(len(workers)))}
	if order.Long() {
		c.longOpen++
	}
	return order
}

// adviceWorkers returns the workers to ask about for a step: those with room whose
// tickets have aged, else those not asked about yet. Each worker in a question
// costs time, so no more are named than the step is likely to need.
func (c *Core) adviceWorkers(s *step) []requester.HostID {
	if aging := c.ticketsToRenew(s); len(aging) > 0 {
		return aging
	}
	if len(s.advice.stale) > 0 && s.advice.inFlight == 0 {
		return s.advice.stale[:min(len(s.advice.stale), maxAdviceWorkers)]
	}
	if c.now.Before(s.advice.expandAfter) {
		return nil
	}
	if s.def.Gang {
		return c.gangAdviceWorkers(s)
	}
	if c.allowedSlots(s) >= sufficientFactor*s.waiting {
		s.advice.expandAfter = c.now.Add(expandInterval)
		return nil
	}
	return c.undecidedWorkers(s, requestFactor*float64(s.waiting)/c.allowedShare(s.job().spec.Queue), c.slots)
}

// gangAdviceWorkers returns the workers to ask about for a gang. It counts the tasks
// that workers would hold if they were empty: a gang waits for them to be.
func (c *Core) gangAdviceWorkers(s *step) []requester.HostID {
	share := c.allowedShare(s.job().spec.Queue)
	factor := gangRequestFactor + c.adviceLoad*(busyGangRequestFactor-gangRequestFactor)
	wanted := factor * float64(len(s.tasks))
	lacking := wanted - float64(c.allowedSlots(s))
	need := s.def.room()
	expected := 0
	for id := range s.advice.requested {
		if w, ok := c.workers[id]; ok && !s.advice.decided[id] {
			expected += slotsIn(w.info.Total, need, len(s.tasks))
		}
	}
	lacking -= share * float64(expected)
	if lacking < gangTolerance*wanted {
		s.advice.expandAfter = c.now.Add(expandInterval)
		return nil
	}
	return c.undecidedWorkers(s, lacking/share, func(s *step, w *worker) int { return slotsIn(w.info.Total, need, len(s.tasks)) })
}

// unasked returns workers not asked about yet, the ones with most room first,
// until they would hold so many tasks.
func (c *Core) undecidedWorkers(s *step, wanted float64, slotsOn func(*step, *worker) int) []requester.HostID {
	type option struct {
		worker *worker
		room   int
	}
	var options []option
	for _, w := range c.order {
		if id := w.info.HostID; !s.advice.decided[id] && !s.advice.requested[id] && w.usable() && c.compatible(s, w) {
			options = append(options, option{w, c.slots(s, w)})
		}
	}
	if len(options) == 0 {
		// Until workers are added there is nothing to ask.
		s.advice.expandAfter = c.now.Add(expandInterval)
		return nil
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(b.room, a.room) })
	var ids []requester.HostID
	slots := 0.0
	for _, o := range options {
		if len(ids) >= minAdviceWorkers && slots >= wanted || len(ids) == maxAdviceWorkers {
			break
		}
		ids = append(ids, o.worker.info.HostID)
		slots += float64(min(slotsOn(s, o.worker), s.waiting))
	}
	return ids
}

// allowedSlots is how many tasks of a step the workers known to be allowed
// would hold if they were empty.
func (c *Core) allowedSlots(s *step) int {
	need, slots := s.def.room(), 0
	for _, id := range s.advice.allowed {
		if w, ok := c.workers[id]; ok && w.usable() {
			slots += slotsIn(w.info.Total, need, len(s.tasks))
		}
	}
	return slots
}

// allowedShare is the share of workers that may run a queue's steps, as seen
// so far.
func (c *Core) allowedShare(queue string) float64 {
	if share, ok := c.shares[queue]; ok {
		return max(share, minAllowedShare)
	}
	return initialAllowedShare
}

func (c *Core) learnAllowedShare(queue string, asked, allowed int) {
	if asked == 0 {
		return
	}
	seen := float64(allowed) / float64(asked)
	if before, ok := c.shares[queue]; ok {
		seen = allowedShareDecay*before + (1-allowedShareDecay)*seen
	}
	c.shares[queue] = seen
}

// Advised takes in the answer to a question. failed tells that there was none.
func (c *Core) AdviceDone(now time.Time, order AdviceOrder, allowed []Ticket, failed bool) {
	c.now = now
	if order.Long() {
		c.longOpen--
	}
	s, ok := c.asking[order.Step]
	if !ok {
		return
	}
	s.advice.inFlight--
	if s.advice.inFlight == 0 {
		delete(c.asking, order.Step)
	}
	for _, id := range order.Workers {
		delete(s.advice.requested, id)
	}
	if failed {
		s.advice.retryAt = now.Add(adviceRetryDelay)
		return
	}
	if s.advice.tickets == nil {
		s.advice.decided = make(map[requester.HostID]bool)
		s.advice.tickets = make(map[requester.HostID]ticket)
	}
	fresh := 0
	for _, id := range order.Workers {
		if !s.advice.decided[id] {
			fresh++
		}
		s.advice.decided[id] = true
	}
	if fresh == len(order.Workers) {
		c.learnAllowedShare(s.job().spec.Queue, fresh, len(allowed))
	}
	// The service issued the tickets after it had decided, which takes most
	// of the time of the question; the earliest moment is counted from.
	issued := order.AskedAt
	until := issued.Add(time.Duration(s.job().spec.Advice.ValidMillis) * time.Millisecond)
	if decided := now.Add(-maxAdviceReturn); decided.After(issued) {
		until = decided.Add(time.Duration(s.job().spec.Advice.ValidMillis) * time.Millisecond)
	}
	for _, a := range allowed {
		if w, ok := c.workers[a.Worker]; ok {
			if _, known := s.advice.tickets[a.Worker]; !known {
				s.advice.allowed = append(s.advice.allowed, a.Worker)
			}
			s.advice.tickets[a.Worker] = ticket{text: a.Text, bootedAt: w.born, expiresAt: until}
		}
	}
	slices.Sort(s.advice.allowed)
	s.advice.stale = nil
	s.scannedAt = time.Time{}
	c.changed = true
}

// maxAdviceReturn bounds the way of an answer back to the owner.
const maxAdviceReturn = 100 * time.Millisecond
