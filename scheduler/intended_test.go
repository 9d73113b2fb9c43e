package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// keepRows commits the changed rows, if there are any, and keeps them.
func (h *harness) keepRows(rows map[string][]byte) *Batch {
	batch := h.core.TakeBatch(1000)
	for _, write := range batch.Writes {
		rows[write.Key] = write.Value
		if write.Value == nil {
			delete(rows, write.Key)
		}
	}
	if !batch.Empty() {
		h.core.Committed(h.now, batch)
	}
	return batch
}

// intendOne adds a job with a step and has the starts of its tasks intended, and not sent.
func (h *harness) intendOne(t *testing.T, s Step) {
	t.Helper()
	h.advanceAnswered(20 * time.Second)
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, s)
	h.now = h.now.Add(10 * time.Millisecond)
	orders := h.core.Tick(h.now)
	h.answerPolls(orders, WorkerRef{})
	if h.core.countIntended() != s.Count || len(orders.Starts) != 0 {
		t.Fatalf("%d starts intended, want %d; %d sent, want 0", h.core.countIntended(), s.Count, len(orders.Starts))
	}
}

// accept has the workers accept the starts, which run on, and answer the polls.
func (h *harness) accept(orders Orders) {
	for _, start := range orders.Starts {
		h.running = append(h.running, start)
		h.core.StartAccepted(h.now, start, h.clock(start.Worker))
	}
	h.answer(orders, h.running)
}

// TestOwnerLostRightAfterAStart guards against a start whose owner is lost right after it has
// sent it: its successor knows nothing of it, and starts the task again.
func TestOwnerLostRightAfterAStart(t *testing.T) {
	for _, sent := range []bool{true, false} {
		is := is.New(t)
		h := newHarness(1)
		rows := make(map[string][]byte)
		h.intendOne(t, stepOf(1, 8000))
		h.keepRows(rows)
		sentAt := h.now
		first := StartOrder{Task: TaskName{StepName: StepName{Job: "j"}}, Run: 1, Worker: h.core.sortedWorkers[0].ref()}
		if sent {
			starts := h.core.Tick(h.now).Starts // it has no answer yet
			is.Equal(len(starts), 1)
			is.Equal(starts[0].Run, first.Run)
		}
		is.NoErr(h.takeOver(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, JobRows{Job: h.core.jobs["j"].spec, Progress: rows[ProgressKey("j")]}))
		is.NoErr(restoreIntended(h.core, rows))
		for h.now.Sub(sentAt) < 12*time.Second {
			is.Equal(len(h.besidesRepeats(first, h.advanceAnswered(100*time.Millisecond))), 0) // the worker may execute the first start
		}
		started := 0
		for range 50 {
			started += len(h.besidesRepeats(first, h.advanceAnswered(100*time.Millisecond)))
		}
		is.Equal(started, 1) // nothing of the first start can act any more
	}
}

// TestReportedRunOfALostOwner guards against a task that waits for an intended start although
// its worker reports the run, or has reported its end.
func TestReportedRunOfALostOwner(t *testing.T) {
	for _, ended := range []bool{false, true} {
		is := is.New(t)
		h := newHarness(1)
		rows := make(map[string][]byte)
		h.intendOne(t, stepOf(1, 8000))
		h.keepRows(rows)
		start := h.core.Tick(h.now).Starts[0]
		is.NoErr(h.takeOver(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, JobRows{Job: h.core.jobs["j"].spec, Progress: rows[ProgressKey("j")]}))
		is.NoErr(restoreIntended(h.core, rows))
		is.Equal(len(h.core.openTasks), 1)
		report := &Report{Running: []RunningTask{{Task: start.Task, Run: start.Run}}}
		if ended {
			report = &Report{Ended: []EndedRun{{Number: 1, Task: start.Task, Run: start.Run, Kind: EndFailed}}}
		}
		h.now = h.now.Add(100 * time.Millisecond)
		h.tickReported(report)
		is.Equal(len(h.core.openTasks), 0)
	}
}

