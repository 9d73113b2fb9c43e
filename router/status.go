package router

import (
	"time"

	"kumquatstall/requester"
)

// A slot whose execution may have outlived its connection, or was inherited from a
// previous owner, is freed by evidence only: the endpoint, asked for its status, no
// longer names the request, or so much time has passed that it can't run any more.

// EndpointStatus is an endpoint's response to a status request. Now is the time on
// the endpoint's clock. Boot identifies the incarnation of its process; 0 if it does not
// tell. Running lists the requests that it is executing.
type EndpointStatus struct {
	Now     time.Time
	Boot    int64 `json:",omitempty"`
	Running []requester.RequestID
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
	e.boot = status.Boot
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
