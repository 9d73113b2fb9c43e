package decider

import (
	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/recorder"
	"kumquatstall/requester"
	"kumquatstall/tuner"
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
