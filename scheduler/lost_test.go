package scheduler

import (
	"time"

	"kumquatstall/requester"
)

// startBound is the time within which a job without a run has to start where there
// is room for it, and roomFactor how many times over there has to be.
const (
	startBound = 3 * time.Second
	roomFactor = 2
	// calmBefore is for how long all has to be calm before such a wait begins (RULES.md, LOST).
	calmBefore = 4 * time.Second
)

// checkWaits checks that no job waits beside room: one with nothing running and a
// task whose turn has come starts within startBound while there is room for it
// roomFactor times over and less than half of all room is in use, unless a rule
// forbids it. What is free is counted by what the workers run and the list shows. A
// start of which it isn't known whether it is executed counts as in use too: the
// owner has to keep its room.
func (sim *simulation) checkWaits() {
	if sim.waitingSince == nil {
		sim.waitingSince = make(map[StepName]time.Time)
	}
	calm := !sim.storeAway() && !sim.slow() && sim.underHalfUsed()
	waiting := make(map[StepName]time.Time)
	for _, s := range sim.core.open {
		if s.waiting > 0 && s.wait.reason == WaitOpenStart {
			sim.checkOpenStart(s)
		}
		if !calm || s.waiting == 0 || sim.hasRun(s) || !sim.hasRoom(s) || sim.forbidden(s.wait.reason) {
			continue
		}
		since, known := sim.waitingSince[s.name()]
		if !known {
			since = sim.now
		}
		waiting[s.name()] = since
		if sim.now.Sub(since) > startBound {
			sim.problem("step %v waits since %s beside room: %v; %s", s.name(), since.Format("05.000"), s.wait.reason, sim.describe(s.name().Job))
		}
	}
	sim.waitingSince = waiting
}

// forbidden reports whether a rule keeps a step from starting for that reason: that no
// task runs twice, that what a start relies on is stored, or that it has a ticket. Each
// of these has a bound of its own. Where owners are lost in series, all workers answer once it is
// calm, so that no rule needs a wait for earlier runs or starts then.
func (sim *simulation) forbidden(reason WaitReason) bool {
	switch reason {
	case WaitUnknownRuns, WaitEarlierRun, WaitOpenStart:
		return sim.options.series == 0 || sim.now.Sub(sim.disturbedAt) < calmBefore
	case WaitStartRecord, WaitCrashRecord, WaitAdvice:
		return true
	}
	return false
}

// longestOpenStart bounds the wait for an open start: until an order that is late has
// arrived, until one that has granted a lease meanwhile has arrived late as well, for the
// longest lease by the slowest clock, and until the next check. The clock of the owner
// that stored it may differ by 5 s.
const longestOpenStart = (12*time.Second + 750*time.Millisecond) + (12*time.Second + 1750*time.Millisecond) + 10_205*time.Millisecond + 5*time.Second + startBound

// checkOpenStart checks that each start for which a step waits is one of the task that was
// sent, or named as intended by a stored row, and not too long ago; and that no owner got an
// answer to it, but for an acceptance by a life that its clock does not show to be the known
// one, or an owner that was lost before a stored list without the start could say so.
func (sim *simulation) checkOpenStart(s *step) {
	for _, t := range s.tasks() {
		if t.done || t.run != nil || t.open == nil {
			continue
		}
		sent := sim.starts[t.name()][t.open.Run]
		if sim.now.Sub(sent.sentAt) >= longestOpenStart || sent.rejected && !sent.inherited && sent.orders < 2 {
			sim.problem("step %v waits for start %d of task %d, which is not open; %s", s.name(), t.open.Run, t.index, sim.describe(s.name().Job))
		}
	}
}

// sentStart is when a start was sent, or before that intended, and when and in which epoch
// an owner has learned that it is not executed.
type sentStart struct {
	sentAt time.Time
	// orders counts the orders of the start: if it is repeated, the answer to one says nothing of
	// the others.
	orders     int
	rejected   bool
	rejectedAt time.Time
	// inherited is true if the stored list named the start at a takeover right after it was
	// rejected.
	inherited bool
}

// longestStaleName bounds how long the stored list names a start that was rejected: until
// the list is written again because it is shorter, with slow commits before and with that.
const longestStaleName = shorterInterval + 4*time.Second

