package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestListedBirthEndsAReportingLife guards against an entry of the list with a later birth
// than the worker's own, as that of a former life may have, that ends what the worker runs.
func TestListedBirthEndsAReportingLife(t *testing.T) {
	is := is.New(t)
	c := newBirthCell(t)
	later := c.born.Add(2 * time.Second)
	for range 3 {
		c.list(later)
		for range 35 {
			c.step(&Report{Clock: 1, BootedAt: c.born, Running: c.running()}) // fails if the task starts again
		}
	}
	is.True(c.core.workers["w1"].bootedAt.Equal(c.born))
	is.True(!c.core.workers["w1"].usable()) // the entry may be that of the next life
	is.Equal(c.core.Stats().Lapsed, int64(0))
	is.Equal(c.core.Stats().Crashes, int64(0))
	c.list(c.born)
	is.True(c.core.workers["w1"].usable())
}

// TestDoubtedEntryDoublesPolls guards against a worker that is polled twice at a time for
// good, as its entry has had it asked while a poll was waiting.
func TestDoubtedEntryDoublesPolls(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.now = h.now.Add(time.Second)
	waiting := pollOf(t, h.issue())
	is.True(waiting.LongPoll)
	info := h.core.sortedWorkers[0].info
	info.BootedAt = info.BootedAt.Add(-time.Second)
	h.now = h.now.Add(100 * time.Millisecond)
	h.core.SetWorkers(h.now, []WorkerInfo{info})
	is.Equal(len(h.issue().Polls), 0)
	h.core.PollDone(h.now, waiting, h.reportOf(waiting.Worker), OrderAccepted)
	h.now = h.now.Add(100 * time.Millisecond)
	asked := pollOf(t, h.issue())
	is.True(!asked.LongPoll) // the entry is newer than the one before
	h.core.PollDone(h.now, asked, h.reportOf(asked.Worker), OrderAccepted)
	h.now = h.now.Add(100 * time.Millisecond)
	is.True(pollOf(t, h.issue()).LongPoll)
}

// movingHarness is a core of which the only worker runs a task.
func movingHarness(t *testing.T) (*harness, StartOrder) {
	t.Helper()
	h, starts := runningHarness(t, 1, stepOf(1, 8000))
	h.advance(4 * time.Second)
	return h, starts[0]
}

// listMoved lists the worker at the address of a number, with another birth, beside an idle
// worker.
func (h *harness) listMoved(address byte, born time.Time) {
	info := WorkerInfo{HostID: "w000", Service: "service", Total: workerTotal, BootedAt: born, Address: h.address(address)}
	other := WorkerInfo{HostID: "w001", Service: "service", Total: workerTotal, BootedAt: h.core.tookOverAt, Address: h.address(9)}
	h.core.SetWorkers(h.now, []WorkerInfo{info, other})
}

// tickAt lets time pass. Polls of the worker at the given address get the report, those at
// another one the given result. It returns the starts.
func (h *harness) tickAt(address byte, report *Report, elsewhere OrderResult) []StartOrder {
	h.now = h.now.Add(100 * time.Millisecond)
	h.commit()
	orders := h.issue()
	for _, poll := range orders.Polls {
		switch {
		case poll.Worker.HostID != "w000":
			h.core.PollDone(h.now, poll, h.reportOf(poll.Worker), OrderAccepted)
		case poll.Worker.Address != h.address(address):
			h.core.PollDone(h.now, poll, nil, elsewhere)
		case report == nil:
			h.core.PollDone(h.now, poll, nil, OrderUnknown)
		default:
			h.core.PollDone(h.now, poll, report, OrderAccepted)
		}
	}
	for _, start := range orders.Starts {
		h.running = append(h.running, start)
		h.core.StartAccepted(h.now, start, h.clock(start.Worker))
	}
	return orders.Starts
}

// reportOf returns the report of a worker on which its tasks run on.
func (h *harness) reportOf(w WorkerRef) *Report {
	report := &Report{Clock: h.clock(w), BootedAt: w.BootedAt}
	for _, start := range h.running {
		if start.Worker.HostID == w.HostID {
			report.Running = append(report.Running, h.report(start))
		}
	}
	return report
}

// TestMovedWorkerWithAnEarlierBirthIsNotHeard guards against a worker that is lost for good
// as its next life has an earlier birth and another address.
func TestMovedWorkerWithAnEarlierBirthIsNotHeard(t *testing.T) {
	for _, elsewhere := range []OrderResult{OrderUnknown, OrderUnsent, OrderOtherIncarnation} {
		is := is.New(t)
		h, _ := movingHarness(t)
		w := h.core.workers["w000"]
		born := w.bootedAt.Add(-2 * time.Second)
		for range 30 {
			h.listMoved(1, born)
			h.tickAt(1, &Report{Clock: 1, BootedAt: born}, elsewhere)
		}
		is.True(w.bootedAt.Equal(born))
		is.Equal(w.info.Address, h.address(1))
		is.True(w.usable())
		is.True(h.core.Stats().Starts > 1) // the task runs again
	}
}

