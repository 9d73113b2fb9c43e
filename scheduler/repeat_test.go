package scheduler

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// repeats reports whether a start repeats an earlier one: it is the same run on the same worker,
// with a higher fence.
func (o *StartOrder) repeats(first StartOrder) bool {
	return o.Task == first.Task && o.Run == first.Run && o.Worker.HostID == first.Worker.HostID && o.Fence > first.Fence
}

// besidesRepeats has a worker refuse the starts that repeat the given one, which does nothing, and
// returns the others.
func (h *harness) besidesRepeats(first StartOrder, starts []StartOrder) []StartOrder {
	var others []StartOrder
	for _, start := range starts {
		if start.repeats(first) {
			h.core.StartDone(h.now, start, OrderRefused)
		} else {
			others = append(others, start)
		}
	}
	return others
}

// repeated lets time pass until the start is repeated, for 3 s at most, and returns the repeat.
func (h *harness) repeated(t *testing.T, first StartOrder) StartOrder {
	t.Helper()
	for since := h.now; h.now.Sub(since) < 3*time.Second; {
		starts := h.advanceAnswered(50 * time.Millisecond)
		for _, start := range starts {
			if !start.repeats(first) {
				t.Fatalf("run %d starts on %s beside the open start of run %d on %s", start.Run, start.Worker.HostID, first.Run, first.Worker.HostID)
			}
		}
		if len(starts) > 0 {
			return starts[0]
		}
	}
	t.Fatalf("the start is not repeated for 3s on a worker that lacks its run")
	return StartOrder{}
}

// TestStartIsRepeated guards against a task with nothing running for over 3 s beside free room, as
// its start had no answer and its worker, which is alive, lacks the run.
func TestStartIsRepeated(t *testing.T) {
	for name, step := range map[string]Step{"a task": stepOf(1, 8000), "a gang": gangOf(1, 8000), "a task that lasts": lastingStep(1, 8000)} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(2)
			first := h.givenUp(t, step)
			again := h.repeated(t, first)
			h.core.StartAccepted(h.now, again, h.clock(again.Worker))
			is.New(t).Equal(len(h.core.openTasks), 1) // the first order may still be executed
		})
	}
}

// TestStartOfALostOwnerIsRepeated guards against the same after owners were lost in series: nobody
// knows whether the first one sent the start.
func TestStartOfALostOwnerIsRepeated(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	first := h.givenUp(t, stepOf(1, 8000))
	rows := h.takeRows()
	infos := []WorkerInfo{h.core.sortedWorkers[0].info, h.core.sortedWorkers[1].info}
	for epoch := range int64(2) {
		is.NoErr(h.takeOver(Options{Epoch: epoch + 2, PreviousOwnerTerm: time.Second}, rows))
		h.core.SetWorkers(h.now, infos)
	}
	again := h.repeated(t, first)
	is.True(again.Run < h.core.firstRun())
}

