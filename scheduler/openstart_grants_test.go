package scheduler

import (
	"testing"
	"time"
)

// How long an open start may run: until the lease that later polls grant.

// TestLaterGrantExtendsAnOpenStart guards against a task that starts again while a late poll has extended the
// lease of the life that has its open start.
func TestLaterGrantExtendsAnOpenStart(t *testing.T) {
	h := newHarness(2)
	start := h.unanswered(t)
	sentAt := h.now
	h.core.StartDone(h.now.Add(700*time.Millisecond), start, OrderUnknown)
	h.now = h.now.Add(700 * time.Millisecond)
	// The worker answers until 9.9 s, and is lost from then on. Its last poll is late.
	var lastGrant time.Time
	for h.now.Sub(sentAt) < 9900*time.Millisecond {
		h.now = h.now.Add(100 * time.Millisecond)
		h.commit()
		orders := h.issue()
		for _, poll := range orders.Polls {
			if poll.Worker.HostID == start.Worker.HostID && poll.Deadline > 0 {
				lastGrant = h.now
			}
			h.core.PollDone(h.now, poll, &Report{Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt}, OrderAccepted)
		}
		if len(h.besidesRepeats(start, orders.Starts)) > 0 {
			t.Fatalf("started again %v after the open start", h.now.Sub(sentAt))
		}
	}
	// The last poll before the loss; it has no answer.
	h.now = h.now.Add(100 * time.Millisecond)
	h.commit()
	for _, poll := range h.issue().Polls {
		if poll.Worker.HostID == start.Worker.HostID && poll.Deadline > 0 {
			lastGrant = h.now
		}
		if poll.Worker.HostID == start.Worker.HostID {
			h.core.PollDone(h.now, poll, nil, OrderUnknown)
		} else {
			h.core.PollDone(h.now, poll, &Report{Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt}, OrderAccepted)
		}
	}
	t.Logf("last grant %v after the start", lastGrant.Sub(sentAt))
	// The start is executed by the next life at 12 s (lease to 22.2 s by its slow clock), the last
	// poll 12 s after it was sent, which is before that, and extends the lease by 10 s of that clock.
	latePoll := lastGrant.Add(12 * time.Second)
	if !latePoll.Before(sentAt.Add(12*time.Second + 10204*time.Millisecond)) {
		t.Fatal("the late poll finds no run")
	}
	leaseEnd := latePoll.Add(10204 * time.Millisecond)
	for h.now.Before(leaseEnd) {
		if starts := h.advanceSilent(start.Worker, 100*time.Millisecond); len(starts) > 0 {
			t.Fatalf("started again on another worker %v after the first start, whose run may go on until %v", h.now.Sub(sentAt), leaseEnd.Sub(sentAt))
		}
	}
}

// TestPartialReportsExtendAnOpenStart guards against an open start that closes by time although the worker is
// granted leases all the while, and its reports may lack the run.
func TestPartialReportsExtendAnOpenStart(t *testing.T) {
	h := newHarness(2)
	start := h.unanswered(t)
	sentAt := h.now
	h.now = h.now.Add(700 * time.Millisecond)
	h.core.StartDone(h.now, start, OrderUnknown)
	h.advanceAnswered(400 * time.Millisecond)
	if len(h.core.workers[start.Worker.HostID].runs) != 0 {
		t.Fatal("not released")
	}
	granted := false
	for h.now.Sub(sentAt) < 60*time.Second {
		h.now = h.now.Add(100 * time.Millisecond)
		h.commit()
		orders := h.issue()
		for _, poll := range orders.Polls {
			partial := poll.Worker.HostID == start.Worker.HostID
			granted = granted || partial && poll.Deadline > 0
			h.core.PollDone(h.now, poll, &Report{Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt, Partial: partial}, OrderAccepted)
		}
		if len(h.besidesRepeats(start, orders.Starts)) > 0 {
			t.Fatalf("started again after %v, while the worker's lease is renewed (%v) and its reports lack a run", h.now.Sub(sentAt), granted)
		}
	}
}

// TestSuccessorIgnoresLaterGrants guards against a successor that closes an open start by time although its
// predecessor has granted leases to the worker since.
func TestSuccessorIgnoresLaterGrants(t *testing.T) {
	h := newHarness(2)
	start := h.unanswered(t)
	sentAt := h.now
	h.now = h.now.Add(700 * time.Millisecond)
	h.core.StartDone(h.now, start, OrderUnknown)
	for h.now.Sub(sentAt) < 10*time.Second { // the worker answers, and is granted leases
		if len(h.besidesRepeats(start, h.advanceAnswered(100*time.Millisecond))) > 0 {
			t.Fatal("started")
		}
	}
	lastGrant := h.core.workers[start.Worker.HostID].grantedAt
	rows := JobRows{Job: jobOf("j", stepOf(1, 8000)), Progress: h.core.jobs["j"].storedProgress.value}
	other := h.core.sortedWorkers[1].info
	born := h.core.sortedWorkers[0].bootedAt
	h.restoreLost(Options{Epoch: 2, PreviousOwnerTerm: time.Second, PreviousLeaseTerm: DefaultLeaseTerm, PreviousCommitAt: h.now}, born)
	if err := h.core.Recover(rows); err != nil {
		t.Fatal(err)
	}
	h.core.SetWorkers(h.now, []WorkerInfo{other})
	if len(h.core.openTasks) != 1 {
		t.Fatal("no open start")
	}
	// Executed at 12 s by a next life; extended by the last poll, 12 s after that was sent.
	leaseEnd := lastGrant.Add(12*time.Second + 10204*time.Millisecond)
	for h.now.Before(leaseEnd) {
		if starts := h.advanceSilent(start.Worker, 100*time.Millisecond); len(starts) > 0 {
			t.Fatalf("the successor starts the task again %v after the first start, whose run may go on until %v", h.now.Sub(sentAt), leaseEnd.Sub(sentAt))
		}
	}
}