// TestStoredStartsOfALostOwner guards against a task that waits for an intended start of which
// the rows of its job say that it has failed, or that is open there already.
func TestStoredStartsOfALostOwner(t *testing.T) {
	tests := []struct {
		name     string
		progress stepProgress
		open     int
	}{
		{"nothing is stored", stepProgress{}, 1},
		{"the task is done", stepProgress{calmProgress: calmProgress{AllDone: true}}, 0},
		{"the run has failed", stepProgress{calmProgress: calmProgress{FailedRuns: map[int][]RunNumber{0: {7}}}}, 0},
		{"an earlier run has failed", stepProgress{calmProgress: calmProgress{FailedRuns: map[int][]RunNumber{0: {6}}}}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(0)
			stored := progressRow{State: StateRunning, NextOccurrence: 1, Occurrences: []occurrenceProgress{{Steps: []stepProgress{test.progress, {}}}}}
			is.NoErr(h.takeOver(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, JobRows{Job: jobOf("j", stepOf(1, 1000), stepOf(1, 1000)), Progress: EncodeRow(stored)}))
			h.core.RestoreIntended(StartsRow{Starts: []IntendedStart{
				{Job: "j", Run: 7, Worker: "w000", IntendedNanos: h.now.UnixNano()},
				{Job: "unknown", Run: 7, Worker: "w000", IntendedNanos: h.now.UnixNano()},
				{Job: "j", Step: 1, Run: 5, Worker: "w000", IntendedNanos: h.now.Add(-time.Hour).UnixNano()}, // can't act any more
			}})
			is.Equal(len(h.core.openTasks), test.open)
		})
	}
}

// TestStartsOfTwoLostOwners guards against an owner that replaces the list of intended starts
// before the rows of the jobs say of the inherited ones that they are open.
func TestStartsOfTwoLostOwners(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	rows := make(map[string][]byte)
	h.intendOne(t, stepOf(1, 4000))
	h.keepRows(rows)
	is.NoErr(h.takeOver(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, JobRows{Job: h.core.jobs["j"].spec, Progress: rows[ProgressKey("j")]}))
	is.NoErr(restoreIntended(h.core, rows))
	h.core.jobs["j"].heldUntil = h.now.Add(time.Minute) // its row isn't written
	h.advanceAnswered(10 * time.Millisecond)
	h.keepRows(rows)
	h.add("k", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 1000))
	h.core.Tick(h.now)
	h.keepRows(rows)
	var row StartsRow
	is.NoErr(DecodeRow(rows[StartsKey], &row))
	var named []requester.JobID
	for _, start := range row.Starts {
		named = append(named, start.Job)
	}
	is.Equal(named, []requester.JobID{"j", "k"})
}

// TestWorkerRebornBeforeItsStart guards against a start that was intended for one life of a
// worker and is sent to the next one.
func TestWorkerRebornBeforeItsStart(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.intendOne(t, stepOf(1, 8000))
	h.commit()
	first := h.core.intended[0]
	info := h.core.sortedWorkers[0].info
	info.BootedAt = h.now
	h.core.SetWorkers(h.now, []WorkerInfo{info})
	h.tellBirth(info)
	orders := h.core.Tick(h.now)
	is.Equal(len(orders.Starts)+len(orders.Stops), 0)
	is.True(h.core.jobs["j"].occurrences[0].steps[0].tasks()[0].crashes.empty()) // it wasn't sent
	is.Equal(len(h.core.openTasks), 0)
	h.answerPolls(orders, WorkerRef{})
	starts := h.advanceAnswered(100 * time.Millisecond)
	starts = append(starts, h.advanceAnswered(100*time.Millisecond)...)
	is.Equal(len(starts), 1)
	is.True(starts[0].Run > first.number)
	is.Equal(starts[0].Worker.BootedAt, info.BootedAt)
}

