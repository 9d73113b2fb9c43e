package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// boundedPredecessor is a previous owner whose last commit was observed a second
// before the takeover.
func (h *harness) boundedPredecessor() Options {
	return Options{Epoch: 2, PreviousOwnerTerm: time.Second, PreviousLeaseTerm: DefaultLeaseTerm, PreviousCommitAt: h.now.Add(-time.Second)}
}

// restoreLost replaces the core by one that knows of a worker which isn't listed, and
// of its incarnation.
func (h *harness) restoreLost(options Options, born time.Time) *worker {
	h.core = New(options, h.now)
	h.core.RestoreLeasedWorkers(LeasedWorkersRow{Workers: []LeasedWorker{{HostID: "w000", Address: h.address(0)}}})
	h.core.RestoreBirths(BirthsRow{Births: []WorkerBirth{{HostID: "w000", BornNanos: born.UnixNano()}}})
	return h.core.workers["w000"]
}

// TestLateGrant guards against an order, poll or start, that grants a lease beyond the
// term that began with the last commit: a successor counts from that commit.
func TestLateGrant(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	bornAt, renewedAt := h.now, h.now
	h.core.Renewed(renewedAt)
	limit := WorkerTime(renewedAt.Add(DefaultLeaseTerm).Sub(bornAt).Milliseconds())
	h.add("first", Policy{Stretch: 9}, stepOf(2, 100))
	h.advance(0)
	h.now = h.now.Add(3 * time.Second)
	for range 20 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.commit()
		orders := h.issue()
		for _, poll := range orders.Polls {
			is.True(poll.Deadline <= limit)
			h.core.PollDone(h.now, poll, &Report{Clock: WorkerTime(h.now.Sub(bornAt).Milliseconds()), BootedAt: poll.Worker.BootedAt}, OrderAccepted)
		}
		for _, start := range orders.Starts {
			is.True(start.Deadline <= limit)
		}
	}
	is.True(h.core.Stats().Starts > 0)
	is.True(h.core.Stats().Looks > 0)
}

// TestLeasesOfABoundedPredecessor guards against a wait for the longest lease although
// the predecessor granted none that ends later than its last commit and the term.
func TestLeasesOfABoundedPredecessor(t *testing.T) {
	is := is.New(t)
	h := newHarness(0)
	bornAt := h.now.Add(-time.Minute)
	w := h.restoreLost(h.boundedPredecessor(), bornAt)
	is.True(!w.leaseExpiry(h.core).Before(h.now.Add(-time.Second + DefaultLeaseTerm*100/98)))
	is.True(w.leaseExpiry(h.core).Before(h.now.Add(-time.Second + lostTaskBound)))
}

// TestLeasesThatMayBeLonger guards against the short wait where a lease may last longer:
// an owner of an earlier version was before, or another incarnation of the worker is
// known, which may have executed late orders to the earlier one.
func TestLeasesThatMayBeLonger(t *testing.T) {
	bornAt := time.Date(2026, 7, 10, 11, 0, 0, 0, time.UTC)
	info := func(h *harness, born time.Time) WorkerInfo {
		return WorkerInfo{HostID: "w000", Service: "service", Total: workerTotal, BootedAt: born, Address: h.address(0)}
	}
	tests := map[string]func(*harness) *worker{
		"the predecessor's leases are not bounded": func(h *harness) *worker {
			return h.restoreLost(Options{Epoch: 2, PreviousOwnerTerm: time.Second, PreviousCommitAt: h.now}, bornAt)
		},
		"no birth is known": func(h *harness) *worker {
			return h.restoreLost(h.boundedPredecessor(), time.Unix(0, 0))
		},
		"a later birth is listed": func(h *harness) *worker {
			w := h.restoreLost(h.boundedPredecessor(), bornAt)
			h.core.SetWorkers(h.now, []WorkerInfo{info(h, bornAt.Add(time.Second))})
			return w
		},
		"an earlier birth is listed": func(h *harness) *worker {
			w := h.restoreLost(h.boundedPredecessor(), bornAt)
			h.core.SetWorkers(h.now, []WorkerInfo{info(h, bornAt.Add(-time.Second))})
			return w
		},
		"an entry without a birth is listed": func(h *harness) *worker {
			w := h.restoreLost(h.boundedPredecessor(), bornAt)
			h.core.SetWorkers(h.now, []WorkerInfo{info(h, time.Time{})})
			return w
		},
		"another birth was listed before the rows were read": func(h *harness) *worker {
			h.core = New(h.boundedPredecessor(), h.now)
			h.core.SetWorkers(h.now, []WorkerInfo{info(h, bornAt.Add(time.Second))})
			h.core.RestoreLeasedWorkers(LeasedWorkersRow{Workers: []LeasedWorker{{HostID: "w000", Address: h.address(0)}}})
			h.core.RestoreBirths(BirthsRow{Births: []WorkerBirth{{HostID: "w000", BornNanos: bornAt.UnixNano()}}})
			return h.core.workers["w000"]
		},
		"another birth is reported to an order to the earlier one": func(h *harness) *worker {
			w := h.restoreLost(h.boundedPredecessor(), bornAt)
			h.core.observeOtherBirth(w, bornAt.Add(time.Second), shownByReport)
			return w
		},
	}
	for name, restore := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(0)
			w := restore(h)
			is.True(!w.leaseExpiry(h.core).Before(h.now.Add(time.Second + 10*time.Second*100/98)))
		})
	}
}

