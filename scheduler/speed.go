package scheduler

import (
	"slices"
	"time"
)

// Workers report the percentage of its work that each run has done. From this
// the owner estimates when runs end and how fast each worker runs its tasks
// compared with the expected durations, and detects runs that make no progress.

// runProgress is the reported progress of a run.
type runProgress struct {
	// firstPercent is the first known percentage, at firstAt.
	firstPercent int
	firstAt      time.Time
	// percent is the last reported percentage. It was first reported at
	// changedAt.
	percent   int
	changedAt time.Time
	// comparedAt and comparedPercent are the time and percentage at which the
	// run's speed was last measured.
	comparedAt      time.Time
	comparedPercent int
}

const (
	// completePercent is reported by a run that has done all of its work. A
	// member of a gang reports it until the other members are done too.
	completePercent = 100
	// minMeasuredPercent is the least progress since the first report at which
	// the end of a run is extrapolated.
	minMeasuredPercent = 3
	// compareInterval is the least time between two speed measurements of a
	// run.
	compareInterval = 400 * time.Millisecond
	// minExpectedPercent is the least progress that must be expected of a run
	// since its last measurement for its speed to be measured.
	minExpectedPercent = 4
	// speedWeight is the weight of a new measurement in the moving average of
	// a worker's speed.
	speedWeight = 0.5
	// speedValidity is how long a measurement counts. After that the worker is
	// assumed to run at the expected speed.
	speedValidity = 2 * time.Second
	// slowSpeed is the share of the expected speed below which other workers
	// with capacity are preferred, by slowPenalty.
	slowSpeed = 0.4
	// workerStallTimeout is how long the runs of a worker may make no progress
	// before it gets no new tasks. Until then its speed counts as at least
	// minSpeed.
	workerStallTimeout = 900 * time.Millisecond
	minSpeed           = 0.05
	// runStallTimeout is the time without progress after which a run counts as
	// stalled. If stallShare of the run's expected duration is longer, that
	// applies instead.
	runStallTimeout = 1500 * time.Millisecond
	stallShare      = 0.25
	// maxStallDoublings is how often a step's stall timeout is doubled at most.
	maxStallDoublings = 6
)

// recordPercent records the reported progress of a run and extrapolates its
// end.
func (r *run) recordPercent(now time.Time, percent int) {
	p := &r.progress
	if p.firstAt.IsZero() {
		*p = runProgress{firstPercent: percent, firstAt: now, percent: percent, changedAt: now, comparedAt: now, comparedPercent: percent}
		if !r.resumed && r.acknowledgedAt.Before(now) {
			// The run was at 0 percent when the worker acknowledged it.
			p.firstPercent, p.firstAt = 0, r.acknowledgedAt
		}
	}
	if percent != p.percent {
		p.percent, p.changedAt = percent, now
	}
	if done := percent - p.firstPercent; done >= minMeasuredPercent {
		r.expectedEnd = now.Add(now.Sub(p.firstAt) * time.Duration(completePercent-percent) / time.Duration(done))
	}
}

// measureSpeed returns the share of the expected speed at which a run has
// worked since it was last measured, and whether it could be measured. A
// measurement starts the next interval.
func (r *run) measureSpeed(now time.Time) (float64, bool) {
	p := &r.progress
	elapsed := now.Sub(p.comparedAt)
	if r.task == nil || r.phase != runAcknowledged || p.comparedAt.IsZero() || p.percent >= completePercent || r.task.step.def.LongRunning {
		return 0, false
	}
	expected := 100 * float64(elapsed) / float64(max(1, r.task.step.expectedDuration()))
	if elapsed < compareInterval || expected < minExpectedPercent {
		return 0, false
	}
	done := float64(p.percent - p.comparedPercent)
	p.comparedAt, p.comparedPercent = now, p.percent
	return done / expected, true
}

// updateSpeed updates the speed of a worker with the median of the measured
// speeds of its runs. The speed becomes 0, which keeps new tasks away, once no
// measured run has made progress for workerStallTimeout.
func (c *Core) updateSpeed(w *worker) {
	var shares []float64
	var changedAt time.Time
	for _, r := range w.runs {
		if share, ok := r.measureSpeed(c.now); ok {
			shares = append(shares, share)
			changedAt = latest(changedAt, r.progress.changedAt)
		}
	}
	if len(shares) == 0 {
		return
	}
	slices.Sort(shares)
	measured := shares[len(shares)/2]
	previous := w.currentSpeed(c.now)
	if measured > 0 || c.now.Sub(changedAt) < workerStallTimeout {
		measured = max(minSpeed, (1-speedWeight)*previous+speedWeight*min(1, measured))
	}
	if (measured < slowSpeed) != (previous < slowSpeed) {
		c.log(LogRecord{Worker: w.info.HostID, Event: "worker's speed", Why: describeSpeed(measured)})
		c.markFreed(w)
	}
	w.speed, w.speedAt = measured, c.now
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func describeSpeed(speed float64) string {
	switch {
	case speed == 0:
		return "its tasks have stalled"
	case speed < slowSpeed:
		return "its tasks are slow"
	}
	return "as expected"
}

// currentSpeed returns the share of the expected speed at which a worker is
// assumed to run its tasks.
func (w *worker) currentSpeed(now time.Time) float64 {
	if w.speedAt.IsZero() || now.Sub(w.speedAt) > speedValidity {
		return 1
	}
	return w.speed
}

// slow reports whether the worker runs its tasks below slowSpeed. Other workers
// are preferred, also for gangs: one slow member delays the whole gang.
func (w *worker) slow(now time.Time) bool { return w.currentSpeed(now) < slowSpeed }

// stopStalled stops the stalled runs of a worker, gangs whole. The longer a run
// has made no progress, the longer it is likely to make none. A run is
// therefore stopped once it has stalled for longer than it takes to redo the
// work that is lost with it.
func (c *Core) stopStalled(w *worker) {
	var stalled []*run
	for _, r := range w.runs {
		if r.stalled(c.now) {
			stalled = append(stalled, r)
		}
	}
	slices.SortFunc(stalled, compareRuns)
	for _, r := range stalled {
		if r.phase != runAcknowledged {
			// It was stopped with another member of its gang.
			continue
		}
		s := r.task.step
		if !slices.Contains(s.avoid, w.info.HostID) {
			s.avoid = append(s.avoid, w.info.HostID)
		}
		c.stats.Stalled++
		s.stalls++
		if s.def.Gang {
			c.stopGang(s, r.number, "it has stalled")
		} else {
			c.stop(r, "it has stalled")
		}
	}
}

// stalled reports whether a run has made no progress for long enough to be
// stopped. Runs with checkpoints lose no work.
func (r *run) stalled(now time.Time) bool {
	if r.task == nil || r.phase != runAcknowledged {
		return false
	}
	s := r.task.step
	if s.def.LongRunning || r.progress.firstAt.IsZero() || r.progress.percent >= completePercent {
		return false
	}
	expected := s.expectedDuration()
	stalledFor := now.Sub(r.progress.changedAt)
	// The timeout doubles with each stall: a step that stalls on every worker
	// gains nothing from restarts.
	factor := time.Duration(1 << min(s.stalls, maxStallDoublings))
	if stalledFor < factor*max(runStallTimeout, time.Duration(stallShare*float64(expected))) {
		return false
	}
	lostWork := time.Duration(r.progress.percent) * expected / 100
	if s.def.Checkpointing {
		lostWork = 0
	}
	return stalledFor >= lostWork
}
