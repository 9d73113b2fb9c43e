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

// forward is a call that waits for another entry, or for one to be found.
type forward struct {
	id     uint64
	hop    encoder.Hop
	call   requester.Call
	origin recorder.Origin
	// to is the peer that has the call; empty while none has.
	to requester.EntryID
	// sent tells that some peer may have begun to carry the call out; begun
	// tells so of a peer before the one that has it now.
	sent  bool
	begun bool
	// avoid are the peers that could not carry it out.
	avoid map[requester.EntryID]bool
}

// Pauses and bounds of forwarding.
const (
	// searchInterval separates attempts to find an entry for a call.
	searchInterval = 20 * time.Millisecond
	// replyGrace is how long after a call's deadline its answer may come.
	replyGrace = 250 * time.Millisecond
)

// onCall takes in a call from a caller.
func (c *Core) onCall(event CallArrived) {
	call := event.Call
	origin := recorder.Origin{Token: event.Token}
	c.tokens[event.Token] = call.RequestID
	if err := call.Validate(c.now, c.now.Add(c.options.MaxCallLifetime)); err != nil {
		c.refuseField(origin, call, requester.AsFieldError(err))
		return
	}
	if field := c.unknownName(&call); field != nil {
		c.refuseField(origin, call, field)
		return
	}
	if call.NeedsCoordinator() {
		c.routeHome(&forward{id: c.id(), hop: encoder.HopCoordinator, call: call, origin: origin})
		return
	}
	c.routeRun(&forward{id: c.id(), hop: encoder.HopExecutor, call: call, origin: origin})
}

func (c *Core) refuseField(origin recorder.Origin, call requester.Call, field *requester.FieldError) {
	c.reply(origin, requester.Answer{
		RequestID: call.RequestID,
		Outcome:   requester.OutcomeRefused,
		Reason:    requester.ReasonInvalid,
		Field:     field.Field,
		Detail:    field.Expected,
	})
}

// unknownName returns the field that names a trade, service or data centre
// that does not exist, or nil.
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
	for _, info := range c.options.DataCentres {
		if info.Name == name {
			return true
		}
	}
	return false
}

// homeOf returns the seat that is the request's home. A call that names its
// data centre has its home there; for others a data centre is drawn by the
// RequestID.
func (c *Core) homeOf(call *requester.Call) leaser.Shard {
	dataCentre := call.DataCentre
	if dataCentre == "" {
		names := make([]string, 0, len(c.options.DataCentres))
		for _, info := range c.options.DataCentres {
			names = append(names, string(info.Name))
		}
		dataCentre = requester.DataCentre(leaser.Choose(names, string(call.RequestID)))
	}
	return c.seatOf(dataCentre, string(call.RequestID))
}

// routeHome hands a call to its home. Handing it over twice is harmless: the
// home joins the two.
func (c *Core) routeHome(f *forward) {
	if c.expired(f) {
		return
	}
	to, ok := c.holderOf(c.homeOf(&f.call))
	if !ok || f.avoid[to] {
		f.avoid = nil
		c.search(f)
		return
	}
	if to == c.options.Self {
		c.dropForward(f)
		c.beginHome(f.call, f.origin, f.sent || f.call.Attempt > 1)
		return
	}
	c.sendForward(f, to)
}

// routeRun hands a call to the entry where it is expected to start first.
func (c *Core) routeRun(f *forward) {
	if c.expired(f) {
		return
	}
	to, ok := c.chooseOwner(f)
	if !ok {
		f.avoid = nil
		c.search(f)
		return
	}
	if to == c.options.Self {
		c.dropForward(f)
		c.run(f.call, f.origin, f.sent)
		return
	}
	c.sendForward(f, to)
}

// route hands a call on by its hop.
func (c *Core) route(f *forward) {
	if f.hop == encoder.HopCoordinator {
		c.routeHome(f)
		return
	}
	c.routeRun(f)
}

// search tries again soon to find an entry for a call.
func (c *Core) search(f *forward) {
	f.to = ""
	c.keepForward(f)
	c.at(c.now.Add(searchInterval), func() {
		if c.forwards[f.id] == f && f.to == "" {
			c.route(f)
		}
	})
}

// keepForward remembers a forward and ends it when its time is over.
func (c *Core) keepForward(f *forward) {
	if _, ok := c.forwards[f.id]; ok {
		return
	}
	c.forwards[f.id] = f
	c.byOrigin[f.origin] = f.id
	c.at(f.call.Deadline.Add(replyGrace), func() {
		if c.forwards[f.id] == f {
			c.expired(f)
		}
	})
}

func (c *Core) dropForward(f *forward) {
	delete(c.forwards, f.id)
	if c.byOrigin[f.origin] == f.id {
		delete(c.byOrigin, f.origin)
	}
}

// expired ends a call whose time is over, and reports whether it is.
func (c *Core) expired(f *forward) bool {
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
	c.reply(f.origin, c.unserved(f, reason))
	return true
}

// unserved is the truthful answer for a call that no entry has ended: NotRun
// only if none can have begun it, by this attempt or an earlier one.
func (c *Core) unserved(f *forward, reason requester.Reason) requester.Answer {
	answer := requester.Answer{RequestID: f.call.RequestID, Outcome: requester.OutcomeNotRun, Reason: reason}
	earlier := f.hop == encoder.HopCoordinator && f.call.Attempt > 1
	if f.sent || earlier {
		answer.Outcome = requester.OutcomeUnknown
	}
	return answer
}

