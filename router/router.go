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
	// HeaderBoot names the incarnation of the endpoint that is to run the call. Any other
	// one responds with 421 and its own Boot in this header, and runs nothing: a call
	// whose connection was lost may reach the endpoint seconds later, when what it had
	// reported of its former incarnation is no longer true.
	HeaderBoot = "Endpoint-Boot"
)

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
// and returns the address of the endpoint and the incarnation to name.
func (p *Pool) Start(now time.Time, attempt Attempt) (address netip.AddrPort, boot int64) {
	e := p.endpoints[attempt.Endpoint]
	e.breaker.RecordStart()
	attempt.StartedAt = now
	e.attempts[attempt.ID] = &attempt
	p.attempts[attempt.ID] = e
	return e.info.Address, e.boot
}

// SetBoot records the incarnation that has rejected an attempt as meant for another one.
func (p *Pool) SetBoot(attemptID uint64, boot int64) {
	if e, ok := p.attempts[attemptID]; ok {
		e.boot = boot
	}
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
