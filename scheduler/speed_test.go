package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// runFor lets time pass in short intervals, in each of which every worker is
// polled.
func (h *harness) runFor(wait time.Duration) {
	for until := h.now.Add(wait); h.now.Before(until); {
		h.core.placementPending = true
		for _, w := range h.core.sortedWorkers {
			w.nextPollAt = h.now
		}
		h.advance(100 * time.Millisecond)
	}
}

// TestStalledRun checks that a run is stopped once it has made no progress for
// longer than it takes to redo the work that is lost with it.
func TestStalledRun(t *testing.T) {
	long := Step{Count: 1, EstimateMillis: 4000}
	checkpointing, longRunning, gang := long, long, long
	checkpointing.Checkpointing = true
	longRunning.LongRunning = true
	gang.Gang, gang.Count = true, 3
	tests := []struct {
		name string
		step Step
		// workedFor is how long the run makes progress, stalledFor how long it
		// makes none after that.
		workedFor, stalledFor time.Duration
		want                  int64
	}{
		{"briefly", long, 0, time.Second, 0},
		{"from the beginning", long, 0, 2 * time.Second, 1},
		{"near its end", long, 3 * time.Second, 2 * time.Second, 0},
		{"near its end, for long", long, 3 * time.Second, 4 * time.Second, 1},
		{"near its end, with a checkpoint", checkpointing, 3 * time.Second, 2 * time.Second, 1},
		{"a long-running task", longRunning, 0, 9 * time.Second, 0},
		{"a gang that has done its work and waits for others", gang, 4 * time.Second, 9 * time.Second, 0},
		{"a gang", gang, 0, 2 * time.Second, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(3)
			test.step.Need = workerTotal
			h.add("job", Policy{Stretch: 9}, test.step)
			starts := h.settle()
			is.Equal(len(starts), test.step.Count)
			h.runFor(test.workedFor)
			for _, start := range starts {
				h.stalled[start.Task] = true
			}
			if test.workedFor > 0 {
				// The reported progress stays where it was.
				for _, start := range starts {
					h.stalledPercent[start.Task] = int(100 * test.workedFor.Milliseconds() / test.step.EstimateMillis)
				}
			}
			h.runFor(test.stalledFor)
			is.Equal(h.core.Stats().Stops, test.want)
		})
	}
}

// TestStandingWorker checks that a worker on which no run makes progress gets
// no new tasks until one does.
func TestStandingWorker(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	step := stepOf(2, 1000)
	step.EstimateMillis = 8000
	h.add("job", Policy{Stretch: 9}, step)
	starts := h.settle()
	is.Equal(len(starts), 2)
	for _, start := range starts {
		h.stalled[start.Task] = true
	}
	h.runFor(1500 * time.Millisecond)
	h.add("other", Policy{Stretch: 9}, stepOf(1, 1000))
	is.Equal(len(h.settle()), 0)
	h.stalled[starts[0].Task] = false
	h.runFor(1500 * time.Millisecond)
	is.Equal(h.core.jobs["other"].activeRuns, 1)
}

// TestSlowWorkerLast checks that a worker whose tasks take much longer than
// expected gets new ones only if no other has capacity.
func TestSlowWorkerLast(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	step := stepOf(1, 4000)
	step.EstimateMillis = 4000
	h.add("slow", Policy{Stretch: 9}, step)
	slow := h.settle()
	is.Equal(len(slow), 1)
	h.slowdown = 6
	h.runFor(2 * time.Second)
	h.add("others", Policy{Stretch: 9}, stepOf(3, 4000))
	starts := h.settle()
	is.Equal(len(starts), 3)
	for i, start := range starts {
		is.Equal(start.Worker.HostID == slow[0].Worker.HostID, i == 2)
	}
}

// TestEndByProgress checks that the expected end of a run is extrapolated from
// its progress.
func TestEndByProgress(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	step := stepOf(1, 1000)
	step.EstimateMillis = 1000
	h.add("job", Policy{Stretch: 9}, step)
	start := h.settle()[0]
	h.slowdown = 5
	h.runFor(time.Second)
	r := h.core.workers[start.Worker.HostID].runs[runKey{start.Task, start.Run}]
	end := h.startedAt[start.Task].Add(5 * time.Second)
	is.True(r.expectedEnd.Sub(end).Abs() < 300*time.Millisecond)
}

// TestEvacuation checks that runs that will not end before their worker leaves
// are stopped at once, gangs whole, and that others are left to end.
func TestEvacuation(t *testing.T) {
	long, gang := Step{Count: 1, EstimateMillis: 5000}, Step{Count: 3, EstimateMillis: 5000, Gang: true}
	longRunning := Step{Count: 1, EstimateMillis: 100, LongRunning: true}
	tests := []struct {
		name   string
		step   Step
		notice time.Duration
		want   int64
	}{
		{"no time announced", long, 0, 0},
		{"ends before", long, 6 * time.Second, 0},
		{"does not end", long, 3 * time.Second, 1},
		{"a gang that does not end", gang, 3 * time.Second, 3},
		{"a gang that ends before", gang, 6 * time.Second, 0},
		{"a long-running task", longRunning, 9 * time.Second, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(3)
			test.step.Need = workerTotal
			h.add("job", Policy{Stretch: 9}, test.step)
			starts := h.settle()
			is.Equal(len(starts), test.step.Count)
			var infos []WorkerInfo
			for _, w := range h.core.sortedWorkers {
				infos = append(infos, w.info)
			}
			for i := range infos {
				if infos[i].HostID != starts[0].Worker.HostID {
					continue
				}
				infos[i].Leaving = true
				if test.notice > 0 {
					infos[i].LeavesAt = h.now.Add(test.notice)
				}
			}
			h.core.SetWorkers(h.now, infos)
			h.advance(50 * time.Millisecond)
			is.Equal(h.core.Stats().Stops, test.want)
		})
	}
}

// TestNoticeIsNotRenewed checks that the time at which a worker leaves is
// computed from the first observation of its notice, because the worker list
// repeats the notice unchanged.
func TestNoticeIsNotRenewed(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	info := h.core.sortedWorkers[0].info
	info.Leaving, info.LeavesAt = true, h.now.Add(2*time.Second)
	first := info.LeavesAt
	h.core.SetWorkers(h.now, []WorkerInfo{info})
	info.LeavesAt = first.Add(700 * time.Millisecond)
	h.core.SetWorkers(h.now.Add(700*time.Millisecond), []WorkerInfo{info})
	is.True(h.core.sortedWorkers[0].info.LeavesAt.Equal(first))
}
