package scheduler

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// takeOver replaces the core by one of a new owner that recovers the given jobs
// and knows of one worker, which a previous owner may have given orders.
func (h *harness) takeOver(options Options, rows ...JobRows) error {
	h.core = New(options, h.now)
	worker := WorkerInfo{HostID: "w000", Service: "service", Total: workerTotal, BootedAt: h.now, Address: h.address(0)}
	h.core.RestoreLeasedWorkers(LeasedWorkersRow{Workers: []LeasedWorker{{HostID: worker.HostID, Address: worker.Address}}})
	for _, row := range rows {
		if err := h.core.Recover(row); err != nil {
			return err
		}
	}
	h.core.SetWorkers(h.now, []WorkerInfo{worker})
	return nil
}

var eagerPredecessor = Options{Epoch: 2, PreviousOwnerEager: true, PreviousOwnerTerm: time.Second}

func jobOf(id string, steps ...Step) Job {
	return Job{JobID: requester.JobID(id), Queue: "q", Policy: Policy{Service: "service", MaxAttempts: 3, Stretch: 2}, Steps: steps, AcceptedAt: time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC)}
}

// storedStarts returns, for each step of a job's only occurrence, whether the
// row that a batch writes says that it may have been started.
func storedStarts(t *testing.T, batch *Batch, id requester.JobID) []bool {
	t.Helper()
	for _, write := range batch.Writes {
		if write.Key != ProgressKey(id) {
			continue
		}
		var row progressRow
		if err := DecodeRow(write.Value, &row); err != nil {
			t.Fatal(err)
		}
		var started []bool
		for _, s := range row.Occurrences[0].Steps {
			started = append(started, s.Started)
		}
		return started
	}
	return nil
}

// TestEagerStartsOfAnOwnerBeforeLast guards against an owner that learns from its
// predecessor's row that any step may have been started, and leaves nothing in
// the store from which its own successor would know. Its row stays eager until
// the rows of the jobs say what its workers have reported.
func TestEagerStartsOfAnOwnerBeforeLast(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	second := stepOf(1, 1000)
	second.After = []int{0}
	advised := func(id string, steps ...Step) Job {
		job := jobOf(id, steps...)
		job.Advice = &Advice{DecideMillis: 1, ValidMillis: 1000}
		return job
	}
	stored := EncodeRow(progressRow{State: StateRunning, NextOccurrence: 1, Occurrences: []occurrenceProgress{{Steps: []stepProgress{{calmProgress: calmProgress{AllDone: true}}, {}}}}})
	is.NoErr(h.takeOver(eagerPredecessor, JobRows{Job: advised("runs", stepOf(1, 1000), second), Progress: stored}, JobRows{Job: advised("waits", stepOf(1, 1000), second), Progress: nil}))
	h.core.StoreReached(h.now.Add(time.Minute), 5)
	h.core.JobsKnown(5)
	h.commit()
	orders := h.issue()
	is.Equal(len(orders.Starts), 0)
	is.True(!h.core.Dirty())
	is.True(h.core.StartsMayBeUnknown()) // w000 has not reported

	running := RunningTask{Task: TaskName{StepName: StepName{Job: "runs", Step: 1}}, Run: 1}
	report := &Report{Clock: 1, BootedAt: h.core.workers["w000"].bootedAt, Running: []RunningTask{running}}
	h.core.PollDone(h.now, orders.Polls[0], report, OrderAccepted)
	h.tickReported(report)
	h.commit()
	is.True(h.core.StartsMayBeUnknown()) // a start may be open on w000
	h.outlastUnknownStarts(report)
	is.True(h.core.StartsMayBeUnknown()) // the run's start record is not in a batch
	batch := h.core.TakeBatch(1000)
	is.True(!h.core.StartsMayBeUnknown())
	is.Equal(storedStarts(t, batch, "runs"), []bool{false, true})
	h.core.Committed(h.now, batch)
	is.True(!h.core.jobs["waits"].occurrences[0].steps[0].mayHaveUnknownRuns)
	is.Equal(h.core.jobs["waits"].occurrences[0].steps[0].progress().Started, false) // a successor need not wait for silent workers
}

// outlastUnknownStarts lets the time pass in which starts of an eager predecessor may be
// open of which the owner knows nothing. The workers have what a report says.
func (h *harness) outlastUnknownStarts(report *Report) {
	for range 140 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.tickReported(report)
	}
	h.tickReported(report)
}

// tickReported has the workers answer the polls of a tick with a report.
func (h *harness) tickReported(report *Report) {
	for _, poll := range h.core.Tick(h.now).Polls {
		answer := *report
		answer.Clock, answer.BootedAt = h.clock(poll.Worker), poll.Worker.BootedAt
		h.core.PollDone(h.now, poll, &answer, OrderAccepted)
	}
}