// TestEndedAtAnOldAddressEndsAReportingLife guards against an entry with the address of a
// former life, at which another host ID answers, that ends what the worker runs at its own.
func TestEndedAtAnOldAddressEndsAReportingLife(t *testing.T) {
	for _, later := range []time.Duration{-2 * time.Second, 2 * time.Second} {
		is := is.New(t)
		h, start := movingHarness(t)
		w := h.core.workers["w000"]
		silentAt := h.now
		for h.now.Sub(silentAt) < 7*time.Second {
			h.listMoved(1, w.bootedAt.Add(later))
			is.Equal(len(h.tickAt(0, nil, OrderOtherIncarnation)), 0) // the worker is cut off, and its lease not over
		}
		is.True(w.runs[runKey{start.Task, start.Run}] != nil)
		is.Equal(h.core.Stats().Crashes, int64(0))
		for h.now.Sub(silentAt) < 10*time.Second {
			h.tickAt(0, nil, OrderOtherIncarnation)
		}
		is.Equal(h.core.Stats().Starts, int64(2)) // once it is, the task starts elsewhere
	}
}

// TestEndedWhereNoLeaseIs guards against a new owner that takes the leases of a worker for
// over, as another host ID answers at an address that isn't the one in the row of leased
// workers.
func TestEndedWhereNoLeaseIs(t *testing.T) {
	for _, later := range []time.Duration{-time.Second, time.Second} {
		is := is.New(t)
		h := afterTakeover(t)
		boot := h.core.workers["w000"].bootedAt
		for range 10 {
			h.listMoved(1, boot.Add(later))
			is.Equal(len(h.tickAt(0, nil, OrderOtherIncarnation)), 0)
			is.True(!h.core.Reconciled())
		}
	}
}

// TestWorkerHeardAtTwoAddresses guards against a worker that gets no tasks for good, as it
// has answered at the row's address of it, and not at first at that of its entry.
func TestWorkerHeardAtTwoAddresses(t *testing.T) {
	is := is.New(t)
	h := afterTakeover(t)
	born := h.core.workers["w000"].bootedAt
	report := &Report{Clock: 1, BootedAt: born}
	h.listMoved(1, born)
	for range 10 {
		h.tickAt(0, report, OrderUnknown)
	}
	is.Equal(h.core.workers["w000"].home, h.address(0))
	for range 10 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.commit()
		for _, poll := range h.issue().Polls {
			if poll.Worker.HostID == "w000" {
				h.core.PollDone(h.now, poll, report, OrderAccepted)
			}
		}
	}
	is.Equal(h.core.workers["w000"].home, h.address(1))
	is.True(h.core.workers["w000"].usable())
}

// TestRowReadAfterTheList guards against a new owner that takes the leases of a worker for
// over by what it hears where the worker is listed, as it has read the list before the rows.
func TestRowReadAfterTheList(t *testing.T) {
	is := is.New(t)
	h := newHarness(0)
	h.core = New(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, h.now)
	h.listMoved(1, h.now.Add(-time.Minute))
	h.core.RestoreLeasedWorkers(LeasedWorkersRow{Workers: []LeasedWorker{{HostID: "w000", Address: h.address(0)}}})
	for range 10 {
		h.tickAt(0, nil, OrderOtherIncarnation)
		is.True(!h.core.Reconciled())
	}
}

// TestRowLeavesTheAddressOfALease guards against a row of leased workers from which a
// successor asks for a worker at an address of the list at which it has never answered.
func TestRowLeavesTheAddressOfALease(t *testing.T) {
	for _, inherited := range []bool{false, true} {
		is := is.New(t)
		h, _ := movingHarness(t)
		if inherited {
			h = afterTakeover(t)
		}
		rows := make(map[string][]byte)
		boot := h.core.workers["w000"].bootedAt
		for range 10 {
			h.listMoved(1, boot.Add(2*time.Second))
			h.tickAt(0, nil, OrderUnknown)
			h.core.leasedWorkersDirty = true
			h.keepRows(rows)
		}
		var row LeasedWorkersRow
		is.NoErr(DecodeRow(rows[LeasedWorkersKey], &row))
		is.Equal(row.Workers[0].Address, h.address(0))
	}
}

// TestRunAtAnEarlierAddressOfTheSameLife guards against a task that starts again while it runs: its
// worker has answered at another address since its start, in the same life, and another host
// ID answers there now. That proves nothing of the run at the first address.
func TestRunAtAnEarlierAddressOfTheSameLife(t *testing.T) {
	is := is.New(t)
	h, start := movingHarness(t)
	w := h.core.workers["w000"]
	h.listMoved(1, w.bootedAt)
	report := h.reportOf(start.Worker)
	for range 20 {
		h.tickAt(1, report, OrderUnknown)
	}
	is.Equal(w.address(), h.address(1))
	endedAt := h.now
	h.core.endIncarnation(w, w.ref())
	for h.now.Sub(endedAt) < 7*time.Second { // a lease was granted until then
		is.Equal(len(h.tickAt(1, nil, OrderUnknown)), 0)
	}
	is.Equal(h.core.Stats().Crashes, int64(0))
	started := 0
	for range 40 {
		started += len(h.tickAt(1, nil, OrderUnknown))
	}
	is.Equal(started, 1)
}
