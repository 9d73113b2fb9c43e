package placer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

var testStart = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func testLimits() Limits {
	return Limits{LeaseTerm: 6 * time.Second, Margin: 300 * time.Millisecond, SyncInterval: time.Second, TaskAttempts: 3}
}

// newFleet returns a fleet whose workers have all sent an empty full report.
func newFleet(workers int, total requester.Resources) *Fleet {
	f := New("entry", 1, testStart, testLimits())
	infos := make([]WorkerInfo, workers)
	for i := range infos {
		infos[i] = WorkerInfo{HostID: requester.HostID(fmt.Sprintf("w%04d", i)), Rack: fmt.Sprintf("r%d", i/6), Total: total}
	}
	f.SetWorkers(testStart, infos)
	syncAll(f, testStart)
	return f
}

// syncAll answers every pending sync with an empty report.
func syncAll(f *Fleet, now time.Time) []Sync {
	syncs := f.Syncs(now)
	for _, sync := range syncs {
		f.OnReport(now, sync, SyncReport{Now: now, Epoch: sync.Request.Epoch, Boot: 1, Sequence: 1})
	}
	return syncs
}

func testJob(id string, shape requester.JobShape, tasks int, need requester.Resources) JobRow {
	return JobRow{Version: 1, Job: requester.Job{
		JobID: requester.JobID(id), Trade: "trade", Kind: "kind", Shape: shape, Tasks: tasks, Need: need, RunMillis: 1000,
	}}
}

func TestPlaceHoldsWhatFits(t *testing.T) {
	tests := []struct {
		name    string
		workers int
		job     JobRow
		placed  int
	}{
		{"batch fits", 2, testJob("j", requester.ShapeBatch, 4, requester.Resources{MilliCores: 4000, MemoryMB: 100}), 4},
		{"batch fits in part", 2, testJob("j", requester.ShapeBatch, 5, requester.Resources{MilliCores: 4000, MemoryMB: 100}), 4},
		{"memory is the bound", 2, testJob("j", requester.ShapeBatch, 9, requester.Resources{MilliCores: 1, MemoryMB: 3000}), 4},
		{"gang fits", 2, testJob("j", requester.ShapeGang, 4, requester.Resources{MilliCores: 4000, MemoryMB: 100}), 4},
		{"gang does not fit whole", 2, testJob("j", requester.ShapeGang, 5, requester.Resources{MilliCores: 4000, MemoryMB: 100}), 0},
		{"task is larger than any worker", 2, testJob("j", requester.ShapeBatch, 1, requester.Resources{MilliCores: 9000, MemoryMB: 100}), 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(test.workers, requester.Resources{MilliCores: 8000, MemoryMB: 8000})
			f.Add(test.job, 1, false)
			is.Equal(f.Place(testStart), test.placed)
			is.Equal(f.Violation(), "")
		})
	}
}

func TestTooLargeJobEndsWithReason(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, requester.Resources{MilliCores: 8000, MemoryMB: 8000})
	f.Add(testJob("j", requester.ShapeBatch, 1, requester.Resources{MilliCores: 9000, MemoryMB: 1}), 1, false)
	f.Place(testStart)
	status, ok := f.Status("j")
	is.True(ok)
	is.Equal(status.State, requester.JobFailed)
	is.Equal(status.Reason, requester.ReasonTooLarge)
}

// TestSilentWorkerKeepsItsTasks checks that the task of an unresponsive worker
// runs again only after the worker's lease has expired.
func TestSilentWorkerKeepsItsTasks(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, requester.Resources{MilliCores: 8000, MemoryMB: 8000})
	f.Add(testJob("j", requester.ShapeBatch, 1, requester.Resources{MilliCores: 100, MemoryMB: 1}), 1, false)
	is.Equal(f.Place(testStart), 1)
	sent := f.Syncs(testStart)
	is.Equal(len(sent), 1)
	f.OnSyncFailed(testStart.Add(time.Second), sent[0])
	limits := testLimits()
	expiry := testStart.Add(limits.LeaseTerm + limits.Margin)
	is.Equal(f.ExpireLeases(expiry.Add(-time.Millisecond)), 0) // the worker may still run it
	for _, sync := range f.Syncs(testStart.Add(3 * time.Second)) {
		is.True(!sync.Request.Deadline.After(testStart.Add(limits.LeaseTerm))) // the lease is not renewed
	}
	is.Equal(f.ExpireLeases(expiry), 1)
}

