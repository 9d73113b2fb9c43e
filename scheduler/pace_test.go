package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// tick lets time pass, answers the polls of the workers that are not silent and the pace
// orders, and returns the pace orders.
func (h *harness) tick(result OrderResult, silent ...string) []PaceOrder {
	h.now = h.now.Add(100 * time.Millisecond)
	h.commit()
	orders := h.issue()
	for _, poll := range orders.Polls {
		if len(silent) > 0 && string(poll.Worker.HostID) == silent[0] {
			h.core.PollDone(h.now, poll, nil, OrderUnknown)
			continue
		}
		report := &Report{Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt}
		for _, start := range h.running {
			if start.Worker.HostID == poll.Worker.HostID {
				report.Running = append(report.Running, h.report(start))
			}
		}
		h.core.PollDone(h.now, poll, report, OrderAccepted)
	}
	for _, order := range orders.Starts {
		h.running = append(h.running, order)
		h.startedAt[order.Task] = h.now
		h.core.StartDone(h.now, order, OrderAccepted)
	}
	for _, order := range orders.Paces {
		h.core.PaceDone(h.now, order, result)
	}
	return orders.Paces
}

// hasStarted reports whether a task of the job runs.
func (h *harness) hasStarted(job string) bool {
	for _, start := range h.running {
		if string(start.Task.Job) == job {
			return true
		}
	}
	return false
}

// TestServingTaskBesideTasksThatMayNotMiss guards against a task with a target that never
// starts, since best-effort tasks run on each worker and their step may miss no more of
// them: it starts beside one, which is paused for as long.
func TestServingTaskBesideTasksThatMayNotMiss(t *testing.T) {
	is := is.New(t)
	h := newHarness(3)
	fills := stepOf(4, 8000) // there is room for three on the workers
	fills.Fills, fills.LongRunning, fills.AntiAffinity, fills.MayMiss = true, true, 1, 1
	h.add("fills", Policy{Stretch: 2}, fills)
	for _, start := range h.settle() {
		h.stalled[start.Task] = true
		h.stalledPercent[start.Task] = completePercent
	}
	for range 20 {
		is.Equal(len(h.tick(OrderAccepted)), 0)
	}
	h.add("serves", Policy{Stretch: 2}, serving(1))
	var paces []PaceOrder
	for range 20 {
		paces = append(paces, h.tick(OrderAccepted)...)
	}
	is.True(h.hasStarted("serves"))
	is.Equal(len(h.stopping()), 0)
	is.Equal(len(paces), 1) // of the run beside it, and only once
	is.Equal(paces[0].Percent, 0)
	is.Equal(string(paces[0].Task.Job), "fills")
	is.Equal(h.core.Stats().Violations, int64(0))

	h.core.Cancel(h.now, "serves")
	for _, start := range h.running {
		if string(start.Task.Job) == "serves" {
			h.endRun(start, EndStopped)
			break
		}
	}
	paces = nil
	for range 20 {
		paces = append(paces, h.tick(OrderAccepted)...)
	}
	is.Equal(len(paces), 1)
	is.Equal(paces[0].Percent, 100)
}

// TestPaceOrdersThatAreNotAccepted checks that a pace order is sent again, ever less often,
// and that it says nothing of its worker.
func TestPaceOrdersThatAreNotAccepted(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.fill(1, 0)
	w := h.core.sortedWorkers[0]
	for _, r := range w.runs {
		r.pace.percent = unknownPace // as after a takeover
	}
	sent := 0
	for range 600 {
		sent += len(h.tick(OrderUnknown))
	}
	is.True(sent > 5 && sent < 15) // in a minute
	is.Equal(w.unanswered, 0)
	for range 200 {
		sent = len(h.tick(OrderAccepted))
		if sent > 0 {
			break
		}
	}
	is.Equal(sent, 1)
	is.Equal(len(h.tick(OrderAccepted)), 0)
}

// TestSilentWorkersTaskIsAway guards against a task that is stopped for another one while
// the run of a lost worker still counts as at work, so that its step misses more than it
// may.
func TestSilentWorkersTaskIsAway(t *testing.T) {
	is := is.New(t)
	h := newHarness(3)
	h.fill(3, 1)
	for range 20 {
		h.tick(OrderAccepted, "w000")
	}
	h.add("serves", Policy{Stretch: 2}, serving(1))
	for range 20 {
		h.tick(OrderAccepted, "w000")
	}
	is.Equal(len(h.stopping()), 0)
	is.True(h.hasStarted("serves"))
}

// TestPaceOfATakenOverRun checks that a new owner, which can't know the pace of best-effort
// runs, sets it: a run that its predecessor has paused would stay so.
func TestPaceOfATakenOverRun(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.fill(1, 0)
	spec := h.core.jobs["fills"].spec
	h.core = New(Options{Epoch: 2}, h.now)
	is.NoErr(h.core.Recover(JobRows{Job: spec}))
	h.core.SetWorkers(h.now, []WorkerInfo{{HostID: "w000", Service: "service", Total: workerTotal, BootedAt: h.running[0].Worker.BootedAt, Address: h.address(0)}})
	var paces []PaceOrder
	for range 10 {
		paces = append(paces, h.tick(OrderAccepted)...)
	}
	is.Equal(len(paces), 1)
	is.Equal(paces[0].Percent, 100)
}