// TestEndOfARepeatedRunIsKept guards against a task that starts after its end was acknowledged: the
// next life executes the first order of a start that was repeated. Whoever owns the cell then, the
// end waits until that can't be any more.
func TestEndOfARepeatedRunIsKept(t *testing.T) {
	for _, lost := range []bool{false, true} {
		for _, kind := range []EndKind{EndDone, EndFailed} {
			is := is.New(t)
			h := newHarness(2)
			first := h.givenUp(t, stepOf(1, 8000))
			again := h.repeated(t, first)
			sentAt := h.now
			h.core.StartAccepted(h.now, again, h.clock(again.Worker))
			end := EndedRun{Number: 1, Task: again.Task, Run: again.Run, Kind: kind}
			answer := func(orders Orders) (acknowledged bool) {
				for _, poll := range orders.Polls {
					report := &Report{Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt}
					if poll.Worker.HostID == again.Worker.HostID {
						report.Ended = []EndedRun{end}
						acknowledged = acknowledged || poll.AcknowledgedEnd > 0
					}
					h.core.PollDone(h.now, poll, report, OrderAccepted)
				}
				return acknowledged
			}
			for range 10 {
				h.now = h.now.Add(100 * time.Millisecond)
				is.True(!answer(h.core.Tick(h.now)))
				h.commit()
			}
			if lost {
				infos := []WorkerInfo{h.core.sortedWorkers[0].info, h.core.sortedWorkers[1].info}
				is.NoErr(h.takeOver(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, JobRows{Job: h.core.jobs["j"].spec, Progress: h.stored[ProgressKey("j")]}))
				is.NoErr(restoreIntended(h.core, h.stored))
				h.core.SetWorkers(h.now, infos)
			}
			for h.now.Sub(sentAt) < 11*time.Second { // the first order was given up 1 s before, at the most
				h.now = h.now.Add(100 * time.Millisecond)
				if answer(h.core.Tick(h.now)) {
					t.Fatalf("owner lost %v, %v: the end is acknowledged %v after the start was repeated", lost, kind, h.now.Sub(sentAt))
				}
				h.commit()
			}
			acknowledged := false
			for range 60 {
				h.now = h.now.Add(100 * time.Millisecond)
				acknowledged = answer(h.core.Tick(h.now)) || acknowledged
				h.commit()
			}
			is.True(acknowledged)
		}
	}
}

// TestEndedRunIsNotRepeated guards against a start that is repeated for ever on a worker that has had
// its run and rejects it.
func TestEndedRunIsNotRepeated(t *testing.T) {
	h := newHarness(1)
	first := h.givenUp(t, stepOf(1, 8000))
	h.core.StartDone(h.now, h.repeated(t, first), OrderStaleRun)
	for range 80 {
		if starts := h.advanceAnswered(100 * time.Millisecond); len(starts) > 0 {
			t.Fatalf("run %d starts %v after the first order, which may still be executed", starts[0].Run, h.now)
		}
	}
}

// TestGangWithAnAnsweredStartIsNotRepeated guards against two runs of a gang at once: one of its
// members was accepted, and its worker rejects that run from then on.
func TestGangWithAnAnsweredStartIsNotRepeated(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.advanceAnswered(20 * time.Second)
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, gangOf(2, 8000))
	h.commit()
	h.now = h.now.Add(10 * time.Millisecond)
	first := h.issue()
	starts := first.Starts
	h.answerPolls(first, WorkerRef{})
	is.Equal(len(starts), 2)
	h.core.StartAccepted(h.now, starts[1], h.clock(starts[1].Worker))
	h.now = h.now.Add(OrderTimeout)
	h.core.StartDone(h.now, starts[0], OrderUnknown)
	for range 100 {
		is.Equal(len(h.advanceAnswered(100*time.Millisecond)), 0)
	}
}

