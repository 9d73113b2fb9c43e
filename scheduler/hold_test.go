package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

func gang(count int, milli int64) Step {
	s := cores(count, milli)
	s.Gang = true
	return s
}

// endAfter ends the runs that have worked for so long.
func (b *bench) endAfter(worked time.Duration) {
	var ending []StartOrder
	for _, start := range b.running {
		if b.now.Sub(b.began[start.Task]) >= worked {
			ending = append(ending, start)
		}
	}
	for _, start := range ending {
		b.end(start, EndDone)
	}
}

// TestGangAmongSmallTasks replays small tasks that come all the time, each
// where it fits best. A gang that needs three quarters of some workers starts
// in time all the same.
func TestGangAmongSmallTasks(t *testing.T) {
	is := is.New(t)
	b := newBench(10)
	var gangAt time.Duration
	const tick = 50 * time.Millisecond
	for now := time.Duration(0); now < 8*time.Second && gangAt == 0; now += tick {
		// Two tasks of two cores every 50 ms take 80 of 80 cores for a second.
		b.add(fmt.Sprintf("small-%d", now.Milliseconds()), Policy{Priority: 2, Stretch: 9}, cores(2, 2000))
		if now == 2*time.Second {
			b.add("gang", Policy{Priority: 1, Stretch: 5}, gang(2, 6000))
		}
		for _, start := range b.step(tick) {
			if start.Task.Job == "gang" {
				gangAt = now
			}
		}
		b.endAfter(time.Second)
	}
	is.True(gangAt > 0)
	// An objective of 5 s, of which the gang works one.
	is.True(gangAt < 6*time.Second)
}

// heldBench has a worker that runs a task for two seconds, and a gang for which
// it is held.
func heldBench(t *testing.T) *bench {
	t.Helper()
	b := newBench(5)
	busy := cores(1, 6000)
	busy.EstimateMillis = 2000
	for i := range 5 {
		b.add(fmt.Sprintf("busy-%d", i), Policy{}, busy)
	}
	b.settle()
	b.add("gang", Policy{Priority: 1, Stretch: 9}, gang(1, 7000))
	b.settle()
	b.step(holdInterval)
	if len(b.core.reservations) != 1 {
		t.Fatalf("%d holds, want 1", len(b.core.reservations))
	}
	return b
}

// TestHeldWorker: beside a gang that waits, only what ends before it or fits
// beside it starts on the workers held for it.
func TestHeldWorker(t *testing.T) {
	tests := []struct {
		name     string
		step     Step
		priority int
		want     bool
	}{
		{"ends before the gang", Step{Count: 1, Need: requester.Resources{MilliCores: 2000}, EstimateMillis: 500}, 2, true},
		{"fits beside the gang", Step{Count: 1, Need: requester.Resources{MilliCores: 1000}, EstimateMillis: 9000}, 2, true},
		{"takes room of the gang", Step{Count: 1, Need: requester.Resources{MilliCores: 2000}, EstimateMillis: 9000}, 2, false},
		{"lasts", Step{Count: 1, Need: requester.Resources{MilliCores: 2000}, EstimateMillis: 100, LongRunning: true}, 2, false},
		{"is more urgent", Step{Count: 1, Need: requester.Resources{MilliCores: 2000}, EstimateMillis: 9000}, 0, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := heldBench(t)
			held := b.core.reservations[0].parts[0].worker
			// Nothing else takes tasks.
			for _, w := range b.core.sortedWorkers {
				if w != held {
					w.suspendedUntil = b.now.Add(time.Minute)
				}
			}
			b.add("job", Policy{Priority: test.priority, Stretch: 9}, test.step)
			b.settle()
			is.Equal(b.core.jobs["job"].activeRuns == 1, test.want)
		})
	}
}

