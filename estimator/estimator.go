// Package estimator learns how long calls and tasks run and what tasks use.
//
// Declared sizes and run times are often far off, so that what was observed
// goes before what was declared. Estimates are kept per service or trade and
// kind, as exponentially weighted means and deviations; there is no I/O and no
// clock.
package estimator

import (
	"math"
	"time"

	"kumquatstall/requester"
)

// Key names what an estimate is for.
type Key struct {
	// Scope is a service for calls and a trade for tasks.
	Scope string
	Kind  requester.Kind
}

// Durations estimates how long things of a kind take.
type Durations struct {
	initial time.Duration
	byKey   map[Key]*estimate
}

type estimate struct {
	mean      float64
	deviation float64
	count     int
}

// gain is the weight of a new observation once there are enough of them.
const gain = 0.05

// NewDurations returns estimates that start at initial.
func NewDurations(initial time.Duration) *Durations {
	return &Durations{initial: initial, byKey: make(map[Key]*estimate)}
}

// Observe takes in how long one of a kind took.
func (d *Durations) Observe(key Key, took time.Duration) {
	e, ok := d.byKey[key]
	if !ok {
		e = &estimate{}
		d.byKey[key] = e
	}
	e.observe(float64(took))
}

func (e *estimate) observe(value float64) {
	e.count++
	weight := max(gain, 1/float64(e.count))
	difference := value - e.mean
	e.mean += weight * difference
	e.deviation += weight * (math.Abs(difference) - e.deviation)
}

// doubtFactor is what remains of an estimate that was doubted.
const doubtFactor = 0.98

// Decay lowers an estimate because of which something was not run, and which
// can't be corrected by what is not run.
func (d *Durations) Decay(key Key) {
	if e, ok := d.byKey[key]; ok {
		e.mean *= doubtFactor
	}
}

// Mean returns the expected duration.
func (d *Durations) Mean(key Key) time.Duration {
	if e, ok := d.byKey[key]; ok {
		return time.Duration(e.mean)
	}
	return d.initial
}

// PeakUsage estimates what tasks of a kind use.
type PeakUsage struct {
	byKey map[Key]*size
}

type size struct {
	peak  requester.Resources
	count int
}

// NewPeakUsage returns estimates that know nothing.
func NewPeakUsage() *PeakUsage { return &PeakUsage{byKey: make(map[Key]*size)} }

// Observe takes in what a running task was seen to use.
func (s *PeakUsage) Observe(key Key, use requester.Resources) {
	known, ok := s.byKey[key]
	if !ok {
		known = &size{}
		s.byKey[key] = known
	}
	known.count++
	known.peak = known.peak.Max(use)
}

// Need returns what to reserve for a task: the larger of what was declared
// and what tasks of its kind were seen to use.
func (s *PeakUsage) Need(key Key, declared requester.Resources) requester.Resources {
	if known, ok := s.byKey[key]; ok {
		return declared.Max(known.peak)
	}
	return declared
}
