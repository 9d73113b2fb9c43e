package decider

import (
	"cmp"
	"slices"
	"time"

	"kumquatstall/charter"
	"kumquatstall/encoder"
	"kumquatstall/estimator"
	"kumquatstall/queuer"
	"kumquatstall/recorder"
	"kumquatstall/requester"
	"kumquatstall/router"
)

// execution is a call at the entry that dispatches it to endpoints, with the
// state of its current attempt.
type execution struct {
	id      uint64
	call    requester.Call
	origin  recorder.Origin
	machine charter.Machine
	// attemptCount is the number of attempts dispatched by this entry.
	attemptCount int
	// sent is true if a byte of an attempt may have reached an endpoint.
	sent bool
	// sentBefore is the value of sent before the current attempt. It is
	// restored if the request of that attempt was not sent.
	sentBefore bool
	// endpoint, attemptID and startedAt describe the current attempt.
	endpoint  requester.HostID
	attemptID uint64
	startedAt time.Time
	// charged is the expected run time that the queue charges the trade. It is
	// corrected once the call has ended.
	charged time.Duration
	// tried are the endpoints of all attempts.
	tried []requester.HostID
	// awaitingEnd is true while an idempotent exclusive call whose connection
	// was lost may still run; it is not retried before that run has ended.
	awaitingEnd bool
}

// callChart is the state machine of an execution.
var callChart = charter.MustLoad("call")

func sortByID[T any](items []T, id func(T) uint64) {
	slices.SortFunc(items, func(a, b T) int { return cmp.Compare(id(a), id(b)) })
}

// callKey returns the key under which the run times of a call's kind are
// estimated.
func callKey(call *requester.Call) estimator.Key {
	return estimator.Key{Scope: string(call.Service), Kind: call.Kind}
}

func (c *Core) expectedRunTime(call *requester.Call) time.Duration {
	return c.durations.Mean(callKey(call))
}

// admitCall admits a call for the endpoints owned here and enqueues it, or refuses
// it. sent is true if another entry may already have dispatched the call; a
// refusal then has the outcome Unknown.
func (c *Core) admitCall(call requester.Call, origin recorder.Origin, sent bool) {
	sp := c.pool(call.Service)
	e := &execution{id: c.newID(), call: call, origin: origin, machine: callChart.Start(), sent: sent}
	if reason := c.refusalReason(sp, &call); reason != requester.ReasonNone {
		c.endExecution(e, e.unlessSent(requester.OutcomeRefused), reason, "")
		return
	}
	c.budgets.Deposit(call.Trade, sp.profile.RetryBudget)
	sp.demand.add(call.Urgency, c.expectedRunTime(&call))
	c.executions[e.id] = e
	c.byOrigin[origin] = e.id
	c.enqueue(sp, e)
	c.runAt(call.Deadline, func() { c.onExecutionDeadline(e) })
}

// refusalReason returns why a call is refused on arrival, or ReasonNone. A call is
// refused if its trade's queue is full or, where the profile sheds load and no slot
// is free for it, if by its expected wait and run time it would end after its
// deadline. Refused calls can't correct an estimate that is too high, so each
// refusal for the deadline lowers it.
func (c *Core) refusalReason(sp *servicePool, call *requester.Call) requester.Reason {
	if sp.queue.TradeLen(call.Trade) >= sp.profile.QueueBound {
		return requester.ReasonQueueFull
	}
	if !sp.profile.Shedding {
		return requester.ReasonNone
	}
	slots, free := sp.pool.Slots(c.now)
	if free > sp.queue.Len() || slots == 0 {
		return requester.ReasonNone
	}
	slots -= sp.demand.reserve(call.Urgency, slots, sp.profile.ReserveShare)
	wait := sp.queue.WorkAhead(call.Trade, call.Urgency) / time.Duration(slots)
	if c.now.Add(wait + c.expectedRunTime(call)).After(call.Deadline) {
		c.durations.Decay(callKey(call))
		return requester.ReasonDeadline
	}
	return requester.ReasonNone
}

// enqueue queues a call for its first or its next attempt and charges its trade
// the expected run time.
func (c *Core) enqueue(sp *servicePool, e *execution) {
	e.charged = c.expectedRunTime(&e.call)
	sp.queue.Push(queuer.Item{
		ID:       e.id,
		Trade:    e.call.Trade,
		Urgency:  e.call.Urgency,
		Cost:     e.charged,
		Deadline: e.call.Deadline,
	})
	event := charter.Event("Enqueue")
	if e.attemptCount > 0 {
		event = "Retry"
	}
	if err := e.machine.Fire(event); err != nil {
		c.reportViolation("call chart", err.Error())
	}
}

// dispatchAll dispatches the queued calls of all services for which slots are
// free.
func (c *Core) dispatchAll() {
	for _, sp := range c.pools {
		if sp.queue.Len() > 0 {
			c.dispatchQueued(sp)
		}
	}
}

// dispatchQueued dispatches a service's queued calls while slots are free. If no
// owned endpoint accepts calls any more, it reroutes them.
func (c *Core) dispatchQueued(sp *servicePool) {
	for {
		slots, free := sp.pool.Slots(c.now)
		if slots == 0 {
			c.rerouteQueued(sp)
			return
		}
		if free <= 0 {
			return
		}
		item, ok := sp.queue.Pop(sp.minUrgency(slots))
		if !ok {
			return
		}
		c.dispatch(sp, c.executions[item.ID])
	}
}

// rerouteQueued reroutes all queued calls of a service to other entries.
func (c *Core) rerouteQueued(sp *servicePool) {
	for {
		item, ok := sp.queue.Pop(requester.UrgencyLow)
		if !ok {
			return
		}
		c.rerouteCall(c.executions[item.ID])
	}
}

