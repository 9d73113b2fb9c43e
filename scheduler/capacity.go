package scheduler

import (
	"kumquatstall/requester"
)

// What is free on a worker now tells little of what a waiting step can have
// there, as most runs end. Those of tasks that last don't. So a step that weighs
// whether to wait counts a worker as if all had ended on it but the tasks that
// last.

// lastingNeed returns what a run occupies for good: nothing unless its task
// lasts.
func (r *run) lastingNeed() requester.Resources {
	if r.task == nil || !r.task.step.def.LongRunning {
		return requester.Resources{}
	}
	return r.need
}

// freeable returns the resources that are free on a worker once all has ended
// there but the tasks that last.
func (w *worker) freeable() requester.Resources { return w.info.Total.Sub(w.lasting) }

// slotsInTime returns how many tasks of the step fit into what becomes free on
// a worker.
func (s *step) slotsInTime(w *worker) int {
	return slotsIn(w.freeable(), s.def.allocation(), s.def.Count)
}

// placesInTime returns how many of the tasks may run on a worker besides those
// that do: as slotsInTime, within the limit for tasks that are kept apart.
func (s *step) placesInTime(w *worker) int {
	places := s.slotsInTime(w)
	if s.def.AntiAffinity > 0 {
		places = min(places, s.def.AntiAffinity-s.countRuns(w))
	}
	return max(places, 0)
}
