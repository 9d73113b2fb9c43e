package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEndForgottenByTheNextLife guards against polls of a worker that doesn't
// answer, because it has started again, which make its next incarnation forget
// ends that nobody has read.
func TestEndForgottenByTheNextLife(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("a", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 8000))
	first := h.settle()
	is.Equal(len(first), 1)
	h.endRun(first[0], EndDone)
	h.advance(time.Second) // a poll has acknowledged end 1
	h.add("b", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 8000))
	h.commit()
	h.now = h.now.Add(time.Second)
	orders := h.core.Tick(h.now)
	is.Equal(len(orders.Starts), 1)
	start := orders.Starts[0]
	h.core.StartDone(h.now, start, OrderUnknown)
	h.core.PollDone(h.now, pollOf(t, orders), nil, OrderUnknown)

	// The next incarnation has executed the start late, and the task is done.
	bootedAt := h.now
	info := h.core.sortedWorkers[0].info
	info.BootedAt = bootedAt
	ended := []EndedRun{{Number: 1, Task: start.Task, Run: start.Run, Kind: EndDone}}
	for range 10 {
		h.now = h.now.Add(pollRetryInterval)
		h.commit()
		orders := h.core.Tick(h.now)
		is.Equal(len(orders.Starts), 0) // the task is done
		for _, poll := range orders.Polls {
			if len(ended) > 0 && poll.AcknowledgedEnd >= ended[0].Number {
				ended = nil
			}
			report := &Report{Clock: WorkerTime(h.now.Sub(bootedAt).Milliseconds()), BootedAt: bootedAt, Ended: ended}
			h.core.PollDone(h.now, poll, report, OrderAccepted)
		}
		h.core.SetWorkers(h.now, []WorkerInfo{info})
	}
	is.Equal(h.core.Stats().JobsCompleted, int64(2))
}

// TestStartRejectedByTheNextLife guards against an owner that takes the rejection
// of a start to an earlier incarnation of a worker for the sign of another owner.
func TestStartRejectedByTheNextLife(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 8000))
	h.commit()
	h.now = h.now.Add(time.Second)
	orders := h.core.Tick(h.now)
	is.Equal(len(orders.Starts), 1)
	h.core.Cancel(h.now, "j") // so that the run is to be stopped
	h.reborn()
	h.core.StartDone(h.now, orders.Starts[0], OrderFenced)
	is.True(!h.core.Fenced())
	is.Equal(len(h.core.sortedWorkers[0].runs), 1) // what the next incarnation has executed is not known yet
}

// TestOpenStartActsInTheNextLife guards against a task that starts again although the
// next incarnation of a worker can still execute an earlier start of it.
func TestOpenStartActsInTheNextLife(t *testing.T) {
	for _, gang := range []bool{false, true} {
		for _, stopped := range []bool{false, true} {
			is := is.New(t)
			h := newHarness(2)
			step := stepOf(1, 8000)
			step.Gang = gang
			h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, step)
			h.commit()
			h.now = h.now.Add(time.Second)
			orders := h.core.Tick(h.now)
			is.Equal(len(orders.Starts), 1)
			start := orders.Starts[0]
			for _, poll := range orders.Polls {
				h.core.PollDone(h.now, poll, &Report{Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt}, OrderAccepted)
			}
			sentAt := h.now
			if stopped {
				h.core.stop(h.core.workers[start.Worker.HostID].runs[runKey{start.Task, start.Run}], "test")
			}
			h.now = h.now.Add(700 * time.Millisecond)
			h.core.StartDone(h.now, start, OrderUnknown)
			// The worker answers, has seen a higher fence and accepts every stop. It may
			// crash at any moment, and its next life knows nothing of that.
			for h.now.Sub(sentAt) < 12*time.Second {
				is.Equal(len(h.advanceAnswered(100*time.Millisecond)), 0)
			}
			started := 0
			for range 30 {
				started += len(h.advanceAnswered(100 * time.Millisecond))
			}
			is.Equal(started, 1) // nothing of the start can act any more
		}
	}
}

// clock returns the clock of a worker's incarnation.
func (h *harness) clock(w WorkerRef) WorkerTime {
	return WorkerTime(h.now.Sub(w.BootedAt).Milliseconds())
}

// advanceAnswered lets time pass; every worker answers, and accepts all orders. It
// returns the starts.
func (h *harness) advanceAnswered(wait time.Duration) []StartOrder {
	h.now = h.now.Add(wait)
	h.commit()
	orders := h.core.Tick(h.now)
	for _, stop := range orders.Stops {
		h.core.StopDone(h.now, stop, OrderAccepted)
	}
	for _, poll := range orders.Polls {
		h.core.PollDone(h.now, poll, &Report{Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt}, OrderAccepted)
	}
	return orders.Starts
}
