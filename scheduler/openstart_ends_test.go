package scheduler

import (
	"testing"
	"time"

	"kumquatstall/requester"
)

// The ends of runs that open starts begin, and their acknowledgement.

// answer answers the polls, with some runs in progress.
func (h *harness) answer(orders Orders, running []StartOrder) {
	for _, poll := range orders.Polls {
		report := &Report{Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt}
		for _, r := range running {
			if r.Worker.HostID == poll.Worker.HostID {
				report.Running = append(report.Running, RunningTask{Task: r.Task, Run: r.Run, Percent: 100})
			}
		}
		h.core.PollDone(h.now, poll, report, OrderAccepted)
	}
}

// TestLatePollForgetsEndsOfAnEarlierOwnersStart guards against a new owner whose late poll
// makes the next life of a worker forget an end of a start of the former owner.
func TestLatePollForgetsEndsOfAnEarlierOwnersStart(t *testing.T) {
	h := newHarness(2)
	start := h.unanswered(t)
	sentAt := h.now
	h.advanceSilent(start.Worker, answerTime)
	rows := h.takeRows()
	infos := []WorkerInfo{h.core.sortedWorkers[0].info, h.core.sortedWorkers[1].info}
	if err := h.takeOver(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, rows); err != nil {
		t.Fatal(err)
	}
	h.core.SetWorkers(h.now, infos)
	h.core.Add(h.now, jobOf("k", stepOf(1, 100)))
	ended := TaskName{StepName: StepName{Job: "k"}}
	acknowledged := make(map[requester.HostID]time.Duration)
	for h.now.Sub(sentAt) < 20*time.Second {
		h.now = h.now.Add(100 * time.Millisecond)
		h.commit()
		orders := h.issue()
		for _, again := range orders.Starts {
			h.core.StartDone(h.now, again, OrderNoCapacity)
		}
		for _, poll := range orders.Polls {
			host := poll.Worker.HostID
			if poll.AcknowledgedEnd > 0 && acknowledged[host] == 0 {
				acknowledged[host] = h.now.Sub(sentAt)
			}
			report := &Report{Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt}
			if poll.AcknowledgedEnd == 0 && acknowledged[host] == 0 {
				report.Ended = []EndedRun{{Number: 1, Task: ended, Run: 1, Kind: EndDone}}
			}
			h.core.PollDone(h.now, poll, report, OrderAccepted)
		}
	}
	for host, at := range acknowledged {
		if host == start.Worker.HostID && at < maxOrderDelay {
			t.Errorf("an end of %s is acknowledged %v after a start of the former owner was sent", host, at)
		}
		if host != start.Worker.HostID && at > 3*time.Second {
			t.Errorf("an end of %s, where no start is open, is acknowledged after %v only", host, at)
		}
	}
	if len(acknowledged) != 2 {
		t.Errorf("acknowledged: %v, want ends of two workers", acknowledged)
	}
}

// TestGivenUpStartHoldsAcknowledgementsBack guards against a worker with more ends than a
// report holds that never gets them acknowledged, as its reports can't show what has become
// of a start without an answer.
func TestGivenUpStartHoldsAcknowledgementsBack(t *testing.T) {
	h := newHarness(1)
	start := h.unanswered(t)
	sentAt := h.now
	h.core.StartDone(h.now, start, OrderUnknown)
	h.core.Add(h.now, jobOf("k", stepOf(1, 100)))
	waited := h.firstAcknowledgement(sentAt, 20*time.Second)
	if waited <= 12*time.Second {
		t.Errorf("an end is acknowledged %v after the start, which may be executed until 12 s", waited)
	}
	if waited > 13*time.Second {
		t.Errorf("an end is acknowledged %v after the start, want 13 s at most", waited)
	}
}

// firstAcknowledgement returns for how long after sentAt no poll acknowledges an end of a
// worker that has more than it lists, and at most limit.
func (h *harness) firstAcknowledgement(sentAt time.Time, limit time.Duration) time.Duration {
	ended := []EndedRun{{Number: 1, Task: TaskName{StepName: StepName{Job: "k"}}, Run: 1, Kind: EndDone}}
	for h.now.Sub(sentAt) < limit {
		h.now = h.now.Add(100 * time.Millisecond)
		h.commit()
		orders := h.issue()
		for _, again := range orders.Starts {
			h.core.StartDone(h.now, again, OrderNoCapacity)
		}
		for _, poll := range orders.Polls {
			if poll.AcknowledgedEnd > 0 {
				return h.now.Sub(sentAt)
			}
			h.core.PollDone(h.now, poll, &Report{Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt, Ended: ended, Partial: true, More: true}, OrderAccepted)
		}
	}
	return limit
}

// TestInheritedOpenStartHidesEnds guards against a new owner that learns of none of a
// worker's ends beyond the first report, as a start of the former owner is open there, and
// starts the tasks again.
func TestInheritedOpenStartHidesEnds(t *testing.T) {
	h := newHarness(1)
	start := h.unanswered(t)
	sentAt := h.now
	h.advanceSilent(start.Worker, answerTime)
	rows := h.takeRows()
	infos := []WorkerInfo{h.core.sortedWorkers[0].info}
	started := EncodeRow(progressRow{State: StateRunning, NextOccurrence: 1, Occurrences: []occurrenceProgress{{Steps: []stepProgress{{calmProgress: calmProgress{Started: true}}}}}})
	if err := h.takeOver(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, rows, JobRows{Job: jobOf("k", stepOf(3, 100)), Progress: started}); err != nil {
		t.Fatal(err)
	}
	h.core.SetWorkers(h.now, infos)
	var kept []EndedRun
	for i := range 3 {
		kept = append(kept, EndedRun{Number: int64(i + 1), Task: TaskName{StepName: StepName{Job: "k"}, Index: i}, Run: 1, Kind: EndDone})
	}
	for h.now.Sub(sentAt) < 30*time.Second {
		h.now = h.now.Add(100 * time.Millisecond)
		h.commit()
		orders := h.issue()
		for _, again := range orders.Starts {
			if again.Task.Job == "k" {
				t.Fatalf("%v is started again %v after the open start, and its end is not listed yet", again.Task, h.now.Sub(sentAt))
			}
			h.core.StartDone(h.now, again, OrderNoCapacity)
		}
		for _, poll := range orders.Polls {
			for len(kept) > 0 && kept[0].Number <= poll.AcknowledgedEnd {
				kept = kept[1:]
			}
			more := len(kept) > 1
			h.core.PollDone(h.now, poll, &Report{Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt, Ended: kept[:min(len(kept), 1)], Partial: more, More: more}, OrderAccepted)
		}
	}
	if len(kept) > 0 || h.core.jobs["k"].state != StateCompleted {
		t.Errorf("after 30 s the worker keeps %d ends, and the job is %v", len(kept), h.core.jobs["k"].state)
	}
}
