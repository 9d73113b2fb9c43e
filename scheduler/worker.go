package scheduler

import (
	"slices"
	"time"

	"kumquatstall/requester"
)

// runPhase is where a run stands, as the owner sees it.
type runPhase int

const (
	// runStarting: the order has been given and not been answered.
	runStarting runPhase = iota
	// runPresent: the worker has confirmed the run.
	runPresent
	// runDoubtful: the order got no answer.
	runDoubtful
	// runStopping: the worker is to stop it and has not listed its end.
	runStopping
)

// run is one run of a task on a worker. It takes room until it is known to
// have ended.
type run struct {
	task   *task
	name   TaskName
	number RunNumber
	worker *worker
	phase  runPhase
	need   requester.Resources
	// startedAt is when the order was given.
	startedAt time.Time
	// presentAt is when the worker confirmed it.
	presentAt time.Time
	// endsAt is when it should end, by its estimate.
	endsAt time.Time
	// checkpoint and percent are those last reported; progressAt is when
	// either last changed.
	checkpoint string
	percent    int
	progressAt time.Time
	// stopOpen tells that a stop has been sent and not been answered.
	stopOpen bool
	// barred tells that a stop was confirmed: an order that is still on its
	// way can't begin the run any more.
	barred bool
	// unsized tells that what it takes isn't known.
	unsized bool
}

// pendingEnd is an end that waits for its job's rows to be written.
type pendingEnd struct {
	number  int64
	job     *job
	version int64
}

// worker is one worker as the owner sees it.
type worker struct {
	info WorkerInfo
	// listed tells that the worker is on the list now.
	listed bool
	// rostered tells that the stored roster names the worker.
	rostered bool
	// fromBefore tells that an earlier owner may have given it orders.
	fromBefore bool
	// answered tells that this life has answered under this owner's fence.
	answered bool
	born     time.Time
	runs     map[runKey]*run
	used     requester.Resources
	// clock is the worker's clock as it stood no earlier than clockAt.
	clock   WorkerTime
	clockAt time.Time
	// granted is the latest lease that can have been given out, by the
	// worker's clock.
	granted WorkerTime
	// unknownSince is from when on the worker hasn't answered, in this life
	// and under this owner.
	unknownSince time.Time
	// seen is the number of the last end taken in; confirmed of the last one
	// whose job's rows are written.
	seen      int64
	confirmed int64
	pending   []pendingEnd
	lookOpen  bool
	// lookedAt is when the last look was sent, lookAfter before when no
	// other is sent.
	lookedAt  time.Time
	lookAfter time.Time
	// silent counts looks and orders in a row without an answer.
	silent int
	// restUntil keeps a worker that fails what it starts from getting more.
	restUntil time.Time
	health    health
	// unsized counts the runs of unknown size; while there are any, nothing
	// more is started there.
	unsized int
}

type runKey struct {
	name   TaskName
	number RunNumber
}

// Intervals and bounds of looks.
const (
	// retryLook separates looks at a worker that doesn't answer.
	retryLook = 300 * time.Millisecond
	// confirmDelay bounds how long ends wait to be confirmed together.
	confirmDelay = 150 * time.Millisecond
	// freshFor is how long after its last answer a worker gets new tasks.
	freshFor = 2500 * time.Millisecond
)

func (w *worker) ref() WorkerRef {
	return WorkerRef{HostID: w.info.HostID, Address: w.info.Address, Born: w.born}
}

// usable reports whether the worker may get new tasks at all.
func (w *worker) usable() bool {
	return w.listed && w.rostered && w.answered && !w.info.Leaving && w.unsized == 0
}

// takes reports whether the worker may get new tasks now.
func (w *worker) takes(now time.Time) bool {
	return w.usable() && w.silent == 0 && now.Sub(w.clockAt) < freshFor && !now.Before(w.restUntil) &&
		(!w.health.probation || len(w.runs) == 0)
}

func (w *worker) room() requester.Resources { return w.info.Total.Sub(w.used) }

// clockAtMost returns the worker's clock at now, or somewhat more.
func (w *worker) clockAtMost(now time.Time) WorkerTime {
	return w.clock + WorkerTime(now.Sub(w.clockAt)/time.Millisecond)
}

