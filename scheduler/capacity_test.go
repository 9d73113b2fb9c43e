package scheduler

import (
	"testing"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// TestLastingIsCounted checks that what tasks that last occupy on a worker is
// counted from their start, or their first report, until their end.
func TestLastingIsCounted(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	w := h.core.sortedWorkers[0]
	h.add("short", Policy{Stretch: 9}, stepOf(1, 500))
	h.add("lasting", Policy{Stretch: 9}, lastingStep(2, 1000))
	starts := h.settle()
	is.Equal(len(starts), 3)
	is.Equal(w.lasting, requester.Resources{MilliCores: 2000, MemoryMB: 200})
	for _, start := range starts {
		if start.Task.Job == "lasting" {
			h.endRun(start, EndFailed)
			break
		}
	}
	is.Equal(w.lasting, requester.Resources{MilliCores: 1000, MemoryMB: 100})
	is.Equal(len(h.settle()), 1)
	is.Equal(w.lasting, requester.Resources{MilliCores: 2000, MemoryMB: 200})

	successor := New(Options{Epoch: 2}, h.now)
	job := h.core.jobs["lasting"].spec
	is.NoErr(successor.Recover(JobRows{Job: job, Progress: EncodeRow(h.core.jobs["lasting"].progress(h.core.jobs["lasting"].detailedTasks()))}))
	successor.SetWorkers(h.now, []WorkerInfo{w.info})
	report := &Report{Clock: 1, BootedAt: w.bootedAt}
	for _, start := range h.running {
		report.Running = append(report.Running, h.report(start))
	}
	successor.PollDone(h.now, PollOrder{Worker: w.ref(), Fence: successor.fence(successor.sortedWorkers[0]), SentAt: h.now}, report, OrderAccepted)
	adopted := successor.sortedWorkers[0]
	is.Equal(adopted.lasting, requester.Resources{MilliCores: 2000, MemoryMB: 200})
	successor.endIncarnation(adopted, adopted.ref())
	is.Equal(adopted.lasting, requester.Resources{})
}
