package scheduler

import (
	"math"
	"slices"
	"strconv"
	"time"

	"kumquatstall/requester"
)

// An owner may be lost right after it has sent a start, and a worker may execute the start
// seconds later, also in its next incarnation. So a start is written ahead: placing a task
// only intends its start, and the start is sent once a row that names it is committed. One
// write serves all starts that were intended since the last one. The successor takes each
// start in the row for an open one (open.go), unless the rows of the job tell its outcome.
//
// The row names the starts that are intended or sent, until they are settled or the rows of
// their jobs have them as open. A start that it names without need makes a successor wait,
// and no more, so the row is not written at once if it has only become shorter.
//
// While the store is slow, starts are sent eagerly, before the row is committed. What a
// successor makes of all this is in inherited.go.

// StartsKey is the key of the row of intended starts.
const StartsKey = ProgressPrefix + "@starts"

// StartsRow is a part of the list of intended starts. Its stored form is in startranges.go.
type StartsRow struct {
	Starts []IntendedStart
	// UnknownNanos is until when starts of eager owners before the one that wrote the row
	// may be executed of which it knows nothing, in Unix nanoseconds. It is 0 if that is not
	// known, or the owner may start eagerly itself.
	UnknownNanos int64
}

// IntendedStart is a start that may have been sent, unless the owner was lost before.
type IntendedStart struct {
	_          struct{} `cbor:",toarray"`
	Job        requester.JobID
	Occurrence int64
	Step       int
	Index      int
	Run        RunNumber
	Worker     requester.HostID
	// IntendedNanos is when the start was intended, in Unix nanoseconds.
	IntendedNanos int64
}

// writtenStart is a start in the list of intended starts. run is nil if a previous owner
// intended it, task as well if that task is done or its job has ended or is excluded.
type writtenStart struct {
	stored IntendedStart
	task   *task
	run    *run
	// taken is true if a batch in flight or committed names the start, committed if a
	// committed one does.
	taken, committed bool
	// openVersion is a version of the job's rows that has the start as open; 0 for none.
	openVersion int64
}

const (
	// maxIntendedTime is how long after it was intended a start may be sent.
	maxIntendedTime = time.Second
	// intendedStartBytes bounds the encoded size of a range of intended starts without its
	// names.
	intendedStartBytes = 60
	// shorterInterval is how long after it was last written the list is written again if it
	// has only become shorter.
	shorterInterval = time.Second
	// startsShare divides the room of a batch: the intended starts take at most one part of
	// so many, the rest is for the rows of jobs.
	startsShare = 2
	// maxStartsPerBatch bounds the new starts of a batch after the store has refused one.
	maxStartsPerBatch = 4096
)

// intend adds the start of a run to the list of intended starts.
func (c *Core) intend(r *run) {
	r.phase, r.settled = runIntended, true
	r.written = &writtenStart{task: r.task, run: r, stored: IntendedStart{
		Job: r.name.Job, Occurrence: r.name.Occurrence, Step: r.name.Step, Index: r.name.Index,
		Run: r.number, Worker: r.worker.info.HostID, IntendedNanos: c.now.UnixNano(),
	}}
	c.written = append(c.written, r.written)
	if !r.task.step.def.Gang {
		c.intended = append(c.intended, r)
	}
}

// name returns the name of the task.
func (s *IntendedStart) name() TaskName {
	return TaskName{StepName: StepName{Job: s.Job, Occurrence: s.Occurrence, Step: s.Step}, Index: s.Index}
}

// openOf returns a start in the list as an open one: it may have been sent at the last moment.
// That is later for a wide gang, and for a start of which this owner doesn't know whether it is of
// one.
func (c *Core) openOf(s *IntendedStart) *openStart {
	sending := maxGangSending
	if def := c.stepOf(s); def != nil {
		sending = def.sendingTime()
	}
	return &openStart{Run: s.Run, Worker: s.Worker, Until: time.Unix(0, s.IntendedNanos).Add(sending + maxOrderDelay)}
}

// stepOf returns the step of a start in the list, or nil if its job isn't known.
func (c *Core) stepOf(s *IntendedStart) *Step {
	if j := c.jobs[s.Job]; j != nil && s.Step >= 0 && s.Step < len(j.spec.Steps) {
		return &j.spec.Steps[s.Step]
	}
	return nil
}

// bytesAfter returns the most bytes that the start takes in its row behind another one, which
// may be nil.
func (s *IntendedStart) bytesAfter(last *IntendedStart) int {
	if last != nil && s.continues(last) {
		return 0
	}
	return intendedStartBytes + len(s.Job) + len(s.Worker)
}

// toBeSent reports whether the run's start is intended and not sent yet.
func (r *run) toBeSent() bool {
	return r.phase == runIntended && r.worker.runs[runKey{r.name, r.number}] == r
}

