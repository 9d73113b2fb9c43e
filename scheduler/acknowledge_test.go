package scheduler

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// exchange lets time pass without a commit, and answers each poll with the
// given ends of its worker that it does not acknowledge. It returns the highest
// number that each worker has been acknowledged.
func (h *harness) exchange(wait time.Duration, ends map[requester.HostID][]EndedRun) map[requester.HostID]int64 {
	acknowledged := make(map[requester.HostID]int64)
	for deadline := h.now.Add(wait); h.now.Before(deadline); {
		h.now = h.now.Add(50 * time.Millisecond)
		orders := h.issue()
		for _, order := range orders.Polls {
			id := order.Worker.HostID
			acknowledged[id] = max(acknowledged[id], order.AcknowledgedEnd)
			report := &Report{Clock: h.clock(order.Worker), BootedAt: order.Worker.BootedAt}
			over := make(map[TaskName]bool)
			for _, ended := range ends[id] {
				over[ended.Task] = true
				if ended.Number > order.AcknowledgedEnd {
					report.Ended = append(report.Ended, ended)
				}
			}
			for _, start := range h.running {
				if start.Worker.HostID == id && !over[start.Task] {
					report.Running = append(report.Running, h.report(start))
				}
			}
			h.core.PollDone(h.now, order, report, OrderAccepted)
		}
	}
	return acknowledged
}

// endsOf returns the ends of starts, numbered by worker.
func endsOf(starts []StartOrder, kinds ...EndKind) map[requester.HostID][]EndedRun {
	ends := make(map[requester.HostID][]EndedRun)
	for i, start := range starts {
		id := start.Worker.HostID
		ends[id] = append(ends[id], EndedRun{Number: int64(len(ends[id]) + 1), Task: start.Task, Run: start.Run, Kind: kinds[min(i, len(kinds)-1)]})
	}
	return ends
}

// TestEndsAreAcknowledgedOnceStored guards against the acknowledgement of an end
// before the rows that imply it are stored: the ends of a gang after its first,
// which find their job or occurrence over in memory, and those of a job that
// has just failed or been cancelled.
func TestEndsAreAcknowledgedOnceStored(t *testing.T) {
	apart := stepOf(3, 1000)
	apart.AntiAffinity = 1
	gang := apart
	gang.Gang = true
	tests := []struct {
		name string
		step Step
		job  func(*Job)
		ends []EndKind
	}{
		{"gang", gang, func(*Job) {}, []EndKind{EndDone}},
		{"occurrence", gang, func(j *Job) { j.Occurrences, j.PeriodMillis = 2, 60_000 }, []EndKind{EndDone}},
		{"failed job", apart, func(j *Job) { j.MaxAttempts = 1 }, []EndKind{EndFailed, EndDone, EndDone}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(3)
			job := Job{JobID: "j", Queue: "q", Policy: Policy{Service: "service", MaxAttempts: 3, Stretch: 2}, Steps: []Step{test.step}, FirstDue: h.now, AcceptedAt: h.now}
			test.job(&job)
			h.core.Add(h.now, job)
			starts := append(h.settle(), h.settle()...)
			is.Equal(len(starts), 3)
			h.commit()
			ends := endsOf(starts, test.ends...)
			for id, number := range h.exchange(2*time.Second, ends) {
				if number > 0 {
					t.Errorf("end %d of %s is acknowledged before any commit", number, id)
				}
			}
			h.commit()
			for id, number := range h.exchange(time.Second, ends) {
				is.Equal(number, int64(1)) // acknowledged once it is stored
				is.True(len(ends[id]) == 1)
			}
			is.Equal(h.core.Stats().Violations, int64(0))
		})
	}
}

// TestEndOfACancelledJob guards against the acknowledgement of an end that
// arrives after a cancellation whose rows are not stored.
func TestEndOfACancelledJob(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 2}, stepOf(1, 1000))
	starts := h.settle()
	is.Equal(len(starts), 1)
	h.commit()
	h.core.Cancel(h.now, "j")
	ends := endsOf(starts, EndDone)
	is.Equal(h.exchange(2*time.Second, ends)["w000"], int64(0))
	h.commit()
	is.Equal(h.exchange(time.Second, ends)["w000"], int64(1))
}

