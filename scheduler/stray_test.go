package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStrayOfAJobThatIsAdded guards against the start of a task while an
// orphaned run of it, reported before the owner was told of the job, is still
// being stopped.
func TestStrayOfAJobThatIsAdded(t *testing.T) {
	for _, step := range []Step{stepOf(1, 1000), gangOf(1, 1000)} {
		is := is.New(t)
		h := newHarness(2)
		task := TaskName{StepName: StepName{Job: "j"}}
		w := h.core.sortedWorkers[0]
		stray := StartOrder{Worker: w.ref(), Task: task, Run: 1, Fence: h.core.fence(w)}
		h.running = append(h.running, stray)
		h.advance(time.Second)
		is.Equal(h.core.Stats().StraysStopped, int64(1))
		h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 2}, step)
		is.Equal(len(h.settle()), 0)
		is.Equal(len(h.settle()), 0)
		h.endRun(stray, EndStopped)
		starts := append(h.settle(), h.advance(gangRescanInterval)...)
		is.Equal(len(starts), 1)
		is.Equal(h.core.Stats().Violations, int64(0))
	}
}

// TestStrayBesideAnAdoptedRun guards against the start of a task whose run has
// been lost while another run of it, orphaned, is still being stopped.
func TestStrayBesideAnAdoptedRun(t *testing.T) {
	is := is.New(t)
	h := newHarness(3)
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 2}, stepOf(1, 1000))
	starts := h.settle()
	is.Equal(len(starts), 1)
	other := h.core.sortedWorkers[2]
	h.running = append(h.running, StartOrder{Worker: other.ref(), Task: starts[0].Task, Run: starts[0].Run + 1, Fence: h.core.fence(other)})
	h.advance(time.Second)
	is.Equal(h.core.Stats().StraysStopped, int64(1))
	h.core.release(h.core.findTask(starts[0].Task).run) // its worker is lost
	h.running = h.running[1:]
	is.Equal(len(h.settle()), 0)
}
