package placer

import (
	"time"

	"kumquatstall/requester"
)

// onTaskReport applies a worker's report on one run.
func (f *Fleet) onTaskReport(now time.Time, w *worker, run TaskReport) {
	t, ok := w.tasks[run.Task]
	if !ok {
		t = f.adopt(now, w, run)
	}
	if t == nil {
		return
	}
	switch run.State {
	case RunRunning:
		f.onUsage(t, run.Use)
	case RunSucceeded:
		f.onSucceeded(now, t)
	case RunFailed:
		f.onFailed(now, t)
	case RunStopped, RunExpired:
		t.progress = max(t.progress, time.Duration(run.ProgressMicros)*time.Microsecond)
		f.acknowledgeOnCommit(t)
		f.requeue(now, t)
	}
}

// adopt binds a run that is bound to no task, such as one that an earlier holder
// started, to its task if the task is waiting and the run is active or has
// succeeded. Any other run is an orphan: adopt stops or acknowledges it and
// returns nil.
func (f *Fleet) adopt(now time.Time, w *worker, run TaskReport) *task {
	j, ok := f.jobs[run.Job]
	var t *task
	if ok && run.Task.Index < len(j.tasks) {
		t = j.tasks[run.Task.Index]
	}
	adoptable := t != nil && t.machine.In("Waiting") && (run.State == RunRunning || run.State == RunSucceeded)
	if !adoptable {
		f.handleOrphan(w, run)
		return nil
	}
	j.waiting = without(j.waiting, t)
	_ = t.machine.Fire("Adopt")
	t.id = run.Task
	t.run = max(t.run, run.Task.Run)
	f.bind(t, w, run.Need, now)
	if j.state == requester.JobPending {
		j.state = requester.JobRunning
	}
	return t
}

// handleOrphan stops an orphaned run or, if it has ended, acknowledges it. The
// resources of the run are allocated until it has stopped. A worker may report a
// result again before its job's row has committed, so the acknowledgement waits
// for that. A run of an unknown job is an orphan because every job of which an
// earlier holder can have started runs was in the table when this holder read it.
// Ended runs of an excluded job are kept for a holder that can decode its row.
func (f *Fleet) handleOrphan(w *worker, run TaskReport) {
	_, counted := w.orphans[run.Task]
	if run.State == RunRunning {
		if !counted {
			w.orphans[run.Task] = run.Need
			f.allocate(w, run.Need)
		}
		w.stops = append(w.stops, run.Task)
		return
	}
	if counted {
		f.dropOrphan(w, run.Task)
	}
	if f.excluded[run.Job] {
		return
	}
	if j, ok := f.jobs[run.Job]; ok && j.committedVersion < j.version {
		j.pendingAcks = append(j.pendingAcks, pendingAck{worker: w, task: run.Task, version: j.version})
		return
	}
	w.acks = append(w.acks, run.Task)
}

// dropOrphan releases the resources of an orphaned run.
func (f *Fleet) dropOrphan(w *worker, id TaskID) {
	f.release(w, w.orphans[id])
	delete(w.orphans, id)
}

// without returns tasks without t.
func without(tasks []*task, t *task) []*task {
	for i, other := range tasks {
		if other == t {
			return append(tasks[:i:i], tasks[i+1:]...)
		}
	}
	return tasks
}

func (f *Fleet) onSucceeded(now time.Time, t *task) {
	f.acknowledgeOnCommit(t)
	t.worker.breaker.RecordSuccess()
	j := t.job
	f.unbind(t)
	if j.state.Ended() {
		_ = t.machine.Fire("Cancel")
		return
	}
	if err := t.machine.Fire("Finish"); err != nil {
		f.violation = err.Error()
		return
	}
	j.succeeded++
	if j.succeeded == len(j.tasks) {
		j.state = requester.JobSucceeded
		j.endedAt = now
	}
	f.markDirty(j)
}

func (f *Fleet) onFailed(now time.Time, t *task) {
	f.acknowledgeOnCommit(t)
	t.worker.breaker.RecordFailure(now, f.limits.Breaker)
	t.failedOn = append(t.failedOn, t.worker.info.HostID)
	t.failures++
	j := t.job
	if t.failures < f.limits.TaskAttempts || j.state.Ended() || j.spec.Shape == requester.ShapeService {
		f.requeue(now, t)
		return
	}
	f.unbind(t)
	_ = t.machine.Fire("Fail")
	j.failed++
	f.end(j, requester.JobFailed, requester.ReasonRepeatedFailure, now)
}

// requeue puts a task whose run has ended back in the queue, unless its job has
// ended or another replica has replaced it.
func (f *Fleet) requeue(now time.Time, t *task) {
	j := t.job
	f.unbind(t)
	switch {
	case j.state.Ended():
		if t.machine.Can("Cancel") {
			_ = t.machine.Fire("Cancel")
		}
	case j.tasks[t.index] != t:
		// Another replica has replaced this one.
	default:
		if err := t.machine.Fire("Retry"); err != nil {
			f.violation = err.Error()
			return
		}
		f.enqueue(t)
		f.markDirty(j)
	}
}

// acknowledgeOnCommit acknowledges a run to its worker once the job's row with
// the run's result has committed. The worker discards the result then.
func (f *Fleet) acknowledgeOnCommit(t *task) {
	f.markDirty(t.job)
	t.job.pendingAcks = append(t.job.pendingAcks, pendingAck{worker: t.worker, task: t.id, version: t.job.version})
}
