// Package breaker stops sending work to a host that fails it.
//
// A breaker opens after a number of failures in a row, rests until a stored
// time, then lets one request through to try the host again. Its states
// follow the chart "breaker".
package breaker

import (
	"time"

	"kumquatstall/charter"
)

// Limits configures a breaker.
type Limits struct {
	// FailureThreshold failures in a row open the breaker; 0 never opens it.
	FailureThreshold int
	// CoolDown is how long an open breaker lets nothing through.
	CoolDown time.Duration
}

// Breaker is the circuit breaker of one host.
type Breaker struct {
	machine   charter.Machine
	failures  int
	openUntil time.Time
}

var chart = charter.MustLoad("breaker")

// New returns a closed breaker.
func New() Breaker { return Breaker{machine: chart.Start()} }

// State returns the name of the breaker's state.
func (b *Breaker) State() charter.State { return b.machine.State() }

// Allows reports whether a request may be sent at now.
func (b *Breaker) Allows(now time.Time) bool {
	return b.machine.In("Closed") || b.machine.In("Open") && !now.Before(b.openUntil)
}

// RecordStart notes that a request is sent. It must follow Allows.
func (b *Breaker) RecordStart() {
	if b.machine.In("Open") {
		_ = b.machine.Fire("Probe")
	}
}

// RecordSuccess notes a request that the host carried out.
func (b *Breaker) RecordSuccess() {
	b.failures = 0
	if b.machine.In("HalfOpen") {
		_ = b.machine.Fire("Succeed")
	}
}

// RecordFailure notes a request that the host failed.
func (b *Breaker) RecordFailure(now time.Time, limits Limits) {
	b.failures++
	tripped := limits.FailureThreshold > 0 && b.failures >= limits.FailureThreshold
	if (tripped || b.machine.In("HalfOpen")) && b.machine.Can("Trip") {
		_ = b.machine.Fire("Trip")
		b.openUntil = now.Add(limits.CoolDown)
	}
}
