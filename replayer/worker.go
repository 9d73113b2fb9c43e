package replayer

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// worker is a simulated worker, which executes the core's orders.
type worker struct {
	replay  *replay
	info    scheduler.WorkerInfo
	runs    []*taskRun
	ended   []scheduler.EndedRun
	lastEnd int64
	// speed is relative to the normal speed; 0 means that its runs are stalled.
	speed        float64
	failing      bool
	unresponsive bool
	// removed is true once the worker has left permanently.
	removed bool
	// pendingPoll responds to the long poll that waits for a run to end; nil if
	// there is none.
	pendingPoll func()
}

// taskRun is a run of a task on a worker.
type taskRun struct {
	worker *worker
	task   scheduler.TaskName
	run    scheduler.RunNumber
	need   requester.Resources
	gang   *gang
	// totalWork is the run time at normal speed, completedWork the part of it
	// that was completed at advancedAt, and speed the rate of progress since.
	totalWork, completedWork time.Duration
	speed                    float64
	advancedAt               time.Time
	// workDone is true once the run has completed its work. A gang's member then
	// waits for the others.
	workDone bool
	// planVersion increases with each change of the planned end. It invalidates
	// end events scheduled before.
	planVersion int
	fails       bool
	ended       bool
}

// gangKey identifies one run of a gang.
type gangKey struct {
	step scheduler.StepName
	run  scheduler.RunNumber
}

// gang is one run of a gang. Its members make progress once size of them have
// started.
type gang struct {
	size    int
	members []*taskRun
}

func (g *gang) allWorkDone() bool {
	for _, member := range g.members {
		if !member.workDone {
			return false
		}
	}
	return true
}

// hashFraction returns a pseudo-random number in [0, 1) that depends on the
// seed, the step and the worker only.
func hashFraction(seed uint64, step scheduler.StepName, id requester.HostID) float64 {
	sum := xxhash.Sum64String(fmt.Sprintf("%d %v %s", seed, step, id))
	return float64(sum>>11) / (1 << 53)
}

// clock returns the worker's clock, which counts from its boot.
func (w *worker) clock() scheduler.WorkerTime {
	return scheduler.WorkerTime(w.replay.now.Sub(w.info.BootedAt).Milliseconds())
}

func (w *worker) start(order scheduler.StartOrder) {
	r := w.replay
	if w.unresponsive {
		r.scheduleAfter(unresponsiveTimeout, func() { r.core.StartDone(r.now, order, scheduler.OrderUnknown) })
		return
	}
	r.scheduleAfter(orderLatency, func() {
		if w.removed {
			r.core.StartDone(r.now, order, scheduler.OrderUnknown)
			return
		}
		w.startRun(order)
		clock := w.clock()
		r.scheduleAfter(orderLatency, func() { r.core.StartAccepted(r.now, order, clock) })
	})
}

func (w *worker) startRun(order scheduler.StartOrder) {
	r := w.replay
	j := r.byID[order.Task.Job]
	def := &j.spec.Steps[order.Task.Step]
	run := &taskRun{
		worker: w, task: order.Task, run: order.Run, need: def.Need,
		totalWork: j.taskTimes[order.Task.Step], advancedAt: r.now, fails: j.alwaysFails || w.failing,
	}
	w.runs = append(w.runs, run)
	r.usage.allocate(r.now, def.Need)
	if def.Gang {
		key := gangKey{order.Task.StepName, order.Run}
		if r.gangs[key] == nil {
			r.gangs[key] = &gang{size: def.Count}
		}
		run.gang = r.gangs[key]
		run.gang.members = append(run.gang.members, run)
	}
	run.replan()
}

// currentSpeed returns the speed at which the run makes progress now: its
// worker's, or 0 while members of its gang are missing.
func (t *taskRun) currentSpeed() float64 {
	if t.gang != nil && len(t.gang.members) < t.gang.size {
		return 0
	}
	return t.worker.speed
}

// replan records the progress of a run and of the members of its gang, updates
// their speed and schedules their ends anew.
func (t *taskRun) replan() {
	runs := []*taskRun{t}
	if t.gang != nil {
		runs = t.gang.members
	}
	for _, run := range runs {
		run.advance()
		run.speed = run.currentSpeed()
		run.planVersion++
		if run.ended || run.workDone || run.speed == 0 {
			continue
		}
		planVersion := run.planVersion
		left := time.Duration(float64(run.totalWork-run.completedWork) / run.speed)
		run.worker.replay.scheduleAfter(left, func() {
			if run.planVersion == planVersion && !run.ended {
				run.finish()
			}
		})
	}
}

// advance adds the progress since advancedAt.
func (t *taskRun) advance() {
	now := t.worker.replay.now
	t.completedWork += time.Duration(float64(now.Sub(t.advancedAt)) * t.speed)
	t.advancedAt = now
}

// finish handles a run that has completed its work. The members of a gang end
// together: with the last of them, or with the first that fails.
func (t *taskRun) finish() {
	t.advance()
	t.workDone = true
	if t.gang != nil && !t.fails && !t.gang.allWorkDone() {
		return
	}
	kind := scheduler.EndDone
	if t.fails {
		kind = scheduler.EndFailed
	}
	t.end(kind)
	if t.gang == nil {
		return
	}
	for _, member := range t.gang.members {
		if kind == scheduler.EndFailed {
			member.end(scheduler.EndGangAborted)
		} else {
			member.end(kind)
		}
	}
}

