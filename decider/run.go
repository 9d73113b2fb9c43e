package decider

import (
	"cmp"
	"slices"
	"time"

	"kumquatstall/breaker"
	"kumquatstall/charter"
	"kumquatstall/encoder"
	"kumquatstall/estimator"
	"kumquatstall/queuer"
	"kumquatstall/recorder"
	"kumquatstall/requester"
	"kumquatstall/router"
	"kumquatstall/tuner"
)

// servicePool is the endpoints of one service owned here and the calls that
// wait for them.
type servicePool struct {
	service requester.Service
	profile tuner.Profile
	pool    *router.Pool
	queue   *queuer.Queue
	demand  demand
	// busy counts the executions that hold a slot, by urgency.
	busy [requester.UrgencyCount]int
}

// execution is a call at the entry that runs it.
type execution struct {
	id      uint64
	call    requester.Call
	origin  recorder.Origin
	machine charter.Machine
	// started counts the executions begun; sent tells that a byte of one of
	// them may have reached an endpoint.
	started int
	sent    bool
	// sentBefore is what sent was before the current execution.
	sentBefore bool
	// endpoint and attempt are those of the current execution.
	endpoint  requester.HostID
	attempt   uint64
	startedAt time.Time
	charged   time.Duration
	tried     []requester.HostID
	// waiting tells that an exclusive call's connection was lost and that
	// its end is waited for.
	waiting bool
}

var callChart = charter.MustLoad("call")

func sortByID[T any](items []T, id func(T) uint64) {
	slices.SortFunc(items, func(a, b T) int { return cmp.Compare(id(a), id(b)) })
}

func breakerLimits(profile tuner.Profile) breaker.Limits {
	return breaker.Limits{
		FailureThreshold: profile.BreakerFailures,
		CoolDown:         time.Duration(profile.BreakerMillis) * time.Millisecond,
	}
}

func (c *Core) queuePolicy(profile tuner.Profile) queuer.Policy {
	return queuer.Policy{
		Fifo:        profile.QueueOrder == tuner.QueueFifo,
		MaxPerTrade: profile.QueueBound,
		Floors:      [requester.UrgencyCount]float64{profile.FloorLow, profile.FloorNormal, 0},
		Weight:      c.config.TradeWeight,
	}
}

func (c *Core) pool(service requester.Service) *servicePool {
	sp, ok := c.pools[service]
	if !ok {
		profile := c.config.ServiceProfile(service)
		sp = &servicePool{
			service: service,
			profile: profile,
			pool:    router.NewPool(routerLimits(profile, c.options)),
			queue:   queuer.New(c.queuePolicy(profile)),
		}
		c.pools[service] = sp
	}
	return sp
}

// canRun reports whether this entry owns an endpoint of the service that may
// get calls.
func (c *Core) canRun(service requester.Service) bool {
	sp, ok := c.pools[service]
	if !ok || c.handingOver {
		return false
	}
	slots, _ := sp.pool.Slots(c.now)
	return slots > 0
}

// expectedWait estimates the wait of a call that arrives here now.
func (c *Core) expectedWait(service requester.Service) time.Duration {
	sp := c.pools[service]
	slots, free := sp.pool.Slots(c.now)
	if free > sp.queue.Len() {
		return 0
	}
	if slots == 0 {
		return c.options.MaxCallLifetime
	}
	return sp.queue.Work()/time.Duration(slots) + c.durations.Mean(estimator.Key{Scope: string(service)})/time.Duration(slots)
}

// loads tells how busy the endpoints owned here are.
func (c *Core) loads() []encoder.ServiceLoad {
	var loads []encoder.ServiceLoad
	if c.handingOver {
		return loads
	}
	for service, sp := range c.pools {
		slots, free := sp.pool.Slots(c.now)
		if slots == 0 {
			continue
		}
		loads = append(loads, encoder.ServiceLoad{
			Service:    service,
			Slots:      slots,
			Free:       max(0, free-sp.queue.Len()),
			WaitMicros: c.expectedWait(service).Microseconds(),
		})
	}
	slices.SortFunc(loads, func(a, b encoder.ServiceLoad) int { return cmp.Compare(a.Service, b.Service) })
	return loads
}

func callKey(call *requester.Call) estimator.Key {
	return estimator.Key{Scope: string(call.Service), Kind: call.Kind}
}

func (c *Core) runTime(call *requester.Call) time.Duration { return c.durations.Mean(callKey(call)) }

// run takes in a call for the endpoints owned here. sent tells that another
// entry may have begun to run it.
func (c *Core) run(call requester.Call, origin recorder.Origin, sent bool) {
	sp := c.pool(call.Service)
	e := &execution{id: c.id(), call: call, origin: origin, machine: callChart.Start(), sent: sent}
	if reason := c.admit(sp, &call); reason != requester.ReasonNone {
		outcome := requester.OutcomeRefused
		if sent {
			outcome = requester.OutcomeUnknown
		}
		c.endExecution(e, outcome, reason, "")
		return
	}
	c.budgets.Deposit(call.Trade, sp.profile.RetryBudget)
	sp.demand.add(call.Urgency, c.runTime(&call))
	c.executions[e.id] = e
	c.byOrigin[origin] = e.id
	c.enqueue(sp, e)
	c.at(call.Deadline, func() { c.onExecutionDeadline(e) })
}

