package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// TestAdviceForTasksKeptApart guards against a step that is kept apart and
// never asks for advice on as many workers as it needs, because it counts room
// for several of its tasks on each.
func TestAdviceForTasksKeptApart(t *testing.T) {
	tests := []struct {
		name string
		gang bool
	}{{"gang", true}, {"tasks", false}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(60)
			s := stepOf(20, 100)
			s.Gang, s.AntiAffinity, s.EstimateMillis = test.gang, 1, 60_000
			h.core.allowedShares["queue"] = 1 // too many are expected to be allowed
			h.add("apart", Policy{Stretch: 9, Advice: &Advice{DecideMillis: 10, WorkerMillis: 1, ValidMillis: 60_000}}, s)
			h.advance(10 * time.Millisecond)
			started := 0
			for range 20 {
				for _, request := range h.core.RequestAdvice(h.now, AdviceCapacity{Any: 1}) {
					// Four workers in ten may run the step.
					var tickets []Ticket
					for _, id := range request.Workers {
						if id[len(id)-1]%3 == 0 {
							tickets = append(tickets, Ticket{Worker: id, Text: "t"})
						}
					}
					h.core.AdviceDone(h.now, request, tickets, false)
				}
				started += len(h.advance(250 * time.Millisecond))
			}
			is.Equal(started, 20)
		})
	}
}

// TestAdviceBesideLastingTasks guards against a step that asks for no further
// advice because the workers that may run it had room if the tasks that last
// there ended.
func TestAdviceBesideLastingTasks(t *testing.T) {
	is := is.New(t)
	h := newHarness(40)
	h.add("lasting", Policy{Stretch: 9}, lastingStep(20, 8000))
	is.Equal(len(h.settle()), 20)
	full := make(map[requester.HostID]bool)
	for _, start := range h.running {
		full[start.Worker.HostID] = true
	}
	h.add("job", Policy{Stretch: 9, Advice: &Advice{DecideMillis: 10, WorkerMillis: 1, ValidMillis: 60_000}}, stepOf(2, 8000))
	h.advance(10 * time.Millisecond)
	s := h.core.jobs["job"].occurrences[0].steps[0]
	// All full workers may run the step.
	s.advice.decided, s.advice.tickets = make(map[requester.HostID]bool), make(map[requester.HostID]ticket)
	for _, w := range h.core.sortedWorkers {
		if id := w.info.HostID; full[id] {
			s.advice.decided[id] = true
			s.advice.tickets[id] = ticket{text: "t", bootedAt: w.bootedAt, expiresAt: h.now.Add(time.Minute)}
			s.advice.allowed = append(s.advice.allowed, id)
		}
	}
	requests := h.core.RequestAdvice(h.now, AdviceCapacity{Any: 1})
	is.Equal(len(requests), 1)
	for _, id := range requests[0].Workers {
		is.True(!full[id])
	}
}