// StartsWaiting reports whether starts wait for a commit to name them.
func (c *Core) StartsWaiting() bool { return c.startsUnwritten() }

// sendIntended sends the intended starts that are committed, or all of them while starts
// are eager, as far as there is room. It withdraws those that would not be made now.
func (c *Core) sendIntended() {
	c.startsWait = false
	if c.fenced {
		return
	}
	for _, r := range c.intended {
		if !r.toBeSent() {
			continue
		}
		if why := c.obsoleteStart(r); why != "" {
			c.withdraw(r, why)
		} else if !c.mayBeSent(r) {
			c.noteUnsent(r.task.step)
		} else if c.hasRoomForStart(r.worker) {
			c.sendStart(r)
		} else {
			c.startsWait = true
		}
	}
	c.intended = slices.DeleteFunc(c.intended, func(r *run) bool { return !r.toBeSent() })
	c.sendGangs()
}

// noteUnsent records that a step of which no task waits for a worker waits for the store.
func (c *Core) noteUnsent(s *step) {
	if s.waiting == 0 && s.wait.reason != WaitStartRecord {
		s.wait = wait{reason: WaitStartRecord, since: c.now}
	}
}

// mayBeSent reports whether the stored rows say of a run that it may have been started, or
// needn't.
func (c *Core) mayBeSent(r *run) bool {
	return c.startRecordStored(r.task.step) && (r.written.committed || c.mayStartEagerly())
}

// notInTime is why a start is withdrawn that was not committed, or sent, in time.
const notInTime = "the start was not committed in time"

// obsoleteStart returns why an intended start would not be made now, or an empty string.
func (c *Core) obsoleteStart(r *run) string {
	w, t := r.worker, r.task
	switch {
	case t.done || t.open != nil || c.strays[r.name] > 0:
		return "the task may be running or done"
	case t.step.job().state.Ended() || t.step.job().refusals > 0:
		return "the job has ended, or the store refuses its rows"
	case !c.runsKnown(t.step):
		return "a run of a previous owner may not have been reported"
	case !w.usable() || w.unanswered > 0 || c.now.Sub(w.clockAt) >= freshnessWindow || c.now.Before(w.suspendedUntil):
		return "the worker gets no new tasks"
	case !(requester.Resources{}).Fits(w.available()) || !c.compatible(t.step, w):
		return "the worker doesn't meet the needs of the task any more"
	case t.step.job().spec.Advice != nil && !c.renewTicket(r):
		return "the ticket has expired"
	case c.now.Sub(r.startedAt) >= t.step.def.sendingTime():
		return notInTime
	}
	return ""
}

// renewTicket gives a run the present ticket of its step for its worker. It returns false if
// there is no valid one.
func (c *Core) renewTicket(r *run) (valid bool) {
	r.ticket, valid = r.task.step.advice.validTicket(r.worker, c.now)
	return valid
}

// withdraw releases an intended run, with its gang: members whose starts were sent are stopped.
// Its start is never sent.
func (c *Core) withdraw(r *run, why string) {
	c.stats.Withdrawn++
	c.log(LogRecord{Job: r.name.Job, Task: r.name, Run: r.number, Worker: r.worker.info.HostID, Event: "start withdrawn", Why: why})
	s := r.task.step
	if !s.def.Gang {
		c.withdrawOne(r)
		return
	}
	members := slices.Collect(s.runsOf(r.number))
	for _, member := range members {
		if member.toBeSent() {
			c.withdrawOne(member)
		}
	}
	for _, member := range members {
		if member.phase != runIntended {
			c.stop(member, "another member of its gang was not started: "+why)
		}
	}
}

func (c *Core) withdrawOne(r *run) {
	if w := r.worker; w.trial != nil && w.trial.job == nil && r.task.suspect() {
		w.trial = nil
	}
	c.release(r)
}

// withdrawFrom withdraws the intended starts on a worker.
func (c *Core) withdrawFrom(w *worker, why string) {
	for _, r := range w.sortedRuns() {
		if r.toBeSent() {
			c.withdraw(r, why)
		}
	}
}

// WithdrawIntended withdraws all intended starts, as this owner sends no more orders.
func (c *Core) WithdrawIntended() {
	c.releasing = true
	const why = "the owner releases the cell"
	for _, r := range c.intended {
		if r.toBeSent() {
			c.withdraw(r, why)
		}
	}
	for _, g := range c.gangs {
		if i := slices.IndexFunc(g.unsent, (*run).toBeSent); i >= 0 {
			c.withdraw(g.unsent[i], why)
		}
	}
	c.intended, c.gangs = nil, nil
}

