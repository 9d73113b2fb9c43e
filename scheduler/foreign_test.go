package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEndOfNoOccurrence guards against a worker of which nothing is acknowledged
// any more because one of its ends names an occurrence that its job never has.
func TestEndOfNoOccurrence(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 1000), stepOf(1, 1000))
	starts := h.settle()
	is.Equal(len(starts), 2)
	foreign := starts[0]
	foreign.Task.Occurrence = 7
	h.endRun(foreign, EndDone)
	h.endRun(starts[0], EndFailed)
	h.now = h.now.Add(time.Minute)
	h.core.StoreReached(h.now, 10)
	h.core.JobsKnown(10)
	is.Equal(pollOf(t, h.core.Tick(h.now.Add(time.Second))).AcknowledgedEnd, int64(2))
	is.Equal(h.core.Stats().Violations, int64(0))
}
