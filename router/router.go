// Package router dispatches calls to endpoints.
//
// An entry owns the endpoints whose call shards it holds, and only the owner of an
// endpoint dispatches calls to it. A Pool holds those endpoints of one service
// that the entry owns, and accounts for all of their slots. A slot is the capacity
// to execute one call at a time. A dispatched call occupies a slot until its
// execution is known to have ended: the complete response arrived, the endpoint
// reports that the request is not running, or the deadline of the execution and a
// safety margin have passed. A closed connection does not free the slot, since the
// execution may continue.
//
// The state of an endpoint follows the chart "endpoint". A newly owned endpoint
// settles before it gets calls, so that executions inherited from a previous
// owner are counted against its slots. Each endpoint also has a circuit breaker.
//
// A Pool owns no goroutine, lock, clock or socket.
package router

import (
	"net/netip"
	"slices"
	"sort"
	"time"

	"kumquatstall/breaker"
	"kumquatstall/charter"
	"kumquatstall/requester"
)

// Headers of a request to an endpoint.
const (
	HeaderRequestID  = "Request-Id"
	HeaderKind       = "Call-Kind"
	HeaderTrade      = "Call-Trade"
	HeaderDeadline   = "Execution-Deadline"
	HeaderIdempotent = "Call-Idempotent"
	HeaderExclusive  = "Call-Exclusive"
)

// EndpointStatus is an endpoint's response to a status request. Now is the time on
// the endpoint's clock. Running lists the requests that it is executing.
type EndpointStatus struct {
	Now     time.Time
	Running []requester.RequestID
}

// EndpointInfo describes an endpoint. It executes at most Slots calls at a time,
// each over one of at most Connections connections.
type EndpointInfo struct {
	HostID      requester.HostID
	Service     requester.Service
	Address     netip.AddrPort
	Slots       int
	Connections int
}

// Limits configures a Pool according to the settings and the profile in force.
type Limits struct {
	// Breaker configures the breaker of each endpoint.
	Breaker breaker.Limits
	// Random chooses a random endpoint with a free slot instead of the one
	// with the most free slots.
	Random bool
	// SettleTimeout is the longest time for which an endpoint can still run
	// calls of a previous owner. It limits the settling of an endpoint that
	// does not report its status.
	SettleTimeout time.Duration
	// Margin is the safety margin for requests in flight. It is also added to
	// the deadline of an execution whose end is unknown.
	Margin time.Duration
}

// Attempt is one execution of a call on an endpoint, as the owner of the
// endpoint sees it.
type Attempt struct {
	ID        uint64
	RequestID requester.RequestID
	Endpoint  requester.HostID
	StartedAt time.Time
	// Deadline is the time at which the endpoint ends the execution.
	Deadline time.Time
	// connectionLostAt is the time at which the connection was lost; zero if
	// it is intact.
	connectionLostAt time.Time
}

// endpoint is the owner's view of an endpoint.
type endpoint struct {
	info     EndpointInfo
	machine  charter.Machine
	attempts map[uint64]*Attempt
	// inherited is the number of executions that the last status report contained
	// beyond the known attempts; a previous owner dispatched them.
	inherited int
	breaker   breaker.Breaker
	// settlingSince is the time at which the endpoint was first owned or last
	// returned from leaving.
	settlingSince     time.Time
	statusRequestedAt time.Time
	// statusAt is the time of the endpoint's last status report.
	statusAt time.Time
	leaving  bool
}

// freeSlots returns the number of executions that the endpoint has capacity
// for. It is negative while attempts and inherited executions exceed the capacity.
func (e *endpoint) freeSlots() int {
	return e.capacity() - e.running()
}

// capacity returns how many calls the endpoint may execute at a time.
func (e *endpoint) capacity() int { return min(e.info.Slots, e.info.Connections) }

// running returns how many executions occupy a slot, the inherited ones included.
func (e *endpoint) running() int { return len(e.attempts) + e.inherited }

// Pool holds the endpoints of one service that the entry owns.
type Pool struct {
	chart     *charter.Chart
	limits    Limits
	endpoints map[requester.HostID]*endpoint
	// order holds the endpoints sorted by HostID.
	order []*endpoint
	// attempts maps each attempt that occupies a slot to its endpoint, which
	// may no longer be owned.
	attempts map[uint64]*endpoint
	draws    uint64
}

// NewPool returns a pool without endpoints.
func NewPool(limits Limits) *Pool {
	return &Pool{
		chart:     charter.MustLoad("endpoint"),
		limits:    limits,
		endpoints: make(map[requester.HostID]*endpoint),
		attempts:  make(map[uint64]*endpoint),
	}
}

// SetLimits replaces the limits.
func (p *Pool) SetLimits(limits Limits) { p.limits = limits }

// OwnedEndpoint is an endpoint that the entry owns. Leaving is true while the
// endpoint is being drained.
type OwnedEndpoint struct {
	EndpointInfo
	Leaving bool
}

