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

// reborn lists the worker as a new incarnation that started just now, and tells its birth.
func (h *harness) reborn() time.Time {
	h.now = h.now.Add(time.Second)
	info := h.core.sortedWorkers[0].info
	info.BootedAt = h.now
	h.core.SetWorkers(h.now, []WorkerInfo{info})
	h.tellBirth(info)
	return h.now
}

// tellBirth lets a worker's next incarnation answer a poll that was meant for the one before.
func (h *harness) tellBirth(info WorkerInfo) {
	w := h.core.workers[info.HostID]
	to := WorkerRef{HostID: info.HostID, Address: info.Address, BootedAt: w.bootedAt}
	report := &Report{Clock: h.clock(WorkerRef{BootedAt: info.BootedAt}), BootedAt: info.BootedAt}
	h.core.PollDone(h.now, PollOrder{Worker: to, Fence: h.core.fence(w), SentAt: h.now}, report, OrderAccepted)
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
	poll := pollOf(t, h.issue())
	is.True(late.Fence < poll.Fence) // so the new incarnation rejects the late poll
	h.core.PollDone(h.now, late, nil, OrderFenced)
	is.True(!h.core.Fenced()) // the rejection of an order to an earlier incarnation shows no other owner
	h.core.PollDone(h.now, poll, &Report{Clock: 1000, BootedAt: bootedAt}, OrderAccepted)
	is.True(h.core.sortedWorkers[0].usable())
	h.now = h.now.Add(time.Second)
	h.core.PollDone(h.now, pollOf(t, h.issue()), nil, OrderFenced)
	is.True(h.core.Fenced())
}

// TestReportToAnEarlierLifesPoll guards against a new incarnation that counts as
// safe because it responded to a poll that was meant for an earlier one: it has
// not seen a higher fence, so it still executes late orders.
func TestReportToAnEarlierLifesPoll(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.now = h.now.Add(time.Second)
	poll := pollOf(t, h.issue())
	bootedAt := h.now
	h.core.PollDone(h.now, poll, &Report{Clock: 1, BootedAt: bootedAt}, OrderAccepted)
	is.True(!h.core.sortedWorkers[0].reported)
	next := pollOf(t, h.issue())
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
	before := pollOf(t, h.issue())
	h.core.PollDone(h.now, before, &Report{Clock: 1000, BootedAt: info.BootedAt}, OrderAccepted)
	h.now = h.now.Add(time.Minute)
	h.core.SetWorkers(h.now, nil)
	is.Equal(len(h.core.workers), 0)
	h.core.SetWorkers(h.now, []WorkerInfo{info})
	is.True(pollOf(t, h.issue()).Fence > before.Fence)
}

// unansweredStop starts a run without a response, and returns the start and the
// stop that a report without the run causes.
func unansweredStop(t *testing.T, h *harness) (StartOrder, StopOrder) {
	t.Helper()
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 8000))
	h.commit()
	h.now = h.now.Add(time.Second)
	orders := h.issue()
	if len(orders.Starts) != 1 {
		t.Fatalf("tick issued %d starts, want 1", len(orders.Starts))
	}
	start := orders.Starts[0]
	h.core.StartDone(h.now, start, OrderUnknown)
	h.core.PollDone(h.now, pollOf(t, orders), &Report{Clock: 1000, BootedAt: start.Worker.BootedAt}, OrderAccepted)
	stops := h.core.Tick(h.now.Add(50 * time.Millisecond)).Stops
	if len(stops) != 1 {
		t.Fatalf("tick issued %d stops, want 1", len(stops))
	}
	return start, stops[0]
}

// TestBarOfAnEarlierLife guards against a stop that an earlier incarnation of a
// worker has accepted, and which the next one knows nothing of: a late start
// can run there while the task starts elsewhere.
func TestBarOfAnEarlierLife(t *testing.T) {
	is := is.New(t)
	for _, late := range []bool{false, true} {
		h := newHarness(1)
		start, stop := unansweredStop(t, h)
		if !late {
			h.core.StopDone(h.now, stop, OrderAccepted)
		}
		bootedAt := h.reborn()
		w := h.core.sortedWorkers[0]
		if late {
			h.core.StopDone(h.now, stop, OrderAccepted)
		}
		is.Equal(len(w.runs), 1)
		is.True(w.runs[runKey{start.Task, start.Run}].barredAt.IsZero())
		// The new incarnation has executed the start by now.
		h.now = h.now.Add(time.Second)
		running := []RunningTask{{Task: start.Task, Run: start.Run}}
		h.core.PollDone(h.now, pollOf(t, h.issue()), &Report{Clock: 1000, BootedAt: bootedAt, Running: running}, OrderAccepted)
		is.Equal(len(w.runs), 1)
		is.Equal(len(h.issue().Starts), 0)
	}
}

