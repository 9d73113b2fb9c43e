package standin

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

var testTask = scheduler.TaskName{StepName: scheduler.StepName{Job: "0123456789abcdef"}}

// startOrder returns an order to start a run of 100 ms with a lease to the given
// reading of the worker's clock.
func startOrder(task scheduler.TaskName, number scheduler.RunNumber, deadline time.Duration) scheduler.StartOrder {
	return scheduler.StartOrder{
		Task: task, Run: number, Fence: 1, Deadline: scheduler.WorkerTime(deadline / time.Millisecond),
		Payload: RunSpec{Millis: 100}.Payload(requester.Resources{MilliCores: 1}),
	}
}

// testWorkers returns two workers that booted at now.
func testWorkers(now time.Time) (a, b *TaskWorker) {
	infos := CellWorkers("service", 2, requester.Resources{MilliCores: 8000, MemoryMB: 16000})
	return NewTaskWorker(infos[0], now), NewTaskWorker(infos[1], now)
}

func checkProblems(is *is.I, problems []string, parts ...string) {
	is.Helper()
	is.Equal(len(problems), len(parts)) // number of problems
	for i, part := range parts {
		is.True(strings.Contains(problems[i], part)) // text of the problem
	}
}

// An order for an earlier incarnation that arrives late makes the new one forget an
// end, so that a second run is one too many.
func TestLateAcknowledgementCounts(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a, b := testWorkers(now)
	a.Crash(now)
	a.Restart(now.Add(time.Second))
	now = now.Add(time.Second)
	is.Equal(a.Start(startOrder(testTask, 1, 5*time.Second), now), scheduler.OrderAccepted)
	now = now.Add(time.Second)
	report, _ := a.Poll(scheduler.PollOrder{Fence: 1, AcknowledgedEnd: 57}, now)
	is.Equal(len(report.Ended), 0)
	is.Equal(b.Start(startOrder(testTask, 2, 5*time.Second), now), scheduler.OrderAccepted)
	checkProblems(is, CheckRuns([]*TaskWorker{a, b}, now), "run 2 started after run 1 was acknowledged as done")
}

// An acknowledgement after the lease has lapsed, or in another incarnation, does
// not count.
func TestAcknowledgementThatDoesNotCount(t *testing.T) {
	for _, crash := range []bool{false, true} {
		t.Run(fmt.Sprint("crash ", crash), func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			a, b := testWorkers(now)
			is.Equal(a.Start(startOrder(testTask, 1, time.Second), now), scheduler.OrderAccepted)
			now = now.Add(2 * time.Second)
			if crash {
				a.Crash(now.Add(-1500 * time.Millisecond))
				a.Restart(now)
			}
			a.Poll(scheduler.PollOrder{Fence: 1, AcknowledgedEnd: 1}, now)
			is.Equal(b.Start(startOrder(testTask, 2, 9*time.Second), now), scheduler.OrderAccepted)
			checkProblems(is, CheckRuns([]*TaskWorker{a, b}, now))
		})
	}
}

// TestListShowsFormerIncarnation guards against a stand-in whose list of workers shows at
// once what a worker has become: its row is that of the former incarnation until the next
// one writes its first, or until it expires.
func TestListShowsFormerIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const heartbeat = 1500 * time.Millisecond
		cell := NewCell(1, CellWorkers("service", 1, requester.Resources{MilliCores: 8000}))
		platform := cell.PlatformFor("entry")
		w := cell.Workers()[0]
		list := func() []scheduler.WorkerInfo {
			infos, err := platform.ListWorkers(context.Background())
			is.NoErr(err)
			return infos
		}
		first, _ := w.Info()
		w.Crash(time.Now())
		is.Equal(len(list()), 0) // without heartbeats
		cell.Heartbeat = heartbeat
		is.Equal(list(), []scheduler.WorkerInfo{first})
		time.Sleep(time.Second)
		w.Restart(time.Now())
		second, _ := w.Info()
		beat := second.BootedAt.UnixMilli() % heartbeat.Milliseconds()
		is.True(beat > 100)
		is.Equal(list(), []scheduler.WorkerInfo{first})
		time.Sleep(time.Duration(beat) * time.Millisecond)
		is.Equal(list(), []scheduler.WorkerInfo{second})
		w.Crash(time.Now())
		time.Sleep(missedBeats*heartbeat - 100*time.Millisecond)
		is.Equal(list(), []scheduler.WorkerInfo{second})
		time.Sleep(100 * time.Millisecond)
		is.Equal(len(list()), 0)
	})
}