// SetEndpoints replaces the set of owned endpoints. An endpoint that is no
// longer owned gets no new calls; its attempts are tracked until they end.
func (p *Pool) SetEndpoints(now time.Time, owned []OwnedEndpoint) {
	present := make(map[requester.HostID]bool, len(owned))
	for _, ownedEndpoint := range owned {
		present[ownedEndpoint.HostID] = true
		e, ok := p.endpoints[ownedEndpoint.HostID]
		if !ok {
			e = &endpoint{machine: p.chart.Start(), breaker: breaker.New(), attempts: make(map[uint64]*Attempt), settlingSince: now}
			p.endpoints[ownedEndpoint.HostID] = e
		}
		e.info = ownedEndpoint.EndpointInfo
		e.setLeaving(now, ownedEndpoint.Leaving)
	}
	for id := range p.endpoints {
		if !present[id] {
			delete(p.endpoints, id)
		}
	}
	p.order = p.order[:0]
	for _, e := range p.endpoints {
		p.order = append(p.order, e)
	}
	sort.Slice(p.order, func(i, j int) bool { return p.order[i].info.HostID < p.order[j].info.HostID })
}

// setLeaving starts or ends draining. An endpoint that returns settles again.
func (e *endpoint) setLeaving(now time.Time, leaving bool) {
	if leaving == e.leaving {
		return
	}
	e.leaving = leaving
	if leaving {
		_ = e.machine.Fire("Leave")
		return
	}
	_ = e.machine.Fire("Return")
	e.settlingSince = now
}

// Slots returns the number of slots of all endpoints that are not leaving, and
// how many of them are free on usable endpoints.
func (p *Pool) Slots(now time.Time) (slots, free int) {
	for _, e := range p.order {
		if e.leaving {
			continue
		}
		slots += e.info.Slots
		if e.usable(now) {
			free += max(0, e.freeSlots())
		}
	}
	return slots, free
}

// usable reports whether the endpoint may get calls, regardless of whether it has
// a free slot.
func (e *endpoint) usable(now time.Time) bool {
	return e.machine.In("Serving") && e.breaker.Allows(now)
}

// Pick returns the usable endpoint with the most free slots, at least one. It
// returns one of tried only if there is no other, and under Limits.Random never.
// ok is false if there is none.
func (p *Pool) Pick(now time.Time, tried []requester.HostID) (id requester.HostID, ok bool) {
	if p.limits.Random {
		return p.pickRandom(now, tried)
	}
	var best, fallback *endpoint
	for _, e := range p.order {
		if e.freeSlots() <= 0 || !e.usable(now) {
			continue
		}
		if fallback == nil || e.freeSlots() > fallback.freeSlots() {
			fallback = e
		}
		if slices.Contains(tried, e.info.HostID) {
			continue
		}
		if best == nil || e.freeSlots() > best.freeSlots() {
			best = e
		}
	}
	if best == nil {
		best = fallback
	}
	if best == nil {
		return "", false
	}
	return best.info.HostID, true
}

// pickRandom returns a usable endpoint with a free slot that is not one of tried.
// It draws from a hash of the number of draws so far, so that the same sequence
// of events always yields the same choices.
func (p *Pool) pickRandom(now time.Time, tried []requester.HostID) (requester.HostID, bool) {
	var candidates []requester.HostID
	for _, e := range p.order {
		if e.freeSlots() > 0 && e.usable(now) && !slices.Contains(tried, e.info.HostID) {
			candidates = append(candidates, e.info.HostID)
		}
	}
	if len(candidates) == 0 {
		return "", false
	}
	p.draws++
	const multiplier = 0x9E3779B97F4A7C15
	return candidates[(p.draws*multiplier>>32)%uint64(len(candidates))], true
}

// Start reserves a slot of attempt.Endpoint, which must be owned, for the attempt
// and returns the address of the endpoint.
func (p *Pool) Start(now time.Time, attempt Attempt) netip.AddrPort {
	e := p.endpoints[attempt.Endpoint]
	e.breaker.RecordStart()
	attempt.StartedAt = now
	e.attempts[attempt.ID] = &attempt
	p.attempts[attempt.ID] = e
	return e.info.Address
}

// Finish releases the slot of an attempt that has ended. failed reports whether
// the breaker of the endpoint counts it as a failure.
func (p *Pool) Finish(now time.Time, id uint64, failed bool) {
	e, ok := p.attempts[id]
	if !ok {
		return
	}
	p.releaseSlot(e, id)
	if failed {
		e.breaker.RecordFailure(now, p.limits.Breaker)
	} else {
		e.breaker.RecordSuccess()
	}
}

func (p *Pool) releaseSlot(e *endpoint, attemptID uint64) {
	delete(e.attempts, attemptID)
	delete(p.attempts, attemptID)
}

// MarkConnectionLost records that the connection of an attempt was lost, which
// counts as a failure of the endpoint. The slot stays occupied.
func (p *Pool) MarkConnectionLost(now time.Time, id uint64) {
	e, ok := p.attempts[id]
	if !ok {
		return
	}
	e.attempts[id].connectionLostAt = now
	e.breaker.RecordFailure(now, p.limits.Breaker)
}

