package scheduler

import (
	"strings"
	"time"

	"kumquatstall/requester"
)

// A step that waits for starts or runs of lost owners waits for something that nobody sees:
// a start that a worker may have or not, or a worker that doesn't tell its runs. So the log
// names it: which start, of which epoch, on which worker, how that worker stands, and until
// when. What is here only reads what decisions rest on.

const (
	// waitLineInterval is how long after its last line a step that still waits for starts or
	// runs of lost owners gets another one: workers and times change meanwhile.
	waitLineInterval = 5 * time.Second
	// waitCheckInterval is the interval in which waits are counted and logged if no placement
	// pass comes to it.
	waitCheckInterval = 100 * time.Millisecond
	// maxNamed is the most starts, and the most workers, that a line names.
	maxNamed = 8
)

// WaitDetail tells what a step waits for.
type WaitDetail struct {
	// For is how long the step has waited for this reason.
	For time.Duration
	// OpenStarts counts the open starts of waiting tasks, Starts are the first of them.
	OpenStarts int
	Starts     []AwaitedStart
	// Unreported counts the workers that may have runs of previous owners and have not told
	// them, Workers are the first of them.
	Unreported int
	Workers    []AwaitedWorker
	// UnknownOn counts the workers on which a start of an eager predecessor may be open of
	// which this owner knows nothing, UnknownUntil is until when one may be executed, and
	// UnknownWorkers are the first of these workers.
	UnknownOn      int
	UnknownUntil   time.Time
	UnknownWorkers []AwaitedWorker
	// LeasesUnknownUntil is until when workers of which this owner doesn't know may hold
	// leases; zero if there can be none.
	LeasesUnknownUntil time.Time
}

// AwaitedStart is an open start for which a task waits.
type AwaitedStart struct {
	Task int
	Run  RunNumber
	// Epoch is that of the owner that named the start.
	Epoch  int64
	Worker requester.HostID
	// Standing is how the worker stands.
	Standing string
	// Sent is what is known of the sending.
	Sent StartSent
	// Until is the latest time at which the start may be executed. LeaseCounted is true once
	// that is over: then a report of the worker is waited for, or, until Latest, the end of the
	// longest lease.
	Until, Latest time.Time
	LeaseCounted  bool
}

// AwaitedWorker is a worker that is waited for until a time.
type AwaitedWorker struct {
	Worker   requester.HostID
	Standing string
	Until    time.Time
}

// StartSent is what an owner knows of the sending of an open start.
type StartSent string

// What is known of the sending of an open start.
const (
	// SentByOwner is a start that this owner has sent, and that has no answer.
	SentByOwner StartSent = "sent"
	// SentAnswered is one that was accepted, it isn't known by which life of the worker.
	SentAnswered StartSent = "answered"
	// SentStored is a start that the rows of its job had as open at the takeover: an owner had
	// sent it, or one before this one had found it in the list.
	SentStored StartSent = "stored"
	// SentListed is a start that only the list of intended starts had at the takeover. Whether
	// its owner has sent it isn't known.
	SentListed StartSent = "listed"
)

// epoch returns the epoch of the owner that named a run.
func (n RunNumber) epoch() int64 { return (int64(n)-1)/runsPerEpoch + 1 }

// countEpoch counts a run by its epoch and returns the counts, which may have been nil.
func countEpoch(counts map[int64]int, n RunNumber) map[int64]int {
	if counts == nil {
		counts = make(map[int64]int)
	}
	counts[n.epoch()]++
	return counts
}

// logWait logs that a step has waited for one reason for longWait, and again from time to time
// while it waits for starts or runs of lost owners.
func (c *Core) logWait(s *step) {
	w := &s.wait
	switch {
	case w.reason == WaitNothing || s.waiting == 0 || c.now.Sub(w.since) < longWait || c.now.Before(w.nextLine):
		return
	case w.logged && !w.reason.forLostOwners() || w.reason == WaitRoom && c.busy():
		return
	}
	if !w.logged {
		w.logged = true
		c.stats.LongWaits++
	}
	w.nextLine = c.now.Add(stopLinesInterval)
	c.logLimited(eventWaits, func() LogRecord {
		w.nextLine = c.now.Add(waitLineInterval)
		return c.waitRecord(s)
	})
}

// forLostOwners reports whether tasks wait for starts or runs that mostly are of lost owners.
func (r WaitReason) forLostOwners() bool { return r == WaitOpenStart || r == WaitUnknownRuns }

