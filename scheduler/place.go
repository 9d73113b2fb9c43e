package scheduler

import (
	"slices"
)

// mayStart reports whether tasks of a step that are nowhere to be seen may be
// started: nothing that an earlier owner began may be hidden.
func (c *Core) mayStart(s *step) bool { return !s.mayHaveUnknownRuns || c.Reconciled() }

// place starts what fits, in order.
func (c *Core) place() {
	if !c.placementPending || c.fenced {
		return
	}
	c.placementPending = false
	settled := c.Reconciled()
	c.sortByOrder(c.open)
	c.findTakers()
	c.updateHolds()
	// Starting a step's last task doesn't close it, so the list stands.
	for _, s := range c.open {
		if s.waiting == 0 || !c.startRecorded(s) || !settled && s.mayHaveUnknownRuns {
			continue
		}
		if s.def.Gang {
			c.placeGang(s)
		} else {
			c.placeTasks(s)
		}
	}
	c.trimFreed()
}

// findTakers finds the workers that may get new tasks now.
func (c *Core) findTakers() {
	c.eligible = c.eligible[:0]
	for _, w := range c.sortedWorkers {
		if w.eligible(c.now) {
			c.eligible = append(c.eligible, w)
		}
	}
}

// placeTasks starts as many waiting tasks of a step as fit.
func (c *Core) placeTasks(s *step) {
	found := c.candidates(s)
	for _, t := range s.tasks {
		if len(found) == 0 {
			return
		}
		if t.done || t.run != nil {
			continue
		}
		best := c.best(s, found)
		chosen := &found[best]
		c.startRun(t, chosen.worker, t.nextRun(c), chosen.ticket)
		chosen.slots--
		if chosen.slots == 0 || !s.def.allocation().Fits(c.roomFor(s, chosen.worker)) {
			found = slices.Delete(found, best, best+1)
		}
	}
}

// best returns the candidate that a task fills best.
func (c *Core) best(s *step, found []candidate) int {
	best, bestScore := 0, 0.0
	for i := range found {
		score := found[i].worker.leftover(s.def.allocation()) + found[i].penalty()
		if i == 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
