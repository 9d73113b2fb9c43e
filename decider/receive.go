package decider

import (
	"time"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/leaser"
	"kumquatstall/recorder"
	"kumquatstall/requester"
	"kumquatstall/tuner"
)

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

// onCall validates a call from a caller and routes it.
func (c *Core) onCall(event CallArrived) {
	call := event.Call
	origin := recorder.Origin{Token: event.Token}
	c.waitingCallers[event.Token] = call.RequestID
	if err := call.Validate(c.now, c.now.Add(c.options.MaxCallLifetime)); err != nil {
		c.refuseInvalid(origin, call, requester.AsFieldError(err))
		return
	}
	if field := c.unknownName(&call); field != nil {
		c.refuseInvalid(origin, call, field)
		return
	}
	if call.NeedsCoordinator() {
		c.routeToCoordinator(&forward{id: c.newID(), hop: encoder.HopCoordinator, call: call, origin: origin})
		return
	}
	c.routeToOwner(&forward{id: c.newID(), hop: encoder.HopExecutor, call: call, origin: origin})
}

func (c *Core) refuseInvalid(origin recorder.Origin, call requester.Call, field *requester.FieldError) {
	c.reply(origin, requester.Answer{
		RequestID: call.RequestID,
		Outcome:   requester.OutcomeRefused,
		Reason:    requester.ReasonInvalid,
		Field:     field.Field,
		Detail:    field.Expected,
	})
}

// unknownName returns an error for the first field that names a trade, service
// or data centre that does not exist, or nil.
func (c *Core) unknownName(call *requester.Call) *requester.FieldError {
	if !c.config.AcceptsTrade(call.Trade) {
		return &requester.FieldError{Field: "Trade", Expected: "the name of a configured trade"}
	}
	if !c.knowsService(call.Service) {
		return &requester.FieldError{Field: "Service", Expected: "the name of a service"}
	}
	if call.DataCentre != "" && !c.knowsDataCentre(call.DataCentre) {
		return &requester.FieldError{Field: "DataCentre", Expected: "the name of a data centre"}
	}
	return nil
}

func (c *Core) knowsService(service requester.Service) bool {
	if _, ok := c.config.Item(tuner.ItemID{Kind: tuner.ItemService, Name: string(service)}); ok {
		return true
	}
	for _, host := range c.hosts {
		if host.Role == keeper.RoleEndpoint && host.Service == service {
			return true
		}
	}
	for _, p := range c.peers {
		if _, ok := p.loads[service]; ok {
			return true
		}
	}
	return false
}

func (c *Core) knowsDataCentre(name requester.DataCentre) bool {
	_, ok := c.options.dataCentre(name)
	return ok
}

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
	if !ok || f.excluded[to] {
		f.excluded = nil
		c.retryRouting(f)
		return
	}
	if to == c.options.Self {
		c.dropForward(f)
		c.coordinate(f.call, f.origin, f.sent || f.call.Attempt > 1)
		return
	}
	c.sendForward(f, to)
}

// routeToOwner forwards a call to the entry, which may be this one, that owns
// endpoints of the service and where the call is expected to start first.
func (c *Core) routeToOwner(f *forward) {
	if c.endIfExpired(f) {
		return
	}
	to, ok := c.chooseOwner(f)
	if !ok {
		f.excluded = nil
		c.retryRouting(f)
		return
	}
	if to == c.options.Self {
		c.dropForward(f)
		c.admitCall(f.call, f.origin, f.sent)
		return
	}
	c.sendForward(f, to)
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

// onCallForward handles a call that a peer forwarded. Its deadline is converted
// from the peer's clock to this entry's.
func (c *Core) onCallForward(p *peer, message *encoder.CallForward) {
	call := message.Call
	call.Deadline = call.Deadline.Add(-p.offset)
	origin := recorder.Origin{Peer: p.info.EntryID, ID: message.ID}
	if message.Hop == encoder.HopExecutor {
		if !c.canRun(call.Service) {
			c.replyNotHere(origin)
			return
		}
		c.admitCall(call, origin, false)
		return
	}
	if holder, ok := c.holderOf(c.coordinatorShardOf(&call)); !ok || holder != c.options.Self {
		c.replyNotHere(origin)
		return
	}
	c.coordinate(call, origin, message.Again || call.Attempt > 1)
}

// replyNotHere replies to a peer that this entry can't handle its call and has
// not started it.
func (c *Core) replyNotHere(origin recorder.Origin) {
	c.emit(Send{To: origin.Peer, Message: &encoder.CallReply{ID: origin.ID, NotHere: true}})
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

func (c *Core) onCallerDisconnected(event CallerDisconnected) {
	id, ok := c.waitingCallers[event.Token]
	if !ok {
		return
	}
	delete(c.waitingCallers, event.Token)
	c.cancelCall(recorder.Origin{Token: event.Token}, id)
}

// cancelCall cancels the call of an origin that no longer waits for an answer.
// A request with a coordinator is cancelled once no origin waits for it any
// more. An attempt that has been sent to an endpoint continues.
func (c *Core) cancelCall(origin recorder.Origin, id requester.RequestID) {
	if c.registry.RemoveWaiter(id, origin) {
		c.cancelCall(recorder.Origin{CoordinatedRequest: id}, id)
	}
	key, ok := c.byOrigin[origin]
	if !ok {
		return
	}
	if f, ok := c.forwards[key]; ok {
		if f.to != "" {
			c.emit(Send{To: f.to, Message: &encoder.CallCancel{ID: f.id}})
		}
		if origin.CoordinatedRequest == "" {
			c.dropForward(f)
		}
		return
	}
	if e, ok := c.executions[key]; ok {
		c.cancelExecution(e)
	}
}

func (c *Core) onCallCancel(p *peer, message *encoder.CallCancel) {
	origin := recorder.Origin{Peer: p.info.EntryID, ID: message.ID}
	if key, ok := c.byOrigin[origin]; ok {
		if e, ok := c.executions[key]; ok {
			c.cancelExecution(e)
		}
	}
}

// reply sends an answer to its origin: the coordinator here, a caller or a
// peer.
func (c *Core) reply(origin recorder.Origin, answer requester.Answer) {
	switch {
	case origin.CoordinatedRequest != "":
		c.finishRequest(origin.CoordinatedRequest, answer)
	case origin.Token != 0:
		if _, waits := c.waitingCallers[origin.Token]; waits {
			delete(c.waitingCallers, origin.Token)
			c.emit(ReplyCall{Token: origin.Token, Answer: answer})
		}
	case origin.Peer != "":
		c.emit(Send{To: origin.Peer, Message: &encoder.CallReply{ID: origin.ID, Answer: answer}})
	}
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
