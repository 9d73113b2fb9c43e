package scheduler

import (
	"fmt"
	"math"
	"slices"
	"time"

	"kumquatstall/requester"
)

// A task may crash each worker that starts it. The owner sees only that a
// worker's incarnation has ended, with all of its runs, and every worker
// crashes now and then. So it records with each task the incarnations that
// ended under it, and how likely each of them was to end by chance as soon
// after the start of the task. The sooner workers crash after the starts of a
// task, the stronger is the evidence against it. A task against which there is
// enough is given up; one under suspicion starts where the least is lost with
// the worker, as the only task that starts there until it is cleared.
//
// The records are committed before the task starts again. What a later owner
// cannot know is whether a task of a started step that no worker reports was
// lost with its worker or never started. It records that as a life of unknown
// outcome, which is no evidence by itself. While the task waits, such a life alone isn't
// stored: the start record of the step tells every later owner of it.

// crash records an incarnation of a worker that ended while it ran a task.
type crash struct {
	_      struct{} `cbor:",toarray"`
	Run    RunNumber
	Worker requester.HostID
	// AgeMillis is the longest time for which the run may have existed when the
	// worker fell silent.
	AgeMillis int64
	// ChancePPM is the probability, in millionths, that the worker crashes by
	// chance within that time. It is certain if the crash says nothing about
	// the task.
	ChancePPM int64
	// Unproven is true if it isn't certain that the worker had started the run.
	Unproven bool
}

const (
	// certainPPM is a probability of 1.
	certainPPM = 1_000_000
	// minCrashes is the least number of proven crashes after which a task is
	// given up.
	minCrashes = 2
	// maxCrashes is the number of lives from which unproven ones count as well.
	maxCrashes = 4
	// manyCrashes is the number of lives after which a task that crashes its workers
	// must not start again.
	manyCrashes = 5
	// firstOdds, from maxCrashes lives on laterOdds, from manyCrashes on lastOdds and,
	// if that many runs, and all, crashed soon after the start, hopelessOdds are how many
	// times likelier than chance the guilt of a task has to be for it to be given up.
	firstOdds    = 1000.0
	laterOdds    = 10.0
	lastOdds     = 1.0
	hopelessOdds = 0.5
	// suspectPPM is the chance of a crash below which its runs are under
	// suspicion if they had existed for at most suspectAge.
	suspectPPM = 50_000
	suspectAge = 2 * time.Second
	// suspectChance is the chance of several crashes together below which the task is
	// under suspicion, if one of them was that early.
	suspectChance = 0.25
	// A task is cleared of a crash once a run of it has lasted for clearFactor
	// times the run that crashed, and at least minTrial.
	clearFactor = 2
	minTrial    = 300 * time.Millisecond
	// crashMemory is the time over which the rate of crashes is measured.
	// crashPrior is added to the time, and one crash to those counted, so that
	// a new owner doesn't assume that workers never crash.
	crashMemory = time.Minute
	crashPrior  = 5 * time.Second
	// maxFresh is the largest share of the time in which a worker counts as having
	// just started something.
	maxFresh = 0.5
	// minAge is the least age with which a chance is calculated.
	minAge = 10 * time.Millisecond
	// A run that was explainedFactor times as old as the youngest one on its
	// worker, and at least minTrial, is less likely the cause than that one. So
	// is one whose start had not been acknowledged, beside one that had, within
	// silenceAge. The chance of its crash is at least explainedPPM.
	explainedFactor = 4
	explainedPPM    = 200_000
	// taskPrior is the least probability that a task crashes its workers, as far as is
	// known before a crash, suspectPriorPPM that of a suspect.
	taskPrior       = 0.001
	suspectPriorPPM = 300_000
	// wideWindow, wideCrashes and wideShare define a wide failure: so many other
	// workers fall silent within that time before or after, and not right after a
	// start, or that share of all workers do, but for those with a suspect on trial.
	// It says nothing about the tasks.
	wideWindow  = 300 * time.Millisecond
	wideCrashes = 3
	wideShare   = 0.4
	// firstHold is how long a long-running task that crashes its workers is
	// held back after the second crash. The time doubles with each further one,
	// at most maxHoldDoublings times.
	firstHold        = time.Second
	maxHoldDoublings = 5
)

func (crash *crash) age() time.Duration { return time.Duration(crash.AgeMillis) * time.Millisecond }

// clearedAfter is how long a run must last to clear its task of the crash.
func (crash *crash) clearedAfter() time.Duration { return max(minTrial, clearFactor*crash.age()) }

