package scheduler

import (
	"slices"
	"time"
)

// Workers tell how much of its work each run has done. From that the owner
// knows when a run should end, how fast a worker works against what is
// expected of its tasks, and which runs make no progress at all.

// advance is how far a run had come when it was last seen to move.
type advance struct {
	// firstPercent was seen at firstAt, percent first at movedAt.
	firstPercent int
	firstAt      time.Time
	percent      int
	movedAt      time.Time
	// soughtAt is when the run was last compared, at soughtPercent.
	soughtAt      time.Time
	soughtPercent int
}

const (
	// allDone is the percentage of a run that has done all of its work. The
	// members of a gang then wait for the others.
	allDone = 100
	// leastRate is how much of its work a run must have done between two
	// sights for the time of its end to be calculated from them.
	leastRate = 3
	// compareInterval is the least time between two comparisons of a run.
	compareInterval = 400 * time.Millisecond
	// comparePercent is the least progress that is expected in that time.
	comparePercent = 4
	// speedWeight is the weight of new evidence on a worker's speed.
	speedWeight = 0.5
	// speedMemory is for how long evidence counts.
	speedMemory = 2 * time.Second
	// slowSpeed is the share of the expected speed under which a worker gets
	// tasks only where there is no other room.
	slowSpeed = 0.4
	// standingAfter is for how long nothing must have moved on a worker for it
	// to get nothing new, leastSpeed what it counts as before.
	standingAfter = 900 * time.Millisecond
	leastSpeed    = 0.05
	// stallAfter is how long a run must stand still, and stallShare of the
	// time that it should take, to count as stalled.
	stallAfter = 1500 * time.Millisecond
	stallShare = 0.25
	// mostStalls bounds how often a step's patience is doubled.
	mostStalls = 6
)

// notePercent takes in how far a run has come.
func (r *run) notePercent(now time.Time, percent int) {
	a := &r.progress
	if a.firstAt.IsZero() {
		*a = advance{firstPercent: percent, firstAt: now, percent: percent, movedAt: now, soughtAt: now, soughtPercent: percent}
		if !r.resumed && r.acknowledgedAt.Before(now) {
			// It began with nothing when it was confirmed.
			a.firstPercent, a.firstAt = 0, r.acknowledgedAt
		}
	}
	if percent != a.percent {
		a.percent, a.movedAt = percent, now
	}
	if done := percent - a.firstPercent; done >= leastRate {
		r.expectedEnd = now.Add(now.Sub(a.firstAt) * time.Duration(allDone-percent) / time.Duration(done))
	}
}

// compare returns the share of the expected speed at which a run has worked
// since it was last compared, and whether that can be told.
func (r *run) compare(now time.Time) (float64, bool) {
	a := &r.progress
	elapsed := now.Sub(a.soughtAt)
	if r.task == nil || r.phase != runAcknowledged || a.soughtAt.IsZero() || a.percent >= allDone || r.task.step.def.LongRunning {
		return 0, false
	}
	expected := 100 * float64(elapsed) / float64(max(1, r.task.step.expectedDuration()))
	if elapsed < compareInterval || expected < comparePercent {
		return 0, false
	}
	done := float64(a.percent - a.soughtPercent)
	a.soughtAt, a.soughtPercent = now, a.percent
	return done / expected, true
}

// judgeSpeed takes in how fast the runs of a worker have worked lately.
func (c *Core) judgeSpeed(w *worker) {
	var shares []float64
	var movedAt time.Time
	for _, r := range w.runs {
		if share, ok := r.compare(c.now); ok {
			shares = append(shares, share)
			movedAt = latest(movedAt, r.progress.movedAt)
		}
	}
	if len(shares) == 0 {
		return
	}
	slices.Sort(shares)
	seen := shares[len(shares)/2]
	before := w.speedNow(c.now)
	if seen > 0 || c.now.Sub(movedAt) < standingAfter {
		seen = max(leastSpeed, (1-speedWeight)*before+speedWeight*min(1, seen))
	}
	if (seen < slowSpeed) != (before < slowSpeed) {
		c.log(LogRecord{Worker: w.info.HostID, Event: "worker's speed", Why: speedWord(seen)})
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

func speedWord(speed float64) string {
	switch {
	case speed == 0:
		return "its tasks stand still"
	case speed < slowSpeed:
		return "its tasks are slow"
	}
	return "as expected"
}

// speedNow is the share of the expected speed at which a worker is taken to
// work.
func (w *worker) speedNow(now time.Time) float64 {
	if w.speedAt.IsZero() || now.Sub(w.speedAt) > speedMemory {
		return 1
	}
	return w.speed
}

// slow reports whether the worker's tasks take much longer than they should. A
// gang isn't started there: all of it would be as slow.
func (w *worker) slow(now time.Time) bool { return w.speedNow(now) < slowSpeed }

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
		if r.phase != runAcknowledged {
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
			c.stopGang(s, r.number, "it stands still")
		} else {
			c.stop(r, "it stands still")
		}
	}
}

// stalled reports whether a run has stood still for long enough to be stopped.
func (r *run) stalled(now time.Time) bool {
	if r.task == nil || r.phase != runAcknowledged {
		return false
	}
	s := r.task.step
	if s.def.LongRunning || r.progress.firstAt.IsZero() || r.progress.percent >= allDone {
		return false
	}
	expected := s.expectedDuration()
	still := now.Sub(r.progress.movedAt)
	// A step that stalls everywhere is better left alone.
	patience := time.Duration(1 << min(s.stalls, mostStalls))
	if still < patience*max(stallAfter, time.Duration(stallShare*float64(expected))) {
		return false
	}
	lost := time.Duration(r.progress.percent) * expected / 100
	if s.def.Checkpointing {
		lost = 0
	}
	return still >= lost
}
