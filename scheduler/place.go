package scheduler

import (
	"cmp"
	"slices"
	"time"

	"kumquatstall/requester"
)

// lateFactor times its objective is when a job is worth nothing any more.
const lateFactor = 3

// urgency is a step's place in the order.
type urgency struct {
	// tier is 0 for what can still be in time, 1 for what can be late, 2 for
	// what is past that.
	tier     int
	priority int
	dueAt    time.Time
}

func (a urgency) compare(b urgency) int {
	if a.tier != b.tier {
		return cmp.Compare(a.tier, b.tier)
	}
	if a.priority != b.priority {
		return cmp.Compare(a.priority, b.priority)
	}
	return a.dueAt.Compare(b.dueAt)
}

// urgencyOf returns where a step stands in the order at now.
func (s *step) urgencyOf(now time.Time) urgency {
	j := s.job()
	objective := j.objective
	from := s.occurrence.dueAt
	left := j.chains[s.number]
	u := urgency{priority: j.spec.Priority, dueAt: from.Add(objective)}
	switch end := now.Add(left); {
	case s.def.LongRunning || !end.After(u.dueAt):
	case !end.After(from.Add(lateFactor * objective)):
		u.tier = 1
	default:
		u.tier = 2
	}
	return u
}

// sortByOrder sorts steps by urgency.
func (c *Core) sortByOrder(steps []*step) {
	for _, s := range steps {
		s.rank = s.urgencyOf(c.now)
	}
	slices.SortFunc(steps, func(a, b *step) int {
		if order := a.rank.compare(b.rank); order != 0 {
			return order
		}
		return cmp.Or(cmp.Compare(a.job().name(), b.job().name()), cmp.Compare(a.number, b.number))
	})
}

// mayStart reports whether tasks of a step that are nowhere to be seen may be
// started: nothing that an earlier owner began may be hidden.
func (c *Core) mayStart(s *step) bool { return !s.hidden || c.Settled() }