// recordCrash records that an incarnation of a worker has provably ended, under
// each task that it may have run. The caller does so before it releases the
// runs.
func (c *Core) recordCrash(w *worker) {
	c.noteSilent(w)
	c.noteInheritedEnd(w)
	w.trial = nil
	if w.info.Leaving {
		return
	}
	if len(w.runs) > 0 || w.reported && !w.ended {
		c.lostLives = append(c.lostLives, lostLife{w.info.HostID, w.silentAt, w.silence})
	}
	if len(w.runs) == 0 {
		return
	}
	c.stats.Crashes++
	aliveAt, youngest := w.lastSign(w.silentAt)
	runs := w.tasksRuns()
	found := make([]crash, len(runs))
	for i, r := range runs {
		if !r.task.step.def.Gang {
			r.task.crashes.clearOutlasted(aliveAt.Sub(r.startedAt))
		}
		found[i] = c.crashUnder(w, r, aliveAt, youngest)
	}
	for i, r := range runs {
		if !r.task.step.job().state.Ended() {
			c.addCrash(r.task, found[i])
		}
	}
}

// tasksRuns returns the runs on the worker that are the present ones of unfinished
// tasks.
func (w *worker) tasksRuns() []*run {
	return slices.DeleteFunc(w.sortedRuns(), func(r *run) bool {
		return r.task == nil || r.task.run != r || r.task.done || r.task.step.job().state.Ended()
	})
}

// crashUnder returns what the silence of a worker says of a run, if the incarnation has
// ended.
func (c *Core) crashUnder(w *worker, r *run, aliveAt time.Time, youngest time.Duration) crash {
	age := max(minAge, w.silentAt.Sub(r.startedAt))
	return crash{
		Run: r.number, Worker: w.info.HostID, AgeMillis: age.Milliseconds(),
		ChancePPM: c.crashChance(w, r, w.silentAt, aliveAt, age, youngest), Unproven: r.acknowledgedAt.IsZero(),
	}
}

// lastSign returns when the worker last gave a sign of life, and how old the
// youngest run that it had acknowledged was when it fell silent.
func (w *worker) lastSign(silentAt time.Time) (aliveAt time.Time, youngest time.Duration) {
	aliveAt, youngest = w.clockAt, silentAt.Sub(time.Time{})
	for _, r := range w.runs {
		if !r.acknowledgedAt.IsZero() {
			aliveAt = latest(aliveAt, r.acknowledgedAt)
			youngest = min(youngest, max(minAge, silentAt.Sub(r.startedAt)))
		}
	}
	return aliveAt, youngest
}

// appendCrash adds a life to the history of a task. The lives of one run count
// once, by the strongest evidence.
func (t *task) appendCrash(found crash) *crashHistory {
	if t.crashes == nil {
		t.crashes = &crashHistory{}
	}
	h := t.crashes
	if i := slices.IndexFunc(h.crashes, func(known crash) bool { return known.Run == found.Run }); i < 0 {
		h.crashes = append(h.crashes, found)
		h.limit()
	} else if found.ChancePPM < h.crashes[i].ChancePPM {
		h.crashes[i] = found
	}
	return h
}

// storedCrashes returns the lives that are stored with the task. One of unknown outcome
// alone is not, as long as the task waits: the start record of its step tells of it.
func (t *task) storedCrashes() []crash {
	if t.crashes.empty() || t.noted == nil && t.crashes.unknownAlone() {
		return nil
	}
	return t.crashes.crashes
}

// addCrash adds a crash to the record of a task, and gives the task up if it is
// guilty.
func (c *Core) addCrash(t *task, found crash) {
	j := t.step.job()
	h := t.appendCrash(found)
	c.markDirty(j)
	h.version = j.version
	bootedAt, proof := c.proofOfEnd(c.workers[found.Worker])
	c.log(LogRecord{
		Job: j.name(), Task: t.name(), Run: found.Run, Worker: found.Worker, Event: "worker crashed under a run", BootedAt: bootedAt,
		Why: fmt.Sprintf("crash %d under the task, within %v of the start; by chance: %.2g%s", len(h.crashes), found.age(), t.chance(), proof),
	})
	c.judge(t)
}

// judge gives a task up if it is guilty; a long-running one is held back.
func (c *Core) judge(t *task) {
	h, j := t.crashes, t.step.job()
	if !t.guilty(c.deadlyShare()) {
		return
	}
	if t.step.def.LongRunning {
		doublings := min(len(h.crashes)-minCrashes, maxHoldDoublings)
		h.heldUntil = c.now.Add(firstHold << doublings)
		c.log(LogRecord{Job: j.name(), Task: t.name(), Event: "task held back", Why: "it crashes its workers: " + h.describe()})
		return
	}
	c.stats.GivenUp++
	c.stats.JobsFailed++
	c.log(LogRecord{Job: j.name(), Task: t.name(), Event: "task given up", Why: "it crashes its workers: " + h.describe()})
	c.endJob(j, StateFailed, "a task crashes its workers")
}

