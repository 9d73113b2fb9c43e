package scheduler

import (
	"slices"
	"time"
)

// A task that may crash its worker starts on trial: on the worker where the
// least is lost with it, and for a short time no other task starts there. So
// little is lost if the worker crashes, and the crash tells which task is at
// fault.
//
// Two kinds of tasks start on trial. A suspect is a task soon after whose start
// a worker has crashed; it is tried alone, and waits while as many suspects as
// allowed are on trial. The other kind are the tasks of a queue of which
// several have lately silenced their workers. Each of its jobs is tried on its
// own, if there is room for another trial; otherwise its tasks start as usual.

// trial is the time during which no other task starts on a worker.
type trial struct {
	// job is the job whose tasks may start there all the same; nil for none.
	job   *job
	until time.Time
}

const (
	// suspectShare is the share of the workers on which suspects may be on trial
	// at the same time, queueShare that on which any tasks may. Of either there
	// may be minTrials at least.
	suspectShare = 0.1
	queueShare   = 0.15
	minTrials    = 2
	// Further suspects may be tried while spareShare of all processors is free
	// beyond what other tasks wait for. While the service isn't busy, idleShare is
	// enough whatever waits: what does then waits for advice, or for more room on
	// one worker than is free there.
	spareShare = 0.2
	idleShare  = 0.35
	// queueTrial is how long a task of a risky queue is on trial.
	queueTrial = 150 * time.Millisecond
	// A queue is risky once riskySilences workers have fallen silent within
	// silenceAge of the start of a task of the queue that was the last one
	// started there, all of them within riskyMemory.
	riskySilences = 1
	silenceAge    = 100 * time.Millisecond
	riskyMemory   = 15 * time.Second
	// dearStake is the stake, in thousandths of core-seconds, that is added for
	// each run on a worker that should not be lost with a task on trial.
	dearStake  = 1_000_000
	tightStake = 20_000
	// crashDelay is by how much a crash usually delays a job: until the proof
	// that the worker's incarnation has ended.
	crashDelay = 4 * time.Second
)

// noteSilent records when a worker stopped answering, and which queue the last
// task belongs to whose start it had just acknowledged. The caller does so before it
// counts the order without an answer.
func (c *Core) noteSilent(w *worker) {
	if w.unanswered > 0 {
		return
	}
	w.silentAt, w.silence, w.silenceNoted = c.now, silenceUnexplained, false
	var last *run
	for _, r := range w.sortedRuns() {
		if !r.tracked && c.now.Sub(r.startedAt) <= silenceAge {
			w.silence = max(w.silence, silenceAfterStart)
		}
		// A start that isn't acknowledged probably came after the crash.
		if r.task != nil && !r.tracked && !r.acknowledgedAt.IsZero() && (last == nil || r.startedAt.After(last.startedAt)) {
			last = r
		}
	}
	if w.silence == silenceAfterStart && w.trial != nil && w.trial.job == nil {
		w.silence = silenceOnTrial
	}
	if last == nil || c.now.Sub(last.startedAt) > silenceAge {
		return
	}
	c.silences = append(c.silences, silence{last.task.step.job().spec.Queue, c.now})
}

// silenceCause is what explains that a worker fell silent.
type silenceCause int

const (
	silenceUnexplained silenceCause = iota
	// silenceAfterStart means that a task was started there right before.
	silenceAfterStart
	// silenceOnTrial means that this was a suspect on trial.
	silenceOnTrial
)

// silence is an event in which a worker fell silent right after the start of a
// task of a queue.
type silence struct {
	queue string
	at    time.Time
}

// updateTrials ends the trials that are over, and determines the risky queues.
func (c *Core) updateTrials() {
	for _, w := range c.sortedWorkers {
		if w.trial != nil && w.trialOver(c.now) {
			w.trial = nil
			c.markFreed(w)
		}
	}
	if len(c.silences) == 0 {
		return
	}
	c.silences = slices.DeleteFunc(c.silences, func(known silence) bool { return c.now.Sub(known.at) > riskyMemory })
	clear(c.risky)
	for _, known := range c.silences {
		if !c.wide(c.silentNear(known.at), known.at) {
			c.risky[known.queue]++
		}
	}
}

// trialOver reports whether the trial on a worker shows nothing any more: its time is
// over, or the worker has not answered until all leases there had lapsed. A worker that
// is lost without a proof would else count against the number of trials for good.
func (w *worker) trialOver(now time.Time) bool {
	if w.unanswered > 0 {
		return len(w.runs) == 0
	}
	return !now.Before(w.trial.until)
}

