package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// longAdvised is a policy with advice whose tickets stay valid.
var longAdvised = Policy{Stretch: 9, Advice: &Advice{DecideMillis: 10, WorkerMillis: 1, ValidMillis: 60_000}}

// TestAdviceForAWorkerThatWasAway guards against a worker that counts as not
// allowed for good, because it was not listed when the advice service allowed it.
func TestAdviceForAWorkerThatWasAway(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	info := h.core.sortedWorkers[0].info
	h.add("job", longAdvised, stepOf(1, 1000))
	h.advance(10 * time.Millisecond)
	requests := h.core.RequestAdvice(h.now, AdviceCapacity{Any: 1})
	is.Equal(len(requests), 1)
	w := h.core.workers[info.HostID]
	w.pollInFlight, w.ended = false, true
	h.core.SetWorkers(h.now, nil)
	is.Equal(len(h.core.workers), 0) // it is removed
	h.core.AdviceDone(h.now, requests[0], []Ticket{{Worker: info.HostID, Text: "t"}}, false)
	h.core.SetWorkers(h.now, []WorkerInfo{info})
	h.settle()
	h.advance(time.Second)
	again := h.core.RequestAdvice(h.now, AdviceCapacity{Any: 1})
	is.Equal(len(again), 1)
	h.core.AdviceDone(h.now, again[0], []Ticket{{Worker: info.HostID, Text: "t"}}, false)
	is.Equal(len(h.settle()), 1)
}

// TestAdviceBesideBusyWorkers guards against a step that waits for the workers that
// it knows to be allowed, which are busy, beside empty ones that it has not asked
// about.
func TestAdviceBesideBusyWorkers(t *testing.T) {
	tests := []struct {
		name string
		gang bool
	}{{"tasks", false}, {"gang", true}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(60)
			busy := stepOf(20, 8000)
			busy.EstimateMillis = 60_000
			h.add("busy", Policy{Stretch: 9}, busy)
			is.Equal(len(h.settle()), 20)
			s := stepOf(4, 4000)
			s.Gang = test.gang
			h.add("job", longAdvised, s)
			h.advance(10 * time.Millisecond)
			advice := &h.core.jobs["job"].occurrences[0].steps[0].advice
			advice.decided, advice.tickets = make(map[requester.HostID]bool), make(map[requester.HostID]ticket)
			for _, w := range h.core.sortedWorkers {
				if id := w.info.HostID; len(w.runs) > 0 {
					advice.decided[id] = true
					advice.tickets[id] = ticket{text: "t", bootedAt: w.bootedAt, expiresAt: h.now.Add(time.Minute)}
					advice.allowed = append(advice.allowed, id)
				}
			}
			h.core.recordStart(h.core.jobs["job"].occurrences[0].steps[0])
			started := 0
			for range 30 {
				for _, request := range h.core.RequestAdvice(h.now, AdviceCapacity{Any: 1}) {
					var tickets []Ticket
					for _, id := range request.Workers {
						tickets = append(tickets, Ticket{Worker: id, Text: "t"})
					}
					h.core.AdviceDone(h.now, request, tickets, false)
				}
				started += len(h.advance(100 * time.Millisecond))
			}
			is.Equal(started, 4)
		})
	}
}

// TestFailedAdviceIsCounted checks that a request says how many before it have
// failed since the last response, so that it is not sent to one relay alone again.
func TestFailedAdviceIsCounted(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	info := h.core.sortedWorkers[0].info
	h.add("job", longAdvised, stepOf(1, 1000))
	for failures := range 3 {
		h.advance(adviceRetryDelay)
		requests := h.core.RequestAdvice(h.now, AdviceCapacity{Any: 1})
		is.Equal(len(requests), 1)
		is.Equal(requests[0].FailedInARow, failures)
		h.core.AdviceDone(h.now, requests[0], nil, true)
	}
	h.advance(adviceRetryDelay)
	answered := h.core.RequestAdvice(h.now, AdviceCapacity{Any: 1})
	is.Equal(answered[0].FailedInARow, 3)
	h.core.AdviceDone(h.now, answered[0], []Ticket{{Worker: info.HostID, Text: "t"}}, false)
	is.Equal(h.core.jobs["job"].occurrences[0].steps[0].advice.failedInARow, 0)
}

// TestLateAdviceIsUsed guards against a response that is dropped because its request
// counts as failed, and against counting that request as ended twice: the step has
// asked again meanwhile.
func TestLateAdviceIsUsed(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	info := h.core.sortedWorkers[0].info
	long := Policy{Stretch: 9, Advice: &Advice{DecideMillis: 2 * float64(longRequestTime.Milliseconds()), ValidMillis: 60_000}}
	h.add("job", long, stepOf(1, 1000))
	h.advance(10 * time.Millisecond)
	first := h.core.RequestAdvice(h.now, AdviceCapacity{Any: 1})
	is.Equal(len(first), 1)
	h.core.AdviceDone(h.now, first[0], nil, true)
	h.advance(adviceRetryDelay)
	second := h.core.RequestAdvice(h.now, AdviceCapacity{Any: 1})
	is.Equal(len(second), 1)

	h.core.AddAdvice(h.now, first[0], []Ticket{{Worker: info.HostID, Text: "first"}})
	advice := &h.core.jobs["job"].occurrences[0].steps[0].advice
	is.Equal(advice.inFlight, 1)
	is.Equal(h.core.longInFlight, 1)
	is.Equal(len(advice.requested), 1)
	is.Equal(advice.failedInARow, 0)
	is.Equal(len(h.settle()), 1)

	h.core.AdviceDone(h.now, second[0], []Ticket{{Worker: info.HostID, Text: "second"}}, false)
	is.Equal(advice.inFlight, 0)
	is.Equal(h.core.longInFlight, 0)
	is.Equal(len(advice.requested), 0)
	is.Equal(advice.tickets[info.HostID].text, "second")
	h.core.AddAdvice(h.now, first[0], []Ticket{{Worker: info.HostID, Text: "first"}})
	is.Equal(advice.tickets[info.HostID].text, "second") // it is newer

	for _, gone := range []StepName{{Job: "none"}, {Job: "job", Step: 1}, {Job: "job", Step: -1}, {Job: "job", Occurrence: 1}} {
		h.core.AddAdvice(h.now, AdviceRequest{Step: gone, Workers: []requester.HostID{info.HostID}, RequestedAt: h.now}, nil)
	}
	is.Equal(h.core.longInFlight, 0)
}
