package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A worker may need this long to end what runs on it when its lease expires.
const longestKill = 900 * time.Millisecond

// advanceSlow lets time pass on workers whose clocks run at a rate, and returns the orders.
// One of them answers only if answers is true, and has the given runs.
func (h *harness) advanceSlow(wait time.Duration, rate float64, worker WorkerRef, answers bool, running ...StartOrder) Orders {
	h.now = h.now.Add(wait)
	h.commit()
	orders := h.issue()
	for _, poll := range orders.Polls {
		report := &Report{Clock: WorkerTime(float64(h.clock(poll.Worker)) * rate), BootedAt: poll.Worker.BootedAt}
		if poll.Worker.HostID == worker.HostID {
			for _, start := range running {
				report.Running = append(report.Running, RunningTask{Task: start.Task, Run: start.Run})
			}
			if !answers {
				h.core.PollDone(h.now, poll, nil, OrderUnknown)
				continue
			}
		}
		h.core.PollDone(h.now, poll, report, OrderAccepted)
	}
	return orders
}

// TestRestartBesideARunThatIsBeingEnded guards against a task that starts again on another
// worker while its silent worker, whose lease has just expired, is still ending its run.
func TestRestartBesideARunThatIsBeingEnded(t *testing.T) {
	for _, rate := range []float64{1, minClockRate} {
		h := newHarness(2)
		h.advanceSlow(20*time.Second, rate, WorkerRef{}, true)
		h.advanceSlow(100*time.Millisecond, rate, WorkerRef{}, true)
		h.add("j", Policy{Stretch: 9}, stepOf(1, 8000))
		start := h.advanceSlow(100*time.Millisecond, rate, WorkerRef{}, true).Starts[0]
		h.core.StartAccepted(h.now, start, WorkerTime(float64(h.clock(start.Worker))*rate))
		granted := start.Deadline
		answers := func(answered bool) []StartOrder {
			orders := h.advanceSlow(20*time.Millisecond, rate, start.Worker, answered, start)
			for _, poll := range orders.Polls {
				if poll.Worker.HostID == start.Worker.HostID {
					granted = max(granted, poll.Deadline)
				}
			}
			return orders.Starts
		}
		for range 50 {
			if len(answers(true)) > 0 {
				t.Fatal("started again on a worker that answers")
			}
		}
		lostAt := h.now
		for len(answers(false)) == 0 {
			if h.now.Sub(lostAt) > lostTaskBound {
				t.Fatalf("not started again %v after the loss of its worker", h.now.Sub(lostAt))
			}
		}
		leaseEnd := start.Worker.BootedAt.Add(time.Duration(float64(granted) / rate * float64(time.Millisecond)))
		if ended := leaseEnd.Add(longestKill); h.now.Before(ended) {
			t.Errorf("clock rate %v: started again %v after the lease of its run expired, which may be active %v longer", rate, h.now.Sub(leaseEnd), ended.Sub(h.now))
		}
	}
}

// TestOpenStartThatIsBeingEnded guards against the same where the run is that of a start
// without an answer, in a life of which the owner hears nothing.
func TestOpenStartThatIsBeingEnded(t *testing.T) {
	h := newHarness(2)
	start := h.unanswered(t)
	sentAt := h.now
	h.now = h.now.Add(OrderTimeout)
	h.core.StartDone(h.now, start, OrderUnknown)
	// A poll of the same moment arrives last, and extends its lease.
	ended := sentAt.Add(PollWait + PollTimeout + longestDelay + h.core.options.MaxLease*100/98 + longestKill)
	for h.now.Before(ended) {
		if len(h.advanceSilent(start.Worker, 20*time.Millisecond)) > 0 {
			t.Fatalf("started again %v after an open start, whose run may be active %v longer", h.now.Sub(sentAt), ended.Sub(h.now))
		}
	}
}

// TestSuccessorBesideARunThatIsBeingEnded guards against the same with a new owner, which
// counts the leases of its predecessor.
func TestSuccessorBesideARunThatIsBeingEnded(t *testing.T) {
	is := is.New(t)
	h := newHarness(0)
	const formerTerm = 8200 * time.Millisecond // of the version before leases became shorter
	for _, term := range []time.Duration{DefaultLeaseTerm, formerTerm} {
		options := Options{Epoch: 2, PreviousOwnerTerm: time.Second, PreviousLeaseTerm: term, PreviousCommitAt: h.now}
		w := h.restoreLost(options, h.now.Add(-time.Minute))
		is.True(!w.leaseExpiry(h.core).Before(h.now.Add(term*100/98 + longestKill)))
	}
	w := h.restoreLost(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, h.now)
	longest := h.now.Add(time.Second + h.core.options.MaxLease*100/98 + longestKill)
	is.True(!w.leaseExpiry(h.core).Before(longest))
	h.core.AssumeUnknownLeases()
	h.core.now = longest.Add(-time.Millisecond)
	is.True(!h.core.Reconciled())
}