// sendStart issues the order of an intended start.
func (c *Core) sendStart(r *run) {
	t, w := r.task, r.worker
	s := t.step
	r.phase, r.settled = runStarting, false
	waited := c.now.Sub(r.startedAt)
	if s.waiting == 0 {
		s.wait = wait{}
	}
	r.startedAt, r.expectedEnd = c.now, c.now.Add(s.expectedDuration())
	r.startFence, r.address = c.fence(w), w.address()
	c.noteStart(r)
	c.prolongTrial(r)
	c.sentRuns = append(c.sentRuns, r)
	c.stats.Starts++
	w.inFlight.starts++
	c.inFlight.starts++
	deadline := c.startDeadline(w)
	c.orders.Starts = append(c.orders.Starts, StartOrder{
		Worker:     w.ref(),
		Task:       r.name,
		Run:        r.number,
		Payload:    s.job().spec.Payload,
		Deadline:   deadline,
		Fence:      r.startFence,
		Checkpoint: t.resumesFrom(),
		Ticket:     r.ticket,
	})
	c.log(LogRecord{
		Job: s.job().name(), Task: r.name, Run: r.number, Worker: w.info.HostID, Event: "start",
		Address: r.address, BootedAt: w.bootedAt, Lease: LeaseCount{Deadline: deadline},
		Waited: c.now.Sub(s.occurrence.dueAt), Tier: s.rank.tier,
		Why: "intended " + strconv.FormatInt(waited.Milliseconds(), 10) + "ms before",
	})
}

// prolongTrial makes the trial of a task last from when its start is sent.
func (c *Core) prolongTrial(r *run) {
	switch trial := r.worker.trial; {
	case trial == nil:
	case trial.job == nil && r.task.suspect():
		trial.until = latest(trial.until, c.now.Add(r.task.crashes.trialTime()))
	case trial.job == r.task.step.job():
		trial.until = latest(trial.until, c.now.Add(queueTrial))
	}
}

// startsUnwritten reports whether there are starts that no batch names.
func (c *Core) startsUnwritten() bool {
	return slices.ContainsFunc(c.written, func(s *writtenStart) bool { return !s.taken && c.mustBeWritten(s) })
}

// mustBeWritten reports whether a successor may learn of the start from the list of
// intended starts alone.
func (c *Core) mustBeWritten(s *writtenStart) bool {
	r := s.run
	if s.task == nil {
		return c.mayAct(c.openOf(&s.stored))
	}
	if r != nil && r.phase == runIntended {
		return r.toBeSent()
	}
	j := s.task.step.job()
	if open := s.task.open; open != nil && open.Run == s.stored.Run {
		if !s.task.storesOpenStart() {
			return c.mayAct(open)
		}
		if s.openVersion == 0 {
			s.openVersion = j.version
		}
		return j.committedVersion < s.openVersion
	}
	switch {
	case r == nil || r.settled:
		return false
	case !s.task.storesOpenStart() && j.committedVersion < j.version:
		return true
	}
	return c.now.Before(c.actsUntil(r))
}

// storesOpenStart reports whether the rows of the job have the task's open start, if there is
// one. They don't if the task doesn't start again, nor if it is of a wide gang, whose starts the
// list of intended starts names in less room.
func (t *task) storesOpenStart() bool {
	return !t.done && !t.step.job().state.Ended() && !t.step.def.wideGang()
}

// listUnstored adds to the list of intended starts the open ones that the rows of their jobs
// don't have: a successor must keep their room, and wait for them if their tasks start again.
func (c *Core) listUnstored() {
	var missing []*task
	for _, t := range c.openTasks {
		if !t.storesOpenStart() {
			missing = append(missing, t)
		}
	}
	if len(missing) == 0 {
		return
	}
	listed := make(map[runKey]bool, len(c.written))
	for _, s := range c.written {
		if s.task != nil {
			listed[runKey{s.stored.name(), s.stored.Run}] = true
		}
	}
	for _, t := range missing {
		if !listed[runKey{t.name(), t.open.Run}] {
			c.written = append(c.written, &writtenStart{task: t, stored: t.open.intended(t.name(), t.step.def.sendingTime())})
		}
	}
}

// dropWritten removes from the list the starts that a successor needn't learn from it. Those
// of a wide gang remain as long as one of them must: the gang waits for that one anyway, and
// the ranges remain few.
func (c *Core) dropWritten() {
	type gangRun struct {
		step   *step
		number RunNumber
	}
	kept := make(map[gangRun]bool)
	gangOf := func(s *writtenStart) (gangRun, bool) {
		if s.task == nil || !s.task.step.def.wideGang() || s.task.step.job().state.Ended() {
			return gangRun{}, false
		}
		return gangRun{s.task.step, s.stored.Run}, true
	}
	for _, s := range c.written {
		if gang, ok := gangOf(s); ok && !kept[gang] && c.mustBeWritten(s) {
			kept[gang] = true
		}
	}
	c.written = slices.DeleteFunc(c.written, func(s *writtenStart) bool {
		if gang, ok := gangOf(s); ok {
			return !kept[gang]
		}
		return !c.mustBeWritten(s)
	})
}

