package scheduler

import (
	"slices"
	"time"

	"kumquatstall/requester"
)

// suits reports whether the step may run on the worker at all.
func (c *Core) suits(s *step, w *worker) bool {
	if w.info.Service != s.job().spec.Service {
		return false
	}
	if s.def.RequiredLabel != "" && !slices.Contains(w.info.Labels, s.def.RequiredLabel) {
		return false
	}
	return s.def.allocation().Fits(w.info.Total)
}

// A step that has found no room finds none either where nothing has been freed
// since. So a pass looks only at workers freed after the last one, and at all of
// them now and then, for what else may have changed.

const (
	// rescanInterval separates looks of a step at all workers.
	rescanInterval = 500 * time.Millisecond
	// gangInterval separates those of a gang, which needs them all.
	gangInterval = 40 * time.Millisecond
	// keptFreed bounds the workers remembered as freed.
	keptFreed = 4096
)

// markFreed notes that a worker may have more room than before.
func (c *Core) markFreed(w *worker) {
	c.placementPending = true
	c.freed = append(c.freed, w)
}

func (c *Core) trimFreed() {
	if extra := len(c.freed) - keptFreed; extra > 0 {
		c.freed = slices.Delete(c.freed, 0, extra)
		c.freedOffset += extra
	}
}

// mayTake returns the workers that may get tasks of the step now: those allowed,
// where its queue has advice. The result is good until the next call.
func (c *Core) mayTake(s *step) []*worker {
	if s.job().spec.Advice == nil {
		return c.eligible
	}
	c.scratch = c.scratch[:0]
	for _, id := range s.advice.allowed {
		if w, ok := c.workers[id]; ok && w.eligible(c.now) {
			c.scratch = append(c.scratch, w)
		}
	}
	return c.scratch
}

// toScan returns the workers that may have room for a step which had none at
// its last look, and whether these are all there are.
func (c *Core) toScan(s *step) (workers []*worker, all bool) {
	next := c.freedOffset + len(c.freed)
	from := s.scanned - c.freedOffset
	s.scanned = next
	if s.scannedAt.IsZero() || from < 0 || c.now.Sub(s.scannedAt) >= rescanInterval || len(c.freed)-from >= len(c.eligible) {
		s.scannedAt = c.now
		return c.mayTake(s), true
	}
	for _, w := range c.freed[from:] {
		if w.eligible(c.now) && !slices.Contains(workers, w) {
			workers = append(workers, w)
		}
	}
	return workers, false
}

// candidate is a worker that may take tasks of a step now.
type candidate struct {
	worker *worker
	ticket string
	// slots is how many tasks of the step fit.
	slots int
	// far tells that the step's data lies on another rack.
	far bool
	// avoided tells that a task of the step has failed there.
	avoided bool
	// held tells that the worker is held for another step.
	held bool
	// slow tells that the worker's tasks take much longer than they should.
	slow bool
}

// penalty makes a candidate worse than any that only has less room.
func (e *candidate) penalty() float64 {
	penalty := 0.0
	if e.far {
		penalty += farPenalty
	}
	if e.avoided {
		penalty += avoidPenalty
	}
	if e.held {
		penalty += heldPenalty
	}
	if e.slow {
		penalty += slowPenalty
	}
	return penalty
}

// candidates returns the workers with room for at least one task of the step,
// and notes those that only lack a fresh ticket.
func (c *Core) candidates(s *step) []candidate {
	workers, all := c.toScan(s)
	var found []candidate
	if all {
		s.advice.stale = s.advice.stale[:0]
	}
	fit := 0
	advised := s.job().spec.Advice != nil
	need := s.def.allocation()
	for _, w := range workers {
		if !need.Fits(c.roomFor(s, w)) || !c.suits(s, w) {
			continue
		}
		slots := c.slots(s, w)
		if slots == 0 {
			continue
		}
		entry := candidate{
			worker:  w,
			slots:   slots,
			far:     s.def.DataRack != "" && w.info.Rack != s.def.DataRack,
			avoided: slices.Contains(s.avoid, w.info.HostID),
			slow:    w.slow(c.now),
			held:    w.reservation != nil && w.reservation.step != s,
		}
		if advised {
			if allowed, _ := s.advice.allows(w); !allowed {
				continue // one of those freed
			}
			text, valid := s.advice.valid(w, c.now)
			fit += slots
			if !valid {
				if !slices.Contains(s.advice.stale, w.info.HostID) {
					s.advice.stale = append(s.advice.stale, w.info.HostID)
				}
				continue
			}
			entry.ticket = text
		}
		found = append(found, entry)
	}
	if s.reservation != nil || s.def.Gang && fit < len(s.tasks) {
		// Fresh tickets would age again before the gang has room.
		s.advice.stale = s.advice.stale[:0]
	}
	return found
}

// slots returns how many more tasks of the step fit on a worker.
func (c *Core) slots(s *step, w *worker) int {
	return slotsIn(c.roomFor(s, w), s.def.allocation(), s.mostOn(w))
}

// mostOn is how many more tasks of the step a worker may take, whatever room it
// has.
func (s *step) mostOn(w *worker) int {
	most := len(s.tasks)
	if s.def.AntiAffinity > 0 {
		most = min(most, s.def.AntiAffinity-s.countOn(w))
	}
	if s.def.Fills && w.serves() || s.def.TargetMillis > 0 && w.fills() {
		return 0
	}
	if w.health.probation {
		most = min(most, 1)
	}
	return max(most, 0)
}

func quotient(room, need int64, unbounded int) int {
	if need <= 0 {
		return unbounded
	}
	return int(room / need)
}

// serves reports whether a task with a target for its response times runs on
// the worker.
func (w *worker) serves() bool {
	for _, r := range w.runs {
		if r.task != nil && r.task.step.def.TargetMillis > 0 {
			return true
		}
	}
	return false
}

// fills reports whether a task that fills runs on the worker.
func (w *worker) fills() bool {
	for _, r := range w.runs {
		if r.task != nil && r.task.step.def.Fills {
			return true
		}
	}
	return false
}

// countOn counts the tasks of the step that take room on a worker.
func (s *step) countOn(w *worker) int {
	count := 0
	for key := range w.runs {
		if key.name.StepName == s.name() {
			count++
		}
	}
	return count
}

// Penalties, in shares of a worker.
const (
	// farPenalty prefers any room near a step's data: away from it the step
	// takes about twice as long.
	farPenalty = 4
	// slowPenalty prefers any worker to one that is slow.
	slowPenalty = 6
	// avoidPenalty prefers any other worker to one where the task failed.
	avoidPenalty = 8
)

// leftover is what a worker has free after a task, in shares of its total.
func (w *worker) leftover(need requester.Resources) float64 {
	left := w.available().Sub(need)
	return share(left.MilliCores, w.info.Total.MilliCores) + share(left.MemoryMB, w.info.Total.MemoryMB)
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// slotsIn is how many tasks fit a room, up to most.
func slotsIn(room, need requester.Resources, most int) int {
	return max(0, min(most,
		quotient(room.MilliCores, need.MilliCores, most),
		quotient(room.MemoryMB, need.MemoryMB, most),
		quotient(room.Accelerators, need.Accelerators, most),
	))
}

// remainder is what a worker has free once it is filled with tasks.
func (e *candidate) remainder(need requester.Resources) float64 {
	taken := requester.Resources{MilliCores: need.MilliCores * int64(e.slots), MemoryMB: need.MemoryMB * int64(e.slots)}
	return e.worker.leftover(taken)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
