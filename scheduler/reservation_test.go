package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// gangOf returns a gang of count tasks, each of which needs milli millicores.
func gangOf(count int, milli int64) Step {
	s := stepOf(count, milli)
	s.Gang = true
	return s
}

// endAfter ends the runs that have run for at least the given time.
func (h *harness) endAfter(ran time.Duration) {
	var ending []StartOrder
	for _, start := range h.running {
		if h.now.Sub(h.startedAt[start.Task]) >= ran {
			ending = append(ending, start)
		}
	}
	for _, start := range ending {
		h.endRun(start, EndDone)
	}
}

// TestGangAmongSmallTasks keeps a cell full of small tasks, each placed by best
// fit. A gang that needs three quarters of some workers would starve without
// reservations; it must start in time.
func TestGangAmongSmallTasks(t *testing.T) {
	is := is.New(t)
	h := newHarness(10)
	var gangAt time.Duration
	const tick = 50 * time.Millisecond
	for now := time.Duration(0); now < 8*time.Second && gangAt == 0; now += tick {
		// Two tasks of two cores every 50 ms, for one second each, use all 80
		// cores.
		h.add(fmt.Sprintf("small-%d", now.Milliseconds()), Policy{Priority: 2, Stretch: 9}, stepOf(2, 2000))
		if now == 2*time.Second {
			h.add("gang", Policy{Priority: 1, Stretch: 5}, gangOf(2, 6000))
		}
		for _, start := range h.advance(tick) {
			if start.Task.Job == "gang" {
				gangAt = now
			}
		}
		h.endAfter(time.Second)
	}
	is.True(gangAt > 0)
	// The gang was submitted after 2 s, has an objective of 5 s and runs for 1 s.
	is.True(gangAt < 6*time.Second)
}

// reservedHarness returns workers that are busy for two seconds, and a gang for
// which one of them is reserved.
func reservedHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(5)
	busy := stepOf(1, 6000)
	busy.EstimateMillis = 2000
	for i := range 5 {
		h.add(fmt.Sprintf("busy-%d", i), Policy{}, busy)
	}
	h.settle()
	h.add("gang", Policy{Priority: 1, Stretch: 9}, gangOf(1, 7000))
	h.settle()
	h.advance(reservationInterval)
	if len(h.core.reservations) != 1 {
		t.Fatalf("%d reservations, want 1", len(h.core.reservations))
	}
	return h
}

// TestHeldWorker checks backfilling: on a reserved worker, a step that ranks
// after the gang starts only tasks that end before the gang starts, or that fit
// beside it.
func TestHeldWorker(t *testing.T) {
	tests := []struct {
		name     string
		step     Step
		priority int
		want     bool
	}{
		{"ends before the gang", Step{Count: 1, Need: requester.Resources{MilliCores: 2000}, EstimateMillis: 500}, 2, true},
		{"fits beside the gang", Step{Count: 1, Need: requester.Resources{MilliCores: 1000}, EstimateMillis: 9000}, 2, true},
		{"needs capacity of the gang", Step{Count: 1, Need: requester.Resources{MilliCores: 2000}, EstimateMillis: 9000}, 2, false},
		{"is long-running", Step{Count: 1, Need: requester.Resources{MilliCores: 2000}, EstimateMillis: 100, LongRunning: true}, 2, false},
		{"is more urgent", Step{Count: 1, Need: requester.Resources{MilliCores: 2000}, EstimateMillis: 9000}, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := reservedHarness(t)
			reserved := h.core.reservations[0].workers[0].worker
			// No other worker is eligible.
			for _, w := range h.core.sortedWorkers {
				if w != reserved {
					w.suspendedUntil = h.now.Add(time.Minute)
				}
			}
			h.add("job", Policy{Priority: test.priority, Stretch: 9}, test.step)
			h.settle()
			is.Equal(h.core.jobs["job"].activeRuns == 1, test.want)
		})
	}
}

// TestHoldIsGivenUp checks that workers are released when no capacity for the
// gang is expected in time, and when the gang is cancelled.
func TestHoldIsGivenUp(t *testing.T) {
	tests := []struct {
		name string
		do   func(*harness)
		want int
	}{
		{"nothing happens", func(*harness) {}, 1},
		{"the gang is cancelled", func(h *harness) { h.core.Cancel(h.now, "gang") }, 0},
		{"no worker is eligible", func(h *harness) {
			for _, w := range h.core.sortedWorkers {
				w.suspendedUntil = h.now.Add(time.Minute)
			}
		}, 0},
		{"capacity is expected too late", func(h *harness) {
			for _, start := range h.running {
				h.core.workers[start.Worker.HostID].runs[runKey{start.Task, start.Run}].expectedEnd = h.now.Add(reservationWindow + time.Second)
			}
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := reservedHarness(t)
			test.do(h)
			h.core.placementPending = true
			h.advance(reservationInterval)
			is.Equal(len(h.core.reservations), test.want)
			reservedWorkers := 0
			for _, w := range h.core.sortedWorkers {
				if w.reservation != nil {
					reservedWorkers++
				}
			}
			is.Equal(reservedWorkers, test.want)
		})
	}
}

