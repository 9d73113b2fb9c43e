package scheduler

import (
	"slices"
)

// runsKnown reports whether every run of the step that a previous owner may
// have started is known: either none can exist, or every worker that may run
// one has reported to this owner or its lease has expired. Only then may tasks
// without a known run start.
func (c *Core) runsKnown(s *step) bool { return !s.mayHaveUnknownRuns || c.Reconciled() }

// place starts the waiting tasks that fit, steps in order of rank. It does
// nothing if nothing has changed since the last pass, or if a worker has seen
// the fence of a later owner.
func (c *Core) place() {
	if !c.placementPending || c.fenced {
		return
	}
	c.placementPending = false
	reconciled := c.Reconciled()
	c.sortByRank(c.open)
	c.reserveForOpen()
	c.countRunsLeft()
	c.updateEligible()
	c.addWanted()
	c.updateReservations()
	c.repeatStarts()
	// Starting the last waiting task does not close a step, so c.open does not
	// change during the loop.
	for _, s := range c.open {
		if s.waiting == 0 {
			continue
		}
		if !reconciled && s.mayHaveUnknownRuns {
			c.noteWait(s, WaitUnknownRuns)
			continue
		}
		if s.job().refusals > 0 {
			c.noteWait(s, WaitRefused)
			continue
		}
		if !c.startRecorded(s) {
			c.noteWait(s, s.unrecorded())
			continue
		}
		if s.def.Gang {
			c.noteWait(s, c.placeGang(s))
		} else {
			c.noteWait(s, c.placeTasks(s))
		}
		if s.waiting > 0 && s.wait.reason != WaitStarts {
			c.displaceBestEffort(s)
		}
	}
	c.trimFreed()
}

// updateEligible collects the eligible workers for a placement pass, and adds up
// what is in use.
func (c *Core) updateEligible() {
	c.eligible = c.eligible[:0]
	c.totalMilliCores, c.usedMilliCores, c.freeMilliCores = 0, 0, 0
	for _, w := range c.sortedWorkers {
		if w.listed {
			c.totalMilliCores += w.info.Total.MilliCores
		}
		if w.unanswered == 0 {
			c.usedMilliCores += w.allocated.MilliCores
		}
		if !w.eligible(c.now) {
			continue
		}
		c.eligible = append(c.eligible, w)
		if w.trial == nil {
			c.freeMilliCores += w.available().MilliCores
		}
	}
}

// addWanted adds up what the waiting tasks need, but for those that the last pass
// left waiting for a trial or an open start.
func (c *Core) addWanted() {
	c.wantedMilliCores = 0
	for _, s := range c.open {
		if s.wait.reason != WaitTrial && s.wait.reason != WaitOpenStart {
			c.wantedMilliCores += int64(s.waiting) * s.def.allocation().MilliCores
		}
	}
}

// placeTasks starts as many waiting tasks of the step as fit, each on the
// candidate that fits best at that time. It returns what the others wait for.
func (c *Core) placeTasks(s *step) WaitReason {
	room := c.startsRoom(s)
	if room == 0 {
		return c.paced(s)
	}
	found := c.candidates(s)
	if len(found) == 0 && s.wait.reason != WaitNothing && !s.scannedAt.Equal(c.now) {
		// Only freed workers were scanned, which says nothing new.
		return s.wait.reason
	}
	p := placement{core: c, step: s, found: found, best: noCandidate}
	p.dropPressed()
	if len(p.found) == 0 {
		return p.lacks()
	}
	held := WaitNothing
	for t := range s.waitingTasks() {
		if reason := c.holds(t); reason != WaitNothing {
			held = reason
			continue
		}
		if room == 0 {
			return c.paced(s)
		}
		p.place(t)
		if room--; len(p.found) == 0 && s.waiting > 0 {
			return p.lacks()
		}
	}
	return held
}

// placement is a pass over the waiting tasks of a step.
type placement struct {
	core  *Core
	step  *step
	found []candidate
	// best is the index of the best candidate, or noCandidate if that has to be searched.
	best int
	// pressed is true if a candidate was left out as it has many starts under way.
	pressed bool
}

const noCandidate = -1

// dropPressed leaves out the candidates that have as many starts under way as may be.
func (p *placement) dropPressed() {
	before := len(p.found)
	p.found = slices.DeleteFunc(p.found, func(cand candidate) bool { return p.step.presses(cand.worker) })
	p.pressed = len(p.found) < before
}

// place starts a task on the best candidate, and drops that if it has no more room.
func (p *placement) place(t *task) {
	c, s := p.core, p.step
	proving := c.needsTrial(t)
	if proving {
		p.best = c.leastStake(t, p.found)
	} else if p.best == noCandidate {
		p.best = c.bestFit(s, p.found)
	}
	chosen := &p.found[p.best]
	w := chosen.worker
	c.startRun(t, w, t.nextRun(c), chosen.ticket)
	chosen.slots--
	if proving {
		c.putOnTrial(t, t.suspect())
		chosen.slots = min(chosen.slots, s.taskLimit(w))
	}
	pressed := s.presses(w)
	full := chosen.slots == 0 || !s.def.allocation().Fits(c.availableFor(s, w))
	if full || pressed {
		p.pressed = p.pressed || !full
		p.found = slices.Delete(p.found, p.best, p.best+1)
	}
	if full || proving || pressed {
		p.best = noCandidate
	}
}

// lacks returns what the step waits for without a candidate.
func (p *placement) lacks() WaitReason {
	if p.pressed {
		return p.core.paced(p.step)
	}
	return p.step.lacks()
}

// bestFit returns the index of the candidate that has the least residual
// capacity after one task, penalties included. It remains that until it has no room: a task
// takes some of what is left there.
func (c *Core) bestFit(s *step, found []candidate) int {
	best, bestScore := 0, 0.0
	for i := range found {
		score := found[i].worker.residual(s.def.allocation()) + found[i].penalty()
		if i == 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