// TestHoldIsGivenUp: workers that do not come free as they should are held no
// longer, nor those of a gang that is cancelled.
func TestHoldIsGivenUp(t *testing.T) {
	tests := []struct {
		name string
		do   func(*bench)
		want int
	}{
		{"nothing happens", func(*bench) {}, 1},
		{"the gang is cancelled", func(b *bench) { b.core.Cancel(b.now, "gang") }, 0},
		{"no worker takes tasks", func(b *bench) {
			for _, w := range b.core.sortedWorkers {
				w.suspendedUntil = b.now.Add(time.Minute)
			}
		}, 0},
		{"what runs is overdue by far", func(b *bench) {
			for _, start := range b.running {
				b.core.workers[start.Worker.HostID].runs[runKey{start.Task, start.Run}].expectedEnd = b.now.Add(holdHorizon + time.Second)
			}
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := heldBench(t)
			test.do(b)
			b.core.placementPending = true
			b.step(holdInterval)
			is.Equal(len(b.core.reservations), test.want)
			held := 0
			for _, w := range b.core.sortedWorkers {
				if w.reservation != nil {
					held++
				}
			}
			is.Equal(held, test.want)
		})
	}
}

// TestTicketsOfAHold: a gang's tickets are renewed so that they are good when
// its room is ready, and no sooner.
func TestTicketsOfAHold(t *testing.T) {
	is := is.New(t)
	b := newBench(5)
	busy := cores(1, 6000)
	busy.EstimateMillis = 2000
	for i := range 5 {
		b.add(fmt.Sprintf("busy-%d", i), Policy{}, busy)
	}
	b.settle()
	began := b.now
	advice := &Advice{DecideMillis: 200, WorkerMillis: 10, ValidMillis: 1000}
	b.add("gang", Policy{Priority: 1, Stretch: 9, Advice: advice}, gang(1, 7000))
	b.step(10 * time.Millisecond)
	asked := 0
	var renewedAt time.Duration
	for renewedAt == 0 && b.now.Sub(began) < 5*time.Second {
		for _, order := range b.core.Advise(b.now, AdviceRoom{Any: 5}) {
			asked++
			if asked > 1 {
				renewedAt = b.now.Sub(began)
			}
			var tickets []Ticket
			for _, id := range order.Workers {
				tickets = append(tickets, Ticket{Worker: id, Text: "t"})
			}
			b.core.Advised(b.now, order, tickets, false)
		}
		b.core.placementPending = true
		b.step(50 * time.Millisecond)
	}
	takes := advice.duration(1)
	is.True(renewedAt >= 2*time.Second-takes-ticketSlack-holdInterval)
	is.True(renewedAt <= 2*time.Second)
}

// staleGang has workers that were full when a gang's tickets came, and are free
// now that these have aged.
func staleGang(t *testing.T, workers int, step Step) *bench {
	t.Helper()
	b := newBench(workers)
	for i := range workers {
		b.add(fmt.Sprintf("busy-%d", i), Policy{}, cores(1, 8000))
	}
	busy := b.settle()
	advice := &Advice{DecideMillis: 50, WorkerMillis: 1, ValidMillis: 400}
	b.add("gang", Policy{Priority: 1, Stretch: 50, Advice: advice}, step)
	b.settle()
	b.answer(true)
	b.runFor(600 * time.Millisecond)
	for _, start := range busy {
		b.end(start, EndDone)
	}
	return b
}

// answer answers what is asked now, with tickets for all workers or none.
func (b *bench) answer(allowed bool) {
	for _, order := range b.core.Advise(b.now, AdviceRoom{Any: 5}) {
		var tickets []Ticket
		for _, id := range order.Workers {
			if allowed {
				tickets = append(tickets, Ticket{Worker: id, Text: "t"})
			}
		}
		b.core.Advised(b.now, order, tickets, false)
	}
}

// TestHoldOnProbation: a worker on probation takes one task at a time, also of
// a gang. Counted for more, the gang would wait for room that it can't use, while
// the tickets of other workers age.
func TestHoldOnProbation(t *testing.T) {
	is := is.New(t)
	b := staleGang(t, 6, gang(3, 2000))
	for _, w := range b.core.sortedWorkers {
		w.health.probation = true
	}
	for range 100 {
		b.runFor(100 * time.Millisecond)
		b.answer(true)
	}
	is.Equal(b.core.jobs["gang"].activeRuns, 3)
}

// TestHoldThatHelpsNothing: a gang whose room is ready and that does not start
// gives its workers up for a while.
func TestHoldThatHelpsNothing(t *testing.T) {
	is := is.New(t)
	b := staleGang(t, 12, gang(2, 8000))
	held, given := false, false
	for range 100 {
		b.runFor(100 * time.Millisecond)
		b.answer(false)
		held = held || len(b.core.reservations) == 1
		given = given || held && len(b.core.reservations) == 0
	}
	is.True(held)
	is.True(given)
}
