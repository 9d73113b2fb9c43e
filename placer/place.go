package placer

import (
	"sort"
	"time"

	"kumquatstall/estimator"
	"kumquatstall/requester"
)

// tradeState holds the allocation and the waiting jobs of one trade.
type tradeState struct {
	trade     requester.Trade
	allocated requester.Resources
	// waiting lists the jobs with waiting tasks by urgency, in the order in
	// which they were enqueued.
	waiting [requester.UrgencyCount][]*job
}

func (f *Fleet) trade(name requester.Trade) *tradeState {
	state, ok := f.trades[name]
	if !ok {
		state = &tradeState{trade: name}
		f.trades[name] = state
	}
	return state
}

// enqueue adds a job to the waiting list of its urgency, unless it is there
// already.
func (s *tradeState) enqueue(j *job) {
	list := s.waiting[j.spec.Urgency]
	for _, other := range list {
		if other == j {
			return
		}
	}
	s.waiting[j.spec.Urgency] = append(list, j)
}

// prune removes the jobs that have no waiting tasks and reports whether any jobs
// remain.
func (s *tradeState) prune() bool {
	remaining := false
	for urgency := range s.waiting {
		kept := s.waiting[urgency][:0]
		for _, j := range s.waiting[urgency] {
			if len(j.waiting) > 0 {
				kept = append(kept, j)
			}
		}
		s.waiting[urgency] = kept
		remaining = remaining || len(kept) > 0
	}
	return remaining
}

// maxPlacements bounds the tasks that one call of Place assigns, so that other
// events are not delayed. A gang may exceed it.
const maxPlacements = 512

// Place assigns waiting tasks to workers and returns the number assigned. It
// fails a job whose tasks would fit no worker even if no other tasks ran there.
func (f *Fleet) Place(now time.Time) int {
	recovering := f.Recovering(now)
	round := &round{fleet: f, now: now, recovering: recovering, blocked: make(map[*job]bool)}
	for _, state := range f.trades {
		if state.prune() {
			round.trades = append(round.trades, state)
		}
	}
	sort.Slice(round.trades, func(i, j int) bool { return round.trades[i].trade < round.trades[j].trade })
	for round.placed < maxPlacements {
		j := round.nextJob()
		if j == nil {
			break
		}
		if round.place(j) {
			continue
		}
		round.blocked[j] = true
		if !f.Feasible(j.spec) {
			f.end(j, requester.JobFailed, requester.ReasonTooLarge, now)
		}
	}
	return round.placed
}

// round is the state of one call of Place.
type round struct {
	fleet      *Fleet
	now        time.Time
	recovering bool
	trades     []*tradeState
	// blocked holds the jobs of which this round places no further task.
	blocked map[*job]bool
	// unplaceable lists requirements for which this round found no worker. No
	// worker is sought for one that is at least as large in every dimension.
	unplaceable []requester.Resources
	placed      int
}

// nextJob returns the job from which to place a task next, or nil if none can be
// placed.
func (r *round) nextJob() *job {
	var best *job
	var bestUrgency requester.Urgency
	var bestShare float64
	fair := 1 / float64(max(1, len(r.trades)))
	for _, state := range r.trades {
		j := r.head(state)
		if j == nil {
			continue
		}
		share := r.fleet.weightedShare(state)
		urgency := j.spec.Urgency
		if share > fair {
			// Urgency has no effect for a trade above the fair share.
			urgency = requester.UrgencyLow
		}
		if best == nil || urgency > bestUrgency || urgency == bestUrgency && share < bestShare {
			best, bestUrgency, bestShare = j, urgency, share
		}
	}
	return best
}

// head returns the trade's first job that may be placed, or nil. While the fleet
// recovers, an earlier holder's runs of recovered jobs may not be known yet, so
// these are skipped.
func (r *round) head(state *tradeState) *job {
	for urgency := requester.UrgencyUrgent; urgency >= requester.UrgencyLow; urgency-- {
		for _, j := range state.waiting[urgency] {
			if len(j.waiting) > 0 && !r.blocked[j] && !(r.recovering && j.recovered) {
				return j
			}
		}
	}
	return nil
}

// weightedShare returns the trade's dominant share divided by its weight.
func (f *Fleet) weightedShare(state *tradeState) float64 {
	weight := 1.0
	if f.limits.Weight != nil {
		weight = f.limits.Weight(state.trade)
	}
	return state.allocated.DominantShare(f.total) / weight
}