// TestStartAcceptedByTheNextLife guards against a start that a worker's next
// incarnation has accepted before its birth is observed: that run goes on.
func TestStartAcceptedByTheNextLife(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 8000))
	starts := h.advance(0)
	is.Equal(len(starts), 1) // accepted, but not yet reported
	h.reborn()
	is.Equal(len(h.core.sortedWorkers[0].runs), 1)
	h.now = h.now.Add(time.Second)
	poll := pollOf(t, h.issue())
	h.core.PollDone(h.now, poll, &Report{Clock: 1000, BootedAt: poll.Worker.BootedAt}, OrderAccepted)
	is.Equal(len(h.core.sortedWorkers[0].runs), 0) // the new incarnation rejects the start from the poll on
}

// TestMisdirectedFromAnotherAddress guards against a late response from an
// address that the worker has left: that another incarnation responds there does
// not end the runs at the present address.
func TestMisdirectedFromAnotherAddress(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.now = h.now.Add(time.Second)
	poll := pollOf(t, h.issue())
	w := h.core.sortedWorkers[0]
	info := w.info
	info.Address, info.BootedAt = h.address(77), h.now
	h.core.SetWorkers(h.now, []WorkerInfo{info})
	h.tellBirth(info)
	h.settle()
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 8000))
	is.Equal(len(h.settle()), 1)
	h.now = h.now.Add(time.Second)
	h.core.PollDone(h.now, poll, nil, OrderOtherIncarnation)
	is.Equal(len(w.runs), 1)
	is.Equal(w.unanswered, 0)
	h.core.PollDone(h.now, pollOf(t, h.issue()), nil, OrderOtherIncarnation)
	is.Equal(len(w.runs), 0) // nothing of that incarnation is left at its address
}

// TestOlderListOfWorkers guards against a list that is older than what a worker
// has said of itself: the address of its earlier incarnation is not the present
// one's, and a response from there would end the present one's runs.
func TestOlderListOfWorkers(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	older := h.core.sortedWorkers[0].info
	h.now = h.now.Add(time.Second)
	newer := older
	newer.Address, newer.BootedAt = h.address(77), h.now
	h.core.SetWorkers(h.now, []WorkerInfo{newer})
	h.tellBirth(newer)
	h.core.SetWorkers(h.now, []WorkerInfo{older})
	is.Equal(h.core.sortedWorkers[0].ref(), WorkerRef{HostID: newer.HostID, Address: newer.Address, BootedAt: newer.BootedAt})
}

// TestOrderAfterALostResponse guards against an order that received no response
// and is executed after newer ones: a poll that the worker has answered since
// makes it reject the late one.
func TestOrderAfterALostResponse(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 8000))
	h.commit()
	h.now = h.now.Add(time.Second)
	orders := h.issue()
	is.Equal(len(orders.Starts), 1)
	start, before := orders.Starts[0], pollOf(t, orders)
	h.core.StartDone(h.now, start, OrderUnknown)
	h.core.PollDone(h.now, before, nil, OrderUnknown)
	h.now = h.now.Add(time.Second)
	poll := pollOf(t, h.issue())
	is.True(poll.Fence > start.Fence && poll.Fence > before.Fence)
	h.core.PollDone(h.now, poll, &Report{Clock: 2000, BootedAt: start.Worker.BootedAt}, OrderAccepted)
	is.Equal(h.core.Stats().Stops, int64(0))
	is.Equal(len(h.core.sortedWorkers[0].runs), 0) // the start is rejected from now on
}

// TestOvertakenOrder guards against an owner that takes the rejection of an
// order, overtaken by a newer one of its own, for that of another owner.
func TestOvertakenOrder(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 8000))
	h.commit()
	h.now = h.now.Add(time.Second)
	orders := h.issue()
	is.Equal(len(orders.Starts), 1)
	h.core.PollDone(h.now, pollOf(t, orders), nil, OrderUnknown)
	h.core.StartDone(h.now, orders.Starts[0], OrderFenced)
	is.True(!h.core.Fenced())
	is.Equal(len(h.core.sortedWorkers[0].runs), 0) // the worker did not execute it
}
