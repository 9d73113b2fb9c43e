package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEndForgottenByTheNextLife guards against polls of a worker that doesn't
// answer, because it has started again, which make its next incarnation forget
// ends that nobody has read.
func TestEndForgottenByTheNextLife(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("a", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 8000))
	first := h.settle()
	is.Equal(len(first), 1)
	h.endRun(first[0], EndDone)
	h.advance(time.Second) // a poll has acknowledged end 1
	h.add("b", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 8000))
	h.commit()
	h.now = h.now.Add(time.Second)
	orders := h.issue()
	is.Equal(len(orders.Starts), 1)
	start := orders.Starts[0]
	h.core.StartDone(h.now, start, OrderUnknown)
	h.core.PollDone(h.now, pollOf(t, orders), nil, OrderUnknown)

	// The next incarnation has executed the start late, and the task is done.
	bootedAt := h.now
	info := h.core.sortedWorkers[0].info
	info.BootedAt = bootedAt
	ended := []EndedRun{{Number: 1, Task: start.Task, Run: start.Run, Kind: EndDone}}
	for range 10 {
		h.now = h.now.Add(pollRetryInterval)
		h.commit()
		orders := h.issue()
		is.Equal(len(orders.Starts), 0) // the task is done
		for _, poll := range orders.Polls {
			if len(ended) > 0 && poll.AcknowledgedEnd >= ended[0].Number {
				ended = nil
			}
			report := &Report{Clock: WorkerTime(h.now.Sub(bootedAt).Milliseconds()), BootedAt: bootedAt, Ended: ended}
			h.core.PollDone(h.now, poll, report, OrderAccepted)
		}
		h.core.SetWorkers(h.now, []WorkerInfo{info})
	}
	is.Equal(h.core.Stats().JobsCompleted, int64(2))
}

// TestStartRejectedByTheNextLife guards against an owner that takes the rejection
// of a start to an earlier incarnation of a worker for the sign of another owner.
func TestStartRejectedByTheNextLife(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 8000))
	h.commit()
	h.now = h.now.Add(time.Second)
	orders := h.issue()
	is.Equal(len(orders.Starts), 1)
	h.core.Cancel(h.now, "j") // so that the run is to be stopped
	h.reborn()
	h.core.StartDone(h.now, orders.Starts[0], OrderFenced)
	is.True(!h.core.Fenced())
	is.Equal(len(h.core.sortedWorkers[0].runs), 1) // what the next incarnation has executed is not known yet
}

// TestOpenStartActsInTheNextLife guards against a task that starts again although the
// next incarnation of a worker can still execute an earlier start of it.
func TestOpenStartActsInTheNextLife(t *testing.T) {
	for _, gang := range []bool{false, true} {
		for _, stopped := range []bool{false, true} {
			is := is.New(t)
			h := newHarness(2)
			step := stepOf(1, 8000)
			step.Gang = gang
			h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, step)
			h.commit()
			h.now = h.now.Add(time.Second)
			orders := h.issue()
			is.Equal(len(orders.Starts), 1)
			start := orders.Starts[0]
			for _, poll := range orders.Polls {
				h.core.PollDone(h.now, poll, &Report{Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt}, OrderAccepted)
			}
			sentAt := h.now
			if stopped {
				h.core.stop(h.core.workers[start.Worker.HostID].runs[runKey{start.Task, start.Run}], "test")
			}
			h.now = h.now.Add(700 * time.Millisecond)
			h.core.StartDone(h.now, start, OrderUnknown)
			// The worker answers, has seen a higher fence and accepts every stop. It may
			// crash at any moment, and its next life knows nothing of that.
			for h.now.Sub(sentAt) < 12*time.Second {
				is.Equal(len(h.besidesRepeats(start, h.advanceAnswered(100*time.Millisecond))), 0)
			}
			started := 0
			for range 30 {
				started += len(h.besidesRepeats(start, h.advanceAnswered(100*time.Millisecond)))
			}
			is.Equal(started, 1) // nothing of the start can act any more
		}
	}
}

// clock returns the clock of a worker's incarnation.
func (h *harness) clock(w WorkerRef) WorkerTime {
	return WorkerTime(h.now.Sub(w.BootedAt).Milliseconds())
}

// advanceAnswered lets time pass; every worker answers, and accepts all orders. It
// returns the starts.
func (h *harness) advanceAnswered(wait time.Duration) []StartOrder {
	h.now = h.now.Add(wait)
	h.commit()
	orders := h.issue()
	for _, stop := range orders.Stops {
		h.core.StopDone(h.now, stop, OrderAccepted)
	}
	for _, poll := range orders.Polls {
		h.core.PollDone(h.now, poll, &Report{Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt}, OrderAccepted)
	}
	return orders.Starts
}

// unanswered starts the only task of a job on a worker that falls silent. The start is
// not answered, nor is any poll of that worker; all others answer.
func (h *harness) unanswered(t *testing.T) StartOrder {
	t.Helper()
	h.advanceAnswered(20 * time.Second) // so that the clocks say which life answers
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 8000))
	h.commit()
	h.now = h.now.Add(10 * time.Millisecond)
	orders := h.issue()
	if len(orders.Starts) != 1 {
		t.Fatalf("tick issued %d starts, want 1", len(orders.Starts))
	}
	h.answerPolls(orders, orders.Starts[0].Worker)
	return orders.Starts[0]
}