// place assigns one task of the job to a worker, or all tasks of a gang. It
// reports whether it did. Tasks of a gang that is running already are assigned
// one at a time.
func (r *round) place(j *job) bool {
	if j.spec.Shape == requester.ShapeGang && j.running == 0 {
		return r.placeGang(j)
	}
	t := j.waiting[0]
	need := r.fleet.requirement(j)
	w := r.findWorker(t, need)
	if w == nil {
		return false
	}
	j.waiting = j.waiting[1:]
	r.fleet.assign(t, w, need, r.now)
	r.placed++
	return true
}

// placeGang assigns all waiting tasks of a gang or none, and reports whether it
// did. To choose the workers, it allocates the resources of each task in turn and
// then releases them. It binds the tasks only if there is a worker for each and
// the quota covers all.
func (r *round) placeGang(j *job) bool {
	need := r.fleet.requirement(j)
	chosen := make([]*worker, 0, len(j.waiting))
	for _, t := range j.waiting {
		w := r.findWorker(t, need)
		if w == nil {
			break
		}
		r.fleet.allocate(w, need)
		chosen = append(chosen, w)
	}
	for _, w := range chosen {
		r.fleet.release(w, need)
	}
	if len(chosen) < len(j.waiting) || !r.fleet.withinQuota(j, need, len(chosen)) {
		return false
	}
	for i, t := range j.waiting {
		r.fleet.assign(t, chosen[i], need, r.now)
	}
	r.placed += len(chosen)
	j.waiting = nil
	return true
}

// requirement returns the resources to allocate to a task of the job: the
// declared requirement, raised to the peak usage of tasks of the same trade and
// kind if that is larger and fits some worker.
func (f *Fleet) requirement(j *job) requester.Resources {
	key := estimator.Key{Scope: string(j.spec.Trade), Kind: j.spec.Kind}
	need := f.peakUsage.Need(key, j.spec.Need)
	for _, w := range f.workerList {
		if need.Fits(w.allocatable) {
			return need
		}
	}
	return j.spec.Need
}

// allocatable returns the resources of a worker less the headroom. Accelerators
// are whole devices and have no headroom.
func (f *Fleet) allocatable(w *worker) requester.Resources {
	usableShare := 1 - f.limits.Headroom
	return requester.Resources{
		MilliCores:   int64(float64(w.info.Total.MilliCores) * usableShare),
		MemoryMB:     int64(float64(w.info.Total.MemoryMB) * usableShare),
		Accelerators: w.info.Total.Accelerators,
	}
}

// findWorker returns the eligible worker with the lowest score for a task, or the
// first one under FirstFit. It returns nil if the task fits none or would exceed
// the trade's quota.
func (r *round) findWorker(t *task, need requester.Resources) *worker {
	f := r.fleet
	for _, failed := range r.unplaceable {
		if failed.Fits(need) {
			return nil
		}
	}
	if !f.withinQuota(t.job, need, 1) {
		return nil
	}
	var best *worker
	var bestScore float64
	for i := range f.free {
		if !need.Fits(f.free[i]) {
			continue
		}
		w := f.workerList[i]
		if !f.eligible(w, r.now) {
			continue
		}
		if f.limits.FirstFit {
			return w
		}
		score := f.score(t, w, need)
		if best == nil || score < bestScore {
			best, bestScore = w, score
		}
	}
	if best == nil && t.job.spec.Shape != requester.ShapeGang {
		r.unplaceable = append(r.unplaceable, need)
	}
	return best
}

// eligible reports whether new tasks may be assigned to a worker.
func (f *Fleet) eligible(w *worker, now time.Time) bool {
	return w.reported && !w.unresponsive && !w.removed && !w.info.Leaving && now.Before(w.leaseDeadline) && w.breaker.Allows(now)
}

// Penalties that score adds for a worker. They are in units of a worker's
// resources: a penalty of 1 equals the difference between a full and an empty
// worker.
const (
	// sameRackPenalty is added for each replica of the service on the worker's
	// rack. It spreads the replicas over the racks.
	sameRackPenalty = 2.0
	// failedOnPenalty is added for each run of the task that failed on the
	// worker.
	failedOnPenalty = 10.0
	// acceleratorPenalty keeps workers with accelerators free for tasks that
	// require them.
	acceleratorPenalty = 1.0
)

// score rates a worker for a task; lower is better. Packing prefers the worker
// with the least free resources after the assignment (best fit), spreading the
// one with the most.
func (f *Fleet) score(t *task, w *worker, need requester.Resources) float64 {
	free := w.allocatable.Sub(w.allocated).Sub(need)
	score := meanFreeShare(free, w.info.Total)
	if f.limits.Spread {
		score = -score
	}
	if w.info.Total.Accelerators > 0 && need.Accelerators == 0 {
		score += acceleratorPenalty
	}
	if t.job.spec.Shape == requester.ShapeService {
		score += sameRackPenalty * float64(f.replicasOnRack(t.job, w.info.Rack))
	}
	for _, id := range t.failedOn {
		if id == w.info.HostID {
			score += failedOnPenalty
		}
	}
	return score
}

