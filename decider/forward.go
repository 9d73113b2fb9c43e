package decider

import (
	"time"

	"kumquatstall/encoder"
	"kumquatstall/leaser"
	"kumquatstall/recorder"
	"kumquatstall/requester"
)

// A forward is a call on its way: to its coordinator or to an owner of endpoints, which
// may be this entry. It is routed again when the entry that has it can't handle it or is
// lost. What decides whether that is safe, and which answer is true if no entry is found,
// is whether some entry may have started the call: sent.

// forward is a call that has been forwarded to a peer, or for which no entry
// has been found yet.
type forward struct {
	id     uint64
	hop    encoder.Hop
	call   requester.Call
	origin recorder.Origin
	// to is the peer that has the call; empty if none has.
	to requester.EntryID
	// sent is true if some peer may have started to handle the call.
	// sentBefore is the value of sent before the last forward. It is restored
	// if that peer replies that it has not started the call.
	sent       bool
	sentBefore bool
	// excluded are the peers not to forward the call to, because they replied
	// that they can't handle it or their link was lost. It is cleared when no
	// other entry is left.
	excluded map[requester.EntryID]bool
}

const (
	// routingRetryInterval is the time between attempts to find an entry for a
	// call.
	routingRetryInterval = 20 * time.Millisecond
	// replyGrace is how long after a call's deadline a peer's reply is still
	// awaited.
	replyGrace = 250 * time.Millisecond
)

// coordinatorShardOf returns the shard whose holder coordinates the request.
// It is in the data centre that the call names; for a call that names none, a
// data centre is chosen by hashing the RequestID.
func (c *Core) coordinatorShardOf(call *requester.Call) leaser.Shard {
	dataCentre := call.DataCentre
	if dataCentre == "" {
		names := make([]string, 0, len(c.options.DataCentres))
		for _, info := range c.options.DataCentres {
			names = append(names, string(info.Name))
		}
		dataCentre = requester.DataCentre(leaser.Choose(names, string(call.RequestID)))
	}
	return c.shardOf(dataCentre, string(call.RequestID))
}

// routeToCoordinator forwards a call to its coordinator, which may be this
// entry. Forwarding it twice is harmless: the coordinator joins the second copy
// to the first.
func (c *Core) routeToCoordinator(f *forward) {
	if c.endIfExpired(f) {
		return
	}
	to, ok := c.holderOf(c.coordinatorShardOf(&f.call))
	c.routeTo(f, to, ok && !f.excluded[to], func() { c.coordinate(f.call, f.origin, f.sent || f.call.Attempt > 1) })
}

// routeToOwner forwards a call to the entry, which may be this one, that owns
// endpoints of the service and where the call is expected to start first.
func (c *Core) routeToOwner(f *forward) {
	if c.endIfExpired(f) {
		return
	}
	to, ok := c.chooseOwner(f)
	c.routeTo(f, to, ok, func() { c.admitCall(f.call, f.origin, f.sent) })
}

// routeTo forwards a call to an entry. If that is this one, the call is no longer a
// forward, and handle handles it here. If no entry was found, the excluded ones are tried
// again later.
func (c *Core) routeTo(f *forward, to requester.EntryID, found bool, handle func()) {
	switch {
	case !found:
		f.excluded = nil
		c.retryRouting(f)
	case to == c.options.Self:
		c.dropForward(f)
		handle()
	default:
		c.sendForward(f, to)
	}
}

// route routes a call by its hop.
func (c *Core) route(f *forward) {
	if f.hop == encoder.HopCoordinator {
		c.routeToCoordinator(f)
		return
	}
	c.routeToOwner(f)
}

// retryRouting routes a call again after routingRetryInterval.
func (c *Core) retryRouting(f *forward) {
	f.to = ""
	c.trackForward(f)
	c.runAt(c.now.Add(routingRetryInterval), func() {
		if c.forwards[f.id] == f && f.to == "" {
			c.route(f)
		}
	})
}

// trackForward adds a forward to those in flight and ends it once its deadline
// and replyGrace have passed.
func (c *Core) trackForward(f *forward) {
	if _, ok := c.forwards[f.id]; ok {
		return
	}
	c.forwards[f.id] = f
	c.byOrigin[f.origin] = f.id
	c.runAt(f.call.Deadline.Add(replyGrace), func() {
		if c.forwards[f.id] == f {
			c.endIfExpired(f)
		}
	})
}

func (c *Core) dropForward(f *forward) {
	delete(c.forwards, f.id)
	if c.byOrigin[f.origin] == f.id {
		delete(c.byOrigin, f.origin)
	}
}

// endIfExpired ends a call that has expired, and reports whether it has. A
// call that a peer has expires replyGrace after its deadline.
func (c *Core) endIfExpired(f *forward) bool {
	limit := f.call.Deadline
	if f.to != "" {
		limit = limit.Add(replyGrace)
	}
	if c.now.Before(limit) {
		return false
	}
	c.dropForward(f)
	reason := requester.ReasonNoEndpoint
	if f.hop == encoder.HopCoordinator {
		reason = requester.ReasonNoCoordinator
	}
	c.reply(f.origin, c.unservedAnswer(f, reason))
	return true
}

