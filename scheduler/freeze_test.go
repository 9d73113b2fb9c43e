package scheduler

import (
	"testing"
	"time"
)

// showNextLife lists the next life of a worker, born so long ago.
func (h *harness) showNextLife(worker WorkerRef, age time.Duration) {
	var infos []WorkerInfo
	for _, w := range h.core.sortedWorkers {
		info := w.info
		if info.HostID == worker.HostID {
			info.BootedAt = h.now.Add(-age)
		}
		infos = append(infos, info)
	}
	h.core.SetWorkers(h.now, infos)
}

// TestStartInFlightWhileItsOwnerStoodStill guards against a task that starts again while its
// first start is still under way: the owner stood still when it was about to send it, and
// gives it up only now.
func TestStartInFlightWhileItsOwnerStoodStill(t *testing.T) {
	for _, stood := range []time.Duration{5 * time.Second, 13 * time.Second} {
		h := newHarness(2)
		start := h.unanswered(t)
		h.now = h.now.Add(stood)
		h.showNextLife(start.Worker, time.Second)
		for range 5 {
			if len(h.advanceAnswered(100*time.Millisecond)) > 0 {
				t.Fatalf("stood still for %v: started again while the first start is under way", stood)
			}
		}
		h.core.StartDone(h.now, start, OrderUnknown)
		givenUpAt := h.now
		for h.now.Sub(givenUpAt) < longestDelay {
			if len(h.advanceAnswered(100*time.Millisecond)) > 0 {
				t.Fatalf("stood still for %v: started again %v after the first start was given up", stood, h.now.Sub(givenUpAt))
			}
		}
	}
}

// TestPollInFlightWhileItsOwnerStoodStill guards against a task that starts again under the
// lease that a late poll grants its open start: the owner stood still when it was about to
// send the poll, and knows another life of the worker when it gives it up.
func TestPollInFlightWhileItsOwnerStoodStill(t *testing.T) {
	h := newHarness(2)
	h.advanceAnswered(20 * time.Second)
	h.add("j", Policy{MaxAttempts: 3, Stretch: 9}, stepOf(1, 8000))
	h.commit()
	h.now = h.now.Add(PollWait)
	orders := h.issue()
	start := orders.Starts[0]
	var poll PollOrder
	for _, other := range orders.Polls {
		if other.Worker.HostID == start.Worker.HostID && other.Deadline > 0 {
			poll = other
		} else {
			h.core.PollDone(h.now, other, &Report{Clock: h.clock(other.Worker), BootedAt: other.Worker.BootedAt}, OrderAccepted)
		}
	}
	if poll.Deadline == 0 {
		t.Fatal("no poll that grants a lease")
	}
	h.now = h.now.Add(5 * time.Second)
	h.showNextLife(start.Worker, time.Second)
	silent := WorkerRef{HostID: start.Worker.HostID}
	h.now = h.now.Add(OrderTimeout)
	h.core.StartDone(h.now, start, OrderUnknown)
	h.now = h.now.Add(PollWait)
	h.core.PollDone(h.now, poll, nil, OrderUnknown)
	ended := h.now.Add(longestDelay + h.core.options.MaxLease*100/98 + longestKill)
	for h.now.Before(ended) {
		if len(h.advanceSilent(silent, 50*time.Millisecond)) > 0 {
			t.Fatalf("started again %v before the lease of a late poll can have expired", ended.Sub(h.now))
		}
	}
}