// noteInherited records which rejected starts the stored list names at a takeover.
func (sim *simulation) noteInherited() {
	for _, key := range sortedKeys(sim.rows) {
		var row StartsRow
		if !IsListKey(key, StartsKey) {
			continue
		}
		if err := DecodeRow(sim.rows[key], &row); err != nil {
			sim.problem("decode row of intended starts: %v", err)
		}
		for _, start := range row.Starts {
			if sent := sim.starts[start.name()][start.Run]; sent.rejected && sim.now.Sub(sent.rejectedAt) < longestStaleName {
				sent.inherited = true
				sim.starts[start.name()][start.Run] = sent
			}
		}
	}
}

// noteIntended records the starts that a stored batch names and that are not sent yet.
func (sim *simulation) noteIntended(batch *Batch) {
	for _, write := range batch.Writes {
		var row StartsRow
		if !IsListKey(write.Key, StartsKey) || write.Value == nil {
			continue
		}
		if err := DecodeRow(write.Value, &row); err != nil {
			sim.problem("decode row of intended starts: %v", err)
		}
		for _, start := range row.Starts {
			if sent := sim.starts[start.name()][start.Run]; sent.sentAt.IsZero() {
				sim.noteStart(start.name(), start.Run, time.Unix(0, start.IntendedNanos))
			}
		}
	}
}

// noteSent and noteRejected record that a start was sent, and that the owner has learned
// that it is not executed.
func (sim *simulation) noteSent(order StartOrder) {
	sim.sentAt = sim.now
	orders := sim.starts[order.Task][order.Run].orders + 1
	sim.noteStart(order.Task, order.Run, sim.now)
	sent := sim.starts[order.Task][order.Run]
	sent.orders = orders
	sim.starts[order.Task][order.Run] = sent
}

func (sim *simulation) noteStart(name TaskName, number RunNumber, at time.Time) {
	if sim.starts == nil {
		sim.starts = make(map[TaskName]map[RunNumber]sentStart)
	}
	if sim.starts[name] == nil {
		sim.starts[name] = make(map[RunNumber]sentStart)
	}
	sim.starts[name][number] = sentStart{sentAt: at}
}

func (sim *simulation) noteRejected(core *Core, order StartOrder) {
	if core != sim.core {
		return // an owner that has been replaced tells nobody
	}
	sent := sim.starts[order.Task][order.Run]
	sent.rejected, sent.rejectedAt = true, sim.now
	sim.starts[order.Task][order.Run] = sent
}

// total returns the processors of the workers that are up.
func (sim *simulation) total() int64 {
	var total int64
	for _, f := range sim.workers {
		if !f.crashed {
			total += f.row().Total.MilliCores
		}
	}
	return total
}

// underHalfUsed reports whether less than half of the processors are in use.
func (sim *simulation) underHalfUsed() bool {
	var free int64
	for _, f := range sim.workers {
		if !f.crashed {
			free += f.free().MilliCores
		}
	}
	return 2*free > sim.total()
}

// free returns what is free on a worker, by what runs there and by what the owner
// has to assume.
func (f *fakeWorker) free() requester.Resources {
	return f.row().Total.Sub(f.used().Max(f.ownersView().allocated.Add(f.ownersView().reservedForOpen)))
}

// used returns what runs occupy on a worker.
func (f *fakeWorker) used() requester.Resources {
	var used requester.Resources
	for _, r := range f.runs {
		used = used.Add(r.need)
	}
	return used
}

// ownersView returns the owner's view of a worker, without runs if it has none.
func (f *fakeWorker) ownersView() *worker {
	if w, ok := f.sim.core.workers[f.info.HostID]; ok {
		return w
	}
	return &worker{}
}

// hasRun reports whether a task of the step's job runs on some worker.
func (sim *simulation) hasRun(s *step) bool {
	for _, f := range sim.workers {
		for key := range f.runs {
			if key.name.Job == s.name().Job && !f.crashed {
				return true
			}
		}
	}
	return false
}

// hasRoom reports whether workers that the owner reaches, and on which runs make
// progress, could start the step's tasks roomFactor times over: all of a gang, else
// one.
func (sim *simulation) hasRoom(s *step) bool {
	wanted := roomFactor
	if s.def.Gang {
		wanted *= len(s.tasks())
	}
	for _, f := range sim.workers {
		if f.crashed || f.hides(sim.core) || sim.now.Before(f.stalledUntil) || sim.now.Sub(f.bootedAt) < startBound {
			continue
		}
		free := f.free()
		limit := wanted
		if s.def.AntiAffinity > 0 {
			limit = s.def.AntiAffinity
		}
		for key := range f.runs {
			if key.name.StepName == s.name() {
				limit--
			}
		}
		wanted -= slotsIn(free, s.def.allocation(), limit)
		if wanted <= 0 {
			return true
		}
	}
	return false
}
