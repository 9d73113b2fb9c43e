package scheduler

import "slices"

// checkForgotten checks, at the moment at which a worker forgets an end, that
// the stored rows say that the task is done or that its job has ended: nobody
// else can tell a later owner. It doesn't use the core's own account.
func (sim *simulation) checkForgotten(f *fakeWorker, ended EndedRun) {
	if ended.Kind != EndDone {
		return
	}
	if !sim.storedDone(ended.Task) {
		sim.problem("%s forgets end %d, %v done, and the store does not say so", f.info.HostID, ended.Number, ended.Task)
	}
	if sim.startedAt[ended.Task].After(f.endedAt[ended.Number]) && ended.Number > f.lapsedEnd {
		sim.problem("%v was started again after it was done as end %d of %s", ended.Task, ended.Number, f.info.HostID)
	}
	step := sim.accepted[ended.Task.Job].Steps[ended.Task.Step]
	for index := range step.Count {
		if name := (TaskName{StepName: ended.Task.StepName, Index: index}); step.Gang || name == ended.Task {
			sim.acknowledged[name] = true
		}
	}
}

// storedDone reports whether the stored rows say that a task is done, or that
// its job has ended.
func (sim *simulation) storedDone(name TaskName) bool {
	var state StateRow
	if value, ok := sim.rows[StateKey(name.Job)]; ok && DecodeRow(value, &state) == nil && state.State.Ended() {
		return true
	}
	value, ok := sim.rows[ProgressKey(name.Job)]
	var row progressRow
	if !ok || DecodeRow(value, &row) != nil || name.Occurrence >= row.NextOccurrence {
		return false
	}
	for _, o := range row.Occurrences {
		if o.Number == name.Occurrence {
			step := o.Steps[name.Step]
			return step.AllDone || len(step.Done) > name.Index/8 && step.Done[name.Index/8]>>(name.Index%8)&1 == 1
		}
	}
	return true
}

// forget makes the worker forget the ends that a poll acknowledges.
func (f *fakeWorker) forget(through int64) {
	for _, ended := range f.ended {
		if ended.Number <= through {
			f.sim.checkForgotten(f, ended)
		}
	}
	f.ended = slices.DeleteFunc(f.ended, func(e EndedRun) bool { return e.Number <= through })
}

// checkStartsStored checks that the stored rows say of whatever runs that its
// step may have been started, unless the owner's row says that it is eager: a
// later owner doesn't wait for workers that it can't reach if neither does.
func (sim *simulation) checkStartsStored() {
	if sim.ownerEager {
		return
	}
	for _, f := range sim.workers {
		for key := range f.runs {
			if !f.crashed && !sim.storedDone(key.name) && !sim.storedStarted(key.name) {
				sim.problem("%v runs on %s, and the store does not say that its step has been started", key.name, f.info.HostID)
			}
		}
	}
}

// storedStarted reports whether the stored progress of a job says that tasks of
// a step may have been started.
func (sim *simulation) storedStarted(name TaskName) bool {
	var row progressRow
	if value, ok := sim.rows[ProgressKey(name.Job)]; !ok || DecodeRow(value, &row) != nil {
		return false
	}
	i := slices.IndexFunc(row.Occurrences, func(o occurrenceProgress) bool { return o.Number == name.Occurrence })
	return i >= 0 && row.Occurrences[i].Steps[name.Step].Started
}
