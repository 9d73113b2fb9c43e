package placer

import (
	"kumquatstall/estimator"
	"kumquatstall/requester"
)

// onUsage records the measured usage of a running task, and raises the task's
// allocation to it unless the task is throttled. Zero usage means that none has
// been measured yet.
func (f *Fleet) onUsage(t *task, usage requester.Resources) {
	t.usage = usage
	if usage == (requester.Resources{}) {
		return
	}
	f.peakUsage.Observe(estimator.Key{Scope: string(t.job.spec.Trade), Kind: t.job.spec.Kind}, usage)
	if larger := t.allocation.Max(usage); larger != t.allocation && !t.throttled {
		f.resize(t, larger)
	}
}

// resize changes the allocation of a running task.
func (f *Fleet) resize(t *task, allocation requester.Resources) {
	delta := allocation.Sub(t.allocation)
	t.allocation = allocation
	f.allocate(t.worker, delta)
	state := f.trade(t.job.spec.Trade)
	state.allocated = state.allocated.Add(delta)
}

// resolveOvercommit reduces the allocation on a worker whose tasks use more than
// it has: it throttles the least urgent, newest tasks to their declared processor
// time and, where that does not suffice or memory is short, stops tasks at a
// checkpoint in the same order.
func (f *Fleet) resolveOvercommit(w *worker) {
	f.throttle(w)
	allocated := w.allocated
	for _, t := range w.tasks {
		if t.machine.In("Stopping") {
			allocated = allocated.Sub(t.allocation)
		}
	}
	for !allocated.Fits(w.info.Total) {
		victim := stopVictim(w)
		if victim == nil {
			return
		}
		allocated = allocated.Sub(victim.allocation)
		f.stop(victim)
	}
}

// throttle limits tasks to their declared processor time until the allocated
// processor time no longer exceeds the worker's.
func (f *Fleet) throttle(w *worker) {
	for w.allocated.MilliCores > w.info.Total.MilliCores {
		t := selectVictim(w, func(t *task) bool {
			return t.machine.In("Running") && !t.throttled && t.allocation.MilliCores > t.job.spec.Need.MilliCores
		})
		if t == nil {
			return
		}
		bound := t.allocation
		bound.MilliCores = t.job.spec.Need.MilliCores
		f.resize(t, bound)
		t.throttled = true
		w.throttles = append(w.throttles, Throttle{Task: t.id, MilliCores: bound.MilliCores})
	}
}

// stopVictim returns the task to stop first on an overcommitted worker, or nil.
func stopVictim(w *worker) *task {
	return selectVictim(w, func(t *task) bool { return t.machine.Can("Stop") })
}

// selectVictim returns the least urgent task that is eligible, the newest of
// several, or nil.
func selectVictim(w *worker, eligible func(*task) bool) *task {
	var best *task
	for _, t := range w.sortedTasks() {
		if !eligible(t) {
			continue
		}
		if best == nil || lowerPriority(t, best) {
			best = t
		}
	}
	return best
}

// lowerPriority reports whether a is less urgent than b or, if they are equally
// urgent, newer.
func lowerPriority(a, b *task) bool {
	if a.job.spec.Urgency != b.job.spec.Urgency {
		return a.job.spec.Urgency < b.job.spec.Urgency
	}
	return a.startedAt.After(b.startedAt)
}