// lapseAt returns when all leases granted to the worker must have ended.
func (w *worker) lapseAt(c *Core) time.Time {
	if !w.answered {
		longest := c.options.EarlierTerm + time.Duration(float64(c.options.LongestLease)/clockSlack)
		return w.unknownSince.Add(longest + lapseMargin)
	}
	left := time.Duration(w.granted-w.clock) * time.Millisecond
	return w.clockAt.Add(time.Duration(float64(left)/clockSlack) + lapseMargin)
}

// grant returns the deadline for an order given now; 0 grants nothing. A
// worker that doesn't answer gets no more time: its tasks are to start again
// elsewhere once its lease has lapsed.
func (c *Core) grant(w *worker) WorkerTime {
	if !w.answered || w.silent > 0 {
		return 0
	}
	deadline := w.clockAtMost(c.now) + WorkerTime(c.options.LeaseTerm/time.Millisecond)
	w.granted = max(w.granted, deadline)
	return deadline
}

// SetRoster takes in the workers that an earlier owner may have given orders.
func (c *Core) SetRoster(row RosterRow) {
	for _, listed := range row.Workers {
		w := c.addWorker(WorkerInfo{HostID: listed.HostID, Address: listed.Address})
		w.fromBefore = true
		w.rostered = true
	}
}

func (c *Core) addWorker(info WorkerInfo) *worker {
	if w, ok := c.workers[info.HostID]; ok {
		return w
	}
	w := &worker{info: info, runs: make(map[runKey]*run), unknownSince: c.tookOver}
	c.workers[info.HostID] = w
	c.order = append(c.order, w)
	slices.SortFunc(c.order, func(a, b *worker) int { return compareHosts(a.info.HostID, b.info.HostID) })
	return w
}

func compareHosts(a, b requester.HostID) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// SetWorkers replaces the list of workers.
func (c *Core) SetWorkers(now time.Time, infos []WorkerInfo) {
	c.now = now
	listed := make(map[requester.HostID]bool, len(infos))
	for _, info := range infos {
		listed[info.HostID] = true
		w, known := c.workers[info.HostID]
		if !known {
			w = c.addWorker(info)
			c.rosterDirty = true
		}
		if !w.listed || w.info.Leaving != info.Leaving {
			c.note(Note{Worker: info.HostID, Event: "worker listed", Why: leavingWord(info.Leaving)})
			c.changed = true
			w.lookAfter = now
		}
		w.info = info
		w.listed = true
		c.noteBorn(w, info.Born)
	}
	for _, w := range c.order {
		if w.listed && !listed[w.info.HostID] {
			w.listed = false
			c.note(Note{Worker: w.info.HostID, Event: "worker not listed any more"})
		}
	}
	c.dropWorkers()
}

func leavingWord(leaving bool) string {
	if leaving {
		return "leaving"
	}
	return "ready"
}

// dropWorkers forgets the workers that are not listed and hold nothing.
func (c *Core) dropWorkers() {
	kept := c.order[:0]
	for _, w := range c.order {
		if !w.listed && len(w.runs) == 0 && !w.lookOpen && !c.now.Before(w.lapseAt(c)) {
			delete(c.workers, w.info.HostID)
			c.rosterDirty = true
			continue
		}
		kept = append(kept, w)
	}
	c.order = kept
}

// noteBorn takes in that a life of a worker began at born. What ran in an
// earlier life is gone, but for starts without an answer, which the new life
// may still carry out.
func (c *Core) noteBorn(w *worker, born time.Time) {
	if born.IsZero() || !born.After(w.born) {
		return
	}
	if w.born.IsZero() {
		w.born = born
		return
	}
	w.born = born
	c.note(Note{Worker: w.info.HostID, Event: "worker reborn"})
	w.seen, w.confirmed, w.pending = 0, 0, nil
	w.clock, w.granted = 0, 0
	w.clockAt = time.Time{}
	w.answered = false
	w.unknownSince = c.now
	w.health = health{}
	for _, r := range w.sortedRuns() {
		if r.phase == runStarting || r.phase == runDoubtful || r.phase == runStopping && r.presentAt.IsZero() {
			r.phase = runDoubtful
			r.stopOpen = false
			continue
		}
		c.stats.Lapsed++
		c.lose(r, "its worker was reborn")
	}
}

