package replayer

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// worker carries out orders.
type worker struct {
	replay *replay
	info   scheduler.WorkerInfo
	runs   []*taskRun
	ended  []scheduler.EndedRun
	ends   int64
	// speed is that of its work; 0 stands still.
	speed   float64
	failing bool
	silent  bool
	// gone workers have left for good.
	gone bool
	// waiting answers the look that waits for an end; nil for none.
	waiting func()
}

// taskRun is a run of a task.
type taskRun struct {
	worker *worker
	task   scheduler.TaskName
	run    scheduler.RunNumber
	need   requester.Resources
	gang   *gang
	// done is how much of work has been done when its speed changed last.
	work, done time.Duration
	speed      float64
	since      time.Time
	// complete tells that it has done its work.
	complete bool
	// turn tells a planned end from those planned before a change of speed.
	turn  int
	fails bool
	ended bool
}

type gangRun struct {
	step scheduler.StepName
	run  scheduler.RunNumber
}

// gang is one run of a gang; its members work once all are there.
type gang struct {
	size    int
	members []*taskRun
}

func (g *gang) complete() bool {
	for _, member := range g.members {
		if !member.complete {
			return false
		}
	}
	return true
}

// hashShare draws a number between 0 and 1 for a step and a worker.
func hashShare(seed uint64, step scheduler.StepName, id requester.HostID) float64 {
	sum := xxhash.Sum64String(fmt.Sprintf("%d %v %s", seed, step, id))
	return float64(sum>>11) / (1 << 53)
}

func (w *worker) clock() scheduler.WorkerTime {
	return scheduler.WorkerTime(w.replay.now.Sub(w.info.BootedAt).Milliseconds())
}

func (w *worker) start(order scheduler.StartOrder) {
	r := w.replay
	if w.silent {
		r.after(silentTime, func() { r.core.StartDone(r.now, order, scheduler.OrderUnknown) })
		return
	}
	r.after(orderTime, func() {
		if w.gone {
			r.core.StartDone(r.now, order, scheduler.OrderUnknown)
			return
		}
		w.begin(order)
		r.after(orderTime, func() { r.core.StartDone(r.now, order, scheduler.OrderAccepted) })
	})
}

func (w *worker) begin(order scheduler.StartOrder) {
	r := w.replay
	j := r.byID[order.Task.Job]
	def := &j.spec.Steps[order.Task.Step]
	run := &taskRun{
		worker: w, task: order.Task, run: order.Run, need: def.Need,
		work: j.work[order.Task.Step], since: r.now, fails: j.hopeless || w.failing,
	}
	w.runs = append(w.runs, run)
	r.used.take(r.now, def.Need)
	if def.Gang {
		key := gangRun{order.Task.StepName, order.Run}
		if r.gangs[key] == nil {
			r.gangs[key] = &gang{size: def.Count}
		}
		run.gang = r.gangs[key]
		run.gang.members = append(run.gang.members, run)
	}
	run.replan()
}

// pace is how fast a run works now.
func (t *taskRun) pace() float64 {
	if t.gang != nil && len(t.gang.members) < t.gang.size {
		return 0
	}
	return t.worker.speed
}

// replan notes what has been done and plans the end anew, for a run and the
// members of its gang.
func (t *taskRun) replan() {
	runs := []*taskRun{t}
	if t.gang != nil {
		runs = t.gang.members
	}
	for _, run := range runs {
		run.advance()
		run.speed = run.pace()
		run.turn++
		if run.ended || run.complete || run.speed == 0 {
			continue
		}
		turn := run.turn
		left := time.Duration(float64(run.work-run.done) / run.speed)
		run.worker.replay.after(left, func() {
			if run.turn == turn && !run.ended {
				run.finish()
			}
		})
	}
}

func (t *taskRun) advance() {
	now := t.worker.replay.now
	t.done += time.Duration(float64(now.Sub(t.since)) * t.speed)
	t.since = now
}

