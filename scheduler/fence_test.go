package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// pollOf returns the poll of a worker that a tick has issued, or fails the test.
func pollOf(t *testing.T, orders Orders) PollOrder {
	t.Helper()
	if len(orders.Polls) != 1 {
		t.Fatalf("tick issued %d polls, want 1", len(orders.Polls))
	}
	return orders.Polls[0]
}

// reborn lists the worker as a new incarnation that started just now.
func (h *harness) reborn() time.Time {
	h.now = h.now.Add(time.Second)
	info := h.core.sortedWorkers[0].info
	info.BootedAt = h.now
	h.core.SetWorkers(h.now, []WorkerInfo{info})
	return h.now
}

// TestOrdersToAnEarlierLife guards against orders to an earlier incarnation of a
// worker that its next one executes late: they would acknowledge ends that
// nobody has read, and grant leases that nobody knows of.
func TestOrdersToAnEarlierLife(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	late := pollOf(t, h.core.Tick(h.now.Add(time.Second)))
	bootedAt := h.reborn()
	h.now = h.now.Add(time.Second)
	poll := pollOf(t, h.core.Tick(h.now))
	is.True(late.Fence < poll.Fence) // so the new incarnation rejects the late poll
	h.core.PollDone(h.now, late, nil, OrderFenced)
	is.True(!h.core.Fenced()) // the rejection of an order to an earlier incarnation shows no other owner
	h.core.PollDone(h.now, poll, &Report{Clock: 1000, BootedAt: bootedAt}, OrderAccepted)
	is.True(h.core.sortedWorkers[0].usable())
	h.now = h.now.Add(time.Second)
	h.core.PollDone(h.now, pollOf(t, h.core.Tick(h.now)), nil, OrderFenced)
	is.True(h.core.Fenced())
}

// TestReportToAnEarlierLifesPoll guards against a new incarnation that counts as
// safe because it responded to a poll that was meant for an earlier one: it has
// not seen a higher fence, so it still executes late orders.
func TestReportToAnEarlierLifesPoll(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.now = h.now.Add(time.Second)
	poll := pollOf(t, h.core.Tick(h.now))
	bootedAt := h.now
	h.core.PollDone(h.now, poll, &Report{Clock: 1, BootedAt: bootedAt}, OrderAccepted)
	is.True(!h.core.sortedWorkers[0].reported)
	next := pollOf(t, h.core.Tick(h.now))
	is.True(poll.Fence < next.Fence)
	is.Equal(next.AcknowledgedEnd, int64(0))
	h.core.PollDone(h.now, next, &Report{Clock: 2, BootedAt: bootedAt}, OrderAccepted)
	is.True(h.core.sortedWorkers[0].reported)
}

// TestFenceOfARelistedWorker guards against a worker that is removed and listed
// again, whose orders would carry a fence that its current incarnation rejects,
// or the same as those to an earlier one.
func TestFenceOfARelistedWorker(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	info := h.core.sortedWorkers[0].info
	h.now = h.now.Add(time.Second)
	before := pollOf(t, h.core.Tick(h.now))
	h.core.PollDone(h.now, before, &Report{Clock: 1000, BootedAt: info.BootedAt}, OrderAccepted)
	h.now = h.now.Add(time.Minute)
	h.core.SetWorkers(h.now, nil)
	is.Equal(len(h.core.workers), 0)
	h.core.SetWorkers(h.now, []WorkerInfo{info})
	is.True(pollOf(t, h.core.Tick(h.now)).Fence > before.Fence)
}