// sortedRuns returns the runs in the order of their names, so that decisions
// don't depend on the order of a map.
func (w *worker) sortedRuns() []*run {
	runs := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *run) int { return compareRuns(a, b) })
	return runs
}

// look orders looks at the workers that need one.
func (c *Core) look() {
	for _, w := range c.order {
		if w.lookOpen || c.now.Before(w.lookAfter) || !w.info.Address.IsValid() {
			continue
		}
		unconfirmed := w.seen > w.confirmed
		if unconfirmed && c.now.Sub(w.lookedAt) < confirmDelay {
			continue
		}
		w.lookOpen = true
		w.lookedAt = c.now
		c.stats.Looks++
		c.orders.Looks = append(c.orders.Looks, LookOrder{
			Worker:   w.ref(),
			Fence:    Fence(c.options.Epoch),
			Seen:     w.confirmed,
			Deadline: c.grant(w),
			Wait:     w.answered && !unconfirmed && w.silent == 0,
			SentAt:   c.now,
		})
	}
}

// LookDone takes in the answer to a look.
func (c *Core) LookDone(now time.Time, order LookOrder, report *Report, result OrderResult) {
	c.now = now
	w, ok := c.workers[order.Worker.HostID]
	if !ok {
		return
	}
	w.lookOpen = false
	switch result {
	case OrderAccepted:
		c.takeReport(w, order, report)
	case OrderFenced:
		c.fenced = true
	case OrderOtherLife:
		// Another worker answers at the address: this one is gone for good.
		c.loseWorker(w)
	default:
		if w.silent == 0 {
			c.note(Note{Worker: w.info.HostID, Event: "worker doesn't answer"})
		}
		w.silent++
		w.lookAfter = now.Add(retryLook)
	}
}

// loseWorker releases what ran in a life that is proven to have ended.
func (c *Core) loseWorker(w *worker) {
	c.note(Note{Worker: w.info.HostID, Event: "worker's life has ended", Why: "another one answers at its address"})
	w.silent++
	w.lookAfter = c.now.Add(retryLook)
	for _, r := range w.sortedRuns() {
		c.stats.Lapsed++
		c.lose(r, "its worker is gone")
	}
	w.granted = w.clock
}

func (c *Core) takeReport(w *worker, order LookOrder, report *Report) {
	c.noteBorn(w, report.Born)
	if !report.Born.IsZero() && report.Born.Before(w.born) {
		return
	}
	if w.silent > 0 || !w.answered {
		c.note(Note{Worker: w.info.HostID, Event: "worker answers"})
	}
	w.silent = 0
	w.clock, w.clockAt = report.Clock, c.now
	if !w.answered {
		// An earlier owner may have granted as much until now.
		w.answered = true
		w.granted = w.clock + WorkerTime(c.options.LongestLease/time.Millisecond)
	}
	for _, ended := range report.Ended {
		if ended.Number > w.seen {
			w.seen = ended.Number
			c.takeEnd(w, ended)
		}
	}
	c.takeRunning(w, order, report)
	w.confirm()
	c.changed = true
	if w.seen > w.confirmed {
		// The next look confirms these ends, once they are written.
		return
	}
}

// confirm moves on to the last end whose job's rows are written.
func (w *worker) confirm() {
	for len(w.pending) > 0 && (w.pending[0].job == nil || w.pending[0].job.saved >= w.pending[0].version) {
		w.confirmed = w.pending[0].number
		w.pending = w.pending[1:]
	}
}