// place starts what fits, in order.
func (c *Core) place() {
	if !c.changed || c.fenced {
		return
	}
	c.changed = false
	settled := c.Settled()
	c.sortByOrder(c.open)
	c.findTakers()
	c.updateHolds()
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

// findTakers finds the workers that may get new tasks now.
func (c *Core) findTakers() {
	c.takers = c.takers[:0]
	for _, w := range c.order {
		if w.takes(c.now) {
			c.takers = append(c.takers, w)
		}
	}
}

// suits reports whether the step may run on the worker at all.
func (c *Core) suits(s *step, w *worker) bool {
	if w.info.Service != s.job().spec.Service {
		return false
	}
	if s.def.RequiredLabel != "" && !slices.Contains(w.info.Labels, s.def.RequiredLabel) {
		return false
	}
	return s.def.room().Fits(w.info.Total)
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
	c.changed = true
	c.freed = append(c.freed, w)
}

func (c *Core) trimFreed() {
	if extra := len(c.freed) - keptFreed; extra > 0 {
		c.freed = slices.Delete(c.freed, 0, extra)
		c.freedFrom += extra
	}
}

// mayTake returns the workers that may get tasks of the step now: those allowed,
// where its queue has advice. The result is good until the next call.
func (c *Core) mayTake(s *step) []*worker {
	if s.job().spec.Advice == nil {
		return c.takers
	}
	c.scratch = c.scratch[:0]
	for _, id := range s.advice.allowed {
		if w, ok := c.workers[id]; ok && w.takes(c.now) {
			c.scratch = append(c.scratch, w)
		}
	}
	return c.scratch
}

// toScan returns the workers that may have room for a step which had none at
// its last look, and whether these are all there are.
func (c *Core) toScan(s *step) (workers []*worker, all bool) {
	next := c.freedFrom + len(c.freed)
	from := s.scanned - c.freedFrom
	s.scanned = next
	if s.scannedAt.IsZero() || from < 0 || c.now.Sub(s.scannedAt) >= rescanInterval || len(c.freed)-from >= len(c.takers) {
		s.scannedAt = c.now
		return c.mayTake(s), true
	}
	for _, w := range c.freed[from:] {
		if w.takes(c.now) && !slices.Contains(workers, w) {
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
	need := s.def.room()
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
			held:    w.held != nil && w.held.step != s,
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
	if s.hold != nil || s.def.Gang && fit < len(s.tasks) {
		// Fresh tickets would age again before the gang has room.
		s.advice.stale = s.advice.stale[:0]
	}
	return found
}

// slots returns how many more tasks of the step fit on a worker.
func (c *Core) slots(s *step, w *worker) int {
	return slotsIn(c.roomFor(s, w), s.def.room(), s.mostOn(w))
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
		c.start(t, chosen.worker, t.nextRun(c), chosen.ticket)
		chosen.slots--
		if chosen.slots == 0 || !s.def.room().Fits(c.roomFor(s, chosen.worker)) {
			found = slices.Delete(found, best, best+1)
		}
	}
}

// best returns the candidate that a task fills best.
func (c *Core) best(s *step, found []candidate) int {
	best, bestScore := 0, 0.0
	for i := range found {
		score := found[i].worker.leftover(s.def.room()) + found[i].penalty()
		if i == 0 || score < bestScore {
			best, bestScore = i, score
		}
	}
	return best
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
	left := w.room().Sub(need)
	return share(left.MilliCores, w.info.Total.MilliCores) + share(left.MemoryMB, w.info.Total.MemoryMB)
}

func share(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

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
	if s.hold != nil {
		c.dropHold(s.hold)
	}
	for i, entry := range chosen {
		c.start(s.tasks[i], entry.worker, number, entry.ticket)
	}
}

// slotsIn is how many tasks fit a room, up to most.
func slotsIn(room, need requester.Resources, most int) int {
	return max(0, min(most,
		quotient(room.MilliCores, need.MilliCores, most),
		quotient(room.MemoryMB, need.MemoryMB, most),
		quotient(room.Accelerators, need.Accelerators, most),
	))
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
	need := s.def.room()
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

// remainder is what a worker has free once it is filled with tasks.
func (e *candidate) remainder(need requester.Resources) float64 {
	taken := requester.Resources{MilliCores: need.MilliCores * int64(e.slots), MemoryMB: need.MemoryMB * int64(e.slots)}
	return e.worker.leftover(taken)
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
	for _, w := range c.order {
		if !w.usable() || !c.suits(s, w) {
			continue
		}
		if allowed, known := s.advice.allows(w); s.job().spec.Advice != nil && known && !allowed {
			continue
		}
		need, total := s.def.room(), w.info.Total
		fit := min(quotient(total.MilliCores, need.MilliCores, len(s.tasks)), quotient(total.MemoryMB, need.MemoryMB, len(s.tasks)))
		slots[w.info.Rack] += fit
		if slots[w.info.Rack] >= len(s.tasks) {
			return true
		}
	}
	return false
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// firstRun is the lowest run number of this owner: none that an earlier one
// can have used.
func (c *Core) firstRun() RunNumber { return RunNumber((c.options.Epoch-1)*runsPerEpoch) + 1 }

func (t *task) nextRun(c *Core) RunNumber { return max(t.lastRun+1, c.firstRun()) }

// start orders a run, unless that would break an invariant.
func (c *Core) start(t *task, w *worker, number RunNumber, ticket string) {
	s := t.step
	need := s.def.room()
	r := &run{
		task:      t,
		name:      t.name(),
		number:    number,
		worker:    w,
		need:      need,
		startedAt: c.now,
		endsAt:    c.now.Add(s.expected()),
		resumed:   t.checkpoint != "",
	}
	if broken := c.broken(t, w, need); broken != "" {
		c.stats.Violations++
		c.note(Note{Job: s.job().name(), Task: r.name, Worker: w.info.HostID, Event: "start withheld", Why: broken, Broken: true})
		return
	}
	t.lastRun = number
	t.run = r
	s.waiting--
	s.job().active++
	w.runs[runKey{r.name, number}] = r
	w.used = w.used.Add(need)
	c.takeSpare(s, w)
	c.stats.Starts++
	c.orders.Starts = append(c.orders.Starts, StartOrder{
		Worker:     w.ref(),
		Task:       r.name,
		Run:        number,
		Payload:    s.job().spec.Payload,
		Deadline:   c.grant(w),
		Fence:      Fence(c.options.Epoch),
		Checkpoint: t.checkpoint,
		Ticket:     ticket,
	})
	c.note(Note{
		Job: s.job().name(), Task: r.name, Run: number, Worker: w.info.HostID, Event: "start",
		Waited: c.now.Sub(s.occurrence.dueAt), Tier: s.rank.tier,
	})
}

// broken returns the invariant that a start would break, or an empty string.
func (c *Core) broken(t *task, w *worker, need requester.Resources) string {
	s := t.step
	switch {
	case t.done:
		return "the task is done"
	case t.run != nil:
		return "the task may be running"
	case s.job().state.Ended():
		return "the job has ended"
	case !s.occurrence.predecessorsDone(s):
		return "an earlier step is not done"
	case s.job().spec.Occurrences > 0 && c.now.Before(s.occurrence.dueAt):
		return "the occurrence is not due"
	case !need.Fits(w.room()):
		return "no room"
	case !c.suits(s, w):
		return "the worker does not suit the step"
	case s.def.AntiAffinity > 0 && s.countOn(w) >= s.def.AntiAffinity:
		return "too many tasks of the step on the worker"
	case s.def.Fills && w.serves() || s.def.TargetMillis > 0 && w.fills():
		return "tasks that fill beside tasks with a target"
	case !c.mayBegin(s):
		return "the step is not stored as begun"
	case s.hidden && !c.Settled():
		return "an earlier owner's run may be hidden"
	}
	return ""
}