// finish ends a run that has done its work; the members of a gang end together.
func (t *taskRun) finish() {
	t.advance()
	t.complete = true
	if t.gang != nil && !t.fails && !t.gang.complete() {
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

// end lists the end of a run.
func (t *taskRun) end(kind scheduler.EndKind) {
	if t.ended {
		return
	}
	t.advance()
	t.ended = true
	w := t.worker
	w.replay.used.free(w.replay.now, t.need)
	if kind != scheduler.EndDone {
		w.replay.used.waste(t.need, t.done)
	}
	for i, run := range w.runs {
		if run == t {
			w.runs = append(w.runs[:i], w.runs[i+1:]...)
			break
		}
	}
	w.ends++
	w.ended = append(w.ended, scheduler.EndedRun{Number: w.ends, Task: t.task, Run: t.run, Kind: kind})
	if w.waiting != nil {
		answer := w.waiting
		w.waiting = nil
		w.replay.after(0, answer)
	}
}

func (w *worker) stop(order scheduler.StopOrder) {
	r := w.replay
	if w.silent {
		r.after(silentTime, func() { r.core.StopDone(r.now, order, scheduler.OrderUnknown) })
		return
	}
	r.after(orderTime, func() {
		for _, run := range w.runs {
			if run.task == order.Task && run.run == order.Run {
				run.end(scheduler.EndStopped)
				break
			}
		}
		r.after(orderTime, func() { r.core.StopDone(r.now, order, scheduler.OrderAccepted) })
	})
}

// look answers at once, or at an end, or once it has waited.
func (w *worker) look(order scheduler.PollOrder) {
	r := w.replay
	if w.silent {
		r.after(silentTime, func() { r.core.PollDone(r.now, order, nil, scheduler.OrderUnknown) })
		return
	}
	answered := false
	answer := func() {
		if answered {
			return
		}
		answered = true
		report := w.report(order.AcknowledgedEnd)
		r.after(orderTime, func() { r.core.PollDone(r.now, order, report, scheduler.OrderAccepted) })
	}
	r.after(orderTime, func() {
		if !order.LongPoll || len(w.ended) > 0 && w.ended[len(w.ended)-1].Number > order.AcknowledgedEnd {
			answer()
			return
		}
		w.waiting = answer
		r.after(lookWait, answer)
	})
}

func (w *worker) report(seen int64) *scheduler.Report {
	for len(w.ended) > 0 && w.ended[0].Number <= seen {
		w.ended = w.ended[1:]
	}
	report := &scheduler.Report{Clock: w.clock(), BootedAt: w.info.BootedAt}
	report.Ended = append(report.Ended, w.ended...)
	for _, run := range w.runs {
		run.advance()
		report.Running = append(report.Running, scheduler.RunningTask{
			Task: run.task, Run: run.run, Percent: min(100, int(100*run.done/run.work)),
		})
	}
	return report
}

// beginTroubles lets the pattern's troubles befall the workers, each other
// ones, and undoes them later.
func (r *replay) beginTroubles() {
	t := r.pattern.Troubles
	befall := func(share float64, do func(*worker)) {
		for _, w := range r.workers {
			if hashShare(r.seed, scheduler.StepName{}, w.info.HostID) < share {
				do(w)
			}
		}
	}
	befall(t.SlowShare, func(w *worker) { w.setSpeed(1 / t.SlowFactor) })
	befall(t.StandingShare, func(w *worker) { w.setSpeed(0) })
	befall(t.FailingShare, func(w *worker) { w.failing = true })
	befall(t.LeavingShare, func(w *worker) {
		w.info.Leaving, w.info.LeavesAt = true, r.now.Add(seconds(t.NoticeSeconds))
		r.at(w.info.LeavesAt, w.leave)
	})
	befall(t.SilentShare, func(w *worker) { w.silent = true })
	r.after(seconds(t.ForSeconds), func() {
		for _, w := range r.workers {
			w.setSpeed(1)
			w.failing, w.silent = false, w.gone
		}
	})
}

// leave ends all that runs on the worker, unheard.
func (w *worker) leave() {
	for len(w.runs) > 0 {
		w.runs[0].end(scheduler.EndExpired)
	}
	w.gone, w.silent, w.ended, w.waiting = true, true, nil, nil
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
