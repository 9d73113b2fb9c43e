package standin

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// tardyWorker returns a worker that kills late, with a run of the given length whose lease
// ends at leaseEnd after its birth, and the time of the birth.
func tardyWorker(is *is.I, killDelay, leaseEnd time.Duration, millis int64) (*TaskWorker, time.Time) {
	is.Helper()
	birth := time.Now().Truncate(time.Millisecond)
	w, _ := testWorkers(birth)
	w.SetKillDelay(killDelay)
	order := startOrder(testTask, 1, leaseEnd)
	order.Payload = RunSpec{Millis: millis}.Payload(requester.Resources{MilliCores: 1})
	is.Equal(w.Start(order, birth), scheduler.OrderAccepted)
	return w, birth
}

// TestLateKill guards against a stand-in whose runs all end in the very instant in which their
// lease does: a worker needs time to kill them.
func TestLateKill(t *testing.T) {
	const delay, leaseEnd = 900 * time.Millisecond, 2 * time.Second
	// at is in the time in which the run is being killed.
	const at = leaseEnd + 400*time.Millisecond
	tests := []struct {
		name   string
		delay  time.Duration
		millis int64
		// during happens at that moment.
		during  func(w *TaskWorker, now time.Time)
		endedAt time.Duration
		kind    scheduler.EndKind
	}{
		{"at once", 0, 60_000, nil, leaseEnd, scheduler.EndExpired},
		{"late", delay, 60_000, nil, leaseEnd + delay, scheduler.EndExpired},
		{"its work is over meanwhile", delay, (leaseEnd + delay/2).Milliseconds(), nil, leaseEnd + delay, scheduler.EndExpired},
		{"its work was over before", delay, (leaseEnd - delay/2).Milliseconds(), nil, leaseEnd - delay/2, scheduler.EndDone},
		{"renewed", delay, 60_000, func(w *TaskWorker, now time.Time) {
			w.Poll(scheduler.PollOrder{Fence: 1, Deadline: 9000}, now)
		}, leaseEnd + delay, scheduler.EndExpired},
		{"stopped", delay, 60_000, func(w *TaskWorker, now time.Time) {
			w.Stop(scheduler.StopOrder{Task: testTask, Run: 1, Fence: 1}, now)
		}, leaseEnd + delay, scheduler.EndExpired},
		{"crashed", delay, 60_000, func(w *TaskWorker, now time.Time) { w.Crash(now) }, at, scheduler.EndUnknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w, birth := tardyWorker(is, test.delay, leaseEnd, test.millis)
			if test.during != nil {
				test.during(w, birth.Add(at))
			}
			runs, _ := w.Runs(birth.Add(time.Minute))
			is.Equal(len(runs), 1)
			is.Equal(runs[0].Kind, test.kind)
			is.Equal(runs[0].EndedAt.Sub(birth), test.endedAt)
		})
	}
}

// TestLateKillIsReported checks what polls say of a run that is being killed, and that a run
// that starts then, under a lease of its own, isn't killed with it.
func TestLateKillIsReported(t *testing.T) {
	is := is.New(t)
	w, birth := tardyWorker(is, 900*time.Millisecond, 2*time.Second, 2500)
	report, _ := w.Poll(scheduler.PollOrder{Fence: 1}, birth.Add(2899*time.Millisecond))
	is.Equal(report.Running, []scheduler.RunningTask{{Task: testTask, Run: 1, Percent: 100}})
	is.Equal(len(report.Ended), 0)
	later := startOrder(longTask, 1, 9*time.Second)
	later.Payload = RunSpec{Millis: 60_000}.Payload(requester.Resources{MilliCores: 1})
	is.Equal(w.Start(later, birth.Add(2899*time.Millisecond)), scheduler.OrderAccepted)
	report, _ = w.Poll(scheduler.PollOrder{Fence: 1}, birth.Add(2900*time.Millisecond))
	is.Equal(len(report.Running), 1)
	is.Equal(report.Running[0].Task, longTask)
	is.Equal(report.Ended, []scheduler.EndedRun{{Number: 1, Task: testTask, Run: 1, Kind: scheduler.EndExpired}})
}