// advanceSilent lets time pass; all workers but one answer. It returns the starts.
func (h *harness) advanceSilent(silent WorkerRef, wait time.Duration) []StartOrder {
	h.now = h.now.Add(wait)
	h.commit()
	orders := h.issue()
	h.answerPolls(orders, silent)
	return orders.Starts
}

// answerPolls answers the polls of all idle workers but one.
func (h *harness) answerPolls(orders Orders, silent WorkerRef) {
	for _, poll := range orders.Polls {
		if poll.Worker.HostID == silent.HostID {
			h.core.PollDone(h.now, poll, nil, OrderUnknown)
			continue
		}
		h.core.PollDone(h.now, poll, &Report{Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt}, OrderAccepted)
	}
}

// TestOpenStartBehindACut guards against a task that starts again once the lease of its
// silent worker's former life has expired: the next life, which no owner reaches, may
// have executed the start late, under the longest lease.
func TestOpenStartBehindACut(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	start := h.unanswered(t)
	sentAt := h.now
	h.core.StartDone(h.now.Add(700*time.Millisecond), start, OrderUnknown)
	for h.now.Sub(sentAt) < 22*time.Second {
		is.Equal(len(h.advanceSilent(start.Worker, 100*time.Millisecond)), 0)
	}
	started := 0
	for range 60 {
		started += len(h.advanceSilent(start.Worker, 100*time.Millisecond))
	}
	is.Equal(started, 1) // every lease of any life has expired
}

// TestStartAnsweredByTheNextLife guards against a task that starts again once the lease
// of its silent worker's former life has expired, although the answer to its start
// came from the next one, which had no more than the longest lease.
func TestStartAnsweredByTheNextLife(t *testing.T) {
	cases := []struct {
		name  string
		known bool
		wait  time.Duration
	}{
		{"by the life that is known", true, 8 * time.Second},
		{"by another one", false, 10 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(2)
			start := h.unanswered(t)
			sentAt := h.now
			clock := WorkerTime(5)
			if c.known {
				clock = h.clock(start.Worker)
			}
			h.core.StartAccepted(h.now, start, clock)
			for h.now.Sub(sentAt) < c.wait {
				is.Equal(len(h.advanceSilent(start.Worker, 100*time.Millisecond)), 0)
			}
			if !c.known {
				return
			}
			started := 0
			for range 20 {
				started += len(h.advanceSilent(start.Worker, 100*time.Millisecond))
			}
			is.Equal(started, 1) // the known life's lease has expired
		})
	}
}

// TestOpenStartKeepsItsRoom guards against starts on a worker whose next life, unknown
// to the owner, has executed an open start: together they need more than it has.
func TestOpenStartKeepsItsRoom(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	start := h.unanswered(t)
	h.core.StartDone(h.now, start, OrderUnknown)
	h.add("k", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 8000))
	for range 100 {
		is.Equal(len(h.besidesRepeats(start, h.advanceAnswered(100*time.Millisecond))), 0)
	}
	started := 0
	for range 60 {
		started += len(h.besidesRepeats(start, h.advanceAnswered(100*time.Millisecond)))
	}
	is.True(started > 0) // nothing of the first start can act any more
}

// TestOpenStartOfALostOwner guards against a new owner that starts a task again which a
// start of its predecessor, given up or about to be, may still run.
func TestOpenStartOfALostOwner(t *testing.T) {
	for _, givenUp := range []bool{false, true} {
		is := is.New(t)
		h := newHarness(2)
		start := h.unanswered(t)
		sentAt := h.now
		if givenUp {
			h.core.StartDone(h.now.Add(700*time.Millisecond), start, OrderUnknown)
		}
		h.now = h.now.Add(answerTime)
		h.issue()
		rows := h.takeRows()
		infos := []WorkerInfo{h.core.sortedWorkers[0].info, h.core.sortedWorkers[1].info}
		is.NoErr(h.takeOver(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, rows))
		h.core.SetWorkers(h.now, infos)
		for h.now.Sub(sentAt) < 12*time.Second {
			is.Equal(len(h.besidesRepeats(start, h.advanceAnswered(100*time.Millisecond))), 0)
		}
		started := 0
		for range 80 {
			started += len(h.besidesRepeats(start, h.advanceAnswered(100*time.Millisecond)))
		}
		is.Equal(started, 1)
	}
}

// TestLatePollForgetsEndsOfTheNextLife guards against a poll that acknowledges ends of one
// life and is executed by the next one, which forgets an end that nobody has read.
func TestLatePollForgetsEndsOfTheNextLife(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("a", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 100))
	first := h.settle()
	is.Equal(len(first), 1)
	h.advance(time.Second)
	h.endRun(first[0], EndDone)
	var polls []PollOrder
	var starts []StartOrder
	tick := func() {
		h.now = h.now.Add(20 * time.Millisecond)
		h.commit()
		orders := h.issue()
		starts = append(starts, orders.Starts...)
		for _, poll := range orders.Polls {
			if poll.AcknowledgedEnd > 0 {
				polls = append(polls, poll)
			}
		}
	}
	for range 20 {
		tick()
	}
	is.Equal(len(polls), 1)
	h.add("b", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 100))
	for range 20 {
		tick()
	}
	// Nothing is answered any more, and all may be executed by the next life. It rejects a
	// poll after a start with a higher fence, so a poll may not have as high a one as an
	// unanswered start.
	is.True(len(starts) > 0)
	for _, poll := range polls {
		for _, start := range starts {
			is.True(poll.Fence < start.Fence)
		}
	}
}