// TestListLacksIncarnationThatCrashedEarly guards against a stand-in whose list of workers
// shows an incarnation that crashed before it wrote its row.
func TestListLacksIncarnationThatCrashedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const heartbeat = 1500 * time.Millisecond
		w := NewTaskWorker(CellWorkers("service", 1, requester.Resources{MilliCores: 8000})[0], time.Now())
		time.Sleep(heartbeat)
		first, listed := w.Listed(time.Now(), heartbeat)
		is.True(listed)
		time.Sleep(500 * time.Millisecond)
		crashedAt := time.Now()
		w.Crash(crashedAt)
		w.Restart(crashedAt)
		is.True(firstBeat(crashedAt, heartbeat) > 100*time.Millisecond)
		time.Sleep(100 * time.Millisecond)
		w.Crash(time.Now())
		for time.Since(crashedAt) < missedBeats*heartbeat {
			info, listed := w.Listed(time.Now(), heartbeat)
			is.True(listed)
			is.Equal(info, first)
			time.Sleep(100 * time.Millisecond)
		}
		_, listed = w.Listed(time.Now(), heartbeat)
		is.True(!listed)
	})
}

// TestRejectedStartExtendsLease guards against a stand-in whose runs lapse earlier than a
// worker's may: a start that is rejected as old or for want of room carries a deadline for
// all that runs.
func TestRejectedStartExtendsLease(t *testing.T) {
	tests := []struct {
		name  string
		order func() scheduler.StartOrder
		want  scheduler.OrderResult
		lapse time.Duration
	}{
		{"old", func() scheduler.StartOrder { return startOrder(testTask, 1, 5*time.Second) }, scheduler.OrderStaleRun, 5 * time.Second},
		{"again", func() scheduler.StartOrder { return startOrder(longTask, 1, 5*time.Second) }, scheduler.OrderAccepted, 5 * time.Second},
		{"fence", func() scheduler.StartOrder {
			order := startOrder(testTask, 1, 5*time.Second)
			order.Fence = 0
			return order
		}, scheduler.OrderFenced, 2 * time.Second},
		{"late", func() scheduler.StartOrder { return startOrder(testTask, 2, 0) }, scheduler.OrderExpired, 2 * time.Second},
		{"room", func() scheduler.StartOrder {
			order := startOrder(testTask, 2, 5*time.Second)
			order.Payload = RunSpec{Millis: 100}.Payload(requester.Resources{MilliCores: 8000})
			return order
		}, scheduler.OrderNoCapacity, 5 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			w, _ := testWorkers(now)
			w.SetAdmissionCheck(true)
			long := startOrder(longTask, 1, 2*time.Second)
			long.Payload = RunSpec{Millis: 60_000}.Payload(requester.Resources{MilliCores: 1})
			is.Equal(w.Start(long, now), scheduler.OrderAccepted)
			is.Equal(w.Stop(scheduler.StopOrder{Task: testTask, Run: 1, Fence: 1}, now), scheduler.OrderAccepted)
			is.Equal(w.Start(test.order(), now), test.want)
			runs, _ := w.Runs(now.Add(time.Minute))
			is.Equal(len(runs), 1)
			is.Equal(runs[0].Kind, scheduler.EndExpired)
			is.Equal(runs[0].EndedAt.Sub(w.bootedAt), test.lapse)
		})
	}
}

// TestSlowClockLengthensLease guards against a stand-in whose leases end by the true time: a
// worker's clock may be slow, and a lease lasts longer by as much.
func TestSlowClockLengthensLease(t *testing.T) {
	tests := []struct {
		deadline, lapse time.Duration
	}{
		{4900 * time.Millisecond, 5 * time.Second},
		{time.Hour, maxLease * 100 / 98},
	}
	for _, test := range tests {
		is := is.New(t)
		now := time.Now().Truncate(time.Millisecond)
		w, _ := testWorkers(now)
		w.SetClockRate(0.98)
		long := startOrder(longTask, 1, test.deadline)
		long.Payload = RunSpec{Millis: 60_000}.Payload(requester.Resources{MilliCores: 1})
		is.Equal(w.Start(long, now), scheduler.OrderAccepted)
		runs, _ := w.Runs(now.Add(time.Minute))
		is.Equal(runs[0].EndedAt.Sub(now).Round(time.Millisecond), test.lapse.Round(time.Millisecond))
		report, _ := w.Poll(scheduler.PollOrder{Fence: 1}, now.Add(time.Minute))
		is.Equal(report.Clock, scheduler.WorkerTime(58_800))
	}
}