// TestFullReportSettlesWhatRuns checks that a new holder adopts the runs of known
// jobs and stops others, and that the resources of both are allocated.
func TestFullReportSettlesWhatRuns(t *testing.T) {
	is := is.New(t)
	f := New("entry", 2, testStart, testLimits())
	f.Add(testJob("wanted", requester.ShapeBatch, 1, requester.Resources{MilliCores: 1000, MemoryMB: 1}), 1, true)
	f.SetWorkers(testStart, []WorkerInfo{{HostID: "w", Total: requester.Resources{MilliCores: 8000, MemoryMB: 8000}}})
	is.True(f.Recovering(testStart))
	is.Equal(f.Place(testStart), 0) // an earlier holder may have started it
	sync := f.Syncs(testStart)[0]
	need := requester.Resources{MilliCores: 1000, MemoryMB: 1}
	f.OnReport(testStart, sync, SyncReport{Boot: 1, Sequence: 5, Tasks: []TaskReport{
		{Task: TaskID{Job: "wanted", Run: 1, Epoch: 1}, Job: "wanted", State: RunRunning, Need: need},
		{Task: TaskID{Job: "unknown", Run: 1, Epoch: 1}, Job: "unknown", State: RunRunning, Need: need},
	}})
	is.True(!f.Recovering(testStart))
	is.Equal(f.Workers()[0].Allocated.MilliCores, int64(2000))
	next := f.Syncs(testStart.Add(time.Second))
	is.Equal(len(next), 1)
	is.Equal(next[0].Request.Stops, []TaskID{{Job: "unknown", Run: 1, Epoch: 1}})
}

// BenchmarkPlace measures one placement on workers that already run tasks.
func BenchmarkPlace(b *testing.B) {
	for _, workers := range []int{350, 700, 1400, 2800} {
		b.Run(fmt.Sprint(workers), func(b *testing.B) { benchmarkPlace(b, workers) })
	}
}

func benchmarkPlace(b *testing.B, workers int) {
	const tasksPerWorker = 18
	random := rand.New(rand.NewPCG(1, 1))
	f := newFleet(workers, requester.Resources{MilliCores: 32_000, MemoryMB: 128 << 10})
	draw := func() requester.Resources {
		return requester.Resources{MilliCores: 200 + random.Int64N(1400), MemoryMB: 500 + random.Int64N(6000)}
	}
	for i := range workers * tasksPerWorker / 50 {
		f.Add(testJob(fmt.Sprintf("fill%d", i), requester.ShapeBatch, 50, draw()), 1, false)
	}
	for f.Place(testStart) > 0 {
	}
	b.ReportAllocs()
	b.ResetTimer()
	placed := 0
	for i := 0; placed < b.N; i++ {
		id := fmt.Sprintf("job%d", i)
		f.Add(testJob(id, requester.ShapeBatch, 50, draw()), 1, false)
		placed += max(1, f.Place(testStart))
		b.StopTimer()
		f.releaseJob(requester.JobID(id))
		b.StartTimer()
	}
}

// releaseJob removes a job and releases its resources at once, as if its workers
// had reported the end of its runs.
func (f *Fleet) releaseJob(id requester.JobID) {
	f.Cancel(id, testStart)
	for _, t := range f.jobs[id].tasks {
		f.unbind(t)
	}
	delete(f.jobs, id)
	for _, w := range f.workerList {
		w.starts, w.stops = nil, nil
	}
	f.dirtyJobs = nil
}

