// Package queuer orders the calls that wait for a slot of a service's endpoints.
// A slot is the capacity of an endpoint to execute one call at a time.
//
// A call has a cost, the slot time that it is expected to use. Slot time is
// shared between trades in proportion to their weights by start-time fair
// queueing: the virtual time of a trade grows by the cost of each of its calls
// that is served, divided by its weight. A trade without queued calls is inactive.
// When it becomes active, its virtual time is raised to the highest one at which
// a trade was served, so it gets no credit for the time in which it was
// inactive.
//
// Among the trades whose virtual time exceeds the lowest one by at most a
// quantum, the trade with the most urgent call is served next; ties go to the
// lowest virtual time. Urgency thus affects the order between trades but not
// their shares.
//
// The calls of a trade are served by urgency, then by arrival. A floor keeps
// calls of lower urgency from starving: it is the share of the trade's slot
// time that they get even while more urgent calls wait.
//
// A Queue owns no goroutine, lock or clock.
package queuer

import (
	"math"
	"time"

	"kumquatstall/requester"
)

// Item is a queued call.
type Item struct {
	// ID identifies the call and increases with each arrival.
	ID      uint64
	Trade   requester.Trade
	Urgency requester.Urgency
	// Cost is the slot time that the call is expected to use.
	Cost     time.Duration
	Deadline time.Time
}

// Policy configures a Queue according to the profile in force. The zero value
// of a field means no bound, no floors or equal weights.
type Policy struct {
	// Fifo serves calls in order of arrival alone, without regard to trades
	// and urgencies.
	Fifo bool
	// MaxPerTrade bounds the number of queued calls of a trade.
	MaxPerTrade int
	// Floors are the minimum shares of a trade's slot time that its calls get
	// while more urgent ones wait, by urgency.
	Floors [requester.UrgencyCount]float64
	// Weight returns a trade's weight.
	Weight func(requester.Trade) float64
}

// quantum bounds how far the virtual time of a trade may exceed the lowest one if
// the trade is to be served first because its call is more urgent.
const quantum = 50 * time.Millisecond

// node is a queued call, or one that was removed but is still in the list of
// its class.
type node struct {
	item    Item
	removed bool
}

// urgencyClass holds the calls of one trade and urgency in order of arrival.
type urgencyClass struct {
	nodes []*node
	// live is the number of nodes that are not removed.
	live int
	// work is the total cost of the live nodes.
	work time.Duration
	// served is the slot time that was charged to the class. It is halved
	// whenever the trade's sum reaches servedWindow, so that recent service
	// dominates.
	served time.Duration
}

// tradeQueue holds the calls of one trade. It remains after its last call has
// left, to keep the virtual time and the service of the classes.
type tradeQueue struct {
	trade   requester.Trade
	classes [requester.UrgencyCount]urgencyClass
	// live is the number of queued calls of the trade.
	live        int
	virtualTime float64
}

// Queue holds the calls at one entry that wait for endpoints of one service.
type Queue struct {
	policy Policy
	trades map[requester.Trade]*tradeQueue
	// active holds the trades with queued calls.
	active []*tradeQueue
	nodes  map[uint64]*node
	// virtualTime is the highest virtual time that a trade had when it was
	// served.
	virtualTime float64
	// work is the total cost of the queued calls, by urgency.
	work [requester.UrgencyCount]time.Duration
}

// New returns an empty queue.
func New(policy Policy) *Queue {
	return &Queue{policy: policy, trades: make(map[requester.Trade]*tradeQueue), nodes: make(map[uint64]*node)}
}

// SetPolicy replaces the policy. The new one also orders the calls that are
// queued already, but MaxPerTrade evicts none of them.
func (q *Queue) SetPolicy(policy Policy) { q.policy = policy }

// Len returns the number of queued calls.
func (q *Queue) Len() int { return len(q.nodes) }