// TestTicketsOfAHold checks that a gang's tickets are renewed in time to be
// valid when its capacity is ready, and no sooner.
func TestTicketsOfAHold(t *testing.T) {
	is := is.New(t)
	h := newHarness(5)
	busy := stepOf(1, 6000)
	busy.EstimateMillis = 2000
	for i := range 5 {
		h.add(fmt.Sprintf("busy-%d", i), Policy{}, busy)
	}
	h.settle()
	addedAt := h.now
	advice := &Advice{DecideMillis: 200, WorkerMillis: 10, ValidMillis: 1000}
	h.add("gang", Policy{Priority: 1, Stretch: 9, Advice: advice}, gangOf(1, 7000))
	h.advance(10 * time.Millisecond)
	requests := 0
	var renewedAt time.Duration
	for renewedAt == 0 && h.now.Sub(addedAt) < 5*time.Second {
		for _, order := range h.core.RequestAdvice(h.now, AdviceCapacity{Any: 5}) {
			requests++
			if requests > 1 {
				renewedAt = h.now.Sub(addedAt)
			}
			var tickets []Ticket
			for _, id := range order.Workers {
				tickets = append(tickets, Ticket{Worker: id, Text: "t"})
			}
			h.core.AdviceDone(h.now, order, tickets, false)
		}
		h.core.placementPending = true
		h.advance(50 * time.Millisecond)
	}
	requestTime := advice.duration(1)
	is.True(renewedAt >= 2*time.Second-requestTime-minTicketValidity-reservationInterval)
	is.True(renewedAt <= 2*time.Second)
}

// harnessWithStaleTickets returns workers that were full when a gang received
// its tickets, and that are free now that these have expired.
func harnessWithStaleTickets(t *testing.T, workers int, step Step) *harness {
	t.Helper()
	h := newHarness(workers)
	for i := range workers {
		h.add(fmt.Sprintf("busy-%d", i), Policy{}, stepOf(1, 8000))
	}
	busy := h.settle()
	advice := &Advice{DecideMillis: 50, WorkerMillis: 1, ValidMillis: 400}
	h.add("gang", Policy{Priority: 1, Stretch: 50, Advice: advice}, step)
	h.settle()
	h.answerAdvice(true)
	h.runFor(600 * time.Millisecond)
	for _, start := range busy {
		h.endRun(start, EndDone)
	}
	return h
}

// answerAdvice answers the advice requests sent now, with tickets for all
// workers or for none.
func (h *harness) answerAdvice(allowed bool) {
	for _, order := range h.core.RequestAdvice(h.now, AdviceCapacity{Any: 5}) {
		var tickets []Ticket
		for _, id := range order.Workers {
			if allowed {
				tickets = append(tickets, Ticket{Worker: id, Text: "t"})
			}
		}
		h.core.AdviceDone(h.now, order, tickets, false)
	}
}

// TestHoldOnProbation guards against reservations that count several slots on a
// worker on probation, which takes one task at a time, also of a gang. The gang
// would wait for capacity that it cannot use while the tickets of other workers
// expire.
func TestHoldOnProbation(t *testing.T) {
	is := is.New(t)
	h := harnessWithStaleTickets(t, 6, gangOf(3, 2000))
	for _, w := range h.core.sortedWorkers {
		w.health.probation = true
	}
	for range 100 {
		h.runFor(100 * time.Millisecond)
		h.answerAdvice(true)
	}
	is.Equal(h.core.jobs["gang"].activeRuns, 3)
}

// TestHoldThatHelpsNothing checks that workers are released for a while if the
// gang does not start although its capacity is ready.
func TestHoldThatHelpsNothing(t *testing.T) {
	is := is.New(t)
	h := harnessWithStaleTickets(t, 12, gangOf(2, 8000))
	reserved, released := false, false
	for range 100 {
		h.runFor(100 * time.Millisecond)
		h.answerAdvice(false)
		reserved = reserved || len(h.core.reservations) == 1
		released = released || reserved && len(h.core.reservations) == 0
	}
	is.True(reserved)
	is.True(released)
}

// TestNoWorkersReservedForAHeldGang guards against workers that are kept for a gang
// that may not start before others' trials end, while work that could run waits.
func TestNoWorkersReservedForAHeldGang(t *testing.T) {
	is := is.New(t)
	h := newHarness(10)
	busy := stepOf(10, 7000)
	busy.AntiAffinity, busy.EstimateMillis = 1, 60_000
	h.add("busy", Policy{Stretch: 9}, busy)
	is.Equal(len(h.settle()), 10)
	for _, w := range h.core.sortedWorkers[:2] {
		w.trial = &trial{until: h.now.Add(time.Minute)}
	}
	h.add("gang", Policy{Stretch: 9}, gangOf(2, 1000))
	h.accuse("gang")
	for range 5 {
		h.advance(100 * time.Millisecond)
	}
	is.Equal(h.waitOf("gang"), WaitTrial)
	is.Equal(len(h.core.reservations), 0)
}