// countWaits adds up for how long tasks wait for starts and runs of lost owners, and logs the
// waits to which no placement pass has come.
func (c *Core) countWaits() {
	passed := c.now.Sub(c.waitsCountedAt)
	if passed < waitCheckInterval {
		return
	}
	c.waitsCountedAt = c.now
	if passed > longWait {
		passed = 0 // the entry stood still, or the core has just begun
	}
	for _, s := range c.open {
		if s.waiting == 0 {
			continue
		}
		switch s.wait.reason {
		case WaitOpenStart:
			c.stats.OpenStartWaitMillis += int64(s.waiting) * passed.Milliseconds()
		case WaitUnknownRuns:
			c.stats.UnknownRunsWaitMillis += int64(s.waiting) * passed.Milliseconds()
		default:
			continue
		}
		c.logWait(s)
	}
}

// waitDetail returns what a step waits for, if that is starts or runs of lost owners.
func (c *Core) waitDetail(s *step) *WaitDetail {
	if !s.wait.reason.forLostOwners() {
		return nil
	}
	d := &WaitDetail{}
	if s.wait.reason == WaitUnknownRuns {
		*d = c.unknownRuns()
	}
	d.For = c.now.Sub(s.wait.since)
	for t := range s.knownTasks() {
		if t.open == nil || t.done {
			continue
		}
		if d.OpenStarts++; len(d.Starts) < maxNamed {
			d.Starts = append(d.Starts, c.awaitedStart(t))
		}
	}
	return d
}

// unknownRuns returns for which workers Reconciled isn't true. That is the same for all steps,
// and very many may get a line at once, so it is looked up once for a time.
func (c *Core) unknownRuns() WaitDetail {
	if !c.unknownRunsAt.Equal(c.now) {
		c.unknownRunsAt, c.lastUnknownRuns = c.now, c.findUnknownRuns()
	}
	return c.lastUnknownRuns
}

func (c *Core) findUnknownRuns() WaitDetail {
	var d WaitDetail
	if c.leasesUnknown() {
		d.LeasesUnknownUntil = c.leasesUnknownUntil()
	}
	if c.startsUnknown {
		d.UnknownUntil = c.unknownUntil()
	}
	for _, w := range c.sortedWorkers {
		if c.unreportedInherited(w) {
			if d.Unreported++; len(d.Workers) < maxNamed {
				d.Workers = append(d.Workers, AwaitedWorker{w.info.HostID, c.standing(w.info.HostID), w.leaseExpiry(c)})
			}
		}
		if c.unknownStartOpen(w) {
			if d.UnknownOn++; len(d.UnknownWorkers) < maxNamed {
				open := openStart{Worker: w.info.HostID, Until: d.UnknownUntil}
				d.UnknownWorkers = append(d.UnknownWorkers, AwaitedWorker{w.info.HostID, c.standing(w.info.HostID), c.latestClosing(&open)})
			}
		}
	}
	return d
}

// awaitedStart describes the open start of a task.
func (c *Core) awaitedStart(t *task) AwaitedStart {
	open := t.open
	until := c.latestExecution(open)
	return AwaitedStart{
		Task: t.index, Run: open.Run, Epoch: open.Run.epoch(), Worker: open.Worker, Standing: c.standing(open.Worker), Sent: c.sentAs(t),
		Until: until, Latest: c.latestClosing(open), LeaseCounted: !c.now.Before(until),
	}
}

// latestClosing returns the time at which an open start counts as over if its worker tells
// nothing more; mayAct counts the same.
func (c *Core) latestClosing(open *openStart) time.Time {
	last := c.latestExecution(open)
	if w := c.workers[open.Worker]; w != nil && w.grantedAt.Add(maxPollDelay).After(last) {
		last = w.grantedAt.Add(maxPollDelay)
	}
	return c.nextLifeExpiry(last)
}

// sentAs returns what is known of the sending of a task's open start.
func (c *Core) sentAs(t *task) StartSent {
	key := runKey{t.name(), t.open.Run}
	switch w := c.workers[t.open.Worker]; {
	case t.open.Run < c.firstRun() && c.listedStarts[key]:
		return SentListed
	case t.open.Run < c.firstRun():
		return SentStored
	case w != nil && w.runs[key] != nil && !w.runs[key].acknowledgedAt.IsZero():
		return SentAnswered
	}
	return SentByOwner
}

// standing returns how a worker stands: whether it answers, and what else the owner knows of it
// that makes it special.
func (c *Core) standing(id requester.HostID) string {
	w := c.workers[id]
	if w == nil {
		return "unknown"
	}
	words := []string{"answers"}
	switch {
	case w.ended:
		words[0] = "ended"
	case w.unanswered > 0:
		words[0] = "silent"
	case !w.reported:
		words[0] = "not reported"
	case !w.endsListed:
		words[0] = "has more ends"
	}
	if w.followed {
		words = append(words, "reborn")
	}
	if w.info.Leaving {
		words = append(words, "leaving")
	}
	if !w.listed {
		words = append(words, "not listed")
	}
	return strings.Join(words, ", ")
}