// end ends a run, adds it to the ended runs that the worker reports and responds
// to a pending long poll.
func (t *taskRun) end(kind scheduler.EndKind) {
	if t.ended {
		return
	}
	t.advance()
	t.ended = true
	w := t.worker
	w.replay.usage.release(w.replay.now, t.need)
	if kind != scheduler.EndDone {
		w.replay.usage.addWaste(t.need, t.completedWork)
	}
	for i, run := range w.runs {
		if run == t {
			w.runs = append(w.runs[:i], w.runs[i+1:]...)
			break
		}
	}
	w.lastEnd++
	w.ended = append(w.ended, scheduler.EndedRun{Number: w.lastEnd, Task: t.task, Run: t.run, Kind: kind})
	if w.pendingPoll != nil {
		respond := w.pendingPoll
		w.pendingPoll = nil
		w.replay.scheduleAfter(0, respond)
	}
}

func (w *worker) stop(order scheduler.StopOrder) {
	r := w.replay
	if w.unresponsive {
		r.scheduleAfter(unresponsiveTimeout, func() { r.core.StopDone(r.now, order, scheduler.OrderUnknown) })
		return
	}
	r.scheduleAfter(orderLatency, func() {
		for _, run := range w.runs {
			if run.task == order.Task && run.run == order.Run {
				run.end(scheduler.EndStopped)
				break
			}
		}
		r.scheduleAfter(orderLatency, func() { r.core.StopDone(r.now, order, scheduler.OrderAccepted) })
	})
}

// poll responds at once if the poll is not a long poll or there are ended runs
// that it does not acknowledge; otherwise when a run ends, or after
// longPollTimeout.
func (w *worker) poll(order scheduler.PollOrder) {
	r := w.replay
	if w.unresponsive {
		r.scheduleAfter(unresponsiveTimeout, func() { r.core.PollDone(r.now, order, nil, scheduler.OrderUnknown) })
		return
	}
	responded := false
	respond := func() {
		if responded {
			return
		}
		responded = true
		report := w.report(order.AcknowledgedEnd)
		r.scheduleAfter(orderLatency, func() { r.core.PollDone(r.now, order, report, scheduler.OrderAccepted) })
	}
	r.scheduleAfter(orderLatency, func() {
		if !order.LongPoll || len(w.ended) > 0 && w.ended[len(w.ended)-1].Number > order.AcknowledgedEnd {
			respond()
			return
		}
		w.pendingPoll = respond
		r.scheduleAfter(longPollTimeout, respond)
	})
}

// report drops the ended runs up to the acknowledged one and returns the others
// and the runs in progress.
func (w *worker) report(acknowledged int64) *scheduler.Report {
	for len(w.ended) > 0 && w.ended[0].Number <= acknowledged {
		w.ended = w.ended[1:]
	}
	report := &scheduler.Report{Clock: w.clock(), BootedAt: w.info.BootedAt}
	report.Ended = append(report.Ended, w.ended...)
	for _, run := range w.runs {
		run.advance()
		report.Running = append(report.Running, scheduler.RunningTask{
			Task: run.task, Run: run.run, Percent: min(100, int(100*run.completedWork/run.totalWork)),
		})
	}
	return report
}

// injectFaults applies the pattern's faults to the workers and clears all but
// removals after ForSeconds. Each fault affects the workers whose hash lies
// below its share, so the workers of a smaller share have the faults of every
// larger one too; of stalled and slow, stalled prevails.
func (r *replay) injectFaults() {
	t := r.pattern.Troubles
	affect := func(share float64, apply func(*worker)) {
		for _, w := range r.workers {
			if hashFraction(r.seed, scheduler.StepName{}, w.info.HostID) < share {
				apply(w)
			}
		}
	}
	affect(t.SlowShare, func(w *worker) { w.setSpeed(1 / t.SlowFactor) })
	affect(t.StandingShare, func(w *worker) { w.setSpeed(0) })
	affect(t.FailingShare, func(w *worker) { w.failing = true })
	affect(t.LeavingShare, func(w *worker) {
		w.info.Leaving, w.info.LeavesAt = true, r.now.Add(seconds(t.NoticeSeconds))
		r.schedule(w.info.LeavesAt, w.remove)
	})
	affect(t.SilentShare, func(w *worker) { w.unresponsive = true })
	r.scheduleAfter(seconds(t.ForSeconds), func() {
		for _, w := range r.workers {
			w.setSpeed(1)
			w.failing, w.unresponsive = false, w.removed
		}
	})
}

// remove removes the worker permanently: all its runs end without a report.
func (w *worker) remove() {
	for len(w.runs) > 0 {
		w.runs[0].end(scheduler.EndExpired)
	}
	w.removed, w.unresponsive, w.ended, w.pendingPoll = true, true, nil, nil
}

func (w *worker) setSpeed(speed float64) {
	if w.speed == speed {
		return
	}
	w.speed = speed
	for _, run := range w.runs {
		run.replan()
	}
}