// TestIntendedStartIsObsolete guards against a start that is sent although what it was
// decided on has changed since, and against a stop for a start that wasn't sent.
func TestIntendedStartIsObsolete(t *testing.T) {
	tests := []struct {
		name   string
		change func(*harness)
	}{
		{"the worker doesn't answer", func(h *harness) {
			w := h.core.sortedWorkers[0]
			h.core.PollDone(h.now, PollOrder{Worker: w.ref(), Fence: h.core.fence(w), SentAt: h.now}, nil, OrderUnknown)
		}},
		{"the worker leaves", func(h *harness) {
			info := h.core.sortedWorkers[0].info
			info.Leaving = true
			h.core.SetWorkers(h.now, []WorkerInfo{info})
		}},
		{"the worker is not listed any more", func(h *harness) { h.core.SetWorkers(h.now, nil) }},
		{"its room has shrunk", func(h *harness) {
			info := h.core.sortedWorkers[0].info
			info.Total.MilliCores = 1000
			h.core.SetWorkers(h.now, []WorkerInfo{info})
		}},
		{"the job is cancelled", func(h *harness) { h.core.Cancel(h.now, "j") }},
		{"the commit took too long", func(h *harness) { h.now = h.now.Add(maxIntendedTime) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(1)
			gang := stepOf(2, 4000)
			gang.Gang = true
			h.intendOne(t, gang)
			h.commit()
			test.change(h)
			orders := h.core.Tick(h.now)
			is.Equal(len(orders.Starts)+len(orders.Stops), 0)
			is.Equal(h.core.Stats().Withdrawn, int64(1))
			for _, r := range h.core.sortedWorkers[0].sortedRuns() {
				is.True(r.toBeSent()) // another one, intended since
			}
		})
	}
}

// TestGangStartsInParts guards against a gang of which only some members are sent, as the row
// that names the others is not committed.
func TestGangStartsInParts(t *testing.T) {
	is := is.New(t)
	h := newHarness(3)
	gang := stepOf(3, 8000)
	gang.Gang = true
	h.intendOne(t, gang)
	h.core.startsLimit = 1
	for range 2 {
		h.commit()
		h.core.startsLimit = 1
		is.Equal(len(h.core.Tick(h.now).Starts), 0)
	}
	h.commit()
	is.Equal(len(h.core.Tick(h.now).Starts), 3)
}

// TestManyIntendedStarts guards against rows of intended starts that are larger than the store
// takes, and against starts that are never named.
func TestManyIntendedStarts(t *testing.T) {
	is := is.New(t)
	h := newHarness(40)
	h.core.options.RowBytes, h.core.options.CallBytes = 1024, 20_000
	h.intendOne(t, stepOf(200, 1000))
	for range 60 {
		batch := h.core.TakeBatch(40)
		size := 0
		for _, write := range batch.Writes {
			is.True(len(write.Value) <= h.core.options.rowLimit())
			size += write.callBytes()
		}
		is.True(size <= h.core.options.CallBytes-reservedCallBytes)
		h.core.Committed(h.now, batch)
		h.now = h.now.Add(10 * time.Millisecond)
		orders := h.core.Tick(h.now)
		h.accept(orders)
	}
	is.Equal(len(h.running), 200)
}

// TestRefusedRowOfIntendedStarts guards against starts that wait for ever, or are sent all the
// same, as the store refuses the row that names them, and against a row that is sent again as
// it was.
func TestRefusedRowOfIntendedStarts(t *testing.T) {
	for _, most := range []int{5, 0} {
		t.Run(fmt.Sprintf("takes %d", most), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(2)
			h.intendOne(t, stepOf(16, 1000))
			stored := make(map[runKey]bool)
			refused := 0
			for range 1000 {
				batch := h.core.TakeBatch(1000)
				if len(batch.starts) > most {
					refused++
					h.core.Refused(h.now, batch, "the row is too large")
				} else if !batch.Empty() {
					h.core.Committed(h.now, batch)
					for _, s := range batch.starts {
						stored[runKey{s.stored.name(), s.stored.Run}] = true
					}
				}
				h.now = h.now.Add(20 * time.Millisecond)
				orders := h.core.Tick(h.now)
				for _, start := range orders.Starts {
					is.True(stored[runKey{start.Task, start.Run}])
				}
				h.accept(orders)
			}
			is.Equal(len(h.running), min(16, 16*most))
			is.True(refused < 20)
			is.Equal(h.core.jobs["j"].committedVersion, h.core.jobs["j"].version) // the rows of jobs are stored
		})
	}
}

// TestUndecodableRowOfIntendedStarts guards against an owner that starts tasks, or replaces the
// list, while starts may be open that a list names which it can't decode.
func TestUndecodableRowOfIntendedStarts(t *testing.T) {
	is := is.New(t)
	h := newHarness(0)
	is.NoErr(h.takeOver(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, JobRows{Job: jobOf("j", stepOf(1, 1000))}))
	h.core.AssumeUnknownStarts()
	takenOver := h.now
	w := h.core.sortedWorkers[0]
	for h.now.Add(100*time.Millisecond).Sub(takenOver) <= time.Second+maxOrderDelay {
		is.Equal(len(h.advanceAnswered(100*time.Millisecond)), 0)
		is.True(h.core.unknownStartOpen(w))
		is.True(!h.core.Reconciled())
	}
	started := 0
	for range 10 {
		started += len(h.advanceAnswered(100 * time.Millisecond))
	}
	is.Equal(started, 1)
	is.True(!h.core.unknownStartOpen(w))
}