// TestEagerStartWithoutReport guards against the start of a task that an eager
// predecessor may have started on a worker that has not reported, and checks that
// a step whose predecessors are not done doesn't count as started.
func TestEagerStartWithoutReport(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	second := stepOf(1, 1000)
	second.After = []int{0}
	is.NoErr(h.takeOver(eagerPredecessor, JobRows{Job: jobOf("j", stepOf(1, 1000), second)}))
	steps := h.core.jobs["j"].occurrences[0].steps
	is.True(steps[0].mayHaveUnknownRuns)
	is.True(!steps[1].mayHaveUnknownRuns)
	h.commit()
	h.core.SetWorkers(h.now, []WorkerInfo{h.core.workers["w000"].info, {HostID: "w001", Service: "service", Total: workerTotal, BootedAt: h.now, Address: h.address(1)}})
	for range 20 {
		h.now = h.now.Add(100 * time.Millisecond)
		h.commit()
		orders := h.issue()
		is.Equal(len(orders.Starts), 0) // w000 may run the task
		for _, poll := range orders.Polls {
			if poll.Worker.HostID == "w001" {
				h.core.PollDone(h.now, poll, &Report{Clock: 1, BootedAt: poll.Worker.BootedAt}, OrderAccepted)
			}
		}
	}
}

func (h *harness) address(i byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 1)
}

// TestUnknownLeasesStayStored guards against an owner that replaces a row of
// leased workers that it could not decode while leases of that row may last: its
// successor would not wait for these workers either.
func TestUnknownLeasesStayStored(t *testing.T) {
	is := is.New(t)
	h := newHarness(0)
	h.core = New(Options{Epoch: 2, PreviousOwnerTerm: time.Second}, h.now)
	h.core.AssumeUnknownLeases()
	h.core.SetWorkers(h.now, []WorkerInfo{{HostID: "w000", Service: "service", Total: workerTotal, BootedAt: h.now, Address: h.address(0)}})
	writesRow := func() bool {
		batch := h.core.TakeBatch(1000)
		return len(batch.Writes) > 0 && batch.Writes[0].Key == LeasedWorkersKey
	}
	h.core.Tick(h.now.Add(11*time.Second + longestKill)) // a lease of 10 s was granted up to a second after the takeover
	is.True(!writesRow())
	is.True(!h.core.Reconciled())
	h.core.Tick(h.now.Add(12*time.Second + longestKill))
	is.True(writesRow())
	is.True(h.core.Reconciled())
}

// TestAddedJobOfAnEagerOwner guards against the start of a job that was accepted
// after the takeover, while its eager predecessor, still in its term, may have
// started it on a worker that has not reported yet.
func TestAddedJobOfAnEagerOwner(t *testing.T) {
	is := is.New(t)
	h := newHarness(0)
	is.NoErr(h.takeOver(eagerPredecessor))
	reporting := WorkerInfo{HostID: "w001", Service: "service", Total: workerTotal, BootedAt: h.now, Address: h.address(1)}
	h.core.SetWorkers(h.now, append([]WorkerInfo{h.core.workers["w000"].info}, reporting))
	h.core.Add(h.now, jobOf("j", stepOf(1, 1000)))
	var starts []StartOrder
	tick := func(wait time.Duration, answers ...requester.HostID) {
		h.now = h.now.Add(wait)
		h.commit()
		orders := h.issue()
		starts = append(starts, orders.Starts...)
		for _, poll := range orders.Polls {
			if !slices.Contains(answers, poll.Worker.HostID) {
				h.core.PollDone(h.now, poll, nil, OrderUnknown)
				continue
			}
			h.core.PollDone(h.now, poll, &Report{Clock: WorkerTime(h.now.Sub(reporting.BootedAt).Milliseconds()), BootedAt: poll.Worker.BootedAt}, OrderAccepted)
		}
	}
	for range 20 {
		tick(400*time.Millisecond, "w001")
	}
	is.Equal(len(starts), 0) // w000 may run it
	for h.now.Before(reporting.BootedAt.Add(time.Second + maxOrderDelay)) {
		is.Equal(len(starts), 0) // an unknown start may be open on w000
		tick(400*time.Millisecond, "w000", "w001")
	}
	for range 4 {
		tick(400*time.Millisecond, "w000", "w001")
	}
	is.Equal(len(starts), 1)
}

// TestEagerUntilAddedJobsAreKnown guards against an owner's row that says Eager
// no more while jobs that an eager predecessor may have started are still to be
// learned of: if this owner is lost before it stores their marks, its successor
// would start them at once.
func TestEagerUntilAddedJobsAreKnown(t *testing.T) {
	is := is.New(t)
	h := newHarness(0)
	is.NoErr(h.takeOver(eagerPredecessor))
	h.commit()
	is.True(h.core.StartsMayBeUnknown())
	h.now = h.now.Add(500 * time.Millisecond)
	h.core.StoreReached(h.now, 5) // the predecessor is still in its term
	h.core.JobsKnown(5)
	is.True(h.core.StartsMayBeUnknown())
	h.now = h.now.Add(time.Second)
	h.core.StoreReached(h.now, 6)
	is.True(h.core.StartsMayBeUnknown())
	h.core.JobsKnown(6)
	is.True(h.core.StartsMayBeUnknown()) // w000 has not reported
	for _, poll := range h.issue().Polls {
		h.core.PollDone(h.now, poll, &Report{Clock: 1, BootedAt: poll.Worker.BootedAt}, OrderAccepted)
	}
	h.tickReported(&Report{})
	is.True(h.core.StartsMayBeUnknown()) // a start may be open on w000
	h.outlastUnknownStarts(&Report{})
	is.True(!h.core.StartsMayBeUnknown())
	h.core.Add(h.now, jobOf("j", stepOf(1, 1000)))
	is.True(h.core.StartsMayBeUnknown()) // until its row is written
	batch := h.core.TakeBatch(1000)
	is.True(!h.core.StartsMayBeUnknown())
	is.Equal(storedStarts(t, batch, "j"), []bool{true})
}