// TestClosedStartIsNotRepeated guards against two runs of a task at once: the list of intended starts
// still names a start that an answer has closed, and the successor repeats it, while a later run is
// at work on a worker that hasn't reported yet.
func TestClosedStartIsNotRepeated(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.advanceAnswered(20 * time.Second)
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 8000))
	h.commit()
	h.now = h.now.Add(10 * time.Millisecond)
	orders := h.issue()
	is.Equal(len(orders.Starts), 1)
	first := orders.Starts[0]
	w := h.core.workers[first.Worker.HostID]
	h.answerPolls(orders, WorkerRef{})
	// The run is stopped before its start is answered, and the report that lacks it overtakes the answer.
	h.core.stop(w.runs[runKey{first.Task, first.Run}], "displaced")
	for w.runs[runKey{first.Task, first.Run}] != nil {
		h.now = h.now.Add(20 * time.Millisecond)
		orders := h.core.Tick(h.now)
		for _, stop := range orders.Stops {
			h.core.StopDone(h.now, stop, OrderAccepted)
		}
		h.answerPolls(orders, WorkerRef{})
	}
	h.core.StartDone(h.now, first, OrderStaleRun)
	w.suspendedUntil = h.now.Add(300 * time.Millisecond) // it gets nothing new for the moment
	var second StartOrder
	for range 40 { // for 2 s, so that the list is written without the second start
		h.now = h.now.Add(50 * time.Millisecond)
		h.commit()
		orders := h.issue()
		h.accept(orders)
		if len(orders.Starts) > 0 {
			second = orders.Starts[0]
		}
	}
	is.True(second.Run > first.Run && second.Worker.HostID != first.Worker.HostID)
	infos := []WorkerInfo{h.core.sortedWorkers[0].info, h.core.sortedWorkers[1].info}
	h.core = New(Options{Epoch: 2, PreviousOwnerTerm: time.Second, PreviousCommitAt: h.now}, h.now)
	h.core.RestoreLeasedWorkers(LeasedWorkersRow{Workers: []LeasedWorker{
		{HostID: infos[0].HostID, Address: infos[0].Address}, {HostID: infos[1].HostID, Address: infos[1].Address},
	}})
	is.NoErr(h.core.Recover(JobRows{Job: jobOf("j", stepOf(1, 8000)), Progress: h.stored[ProgressKey("j")]}))
	for key, value := range h.stored {
		if value == nil {
			delete(h.stored, key)
		}
	}
	is.NoErr(restoreIntended(h.core, h.stored))
	h.core.SetWorkers(h.now, infos)
	for range 40 {
		for _, start := range h.advanceSilent(second.Worker, 50*time.Millisecond) {
			t.Fatalf("run %d starts on %s while run %d is at work on %s", start.Run, start.Worker.HostID, second.Run, second.Worker.HostID)
		}
	}
}

// TestStartWaitsForTheRowsThatCloseTheLast guards against a start that is sent while the rows of its
// job still have an earlier one of its task as open, which a successor would repeat: an earlier
// batch than these rows names it.
func TestStartWaitsForTheRowsThatCloseTheLast(t *testing.T) {
	is := is.New(t)
	h := newHarness(9)
	first := h.givenUp(t, stepOf(1, 8000))
	h.core.workers[first.Worker.HostID].suspendedUntil = h.now.Add(time.Minute) // it gets nothing new
	for range 20 {
		h.now = h.now.Add(20 * time.Millisecond)
		h.answerPolls(h.core.Tick(h.now), WorkerRef{})
		h.commit()
	}
	waiting := h.core.findTask(first.Task)
	for i := range 6 {
		h.add("k"+strconv.Itoa(i), Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 8000))
	}
	h.core.closeAnswered(waiting)
	h.now = h.now.Add(20 * time.Millisecond)
	h.core.Tick(h.now)
	is.True(waiting.run != nil && waiting.run.toBeSent())
	sent := false
	for !sent {
		batch := h.core.TakeBatch(2) // the list, and then a job at a time
		is.True(!batch.Empty())
		h.core.Committed(h.now, batch)
		sent = slices.ContainsFunc(h.core.Tick(h.now).Starts, func(start StartOrder) bool { return start.Task == first.Task })
		is.True(!sent || slices.ContainsFunc(batch.Writes, func(write RowWrite) bool { return write.Key == ProgressKey("j") }))
	}
}

// TestWithdrawnRepeatDoesNotProlong guards against a task that waits for as long as the store is slow,
// and 13 s more: each repeat of its start that is withdrawn before it is sent makes its time begin anew.
func TestWithdrawnRepeatDoesNotProlong(t *testing.T) {
	h := newHarness(2)
	first := h.givenUp(t, stepOf(1, 8000))
	until := h.core.findTask(first.Task).open.Until
	var inFlight *Batch
	for begun := h.now; h.now.Sub(begun) < 10*time.Second; {
		for range 15 { // the store takes 1.5 s for each commit
			h.now = h.now.Add(100 * time.Millisecond)
			orders := h.core.Tick(h.now)
			is.New(t).Equal(len(orders.Starts), 0)
			h.answerPolls(orders, WorkerRef{})
		}
		if inFlight != nil {
			h.core.Committed(h.now, inFlight)
		}
		inFlight = h.core.TakeBatch(1000)
	}
	h.core.WithdrawIntended()
	if late := h.core.findTask(first.Task).open.Until.Sub(until); late > 0 {
		t.Fatalf("%d repeats are withdrawn, and the first order counts for %v more", h.core.stats.Withdrawn, late)
	}
}

