package scheduler

import (
	"time"

	"kumquatstall/requester"
)

// An owner may be lost between a start and the proof of the crash that followed, which
// takes seconds. So it notes in the rows of the job what its successor needs to tell a
// crash from a start that was never sent: the worker's incarnation, and, once the worker
// has fallen silent right after the start, what that says of the task. If the incarnation
// has ended and no worker reports the run, the successor records the crash. If it is
// still there, the run has not crashed it.
//
// The starts of a task that has a life in its record are noted at once, those of others
// only when their worker falls silent, so that ordinary work costs nothing. A note is
// written together with the start and not before it: the start doesn't wait for the
// store, and is hidden only if the owner is lost within that commit.

// notedStart is a start as the rows of its job have it.
type notedStart struct {
	_      struct{} `cbor:",toarray"`
	Run    RunNumber
	Worker requester.HostID
	// BootedAt identifies the incarnation of the worker.
	BootedAt  time.Time
	StartedAt time.Time
	// AgeMillis, ChancePPM and Unproven are as in the crash that is recorded if the
	// incarnation has ended. They are zero as long as the worker answers.
	AgeMillis int64
	ChancePPM int64
	Unproven  bool
}

// maxUnknownNotes is how many runs a job may have from which on their starts are not noted at
// once if all that is known of their tasks is a life of unknown outcome: after a change of
// the owner, that is so of all tasks of a step, and the notes of a wide one would fill rows.
const maxUnknownNotes = 1000

// noteStart notes a run if its task has crashes.
func (c *Core) noteStart(r *run) {
	t := r.task
	if t.crashes.empty() || t.noted != nil && t.noted.Run == r.number {
		return
	}
	if t.crashes.unknownAlone() && t.step.job().activeRuns > maxUnknownNotes {
		return
	}
	t.noted = r.note()
	c.markDirty(t.step.job())
}

func (r *run) note() *notedStart {
	return &notedStart{Run: r.number, Worker: r.worker.info.HostID, BootedAt: r.worker.bootedAt, StartedAt: r.startedAt}
}

// noteSilences notes, with the runs that had started right before, that workers have
// fallen silent. It waits until it can tell a wide failure.
func (c *Core) noteSilences() {
	for _, w := range c.sortedWorkers {
		if w.unanswered == 0 || w.silenceNoted || w.ended || len(w.runs) == 0 || c.now.Sub(w.silentAt) <= wideWindow {
			continue
		}
		w.silenceNoted = true
		aliveAt, youngest := w.lastSign(w.silentAt)
		for _, r := range w.tasksRuns() {
			found := c.crashUnder(w, r, aliveAt, youngest)
			if r.tracked || found.age() > suspectAge {
				continue
			}
			if r.task.noted == nil || r.task.noted.Run != r.number {
				r.task.noted = r.note()
			}
			noted := r.task.noted
			noted.AgeMillis, noted.ChancePPM, noted.Unproven = found.AgeMillis, found.ChancePPM, found.Unproven
			c.markDirty(r.task.step.job())
		}
	}
}

// forgetSilence removes what was noted of the silence of a worker that answers again.
func (c *Core) forgetSilence(w *worker) {
	for _, r := range w.tasksRuns() {
		c.forgetNotedSilence(r)
	}
}

// forgetNotedSilence removes what was noted with a run of the silence of its worker.
func (c *Core) forgetNotedSilence(r *run) {
	noted := r.task.noted
	if noted == nil || noted.Run != r.number || noted.AgeMillis == 0 {
		return
	}
	r.task.noted = nil
	c.markDirty(r.task.step.job())
	c.noteStart(r)
	if r.task.noted != nil {
		r.task.noted.StartedAt = noted.StartedAt
	}
}

// noteReportedRun notes a run of a previous owner that a worker reports.
func (c *Core) noteReportedRun(r *run) {
	if noted := r.task.noted; noted != nil && noted.Run != r.number {
		c.forgetNote(r.task)
	}
	c.forgetNotedSilence(r)
	c.noteStart(r)
}

