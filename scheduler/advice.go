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
	// open tells that a question is on its way.
	open    bool
	askedAt time.Time
	// again is before when no other question is asked.
	again time.Time
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
	if !ok || !t.born.Equal(w.born) || !now.Add(ticketMargin).Before(t.until) {
		return "", false
	}
	return t.text, true
}

// allows reports whether a worker may run the step, and whether that is known.
func (a *advice) allows(w *worker) (allowed, known bool) {
	_, allowed = a.tickets[w.info.HostID]
	return allowed, a.asked[w.info.HostID]
}

// Advise returns up to count questions to ask now, the most urgent first.
func (c *Core) Advise(now time.Time, count int) []AdviceOrder {
	c.now = now
	if count <= 0 {
		return nil
	}
	var wanted []*step
	for _, s := range c.open {
		if s.job().spec.Advice != nil && !s.advice.open && s.waiting > 0 && !now.Before(s.advice.again) && c.mayStart(s) {
			wanted = append(wanted, s)
		}
	}
	c.sortByOrder(wanted)
	var orders []AdviceOrder
	for _, s := range wanted {
		if len(orders) == count {
			break
		}
		workers := c.toAsk(s)
		if len(workers) == 0 {
			continue
		}
		c.begin(s)
		s.advice.open = true
		s.advice.askedAt = now
		c.asking[s.name()] = s
		c.stats.AdviceAsked++
		orders = append(orders, AdviceOrder{Step: s.name(), Workers: workers, AskedAt: now})
	}
	return orders
}

// toAsk returns the workers to ask about for a step: those not asked about
// yet, else those with room whose tickets have aged.
func (c *Core) toAsk(s *step) []requester.HostID {
	if len(s.advice.stale) > 0 {
		return s.advice.stale[:min(len(s.advice.stale), maxAsked)]
	}
	var unknown []*worker
	for _, w := range c.order {
		if !s.advice.asked[w.info.HostID] && w.usable() && c.suits(s, w) {
			unknown = append(unknown, w)
		}
	}
	// Those with the most room first, where not all can be asked about.
	if len(unknown) > maxAsked {
		slices.SortStableFunc(unknown, func(a, b *worker) int { return cmp.Compare(b.room().MilliCores, a.room().MilliCores) })
		unknown = unknown[:maxAsked]
	}
	ids := make([]requester.HostID, len(unknown))
	for i, w := range unknown {
		ids[i] = w.info.HostID
	}
	return ids
}

// Advised takes in the answer to a question. failed tells that there was none.
func (c *Core) Advised(now time.Time, order AdviceOrder, allowed []Ticket, failed bool) {
	c.now = now
	s, ok := c.asking[order.Step]
	if !ok {
		return
	}
	delete(c.asking, order.Step)
	s.advice.open = false
	if failed {
		s.advice.again = now.Add(retryAdvice)
		return
	}
	if s.advice.tickets == nil {
		s.advice.asked = make(map[requester.HostID]bool)
		s.advice.tickets = make(map[requester.HostID]ticket)
	}
	for _, id := range order.Workers {
		s.advice.asked[id] = true
	}
	// The service issued the tickets after it had decided, which takes most
	// of the time of the question; the earliest moment is counted from.
	issued := order.AskedAt
	until := issued.Add(time.Duration(s.job().spec.Advice.ValidMillis) * time.Millisecond)
	if decided := now.Add(-adviceReturn); decided.After(issued) {
		until = decided.Add(time.Duration(s.job().spec.Advice.ValidMillis) * time.Millisecond)
	}
	for _, a := range allowed {
		if w, ok := c.workers[a.Worker]; ok {
			s.advice.tickets[a.Worker] = ticket{text: a.Text, born: w.born, until: until}
		}
	}
	s.advice.stale = nil
	c.changed = true
}

// adviceReturn bounds the way of an answer back to the owner.
const adviceReturn = 100 * time.Millisecond
