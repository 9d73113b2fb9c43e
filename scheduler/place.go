package scheduler

import (
	"slices"
)

// runsKnown reports whether tasks of a step that are nowhere to be seen may be
// started: nothing that an earlier owner began may be hidden.
func (c *Core) runsKnown(s *step) bool { return !s.hidden || c.Settled() }

// place starts what fits, in order.
func (c *Core) place() {
	if !c.changed || c.fenced {
		return
	}
	c.changed = false
	settled := c.Settled()
	c.sortByRank(c.open)
	c.updateTakers()
	c.updateReservations()
	// Starting a step's last task doesn't close it, so the list stands.
	for _, s := range c.open {
		if s.waiting == 0 || !c.mayBegin(s) || !settled && s.hidden {
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

// updateTakers finds the workers that may get new tasks now.
func (c *Core) updateTakers() {
	c.takers = c.takers[:0]
	for _, w := range c.order {
		if w.takes(c.now) {
			c.takers = append(c.takers, w)
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
		best := c.bestFit(s, found)
		chosen := &found[best]
		c.start(t, chosen.worker, t.nextRun(c), chosen.ticket)
		chosen.slots--
		if chosen.slots == 0 || !s.def.room().Fits(c.roomFor(s, chosen.worker)) {
			found = slices.Delete(found, best, best+1)
		}
	}
}

// best returns the candidate that a task fills best.
func (c *Core) bestFit(s *step, found []candidate) int {
	best, bestScore := 0, 0.0
	for i := range found {
		score := found[i].worker.residual(s.def.room()) + found[i].penalty()
		if i == 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
}