// TestSlowKill guards against a stand-in whose runs end in the instant at which their lease
// expires, or go on if it is renewed while they are being ended.
func TestSlowKill(t *testing.T) {
	is := is.New(t)
	now := time.Now().Truncate(time.Millisecond)
	w, _ := testWorkers(now)
	w.SetKillDelay(900 * time.Millisecond)
	long := startOrder(longTask, 1, 2*time.Second)
	long.Payload = RunSpec{Millis: 2500}.Payload(requester.Resources{MilliCores: 1})
	is.Equal(w.Start(long, now), scheduler.OrderAccepted)
	report, _ := w.Poll(scheduler.PollOrder{Fence: 1, Deadline: 9000}, now.Add(2100*time.Millisecond))
	is.Equal(len(report.Running), 1)
	report, _ = w.Poll(scheduler.PollOrder{Fence: 1}, now.Add(2800*time.Millisecond))
	is.Equal(len(report.Running), 1) // it isn't done either
	report, _ = w.Poll(scheduler.PollOrder{Fence: 1}, now.Add(2900*time.Millisecond))
	is.Equal(len(report.Ended), 1)
	is.Equal(report.Ended[0].Kind, scheduler.EndExpired)
	runs, _ := w.Runs(now.Add(time.Minute))
	is.Equal(runs[0].EndedAt.Sub(now), 2900*time.Millisecond)
}

// longTask is another task than testTask.
var longTask = scheduler.TaskName{StepName: scheduler.StepName{Job: "fedcba9876543210"}}

// A poll acknowledged ends of runs that ended while its response waited.
func TestPollAcknowledgesOnArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		infos := CellWorkers("service", 1, requester.Resources{MilliCores: 8000, MemoryMB: 16000})
		cell := NewCell(1, infos)
		platform := cell.PlatformFor("entry")
		ref := scheduler.WorkerRef{HostID: infos[0].HostID}
		order := startOrder(testTask, 1, 5*time.Second)
		order.Worker = ref
		_, result := platform.Start(context.Background(), order)
		is.Equal(result, scheduler.OrderAccepted)
		report, result := platform.Poll(context.Background(), scheduler.PollOrder{Worker: ref, Fence: 1, AcknowledgedEnd: 57}, time.Second)
		is.Equal(result, scheduler.OrderAccepted)
		is.Equal(len(report.Ended), 1)
	})
}

// A slow store commits a transaction whose caller has gone.
func TestSlowStoreCommitsBeforeItAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		cell := NewCell(1, nil)
		cell.SetFaults(CellFaults{StoreDelay: time.Second})
		committed := 0
		for i := range 20 {
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			_, err := cell.PlatformFor("entry").Transact(ctx, rowTransaction(fmt.Sprintf("jobs/%02d", i)))
			cancel()
			is.True(err != nil)
			committed = len(cell.Keys("jobs/"))
		}
		is.True(committed > 0 && committed < 20)
	})
}

// A gang may run again only if the end that stands for it was not acknowledged.
func TestGangRunsAgainAfterAcknowledgedEnd(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	a, b := testWorkers(now)
	other := testTask
	other.Index = 1
	is.Equal(a.Start(startOrder(testTask, 1, 9*time.Second), now), scheduler.OrderAccepted)
	now = now.Add(time.Second)
	a.Poll(scheduler.PollOrder{Fence: 1, AcknowledgedEnd: 1}, now)
	is.Equal(b.Start(startOrder(other, 1, 9*time.Second), now), scheduler.OrderAccepted)
	isGang := func(scheduler.StepName) bool { return true }
	checkProblems(is, CheckGangs([]*TaskWorker{a, b}, isGang, now)) // a member's first run may come late
	now = now.Add(time.Second)
	is.Equal(b.Start(startOrder(other, 2, 9*time.Second), now), scheduler.OrderAccepted)
	checkProblems(is, CheckGangs([]*TaskWorker{a, b}, isGang, now), "run 2 started after run 1 of its gang was acknowledged as done")
	checkProblems(is, CheckGangs([]*TaskWorker{a, b}, func(scheduler.StepName) bool { return false }, now))
}

func rowTransaction(key string) keeper.Transaction {
	return keeper.Transaction{Writes: []keeper.Write{{Key: key, Value: []byte("value")}}}
}
