package scheduler

import (
	"slices"
	"time"

	"kumquatstall/requester"
)

// compatible reports whether the service, label and total resources of the
// worker admit a task of the step.
func (c *Core) compatible(s *step, w *worker) bool {
	if w.info.Service != s.job().spec.Service {
		return false
	}
	if s.def.RequiredLabel != "" && !slices.Contains(w.info.Labels, s.def.RequiredLabel) {
		return false
	}
	return s.def.allocation().Fits(w.info.Total)
}

// A step that has found no capacity on a worker finds none there until some of
// the worker's capacity is freed. A pass therefore scans only the workers freed
// since the last scan of the step, and periodically all of them, because
// tickets, reservations and the speed of workers change as well.

const (
	// rescanInterval is the interval at which all workers are scanned for a
	// step.
	rescanInterval = 500 * time.Millisecond
	// gangRescanInterval is the least time between two scans for a gang, which
	// always cover all workers.
	gangRescanInterval = 40 * time.Millisecond
	// maxFreed is the maximum number of entries in Core.freed. For a step whose
	// last scan precedes the oldest entry, all workers are scanned.
	maxFreed = 4096
)

// markFreed records that a worker may have more free resources than before.
func (c *Core) markFreed(w *worker) {
	c.placementPending = true
	c.freed = append(c.freed, w)
}

// trimFreed removes the oldest entries of Core.freed beyond maxFreed.
func (c *Core) trimFreed() {
	if extra := len(c.freed) - maxFreed; extra > 0 {
		c.freed = slices.Delete(c.freed, 0, extra)
		c.freedOffset += extra
	}
}