// TestLateKillOverlaps checks that a run counts until it has ended, not until its lease has.
func TestLateKillOverlaps(t *testing.T) {
	for _, early := range []bool{true, false} {
		is := is.New(t)
		w, birth := tardyWorker(is, 900*time.Millisecond, 2*time.Second, 60_000)
		_, other := testWorkers(birth)
		at, want := birth.Add(2900*time.Millisecond), []string{}
		if early {
			at, want = at.Add(-time.Millisecond), []string{"runs 1 and 2 overlap"}
		}
		is.Equal(other.Start(startOrder(testTask, 2, 9*time.Second), at), scheduler.OrderAccepted)
		checkProblems(is, CheckRuns([]*TaskWorker{w, other}, birth.Add(time.Minute)), want...)
	}
}

// TestEveryPairOfRunsIsChecked guards against a check that compares a run with the one before
// it alone: a long run or a noted end may lie further back.
func TestEveryPairOfRunsIsChecked(t *testing.T) {
	start := func(is *is.I, w *TaskWorker, run scheduler.RunNumber, millis int64, now time.Time) {
		order := startOrder(testTask, run, time.Hour)
		order.Payload = RunSpec{Millis: millis}.Payload(requester.Resources{MilliCores: 1})
		is.Equal(w.Start(order, now), scheduler.OrderAccepted)
	}
	t.Run("overlap", func(t *testing.T) {
		is := is.New(t)
		now := time.Now().Truncate(time.Millisecond)
		a, b := testWorkers(now)
		start(is, a, 1, 5000, now)
		start(is, b, 2, 100, now.Add(time.Second))
		start(is, b, 3, 100, now.Add(2*time.Second))
		checkProblems(is, CheckRuns([]*TaskWorker{a, b}, now.Add(9*time.Second)), "runs 1 and 2 overlap", "runs 1 and 3 overlap")
	})
	t.Run("noted end", func(t *testing.T) {
		is := is.New(t)
		now := time.Now().Truncate(time.Millisecond)
		a, b := testWorkers(now)
		start(is, a, 1, 100, now)
		a.Poll(scheduler.PollOrder{Fence: 1, AcknowledgedEnd: 1}, now.Add(time.Second))
		start(is, b, 2, 100, now.Add(2*time.Second))
		start(is, b, 3, 100, now.Add(3*time.Second))
		checkProblems(is, CheckRuns([]*TaskWorker{a, b}, now.Add(9*time.Second)), "run 2 started after run 1 was acknowledged", "run 3 started after run 1 was acknowledged")
	})
}

// TestBirthsNeedNotRise guards against a stand-in whose births rise from life to life: they
// are times of day, which may be set back between two lives. Its own clock isn't.
func TestBirthsNeedNotRise(t *testing.T) {
	is := is.New(t)
	now := time.Now().Truncate(time.Millisecond)
	w, _ := testWorkers(now)
	reborn := func(lead time.Duration) time.Time {
		now = now.Add(time.Second)
		w.Crash(now)
		w.SetTimeOfDayLead(lead)
		w.Restart(now)
		info, _ := w.Info()
		report, _ := w.Poll(scheduler.PollOrder{Fence: 1}, now)
		is.Equal(report.BootedAt, info.BootedAt)
		is.Equal(report.Clock, scheduler.WorkerTime(0))
		is.Equal(info.BootedAt.Sub(now), lead)
		return info.BootedAt
	}
	ahead := reborn(3 * time.Second)
	is.True(reborn(-3 * time.Second).Before(ahead))
	is.Equal(reborn(0), now)
}

// TestCutLosesResponse guards against a stand-in that lets the response to a long poll pass
// a partition: the order has renewed the lease, and its sender doesn't learn of it.
func TestCutLosesResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		infos := CellWorkers("service", 1, requester.Resources{MilliCores: 8000})
		cell := NewCell(1, infos)
		w := cell.Workers()[0]
		order := startOrder(testTask, 1, time.Second)
		order.Payload = RunSpec{Millis: 60_000}.Payload(requester.Resources{MilliCores: 1})
		is.Equal(w.Start(order, time.Now()), scheduler.OrderAccepted)
		time.AfterFunc(500*time.Millisecond, func() { w.SetPartitioned(true) })
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		poll := scheduler.PollOrder{Worker: scheduler.WorkerRef{HostID: infos[0].HostID}, Fence: 1, Deadline: 9000}
		_, result := cell.PlatformFor("entry").Poll(ctx, poll, time.Second)
		is.Equal(result, scheduler.OrderUnknown)
		time.Sleep(time.Minute)
		runs, _ := w.Runs(time.Now())
		is.Equal(runs[0].EndedAt.Sub(runs[0].StartedAt).Round(time.Second), 9*time.Second)
	})
}