// TradeLen returns the number of queued calls of a trade.
func (q *Queue) TradeLen(trade requester.Trade) int {
	if tq, ok := q.trades[trade]; ok {
		return tq.live
	}
	return 0
}

// Work returns the total cost of all queued calls.
func (q *Queue) Work() time.Duration {
	var sum time.Duration
	for _, work := range q.work {
		sum += work
	}
	return sum
}

// WorkAhead estimates the slot time that is allocated to other calls before a
// call of the trade and urgency that arrives now. The estimate is the cost of
// the trade's own calls of the same or higher urgency, divided by the trade's
// share of the slots among the active trades, and at most the cost of all
// queued calls. For a Fifo queue it is the cost of all queued calls.
func (q *Queue) WorkAhead(trade requester.Trade, urgency requester.Urgency) time.Duration {
	if q.policy.Fifo {
		return q.Work()
	}
	var own time.Duration
	if tq, ok := q.trades[trade]; ok {
		for u := urgency; u < requester.UrgencyCount; u++ {
			own += tq.classes[u].work
		}
	}
	weight := q.weight(trade)
	total := weight
	for _, tq := range q.active {
		if tq.trade != trade {
			total += q.weight(tq.trade)
		}
	}
	return min(time.Duration(float64(own)*total/weight), q.Work())
}

// Push adds a call. It reports false and adds nothing if the trade has
// MaxPerTrade calls already.
func (q *Queue) Push(item Item) bool {
	tq, ok := q.trades[item.Trade]
	if !ok {
		tq = &tradeQueue{trade: item.Trade}
		q.trades[item.Trade] = tq
	}
	if q.policy.MaxPerTrade > 0 && tq.live >= q.policy.MaxPerTrade {
		return false
	}
	if tq.live == 0 {
		tq.virtualTime = max(tq.virtualTime, q.virtualTime)
		q.active = append(q.active, tq)
	}
	n := &node{item: item}
	c := &tq.classes[item.Urgency]
	c.nodes = append(c.nodes, n)
	c.live++
	c.work += item.Cost
	tq.live++
	q.nodes[item.ID] = n
	q.work[item.Urgency] += item.Cost
	return true
}

// Remove removes a call and reports whether it was queued. It takes constant
// time, except that the last call of a trade costs a scan of the active trades.
func (q *Queue) Remove(id uint64) bool {
	n, ok := q.nodes[id]
	if !ok {
		return false
	}
	q.markRemoved(n)
	return true
}

// markRemoved marks a node as removed and updates the counts. The node stays in
// the list of its class until it reaches the head or the trade has no calls
// left.
func (q *Queue) markRemoved(n *node) {
	n.removed = true
	delete(q.nodes, n.item.ID)
	q.work[n.item.Urgency] -= n.item.Cost
	tq := q.trades[n.item.Trade]
	c := &tq.classes[n.item.Urgency]
	c.live--
	c.work -= n.item.Cost
	tq.live--
	if tq.live > 0 {
		return
	}
	for i := range tq.classes {
		tq.classes[i].nodes = nil
	}
	for i, other := range q.active {
		if other == tq {
			q.active[i] = q.active[len(q.active)-1]
			q.active = q.active[:len(q.active)-1]
			break
		}
	}
}

// Pop removes and returns the call to serve next among those of at least
// minUrgency, and charges its cost to its trade. ok is false if there is none.
// A Fifo queue ignores minUrgency and charges nothing.
func (q *Queue) Pop(minUrgency requester.Urgency) (item Item, ok bool) {
	if q.policy.Fifo {
		return q.popOldest()
	}
	tq := q.nextTrade(minUrgency)
	if tq == nil {
		return Item{}, false
	}
	c := q.nextClass(tq, minUrgency)
	n := c.head()
	q.virtualTime = max(q.virtualTime, tq.virtualTime)
	q.markRemoved(n)
	c.nodes = dropRemoved(c.nodes)
	q.charge(tq, n.item.Urgency, n.item.Cost)
	return n.item, true
}

