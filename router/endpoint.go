package router

import (
	"net/netip"
	"time"

	"kumquatstall/breaker"
	"kumquatstall/charter"
	"kumquatstall/requester"
)

// An endpoint is known here by the attempts that its owner has started on it, and by
// what it reports of executions that the owner does not know: a previous owner started
// those. Both occupy its slots.

// EndpointInfo describes an endpoint. It executes at most Slots calls at a time,
// each over one of at most Connections connections.
type EndpointInfo struct {
	HostID      requester.HostID
	Service     requester.Service
	Address     netip.AddrPort
	Slots       int
	Connections int
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
	// boot is the incarnation that the endpoint last told; 0 if it has told none.
	boot    int64
	leaving bool
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

// usable reports whether the endpoint may get calls, regardless of whether it has
// a free slot.
func (e *endpoint) usable(now time.Time) bool {
	return e.machine.In("Serving") && e.breaker.Allows(now)
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
