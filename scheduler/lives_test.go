package scheduler

import "time"

// formerLife is what an earlier incarnation of a worker knew when it crashed.
type formerLife struct {
	fence  Fence
	barred map[TaskName]RunNumber
}

// endLife keeps what the worker's incarnation knew.
func (f *fakeWorker) endLife() {
	if f.formerLives == nil {
		f.formerLives = make(map[time.Time]formerLife)
	}
	f.formerLives[f.bootedAt] = formerLife{fence: f.fence, barred: f.barredRuns}
}

// formerlyRejected reports whether a start was meant for an earlier incarnation,
// and that one, or one between, would reject it by now. An owner that relied on
// that cannot know that the present incarnation has forgotten it, and the
// protocol gives it no way to tell it in time, so the simulation drops such a
// start. Every other late start reaches the present incarnation.
func (f *fakeWorker) formerlyRejected(order StartOrder) bool {
	for bootedAt, former := range f.formerLives {
		if bootedAt.Before(order.Worker.BootedAt) {
			continue
		}
		if order.Fence < former.fence || order.Run <= former.barred[order.Task] {
			return true
		}
	}
	clock := WorkerTime(float64(f.sim.now.Sub(order.Worker.BootedAt).Milliseconds()) * f.clockRate)
	return order.Worker.BootedAt.Before(f.bootedAt) && order.Deadline <= clock
}