// admit returns why a call is turned away on arrival, or ReasonNone.
func (c *Core) admit(sp *servicePool, call *requester.Call) requester.Reason {
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
	if c.now.Add(wait + c.runTime(call)).After(call.Deadline) {
		c.durations.Decay(callKey(call))
		return requester.ReasonDeadline
	}
	return requester.ReasonNone
}

func (c *Core) enqueue(sp *servicePool, e *execution) {
	e.charged = c.runTime(&e.call)
	sp.queue.Push(queuer.Item{
		ID:       e.id,
		Trade:    e.call.Trade,
		Urgency:  e.call.Urgency,
		Cost:     e.charged,
		Deadline: e.call.Deadline,
	})
	event := charter.Event("Enqueue")
	if e.started > 0 {
		event = "Retry"
	}
	if err := e.machine.Fire(event); err != nil {
		c.violate("call chart", err.Error())
	}
}

// pumpAll starts the calls for which there are slots now.
func (c *Core) pumpAll() {
	for _, sp := range c.pools {
		if sp.queue.Len() > 0 {
			c.pump(sp)
		}
	}
}

func (c *Core) pump(sp *servicePool) {
	for {
		slots, free := sp.pool.Slots(c.now)
		if slots == 0 {
			c.reroute(sp)
			return
		}
		if free <= 0 {
			return
		}
		item, ok := sp.queue.Pop(sp.leastUrgency(slots))
		if !ok {
			return
		}
		c.dispatch(sp, c.executions[item.ID])
	}
}

// reroute hands the calls that wait for a service of which no endpoint is
// owned any more to other entries.
func (c *Core) reroute(sp *servicePool) {
	for {
		item, ok := sp.queue.Pop(requester.UrgencyLow)
		if !ok {
			return
		}
		c.handOn(c.executions[item.ID])
	}
}

// handOn gives a call that can't run here to another entry.
func (c *Core) handOn(e *execution) {
	c.forgetExecution(e)
	if e.origin.Peer != "" && !e.sent {
		c.notHere(e.origin)
		return
	}
	c.search(&forward{id: c.id(), hop: encoder.HopExecutor, call: e.call, origin: e.origin, sent: e.sent})
}

// dispatch gives a call to an endpoint.
func (c *Core) dispatch(sp *servicePool, e *execution) {
	if c.tooLate(sp, e) {
		c.endExecution(e, c.notRunOutcome(e), requester.ReasonDeadline, "")
		return
	}
	host, ok := sp.pool.Pick(c.now, e.tried)
	if !ok {
		c.handOn(e)
		return
	}
	if _, held := c.leaser.Holds(c.hostSeats[host], c.now); !held {
		c.ownedKey = ""
		c.handOn(e)
		return
	}
	if e.sent && !e.call.Idempotent {
		c.violate("second dispatch of a call that is not idempotent", string(e.call.RequestID))
		c.endExecution(e, requester.OutcomeUnknown, requester.ReasonEndpointFailed, "")
		return
	}
	e.attempt = c.id()
	e.endpoint = host
	e.startedAt = c.now
	e.started++
	e.sentBefore = e.sent
	e.sent = true
	e.tried = append(e.tried, host)
	if err := e.machine.Fire("Dispatch"); err != nil {
		c.violate("call chart", err.Error())
		return
	}
	address := sp.pool.Start(c.now, router.Attempt{
		ID:        e.attempt,
		RequestID: e.call.RequestID,
		Endpoint:  host,
		Deadline:  e.call.Deadline,
	})
	if id, over := sp.pool.OverCommitted(); over {
		c.violate("endpoint slots", string(id))
	}
	c.attempts[e.attempt] = e
	sp.busy[e.call.Urgency]++
	c.stats.Dispatched++
	c.emit(StartAttempt{
		AttemptID: e.attempt,
		Endpoint:  host,
		Address:   address,
		Call:      e.call,
		SendBy:    earlier(e.call.Deadline, c.leaser.Deadline(c.hostSeats[host])),
	})
}

// tooLate reports whether a call can't end before its deadline: running it
// would waste a slot that others wait for and leave the caller without an
// answer. An estimate that keeps calls from running can't be corrected by
// them, so that it is doubted each time.
func (c *Core) tooLate(sp *servicePool, e *execution) bool {
	if !c.now.Before(e.call.Deadline) {
		return true
	}
	if !sp.profile.Shedding || sp.queue.Len() == 0 || c.now.Add(c.runTime(&e.call)).Before(e.call.Deadline) {
		return false
	}
	c.durations.Decay(callKey(&e.call))
	return true
}

// notRunOutcome is NotRun where nothing of the call reached an endpoint.
func (c *Core) notRunOutcome(e *execution) requester.Outcome {
	if e.sent {
		return requester.OutcomeUnknown
	}
	return requester.OutcomeNotRun
}