// TestAnswerToAnEarlierOrder guards against an answer to the first order of a start that is taken for
// one to its repeat, which may still be executed.
func TestAnswerToAnEarlierOrder(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.advanceAnswered(20 * time.Second)
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 8000))
	h.commit()
	h.now = h.now.Add(10 * time.Millisecond)
	orders := h.issue()
	is.Equal(len(orders.Starts), 1)
	first := orders.Starts[0]
	h.answerPolls(orders, WorkerRef{})
	h.now = h.now.Add(150 * time.Millisecond)
	h.answerPolls(h.core.Tick(h.now), WorkerRef{})
	// The run is stopped before its start is answered, as another order has no answer.
	w := h.core.workers[first.Worker.HostID]
	h.core.stop(w.runs[runKey{first.Task, first.Run}], "displaced")
	h.core.raiseGeneration(w)
	again := h.repeated(t, first)
	sentAt := h.now
	h.core.StartDone(h.now, first, OrderFenced)
	open := h.core.findTask(first.Task).open
	if r := w.runs[runKey{again.Task, again.Run}]; r == nil || r.settled || open.Until.Sub(sentAt) < maxOrderDelay {
		t.Fatalf("after an answer to the first order the repeat counts for %v, want %v at least", open.Until.Sub(sentAt), maxOrderDelay)
	}
}

// TestEndOfARepeatedRunIsStoredWithItsStart guards against a successor that acknowledges the end of a
// repeated run too soon: the rows say that its task is done, and the list that names the start again
// couldn't be written yet.
func TestEndOfARepeatedRunIsStoredWithItsStart(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	first := h.givenUp(t, stepOf(1, 8000))
	again := h.repeated(t, first)
	h.core.StartAccepted(h.now, again, h.clock(again.Worker))
	end := EndedRun{Number: 1, Task: again.Task, Run: again.Run, Kind: EndDone}
	ended := false
	answer := func(orders Orders) (acknowledged bool) {
		for _, poll := range orders.Polls {
			report := &Report{Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt}
			if poll.Worker.HostID == again.Worker.HostID {
				if ended {
					report.Ended = []EndedRun{end}
				} else {
					report.Running = []RunningTask{{Task: again.Task, Run: again.Run, Percent: 50}}
				}
				acknowledged = acknowledged || poll.AcknowledgedEnd > 0
			}
			h.core.PollDone(h.now, poll, report, OrderAccepted)
		}
		return acknowledged
	}
	for range 30 {
		h.now = h.now.Add(100 * time.Millisecond)
		answer(h.core.Tick(h.now))
		h.commit()
	}
	ended = true
	h.core.startsHeldUntil = h.now.Add(200 * time.Millisecond) // the store has just refused a list
	h.now = h.now.Add(100 * time.Millisecond)
	answer(h.core.Tick(h.now))
	h.commit()
	for key, value := range h.stored {
		if value == nil {
			delete(h.stored, key)
		}
	}
	lostAt := h.now
	infos := []WorkerInfo{h.core.sortedWorkers[0].info, h.core.sortedWorkers[1].info}
	is.NoErr(h.takeOver(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, JobRows{Job: h.core.jobs["j"].spec, Progress: h.stored[ProgressKey("j")]}))
	is.NoErr(restoreIntended(h.core, h.stored))
	h.core.SetWorkers(h.now, infos)
	for h.now.Sub(lostAt) < 8*time.Second {
		h.now = h.now.Add(100 * time.Millisecond)
		if answer(h.core.Tick(h.now)) {
			t.Fatalf("acknowledged %v after the owner was lost; orders may be executed for 8 s more", h.now.Sub(lostAt))
		}
		h.commit()
	}
}

