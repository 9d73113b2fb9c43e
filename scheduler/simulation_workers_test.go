package scheduler

import (
	"math/rand/v2"
	"slices"
	"time"

	"kumquatstall/requester"
)

// The workers of the simulation, which follow the protocol, and their runs.

// fakeWorker follows the protocol that the platform describes for workers.
type fakeWorker struct {
	sim   *simulation
	info  WorkerInfo
	fence Fence
	lease time.Time
	runs  map[runKey]*fakeRun
	// barredRuns holds, by task, the highest number of a run that was stopped
	// or has ended. Starts up to it are rejected.
	barredRuns map[TaskName]RunNumber
	ended      []EndedRun
	// lapsedEnd is the number of the last end before the worker's lease lapsed,
	// endedAt when the runs ended.
	lapsedEnd        int64
	endedAt          map[int64]time.Time
	lastEnd          int64
	bootedAt         time.Time
	partitionedUntil time.Time
	// hiddenUntil is when the present owner reaches the worker again; a replaced
	// one reaches it before.
	hiddenUntil time.Time
	// stalledUntil is when its runs make progress again.
	stalledUntil time.Time
	crashed      bool
	// refuses is true if only its process has crashed, so that its host refuses
	// connections.
	refuses bool
	// clockRate is the rate of its clock, 1 being exact.
	clockRate float64
	room      fakeRoom
}

type fakeRun struct {
	key       runKey
	need      requester.Resources
	startedAt time.Time
	endsAt    time.Time
	stopsAt   time.Time
	// killed is true once its lease has expired.
	killed   bool
	willFail bool
	gang     bool
	// gangEndsAt is when the last member of its gang has done its work.
	gangEndsAt time.Time
	// gangStarted is true once all members of its gang were present.
	gangStarted bool
}

// percent is how much of its work the run has done. A gang makes progress once
// all of its members are present.
func (r *fakeRun) percent(now time.Time) int {
	if r.gang && !r.gangStarted {
		return 0
	}
	ends := r.endsAt
	if r.gang {
		ends = r.gangEndsAt
	}
	return min(completePercent, int(100*now.Sub(r.startedAt)/max(1, ends.Sub(r.startedAt))))
}

func (f *fakeWorker) clock() WorkerTime {
	passed := WorkerTime(float64(f.sim.now.Sub(f.bootedAt).Milliseconds()) * f.clockRate)
	if f.sim.clocksFromZero {
		return passed
	}
	return clockAtBirth(f.bootedAt) + passed
}

// clockAtBirth returns what the clock of a life shows when it begins, which may be any time.
func clockAtBirth(bootedAt time.Time) WorkerTime {
	return WorkerTime(rand.New(rand.NewPCG(uint64(bootedAt.UnixMilli()), 42)).Int64N(longestClock.Milliseconds()))
}

// longestClock bounds what a clock shows when a life begins.
const longestClock = 3 * time.Hour

// leaseEnd converts a deadline on the worker's clock to simulated time. The
// worker grants at most 10 s.
func (f *fakeWorker) leaseEnd(deadline WorkerTime) time.Time {
	remaining := min(deadline-f.clock(), 10_000)
	return f.sim.now.Add(time.Duration(float64(remaining)/f.clockRate) * time.Millisecond)
}

func (f *fakeWorker) acceptFence(fence Fence) bool {
	if fence < f.fence {
		return false
	}
	f.fence = fence
	return true
}

func (f *fakeWorker) extendLease(deadline WorkerTime) {
	if until := f.leaseEnd(deadline); deadline > 0 && until.After(f.lease) {
		f.lease = until
	}
}

func (f *fakeWorker) start(order StartOrder) OrderResult {
	if !f.acceptFence(order.Fence) {
		return OrderFenced
	}
	key := runKey{order.Task, order.Run}
	if _, ok := f.runs[key]; ok {
		return OrderAccepted
	}
	if order.Run <= f.barredRuns[order.Task] {
		return OrderStaleRun
	}
	if order.Deadline <= f.clock() {
		return OrderExpired
	}
	f.extendLease(order.Deadline)
	sim := f.sim
	job := sim.accepted[order.Task.Job]
	step := &job.Steps[order.Task.Step]
	sim.checkStart(f, order, step)
	length := time.Duration(sim.random.IntN(int(step.EstimateMillis*2)))*time.Millisecond + sim.longer()
	f.runs[key] = &fakeRun{key: key, need: step.Need, gang: step.Gang, startedAt: sim.now, endsAt: sim.now.Add(length), willFail: sim.random.Float64() < sim.options.failures}
	f.afterStart(key)
	return OrderAccepted
}

func (f *fakeWorker) stop(order StopOrder) OrderResult {
	if !f.acceptFence(order.Fence) {
		return OrderFenced
	}
	f.barredRuns[order.Task] = max(f.barredRuns[order.Task], order.Run)
	if r, ok := f.runs[runKey{order.Task, order.Run}]; ok && r.stopsAt.IsZero() {
		r.stopsAt = f.sim.now.Add(time.Duration(f.sim.random.IntN(900)) * time.Millisecond)
	}
	return OrderAccepted
}

func (f *fakeWorker) poll(order PollOrder) (*Report, OrderResult) {
	if !f.acceptFence(order.Fence) {
		return nil, OrderFenced
	}
	f.extendLease(order.Deadline)
	f.forget(order.AcknowledgedEnd)
	report := &Report{Clock: f.clock(), BootedAt: f.info.BootedAt, Ended: slices.Clone(f.ended)}
	if most := f.sim.options.endsPerReport; most > 0 && len(f.ended) >= most {
		report.Ended, report.Partial, report.More = report.Ended[:most], true, true
	}
	for key, r := range f.runs {
		report.Running = append(report.Running, RunningTask{Task: key.name, Run: key.number, Percent: r.percent(f.sim.now), Checkpoint: f.sim.checkpoint(key.name)})
	}
	slices.SortFunc(report.Running, func(a, b RunningTask) int {
		return compareRuns(&run{name: a.Task, number: a.Run}, &run{name: b.Task, number: b.Run})
	})
	return report, OrderAccepted
}