func (c *Core) sendForward(f *forward, to requester.EntryID) {
	f.begun = f.sent
	f.to = to
	f.sent = true
	c.keepForward(f)
	c.stats.Forwarded++
	c.emit(Send{To: to, Message: &encoder.CallForward{ID: f.id, Hop: f.hop, Call: f.call, Again: f.begun}})
}

// onForwarded takes in a call from a peer.
func (c *Core) onForwarded(p *peer, message *encoder.CallForward) {
	call := message.Call
	call.Deadline = call.Deadline.Add(-p.offset)
	origin := recorder.Origin{Peer: p.info.EntryID, ID: message.ID}
	if message.Hop == encoder.HopExecutor {
		if !c.canRun(call.Service) {
			c.notHere(origin)
			return
		}
		c.run(call, origin, false)
		return
	}
	if holder, ok := c.holderOf(c.homeOf(&call)); !ok || holder != c.options.Self {
		c.notHere(origin)
		return
	}
	c.beginHome(call, origin, message.Again || call.Attempt > 1)
}

// notHere tells a peer that nothing was done with its call.
func (c *Core) notHere(origin recorder.Origin) {
	c.emit(Send{To: origin.Peer, Message: &encoder.CallReply{ID: origin.ID, NotHere: true}})
}

func (c *Core) onCallReply(p *peer, message *encoder.CallReply) {
	f, ok := c.forwards[message.ID]
	if !ok || f.to != p.info.EntryID {
		return
	}
	if message.NotHere {
		c.avoid(f, p.info.EntryID)
		f.sent = f.begun
		c.search(f)
		return
	}
	c.dropForward(f)
	answer := message.Answer
	if !answer.StartedAt.IsZero() {
		answer.StartedAt = answer.StartedAt.Add(-p.offset)
	}
	if f.hop == encoder.HopExecutor && f.begun && answer.Outcome.ProvesNotRun() {
		// The peer speaks for itself only.
		answer.Outcome = requester.OutcomeUnknown
	}
	c.reply(f.origin, answer)
}

func (c *Core) avoid(f *forward, id requester.EntryID) {
	if f.avoid == nil {
		f.avoid = make(map[requester.EntryID]bool)
	}
	f.avoid[id] = true
}

// forwardsLost deals with the calls that a peer had when its link was lost.
func (c *Core) forwardsLost(id requester.EntryID) {
	for _, f := range c.forwardsTo(id) {
		f.to = ""
		if f.hop == encoder.HopCoordinator || !f.call.NeedsCoordinator() {
			// The home joins a second copy to the first; a call without a
			// home may run twice.
			c.avoid(f, id)
			c.search(f)
			continue
		}
		c.dropForward(f)
		c.reply(f.origin, c.unserved(f, requester.ReasonNoEndpoint))
	}
}

// forwardsTo lists the calls that a peer has, oldest first.
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

// onCallerLeft withdraws the call of a caller that has gone.
func (c *Core) onCallerLeft(event CallerLeft) {
	id, ok := c.tokens[event.Token]
	if !ok {
		return
	}
	delete(c.tokens, event.Token)
	c.withdraw(recorder.Origin{Token: event.Token}, id)
}

// withdraw takes back what was begun for an origin, as far as it has not
// started. Nobody waits for an answer any more.
func (c *Core) withdraw(origin recorder.Origin, id requester.RequestID) {
	if c.book.RemoveWaiter(id, origin) {
		c.withdraw(recorder.Origin{CoordinatedRequest: id}, id)
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

func (c *Core) onCancelled(p *peer, message *encoder.CallCancel) {
	origin := recorder.Origin{Peer: p.info.EntryID, ID: message.ID}
	if key, ok := c.byOrigin[origin]; ok {
		if e, ok := c.executions[key]; ok {
			c.cancelExecution(e)
		}
	}
}

// reply hands an answer to whom it is for.
func (c *Core) reply(origin recorder.Origin, answer requester.Answer) {
	switch {
	case origin.CoordinatedRequest != "":
		c.finishHome(origin.CoordinatedRequest, answer)
	case origin.Token != 0:
		if _, waits := c.tokens[origin.Token]; waits {
			delete(c.tokens, origin.Token)
			c.emit(ReplyCall{Token: origin.Token, Answer: answer})
		}
	case origin.Peer != "":
		c.emit(Send{To: origin.Peer, Message: &encoder.CallReply{ID: origin.ID, Answer: answer}})
	}
}

// chooseOwner returns the entry where a call is expected to start first. An
// entry of another data centre counts with the round trip to it.
func (c *Core) chooseOwner(f *forward) (requester.EntryID, bool) {
	var best requester.EntryID
	var bestCost time.Duration
	found := false
	consider := func(id requester.EntryID, cost time.Duration) {
		if f.avoid[id] {
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
		if !ok || !p.connected || p.leaving || load.Slots == 0 {
			continue
		}
		cost := time.Duration(load.WaitMicros)*time.Microsecond + p.roundTrip
		if p.info.DataCentre != c.options.DataCentre {
			cost += remotePenalty
		}
		consider(p.info.EntryID, cost)
	}
	if p, ok := c.peers[best]; ok && found {
		p.charge(f.call.Service, c.runTime(&f.call))
	}
	return best, found
}

// remotePenalty is what the use of a link between data centres costs, as a
// wait that is worth avoiding it.
const remotePenalty = 10 * time.Millisecond

// charge counts a call that was just sent into the load the peer last told.
func (p *peer) charge(service requester.Service, run time.Duration) {
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
