// Package breaker implements a circuit breaker, which stops sending requests to
// a host that fails them.
//
// A breaker is closed at first and allows every request. It opens after a number
// of consecutive failures and allows none until a cool-down has passed. The next
// request then is a probe, during which the breaker is half-open and allows no
// others: a success closes it, a failure opens it again. The states and
// transitions are those of the chart "breaker".
//
// A Breaker owns no goroutine, lock or clock.
package breaker

import (
	"time"

	"kumquatstall/charter"
)

// Limits configures a breaker.
type Limits struct {
	// FailureThreshold is the number of consecutive failures that opens the
	// breaker; 0 means that it never opens.
	FailureThreshold int
	// CoolDown is how long an open breaker allows no requests.
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

// Allows reports whether a request may be sent now.
func (b *Breaker) Allows(now time.Time) bool {
	return b.machine.In("Closed") || b.machine.In("Open") && !now.Before(b.openUntil)
}

// RecordStart records that a request is sent. Allows must have returned true, unless
// there is no other host to send it to. If the breaker is open, the request becomes
// the probe.
func (b *Breaker) RecordStart() {
	if b.machine.In("Open") {
		_ = b.machine.Fire("Probe")
	}
}

// RecordSuccess records a request that succeeded. It resets the count of failures
// and closes a half-open breaker.
func (b *Breaker) RecordSuccess() {
	b.failures = 0
	if b.machine.In("HalfOpen") {
		_ = b.machine.Fire("Succeed")
	}
}

// RecordFailure records a request that failed. A breaker that is already open
// stays so and does not extend its cool-down.
func (b *Breaker) RecordFailure(now time.Time, limits Limits) {
	b.failures++
	tripped := limits.FailureThreshold > 0 && b.failures >= limits.FailureThreshold
	if (tripped || b.machine.In("HalfOpen")) && b.machine.Can("Trip") {
		_ = b.machine.Fire("Trip")
		b.openUntil = now.Add(limits.CoolDown)
	}
}