// popOldest removes and returns the call that arrived first.
func (q *Queue) popOldest() (Item, bool) {
	var oldest *node
	for _, tq := range q.active {
		for i := range tq.classes {
			if tq.classes[i].live == 0 {
				continue
			}
			if n := tq.classes[i].head(); oldest == nil || n.item.ID < oldest.item.ID {
				oldest = n
			}
		}
	}
	if oldest == nil {
		return Item{}, false
	}
	q.markRemoved(oldest)
	return oldest.item, true
}

// CorrectCharge replaces the cost that was charged for a call by the slot time
// that the call actually used.
func (q *Queue) CorrectCharge(trade requester.Trade, urgency requester.Urgency, charged, actual time.Duration) {
	if tq, ok := q.trades[trade]; ok {
		q.charge(tq, urgency, actual-charged)
	}
}

// servedWindow is the slot time served to a trade at which the service of all
// its classes is halved.
const servedWindow = 10 * time.Second

// charge adds a cost, divided by the trade's weight, to the virtual time of the
// trade, and the cost to the service of the class.
func (q *Queue) charge(tq *tradeQueue, urgency requester.Urgency, cost time.Duration) {
	tq.virtualTime += float64(cost) / q.weight(tq.trade)
	tq.classes[urgency].served += cost
	var served time.Duration
	for i := range tq.classes {
		served += tq.classes[i].served
	}
	if served < servedWindow {
		return
	}
	for i := range tq.classes {
		tq.classes[i].served /= 2
	}
}

func (q *Queue) weight(trade requester.Trade) float64 {
	if q.policy.Weight == nil {
		return 1
	}
	return q.policy.Weight(trade)
}

// nextTrade returns the trade to serve next among those with a call of at least
// minUrgency, or nil if there is none.
func (q *Queue) nextTrade(minUrgency requester.Urgency) *tradeQueue {
	lowest := math.Inf(1)
	for _, tq := range q.active {
		if tq.mostUrgent() >= minUrgency {
			lowest = min(lowest, tq.virtualTime)
		}
	}
	var best *tradeQueue
	var bestUrgency requester.Urgency
	for _, tq := range q.active {
		urgency := tq.mostUrgent()
		if urgency < minUrgency || tq.virtualTime > lowest+float64(quantum) {
			continue
		}
		if best == nil || urgency > bestUrgency || urgency == bestUrgency && tq.virtualTime < best.virtualTime {
			best, bestUrgency = tq, urgency
		}
	}
	return best
}

// mostUrgent returns the highest urgency of the trade's queued calls, of which
// there must be at least one.
func (t *tradeQueue) mostUrgent() requester.Urgency {
	for urgency := requester.UrgencyUrgent; urgency > requester.UrgencyLow; urgency-- {
		if t.classes[urgency].live > 0 {
			return urgency
		}
	}
	return requester.UrgencyLow
}

// nextClass returns the trade's class to serve next among those of at least
// minUrgency: the least urgent one that has been served less than its floor,
// otherwise the most urgent one.
func (q *Queue) nextClass(tq *tradeQueue, minUrgency requester.Urgency) *urgencyClass {
	var served time.Duration
	for i := range tq.classes {
		served += tq.classes[i].served
	}
	for i := int(minUrgency); i < len(tq.classes); i++ {
		c := &tq.classes[i]
		if c.live > 0 && q.policy.Floors[i] > 0 && float64(c.served) < q.policy.Floors[i]*float64(served) {
			return c
		}
	}
	return &tq.classes[tq.mostUrgent()]
}

// head returns the first live node of the class, which must have one.
func (c *urgencyClass) head() *node {
	c.nodes = dropRemoved(c.nodes)
	return c.nodes[0]
}

// dropRemoved returns nodes without the removed ones at its head.
func dropRemoved(nodes []*node) []*node {
	for len(nodes) > 0 && nodes[0].removed {
		nodes[0] = nil
		nodes = nodes[1:]
	}
	return nodes
}
