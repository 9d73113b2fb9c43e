package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// runFor lets time pass in short steps.
func (b *bench) runFor(wait time.Duration) {
	for until := b.now.Add(wait); b.now.Before(until); {
		b.core.placementPending = true
		for _, w := range b.core.sortedWorkers {
			w.nextPollAt = b.now
		}
		b.step(100 * time.Millisecond)
	}
}

// TestStalledRun: a run that stands still is stopped once it has done so for
// longer than the work takes that is lost with it.
func TestStalledRun(t *testing.T) {
	long := Step{Count: 1, EstimateMillis: 4000}
	checkpointing, lasting, gang := long, long, long
	checkpointing.Checkpointing = true
	lasting.LongRunning = true
	gang.Gang, gang.Count = true, 3
	tests := []struct {
		name string
		step Step
		// worked is for how long it worked before it stood still, still for
		// how long it does so.
		worked, still time.Duration
		want          int64
	}{
		{"for a moment", long, 0, time.Second, 0},
		{"from the beginning", long, 0, 2 * time.Second, 1},
		{"near its end", long, 3 * time.Second, 2 * time.Second, 0},
		{"near its end, for long", long, 3 * time.Second, 4 * time.Second, 1},
		{"near its end, with a checkpoint", checkpointing, 3 * time.Second, 2 * time.Second, 1},
		{"a task that lasts", lasting, 0, 9 * time.Second, 0},
		{"a gang that has done its work and waits for others", gang, 4 * time.Second, 9 * time.Second, 0},
		{"a gang", gang, 0, 2 * time.Second, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(3)
			test.step.Need = benchRoom
			b.add("job", Policy{Stretch: 9}, test.step)
			starts := b.settle()
			is.Equal(len(starts), test.step.Count)
			b.runFor(test.worked)
			for _, start := range starts {
				b.standing[start.Task] = true
			}
			if test.worked > 0 {
				// What it had done stays.
				for _, start := range starts {
					b.stuckAt[start.Task] = int(100 * test.worked.Milliseconds() / test.step.EstimateMillis)
				}
			}
			b.runFor(test.still)
			is.Equal(b.core.Stats().Stops, test.want)
		})
	}
}

// TestStandingWorker: where nothing moves, nothing more is started, until
// something moves again.
func TestStandingWorker(t *testing.T) {
	is := is.New(t)
	b := newBench(1)
	step := cores(2, 1000)
	step.EstimateMillis = 8000
	b.add("job", Policy{Stretch: 9}, step)
	starts := b.settle()
	is.Equal(len(starts), 2)
	for _, start := range starts {
		b.standing[start.Task] = true
	}
	b.runFor(1500 * time.Millisecond)
	b.add("other", Policy{Stretch: 9}, cores(1, 1000))
	is.Equal(len(b.settle()), 0)
	b.standing[starts[0].Task] = false
	b.runFor(1500 * time.Millisecond)
	is.Equal(b.core.jobs["other"].activeRuns, 1)
}

// TestSlowWorkerLast: a worker whose tasks take much longer than they should
// gets new ones only if no other has room.
func TestSlowWorkerLast(t *testing.T) {
	is := is.New(t)
	b := newBench(2)
	step := cores(1, 4000)
	step.EstimateMillis = 4000
	b.add("slow", Policy{Stretch: 9}, step)
	slow := b.settle()
	is.Equal(len(slow), 1)
	b.slowness = 6
	b.runFor(2 * time.Second)
	b.add("others", Policy{Stretch: 9}, cores(3, 4000))
	starts := b.settle()
	is.Equal(len(starts), 3)
	for i, start := range starts {
		is.Equal(start.Worker.HostID == slow[0].Worker.HostID, i == 2)
	}
}

// TestEndByProgress: when a run should end follows from how far it has come.
func TestEndByProgress(t *testing.T) {
	is := is.New(t)
	b := newBench(1)
	step := cores(1, 1000)
	step.EstimateMillis = 1000
	b.add("job", Policy{Stretch: 9}, step)
	start := b.settle()[0]
	b.slowness = 5
	b.runFor(time.Second)
	r := b.core.workers[start.Worker.HostID].runs[runKey{start.Task, start.Run}]
	end := b.began[start.Task].Add(5 * time.Second)
	is.True(r.expectedEnd.Sub(end).Abs() < 300*time.Millisecond)
}

// TestEvacuation: what won't have ended when its worker leaves is stopped at
// once, also the rest of a gang; what will is left to end.
func TestEvacuation(t *testing.T) {
	long, gang := Step{Count: 1, EstimateMillis: 5000}, Step{Count: 3, EstimateMillis: 5000, Gang: true}
	lasting := Step{Count: 1, EstimateMillis: 100, LongRunning: true}
	tests := []struct {
		name   string
		step   Step
		notice time.Duration
		want   int64
	}{
		{"no time is known", long, 0, 0},
		{"ends before", long, 6 * time.Second, 0},
		{"does not end", long, 3 * time.Second, 1},
		{"a gang that does not end", gang, 3 * time.Second, 3},
		{"a gang that ends before", gang, 6 * time.Second, 0},
		{"a task that lasts", lasting, 9 * time.Second, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(3)
			test.step.Need = benchRoom
			b.add("job", Policy{Stretch: 9}, test.step)
			starts := b.settle()
			is.Equal(len(starts), test.step.Count)
			var infos []WorkerInfo
			for _, w := range b.core.sortedWorkers {
				infos = append(infos, w.info)
			}
			for i := range infos {
				if infos[i].HostID != starts[0].Worker.HostID {
					continue
				}
				infos[i].Leaving = true
				if test.notice > 0 {
					infos[i].LeavesAt = b.now.Add(test.notice)
				}
			}
			b.core.SetWorkers(b.now, infos)
			b.step(50 * time.Millisecond)
			is.Equal(b.core.Stats().Stops, test.want)
		})
	}
}

// TestNoticeIsNotRenewed: the list repeats a notice unchanged, so its time
// counts from when it was seen first.
func TestNoticeIsNotRenewed(t *testing.T) {
	is := is.New(t)
	b := newBench(1)
	info := b.core.sortedWorkers[0].info
	info.Leaving, info.LeavesAt = true, b.now.Add(2*time.Second)
	first := info.LeavesAt
	b.core.SetWorkers(b.now, []WorkerInfo{info})
	info.LeavesAt = first.Add(700 * time.Millisecond)
	b.core.SetWorkers(b.now.Add(700*time.Millisecond), []WorkerInfo{info})
	is.True(b.core.sortedWorkers[0].info.LeavesAt.Equal(first))
}
