package placer

import (
	"kumquatstall/requester"
)

// What operators and callers are shown of workers and jobs.

// WorkerView is the state of a worker as shown to operators.
type WorkerView struct {
	HostID    requester.HostID
	Rack      string
	Total     requester.Resources
	Allocated requester.Resources
	Tasks     int
	Breaker   string
	Leaving   bool
	Reported  bool
}

// Workers returns the state of every worker.
func (f *Fleet) Workers() []WorkerView {
	views := make([]WorkerView, 0, len(f.workerList))
	for _, w := range f.workerList {
		views = append(views, WorkerView{
			HostID:    w.info.HostID,
			Rack:      w.info.Rack,
			Total:     w.info.Total,
			Allocated: w.allocated,
			Tasks:     len(w.tasks),
			Breaker:   string(w.breaker.State()),
			Leaving:   w.info.Leaving,
			Reported:  w.reported,
		})
	}
	return views
}

// Packing returns the share of the resources of all workers that is allocated,
// in the dominant dimension. Leaving workers are not counted.
func (f *Fleet) Packing() float64 {
	var allocated requester.Resources
	for _, w := range f.workerList {
		if !w.info.Leaving {
			allocated = allocated.Add(w.allocated)
		}
	}
	return allocated.DominantShare(f.total)
}

// Status returns the status of a job and whether the job is known.
func (f *Fleet) Status(id requester.JobID) (requester.JobStatus, bool) {
	j, ok := f.jobs[id]
	if !ok {
		return requester.JobStatus{}, false
	}
	return j.status(), true
}

// Statuses returns the status of every job, in no particular order.
func (f *Fleet) Statuses() []requester.JobStatus {
	statuses := make([]requester.JobStatus, 0, len(f.jobs))
	for _, j := range f.jobs {
		statuses = append(statuses, j.status())
	}
	return statuses
}

func (j *job) status() requester.JobStatus {
	return requester.JobStatus{
		Job:       j.spec,
		State:     j.state,
		Reason:    j.reason,
		Waiting:   len(j.waiting),
		Running:   j.running,
		Succeeded: j.succeeded,
		Failed:    j.failed,
	}
}