// TestOverUseIsRelieved checks that tasks whose usage exceeds the worker's
// resources are throttled to their declared processor time, and stopped at a
// checkpoint where memory is short; the next run continues from the checkpoint.
func TestOverUseIsRelieved(t *testing.T) {
	tests := []struct {
		name      string
		use       requester.Resources
		throttled int
		stopped   int
	}{
		{"within", requester.Resources{MilliCores: 2000, MemoryMB: 2000}, 0, 0},
		{"processors", requester.Resources{MilliCores: 3500, MemoryMB: 2000}, 4, 0},
		{"memory", requester.Resources{MilliCores: 2000, MemoryMB: 2500}, 0, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, requester.Resources{MilliCores: 8000, MemoryMB: 8000})
			f.Add(testJob("j", requester.ShapeBatch, 4, requester.Resources{MilliCores: 2000, MemoryMB: 2000}), 1, false)
			is.Equal(f.Place(testStart), 4)
			sync := f.Syncs(testStart)[0]
			report := SyncReport{Boot: 1, Sequence: 2}
			for _, start := range sync.Request.Starts {
				report.Tasks = append(report.Tasks, TaskReport{Task: start.Task, Job: "j", State: RunRunning, Need: start.Need, Use: test.use})
			}
			now := testStart.Add(2 * time.Second)
			f.OnReport(now, sync, report)
			next := f.Syncs(now)
			is.Equal(len(next), 1)
			is.Equal(len(next[0].Request.Throttles), test.throttled)
			is.Equal(len(next[0].Request.Stops), test.stopped)
			is.True(f.Workers()[0].Allocated.MilliCores <= 8000)
			if test.stopped == 0 {
				return
			}
			stopped := TaskReport{Task: next[0].Request.Stops[0], Job: "j", State: RunStopped, ProgressMicros: 700_000}
			f.OnReport(now, next[0], SyncReport{Boot: 1, Sequence: 3, Tasks: []TaskReport{stopped}})
			is.Equal(f.jobs["j"].waiting[0].progress, 700*time.Millisecond)
		})
	}
}

// TestRepeatedResultIsNotAcknowledgedEarly guards against a task that runs again
// after its success was acknowledged: the worker reports the result once more
// before the job's row has committed, and the holder is lost after that.
func TestRepeatedResultIsNotAcknowledgedEarly(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, requester.Resources{MilliCores: 8000, MemoryMB: 8000})
	f.Add(testJob("j", requester.ShapeBatch, 1, requester.Resources{MilliCores: 4000, MemoryMB: 100}), 1, false)
	is.Equal(f.Place(testStart), 1)
	now := testStart
	// exchange answers the next sync with a full report of the succeeded run, or
	// loses the answer, and returns the acknowledgements that the sync contained.
	exchange := func(task TaskID, lost bool) []TaskID {
		now = now.Add(2 * time.Second)
		sync := f.Syncs(now)[0]
		if lost {
			f.OnSyncFailed(now, sync)
			return sync.Request.Acks
		}
		report := SyncReport{Now: now, Epoch: 1, Boot: 1, Sequence: 2}
		report.Tasks = []TaskReport{{Task: task, Job: "j", State: RunSucceeded, Need: requester.Resources{MilliCores: 4000, MemoryMB: 100}}}
		f.OnReport(now, sync, report)
		return sync.Request.Acks
	}
	sync := f.Syncs(now)[0]
	task := sync.Request.Starts[0].Task
	f.OnReport(now, sync, SyncReport{Now: now, Epoch: 1, Boot: 1, Sequence: 1})

	is.Equal(len(exchange(task, false)), 0)
	is.Equal(len(exchange(task, true)), 0)
	is.Equal(len(exchange(task, false)), 0) // reports the result again
	is.Equal(len(exchange(task, false)), 0) // the row has not committed
	write := f.RowWrites()[0]
	f.WriteCommitted(write, 2)
	is.True(len(exchange(task, false)) > 0)
}