// statusInterval is the minimum interval between status requests to an endpoint.
const statusInterval = 250 * time.Millisecond

// StatusDue returns the endpoints whose status is to be requested now: those that
// are settling, have inherited executions or have attempts whose connection was
// lost.
func (p *Pool) StatusDue(now time.Time) []EndpointInfo {
	var found []EndpointInfo
	for _, e := range p.order {
		if !e.needsStatus() || now.Sub(e.statusRequestedAt) < statusInterval {
			continue
		}
		e.statusRequestedAt = now
		found = append(found, e.info)
	}
	return found
}

// needsStatus reports whether the endpoint may be running executions whose end
// the pool cannot learn from the response of a call.
func (e *endpoint) needsStatus() bool {
	if e.machine.In("Settling") || e.inherited > 0 {
		return true
	}
	for _, attempt := range e.attempts {
		if !attempt.connectionLostAt.IsZero() {
			return true
		}
	}
	return false
}

// OnStatus handles an endpoint's response to a status request that was sent at
// sentAt. It releases the slots of attempts whose connection was lost and which
// are now known to have ended, and returns these attempts. Executions in excess
// of the known attempts of a request count as inherited. A response ends the
// settling if its request was sent more than Margin after the settling began, when
// no request of a previous owner is in flight any more.
func (p *Pool) OnStatus(now, sentAt time.Time, id requester.HostID, status EndpointStatus) []Attempt {
	e, ok := p.endpoints[id]
	if !ok {
		return nil
	}
	reported := make(map[requester.RequestID]bool)
	running := make(map[requester.RequestID]int)
	for _, requestID := range status.Running {
		reported[requestID] = true
		running[requestID]++
	}
	for _, attempt := range e.attempts {
		running[attempt.RequestID]--
	}
	inherited := 0
	for _, count := range running {
		inherited += max(0, count)
	}
	var ended []Attempt
	for attemptID, attempt := range e.attempts {
		// The margin allows for a request that is still in flight. If another
		// attempt of the same request may be running, the report does not show
		// whether this one has ended.
		conclusive := !attempt.connectionLostAt.IsZero() && sentAt.After(attempt.connectionLostAt.Add(p.limits.Margin))
		if conclusive && !reported[attempt.RequestID] {
			ended = append(ended, *attempt)
			p.releaseSlot(e, attemptID)
		}
	}
	e.inherited = inherited
	e.statusAt = now
	if e.machine.In("Settling") && sentAt.After(e.settlingSince.Add(p.limits.Margin)) {
		_ = e.machine.Fire("Settled")
	}
	return ended
}

// Expire releases the slots of attempts whose connection was lost and whose
// deadline and margin have passed, and returns these attempts. It also ends the
// settling of endpoints after SettleTimeout, and from then on drops inherited
// executions that were last reported longer than SettleTimeout ago.
func (p *Pool) Expire(now time.Time) []Attempt {
	var ended []Attempt
	for id, e := range p.attempts {
		attempt := e.attempts[id]
		if attempt.connectionLostAt.IsZero() || now.Before(attempt.Deadline.Add(p.limits.Margin)) {
			continue
		}
		ended = append(ended, *attempt)
		p.releaseSlot(e, id)
	}
	for _, e := range p.order {
		if now.Before(e.settlingSince.Add(p.limits.SettleTimeout)) {
			continue
		}
		if e.machine.In("Settling") {
			_ = e.machine.Fire("Settled")
		}
		if e.inherited > 0 && now.Sub(e.statusAt) > p.limits.SettleTimeout {
			e.inherited = 0
		}
	}
	return ended
}

// OccupiedSlots returns how many slots of an endpoint are occupied by attempts
// and inherited executions. It is meant for tests.
func (p *Pool) OccupiedSlots(id requester.HostID) int {
	if e, ok := p.endpoints[id]; ok {
		return e.running()
	}
	return 0
}

// OverCommitted checks the invariant that no endpoint has more attempts than
// slots or connections. It returns an endpoint that violates it; over is false
// if there is none.
func (p *Pool) OverCommitted() (id requester.HostID, over bool) {
	for _, e := range p.order {
		if len(e.attempts) > e.capacity() {
			return e.info.HostID, true
		}
	}
	return "", false
}

// EndpointView is the state of an endpoint as shown to operators. Running
// includes inherited executions.
type EndpointView struct {
	HostID  requester.HostID
	State   string
	Breaker string
	Slots   int
	Running int
	Leaving bool
}

// View returns the views of the owned endpoints, sorted by HostID.
func (p *Pool) View() []EndpointView {
	var views []EndpointView
	for _, e := range p.order {
		views = append(views, EndpointView{
			HostID:  e.info.HostID,
			State:   string(e.machine.State()),
			Breaker: string(e.breaker.State()),
			Slots:   e.info.Slots,
			Running: e.running(),
			Leaving: e.leaving,
		})
	}
	return views
}
