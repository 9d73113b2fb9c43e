package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// placeGang starts all tasks of a gang, or none.
func (c *Core) placeGang(s *step) {
	if s.waiting < len(s.tasks) {
		// Members of an earlier run still have to end.
		return
	}
	if c.now.Sub(s.scannedAt) < gangInterval {
		return
	}
	s.scannedAt = time.Time{}
	chosen := c.chooseGang(s, c.candidates(s))
	if chosen == nil {
		return
	}
	number := max(s.lastRun+1, c.firstRun())
	s.lastRun = number
	if s.reservation != nil {
		c.dropHold(s.reservation)
	}
	for i, entry := range chosen {
		c.startRun(s.tasks[i], entry.worker, number, entry.ticket)
	}
}

// chooseGang returns a candidate for each member of a gang, or nil.
func (c *Core) chooseGang(s *step, found []candidate) []candidate {
	if s.def.SameRack {
		if chosen := c.chooseRack(s, found); chosen != nil || c.rackCanHold(s) {
			return chosen
		}
	}
	return fill(s, found)
}

// fill lays a gang over the candidates that it fills best.
func fill(s *step, found []candidate) []candidate {
	need := s.def.allocation()
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Compare(a.remainder(need)+a.penalty(), b.remainder(need)+b.penalty())
	})
	var chosen []candidate
	for _, entry := range found {
		for range entry.slots {
			if len(chosen) == len(s.tasks) {
				return chosen
			}
			chosen = append(chosen, entry)
		}
	}
	if len(chosen) < len(s.tasks) {
		return nil
	}
	return chosen
}

// chooseRack lays a gang over the rack that it fills best.
func (c *Core) chooseRack(s *step, found []candidate) []candidate {
	byRack := make(map[string][]candidate)
	for _, entry := range found {
		byRack[entry.worker.info.Rack] = append(byRack[entry.worker.info.Rack], entry)
	}
	var best []candidate
	bestSlots := 0
	for _, rack := range sortedKeys(byRack) {
		slots := 0
		for _, entry := range byRack[rack] {
			slots += entry.slots
		}
		if slots >= len(s.tasks) && (best == nil || slots < bestSlots) {
			best, bestSlots = fill(s, byRack[rack]), slots
		}
	}
	return best
}

// rackCanHold reports whether some rack would hold the whole step if it were
// empty.
func (c *Core) rackCanHold(s *step) bool {
	slots := make(map[string]int)
	for _, w := range c.sortedWorkers {
		if !w.usable() || !c.suits(s, w) {
			continue
		}
		if allowed, known := s.advice.allows(w); s.job().spec.Advice != nil && known && !allowed {
			continue
		}
		need, total := s.def.allocation(), w.info.Total
		fit := min(quotient(total.MilliCores, need.MilliCores, len(s.tasks)), quotient(total.MemoryMB, need.MemoryMB, len(s.tasks)))
		slots[w.info.Rack] += fit
		if slots[w.info.Rack] >= len(s.tasks) {
			return true
		}
	}
	return false
}
