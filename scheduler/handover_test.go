package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// ownerSeries are owners that are lost one after another, each with a clock of its own. All of
// them inherit the worker w000, which answers none of them.
type ownerSeries struct {
	h     *harness
	epoch int64
	core  *Core
	// clock is what the present owner's clock shows beyond that of the harness.
	clock time.Duration
	born  time.Time
	// committedAt is when the last commit was observed, row what it has handed on.
	committedAt time.Time
	row         *HandoverRow
}

// newOwnerSeries returns a series whose first owner has granted leases until now, and handed
// on what it knows.
func newOwnerSeries(t *testing.T) *ownerSeries {
	h := newHarness(0)
	s := &ownerSeries{h: h, epoch: 1, born: h.now.Add(-time.Minute), core: New(Options{Epoch: 1}, h.now)}
	s.commit(t)
	return s
}

// now returns what the present owner's clock shows.
func (s *ownerSeries) now() time.Time { return s.h.now.Add(s.clock) }

// next lets the next owner begin, by another clock, and ask the worker.
func (s *ownerSeries) next(t *testing.T, clock time.Duration) {
	t.Helper()
	s.epoch++
	s.clock = clock
	s.core = New(Options{Epoch: s.epoch, PreviousOwnerTerm: time.Second, PreviousLeaseTerm: DefaultLeaseTerm, PreviousCommitAt: s.committedAt.Add(clock)}, s.now())
	s.core.Renewed(s.now())
	s.core.RestoreLeasedWorkers(LeasedWorkersRow{Workers: []LeasedWorker{{HostID: "w000", Address: s.h.address(0)}}})
	s.core.RestoreBirths(BirthsRow{Births: []WorkerBirth{{HostID: "w000", BornNanos: s.born.UnixNano()}}})
	if s.row != nil {
		s.core.RestoreHandover(*s.row)
	}
	s.ask(t)
}

// ask lets the owner poll the worker, which doesn't answer.
func (s *ownerSeries) ask(t *testing.T) {
	t.Helper()
	s.core.PollDone(s.now(), pollOf(t, s.core.Tick(s.now())), nil, OrderUnknown)
}

// commit commits the row for the successor, which observes that 30 ms later.
func (s *ownerSeries) commit(t *testing.T) {
	t.Helper()
	batch := s.handOver(t)
	s.h.now = s.h.now.Add(30 * time.Millisecond)
	s.committedAt = s.h.now
	s.core.Committed(s.now(), batch)
}

// handOver takes a batch with the row for the successor.
func (s *ownerSeries) handOver(t *testing.T) *Batch {
	t.Helper()
	batch := s.core.TakeBatch(40)
	s.core.HandOver(batch)
	s.row = &HandoverRow{}
	for _, write := range batch.Writes {
		if write.Key == HandoverKey {
			if err := DecodeRow(write.Value, s.row); err != nil {
				t.Fatal(err)
			}
		}
	}
	return batch
}

// reconciledAfter returns how long after a time the owner has no unknown runs any more.
func (s *ownerSeries) reconciledAfter(since time.Time) time.Duration {
	for !s.core.Reconciled() {
		s.h.now = s.h.now.Add(10 * time.Millisecond)
		s.core.Tick(s.now())
	}
	return s.h.now.Sub(since)
}

// TestWaitForASilentWorkerBeginsAnewWithEachOwner guards against a wait for the leases of a worker that
// counts from the last commit of an owner which the worker has never answered.
func TestWaitForASilentWorkerBeginsAnewWithEachOwner(t *testing.T) {
	s := newOwnerSeries(t)
	granted := s.committedAt
	for _, clock := range []time.Duration{3 * time.Second, -4 * time.Second, 0, 2 * time.Second} {
		s.h.now = s.h.now.Add(1300 * time.Millisecond)
		s.next(t, clock)
		s.commit(t)
	}
	waited := s.reconciledAfter(granted)
	if earliest := DefaultLeaseTerm * 100 / 98; waited < earliest {
		t.Errorf("unknown runs are waited for until %v after the last commit of the owner that granted leases, which may last for %v", waited, earliest)
	}
	if latest := lostTaskBound + 4*100*time.Millisecond; waited > latest {
		t.Errorf("unknown runs are waited for until %v after the last commit of the owner that granted leases, want at most %v", waited, latest)
	}
}