// meanFreeShare returns the mean, over the dimensions that a worker has, of the
// share of its resources that is free.
func meanFreeShare(free, total requester.Resources) float64 {
	sum := float64(free.MilliCores)/float64(max(1, total.MilliCores)) + float64(free.MemoryMB)/float64(max(1, total.MemoryMB))
	if total.Accelerators == 0 {
		return sum / 2
	}
	return (sum + float64(free.Accelerators)/float64(total.Accelerators)) / 3
}

func (f *Fleet) replicasOnRack(j *job, rack string) int {
	count := 0
	for _, t := range j.tasks {
		if t.worker != nil && t.worker.info.Rack == rack {
			count++
		}
	}
	return count
}

// withinQuota reports whether count more tasks of the job fit its trade's quota.
func (f *Fleet) withinQuota(j *job, need requester.Resources, count int) bool {
	if f.limits.Quota == nil {
		return true
	}
	quota := f.limits.Quota(j.spec.Trade)
	allocated := f.trade(j.spec.Trade).allocated
	n := int64(count)
	return withinLimit(allocated.MilliCores+n*need.MilliCores, quota.MilliCores) &&
		withinLimit(allocated.MemoryMB+n*need.MemoryMB, quota.MemoryMB) &&
		withinLimit(allocated.Accelerators+n*need.Accelerators, quota.Accelerators)
}

func withinLimit(amount, limit int64) bool { return limit == 0 || amount <= limit }

// assign binds a task to a worker and queues the start of a new run.
func (f *Fleet) assign(t *task, w *worker, need requester.Resources, now time.Time) {
	_ = t.machine.Fire("Place")
	t.run++
	t.id = TaskID{Job: t.job.spec.JobID, Index: t.index, Run: t.run, Epoch: f.epoch}
	f.bind(t, w, need, now)
	f.checkAllocation(w)
	w.breaker.RecordStart()
	w.starts = append(w.starts, TaskStart{
		Task:      t.id,
		Job:       t.job.spec.JobID,
		Need:      need,
		RunMillis: t.job.spec.RunMillis,

		ProgressMicros: t.progress.Microseconds(),
		Forever:        t.job.spec.Shape == requester.ShapeService,
		Payload:        t.job.spec.Payload,
	})
	if t.job.state == requester.JobPending {
		t.job.state = requester.JobRunning
	}
}

// bind binds a task to a worker and adds need to the resources allocated on the
// worker and to the trade.
func (f *Fleet) bind(t *task, w *worker, need requester.Resources, now time.Time) {
	t.worker = w
	t.allocation = need
	t.throttled = false
	t.startedAt = now
	w.tasks[t.id] = t
	f.allocate(w, need)
	t.job.running++
	state := f.trade(t.job.spec.Trade)
	state.allocated = state.allocated.Add(need)
}

// allocate marks resources of a worker as allocated.
func (f *Fleet) allocate(w *worker, amount requester.Resources) {
	w.allocated = w.allocated.Add(amount)
	f.free[w.index] = w.allocatable.Sub(w.allocated)
}

// release marks resources of a worker as free.
func (f *Fleet) release(w *worker, amount requester.Resources) {
	w.allocated = w.allocated.Sub(amount)
	f.free[w.index] = w.allocatable.Sub(w.allocated)
}

// reindexWorkers recomputes the index and the allocatable and free resources of
// every worker after a change of workerList or of the limits.
func (f *Fleet) reindexWorkers() {
	f.free = f.free[:0]
	for i, w := range f.workerList {
		w.index = i
		w.allocatable = f.allocatable(w)
		f.free = append(f.free, w.allocatable.Sub(w.allocated))
	}
}

// checkAllocation records a violation if more than a worker's total is
// allocated.
func (f *Fleet) checkAllocation(w *worker) {
	if !w.allocated.Fits(w.info.Total) && !w.removed {
		f.violation = "worker " + string(w.info.HostID) + " has more resources allocated than its total"
	}
}

// unbind unbinds a task from its worker, if it has one, and releases the
// resources allocated to it.
func (f *Fleet) unbind(t *task) {
	w := t.worker
	if w == nil {
		return
	}
	delete(w.tasks, t.id)
	f.release(w, t.allocation)
	t.worker = nil
	t.job.running--
	state := f.trade(t.job.spec.Trade)
	state.allocated = state.allocated.Sub(t.allocation)
}