// rerouteCall removes a call that can't run here and finds another entry for it.
// A call that came from a peer and was not sent to an endpoint goes back to that
// peer, which finds the entry.
func (c *Core) rerouteCall(e *execution) {
	c.removeExecution(e)
	if e.origin.Peer != "" && !e.sent {
		c.replyNotHere(e.origin)
		return
	}
	c.retryRouting(&forward{id: c.newID(), hop: encoder.HopExecutor, call: e.call, origin: e.origin, sent: e.sent})
}

// dispatch starts an attempt of a call at an endpoint. It ends a call that would
// miss its deadline, and reroutes a call if no endpoint is usable or the shard of
// the chosen endpoint is no longer held. The request has to be sent before the
// lease of the shard expires, since another entry may own the endpoint after that.
func (c *Core) dispatch(sp *servicePool, e *execution) {
	if c.missesDeadline(sp, e) {
		c.endExecution(e, e.unlessSent(requester.OutcomeNotRun), requester.ReasonDeadline, "")
		return
	}
	host, ok := sp.pool.Pick(c.now, e.tried)
	if !ok {
		c.rerouteCall(e)
		return
	}
	if _, held := c.leaser.Holds(c.hostShards[host], c.now); !held {
		c.appliedOwnership = ""
		c.rerouteCall(e)
		return
	}
	if e.sent && !e.call.Idempotent {
		c.reportViolation("second dispatch of a call that is not idempotent", string(e.call.RequestID))
		c.endExecution(e, requester.OutcomeUnknown, requester.ReasonEndpointFailed, "")
		return
	}
	e.attemptID = c.newID()
	e.endpoint = host
	e.startedAt = c.now
	e.attemptCount++
	e.sentBefore = e.sent
	e.sent = true
	e.tried = append(e.tried, host)
	if err := e.machine.Fire("Dispatch"); err != nil {
		c.reportViolation("call chart", err.Error())
		return
	}
	address, boot := sp.pool.Start(c.now, router.Attempt{
		ID:        e.attemptID,
		RequestID: e.call.RequestID,
		Endpoint:  host,
		Deadline:  e.call.Deadline,
	})
	if id, over := sp.pool.OverCommitted(); over {
		c.reportViolation("endpoint slots", string(id))
	}
	c.attempts[e.attemptID] = e
	sp.busy[e.call.Urgency]++
	c.stats.Dispatched++
	c.emit(StartAttempt{
		AttemptID: e.attemptID,
		Endpoint:  host,
		Address:   address,
		Boot:      boot,
		Call:      e.call,
		SendBy:    earlier(e.call.Deadline, c.leaser.Deadline(c.hostShards[host])),
	})
}

// missesDeadline reports whether a call is expected to end after its deadline. To
// run it would occupy a slot that other calls wait for and leave the caller without
// an answer. If no call waits or the profile does not shed load, only a deadline
// that has passed counts. Calls that are not run can't correct an estimate that is
// too high, so each decision by the estimate lowers it.
func (c *Core) missesDeadline(sp *servicePool, e *execution) bool {
	if !c.now.Before(e.call.Deadline) {
		return true
	}
	if !sp.profile.Shedding || sp.queue.Len() == 0 || c.now.Add(c.expectedRunTime(&e.call)).Before(e.call.Deadline) {
		return false
	}
	c.durations.Decay(callKey(&e.call))
	return true
}

// unlessSent returns the outcome given, which proves that the call did not run, if
// no byte of the call can have reached an endpoint, else Unknown.
func (e *execution) unlessSent(outcome requester.Outcome) requester.Outcome {
	if e.sent {
		return requester.OutcomeUnknown
	}
	return outcome
}

// onExecutionDeadline ends a call at its deadline, queued or running. An attempt
// in progress keeps its slot until it has ended.
func (c *Core) onExecutionDeadline(e *execution) {
	if c.executions[e.id] != e {
		return
	}
	c.pool(e.call.Service).queue.Remove(e.id)
	c.endExecution(e, e.unlessSent(requester.OutcomeNotRun), requester.ReasonDeadline, "")
}

// cancelExecution cancels a queued call. A call that has been dispatched continues;
// if it has a coordinator, its answer is kept there for later attempts.
func (c *Core) cancelExecution(e *execution) {
	if !c.pool(e.call.Service).queue.Remove(e.id) {
		return
	}
	c.endExecution(e, e.unlessSent(requester.OutcomeCancelled), requester.ReasonNone, "")
}

func (c *Core) removeExecution(e *execution) {
	delete(c.executions, e.id)
	if c.byOrigin[e.origin] == e.id {
		delete(c.byOrigin, e.origin)
	}
}

// endExecution ends a call with an outcome other than Answered. An outcome that
// proves that the call did not run breaks an invariant if the call was sent, and
// becomes Unknown.
func (c *Core) endExecution(e *execution, outcome requester.Outcome, reason requester.Reason, detail string) {
	if outcome.ProvesNotRun() && e.sent {
		c.reportViolation("outcome "+outcome.String()+" of a call that was sent", string(e.call.RequestID))
		outcome = requester.OutcomeUnknown
	}
	c.answer(e, requester.Answer{RequestID: e.call.RequestID, Outcome: outcome, Reason: reason, Detail: detail})
}

// answer ends a call and sends the answer to its origin.
func (c *Core) answer(e *execution, answer requester.Answer) {
	if err := e.machine.Fire("End"); err != nil {
		c.reportViolation("call chart", err.Error())
		return
	}
	answer.Attempts = e.attemptCount
	if e.attemptCount > 0 {
		answer.StartedAt = e.startedAt
		answer.ServedBy = e.endpoint
	}
	c.removeExecution(e)
	c.reply(e.origin, answer)
}