// TestLeaseOfAWorkerInTheRowForTheSuccessor guards against a lease or a task for a worker of which a
// successor would read that this owner has granted it none.
func TestLeaseOfAWorkerInTheRowForTheSuccessor(t *testing.T) {
	is := is.New(t)
	s := newOwnerSeries(t)
	s.next(t, 0)
	batch := s.handOver(t)
	is.Equal(len(s.row.Silent), 1)
	s.core.SetWorkers(s.now(), []WorkerInfo{{HostID: "w000", Service: "service", Total: workerTotal, BootedAt: s.born, Address: s.h.address(0)}})
	w := s.core.workers["w000"]
	answer := func() Orders {
		s.h.now = s.h.now.Add(pollRetryInterval)
		s.core.Renewed(s.now())
		orders := s.core.Tick(s.now())
		for _, poll := range orders.Polls {
			s.core.PollDone(s.now(), poll, &Report{Clock: WorkerTime(s.now().Sub(s.born).Milliseconds()), BootedAt: s.born}, OrderAccepted)
		}
		return orders
	}
	for _, poll := range answer().Polls {
		is.Equal(poll.Deadline, WorkerTime(0))
	}
	is.True(w.reported)
	for _, poll := range answer().Polls {
		is.Equal(poll.Deadline, WorkerTime(0))
	}
	is.True(!w.usable())
	is.True(s.core.HandoverOutdated())

	// The commit that was under way still has the worker.
	s.core.Committed(s.now(), batch)
	for _, poll := range answer().Polls {
		is.Equal(poll.Deadline, WorkerTime(0))
	}
	is.True(!w.usable())
	s.commit(t)
	is.Equal(len(s.row.Silent), 0)
	granted := false
	for _, poll := range answer().Polls {
		granted = granted || poll.Deadline > 0
	}
	is.True(granted)
}

// TestHandedOnAlthoughLeasesWereGranted guards against a row for the successor with a worker to which
// its owner has granted leases, or of which the successor knows another life or predecessor.
func TestHandedOnAlthoughLeasesWereGranted(t *testing.T) {
	entry := func(s *ownerSeries, born time.Time) []WorkerInfo {
		return []WorkerInfo{{HostID: "w000", Service: "service", Total: workerTotal, BootedAt: born, Address: s.h.address(0)}}
	}
	tests := map[string]func(*testing.T, *ownerSeries){
		"the worker has answered and fallen silent": func(t *testing.T, s *ownerSeries) {
			s.h.now = s.h.now.Add(pollRetryInterval)
			s.core.SetWorkers(s.now(), entry(s, s.born))
			poll := pollOf(t, s.core.Tick(s.now()))
			s.core.PollDone(s.now(), poll, &Report{Clock: 1000, BootedAt: s.born}, OrderAccepted)
			s.h.now = s.h.now.Add(pollRetryInterval)
			s.ask(t)
			s.commit(t)
			s.next(t, 0)
		},
		"the worker has answered, and another life of it once": func(t *testing.T, s *ownerSeries) {
			for _, born := range []time.Time{s.born, s.born.Add(time.Second)} {
				s.h.now = s.h.now.Add(pollRetryInterval)
				poll := pollOf(t, s.core.Tick(s.now()))
				s.core.PollDone(s.now(), poll, &Report{Clock: 1000, BootedAt: born}, OrderAccepted)
			}
			s.h.now = s.h.now.Add(6 * time.Second)
			s.ask(t)
			s.commit(t)
			s.next(t, 0)
		},
		"an owner in between has written no row": func(t *testing.T, s *ownerSeries) {
			s.commit(t)
			row := s.row
			s.next(t, 0)
			s.committedAt = s.h.now
			s.row = row
			s.next(t, 0)
		},
		"another life is listed": func(t *testing.T, s *ownerSeries) {
			s.commit(t)
			s.next(t, 0)
			s.core.SetWorkers(s.now(), entry(s, s.born.Add(time.Second)))
		},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			s := newOwnerSeries(t)
			s.h.now = s.h.now.Add(5 * time.Second)
			s.next(t, 0)
			play(t, s)
			if waited, earliest := s.reconciledAfter(s.committedAt), DefaultLeaseTerm*100/98; waited < earliest {
				t.Errorf("unknown runs are waited for until %v after the last commit, want at least %v", waited, earliest)
			}
		})
	}
}

// TestTimeOfAnOpenStartByAnotherClock guards against an open start that ends before it can act no more
// as its owner's clock was behind, or that lasts 5 s longer with the next owners as it may have been.
func TestTimeOfAnOpenStartByAnotherClock(t *testing.T) {
	for _, clocks := range [][]time.Duration{{0, 0, 0}, {-3 * time.Second, 0, 1500 * time.Millisecond}, {3 * time.Second, -time.Second, 0}, {0, 3 * time.Second, -time.Second}} {
		is := is.New(t)
		s := newOwnerSeries(t)
		s.next(t, clocks[0])
		run := s.core.firstRun()
		end := s.h.now.Add(maxOrderDelay)
		open := openStart{Run: run, Worker: "w000", Until: s.now().Add(maxOrderDelay)}
		s.commit(t)
		for _, clock := range clocks[1:] {
			s.h.now = s.h.now.Add(time.Second)
			s.next(t, clock)
			s.commit(t)
			until := s.core.latestExecution(&open).Add(-clock)
			is.True(!until.Before(end))
			// A clock that was ahead can't be told from a row that was seen late.
			ahead := max(0, clocks[0]-clock)
			is.True(until.Before(end.Add(ahead + 200*time.Millisecond)))
		}
	}
}
