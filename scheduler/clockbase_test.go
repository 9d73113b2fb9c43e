package scheduler

import (
	"testing"
	"time"

	"kumquatstall/requester"
)

// nextLifeClock is what the clock of a worker's next life shows soon after its birth, far ahead of
// that of its former life.
const nextLifeClock = WorkerTime(2 * time.Hour / time.Millisecond)

// TestStartAcceptedByALifeWhoseClockIsAhead guards against a task that starts again while it runs:
// the next life of a worker, of which the owner doesn't know yet, has accepted a start that was
// meant for the former one, and its clock hides that, as it doesn't begin from 0.
func TestStartAcceptedByALifeWhoseClockIsAhead(t *testing.T) {
	h := newHarness(2)
	start := h.unanswered(t)
	h.now = h.now.Add(300 * time.Millisecond)
	h.core.StartAccepted(h.now, start, nextLifeClock)
	h.listNextLife(start.Worker.HostID)
	listedAt := h.now
	for h.now.Sub(listedAt) < 12*time.Second {
		if starts := h.advanceSilent(start.Worker, 100*time.Millisecond); len(starts) > 0 {
			t.Fatalf("the task starts again %v after a life of its worker was listed that runs it, and that is cut off", h.now.Sub(listedAt))
		}
	}
}

// TestLeaseOfALifeWhoseClockIsAhead guards against the same where no list shows the next life, as it
// is cut off: its lease ends later than that of the former one.
func TestLeaseOfALifeWhoseClockIsAhead(t *testing.T) {
	h := newHarness(2)
	start := h.unanswered(t)
	h.now = h.now.Add(300 * time.Millisecond)
	h.core.StartAccepted(h.now, start, nextLifeClock)
	leaseEnd := h.now.Add(10 * time.Second)
	for h.now.Before(leaseEnd) {
		if starts := h.advanceSilent(start.Worker, 100*time.Millisecond); len(starts) > 0 {
			t.Fatalf("the task starts again %v before the lease ends under which the next life runs it", leaseEnd.Sub(h.now))
		}
	}
}

// listNextLife has the list show the next life of a worker.
func (h *harness) listNextLife(id requester.HostID) {
	var infos []WorkerInfo
	for _, w := range h.core.sortedWorkers {
		info := w.info
		if info.HostID == id {
			info.BootedAt = h.now.Add(-50 * time.Millisecond)
		}
		infos = append(infos, info)
	}
	h.core.SetWorkers(h.now, infos)
}
