package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// afterTakeover returns a harness of a new owner with one job whose step may have
// runs, on the worker w000 that has not reported; w001 has reported and is idle.
func afterTakeover(t *testing.T) *harness {
	t.Helper()
	is := is.New(t)
	h := newHarness(1)
	stored := EncodeRow(progressRow{State: StateRunning, NextOccurrence: 1, Occurrences: []occurrenceProgress{{Steps: []stepProgress{{calmProgress: calmProgress{Started: true}}}}}})
	is.NoErr(h.takeOver(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, JobRows{Job: jobOf("j", stepOf(1, 1000)), Progress: stored}))
	h.listAt(0)
	return h
}

// listAt gives the owner a list of w000, at the address of the given number, and of
// w001.
func (h *harness) listAt(address byte) {
	boot := h.core.workers["w000"].bootedAt.Add(time.Duration(address) * time.Second)
	h.core.SetWorkers(h.now, []WorkerInfo{
		{HostID: "w000", Service: "service", Total: workerTotal, BootedAt: boot, Address: h.address(address)},
		{HostID: "w001", Service: "service", Total: workerTotal, BootedAt: h.now, Address: h.address(9)},
	})
}

// pollsOf ticks the core and returns the polls of w000. Those of w001 are
// answered; starts are counted.
func (h *harness) pollsOf(starts *int) []PollOrder {
	h.now = h.now.Add(100 * time.Millisecond)
	h.commit()
	orders := h.issue()
	*starts += len(orders.Starts)
	var polls []PollOrder
	for _, poll := range orders.Polls {
		if poll.Worker.HostID == "w000" {
			polls = append(polls, poll)
			continue
		}
		h.core.PollDone(h.now, poll, &Report{Clock: 1, BootedAt: poll.Worker.BootedAt}, OrderAccepted)
	}
	return polls
}

// TestWorkerKnownToHaveEndedIsWaitedFor guards against a new owner that waits for
// the lapse of a worker's lease, though another incarnation has responded at the
// worker's address.
func TestWorkerKnownToHaveEndedIsWaitedFor(t *testing.T) {
	is := is.New(t)
	h := afterTakeover(t)
	starts := 0
	polls := h.pollsOf(&starts)
	is.Equal(len(polls), 1)
	is.True(!h.core.Reconciled())
	h.core.PollDone(h.now, polls[0], nil, OrderOtherIncarnation)
	is.True(h.core.Reconciled())
	for range 3 {
		h.pollsOf(&starts)
	}
	is.Equal(starts, 1)
}

// TestEndedElsewhereProvesNothing guards against the start of a task on the proof
// that a worker has left an address at which it is not listed any more.
func TestEndedElsewhereProvesNothing(t *testing.T) {
	is := is.New(t)
	h := afterTakeover(t)
	starts := 0
	polls := h.pollsOf(&starts)
	h.core.PollDone(h.now, polls[0], nil, OrderOtherIncarnation)
	h.listAt(1)
	is.True(!h.core.Reconciled()) // the predecessor may have started tasks at the new address
	for range 3 {
		h.pollsOf(&starts)
	}
	is.Equal(starts, 0)
}

// listReborn lists w000 as a new incarnation at the address of the given number, where it
// tells its birth.
func (h *harness) listReborn(address byte) {
	h.now = h.now.Add(time.Second)
	info := WorkerInfo{HostID: "w000", Service: "service", Total: workerTotal, BootedAt: h.now, Address: h.address(address)}
	h.core.SetWorkers(h.now, []WorkerInfo{info})
	h.tellBirth(info)
}

// TestStartBeforeItsAddressIsStored guards against a row of leased workers from
// which a successor asks for a worker at an address that it has left, while tasks
// run at its new one.
func TestStartBeforeItsAddressIsStored(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.listReborn(1)
	is.True(!h.core.workers["w000"].leaseRecorded)
	batch := h.core.TakeBatch(1000)
	is.Equal(batch.Writes[0].Key, LeasedWorkersKey)
	var row LeasedWorkersRow
	is.NoErr(DecodeRow(batch.Writes[0].Value, &row))
	is.Equal(row.Workers[0].Address, h.address(1))
	h.listReborn(2)
	h.core.Committed(h.now, batch)
	is.True(!h.core.workers["w000"].leaseRecorded) // the row has an address that the worker has left
	h.commit()
	is.True(h.core.workers["w000"].leaseRecorded)
}
