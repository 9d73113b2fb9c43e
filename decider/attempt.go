package decider

import (
	"kumquatstall/estimator"
	"kumquatstall/requester"
	"kumquatstall/router"
)

// An attempt to run a call at an endpoint ends with an answer, with a lost connection, or
// is found to have ended when the endpoint is asked. What is known of it then decides
// whether the call ends, or is tried again.

// onAttemptDone applies the result of an attempt: it frees the slot, updates the
// breaker and the estimates, and answers or retries the call. If the call has
// ended or a later attempt is in progress, the result does not affect it.
func (c *Core) onAttemptDone(event AttemptDone) {
	e, ok := c.attempts[event.AttemptID]
	if !ok {
		return
	}
	sp := c.pool(e.call.Service)
	if event.Boot != 0 {
		sp.pool.SetBoot(event.AttemptID, event.Boot)
	}
	live := c.executions[e.id] == e && e.attemptID == event.AttemptID
	if event.Kind == ResultLost {
		c.onConnectionLost(sp, e, event, live)
		return
	}
	delete(c.attempts, event.AttemptID)
	sp.busy[e.call.Urgency]--
	failed := event.Kind == ResultFailed || event.Kind == ResultNotSent
	sp.pool.Finish(c.now, event.AttemptID, failed)
	if event.Kind == ResultAnswered || event.Kind == ResultFailed {
		c.observeDuration(sp, e)
	}
	if !live {
		return
	}
	switch event.Kind {
	case ResultAnswered:
		c.answer(e, requester.Answer{RequestID: e.call.RequestID, Outcome: requester.OutcomeAnswered, Payload: event.Payload})
	case ResultRejected:
		c.answer(e, requester.Answer{
			RequestID: e.call.RequestID,
			Outcome:   requester.OutcomeUnknown,
			Reason:    requester.ReasonInvalid,
			Detail:    event.Detail,
		})
	case ResultNotSent:
		e.sent = e.sentBefore
		c.retry(sp, e, event.Detail)
	case ResultFailed, ResultLost:
		c.retry(sp, e, event.Detail)
	}
}

// observeDuration records how long a call ran and corrects the cost charged to its
// trade.
func (c *Core) observeDuration(sp *servicePool, e *execution) {
	took := c.now.Sub(e.startedAt)
	c.durations.Observe(callKey(&e.call), took)
	c.durations.Observe(estimator.Key{Scope: string(e.call.Service)}, took)
	sp.queue.CorrectCharge(e.call.Trade, e.call.Urgency, e.charged, took)
}

// onConnectionLost handles an attempt whose connection was lost. The endpoint may
// still run the call, so the slot stays taken. An idempotent exclusive call waits
// for that run to end; any other call is retried at once or ends.
func (c *Core) onConnectionLost(sp *servicePool, e *execution, event AttemptDone, live bool) {
	sp.pool.MarkConnectionLost(c.now, event.AttemptID)
	if !live {
		return
	}
	if e.call.Idempotent && e.call.Exclusive {
		e.awaitingEnd = true
		return
	}
	c.retry(sp, e, event.Detail)
}

// retry enqueues a call for another attempt, or ends it. A retry must be safe: the
// call is idempotent or nothing was sent. It needs an attempt left, time to end
// before the deadline and a retry in its trade's budget.
func (c *Core) retry(sp *servicePool, e *execution, detail string) {
	safe := e.call.Idempotent || !e.sent
	worthwhile := e.attemptCount < sp.profile.MaxAttempts && c.now.Add(c.expectedRunTime(&e.call)).Before(e.call.Deadline)
	if safe && worthwhile && c.budgets.TryWithdraw(e.call.Trade) {
		c.stats.Retried++
		c.enqueue(sp, e)
		return
	}
	c.endExecution(e, e.unlessSent(requester.OutcomeNotRun), requester.ReasonEndpointFailed, detail)
}

// onStatus frees the slots of lost attempts that the endpoint no longer runs.
func (c *Core) onStatus(event StatusDone) {
	sp, ok := c.pools[event.Service]
	if !ok || event.Failed {
		return
	}
	c.endLostAttempts(sp, sp.pool.OnStatus(c.now, event.SentAt, event.Endpoint, event.Status))
}

// endLostAttempts frees the slots of lost attempts that are known to have ended and
// retries the exclusive calls that waited for their end.
func (c *Core) endLostAttempts(sp *servicePool, ended []router.Attempt) {
	sortByID(ended, func(a router.Attempt) uint64 { return a.ID })
	for _, attempt := range ended {
		e, ok := c.attempts[attempt.ID]
		if !ok {
			continue
		}
		delete(c.attempts, attempt.ID)
		sp.busy[e.call.Urgency]--
		if e.awaitingEnd && c.executions[e.id] == e {
			e.awaitingEnd = false
			c.retry(sp, e, "connection lost")
		}
	}
}