// Awaited counts what tasks may wait for that lost owners have left, and the workers that are
// silent.
type Awaited struct {
	// SilentListed counts the listed workers that don't answer, also those that have never
	// reported to this owner or are leaving.
	SilentListed int
	// Unreported counts the workers that may have runs of previous owners and have not told
	// them, UnreportedUnlisted those of them that aren't listed. UnknownOn counts the workers on
	// which a start of an eager predecessor may be open of which this owner knows nothing.
	Unreported         int
	UnreportedUnlisted int
	UnknownOn          int
	// OpenOwn and OpenInherited count the open starts of unfinished tasks, by whose they are;
	// OpenAnswering those on workers that answer and are listed, OpenOver those whose time is over,
	// so that only a report or the end of the longest lease is waited for. OpenByEpoch counts
	// them by the epoch of the owner that named them.
	OpenOwn       int
	OpenInherited int
	OpenAnswering int
	OpenOver      int
	OpenByEpoch   map[int64]int
}

// awaited counts what tasks may wait for.
func (c *Core) awaited() Awaited {
	var a Awaited
	for _, w := range c.sortedWorkers {
		if w.listed && w.unanswered > 0 {
			a.SilentListed++
		}
		if c.unreportedInherited(w) {
			a.Unreported++
			if !w.listed {
				a.UnreportedUnlisted++
			}
		}
		if c.unknownStartOpen(w) {
			a.UnknownOn++
		}
	}
	for _, t := range c.openTasks {
		if t.done || t.step.job().state.Ended() {
			continue
		}
		a.OpenByEpoch = countEpoch(a.OpenByEpoch, t.open.Run)
		if t.open.Run < c.firstRun() {
			a.OpenInherited++
		} else {
			a.OpenOwn++
		}
		if w := c.workers[t.open.Worker]; w != nil && w.listed && w.reported && w.unanswered == 0 {
			a.OpenAnswering++
		}
		if !c.now.Before(c.latestExecution(t.open)) {
			a.OpenOver++
		}
	}
	return a
}

// Inherited is what an owner has taken over that its tasks may wait for.
type Inherited struct {
	// OpenStored and OpenListed count the open starts of unfinished tasks: those in the rows of
	// jobs, and those that only the list of intended starts has. ListedEnded counts the starts in
	// the list whose tasks or jobs have ended; they keep their room. OpenByEpoch counts
	// the first two by the epoch of the owner that named them.
	OpenStored  int
	OpenListed  int
	ListedEnded int
	OpenByEpoch map[int64]int
	// Workers counts the workers that may have runs of previous owners.
	Workers int
	// PreviousEager is true if the previous owner may have sent starts that nothing names.
	// UnknownUntil is until when such a start may be executed; zero if there can be none.
	// Until is the same for those that are named.
	PreviousEager bool
	UnknownUntil  time.Time
	Until         time.Time
}

// TakeInherited returns what this owner has taken over. It is called once, after the jobs and
// the list of intended starts were recovered, and remembers which starts only the list had.
func (c *Core) TakeInherited() Inherited {
	taken := Inherited{PreviousEager: c.options.PreviousOwnerEager, Until: c.inheritedUntil()}
	if c.startsUnknown {
		taken.UnknownUntil = c.unknownUntil()
	}
	c.listedStarts = make(map[runKey]bool)
	for _, s := range c.written {
		if s.run != nil {
			continue
		}
		if s.task == nil {
			taken.ListedEnded++
			continue
		}
		c.listedStarts[runKey{s.stored.name(), s.stored.Run}] = true
	}
	for _, t := range c.openTasks {
		taken.OpenByEpoch = countEpoch(taken.OpenByEpoch, t.open.Run)
		if c.listedStarts[runKey{t.name(), t.open.Run}] {
			taken.OpenListed++
		} else {
			taken.OpenStored++
		}
	}
	for _, w := range c.sortedWorkers {
		if w.inherited {
			taken.Workers++
		}
	}
	return taken
}

// LogUnsent logs, once an owner's term is over, the starts that it has named and not sent, and
// those that it has sent and that have no answer: a successor can't tell the two apart. It
// returns how many there are of each.
func (c *Core) LogUnsent() (unsent, unanswered int) {
	for _, w := range c.sortedWorkers {
		for _, r := range w.sortedRuns() {
			switch {
			case r.toBeSent():
				unsent++
				c.logLeft(r, "named and never sent")
			case !r.settled && r.task != nil && r.phase != runAcknowledged:
				unanswered++
				c.logLeft(r, "sent, without an answer")
			}
		}
	}
	c.logOmitted(eventLeft)
	return unsent, unanswered
}

func (c *Core) logLeft(r *run, why string) {
	c.logLimited(eventLeft, func() LogRecord {
		return LogRecord{Job: r.name.Job, Task: r.name, Run: r.number, Worker: r.worker.info.HostID, Why: why + "; worker: " + c.standing(r.worker.info.HostID)}
	})
}
