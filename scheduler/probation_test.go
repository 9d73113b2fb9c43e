package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// putOnProbation lets several jobs fail on a worker in a row, and waits until
// it is no longer suspended.
func (h *harness) putOnProbation(number int) {
	w := h.core.sortedWorkers[number]
	for i := range failuresToSuspend {
		h.core.recordWorkerFailure(w, requester.JobID(fmt.Sprint("failed-", i)))
	}
	h.advance(firstSuspension)
}

func lastingStep(count int, milli int64) Step {
	s := stepOf(count, milli)
	s.LongRunning = true
	return s
}

// TestProbationBesideLastingTask guards against a worker on probation that gets
// no work again as long as a task that lasts runs on it.
func TestProbationBesideLastingTask(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("lasting", Policy{Stretch: 9}, lastingStep(1, 1000))
	is.Equal(len(h.settle()), 1)
	h.putOnProbation(0)
	for i := range 3 {
		h.add(fmt.Sprint("trial-", i), Policy{Stretch: 9}, stepOf(1, 1000))
	}
	starts := h.settle()
	is.Equal(len(starts), 1) // one at a time
	h.endRun(starts[0], EndDone)
	is.Equal(len(h.settle()), 2) // it has proved sound
}

// TestLastingTasksOnProbation guards against a worker on probation that gets no
// work again once its trial is a task that lasts, which is never done.
func TestLastingTasksOnProbation(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.putOnProbation(0)
	h.add("lasting", Policy{Stretch: 9}, lastingStep(3, 1000))
	is.Equal(len(h.settle()), 1)
	is.Equal(len(h.advance(soundAfter/2)), 0)
	started := 0
	for range 20 {
		started += len(h.advance(soundAfter / 10))
	}
	is.Equal(started, 2)
}

// TestFailedTrialSuspends checks that a worker on probation is suspended again
// when its trial fails, also beside a task that lasts.
func TestFailedTrialSuspends(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("lasting", Policy{Stretch: 9}, lastingStep(1, 1000))
	is.Equal(len(h.settle()), 1)
	h.advance(soundAfter)
	h.advance(time.Millisecond) // the task has proved the worker sound, before it fails others
	h.putOnProbation(0)
	h.add("trial", Policy{Stretch: 9}, stepOf(1, 1000))
	starts := h.settle()
	is.Equal(len(starts), 1)
	h.endRun(starts[0], EndFailed)
	is.Equal(len(h.settle()), 0)
	is.True(h.core.sortedWorkers[0].health.probation)
}
