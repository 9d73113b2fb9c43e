package keeper

import (
	"sync/atomic"
	"time"
)

// Latency is how long answers have taken lately. A slow answer counts at once,
// faster ones little by little. The zero value is none; it is safe for
// concurrent use.
type Latency struct{ nanos atomic.Int64 }

// latencyWeight is how much of a latency stays with each faster answer.
const latencyWeight = 0.7

// Observe takes in how long an answer took.
func (l *Latency) Observe(took time.Duration) {
	calmer := time.Duration(latencyWeight * float64(l.nanos.Load()))
	l.nanos.Store(int64(max(took, calmer)))
}

// Recent returns how long answers have taken lately.
func (l *Latency) Recent() time.Duration { return time.Duration(l.nanos.Load()) }
