package keeper

import (
	"sync/atomic"
	"time"
)

// Latency estimates the recent latency of responses as a decaying maximum: it
// rises to a slower response at once and decays with each faster one. The zero
// value is an estimate of 0. It is safe for concurrent use.
type Latency struct{ nanos atomic.Int64 }

// latencyDecay multiplies the estimate with each faster response.
const latencyDecay = 0.7

// Observe updates the estimate with the latency of a response.
func (l *Latency) Observe(took time.Duration) {
	decayed := time.Duration(latencyDecay * float64(l.nanos.Load()))
	l.nanos.Store(int64(max(took, decayed)))
}

// Recent returns the current estimate.
func (l *Latency) Recent() time.Duration { return time.Duration(l.nanos.Load()) }