// forgetNote removes the note of the task's run, which has ended otherwise than by an
// unproven crash.
func (c *Core) forgetNote(t *task) {
	if t.noted == nil {
		return
	}
	t.noted = nil
	if !t.done && !t.step.job().state.Ended() {
		c.markDirty(t.step.job())
	}
}

// collectNotes collects the noted starts that no worker has reported.
func (c *Core) collectNotes() {
	for _, s := range c.open {
		for t := range s.knownTasks() {
			if t.noted != nil && t.run == nil && !t.done {
				c.inheritedNotes[t] = *t.noted
			}
		}
	}
}

// judgeNote records what has become of a noted start that no worker has reported.
func (c *Core) judgeNote(t *task) {
	noted := *t.noted
	t.noted = nil
	endedAt, known := c.endOfIncarnation(&noted)
	switch {
	case !known:
		t.appendCrash(crash{Run: noted.Run, ChancePPM: certainPPM})
		c.judge(t)
	case !endedAt.IsZero():
		found := crash{Run: noted.Run, Worker: noted.Worker, AgeMillis: noted.AgeMillis, ChancePPM: noted.ChancePPM, Unproven: noted.Unproven}
		if found.AgeMillis == 0 {
			age := max(minAge, endedAt.Sub(noted.StartedAt))
			found.AgeMillis, found.ChancePPM, found.Unproven = age.Milliseconds(), c.notedChance(t, &noted, age), true
		}
		c.addCrash(t, found)
	}
}

// ordinaryPPM is the probability, in millionths, that one of the ordinary tasks that had
// just started on a worker has crashed it.
const ordinaryPPM = 10_000

// notedChance returns the probability, in millionths, that the worker of a noted start
// crashed by chance, or by another start. This owner saw no run there, but all starts of
// tasks under suspicion are noted.
func (c *Core) notedChance(t *task, noted *notedStart, age time.Duration) int64 {
	if c.wideInheritedFailure() {
		return certainPPM
	}
	chance := ordinaryPPM + int64(certainPPM*c.crashRate()*age.Seconds())
	for other, start := range c.inheritedNotes {
		sameGang := other.step == t.step && t.step.def.Gang
		if other != t && !sameGang && start.Worker == noted.Worker && other.suspect() {
			chance += suspectPriorPPM
		}
	}
	return min(certainPPM, chance)
}

// wideInheritedFailure reports whether several workers were lost at the change of the
// owner that no noted start explains.
func (c *Core) wideInheritedFailure() bool {
	noted := make(map[requester.HostID]bool)
	for _, start := range c.inheritedNotes {
		noted[start.Worker] = true
	}
	unexplained := 0
	for id := range c.inheritedEnds {
		if !noted[id] {
			unexplained++
		}
	}
	return unexplained >= wideCrashes
}

// endOfIncarnation returns the latest time at which the incarnation of a noted start
// can have ended; zero if it has not. It is unknown as long as neither that incarnation
// has reported nor another one has shown itself.
func (c *Core) endOfIncarnation(noted *notedStart) (endedAt time.Time, known bool) {
	w := c.workers[noted.Worker]
	reported := w != nil && w.reported
	if reported && w.bootedAt.Equal(noted.BootedAt) {
		return time.Time{}, true
	}
	if at, ended := c.inheritedEnds[noted.Worker]; ended {
		return at, true
	}
	if reported {
		return w.birthSeenAt, true
	}
	return time.Time{}, false
}

// noteInheritedEnd remembers that a worker which a previous owner may have sent orders
// is in another incarnation, for the starts that the owner has noted.
func (c *Core) noteInheritedEnd(w *worker) {
	if w.inherited && !c.unknownLivesRecorded {
		c.inheritedEnds[w.info.HostID] = w.silentAt
	}
}
