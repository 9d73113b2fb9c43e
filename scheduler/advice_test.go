package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
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
