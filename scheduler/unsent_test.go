package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// unsentHarness is a harness whose one job has been ordered to start.
func unsentHarness(t *testing.T, workers int, step Step) (*harness, []StartOrder) {
	t.Helper()
	h := newHarness(workers)
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, step)
	h.commit()
	h.now = h.now.Add(time.Second)
	orders := h.issue()
	is.New(t).Equal(len(orders.Starts), step.Count)
	return h, orders.Starts
}

// TestUnsentStartFreesItsTask guards against a task whose start was never sent, as nothing
// listens at its worker's address, and that waits until the worker's lease has expired.
func TestUnsentStartFreesItsTask(t *testing.T) {
	is := is.New(t)
	h, starts := unsentHarness(t, 2, stepOf(1, 8000))
	lost := h.core.workers[starts[0].Worker.HostID]
	fence := h.core.fence(lost)
	h.core.StartDone(h.now, starts[0], OrderUnsent)
	is.Equal(len(lost.runs), 0)
	is.Equal(h.core.fence(lost), fence) // nothing is left that a higher fence would have to stop
	is.True(!lost.eligible(h.now))      // the worker is unresponsive
	is.Equal(lost.unanswered, 1)
	is.Equal(lost.silentAt, h.now)
	is.Equal(lost.nextPollAt, h.now)
	again := h.issue().Starts
	is.Equal(len(again), 1) // at once on the other worker
	is.True(again[0].Worker.HostID != starts[0].Worker.HostID)
	is.True(again[0].Run > starts[0].Run)
}

// TestUnsentStartStopsItsGang guards against a gang that goes on without the member whose
// start was never sent.
func TestUnsentStartStopsItsGang(t *testing.T) {
	is := is.New(t)
	h, starts := unsentHarness(t, 3, gangOf(2, 8000))
	h.core.StartDone(h.now, starts[1], OrderAccepted)
	h.core.StartDone(h.now, starts[0], OrderUnsent)
	orders := h.issue()
	is.Equal(len(orders.Stops), 1)
	is.Equal(orders.Stops[0].Task, starts[1].Task)
	is.Equal(len(orders.Starts), 0)
}

// TestUnsentStartIsNoCauseOfACrash guards against a task that comes under suspicion, or
// whose start explains that its worker fell silent, although the worker never got the
// start.
func TestUnsentStartIsNoCauseOfACrash(t *testing.T) {
	is := is.New(t)
	h, starts := unsentHarness(t, 1, stepOf(1, 8000))
	w := h.core.workers[starts[0].Worker.HostID]
	h.core.StartDone(h.now, starts[0], OrderUnsent)
	is.Equal(w.unanswered, 1)
	is.Equal(w.silence, silenceUnexplained)
	h.reborn()
	is.Equal(h.core.Stats().Crashes, int64(0))
	is.True(h.core.jobs["j"].occurrences[0].steps[0].tasks()[0].crashes.empty())
}

// TestUnsentStartOfAFormerLife guards against a start that keeps its task waiting, as the
// worker's next incarnation might execute it, although it was never sent; and against a
// next incarnation that counts as unresponsive for it.
func TestUnsentStartOfAFormerLife(t *testing.T) {
	is := is.New(t)
	h, starts := unsentHarness(t, 1, stepOf(1, 8000))
	w := h.core.workers[starts[0].Worker.HostID]
	h.reborn()
	is.Equal(len(w.runs), 1) // it may have been sent
	h.core.StartDone(h.now, starts[0], OrderUnsent)
	is.Equal(len(w.runs), 0)
	is.Equal(w.unanswered, 0)
}

// TestUnsentStartOfAReportedRun guards against a task that starts again beside a run that
// its worker has reported, whatever the result of the start says.
func TestUnsentStartOfAReportedRun(t *testing.T) {
	is := is.New(t)
	h, starts := unsentHarness(t, 2, stepOf(1, 8000))
	w := h.core.workers[starts[0].Worker.HostID]
	report := &Report{Clock: 2000, BootedAt: w.bootedAt, Running: []RunningTask{{Task: starts[0].Task, Run: starts[0].Run}}}
	h.core.PollDone(h.now, PollOrder{Worker: w.ref(), Fence: h.core.fence(w), SentAt: h.now}, report, OrderAccepted)
	h.core.StartDone(h.now, starts[0], OrderUnsent)
	is.Equal(len(w.runs), 1)
}

// TestUnsentPollAndStop guards against a worker that counts as responsive, or gets further
// orders with the old fence, as polls and stops of it were not sent instead of not
// answered.
func TestUnsentPollAndStop(t *testing.T) {
	is := is.New(t)
	var found [2]struct {
		unanswered int
		fences     [2]Fence
		nextPoll   time.Duration
		silent     bool
	}
	for i, result := range []OrderResult{OrderUnknown, OrderUnsent} {
		h, starts := unsentHarness(t, 1, stepOf(1, 8000))
		w := h.core.workers[starts[0].Worker.HostID]
		h.core.StartDone(h.now, starts[0], OrderAccepted)
		h.core.Cancel(h.now, "j")
		h.now = h.now.Add(pollRetryInterval)
		h.commit()
		orders := h.issue()
		is.Equal(len(orders.Stops), 1)
		h.core.StopDone(h.now, orders.Stops[0], result)
		found[i].fences[0] = h.core.fence(w)
		h.core.PollDone(h.now, PollOrder{Worker: w.ref(), Fence: h.core.fence(w), SentAt: h.now}, nil, result)
		found[i].unanswered, found[i].fences[1] = w.unanswered, h.core.fence(w)
		found[i].nextPoll, found[i].silent = w.nextPollAt.Sub(h.now), w.silentAt.Equal(h.now)
		is.Equal(len(w.runs), 1) // what runs there is not known to have ended
	}
	is.Equal(found[0], found[1])
	is.Equal(found[1].unanswered, 1)
}
