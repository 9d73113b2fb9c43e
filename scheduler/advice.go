package scheduler

import (
	"cmp"
	"slices"
	"time"

	"kumquatstall/requester"
)

// advice is what is known of the workers that may run a step. Who may is
// fixed for good; only tickets age.
type advice struct {
	// asked are the workers about which there is an answer.
	asked   map[requester.HostID]bool
	tickets map[requester.HostID]ticket
	// allowed are the workers with tickets, in order.
	allowed []requester.HostID
	// open counts the questions on their way, inQuestion are the workers that
	// they name.
	open       int
	inQuestion map[requester.HostID]bool
	// again is before when no other question is asked.
	again time.Time
	// enoughUntil is until when no further workers are asked about: those
	// allowed are enough, or there are no others.
	enoughUntil time.Time
	// stale are workers with room whose tickets have aged.
	stale []requester.HostID
}

type ticket struct {
	text  string
	born  time.Time
	until time.Time
}

// Bounds of questions for advice.
const (
	// maxAsked is how many workers one question may name.
	maxAsked = 100
	// ticketMargin is how long before its end a ticket isn't used any more:
	// an order has to reach the worker.
	ticketMargin = 100 * time.Millisecond
	// minAsked is how many workers a question names at least: few more cost
	// little, and rooms change until the answer is there.
	minAsked = 12
	// askedFactor is how many times the room that a step needs is asked
	// about.
	askedFactor = 2
	// enoughFactor is how many times the room that a step needs its allowed
	// workers have to have in all; with more, waiting for room beats asking
	// about more workers.
	enoughFactor = 4
	// enoughFor is for how long that is not calculated again.
	enoughFor = 500 * time.Millisecond
	// gangFactor is how many times a gang its allowed workers have to hold if
	// they were empty, busyGangFactor the same while all entries are asking;
	// gangQuestions is how many questions about it may be open.
	gangFactor     = 10
	busyGangFactor = 3
	gangQuestions  = 4
	// longQuestion is from when on a question is a long one.
	longQuestion = 250 * time.Millisecond
	// gangSlack is the share of that which isn't worth another question.
	gangSlack = 0.1
	// firstShare is the share of workers taken to be allowed before any
	// answer, leastShare the least that is counted on.
	firstShare = 0.4
	leastShare = 0.05
	// shareWeight is how much of the learned share stays with each answer.
	shareWeight = 0.9
	// retryAdvice separates a question that failed from the next.
	retryAdvice = 100 * time.Millisecond
)

func (a *advice) drop(id requester.HostID) {
	if t, ok := a.tickets[id]; ok {
		t.until = time.Time{}
		a.tickets[id] = t
	}
}

// valid returns the ticket for a worker's present life, if it can be used.
func (a *advice) valid(w *worker, now time.Time) (string, bool) {
	t, ok := a.tickets[w.info.HostID]
	if !ok || !t.born.Equal(w.bootedAt) || !now.Add(ticketMargin).Before(t.until) {
		return "", false
	}
	return t.text, true
}

// allows reports whether a worker may run the step, and whether that is known.
func (a *advice) allows(w *worker) (allowed, known bool) {
	_, allowed = a.tickets[w.info.HostID]
	return allowed, a.asked[w.info.HostID]
}

// AdviceRoom is how many questions may be asked now.
type AdviceRoom struct {
	// Any may be of any length, Short ones must not be Long: short questions
	// shall not wait behind long ones.
	Any   int
	Short int
}

// Long reports whether the answer to a question takes long.
func (o *AdviceRequest) Long() bool { return o.ExpectedAt.Sub(o.RequestedAt) > longQuestion }

