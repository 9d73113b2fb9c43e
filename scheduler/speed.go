package scheduler

import (
	"slices"
	"time"
)

// Workers tell how much of its work each run has done. From that the owner
// knows when a run should end, how fast a worker works against what is
// expected of its tasks, and which runs make no progress at all.

// advance is how far a run had come when it was last seen to move.
type runProgress struct {
	// firstPercent was seen at firstAt, percent first at changedAt.
	firstPercent int
	firstAt      time.Time
	percent      int
	changedAt    time.Time
	// comparedAt is when the run was last compared, at comparedPercent.
	comparedAt      time.Time
	comparedPercent int
}

const (
	// completePercent is the percentage of a run that has done all of its work. The
	// members of a gang then wait for the others.
	completePercent = 100
	// minMeasuredPercent is how much of its work a run must have done between two
	// sights for the time of its end to be calculated from them.
	minMeasuredPercent = 3
	// compareInterval is the least time between two comparisons of a run.
	compareInterval = 400 * time.Millisecond
	// minExpectedPercent is the least progress that is expected in that time.
	minExpectedPercent = 4
	// speedWeight is the weight of new evidence on a worker's speed.
	speedWeight = 0.5
	// speedValidity is for how long evidence counts.
	speedValidity = 2 * time.Second
	// slowSpeed is the share of the expected speed under which a worker gets
	// tasks only where there is no other room.
	slowSpeed = 0.4
	// workerStallTimeout is for how long nothing must have moved on a worker for it
	// to get nothing new, minSpeed what it counts as before.
	workerStallTimeout = 900 * time.Millisecond
	minSpeed           = 0.05
	// runStallTimeout is how long a run must stand still, and stallShare of the
	// time that it should take, to count as stalled.
	runStallTimeout = 1500 * time.Millisecond
	stallShare      = 0.25
	// maxStallDoublings bounds how often a step's patience is doubled.
	maxStallDoublings = 6
)

// recordPercent takes in how far a run has come.
func (r *run) recordPercent(now time.Time, percent int) {
	a := &r.advance
	if a.firstAt.IsZero() {
		*a = runProgress{firstPercent: percent, firstAt: now, percent: percent, changedAt: now, comparedAt: now, comparedPercent: percent}
		if !r.resumed && r.presentAt.Before(now) {
			// It began with nothing when it was confirmed.
			a.firstPercent, a.firstAt = 0, r.presentAt
		}
	}
	if percent != a.percent {
		a.percent, a.changedAt = percent, now
	}
	if done := percent - a.firstPercent; done >= minMeasuredPercent {
		r.endsAt = now.Add(now.Sub(a.firstAt) * time.Duration(completePercent-percent) / time.Duration(done))
	}
}

// compare returns the share of the expected speed at which a run has worked
// since it was last compared, and whether that can be told.
func (r *run) measureSpeed(now time.Time) (float64, bool) {
	a := &r.advance
	elapsed := now.Sub(a.comparedAt)
	if r.task == nil || r.phase != runPresent || a.comparedAt.IsZero() || a.percent >= completePercent || r.task.step.def.LongRunning {
		return 0, false
	}
	expected := 100 * float64(elapsed) / float64(max(1, r.task.step.expected()))
	if elapsed < compareInterval || expected < minExpectedPercent {
		return 0, false
	}
	done := float64(a.percent - a.comparedPercent)
	a.comparedAt, a.comparedPercent = now, a.percent
	return done / expected, true
}

// updateSpeed takes in how fast the runs of a worker have worked lately.
func (c *Core) updateSpeed(w *worker) {
	var shares []float64
	var movedAt time.Time
	for _, r := range w.runs {
		if share, ok := r.measureSpeed(c.now); ok {
			shares = append(shares, share)
			movedAt = latest(movedAt, r.advance.changedAt)
		}
	}
	if len(shares) == 0 {
		return
	}
	slices.Sort(shares)
	seen := shares[len(shares)/2]
	before := w.currentSpeed(c.now)
	if seen > 0 || c.now.Sub(movedAt) < workerStallTimeout {
		seen = max(minSpeed, (1-speedWeight)*before+speedWeight*min(1, seen))
	}
	if (seen < slowSpeed) != (before < slowSpeed) {
		c.note(Note{Worker: w.info.HostID, Event: "worker's speed", Why: describeSpeed(seen)})
		c.markFreed(w)
	}
	w.speed, w.speedAt = seen, c.now
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
		return "its tasks stand still"
	case speed < slowSpeed:
		return "its tasks are slow"
	}
	return "as expected"
}

// currentSpeed is the share of the expected speed at which a worker is taken to
// work.
func (w *worker) currentSpeed(now time.Time) float64 {
	if w.speedAt.IsZero() || now.Sub(w.speedAt) > speedValidity {
		return 1
	}
	return w.speed
}

// slow reports whether the worker's tasks take much longer than they should. A
// gang isn't started there: all of it would be as slow.
func (w *worker) slow(now time.Time) bool { return w.currentSpeed(now) < slowSpeed }

// stopStalled stops the runs of a worker that have stood still for longer than
// the work takes that is lost with them: the longer a run has stood still, the
// longer it may go on doing so.
func (c *Core) stopStalled(w *worker) {
	var stalled []*run
	for _, r := range w.runs {
		if r.stalled(c.now) {
			stalled = append(stalled, r)
		}
	}
	slices.SortFunc(stalled, compareRuns)
	for _, r := range stalled {
		if r.phase != runPresent {
			// Its gang was stopped for another member.
			continue
		}
		s := r.task.step
		if !slices.Contains(s.avoid, w.info.HostID) {
			s.avoid = append(s.avoid, w.info.HostID)
		}
		c.stats.Stalled++
		s.stalls++
		if s.def.Gang {
			c.breakGang(s, r.number, "it stands still")
		} else {
			c.stop(r, "it stands still")
		}
	}
}

// stalled reports whether a run has stood still for long enough to be stopped.
func (r *run) stalled(now time.Time) bool {
	if r.task == nil || r.phase != runPresent {
		return false
	}
	s := r.task.step
	if s.def.LongRunning || r.advance.firstAt.IsZero() || r.advance.percent >= completePercent {
		return false
	}
	expected := s.expected()
	still := now.Sub(r.advance.changedAt)
	// A step that stalls everywhere is better left alone.
	patience := time.Duration(1 << min(s.stalls, maxStallDoublings))
	if still < patience*max(runStallTimeout, time.Duration(stallShare*float64(expected))) {
		return false
	}
	lost := time.Duration(r.advance.percent) * expected / 100
	if s.def.Checkpointing {
		lost = 0
	}
	return still >= lost
}
