package placer

import (
	"time"
)

// ExpireLeases unbinds the tasks of each worker whose lease has certainly expired:
// the safety margin after its deadline has passed. It puts the tasks back in the
// queue unless their job has ended or another replica has replaced them, drops the
// orphans of the worker, and returns the number of tasks that were unbound. The
// worker gets no tasks until it has sent a full report.
func (f *Fleet) ExpireLeases(now time.Time) int {
	expired := 0
	for _, w := range f.workerList {
		if len(w.tasks)+len(w.orphans) == 0 || now.Before(w.leaseDeadline.Add(f.limits.Margin)) {
			continue
		}
		for id := range w.orphans {
			f.dropOrphan(w, id)
		}
		for _, t := range w.sortedTasks() {
			f.requeueLost(now, t)
			expired++
		}
		w.starts = nil
		w.stops = nil
		w.sequence = 0
		w.reported = false
	}
	return expired
}

// requeueMissing puts back in the queue the tasks whose starts were sent to the
// worker but that its full report does not contain, and releases the resources of
// orphans that it does not contain.
func (f *Fleet) requeueMissing(now time.Time, w *worker, reports []TaskReport) {
	present := make(map[TaskID]bool, len(reports))
	for _, run := range reports {
		present[run.Task] = true
	}
	for _, start := range w.starts {
		present[start.Task] = true
	}
	for _, t := range w.sortedTasks() {
		if !present[t.id] {
			f.requeueLost(now, t)
		}
	}
	for id := range w.orphans {
		if !present[id] {
			f.dropOrphan(w, id)
		}
	}
}

// requeueLost puts back in the queue a task whose run was lost: the lease has
// expired, or a full report of the worker does not contain the run. It does not
// requeue a task whose job has ended or that another replica has replaced.
func (f *Fleet) requeueLost(now time.Time, t *task) {
	j := t.job
	f.unbind(t)
	if j.state.Ended() {
		_ = t.machine.Fire("Lapse")
		_ = t.machine.Fire("Cancel")
		return
	}
	if j.tasks[t.index] != t {
		return
	}
	if err := t.machine.Fire("Lapse"); err != nil {
		f.violation = err.Error()
		return
	}
	f.enqueue(t)
}