// take takes the room for a question, if there is any.
func (r *AdviceRoom) take(long bool) bool {
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
func (c *Core) Advise(now time.Time, room AdviceRoom) []AdviceRequest {
	c.now = now
	c.adviceLoad = share(int64(c.longInFlight), int64(c.longInFlight+room.Any))
	// The last pass has put the open steps in order.
	var orders []AdviceRequest
	for _, s := range c.open {
		if room == (AdviceRoom{}) {
			break
		}
		if s.job().spec.Advice == nil || s.waiting == 0 || now.Before(s.advice.again) || !c.mayStart(s) {
			continue
		}
		if room.Any == 0 && s.job().spec.Advice.long(minAsked) {
			continue
		}
		for s.advice.open < s.mostOpen() {
			workers := c.toAsk(s)
			if len(workers) == 0 || !room.take(s.job().spec.Advice.long(len(workers))) {
				break
			}
			orders = append(orders, c.askAbout(s, workers))
		}
	}
	return orders
}

// mostOpen is how many questions about the step may be open. A gang needs
// answers about many workers before any of its tasks can start.
func (s *step) mostOpen() int {
	if s.def.Gang {
		return gangQuestions
	}
	return 1
}

func (c *Core) askAbout(s *step, workers []requester.HostID) AdviceRequest {
	c.recordStart(s)
	s.advice.open++
	if s.advice.inQuestion == nil {
		s.advice.inQuestion = make(map[requester.HostID]bool)
	}
	for _, id := range workers {
		s.advice.inQuestion[id] = true
	}
	c.awaitingAdvice[s.name()] = s
	c.stats.AdviceAsked++
	order := AdviceRequest{Step: s.name(), Workers: workers, RequestedAt: c.now, ExpectedAt: c.now.Add(s.job().spec.Advice.duration(len(workers)))}
	if order.Long() {
		c.longInFlight++
	}
	return order
}

// toAsk returns the workers to ask about for a step: those with room whose
// tickets have aged, else those not asked about yet. Each worker in a question
// costs time, so no more are named than the step is likely to need.
func (c *Core) toAsk(s *step) []requester.HostID {
	if aging := c.agingTickets(s); len(aging) > 0 {
		return aging
	}
	if len(s.advice.stale) > 0 && s.advice.open == 0 {
		return s.advice.stale[:min(len(s.advice.stale), maxAsked)]
	}
	if c.now.Before(s.advice.enoughUntil) {
		return nil
	}
	if s.def.Gang {
		return c.toAskGang(s)
	}
	if c.allowedSlots(s) >= enoughFactor*s.waiting {
		s.advice.enoughUntil = c.now.Add(enoughFor)
		return nil
	}
	return c.unasked(s, askedFactor*float64(s.waiting)/c.allowedShare(s.job().spec.Queue), c.slots)
}

// toAskGang returns the workers to ask about for a gang. It counts the tasks
// that workers would hold if they were empty: a gang waits for them to be.
func (c *Core) toAskGang(s *step) []requester.HostID {
	share := c.allowedShare(s.job().spec.Queue)
	factor := gangFactor + c.adviceLoad*(busyGangFactor-gangFactor)
	wanted := factor * float64(len(s.tasks))
	lacking := wanted - float64(c.allowedSlots(s))
	need := s.def.allocation()
	expected := 0
	for id := range s.advice.inQuestion {
		if w, ok := c.workers[id]; ok && !s.advice.asked[id] {
			expected += slotsIn(w.info.Total, need, len(s.tasks))
		}
	}
	lacking -= share * float64(expected)
	if lacking < gangSlack*wanted {
		s.advice.enoughUntil = c.now.Add(enoughFor)
		return nil
	}
	return c.unasked(s, lacking/share, func(s *step, w *worker) int { return slotsIn(w.info.Total, need, len(s.tasks)) })
}

// unasked returns workers not asked about yet, the ones with most room first,
// until they would hold so many tasks.
func (c *Core) unasked(s *step, wanted float64, slotsOn func(*step, *worker) int) []requester.HostID {
	type option struct {
		worker *worker
		room   int
	}
	var options []option
	for _, w := range c.sortedWorkers {
		if id := w.info.HostID; !s.advice.asked[id] && !s.advice.inQuestion[id] && w.usable() && c.suits(s, w) {
			options = append(options, option{w, c.slots(s, w)})
		}
	}
	if len(options) == 0 {
		// Until workers are added there is nothing to ask.
		s.advice.enoughUntil = c.now.Add(enoughFor)
		return nil
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(b.room, a.room) })
	var ids []requester.HostID
	slots := 0.0
	for _, o := range options {
		if len(ids) >= minAsked && slots >= wanted || len(ids) == maxAsked {
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
	need, slots := s.def.allocation(), 0
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
	if share, ok := c.allowedShares[queue]; ok {
		return max(share, leastShare)
	}
	return firstShare
}

func (c *Core) learnShare(queue string, asked, allowed int) {
	if asked == 0 {
		return
	}
	seen := float64(allowed) / float64(asked)
	if before, ok := c.allowedShares[queue]; ok {
		seen = shareWeight*before + (1-shareWeight)*seen
	}
	c.allowedShares[queue] = seen
}

// Advised takes in the answer to a question. failed tells that there was none.
func (c *Core) Advised(now time.Time, order AdviceRequest, allowed []Ticket, failed bool) {
	c.now = now
	if order.Long() {
		c.longInFlight--
	}
	s, ok := c.awaitingAdvice[order.Step]
	if !ok {
		return
	}
	s.advice.open--
	if s.advice.open == 0 {
		delete(c.awaitingAdvice, order.Step)
	}
	for _, id := range order.Workers {
		delete(s.advice.inQuestion, id)
	}
	if failed {
		s.advice.again = now.Add(retryAdvice)
		return
	}
	if s.advice.tickets == nil {
		s.advice.asked = make(map[requester.HostID]bool)
		s.advice.tickets = make(map[requester.HostID]ticket)
	}
	fresh := 0
	for _, id := range order.Workers {
		if !s.advice.asked[id] {
			fresh++
		}
		s.advice.asked[id] = true
	}
	if fresh == len(order.Workers) {
		c.learnShare(s.job().spec.Queue, fresh, len(allowed))
	}
	// The service issued the tickets after it had decided, which takes most
	// of the time of the question; the earliest moment is counted from.
	issued := order.RequestedAt
	until := issued.Add(time.Duration(s.job().spec.Advice.ValidMillis) * time.Millisecond)
	if decided := now.Add(-adviceReturn); decided.After(issued) {
		until = decided.Add(time.Duration(s.job().spec.Advice.ValidMillis) * time.Millisecond)
	}
	for _, a := range allowed {
		if w, ok := c.workers[a.Worker]; ok {
			if _, known := s.advice.tickets[a.Worker]; !known {
				s.advice.allowed = append(s.advice.allowed, a.Worker)
			}
			s.advice.tickets[a.Worker] = ticket{text: a.Text, born: w.bootedAt, until: until}
		}
	}
	slices.Sort(s.advice.allowed)
	s.advice.stale = nil
	s.scannedAt = time.Time{}
	c.placementPending = true
}

// adviceReturn bounds the way of an answer back to the owner.
const adviceReturn = 100 * time.Millisecond