// TestRepeatIsListedBeforeItsRows guards against a successor that acknowledges the end of a repeated
// run too soon: the repeat was sent, and the stored rows of its job have only the first order.
func TestRepeatIsListedBeforeItsRows(t *testing.T) {
	is := is.New(t)
	h := newHarness(9)
	first := h.givenUp(t, stepOf(1, 8000))
	h.commit()
	for i := range 6 {
		h.add("k"+strconv.Itoa(i), Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(1, 8000))
	}
	sent := false
	for n := 0; !sent; n++ {
		is.True(n < 40)
		h.now = h.now.Add(20 * time.Millisecond)
		orders := h.core.Tick(h.now)
		sent = slices.ContainsFunc(orders.Starts, func(start StartOrder) bool { return start.repeats(first) })
		h.answerPolls(orders, WorkerRef{})
		if sent {
			break
		}
		batch := h.core.TakeBatch(2) // the list, and then a job at a time
		for _, write := range batch.Writes {
			h.stored[write.Key] = write.Value
		}
		h.core.Committed(h.now, batch)
	}
	waiting := h.core.findTask(first.Task)
	is.True(waiting.step.job().committedVersion < waiting.step.job().version)
	infos := []WorkerInfo{h.core.sortedWorkers[0].info, h.core.sortedWorkers[1].info}
	sentAt := h.now
	is.NoErr(h.takeOver(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, JobRows{Job: waiting.step.job().spec, Progress: h.stored[ProgressKey("j")]}))
	is.NoErr(restoreIntended(h.core, h.stored))
	h.core.SetWorkers(h.now, infos)
	open := h.core.findTask(first.Task).open
	is.True(open != nil && open.repeated)
	is.True(h.core.latestExecution(open).Sub(sentAt) >= maxOrderDelay)
}

// TestStartOfAnEagerOwnerIsNotRepeated guards against two runs of a task at once: the owner before
// started eagerly, so a start that nothing names may be the last one of a task with an open start.
func TestStartOfAnEagerOwnerIsNotRepeated(t *testing.T) {
	h := newHarness(2)
	first := h.givenUp(t, stepOf(1, 8000))
	rows := h.takeRows()
	infos := []WorkerInfo{h.core.sortedWorkers[0].info, h.core.sortedWorkers[1].info}
	takenOverAt := h.now
	is.New(t).NoErr(h.takeOver(Options{Epoch: 2, PreviousOwnerEager: true, PreviousOwnerTerm: time.Second}, rows))
	h.core.SetWorkers(h.now, infos)
	for h.now.Sub(takenOverAt) < 12*time.Second {
		if starts := h.advanceAnswered(50 * time.Millisecond); len(starts) > 0 {
			t.Fatalf("run %d of %s starts %v after the takeover, while a later run may be at work", starts[0].Run, first.Task.Job, h.now.Sub(takenOverAt))
		}
	}
}

// givenUp has a job start on a worker that answers but for that start, which is given up.
func (h *harness) givenUp(t *testing.T, step Step) StartOrder {
	t.Helper()
	h.advanceAnswered(20 * time.Second)
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, step)
	h.commit()
	h.now = h.now.Add(10 * time.Millisecond)
	orders := h.issue()
	if len(orders.Starts) != 1 {
		t.Fatalf("tick issued %d starts, want 1", len(orders.Starts))
	}
	h.answerPolls(orders, WorkerRef{})
	h.now = h.now.Add(OrderTimeout)
	h.core.StartDone(h.now, orders.Starts[0], OrderUnknown)
	return orders.Starts[0]
}
