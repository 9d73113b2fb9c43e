package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// placeGang starts all tasks of a gang if they fit, else none. It returns what
// the gang waits for.
func (c *Core) placeGang(s *step) WaitReason {
	if c.now.Before(s.retryAt) {
		return WaitStarts
	}
	if !c.mayStartGang(s) {
		return c.paced(s)
	}
	if s.waiting < s.def.Count || c.anyMayRun(s) {
		// Some members of an earlier run have not ended yet.
		return WaitEarlierRun
	}
	if s.anyOpen() {
		return WaitOpenStart
	}
	if c.now.Sub(s.scannedAt) < gangRescanInterval {
		return s.wait.reason
	}
	s.scannedAt = time.Time{}
	chosen, reason := c.chooseGang(s, c.candidates(s))
	if chosen == nil {
		return reason
	}
	if reason := c.holdsGang(s); reason != WaitNothing {
		return reason
	}
	number := max(s.lastRun+1, c.firstRun())
	s.lastRun = number
	s.rackUntil = time.Time{}
	if s.reservation != nil {
		c.releaseReservation(s.reservation)
	}
	s.hosts = s.hosts[:0]
	for i, cand := range chosen {
		if i == 0 || cand.worker != chosen[i-1].worker {
			s.hosts = append(s.hosts, cand.worker.info.HostID)
		}
		c.startRun(s.task(i), cand.worker, number, cand.ticket)
	}
	c.intendGang(s)
	if s.suspect() {
		for t := range s.knownTasks() {
			c.putOnTrial(t, true)
		}
	}
	return WaitNothing
}

// anyOpen reports whether a start of some task of the step is open.
func (s *step) anyOpen() bool {
	for t := range s.knownTasks() {
		if t.open != nil {
			return true
		}
	}
	return false
}

// holdsGang returns what keeps a gang from starting on workers that have room for it.
func (c *Core) holdsGang(s *step) WaitReason {
	for t := range s.knownTasks() {
		if reason := c.holdsUnsuspected(t); reason != WaitNothing {
			return reason
		}
	}
	if s.suspect() && !c.mayTrySuspect() {
		s.scannedAt = time.Time{}
		return WaitTrial
	}
	return WaitNothing
}

// maxRackWait is the longest time for which a gang that fits on several racks
// waits for one.
const maxRackWait = 2 * time.Second

// chooseGang returns a candidate for each member of a gang, or nil and what the
// gang waits for if they do not fit now. A gang that should run on one rack is
// spread over several only if no rack will hold it, or none has for the time that
// spreading it costs: its tasks then take about twice as long.
func (c *Core) chooseGang(s *step, found []candidate) ([]candidate, WaitReason) {
	if !s.def.SameRack {
		return packGang(s, found), s.lacks()
	}
	if chosen := c.chooseRack(s, found); chosen != nil {
		return chosen, WaitNothing
	}
	chosen := packGang(s, found)
	if chosen == nil || !c.anyRackFits(s) {
		return chosen, s.lacks()
	}
	if s.rackUntil.IsZero() {
		s.rackUntil = c.now.Add(min(maxRackWait, s.expectedDuration()))
	}
	if c.now.Before(s.rackUntil) {
		return nil, WaitRack
	}
	return chosen, WaitNothing
}

// packGang assigns the members of a gang to the candidates that have the least
// residual capacity once filled, penalties included. It returns nil if the
// candidates have too few slots.
func packGang(s *step, found []candidate) []candidate {
	need := s.def.allocation()
	slices.SortStableFunc(found, func(a, b candidate) int {
		return cmp.Compare(a.residualWhenFilled(need)+a.penalty(), b.residualWhenFilled(need)+b.penalty())
	})
	slots := 0
	for _, cand := range found {
		slots += cand.slots
	}
	if slots < s.def.Count {
		return nil
	}
	// The starts on one worker take their time, and the members wait for one another.
	for limit := max(gangWorkerStarts, s.def.Count/len(found)+1); ; limit *= 2 {
		if chosen := fillCandidates(found, s.def.Count, limit); len(chosen) == s.def.Count {
			return chosen
		}
	}
}

// gangWorkerStarts is how many members of a gang start on one worker before others are taken,
// unless that spreads them over more workers than there are.
const gangWorkerStarts = 256

// fillCandidates returns the candidates for up to count members, with at most limit on each,
// those of other gangs included whose starts are under way.
func fillCandidates(found []candidate, count, limit int) []candidate {
	var chosen []candidate
	for _, cand := range found {
		for range min(cand.slots, limit-cand.worker.members, count-len(chosen)) {
			chosen = append(chosen, cand)
		}
	}
	return chosen
}

// chooseRack packs a gang on the rack with the fewest slots that suffice. It
// returns nil if no rack has enough.
func (c *Core) chooseRack(s *step, found []candidate) []candidate {
	byRack := make(map[string][]candidate)
	for _, cand := range found {
		byRack[cand.worker.info.Rack] = append(byRack[cand.worker.info.Rack], cand)
	}
	var best []candidate
	bestSlots := 0
	for _, rack := range sortedKeys(byRack) {
		slots := 0
		for _, cand := range byRack[rack] {
			slots += cand.slots
		}
		if slots >= s.def.Count && (best == nil || slots < bestSlots) {
			best, bestSlots = packGang(s, byRack[rack]), slots
		}
	}
	return best
}

// anyRackFits reports whether the workers of some rack could hold the whole
// step once all has ended there but the tasks that last. It counts usable,
// compatible workers that advice does not exclude; a worker not decided yet is
// not excluded.
func (c *Core) anyRackFits(s *step) bool {
	slots := make(map[string]int)
	for _, w := range c.sortedWorkers {
		if !w.usable() || !c.compatible(s, w) {
			continue
		}
		if allowed, known := s.advice.allows(w); s.job().spec.Advice != nil && known && !allowed {
			continue
		}
		slots[w.info.Rack] += s.placesInTime(w)
		if slots[w.info.Rack] >= s.def.Count {
			return true
		}
	}
	return false
}
