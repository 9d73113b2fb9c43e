package scheduler

import (
	"testing"
	"time"
)

// endBeside gives the core an end of another job, which was read on the worker of a start
// and is stored, so that a poll would acknowledge it. It returns for how long after sentAt no
// poll did, of at most limit. answer answers the polls of that worker.
func (h *harness) endBeside(start StartOrder, sentAt time.Time, limit time.Duration, more bool, answer func(PollOrder)) time.Duration {
	h.core.Add(h.now, jobOf("k", stepOf(1, 100)))
	w := h.core.workers[start.Worker.HostID]
	end := EndedRun{Number: 1, Task: TaskName{StepName: StepName{Job: "k"}}, Run: 1, Kind: EndDone}
	h.core.PollDone(h.now, PollOrder{Worker: w.ref(), Fence: h.core.fence(w), SentAt: h.now}, &Report{Clock: h.clock(w.ref()), BootedAt: w.bootedAt, Partial: true, More: more, Ended: []EndedRun{end}}, OrderAccepted)
	for h.now.Sub(sentAt) < limit {
		h.now = h.now.Add(50 * time.Millisecond)
		h.commit()
		orders := h.issue()
		h.besidesRepeats(start, orders.Starts)
		for _, poll := range orders.Polls {
			if poll.Worker.HostID != start.Worker.HostID {
				h.core.PollDone(h.now, poll, &Report{Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt}, OrderAccepted)
				continue
			}
			if poll.AcknowledgedEnd > 0 {
				return h.now.Sub(sentAt)
			}
			answer(poll)
		}
	}
	return limit
}

// answerWhole answers a poll with a report that lists one kept end.
func (h *harness) answerWhole(poll PollOrder) {
	end := EndedRun{Number: 1, Task: TaskName{StepName: StepName{Job: "k"}}, Run: 1, Kind: EndDone}
	h.core.PollDone(h.now, poll, &Report{Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt, Ended: []EndedRun{end}}, OrderAccepted)
}

// TestAcknowledgementBesideAnOpenStart guards against an end that the next life of a worker
// forgets before anybody reads it: that life executes an open start and then the
// acknowledgement, which was sent while the start was open.
func TestAcknowledgementBesideAnOpenStart(t *testing.T) {
	h := newHarness(2)
	start := h.unanswered(t)
	sentAt := h.now
	h.core.StartDone(h.now, start, OrderUnknown)
	waited := h.endBeside(start, sentAt, 20*time.Second, false, h.answerWhole)
	if waited <= 12*time.Second {
		t.Errorf("an end is acknowledged %v after a start without an answer, which may be executed until 12 s", waited)
	}
	if waited > 14*time.Second {
		t.Errorf("an end is acknowledged %v after a start without an answer, want 14 s at most", waited)
	}
}

// TestAcknowledgementAfterAnUnknownLifesAnswer guards against an end that a worker forgets
// before anybody reads it: its next life, of which the owner doesn't know yet, has accepted a
// start and then gets the acknowledgement of ends of its former life. Its clock may agree
// with that of the former life by chance.
func TestAcknowledgementAfterAnUnknownLifesAnswer(t *testing.T) {
	for _, agrees := range []bool{false, true} {
		h := newHarness(2)
		start := h.unanswered(t)
		clock := WorkerTime(5)
		if agrees {
			clock = h.clock(start.Worker)
		}
		h.core.StartAccepted(h.now, start, clock)
		sentAt := h.now
		waited := h.endBeside(start, sentAt, 2*time.Second, false, func(poll PollOrder) { h.core.PollDone(h.now, poll, nil, OrderRefused) })
		if waited < 2*time.Second {
			t.Errorf("clock agrees %v: an end of the known life is acknowledged %v after another one may have accepted a start", agrees, waited)
		}
	}
}

// TestSuccessorsAcknowledgementBesideAnOpenStart guards against the same with a start of a
// former owner, also on a worker with more ends than a report holds.
func TestSuccessorsAcknowledgementBesideAnOpenStart(t *testing.T) {
	for _, more := range []bool{false, true} {
		h := newHarness(1)
		start := h.unanswered(t)
		sentAt := h.now
		h.advanceSilent(start.Worker, answerTime)
		rows := h.takeRows()
		infos := []WorkerInfo{h.core.sortedWorkers[0].info}
		if err := h.takeOver(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, rows); err != nil {
			t.Fatal(err)
		}
		h.core.SetWorkers(h.now, infos)
		waited := h.endBeside(start, sentAt, 30*time.Second, more, func(poll PollOrder) {
			end := EndedRun{Number: 1, Task: TaskName{StepName: StepName{Job: "k"}}, Run: 1, Kind: EndDone}
			h.core.PollDone(h.now, poll, &Report{Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt, Ended: []EndedRun{end}, Partial: more, More: more}, OrderAccepted)
		})
		if waited <= 12*time.Second {
			t.Errorf("more ends %v: an end is acknowledged %v after a start of the former owner, which may be executed until 12 s", more, waited)
		}
		if waited > 16*time.Second {
			t.Errorf("more ends %v: an end is acknowledged %v after a start of the former owner, want 16 s at most", more, waited)
		}
	}
}

// TestOrderThatArrivesAsItIsGivenUp guards against a task that starts again while its open
// start may be executed: the start arrived when it was nearly given up, and the worker holds it
// back for the longest time.
func TestOrderThatArrivesAsItIsGivenUp(t *testing.T) {
	h := newHarness(2)
	start := h.unanswered(t)
	sentAt := h.now
	h.now = h.now.Add(OrderTimeout)
	h.core.StartDone(h.now, start, OrderUnknown)
	for h.now.Sub(sentAt) <= OrderTimeout+12*time.Second {
		if starts := h.besidesRepeats(start, h.advanceAnswered(50*time.Millisecond)); len(starts) > 0 {
			t.Fatalf("the task starts again %v after a start that may be executed until 12.7 s", h.now.Sub(sentAt))
		}
	}
}