// TestListLag guards against a stand-in whose list of workers forgets a former life for good
// with the next one's first heartbeat: a row may be written late, over that of the next life,
// and the list may show it for the first time then.
func TestListLag(t *testing.T) {
	is := is.New(t)
	const heartbeat, lag = 1500 * time.Millisecond, 2 * time.Second
	start := time.UnixMilli(time.Now().Truncate(time.Minute).UnixMilli() / 1500 * 1500)
	at := func(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }
	w, _ := testWorkers(at(0)) // its rows are written at 0, 1500, ...
	lives := []scheduler.WorkerInfo{}
	reborn := func(millis int, lag time.Duration) {
		info, _ := w.Info()
		lives = append(lives, info)
		w.Crash(at(millis))
		w.SetListLag(lag)
		w.Restart(at(millis))
	}
	reborn(3100, lag) // sends a row at 3200, which arrives at 5200
	reborn(4000, 0)   // writes rows at 5000, 6500, ...
	info, _ := w.Info()
	lives = append(lives, info)
	for millis, want := range map[int]int{3300: 0, 4999: 0, 5000: 2, 5199: 2, 5200: 1, 6499: 1, 6500: 2, 9000: 2} {
		info, listed := w.Listed(at(millis), heartbeat)
		is.True(listed)
		is.Equal(info, lives[want]) // the life that is shown
	}
}

// TestLateStop guards against a stand-in whose stopped runs end at once: they keep their room
// until the worker has killed them, and a lease that ends meanwhile changes nothing.
func TestLateStop(t *testing.T) {
	is := is.New(t)
	const delay, leaseEnd = 900 * time.Millisecond, 2 * time.Second
	w, birth := tardyWorker(is, delay, leaseEnd, 60_000)
	stoppedAt := birth.Add(leaseEnd - delay/2)
	is.Equal(w.Stop(scheduler.StopOrder{Task: testTask, Run: 1, Fence: 1}, stoppedAt), scheduler.OrderAccepted)
	report, _ := w.Poll(scheduler.PollOrder{Fence: 1}, stoppedAt.Add(delay-time.Millisecond))
	is.Equal(len(report.Running), 1)
	report, _ = w.Poll(scheduler.PollOrder{Fence: 1}, stoppedAt.Add(delay))
	is.Equal(len(report.Running), 0)
	is.Equal(len(report.Ended), 1)
	is.Equal(report.Ended[0].Kind, scheduler.EndStopped)
}

// TestNextClock checks that the clock of a life may begin anywhere, and that leases end by it.
func TestNextClock(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC)
	w, _ := testWorkers(now)
	w.SetNextClock(7_200_000)
	w.Crash(now)
	now = now.Add(time.Second)
	w.Restart(now)
	is.Equal(w.Start(scheduler.StartOrder{Task: testTask, Run: 1, Deadline: 5000}, now), scheduler.OrderExpired) // by the former life's clock
	is.Equal(w.Start(scheduler.StartOrder{Task: testTask, Run: 1, Deadline: 7_203_000, Payload: RunSpec{Millis: 60_000}.Payload(requester.Resources{MilliCores: 1})}, now), scheduler.OrderAccepted)
	report, _ := w.Poll(scheduler.PollOrder{}, now.Add(2*time.Second))
	is.Equal(report.Clock, scheduler.WorkerTime(7_202_000))
	is.Equal(len(report.Running), 1)
	report, _ = w.Poll(scheduler.PollOrder{}, now.Add(3*time.Second))
	is.Equal(len(report.Running), 0) // its lease has expired
}
