package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// stopping returns the runs that the core is stopping, by task.
func (h *harness) stopping() map[TaskName]*run {
	found := make(map[TaskName]*run)
	for _, w := range h.core.sortedWorkers {
		for _, r := range w.sortedRuns() {
			if r.phase == runStopping {
				found[r.name] = r
			}
		}
	}
	return found
}

// fill starts a best-effort task on each worker.
func (h *harness) fill(workers int, mayMiss int) []StartOrder {
	fills := stepOf(workers, 8000)
	fills.Fills, fills.LongRunning, fills.AntiAffinity, fills.MayMiss = true, true, 1, mayMiss
	h.add("fills", Policy{Stretch: 2}, fills)
	starts := h.settle()
	for _, start := range starts {
		h.stalled[start.Task] = true
		h.stalledPercent[start.Task] = completePercent
	}
	for range 40 {
		h.advance(50 * time.Millisecond)
	}
	return starts
}

func serving(count int) Step {
	s := stepOf(count, 4000)
	s.LongRunning, s.TargetMillis = true, 100
	return s
}

// TestServingTaskWaitsForBestEffort guards against tasks that serve and never
// start, because best-effort tasks run on every worker that has room.
func TestServingTaskWaitsForBestEffort(t *testing.T) {
	is := is.New(t)
	h := newHarness(3)
	fills := h.fill(3, 0)
	is.Equal(len(fills), 3)
	h.add("serves", Policy{Stretch: 2}, serving(1))
	h.settle()
	stopped := h.stopping()
	is.Equal(len(stopped), 1) // no more than one task needs
	for range 10 {
		h.advance(50 * time.Millisecond)
	}
	is.Equal(len(h.stopping()), 1)
	for _, start := range fills {
		if stopped[start.Task] != nil {
			h.endRun(start, EndStopped)
		}
	}
	starts := h.settle()
	is.Equal(len(starts), 1) // the best-effort task doesn't come back to the worker
	is.Equal(string(starts[0].Task.Job), "serves")
	is.Equal(h.core.Stats().Displaced, int64(1))
	is.Equal(h.core.Stats().Violations, int64(0))
}

// TestServingTaskUsesRoomFirst checks that no best-effort task is stopped while
// another worker has room.
func TestServingTaskUsesRoomFirst(t *testing.T) {
	is := is.New(t)
	h := newHarness(3)
	h.fill(2, 0)
	h.add("serves", Policy{Stretch: 2}, serving(1))
	is.Equal(len(h.settle()), 1)
	is.Equal(len(h.stopping()), 0)
}

// TestDisplacedTasksMayMiss checks that no more tasks of a best-effort step are
// stopped for others than the step may miss at the same time.
func TestDisplacedTasksMayMiss(t *testing.T) {
	is := is.New(t)
	h := newHarness(3)
	h.fill(3, 1)
	h.add("serves", Policy{Stretch: 2}, serving(6))
	h.settle()
	for range 20 {
		h.advance(50 * time.Millisecond)
	}
	is.Equal(len(h.stopping()), 1)
}

// TestDisplaceForHeldTasks guards against an owner that crashes: all waiting tasks of a step
// with a target are held back beside workers with room, so that none needs a worker cleared.
func TestDisplaceForHeldTasks(t *testing.T) {
	is := is.New(t)
	h := newHarness(3)
	h.add("serves", Policy{Stretch: 9}, serving(4))
	s := h.core.jobs["serves"].occurrences[0].steps[0]
	for index := range s.def.Count {
		s.task(index).crashes = &crashHistory{heldUntil: h.now.Add(time.Second)}
	}
	h.settle()
	is.Equal(s.wait.reason, WaitPause)
}
