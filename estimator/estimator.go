// Package estimator estimates the durations of calls and tasks and the resource
// usage of tasks from observations.
//
// Declared resources and run times are often far from the actual ones, so
// observations correct or replace them:
//
//   - Durations estimates the duration of calls, and a bound of it, by an
//     exponentially weighted mean and deviation for each service and kind.
//   - Correction predicts the duration of a task from its declared estimate.
//   - PeakUsage keeps the peak resource usage of tasks for each trade and kind.
//
// The types own no goroutine, lock or clock and do no I/O.
package estimator

import (
	"math"
	"time"

	"kumquatstall/requester"
)

// Key identifies what an estimate applies to.
type Key struct {
	// Scope is the service of a call or the trade of a task.
	Scope string
	// Kind is empty for an estimate over all kinds.
	Kind requester.Kind
}

// Durations estimates the duration of executions, by key.
type Durations struct {
	initial time.Duration
	byKey   map[Key]*estimate
}

// estimate is an exponentially weighted mean and mean absolute deviation.
type estimate struct {
	mean      float64
	deviation float64
	count     int
}

// gain is the weight of a new observation. The first 1/gain observations weigh
// more, so that the mean is their plain average.
const gain = 0.05

// NewDurations returns estimates without observations. initial is the mean that
// is returned for a key without observations.
func NewDurations(initial time.Duration) *Durations {
	return &Durations{initial: initial, byKey: make(map[Key]*estimate)}
}

// Observe records the duration of an execution.
func (d *Durations) Observe(key Key, duration time.Duration) {
	e, ok := d.byKey[key]
	if !ok {
		e = &estimate{}
		d.byKey[key] = e
	}
	e.observe(float64(duration))
}

func (e *estimate) observe(value float64) {
	e.count++
	weight := max(gain, 1/float64(e.count))
	difference := value - e.mean
	e.mean += weight * difference
	e.deviation += weight * (math.Abs(difference) - e.deviation)
}

// decayFactor is the factor by which Decay reduces an estimate.
const decayFactor = 0.98

// Decay reduces the estimate of a key after it has led to a rejection. A
// rejected execution yields no observation, so an estimate that is too high
// could otherwise reject all executions and never be corrected.
func (d *Durations) Decay(key Key) {
	if e, ok := d.byKey[key]; ok {
		e.mean *= decayFactor
	}
}

// Mean returns the estimated duration of an execution.
func (d *Durations) Mean(key Key) time.Duration {
	if e, ok := d.byKey[key]; ok {
		return time.Duration(e.mean)
	}
	return d.initial
}

// boundDeviations is the number of mean absolute deviations above the mean that few
// executions exceed.
const boundDeviations = 4

// Bound returns a duration that few executions exceed, as far as the observations
// tell. Without observations it is the initial mean.
func (d *Durations) Bound(key Key) time.Duration {
	if e, ok := d.byKey[key]; ok {
		return time.Duration(e.mean + boundDeviations*e.deviation)
	}
	return d.initial
}

// PeakUsage keeps the peak resource usage of tasks, by key.
type PeakUsage struct {
	byKey map[Key]*usage
}

type usage struct {
	peak  requester.Resources
	count int
}

// NewPeakUsage returns a PeakUsage without observations.
func NewPeakUsage() *PeakUsage { return &PeakUsage{byKey: make(map[Key]*usage)} }

// Observe records the resource usage of a running task.
func (u *PeakUsage) Observe(key Key, observed requester.Resources) {
	known, ok := u.byKey[key]
	if !ok {
		known = &usage{}
		u.byKey[key] = known
	}
	known.count++
	known.peak = known.peak.Max(observed)
}

// Need returns the resources to allocate to a task: of each resource, the larger
// of the declared amount and the peak usage observed for the key.
func (u *PeakUsage) Need(key Key, declared requester.Resources) requester.Resources {
	if known, ok := u.byKey[key]; ok {
		return declared.Max(known.peak)
	}
	return declared
}