// takeRunning compares what runs on a worker with what is known.
func (c *Core) takeRunning(w *worker, order LookOrder, report *Report) {
	listed := make(map[runKey]bool, len(report.Running))
	for _, running := range report.Running {
		key := runKey{running.Task, running.Run}
		listed[key] = true
		r := w.runs[key]
		if r == nil {
			r = c.adopt(w, running)
		}
		if r != nil {
			c.noteRunning(r, running)
		}
	}
	if report.Partial {
		return
	}
	for _, r := range w.sortedRuns() {
		if listed[runKey{r.name, r.number}] {
			continue
		}
		switch {
		case r.phase == runDoubtful || r.phase == runStopping && r.presentAt.IsZero():
			if r.barred {
				c.lose(r, "never began")
			} else {
				c.sendStop(r)
			}
		case !r.presentAt.IsZero() && r.presentAt.Before(order.SentAt):
			// Neither running nor listed as ended: its end was confirmed.
			c.stats.Vanished++
			c.lose(r, "not listed by its worker")
		}
	}
}

// adopt takes in a run that an earlier owner started, or that nobody wants.
func (c *Core) adopt(w *worker, running RunningTask) *run {
	t := c.find(running.Task)
	r := &run{name: running.Task, number: running.Run, worker: w, phase: runPresent, startedAt: c.now, presentAt: c.now, progressAt: c.now}
	if t != nil {
		r.need = t.step.def.room()
		t.lastRun = max(t.lastRun, running.Run)
		t.step.lastRun = max(t.step.lastRun, running.Run)
	} else if j := c.jobs[running.Task.Job]; j != nil && running.Task.Step < len(j.spec.Steps) {
		r.need = j.spec.Steps[running.Task.Step].room()
	} else {
		r.unsized = true
		w.unsized++
	}
	w.runs[runKey{running.Task, running.Run}] = r
	w.used = w.used.Add(r.need)
	wanted := t != nil && !t.done && t.run == nil && !t.step.job().state.Ended() && !c.splitsGang(t, running.Run)
	if !wanted {
		c.stats.StraysStopped++
		c.note(Note{Job: running.Task.Job, Task: running.Task, Run: running.Run, Worker: w.info.HostID, Event: "stray run stopped"})
		c.stop(r, "nobody wants it")
		return r
	}
	r.task = t
	t.run = r
	t.step.waiting--
	t.step.job().active++
	r.endsAt = c.now.Add(time.Duration(t.step.def.EstimateMillis) * time.Millisecond)
	c.begun(t.step.job())
	return r
}

// splitsGang reports whether a run belongs to another run of its gang than the
// one in progress.
func (c *Core) splitsGang(t *task, number RunNumber) bool {
	if !t.step.def.Gang {
		return false
	}
	for _, member := range t.step.tasks {
		if member.run != nil && member.run.number != number {
			return true
		}
	}
	return false
}

func (c *Core) noteRunning(r *run, running RunningTask) {
	if r.phase == runStarting || r.phase == runDoubtful {
		r.phase = runPresent
	}
	if r.presentAt.IsZero() {
		r.presentAt = c.now
		r.progressAt = c.now
	}
	if running.Checkpoint != r.checkpoint || running.Percent != r.percent {
		r.checkpoint, r.percent = running.Checkpoint, running.Percent
		r.progressAt = c.now
	}
	if r.phase == runStopping && !r.stopOpen {
		c.sendStop(r)
	}
}

// stop asks for a run to be stopped. Its room stays taken until the worker
// lists its end.
func (c *Core) stop(r *run, why string) {
	if r.phase == runStopping {
		return
	}
	r.phase = runStopping
	c.stats.Stops++
	c.note(Note{Job: r.name.Job, Task: r.name, Run: r.number, Worker: r.worker.info.HostID, Event: "stop", Why: why})
	c.sendStop(r)
}

func (c *Core) sendStop(r *run) {
	if r.stopOpen {
		return
	}
	r.stopOpen = true
	c.orders.Stops = append(c.orders.Stops, StopOrder{Worker: r.worker.ref(), Task: r.name, Run: r.number, Fence: Fence(c.options.Epoch)})
}

