package placer

import (
	"sort"
	"time"

	"kumquatstall/estimator"
	"kumquatstall/requester"
)

// tradeState is what a trade holds and wants.
type tradeState struct {
	trade requester.Trade
	taken requester.Resources
	// waiting holds the jobs with waiting tasks, by urgency, oldest first.
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

func (s *tradeState) add(j *job) {
	list := s.waiting[j.spec.Urgency]
	for _, other := range list {
		if other == j {
			return
		}
	}
	s.waiting[j.spec.Urgency] = append(list, j)
}

// prune drops the jobs that wait no more.
func (s *tradeState) prune() bool {
	left := false
	for urgency := range s.waiting {
		kept := s.waiting[urgency][:0]
		for _, j := range s.waiting[urgency] {
			if len(j.waiting) > 0 {
				kept = append(kept, j)
			}
		}
		s.waiting[urgency] = kept
		left = left || len(kept) > 0
	}
	return left
}

// maxPlacements bounds the tasks placed at one call of Place, so that other
// events are not held up.
const maxPlacements = 512

// Place gives waiting tasks to workers and returns how many it placed.
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
		j := round.next()
		if j == nil {
			break
		}
		if round.place(j) {
			continue
		}
		round.blocked[j] = true
		if !f.CanHold(j.spec) {
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
	blocked    map[*job]bool
	// failed are the needs that found no room in this round.
	failed []requester.Resources
	placed int
}

// next returns the job to place a task of, or nil.
func (r *round) next() *job {
	var best *job
	var bestUrgency requester.Urgency
	var bestShare float64
	fair := 1 / float64(max(1, len(r.trades)))
	for _, state := range r.trades {
		j := r.head(state)
		if j == nil {
			continue
		}
		share := r.fleet.share(state)
		urgency := j.spec.Urgency
		if share > fair {
			// Above its fair share a trade's urgency counts for nothing.
			urgency = requester.UrgencyLow
		}
		if best == nil || urgency > bestUrgency || urgency == bestUrgency && share < bestShare {
			best, bestUrgency, bestShare = j, urgency, share
		}
	}
	return best
}

// head returns the trade's first job that may be placed.
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

// share returns the trade's dominant share for its weight.
func (f *Fleet) share(state *tradeState) float64 {
	weight := 1.0
	if f.limits.Weight != nil {
		weight = f.limits.Weight(state.trade)
	}
	return state.taken.DominantShare(f.total) / weight
}

// place places one task of the job, or all of a gang.
func (r *round) place(j *job) bool {
	if j.spec.Shape == requester.ShapeGang && j.running == 0 {
		return r.placeGang(j)
	}
	t := j.waiting[0]
	need := r.fleet.need(j)
	w := r.find(t, need)
	if w == nil {
		return false
	}
	j.waiting = j.waiting[1:]
	r.fleet.assign(t, w, need, r.now)
	r.placed++
	return true
}

// placeGang places all tasks or none. Tasks are assigned one after the other
// and taken back where one finds no room.
func (r *round) placeGang(j *job) bool {
	need := r.fleet.need(j)
	chosen := make([]*worker, 0, len(j.waiting))
	for _, t := range j.waiting {
		w := r.find(t, need)
		if w == nil {
			break
		}
		r.fleet.take(w, need)
		chosen = append(chosen, w)
	}
	for _, w := range chosen {
		r.fleet.give(w, need)
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

// need returns what to reserve for a task of the job: what was declared or,
// where tasks of its kind were seen to use more, that, as far as some worker
// can hold it.
func (f *Fleet) need(j *job) requester.Resources {
	key := estimator.Key{Scope: string(j.spec.Trade), Kind: j.spec.Kind}
	need := f.sizes.Need(key, j.spec.Need)
	for _, w := range f.order {
		if need.Fits(w.usable) {
			return need
		}
	}
	return j.spec.Need
}

// usableTotal is what tasks may take of a worker.
func (f *Fleet) usableTotal(w *worker) requester.Resources {
	keep := 1 - f.limits.Headroom
	return requester.Resources{
		MilliCores:   int64(float64(w.info.Total.MilliCores) * keep),
		MemoryMB:     int64(float64(w.info.Total.MemoryMB) * keep),
		Accelerators: w.info.Total.Accelerators,
	}
}

// find returns the worker that suits a task best, or nil.
func (r *round) find(t *task, need requester.Resources) *worker {
	f := r.fleet
	for _, failed := range r.failed {
		if failed.Fits(need) {
			return nil
		}
	}
	if !f.withinQuota(t.job, need, 1) {
		return nil
	}
	var best *worker
	var bestScore float64
	for i := range f.room {
		if !need.Fits(f.room[i]) {
			continue
		}
		w := f.order[i]
		if !f.usable(w, r.now) {
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
		r.failed = append(r.failed, need)
	}
	return best
}

// usable reports whether a worker may get a task.
func (f *Fleet) usable(w *worker, now time.Time) bool {
	return w.reported && !w.silent && !w.gone && !w.info.Leaving && now.Before(w.leaseUntil) && w.breaker.Allows(now)
}

// Penalties of a worker in the choice for a task, in shares of a worker.
const (
	sameRackPenalty = 2.0
	failedOnPenalty = 10.0
	// acceleratorPenalty keeps workers with accelerators for tasks that
	// need them.
	acceleratorPenalty = 1.0
)

// score rates a worker for a task; lower is better. Best fit leaves the least
// room over; spreading leaves the most.
func (f *Fleet) score(t *task, w *worker, need requester.Resources) float64 {
	left := w.usable.Sub(w.taken).Sub(need)
	score := leftover(left, w.info.Total)
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

// leftover is the mean share that stays free in the dimensions a worker has.
func leftover(left, total requester.Resources) float64 {
	sum := float64(left.MilliCores)/float64(max(1, total.MilliCores)) + float64(left.MemoryMB)/float64(max(1, total.MemoryMB))
	if total.Accelerators == 0 {
		return sum / 2
	}
	return (sum + float64(left.Accelerators)/float64(total.Accelerators)) / 3
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

// withinQuota reports whether the job's trade may hold count more tasks.
func (f *Fleet) withinQuota(j *job, need requester.Resources, count int) bool {
	if f.limits.Quota == nil {
		return true
	}
	quota := f.limits.Quota(j.spec.Trade)
	taken := f.trade(j.spec.Trade).taken
	n := int64(count)
	return within(taken.MilliCores+n*need.MilliCores, quota.MilliCores) &&
		within(taken.MemoryMB+n*need.MemoryMB, quota.MemoryMB) &&
		within(taken.Accelerators+n*need.Accelerators, quota.Accelerators)
}

func within(amount, quota int64) bool { return quota == 0 || amount <= quota }

// assign gives a task to a worker.
func (f *Fleet) assign(t *task, w *worker, need requester.Resources, now time.Time) {
	_ = t.machine.Fire("Place")
	t.run++
	t.id = TaskID{Job: t.job.spec.JobID, Index: t.index, Run: t.run, Epoch: f.epoch}
	f.occupy(t, w, need, now)
	f.checkRoom(w)
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

// occupy takes room on a worker for a task.
func (f *Fleet) occupy(t *task, w *worker, need requester.Resources, now time.Time) {
	t.worker = w
	t.need = need
	t.throttled = false
	t.started = now
	w.tasks[t.id] = t
	f.take(w, need)
	t.job.running++
	state := f.trade(t.job.spec.Trade)
	state.taken = state.taken.Add(need)
}

// take counts an amount as taken of a worker.
func (f *Fleet) take(w *worker, amount requester.Resources) {
	w.taken = w.taken.Add(amount)
	f.room[w.index] = w.usable.Sub(w.taken)
}

// give counts an amount as free again.
func (f *Fleet) give(w *worker, amount requester.Resources) {
	w.taken = w.taken.Sub(amount)
	f.room[w.index] = w.usable.Sub(w.taken)
}

// indexWorkers brings the table of rooms in line with the list of workers.
func (f *Fleet) indexWorkers() {
	f.room = f.room[:0]
	for i, w := range f.order {
		w.index = i
		w.usable = f.usableTotal(w)
		f.room = append(f.room, w.usable.Sub(w.taken))
	}
}

// checkRoom verifies that a worker holds what it was given.
func (f *Fleet) checkRoom(w *worker) {
	if !w.taken.Fits(w.info.Total) && !w.gone {
		f.violation = "worker " + string(w.info.HostID) + " was given more than it holds"
	}
}

// vacate gives a task's room back.
func (f *Fleet) vacate(t *task) {
	w := t.worker
	if w == nil {
		return
	}
	delete(w.tasks, t.id)
	f.give(w, t.need)
	t.worker = nil
	t.job.running--
	state := f.trade(t.job.spec.Trade)
	state.taken = state.taken.Sub(t.need)
}