// TestUnknownStartOnASilentWorker guards against a successor of an eager owner that starts a
// task while a worker that has not answered since may run it.
func TestUnknownStartOnASilentWorker(t *testing.T) {
	is := is.New(t)
	h := newHarness(0)
	is.NoErr(h.takeOver(eagerPredecessor, JobRows{Job: jobOf("j", stepOf(1, 1000))}))
	first := h.core.sortedWorkers[0].info
	h.core.SetWorkers(h.now, []WorkerInfo{first, {HostID: "w001", Service: "service", Total: workerTotal, BootedAt: h.now, Address: h.address(1)}})
	silent := WorkerRef{HostID: first.HostID, Address: first.Address, BootedAt: first.BootedAt}
	// Sent at the end of the term, executed 12 s later, and run for the longest lease.
	until := h.now.Add(time.Second + 12*time.Second + 10204*time.Millisecond)
	for h.now.Before(until) {
		is.Equal(len(h.advanceSilent(silent, 100*time.Millisecond)), 0)
	}
	is.True(h.core.StartsMayBeUnknown())
}

// TestStartThatNoListNamesStopsTheCell guards against a start that is sent while the store is slow
// and that no committed list names: the successor would take every worker for one with an unknown
// start. Nothing is sent for as long as the store takes, and what is sent then is named.
func TestStartThatNoListNamesStopsTheCell(t *testing.T) {
	gang := stepOf(3, 1000)
	gang.Gang = true
	for name, step := range map[string]Step{"tasks": stepOf(2, 1000), "gang": gang} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(2)
			h.advanceAnswered(20 * time.Second)
			rows := make(map[string][]byte)
			h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, step)
			sent := 0
			for range 4 {
				// The store takes 0.4 s for each commit.
				batch := h.core.TakeBatch(1000)
				for range 4 {
					h.now = h.now.Add(100 * time.Millisecond)
					orders := h.core.Tick(h.now)
					is.Equal(unnamed(rows, orders.Starts), "")
					sent += len(orders.Starts)
					h.answer(orders, nil)
				}
				for _, write := range batch.Writes {
					rows[write.Key] = write.Value
				}
				h.core.Renewed(h.now.Add(-400 * time.Millisecond))
				h.core.Committed(h.now, batch)
			}
			is.Equal(sent, step.Count)
			is.True(!h.core.StartsMayBeUnknown()) // the owner's row says that there are no unknown ones
		})
	}
}

// TestSettledStartsLeaveTheList guards against a list of intended starts that only grows.
func TestSettledStartsLeaveTheList(t *testing.T) {
	is := is.New(t)
	h := newHarness(4)
	for i := range 20 {
		h.add(fmt.Sprint("j", i), Policy{Stretch: 9}, stepOf(1, 1000))
		is.Equal(len(h.settle()), 1)
		is.True(len(h.core.written) <= 2)
		h.endRun(h.running[0], EndDone)
	}
	is.True(!slices.ContainsFunc(h.core.written, func(s *writtenStart) bool { return !s.taken }))
}

// TestReleasedByAnEagerOwner guards against a successor that waits for unknown starts of an eager
// owner which has released the cell, and has named all of its starts before.
func TestReleasedByAnEagerOwner(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.core.WithdrawIntended()
	var rows []StartsRow
	for _, write := range h.core.TakeBatch(100).Writes {
		if IsListKey(write.Key, StartsKey) {
			var row StartsRow
			is.NoErr(DecodeRow(write.Value, &row))
			rows = append(rows, row)
		}
	}
	is.Equal(len(rows), 1)
	is.NoErr(h.takeOver(eagerPredecessor, JobRows{Job: jobOf("j", stepOf(1, 1000))}))
	h.core.RestoreIntended(rows[0])
	takenOver := h.now
	for len(h.advanceAnswered(100*time.Millisecond)) == 0 {
		is.True(h.now.Sub(takenOver) < 3*time.Second) // the former owner's term and two reports
	}
}