// TestBoundAfterAnEarlierVersion guards against an owner that says its leases and those
// before it are bounded while some of an earlier version, granted before the takeover,
// may last longer.
func TestBoundAfterAnEarlierVersion(t *testing.T) {
	is := is.New(t)
	h := newHarness(0)
	h.restoreLost(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, h.now)
	h.core.Renewed(h.now)
	is.True(!h.core.LeasesBounded())
	h.commit()
	h.core.Tick(h.now.Add(11 * time.Second)) // a lease of 10 s was granted up to a second after the takeover
	is.True(!h.core.LeasesBounded())
	h.core.Tick(h.now.Add(12 * time.Second))
	is.True(h.core.LeasesBounded())
}

// TestBoundBeforeBirthsAreStored guards against an owner that says its leases are
// bounded before its successor can know which incarnations have reported.
func TestBoundBeforeBirthsAreStored(t *testing.T) {
	is := is.New(t)
	h := newHarness(0)
	h.core = New(Options{Epoch: 1}, h.now)
	h.core.Renewed(h.now)
	is.True(!h.core.LeasesBounded())
	h.commit()
	is.True(h.core.LeasesBounded()) // there was no owner before
	h.core.SetWorkers(h.now, []WorkerInfo{{HostID: "w000", Service: "service", Total: workerTotal, BootedAt: h.now, Address: h.address(0)}})
	bornAt := h.now
	h.advance(0)
	var row BirthsRow
	births := func() []WorkerBirth {
		for _, write := range h.core.TakeBatch(1000).Writes {
			if write.Key == BirthsKey {
				is.NoErr(DecodeRow(write.Value, &row))
			}
		}
		return row.Births
	}
	is.Equal(len(births()), 0) // a lease from before its report may be longer than the bound
	h.now = h.now.Add(h.core.options.MaxLease - DefaultLeaseTerm + 100*time.Millisecond)
	h.issue()
	is.Equal(births(), []WorkerBirth{{HostID: "w000", BornNanos: bornAt.UnixNano()}})

	// The next incarnation, which has not reported, may execute orders to this one.
	h.core.SetWorkers(h.now, []WorkerInfo{{HostID: "w000", Service: "service", Total: workerTotal, BootedAt: h.now.Add(time.Second), Address: h.address(0)}})
	writes := h.core.TakeBatch(1000).Writes
	is.Equal(len(writes), 1)
	is.NoErr(DecodeRow(writes[0].Value, &row))
	is.Equal(len(row.Births), 0)
}

// TestBirthNotedUnderALongerLease guards against a row of births that lists a life at its
// first report, while an order that was meant for its former life may have granted it the
// longest lease: a successor would count the shorter one from the last commit.
func TestBirthNotedUnderALongerLease(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.core.Renewed(h.now)
	h.reborn()
	h.now = h.now.Add(time.Second)
	reportedAt := h.now
	poll := pollOf(t, h.issue())
	h.core.PollDone(h.now, poll, &Report{Clock: 1000, BootedAt: poll.Worker.BootedAt}, OrderAccepted)
	longest := reportedAt.Add(h.core.options.MaxLease * 100 / 98)
	listed := false
	for range 50 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.core.Renewed(h.now)
		h.issue()
		for _, birth := range h.core.birthsRow().Births {
			listed = true
			successor := New(Options{Epoch: 2, PreviousOwnerTerm: time.Second, PreviousLeaseTerm: DefaultLeaseTerm, PreviousCommitAt: h.now}, h.now)
			successor.RestoreLeasedWorkers(LeasedWorkersRow{Workers: []LeasedWorker{{HostID: birth.HostID, Address: h.address(0)}}})
			successor.RestoreBirths(BirthsRow{Births: []WorkerBirth{birth}})
			is.True(!successor.workers[birth.HostID].leaseExpiry(successor).Before(longest))
		}
		h.commit()
	}
	is.True(listed)              // in the end its birth is listed
	is.True(!h.core.birthsDirty) // and the row is written
	is.True(h.core.workers["w000"] != nil)
}

// TestGrantByAnOutdatedClock guards against a lease that ends later than the term after the
// last commit, as the owner takes the worker's clock, which is slow and of which it has heard
// nothing for a while, for exact.
func TestGrantByAnOutdatedClock(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.advanceSlow(20*time.Second, minClockRate, WorkerRef{}, true)
	h.now = h.now.Add(10 * time.Second) // the owner has stood still
	h.core.Renewed(h.now)
	poll := pollOf(t, h.issue())
	shows := WorkerTime(float64(h.clock(poll.Worker)) * minClockRate)
	is.True(poll.Deadline > 0)
	is.True(poll.Deadline <= shows+WorkerTime(DefaultLeaseTerm/time.Millisecond))
}