// recordUnknownLives records a life of unknown outcome with each task that a
// previous owner may have started and that no worker has reported. The caller
// does so once, when every worker has reported or lost its lease.
func (c *Core) recordUnknownLives() {
	if c.unknownLivesRecorded || !c.Reconciled() {
		return
	}
	c.unknownLivesRecorded = true
	c.collectNotes()
	defer clear(c.inheritedEnds)
	defer clear(c.inheritedNotes)
	for _, s := range slices.Clone(c.open) {
		if !s.mayHaveUnknownRuns || s.eagerMark || s.waiting == 0 {
			continue
		}
		for t := range s.knownTasks() {
			if t.waits() && !s.job().state.Ended() {
				c.recordUnknownLife(t)
			}
		}
		s.unknownLife = c.firstRun() - 1
	}
}

// recordUnknownLife records the life that a task without a run may have taken under
// the previous owner. If it had crashes before, its starts were noted.
func (c *Core) recordUnknownLife(t *task) {
	switch {
	case t.noted != nil:
		c.judgeNote(t)
		c.markDirty(t.step.job())
	case t.crashes.empty():
		t.appendCrash(crash{Run: c.firstRun() - 1, ChancePPM: certainPPM})
		c.judge(t)
	}
}

// holds returns what keeps a task from starting on a worker that has room for
// it: an earlier run that may be active, or its crashes.
func (c *Core) holds(t *task) WaitReason {
	reason := c.holdsUnsuspected(t)
	if reason == WaitNothing && t.crashes != nil && t.suspect() && !c.mayTrySuspect() {
		t.step.scannedAt = time.Time{}
		return WaitTrial
	}
	return reason
}

// holdsUnsuspected is holds without regard to suspicion, which is one for all of a gang.
func (c *Core) holdsUnsuspected(t *task) WaitReason {
	if c.mayRun(t) {
		return WaitEarlierRun
	}
	if t.open != nil {
		return WaitOpenStart
	}
	reason := c.crashHold(t)
	if reason != WaitNothing {
		// Neither time nor a commit frees a worker, so a scan of freed workers only
		// would not find one for the task.
		t.step.scannedAt = time.Time{}
	}
	return reason
}

// crashHold returns what keeps a task from starting as far as the record of its crashes is
// concerned.
func (c *Core) crashHold(t *task) WaitReason {
	switch h := t.crashes; {
	case h == nil:
		return WaitNothing
	case !h.committed(t.step.job()):
		return WaitCrashRecord
	case c.now.Before(h.heldUntil):
		return WaitPause
	}
	return WaitNothing
}

// clearRun clears the task of a run that a worker reports of the crashes that
// the run has outlasted.
func (c *Core) clearRun(r *run) {
	if r.task == nil || r.task.run != r || r.task.crashes.empty() {
		return
	}
	r.task.crashes.clearOutlasted(c.lasted(r))
}

// lasted returns how long a run has surely existed by its worker's last report.
// A gang has lasted as long as the member of which that is least.
func (c *Core) lasted(r *run) time.Duration {
	s := r.task.step
	if !s.def.Gang {
		return r.worker.clockAt.Sub(r.acknowledgedAt)
	}
	if s.lastedRun != r.number || !s.lastedAt.Equal(c.now) {
		s.lastedRun, s.lastedAt, s.gangLasted = r.number, c.now, s.shortestRun(r.number)
	}
	return s.gangLasted
}

// shortestRun returns how long all members of a gang's run have surely existed.
func (s *step) shortestRun(number RunNumber) time.Duration {
	shortest := time.Duration(math.MaxInt64)
	for index := range s.def.Count {
		member := s.knownTask(index)
		if member == nil || member.run == nil || member.run.number != number || member.run.acknowledgedAt.IsZero() {
			return 0
		}
		shortest = min(shortest, member.run.worker.clockAt.Sub(member.run.acknowledgedAt))
	}
	return shortest
}

// addCrashes adds the history of a task to the stored progress, and the start that is
// noted with it.
func (p *stepProgress) addCrashes(index int, t *task) {
	if crashes := t.storedCrashes(); len(crashes) > 0 {
		if p.Crashes == nil {
			p.Crashes = make(map[int][]crash)
		}
		p.Crashes[index] = crashes
	}
	if t.noted != nil {
		if p.Noted == nil {
			p.Noted = make(map[int]notedStart)
		}
		p.Noted[index] = *t.noted
	}
}