// trials counts the workers with trials, of suspects only or of any task. Those
// on which a suspect was tried and that don't answer count as well, which
// bounds how many workers suspects take at the same time.
func (c *Core) trials(suspects bool) int {
	count := 0
	for _, w := range c.sortedWorkers {
		if w.trial != nil && (w.trial.job == nil || !suspects && w.unanswered == 0) {
			count++
		}
	}
	return count
}

// maxTrials returns how many trials there may be on a share of the workers.
func (c *Core) maxTrials(share float64) int {
	return max(minTrials, int(share*float64(len(c.sortedWorkers))))
}

// mayTrySuspect reports whether one more suspect may start. A suspect that crashes
// its worker takes it from others for seconds. So what others use bounds how many
// may: not the number of workers without a run, as runs spread over all workers
// when there is room.
func (c *Core) mayTrySuspect() bool {
	total := float64(c.totalMilliCores)
	switch {
	case float64(c.freeMilliCores-c.wantedMilliCores) > spareShare*total:
		return true
	case !c.busy() && float64(c.freeMilliCores) > idleShare*total:
		return true
	}
	return c.trials(true) < c.maxTrials(suspectShare)
}

// busy reports whether so much of the room is in use that a task may have to wait
// for some.
func (c *Core) busy() bool { return float64(c.usedMilliCores) >= busyShare*float64(c.totalMilliCores) }

// suspect reports whether a worker has crashed soon after a start of the task,
// or of a member of its gang.
func (t *task) suspect() bool {
	if t.step.def.Gang {
		return t.step.suspect()
	}
	return t.crashes.suspect()
}

// suspect reports whether some task of the step is under suspicion by itself.
func (s *step) suspect() bool {
	for t := range s.knownTasks() {
		if t.crashes.suspect() {
			return true
		}
	}
	return false
}

// needsTrial reports whether a task that starts now has to start on trial.
func (c *Core) needsTrial(t *task) bool {
	return t.suspect() || c.risky[t.step.job().spec.Queue] >= riskySilences && c.trials(false) < c.maxTrials(queueShare)
}

// putOnTrial begins a trial on the worker on which a task was just started, which may be under
// suspicion.
func (c *Core) putOnTrial(t *task, suspect bool) {
	if t.run == nil {
		return
	}
	c.stats.Trials++
	if t.run.worker.trial == nil {
		c.freeMilliCores -= t.run.worker.available().MilliCores
	}
	if suspect {
		t.run.worker.trial = &trial{until: c.now.Add(t.crashes.trialTime())}
		return
	}
	t.run.worker.trial = &trial{job: t.step.job(), until: c.now.Add(queueTrial)}
}

// trialTime is how long a suspect is on trial.
func (h *crashHistory) trialTime() time.Duration {
	longest := minTrial
	if h == nil {
		return longest
	}
	for _, crash := range h.crashes {
		if crash.age() <= suspectAge {
			longest = max(longest, crash.clearedAfter())
		}
	}
	return longest
}

// leastStake returns the index of the candidate for a trial on which the least
// work is lost if the worker crashes. The tasks of one job are tried together,
// but for suspects.
func (c *Core) leastStake(t *task, found []candidate) int {
	best, bestStake := 0, int64(0)
	for i := range found {
		w := found[i].worker
		if w.trial != nil && !t.suspect() {
			return i
		}
		stake := c.stake(w)
		if w.trial != nil {
			stake += dearStake
		}
		if i == 0 || stake < bestStake {
			best, bestStake = i, stake
		}
	}
	return best
}

// stake returns what is lost if the worker crashes, in thousandths of
// core-seconds: the work of its runs, and of the whole gangs that they belong
// to. Long-running tasks are dear, and so are runs that have just begun: the
// crash would raise a suspicion against them. Jobs that could not be in time
// after a crash add tightStake each.
func (c *Core) stake(w *worker) int64 {
	var stake int64
	tight := make(map[*job]bool)
	for _, r := range w.runs {
		elapsed := c.now.Sub(r.startedAt)
		work := int64(float64(r.need.MilliCores) * elapsed.Seconds())
		if r.task == nil {
			stake += work
			continue
		}
		s := r.task.step
		if s.def.Gang {
			work *= int64(s.def.Count)
		}
		stake += work
		if s.def.LongRunning || elapsed < minTrial {
			stake += dearStake
		}
		if j := s.job(); !tight[j] && s.rankAt(c.now).tier == 0 && s.rankAt(c.now.Add(crashDelay)).tier > 0 {
			tight[j] = true
			stake += tightStake
		}
	}
	return stake
}

// unsettled reports whether a task has just started on the worker, so that a crash
// may be due to it.
func (w *worker) unsettled(now time.Time) bool {
	for _, r := range w.runs {
		if now.Sub(r.startedAt) < minTrial {
			return true
		}
	}
	return false
}