// allowedWorkers returns the eligible workers, or, if the queue uses advice,
// only those of them that are allowed to run the step. The result is valid
// until the next call.
func (c *Core) allowedWorkers(s *step) []*worker {
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

// workersToScan returns the workers that may have gained capacity for the step
// since its last scan, and whether these are all workers that it may use. Only
// a scan of all workers is limited to those that advice allows.
func (c *Core) workersToScan(s *step) (workers []*worker, all bool) {
	next := c.freedOffset + len(c.freed)
	from := s.scanned - c.freedOffset
	s.scanned = next
	if s.scannedAt.IsZero() || from < 0 || c.now.Sub(s.scannedAt) >= rescanInterval || len(c.freed)-from >= len(c.eligible) {
		s.scannedAt = c.now
		return c.allowedWorkers(s), true
	}
	for _, w := range c.freed[from:] {
		if w.eligible(c.now) && !slices.Contains(workers, w) {
			workers = append(workers, w)
		}
	}
	return workers, false
}

// candidate is a worker with capacity for tasks of a step.
type candidate struct {
	worker *worker
	ticket string
	// slots is how many more tasks of the step fit.
	slots int
	// offRack is true if the step's data is on another rack.
	offRack bool
	// avoided is true if a task of the step has failed or stalled there.
	avoided bool
	// reserved is true if the worker is reserved for another step.
	reserved bool
	// slow is true if the worker runs its tasks below slowSpeed.
	slow bool
	// unsettled is true if a gang under suspicion would start beside a task that has
	// just started there.
	unsettled bool
}

// penalty returns the candidate's addition to its best-fit score. Each penalty
// outweighs any difference in residual capacity: of two candidates that differ
// in one penalty, the one without it is preferred.
func (cand *candidate) penalty() float64 {
	penalty := 0.0
	if cand.offRack {
		penalty += offRackPenalty
	}
	if cand.avoided {
		penalty += avoidedPenalty
	}
	if cand.reserved {
		penalty += reservedPenalty
	}
	if cand.slow {
		penalty += slowPenalty
	}
	if cand.unsettled {
		penalty += unsettledPenalty
	}
	return penalty
}

// candidates returns the workers with capacity for at least one task of the
// step and, where the step uses advice, a valid ticket. It records those that
// lack only a valid ticket as stale.
func (c *Core) candidates(s *step) []candidate {
	workers, all := c.workersToScan(s)
	var found []candidate
	if all {
		s.advice.stale = s.advice.stale[:0]
	}
	total := 0
	advised := s.job().spec.Advice != nil
	accused := s.def.Gang && s.suspect()
	need := s.def.allocation()
	for _, w := range workers {
		if !need.Fits(c.availableFor(s, w)) || !c.compatible(s, w) {
			continue
		}
		slots := c.slots(s, w)
		if slots == 0 {
			continue
		}
		cand := candidate{
			worker:    w,
			slots:     slots,
			offRack:   s.def.DataRack != "" && w.info.Rack != s.def.DataRack,
			avoided:   slices.Contains(s.avoid, w.info.HostID),
			slow:      w.slow(c.now),
			reserved:  w.reservation != nil && w.reservation.step != s,
			unsettled: accused && w.unsettled(c.now),
		}
		if advised {
			if allowed, _ := s.advice.allows(w); !allowed {
				continue // freed workers are not filtered by advice
			}
			text, valid := s.advice.validTicket(w, c.now)
			total += slots
			if !valid {
				if !slices.Contains(s.advice.stale, w.info.HostID) {
					s.advice.stale = append(s.advice.stale, w.info.HostID)
				}
				continue
			}
			cand.ticket = text
		}
		found = append(found, cand)
	}
	if s.reservation != nil || s.def.Gang && total < s.def.Count {
		// Renewed tickets would expire again before the gang has capacity. The
		// tickets of a reservation are renewed by ticketsToRenew.
		s.advice.stale = s.advice.stale[:0]
	}
	return found
}

// slots returns how many more tasks of the step fit on a worker.
func (c *Core) slots(s *step, w *worker) int {
	return slotsIn(c.availableFor(s, w), s.def.allocation(), s.taskLimit(w))
}

// taskLimit returns how many more tasks of the step a worker may run by rules
// other than capacity: anti-affinity, no best-effort tasks beside tasks with a
// target for response times, none beside a task on trial, and one task at a
// time on probation.
func (s *step) taskLimit(w *worker) int {
	if w.trial != nil && w.trial.job != s.job() {
		return 0
	}
	limit := s.def.Count
	if s.def.AntiAffinity > 0 {
		limit = min(limit, s.def.AntiAffinity-s.countRuns(w))
	}
	if s.keptApart(w) {
		return 0
	}
	if w.health.probation {
		if w.proving() {
			return 0
		}
		limit = min(limit, 1)
	}
	return max(limit, 0)
}

// quotient returns how many times need fits into the available amount of one
// resource; unbounded if nothing is needed.
func quotient(available, need int64, unbounded int) int {
	if need <= 0 {
		return unbounded
	}
	return int(available / need)
}

// hasTargetedRun reports whether the worker runs a task with a target for its
// response times.
func (w *worker) hasTargetedRun() bool { return w.targeted > 0 }

// hasBestEffortRun reports whether the worker runs a best-effort task, which
// uses only the processor time that other tasks leave.
func (w *worker) hasBestEffortRun() bool { return w.filling > 0 }

// countRuns counts the runs of the step on a worker, and the open starts that may become
// some.
func (s *step) countRuns(w *worker) int { return w.stepRuns[s.name()] + w.stepOpens[s.name()] }

// Penalties, in shares of a worker's resources.
const (
	// offRackPenalty applies away from the rack of the step's data, where a
	// task takes about twice as long.
	offRackPenalty = 4
	// slowPenalty applies to slow workers.
	slowPenalty = 6
	// avoidedPenalty applies to workers where a task of the step has failed or
	// stalled.
	avoidedPenalty = 8
	// unsettledPenalty applies to workers on which another task has just started: a
	// crash there would not tell which one was the cause.
	unsettledPenalty = 10
)

// residual returns the capacity left on a worker after a task, as the sum of
// the free shares of its processors and memory. Best fit minimises it.
func (w *worker) residual(need requester.Resources) float64 {
	rest := w.available().Sub(need)
	return share(rest.MilliCores, w.info.Total.MilliCores) + share(rest.MemoryMB, w.info.Total.MemoryMB)
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// slotsIn returns how many tasks with the given need fit into the available
// resources, at most limit. None fit where a resource is exceeded already, even
// if they need none of it.
func slotsIn(available, need requester.Resources, limit int) int {
	if !need.Fits(available) {
		return 0
	}
	return max(0, min(limit,
		quotient(available.MilliCores, need.MilliCores, limit),
		quotient(available.MemoryMB, need.MemoryMB, limit),
		quotient(available.Accelerators, need.Accelerators, limit),
	))
}

// residualWhenFilled returns the residual capacity of the candidate's worker
// once a task occupies each of its slots.
func (cand *candidate) residualWhenFilled(need requester.Resources) float64 {
	filled := requester.Resources{MilliCores: need.MilliCores * int64(cand.slots), MemoryMB: need.MemoryMB * int64(cand.slots)}
	return cand.worker.residual(filled)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