// TestEndOfAnUnknownJob guards against the acknowledgement of an end whose job
// the owner has not been told of yet. It is acknowledged only once every job
// that was stored before the end is known.
func TestEndOfAnUnknownJob(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	task := TaskName{StepName: StepName{Job: "j"}}
	ends := map[requester.HostID][]EndedRun{"w000": {{Number: 1, Task: task, Run: 1, Kind: EndDone}}}
	h.core.JobsKnown(7)
	h.core.StoreReached(h.now, 9)
	is.Equal(h.exchange(time.Second, ends)["w000"], int64(0))
	h.core.JobsKnown(9)
	is.Equal(h.exchange(time.Second, ends)["w000"], int64(0)) // the job may be in revision 10
	h.core.StoreReached(h.now, 10)
	h.core.JobsKnown(10)
	is.Equal(h.exchange(time.Second, ends)["w000"], int64(1)) // the job was removed, or never stored
}

// TestEndBeforeItsJobIsKnown guards against the loss of an end that a worker
// has reported before the owner is told of the job.
func TestEndBeforeItsJobIsKnown(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	task := TaskName{StepName: StepName{Job: "j"}}
	ends := map[requester.HostID][]EndedRun{"w000": {{Number: 1, Task: task, Run: 1, Kind: EndDone}}}
	is.Equal(h.exchange(time.Second, ends)["w000"], int64(0))
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 2}, stepOf(1, 1000))
	is.Equal(h.core.jobs["j"].state, StateCompleted)
	is.Equal(h.exchange(time.Second, ends)["w000"], int64(0))
	h.commit()
	is.Equal(h.exchange(time.Second, ends)["w000"], int64(1))
	is.Equal(len(h.settle()), 0)
}

// TestEndOfAnExcludedJob guards against the acknowledgement of an end whose job
// is stored with rows that this owner cannot decode, and against a start of that
// job from nothing when its row is observed again.
func TestEndOfAnExcludedJob(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	job := jobOf("j", stepOf(1, 1000))
	is.True(h.core.Recover(JobRows{Job: job, Progress: []byte{0xff}}) != nil)
	task := TaskName{StepName: StepName{Job: "j"}}
	ends := map[requester.HostID][]EndedRun{"w000": {{Number: 1, Task: task, Run: 1, Kind: EndDone}}}
	h.exchange(time.Second, ends)
	h.core.StoreReached(h.now, 10)
	h.core.JobsKnown(10)
	is.Equal(h.exchange(time.Second, ends)["w000"], int64(0))
	is.Equal(h.core.Stats().Violations, int64(0)) // not merely withheld by the check of acknowledgements
	h.core.Add(h.now, job)
	is.Equal(len(h.settle()), 0)
}

// TestEndsInAnyOrder guards against a report that lists a higher number before a
// lower one: the lower one was never applied, but acknowledged.
func TestEndsInAnyOrder(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 2}, stepOf(2, 1000))
	starts := h.settle()
	is.Equal(len(starts), 2)
	ends := endsOf(starts, EndDone)
	slices.Reverse(ends["w000"])
	h.exchange(time.Second, ends)
	is.Equal(h.core.Stats().Done, int64(2))
	h.commit()
	is.Equal(h.exchange(time.Second, ends)["w000"], int64(2))
}

// TestAcknowledgementIsNotRepeated guards against polls that repeat an
// acknowledgement which the worker has confirmed: the worker's next incarnation
// would forget its own ends up to that number if it executes one of them late.
func TestAcknowledgementIsNotRepeated(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 2}, stepOf(1, 1000))
	ends := endsOf(h.settle(), EndDone)
	h.exchange(time.Second, ends)
	h.commit()
	is.Equal(h.exchange(time.Second, ends)["w000"], int64(1))
	is.Equal(h.exchange(time.Second, ends)["w000"], int64(0))
}

// TestNoAcknowledgementToASilentWorker guards against an acknowledgement that
// goes to a worker's next incarnation: one that hasn't answered may have been
// reborn, and would forget its own ends up to that number.
func TestNoAcknowledgementToASilentWorker(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 2}, stepOf(1, 1000))
	ends := endsOf(h.settle(), EndDone)
	h.exchange(time.Second, ends)
	h.commit()
	h.now = h.now.Add(time.Second)
	first := pollOf(t, h.issue())
	is.Equal(first.AcknowledgedEnd, int64(1))
	h.core.PollDone(h.now, first, nil, OrderUnknown)
	h.now = h.now.Add(time.Second)
	is.Equal(pollOf(t, h.issue()).AcknowledgedEnd, int64(0))
}
