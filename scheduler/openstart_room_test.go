package scheduler

import (
	"testing"
	"time"
)

// Where open starts keep room, and which starts wait for them.

// TestOpenStartOfACancelledJobKeepsItsRoom guards against starts in the room of an open start whose job was
// cancelled: the late one comes on top of them.
func TestOpenStartOfACancelledJobKeepsItsRoom(t *testing.T) {
	h := newHarness(1)
	start := h.unanswered(t)
	sentAt := h.now
	h.core.StartDone(h.now, start, OrderUnknown)
	h.core.Cancel(h.now, "j")
	h.add("k", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 8000))
	for h.now.Sub(sentAt) < 12*time.Second {
		if starts := h.advanceAnswered(100 * time.Millisecond); len(starts) > 0 {
			t.Fatalf("%v after a start that may be executed until 12s, another one takes its room on the worker", h.now.Sub(sentAt))
		}
	}
}

// TestRoomOfAClosedStartIsFound guards against room that an open start has kept and that nobody looks for when
// it is free.
func TestRoomOfAClosedStartIsFound(t *testing.T) {
	for _, gang := range []bool{false, true} {
		h := newHarness(1)
		start := h.unanswered(t)
		sentAt := h.now
		h.core.StartDone(h.now, start, OrderUnknown)
		step := stepOf(1, 8000)
		step.Gang = gang
		h.add("k", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, step)
		for h.now.Sub(sentAt) < 5*time.Second {
			if len(h.besidesRepeats(start, h.advanceAnswered(100*time.Millisecond))) > 0 {
				t.Fatal("started")
			}
		}
		if len(h.core.openTasks) != 1 {
			t.Fatal("not open")
		}
		h.core.Cancel(h.now, "j")
		cancelledAt := h.now
		for len(h.core.openTasks) > 0 {
			if len(h.advanceAnswered(100*time.Millisecond)) > 0 {
				break
			}
		}
		closedAt := h.now
		started := false
		for h.now.Sub(closedAt) < 60*time.Second && !started {
			started = len(h.core.workers[start.Worker.HostID].runs) > 0 || len(h.advanceAnswered(100*time.Millisecond)) > 0
		}
		t.Logf("gang %v: cancelled %v, closed %v, started %v after %v", gang, cancelledAt.Sub(sentAt), closedAt.Sub(sentAt), started, h.now.Sub(closedAt))
		if !started || h.now.Sub(closedAt) > time.Second {
			t.Errorf("gang %v: the room of the closed start isn't used", gang)
		}
	}
}

// TestDisplacesForAnOpenStart guards against best-effort runs that are stopped for a task which must not start
// yet.
func TestDisplacesForAnOpenStart(t *testing.T) {
	h := newHarness(2)
	h.advanceAnswered(20 * time.Second)
	serving := stepOf(1, 5000)
	serving.LongRunning, serving.TargetMillis, serving.Image = true, 100, "a"
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, serving)
	h.commit()
	h.now = h.now.Add(10 * time.Millisecond)
	orders := h.issue()
	if len(orders.Starts) != 1 {
		t.Fatal("no start")
	}
	h.answerPolls(orders, WorkerRef{})
	start := orders.Starts[0]
	sentAt := h.now
	fills := stepOf(1, 1000)
	fills.LongRunning, fills.Fills, fills.Image = true, true, "b"
	h.add("k", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, fills)
	var filling []StartOrder
	for h.now.Sub(sentAt) < 700*time.Millisecond {
		h.now = h.now.Add(50 * time.Millisecond)
		h.commit()
		orders := h.issue()
		for _, order := range orders.Starts {
			filling = append(filling, order)
			h.core.StartAccepted(h.now, order, h.clock(order.Worker))
		}
		h.answer(orders, filling)
	}
	if len(filling) != 1 || filling[0].Worker == start.Worker {
		t.Fatalf("best-effort starts: %v", filling)
	}
	h.core.StartDone(h.now, start, OrderUnknown)
	for h.now.Sub(sentAt) < 12*time.Second {
		h.now = h.now.Add(100 * time.Millisecond)
		h.commit()
		orders := h.issue()
		for _, stop := range orders.Stops {
			if stop.Task == filling[0].Task {
				t.Fatalf("%v after the start the best-effort run is stopped for the task, which must not start yet", h.now.Sub(sentAt))
			}
			h.core.StopDone(h.now, stop, OrderAccepted)
		}
		h.answer(orders, filling)
	}
}

// TestLeavesAtOfAFormerLife guards against the time at which a former life of a worker was to leave, taken for
// that of the next.
func TestLeavesAtOfAFormerLife(t *testing.T) {
	h := newHarness(1)
	info := h.core.sortedWorkers[0].info
	info.Leaving, info.LeavesAt = true, h.now.Add(2*time.Second)
	h.core.SetWorkers(h.now, []WorkerInfo{info})
	h.now = h.now.Add(5 * time.Second)
	info.BootedAt, info.LeavesAt = h.now, h.now.Add(time.Minute)
	h.core.SetWorkers(h.now, []WorkerInfo{info})
	h.tellBirth(info)
	if got := h.core.sortedWorkers[0].info.LeavesAt; got.Before(info.LeavesAt) {
		t.Errorf("the next life leaves at %v, 60 s from now; taken for %v", info.LeavesAt, got)
	}
}

// TestLastingTaskWaitsForItsOpenStart guards against a task that lasts and waits for an open start although its
// worker answers: it may be away for 9 s.
func TestLastingTaskWaitsForItsOpenStart(t *testing.T) {
	h := newHarness(2)
	h.advanceAnswered(20 * time.Second)
	step := stepOf(1, 8000)
	step.LongRunning = true
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, step)
	h.commit()
	h.now = h.now.Add(10 * time.Millisecond)
	orders := h.issue()
	h.answerPolls(orders, WorkerRef{})
	start := orders.Starts[0]
	sentAt := h.now
	h.now = h.now.Add(700 * time.Millisecond)
	h.core.StartDone(h.now, start, OrderUnknown)
	for h.now.Sub(sentAt) < 30*time.Second {
		if starts := h.advanceAnswered(100 * time.Millisecond); len(starts) > 0 {
			t.Logf("starts again %v after the first start", h.now.Sub(sentAt))
			if h.now.Sub(sentAt) > 9*time.Second {
				t.Errorf("too late for LOST")
			}
			return
		}
	}
}
