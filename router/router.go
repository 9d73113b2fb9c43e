// Package router gives calls to endpoints.
//
// A Pool holds the endpoints of one service that one entry owns, with every
// slot the entry has given out. A slot is given back only when the execution
// is known to have ended: the answer arrived whole, the endpoint reports that
// the request is not running, or the execution's deadline and a margin have
// passed. A closed connection proves nothing.
//
// An endpoint follows the chart "endpoint": a new one settles first, so that
// what an earlier owner gave out is counted. Each has a breaker, too.
//
// A Pool owns no goroutine, lock, clock or socket.
package router

import (
	"net/netip"
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

// EndpointStatus is what an endpoint reports of itself.
type EndpointStatus struct {
	Now     time.Time
	Running []requester.RequestID
}

// EndpointInfo describes an endpoint.
type EndpointInfo struct {
	HostID      requester.HostID
	Service     requester.Service
	Address     netip.AddrPort
	Slots       int
	Connections int
}

// Limits is what a Pool has to know of the profile in force.
type Limits struct {
	// Breaker configures the breaker of each endpoint.
	Breaker breaker.Limits
	// Random gives calls to any endpoint with a free slot instead of the
	// one with the most.
	Random bool
	// SettleTimeout bounds how long an endpoint that does not report may
	// still run what an earlier owner gave it.
	SettleTimeout time.Duration
	// Margin is added to the deadline of an execution whose end is unknown.
	Margin time.Duration
}

// Attempt is one execution of a call, as its owner knows it.
type Attempt struct {
	ID        uint64
	RequestID requester.RequestID
	Endpoint  requester.HostID
	StartedAt time.Time
	// Deadline ends the execution.
	Deadline time.Time
	// lostAt is when the connection was lost; zero while it is intact.
	lostAt time.Time
}

// endpoint is one endpoint as its owner sees it.
type endpoint struct {
	info     EndpointInfo
	machine  charter.Machine
	attempts map[uint64]*Attempt
	// foreign counts executions given out by an earlier owner.
	foreign int
	breaker breaker.Breaker
	ownedAt time.Time
	askedAt time.Time
	// statusAt is when the endpoint last reported.
	statusAt time.Time
	leaving  bool
}

func (e *endpoint) free() int {
	limit := min(e.info.Slots, e.info.Connections)
	return limit - len(e.attempts) - e.foreign
}

// Pool holds the endpoints of one service.
type Pool struct {
	chart     *charter.Chart
	limits    Limits
	endpoints map[requester.HostID]*endpoint
	order     []*endpoint
	attempts  map[uint64]*endpoint
	draws     uint64
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

// SetLimits changes the limits.
func (p *Pool) SetLimits(limits Limits) { p.limits = limits }

// OwnedEndpoint is an endpoint that the entry owns, and whether it is leaving.
type OwnedEndpoint struct {
	EndpointInfo
	Leaving bool
}

// SetEndpoints replaces the endpoints owned. One that is not owned any more
// gets no new calls; what it runs is forgotten once ended.
func (p *Pool) SetEndpoints(now time.Time, owned []OwnedEndpoint) {
	present := make(map[requester.HostID]bool, len(owned))
	for _, ownership := range owned {
		present[ownership.HostID] = true
		e, ok := p.endpoints[ownership.HostID]
		if !ok {
			e = &endpoint{machine: p.chart.Start(), breaker: breaker.New(), attempts: make(map[uint64]*Attempt), ownedAt: now}
			p.endpoints[ownership.HostID] = e
		}
		e.info = ownership.EndpointInfo
		e.setLeaving(now, ownership.Leaving)
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
	e.ownedAt = now
}

// Slots returns the slots of all endpoints that are not leaving, and the free
// ones among them.
func (p *Pool) Slots(now time.Time) (slots, free int) {
	for _, e := range p.order {
		if e.leaving {
			continue
		}
		slots += e.info.Slots
		if e.usable(now) {
			free += max(0, e.free())
		}
	}
	return slots, free
}

// usable reports whether the endpoint may get a call.
func (e *endpoint) usable(now time.Time) bool {
	return e.machine.In("Serving") && e.breaker.Allows(now)
}

// Pick returns the usable endpoint with the most free slots that is not among
// tried; where all are, tried ones count too. ok is false where there is none.
func (p *Pool) Pick(now time.Time, tried []requester.HostID) (id requester.HostID, ok bool) {
	if p.limits.Random {
		return p.pickAny(now, tried)
	}
	var best, fallback *endpoint
	for _, e := range p.order {
		if e.free() <= 0 || !e.usable(now) {
			continue
		}
		if fallback == nil || e.free() > fallback.free() {
			fallback = e
		}
		if contains(tried, e.info.HostID) {
			continue
		}
		if best == nil || e.free() > best.free() {
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

// pickAny returns an endpoint with a free slot, drawn by the number of attempts
// so far, so that the same events always draw the same.
func (p *Pool) pickAny(now time.Time, tried []requester.HostID) (requester.HostID, bool) {
	var open []requester.HostID
	for _, e := range p.order {
		if e.free() > 0 && e.usable(now) && !contains(tried, e.info.HostID) {
			open = append(open, e.info.HostID)
		}
	}
	if len(open) == 0 {
		return "", false
	}
	p.draws++
	const multiplier = 0x9E3779B97F4A7C15
	return open[(p.draws*multiplier>>32)%uint64(len(open))], true
}

func contains(ids []requester.HostID, id requester.HostID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// Start takes a slot of the endpoint for an attempt and returns its address.
func (p *Pool) Start(now time.Time, attempt Attempt) netip.AddrPort {
	e := p.endpoints[attempt.Endpoint]
	e.breaker.RecordStart()
	attempt.StartedAt = now
	e.attempts[attempt.ID] = &attempt
	p.attempts[attempt.ID] = e
	return e.info.Address
}

// Finish gives the slot of an ended attempt back. failed tells that the
// endpoint broke the call off.
func (p *Pool) Finish(now time.Time, id uint64, failed bool) {
	e, ok := p.attempts[id]
	if !ok {
		return
	}
	delete(e.attempts, id)
	delete(p.attempts, id)
	if failed {
		e.breaker.RecordFailure(now, p.limits.Breaker)
	} else {
		e.breaker.RecordSuccess()
	}
}

// MarkConnectionLost notes that an attempt's connection was lost. The slot stays taken.
func (p *Pool) MarkConnectionLost(now time.Time, id uint64) {
	e, ok := p.attempts[id]
	if !ok {
		return
	}
	e.attempts[id].lostAt = now
	e.breaker.RecordFailure(now, p.limits.Breaker)
}

// statusInterval is how often an endpoint whose state is in doubt is asked.
const statusInterval = 250 * time.Millisecond

// StatusDue returns the endpoints that should be asked for their status now:
// those that settle and those with lost attempts or foreign executions.
func (p *Pool) StatusDue(now time.Time) []EndpointInfo {
	var found []EndpointInfo
	for _, e := range p.order {
		if !e.doubtful() || now.Sub(e.askedAt) < statusInterval {
			continue
		}
		e.askedAt = now
		found = append(found, e.info)
	}
	return found
}

func (e *endpoint) doubtful() bool {
	if e.machine.In("Settling") || e.foreign > 0 {
		return true
	}
	for _, attempt := range e.attempts {
		if !attempt.lostAt.IsZero() {
			return true
		}
	}
	return false
}

// OnStatus takes in what an endpoint reported in answer to a request sent at
// sentAt. It returns the lost attempts that are now known to have ended.
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
	foreign := 0
	for _, count := range running {
		foreign += max(0, count)
	}
	var ended []Attempt
	for attemptID, attempt := range e.attempts {
		// The margin leaves time for a request still on its way. Another
		// attempt of the same request may be running in its place.
		sure := !attempt.lostAt.IsZero() && sentAt.After(attempt.lostAt.Add(p.limits.Margin))
		if sure && !reported[attempt.RequestID] {
			ended = append(ended, *attempt)
			delete(e.attempts, attemptID)
			delete(p.attempts, attemptID)
		}
	}
	e.foreign = foreign
	e.statusAt = now
	if e.machine.In("Settling") && sentAt.After(e.ownedAt.Add(p.limits.Margin)) {
		_ = e.machine.Fire("Settled")
	}
	return ended
}

// Expire gives back the slots of lost attempts whose execution deadline and
// margin have passed, ends overlong settling, and returns those attempts.
func (p *Pool) Expire(now time.Time) []Attempt {
	var ended []Attempt
	for id, e := range p.attempts {
		attempt := e.attempts[id]
		if attempt.lostAt.IsZero() || now.Before(attempt.Deadline.Add(p.limits.Margin)) {
			continue
		}
		ended = append(ended, *attempt)
		delete(e.attempts, id)
		delete(p.attempts, id)
	}
	for _, e := range p.order {
		if now.Before(e.ownedAt.Add(p.limits.SettleTimeout)) {
			continue
		}
		if e.machine.In("Settling") {
			_ = e.machine.Fire("Settled")
		}
		if e.foreign > 0 && now.Sub(e.statusAt) > p.limits.SettleTimeout {
			e.foreign = 0
		}
	}
	return ended
}

// OccupiedSlots returns the attempts that an endpoint runs, for tests and reports.
func (p *Pool) OccupiedSlots(id requester.HostID) int {
	if e, ok := p.endpoints[id]; ok {
		return len(e.attempts) + e.foreign
	}
	return 0
}

// OverCommitted reports an endpoint that was given more than it holds; it
// must never find one.
func (p *Pool) OverCommitted() (id requester.HostID, over bool) {
	for _, e := range p.order {
		if len(e.attempts) > min(e.info.Slots, e.info.Connections) {
			return e.info.HostID, true
		}
	}
	return "", false
}

// EndpointView is what operators see of an endpoint.
type EndpointView struct {
	HostID  requester.HostID
	State   string
	Breaker string
	Slots   int
	Running int
	Leaving bool
}

// View lists the endpoints.
func (p *Pool) View() []EndpointView {
	var views []EndpointView
	for _, e := range p.order {
		views = append(views, EndpointView{
			HostID:  e.info.HostID,
			State:   string(e.machine.State()),
			Breaker: string(e.breaker.State()),
			Slots:   e.info.Slots,
			Running: len(e.attempts) + e.foreign,
			Leaving: e.leaving,
		})
	}
	return views
}