// intended returns the open start of a task as one in the list of intended starts, which
// could be sent for the given time.
func (o *openStart) intended(name TaskName, sending time.Duration) IntendedStart {
	return IntendedStart{
		Job: name.Job, Occurrence: name.Occurrence, Step: name.Step, Index: name.Index,
		Run: o.Run, Worker: o.Worker, IntendedNanos: o.Until.Add(-maxIntendedTime - maxOrderDelay).UnixNano(),
	}
}

// addStarts adds the list of intended starts to a batch, if there are any that no batch
// names, or if it has been longer than it is for a while. New starts beyond half of the room
// wait for the next batch.
func (c *Core) addStarts(batch *Batch, room batchRoom) {
	c.listUnstored()
	c.dropWritten()
	if c.now.Before(c.startsHeldUntil) || c.startsUnreadable || !c.startsUnwritten() && !c.unknownOutdated() && !c.startsShorter() {
		return
	}
	left := min(room.left(batch).bytes/4*3, room.left(batch).rows*c.options.rowLimit()/2) / startsShare
	var last *IntendedStart
	for _, s := range c.written {
		if s.taken {
			left -= s.stored.bytesAfter(last)
			last = &s.stored
		}
	}
	added := 0
	last = nil
	var stored []IntendedStart
	for _, s := range c.written {
		if !s.taken {
			if left -= s.stored.bytesAfter(last); left < 0 || c.startsLimit > 0 && added == c.startsLimit {
				continue
			}
			s.taken = true
			added++
		}
		last = &s.stored
		stored = append(stored, s.stored)
		batch.starts = append(batch.starts, s)
	}
	tells := c.tellsUnknown()
	if added == 0 && !c.startsShorter() && !c.unknownOutdated() {
		batch.starts = nil
		return
	}
	// What the stored list says counts from when it may be stored.
	batch.tellsUnknown, c.unknownTaken, c.unknownStored = tells, tells, c.unknownStored || tells
	c.startsStored, c.startsWrittenAt, batch.hasStarts = len(stored), c.now, true
	batch.append(c.startsWrites(stored, len(stored) == len(c.written)))
}

// startsShorter reports whether the list has been longer than it is for a while.
func (c *Core) startsShorter() bool {
	return len(c.written) < c.startsStored && c.now.Sub(c.startsWrittenAt) >= shorterInterval
}

// startsWrites returns the writes of the list of intended starts, which is complete if it
// names all of them. An empty one that says nothing has no row.
func (c *Core) startsWrites(stored []IntendedStart, complete bool) []RowWrite {
	unknown := c.unknownNanos(complete)
	encode := func(from, to int) []byte { return EncodeRow(StartsRow{Starts: stored[from:to], UnknownNanos: unknown}) }
	writes := listWrites(StartsKey, len(stored), encode, c.options.rowLimit(), &c.startParts)
	if len(stored) == 0 && unknown == 0 {
		writes[0].Value, c.startParts = nil, 0
	}
	return writes
}

// startsCommitted records that a list of intended starts is committed.
func (c *Core) startsCommitted(batch *Batch) {
	if c.startsLimit *= 2; c.startsLimit > maxStartsPerBatch {
		c.startsLimit = 0
	}
	for _, s := range batch.starts {
		s.committed = true
	}
	c.unknownStored = batch.tellsUnknown
}

// startsRefused handles a list of intended starts that the store has refused as invalid. A
// list with half as many new ones is written next; a start that is refused alone is
// withdrawn, and others are written again later. alone is true if the batch had no other
// rows.
func (c *Core) startsRefused(batch *Batch, alone bool, why string) {
	c.startsStored = math.MaxInt // what is stored is not known any more
	c.unknownTaken = c.unknownStored
	var refused []*writtenStart
	for _, s := range batch.starts {
		if !s.committed && s.run != nil {
			s.taken = false
			refused = append(refused, s)
		}
	}
	if !alone {
		return
	}
	c.startsLimit = max(1, len(refused)/2)
	if len(refused) > 1 {
		return
	}
	c.startsHeldUntil = c.now.Add(firstRefusalDelay)
	c.log(LogRecord{Event: "row of intended starts refused", Why: why, Violation: true})
	for _, s := range refused {
		if s.run.toBeSent() {
			c.withdraw(s.run, "the store refuses the row that names it")
		}
	}
}