// checkpoint returns the checkpoint of each run of a task that has checkpoints.
func (sim *simulation) checkpoint(name TaskName) string {
	if sim.options.rowBytes == 0 || !sim.accepted[name.Job].Steps[name.Step].Checkpointing {
		return ""
	}
	return "0123456789abcdef"
}

// tick ends the runs that are due to end by now.
func (f *fakeWorker) tick() {
	sim := f.sim
	if f.crashed {
		return
	}
	f.showRoom()
	if !f.sim.now.Before(f.lease) {
		f.lapsedEnd = f.lastEnd
	}
	keys := make([]runKey, 0, len(f.runs))
	for key := range f.runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b runKey) int {
		return compareRuns(&run{name: a.name, number: a.number}, &run{name: b.name, number: b.number})
	})
	for _, key := range keys {
		r, runs := f.runs[key]
		if !runs {
			// It ended with another member of its gang.
			continue
		}
		if sim.now.Before(f.stalledUntil) {
			r.startedAt, r.endsAt = r.startedAt.Add(simulationTick), r.endsAt.Add(simulationTick)
		}
		gang := sim.accepted[key.name.Job].Steps[key.name.Step].Gang
		if !sim.now.Before(f.lease) {
			f.kill(r)
		}
		switch {
		case r.killed && !sim.now.Before(r.stopsAt):
			f.endRun(r, EndExpired)
		case r.killed:
		case !r.stopsAt.IsZero() && !sim.now.Before(r.stopsAt):
			f.endRun(r, EndStopped)
		case !sim.now.Before(r.endsAt) && r.stopsAt.IsZero() && !gang:
			if r.willFail {
				f.endRun(r, EndFailed)
			} else {
				f.endRun(r, EndDone)
			}
		case gang:
			sim.advanceGang(f, r)
		}
	}
}

// advanceGang ends all members of a gang at once when the last one has done its
// work. The members are aborted if one ends before that, or if the gang is not
// complete in time.
func (sim *simulation) advanceGang(f *fakeWorker, r *fakeRun) {
	count := sim.accepted[r.key.name.Job].Steps[r.key.name.Step].Count
	type member struct {
		worker *fakeWorker
		run    *fakeRun
	}
	var members []member
	for _, other := range sim.workers {
		for key, run := range other.runs {
			if key.name.StepName == r.key.name.StepName && key.number == r.key.number && run.stopsAt.IsZero() && !other.crashed {
				members = append(members, member{other, run})
			}
		}
	}
	if len(members) < count {
		if r.gangStarted || sim.now.After(r.endsAt.Add(8*time.Second)) {
			// Another member has ended or never started.
			f.endRun(r, EndGangAborted)
		}
		return
	}
	latest := r.endsAt
	for _, m := range members {
		m.run.gangStarted = true
		if m.run.endsAt.After(latest) {
			latest = m.run.endsAt
		}
	}
	for _, m := range members {
		m.run.gangEndsAt = latest
	}
	if sim.now.Before(latest) {
		return
	}
	slices.SortFunc(members, func(a, b member) int { return a.run.key.name.Index - b.run.key.name.Index })
	for _, m := range members {
		if r.willFail {
			m.worker.endRun(m.run, EndFailed)
		} else {
			m.worker.endRun(m.run, EndDone)
		}
	}
}

func (f *fakeWorker) endRun(r *fakeRun, kind EndKind) {
	delete(f.runs, r.key)
	f.barredRuns[r.key.name] = max(f.barredRuns[r.key.name], r.key.number)
	f.lastEnd++
	f.endedAt[f.lastEnd] = f.sim.now
	f.ended = append(f.ended, EndedRun{Number: f.lastEnd, Task: r.key.name, Run: r.key.number, Kind: kind})
	switch kind {
	case EndDone:
		f.sim.finished[r.key.name] = true
	case EndFailed:
		f.sim.recordFailure(r.key)
	}
}

// recordFailure records that a run has failed. The members of a gang count as
// one.
func (sim *simulation) recordFailure(key runKey) {
	name := key.name
	if sim.accepted[name.Job].Steps[name.Step].Gang {
		name.Index = 0
	}
	if sim.failedRuns[name] == nil {
		sim.failedRuns[name] = make(map[RunNumber]bool)
	}
	sim.failedRuns[name][key.number] = true
}

// crash loses the runs of a worker. Unless the crash is permanent, a new
// incarnation starts within a few seconds.
func (f *fakeWorker) crash() {
	sim := f.sim
	if f.crashed {
		return
	}
	f.crashed = true
	f.room.crashedAt, sim.disturbedAt = sim.now, sim.now
	f.recordCrash()
	for key := range f.runs {
		delete(f.runs, key)
	}
	if sim.random.Float64() < sim.options.permanent && sim.permanentCrashes < len(sim.workers)/3 {
		// At least two thirds of the workers remain, so that the widest gang
		// still fits.
		sim.permanentCrashes++
		return
	}
	sim.after(sim.rebirthDelay(), func() {
		f.crashed, f.refuses = false, false
		f.fence, f.lease, f.lastEnd, f.lapsedEnd, f.ended = 0, time.Time{}, 0, 0, nil
		f.barredRuns, f.endedAt = make(map[TaskName]RunNumber), make(map[int64]time.Time)
		f.bootedAt = sim.now
		f.info.BootedAt = sim.now
		f.furnishAnew()
	})
}