func (c *Core) onExecutionDeadline(e *execution) {
	if c.executions[e.id] != e {
		return
	}
	c.pool(e.call.Service).queue.Remove(e.id)
	c.endExecution(e, c.notRunOutcome(e), requester.ReasonDeadline, "")
}

// cancelExecution withdraws a call that has not started. One that has goes on;
// its answer is kept for later attempts, if it has a home.
func (c *Core) cancelExecution(e *execution) {
	if !c.pool(e.call.Service).queue.Remove(e.id) {
		return
	}
	outcome := requester.OutcomeCancelled
	if e.sent {
		outcome = requester.OutcomeUnknown
	}
	c.endExecution(e, outcome, requester.ReasonNone, "")
}

func (c *Core) forgetExecution(e *execution) {
	delete(c.executions, e.id)
	if c.byOrigin[e.origin] == e.id {
		delete(c.byOrigin, e.origin)
	}
}

// endExecution ends a call and answers it.
func (c *Core) endExecution(e *execution, outcome requester.Outcome, reason requester.Reason, detail string) {
	if outcome.ProvesNotRun() && e.sent {
		c.violate("outcome "+outcome.String()+" of a call that was sent", string(e.call.RequestID))
		outcome = requester.OutcomeUnknown
	}
	c.answer(e, requester.Answer{RequestID: e.call.RequestID, Outcome: outcome, Reason: reason, Detail: detail})
}

func (c *Core) answer(e *execution, answer requester.Answer) {
	if err := e.machine.Fire("End"); err != nil {
		c.violate("call chart", err.Error())
		return
	}
	answer.Attempts = e.started
	if e.started > 0 {
		answer.StartedAt = e.startedAt
		answer.ServedBy = e.endpoint
	}
	c.forgetExecution(e)
	c.reply(e.origin, answer)
}

// onAttemptDone takes in how an execution ended.
func (c *Core) onAttemptDone(event AttemptDone) {
	e, ok := c.attempts[event.AttemptID]
	if !ok {
		return
	}
	sp := c.pool(e.call.Service)
	live := c.executions[e.id] == e && e.attempt == event.AttemptID
	if event.Kind == ResultLost {
		c.onLost(sp, e, event, live)
		return
	}
	delete(c.attempts, event.AttemptID)
	sp.busy[e.call.Urgency]--
	failed := event.Kind == ResultFailed || event.Kind == ResultNotSent
	sp.pool.Finish(c.now, event.AttemptID, failed)
	if event.Kind == ResultAnswered || event.Kind == ResultFailed {
		c.learn(sp, e)
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

// learn notes how long a call took and corrects what its trade was charged.
func (c *Core) learn(sp *servicePool, e *execution) {
	took := c.now.Sub(e.startedAt)
	c.durations.Observe(callKey(&e.call), took)
	c.durations.Observe(estimator.Key{Scope: string(e.call.Service)}, took)
	sp.queue.CorrectCharge(e.call.Trade, e.call.Urgency, e.charged, took)
}

// onLost deals with an execution whose connection was lost: it may go on, so
// that its slot stays taken.
func (c *Core) onLost(sp *servicePool, e *execution, event AttemptDone, live bool) {
	sp.pool.MarkConnectionLost(c.now, event.AttemptID)
	if !live {
		return
	}
	if e.call.Idempotent && e.call.Exclusive {
		e.waiting = true
		return
	}
	c.retry(sp, e, event.Detail)
}

// retry runs a call once more if that does no harm and is worth it; else the
// call ends.
func (c *Core) retry(sp *servicePool, e *execution, detail string) {
	harmless := e.call.Idempotent || !e.sent
	worth := e.started < sp.profile.MaxAttempts && c.now.Add(c.runTime(&e.call)).Before(e.call.Deadline)
	if harmless && worth && c.budgets.TryWithdraw(e.call.Trade) {
		c.stats.Retried++
		c.enqueue(sp, e)
		return
	}
	c.endExecution(e, c.notRunOutcome(e), requester.ReasonEndpointFailed, detail)
}

// tickPools asks endpoints in doubt and gives back what has expired.
func (c *Core) tickPools() {
	for _, sp := range c.pools {
		sp.demand.roll(c.now)
		for _, info := range sp.pool.StatusDue(c.now) {
			c.emit(AskStatus{Endpoint: info})
		}
		c.attemptsEnded(sp, sp.pool.Expire(c.now))
	}
}

func (c *Core) onStatus(event StatusDone) {
	sp, ok := c.pools[event.Service]
	if !ok || event.Failed {
		return
	}
	c.attemptsEnded(sp, sp.pool.OnStatus(c.now, event.SentAt, event.Endpoint, event.Status))
}

// attemptsEnded deals with lost executions that are now known to have ended.
func (c *Core) attemptsEnded(sp *servicePool, ended []router.Attempt) {
	sortByID(ended, func(a router.Attempt) uint64 { return a.ID })
	for _, attempt := range ended {
		e, ok := c.attempts[attempt.ID]
		if !ok {
			continue
		}
		delete(c.attempts, attempt.ID)
		sp.busy[e.call.Urgency]--
		if e.waiting && c.executions[e.id] == e {
			e.waiting = false
			c.retry(sp, e, "connection lost")
		}
	}
}