// StopDone takes in the answer to a stop.
func (c *Core) StopDone(now time.Time, order StopOrder, result OrderResult) {
	c.now = now
	w, ok := c.workers[order.Worker.HostID]
	if !ok {
		return
	}
	r, ok := w.runs[runKey{order.Task, order.Run}]
	if !ok {
		return
	}
	r.stopOpen = false
	switch result {
	case OrderAccepted:
		r.barred = true
		// A look that is sent from now on tells whether it runs still.
		w.lookAfter = now
	case OrderFenced:
		c.fenced = true
	case OrderOtherLife:
		c.loseWorker(w)
	}
}

// StartDone takes in the answer to a start.
func (c *Core) StartDone(now time.Time, order StartOrder, result OrderResult) {
	c.now = now
	w, ok := c.workers[order.Worker.HostID]
	if !ok {
		return
	}
	r, ok := w.runs[runKey{order.Task, order.Run}]
	if !ok || r.phase != runStarting && r.phase != runStopping {
		return
	}
	switch result {
	case OrderAccepted:
		r.presentAt = now
		r.progressAt = now
		if r.phase == runStarting {
			r.phase = runPresent
			c.begun(r.task.step.job())
		}
		return
	case OrderUnknown, OrderOtherLife:
		c.stats.Doubtful++
		c.note(Note{Job: order.Task.Job, Task: order.Task, Run: order.Run, Worker: w.info.HostID, Event: "start without an answer"})
		if r.phase == runStarting {
			r.phase = runDoubtful
		}
		w.silent++
		w.lookAfter = now
		return
	case OrderFenced:
		c.fenced = true
	case OrderRefused:
		w.restUntil = now.Add(refusedRest)
	case OrderNoTicket:
		if r.task != nil {
			r.task.step.advice.drop(w.info.HostID)
		}
	}
	c.stats.Rejected++
	c.note(Note{Job: order.Task.Job, Task: order.Task, Run: order.Run, Worker: w.info.HostID, Event: "start rejected", Why: result.String()})
	c.lose(r, "start was rejected")
}

// refusedRest is how long a worker that is unwell gets nothing new.
const refusedRest = 500 * time.Millisecond

// begun notes that a task of the job has started.
func (c *Core) begun(j *job) {
	if j.state == StateQueued {
		j.state = StateRunning
		c.touch(j)
	}
}

// release frees the room of a run and, where it was wanted, makes its task
// wait again.
func (c *Core) release(r *run) {
	w := r.worker
	delete(w.runs, runKey{r.name, r.number})
	w.used = w.used.Sub(r.need)
	if r.unsized {
		w.unsized--
	}
	c.changed = true
	t := r.task
	if t == nil || t.run != r {
		return
	}
	t.run = nil
	t.step.job().active--
	if t.done {
		return
	}
	t.step.waiting++
	if r.checkpoint != "" && t.step.def.Checkpointing {
		c.keepCheckpoint(t, r.checkpoint)
	}
}

// lose releases a run whose worker doesn't list its end, and stops the other
// members of its gang.
func (c *Core) lose(r *run, why string) {
	c.release(r)
	if t := r.task; t != nil && t.step.def.Gang && !t.done {
		c.breakGang(t.step, r.number, why)
	}
}

// breakGang stops the other members of a gang's run.
func (c *Core) breakGang(s *step, number RunNumber, why string) {
	for _, member := range s.tasks {
		if member.run != nil && member.run.number == number {
			c.stop(member.run, "another member of its gang: "+why)
		}
	}
}

// keepCheckpoint notes where a task goes on; all members of a gang go on from
// the same point.
func (c *Core) keepCheckpoint(t *task, checkpoint string) {
	if t.step.def.Gang {
		for _, member := range t.step.tasks {
			member.checkpoint = checkpoint
		}
		return
	}
	t.checkpoint = checkpoint
}

// lapse releases what ran under leases that must have ended.
func (c *Core) lapse() {
	for _, w := range c.order {
		if len(w.runs) == 0 || c.now.Before(w.lapseAt(c)) {
			continue
		}
		for _, r := range w.sortedRuns() {
			c.stats.Lapsed++
			c.note(Note{Job: r.name.Job, Task: r.name, Run: r.number, Worker: w.info.HostID, Event: "lease lapsed"})
			c.lose(r, "its lease lapsed")
		}
	}
}
