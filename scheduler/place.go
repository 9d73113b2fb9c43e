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
	c.updateEligible()
	c.updateReservations()
	// Starting the last waiting task does not close a step, so c.open does not
	// change during the loop.
	for _, s := range c.open {
		if s.waiting == 0 || !c.startRecorded(s) || !reconciled && s.mayHaveUnknownRuns {
			continue
		}
		if s.def.Gang {
			c.placeGang(s)
		} else {
			c.placeTasks(s)
		}
		if s.waiting > 0 {
			c.displaceBestEffort(s)
		}
	}
	c.trimFreed()
}

// updateEligible collects the eligible workers for a placement pass, and counts
// the idle ones.
func (c *Core) updateEligible() {
	c.eligible = c.eligible[:0]
	c.idle = 0
	for _, w := range c.sortedWorkers {
		if !w.eligible(c.now) {
			continue
		}
		c.eligible = append(c.eligible, w)
		if len(w.runs) == 0 {
			c.idle++
		}
	}
}

// placeTasks starts as many waiting tasks of the step as fit, each on the
// candidate that fits best at that time.
func (c *Core) placeTasks(s *step) {
	found := c.candidates(s)
	for _, t := range s.tasks {
		if len(found) == 0 {
			return
		}
		if t.done || c.mayRun(t) || !c.mayStart(t) {
			continue
		}
		best := c.bestFit(s, found)
		proving := c.needsTrial(t)
		if proving {
			best = c.leastStake(t, found)
		}
		chosen := &found[best]
		c.startRun(t, chosen.worker, t.nextRun(c), chosen.ticket)
		chosen.slots--
		if proving {
			c.putOnTrial(t)
			chosen.slots = min(chosen.slots, s.taskLimit(chosen.worker))
		}
		if chosen.slots == 0 || !s.def.allocation().Fits(c.availableFor(s, chosen.worker)) {
			found = slices.Delete(found, best, best+1)
		}
	}
}

// bestFit returns the index of the candidate that has the least residual
// capacity after one task, penalties included.
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
