// Package queuer orders the calls that wait for a slot.
//
// Slot time is shared between trades in proportion to their weights by
// start-time fair queueing: each trade has a virtual time that grows by the
// cost of what it was given, divided by its weight, and the trade with the
// least is served next. Among the trades that are not ahead of the least by
// more than one quantum, the one with the most urgent call goes first, so that
// urgency orders calls within what the shares allow.
//
// Within a trade calls go by urgency, then by arrival. Less urgent calls keep
// a floor: a share of the trade's slot time that they are given even while
// more urgent ones wait.
//
// A Queue owns no goroutine, lock or clock.
package queuer

import (
	"math"
	"time"

	"kumquatstall/requester"
)

// Item is one call that waits.
type Item struct {
	// ID grows with each call that arrives.
	ID       uint64
	Trade    requester.Trade
	Urgency  requester.Urgency
	Cost     time.Duration
	Deadline time.Time
}

// Policy is what a Queue has to know of the profile in force. The zero value
// of a field means no bound, no floor and equal weights.
type Policy struct {
	// Fifo starts calls by arrival alone.
	Fifo bool
	// MaxPerTrade bounds the calls of one trade.
	MaxPerTrade int
	// Floors are the shares of a trade's slot time kept by each urgency.
	Floors [requester.UrgencyCount]float64
	// Weight returns a trade's weight.
	Weight func(requester.Trade) float64
}

// quantum is how far a trade may be ahead of the one with the least virtual
// time and still go first because its call is more urgent.
const quantum = 50 * time.Millisecond

type node struct {
	item    Item
	removed bool
}

type class struct {
	nodes []*node
	// live counts the nodes that are not removed.
	live int
	// work is the slot time of the live nodes.
	work time.Duration
	// served is the slot time given, halved from time to time so that it
	// tells of the recent past.
	served time.Duration
}

// tradeQueue holds the calls of one trade.
type tradeQueue struct {
	trade   requester.Trade
	classes [requester.UrgencyCount]class
	live    int
	virtual float64
}

// Queue holds the calls that wait for the endpoints of one service at one
// entry.
type Queue struct {
	policy Policy
	trades map[requester.Trade]*tradeQueue
	active []*tradeQueue
	nodes  map[uint64]*node
	// virtual is the virtual time of the last trade served.
	virtual float64
	work    [requester.UrgencyCount]time.Duration
}

// New returns an empty queue.
func New(policy Policy) *Queue {
	return &Queue{policy: policy, trades: make(map[requester.Trade]*tradeQueue), nodes: make(map[uint64]*node)}
}

// SetPolicy changes the policy; it governs the calls that wait already.
func (q *Queue) SetPolicy(policy Policy) { q.policy = policy }

// Len returns the number of calls that wait.
func (q *Queue) Len() int { return len(q.nodes) }

// TradeLen returns the number of calls of a trade that wait.
func (q *Queue) TradeLen(trade requester.Trade) int {
	if tq, ok := q.trades[trade]; ok {
		return tq.live
	}
	return 0
}

// Work returns the slot time of all calls that wait.
func (q *Queue) Work() time.Duration {
	var sum time.Duration
	for _, work := range q.work {
		sum += work
	}
	return sum
}

// WorkAhead estimates the slot time that is given out before a call of this
// trade and urgency that arrives now. It counts the trade's own calls of no
// lower urgency, scaled up by the share of the slots that the trade gets
// while others wait, and never more than all the work there is.
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

// Push adds a call. It reports false where the trade's bound is reached.
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
		tq.virtual = max(tq.virtual, q.virtual)
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

// Remove takes a call out, in constant time. It reports whether it waited.
func (q *Queue) Remove(id uint64) bool {
	n, ok := q.nodes[id]
	if !ok {
		return false
	}
	q.forget(n)
	return true
}

// forget marks a node as removed and counts it out.
func (q *Queue) forget(n *node) {
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

// Pop takes out the call that is to start next, among those of at least an
// urgency. ok is false where none waits.
func (q *Queue) Pop(least requester.Urgency) (item Item, ok bool) {
	if q.policy.Fifo {
		return q.popOldest()
	}
	tq := q.nextTrade(least)
	if tq == nil {
		return Item{}, false
	}
	c := q.nextClass(tq, least)
	n := c.head()
	q.virtual = max(q.virtual, tq.virtual)
	q.forget(n)
	c.nodes = dropRemoved(c.nodes)
	q.charge(tq, n.item.Urgency, n.item.Cost)
	return n.item, true
}

// popOldest takes out the call that arrived first.
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
	q.forget(oldest)
	return oldest.item, true
}

// CorrectCharge replaces the cost that a call was charged by what it took.
func (q *Queue) CorrectCharge(trade requester.Trade, urgency requester.Urgency, charged, took time.Duration) {
	if tq, ok := q.trades[trade]; ok {
		q.charge(tq, urgency, took-charged)
	}
}

// servedWindow is the slot time after which past service counts half.
const servedWindow = 10 * time.Second

func (q *Queue) charge(tq *tradeQueue, urgency requester.Urgency, cost time.Duration) {
	tq.virtual += float64(cost) / q.weight(tq.trade)
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

// nextTrade returns the trade to serve next, among those with a call of at
// least an urgency, or nil.
func (q *Queue) nextTrade(least requester.Urgency) *tradeQueue {
	lowest := math.Inf(1)
	for _, tq := range q.active {
		if tq.mostUrgent() >= least {
			lowest = min(lowest, tq.virtual)
		}
	}
	var best *tradeQueue
	var bestUrgency requester.Urgency
	for _, tq := range q.active {
		urgency := tq.mostUrgent()
		if urgency < least || tq.virtual > lowest+float64(quantum) {
			continue
		}
		if best == nil || urgency > bestUrgency || urgency == bestUrgency && tq.virtual < best.virtual {
			best, bestUrgency = tq, urgency
		}
	}
	return best
}

func (t *tradeQueue) mostUrgent() requester.Urgency {
	for urgency := requester.UrgencyUrgent; urgency > requester.UrgencyLow; urgency-- {
		if t.classes[urgency].live > 0 {
			return urgency
		}
	}
	return requester.UrgencyLow
}

// nextClass returns the class of the trade to serve next, among those of at
// least an urgency: the least urgent one that is below its floor, else the
// most urgent one.
func (q *Queue) nextClass(tq *tradeQueue, least requester.Urgency) *class {
	var served time.Duration
	for i := range tq.classes {
		served += tq.classes[i].served
	}
	for i := int(least); i < len(tq.classes); i++ {
		c := &tq.classes[i]
		if c.live > 0 && q.policy.Floors[i] > 0 && float64(c.served) < q.policy.Floors[i]*float64(served) {
			return c
		}
	}
	return &tq.classes[tq.mostUrgent()]
}

func (c *class) head() *node {
	c.nodes = dropRemoved(c.nodes)
	return c.nodes[0]
}

func dropRemoved(nodes []*node) []*node {
	for len(nodes) > 0 && nodes[0].removed {
		nodes[0] = nil
		nodes = nodes[1:]
	}
	return nodes
}