// unservedAnswer returns the answer to a call for which no entry reported an
// outcome. It is NotRun only if no entry can have started the call, by this
// attempt or an earlier one; otherwise it is Unknown.
func (c *Core) unservedAnswer(f *forward, reason requester.Reason) requester.Answer {
	answer := requester.Answer{RequestID: f.call.RequestID, Outcome: requester.OutcomeNotRun, Reason: reason}
	earlier := f.hop == encoder.HopCoordinator && f.call.Attempt > 1
	if f.sent || earlier {
		answer.Outcome = requester.OutcomeUnknown
	}
	return answer
}

func (c *Core) sendForward(f *forward, to requester.EntryID) {
	f.sentBefore = f.sent
	f.to = to
	f.sent = true
	c.trackForward(f)
	c.stats.Forwarded++
	c.emit(Send{To: to, Message: &encoder.CallForward{ID: f.id, Hop: f.hop, Call: f.call, Again: f.sentBefore}})
}

func (c *Core) onCallReply(p *peer, message *encoder.CallReply) {
	f, ok := c.forwards[message.ID]
	if !ok || f.to != p.info.EntryID {
		return
	}
	if message.NotHere {
		c.exclude(f, p.info.EntryID)
		f.sent = f.sentBefore
		c.retryRouting(f)
		return
	}
	c.dropForward(f)
	answer := message.Answer
	if !answer.StartedAt.IsZero() {
		answer.StartedAt = answer.StartedAt.Add(-p.offset)
	}
	if f.hop == encoder.HopExecutor && f.sentBefore && answer.Outcome.ProvesNotRun() {
		// The peer's answer covers its own attempt only; an earlier peer may
		// have run the call.
		answer.Outcome = requester.OutcomeUnknown
	}
	c.reply(f.origin, answer)
}

func (c *Core) exclude(f *forward, id requester.EntryID) {
	if f.excluded == nil {
		f.excluded = make(map[requester.EntryID]bool)
	}
	f.excluded[id] = true
}

// resolveLostForwards reroutes or ends the calls that a peer had when the link
// to it was lost.
func (c *Core) resolveLostForwards(id requester.EntryID) {
	for _, f := range c.forwardsTo(id) {
		f.to = ""
		if f.hop == encoder.HopCoordinator || !f.call.NeedsCoordinator() {
			// The coordinator joins a second copy to the first; a call that
			// needs no coordinator may run twice.
			c.exclude(f, id)
			c.retryRouting(f)
			continue
		}
		c.dropForward(f)
		c.reply(f.origin, c.unservedAnswer(f, requester.ReasonNoEndpoint))
	}
}

// forwardsTo returns the forwards that a peer has, oldest first.
func (c *Core) forwardsTo(id requester.EntryID) []*forward {
	var found []*forward
	for _, f := range c.forwards {
		if f.to == id {
			found = append(found, f)
		}
	}
	sortByID(found, func(f *forward) uint64 { return f.id })
	return found
}

// chooseOwner returns the entry where a call is expected to start first, by
// the expected wait at the entry, the round trip to it and, for an entry of
// another data centre, remotePenalty. It adds the call to the load of the peer
// chosen.
func (c *Core) chooseOwner(f *forward) (requester.EntryID, bool) {
	var best requester.EntryID
	var bestCost time.Duration
	found := false
	consider := func(id requester.EntryID, cost time.Duration) {
		if f.excluded[id] {
			return
		}
		if !found || cost < bestCost {
			best, bestCost, found = id, cost, true
		}
	}
	if c.canRun(f.call.Service) {
		consider(c.options.Self, c.expectedWait(f.call.Service))
	}
	for _, p := range c.peerOrder {
		load, ok := p.loads[f.call.Service]
		if !ok || !p.connected || p.draining || load.Slots == 0 {
			continue
		}
		cost := time.Duration(load.WaitMicros)*time.Microsecond + p.roundTrip
		if p.info.DataCentre != c.options.DataCentre {
			cost += remotePenalty
		}
		consider(p.info.EntryID, cost)
	}
	if p, ok := c.peers[best]; ok && found {
		p.addLoad(f.call.Service, c.expectedRunTime(&f.call))
	}
	return best, found
}

// remotePenalty is added to the cost of an entry of another data centre: a call
// is forwarded there only if this shortens its expected wait by more than the
// round trip and the penalty.
const remotePenalty = 10 * time.Millisecond

// addLoad adds a call that is being forwarded to the load that the peer last
// reported, so that calls between two heartbeats do not all choose that peer.
func (p *peer) addLoad(service requester.Service, run time.Duration) {
	load, ok := p.loads[service]
	if !ok {
		return
	}
	if load.Free > 0 {
		load.Free--
		return
	}
	load.WaitMicros += run.Microseconds() / int64(max(1, load.Slots))
}
