package scheduler

import (
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
// That holds however slow the store is. What a successor makes of all this is in inherited.go.

// StartsKey is the key of the row of intended starts.
const StartsKey = ProgressPrefix + "@starts"

// StartsRow is a part of the list of intended starts. Its stored form is in startranges.go.
type StartsRow struct {
	Starts []IntendedStart
	// UnknownNanos is until when starts of eager owners before the one that wrote the row
	// may be executed of which it knows nothing, in Unix nanoseconds. It is 0 if that is not
	// known, or the owner is of an earlier version and may start eagerly itself.
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
	// Repeated is true if the start may have been sent more than once. It is stored beside the
	// other fields (startranges.go).
	Repeated bool `cbor:"-"`
}

// maxIntendedTime is how long after it was intended a start may be sent.
const maxIntendedTime = time.Second

// intend adds the start of a run to the list of intended starts.
func (c *Core) intend(r *run) {
	r.phase, r.settled = runIntended, true
	r.written = &writtenStart{task: r.task, run: r, stored: IntendedStart{
		Job: r.name.Job, Occurrence: r.name.Occurrence, Step: r.name.Step, Index: r.name.Index,
		Run: r.number, Worker: r.worker.info.HostID, IntendedNanos: c.now.UnixNano(), Repeated: r.repeat,
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
	return &openStart{Run: s.Run, Worker: s.Worker, Until: time.Unix(0, s.IntendedNanos).Add(sending + maxOrderDelay), repeated: s.Repeated}
}

// stepOf returns the step of a start in the list, or nil if its job isn't known.
func (c *Core) stepOf(s *IntendedStart) *Step {
	if j := c.jobs[s.Job]; j != nil && s.Step >= 0 && s.Step < len(j.spec.Steps) {
		return &j.spec.Steps[s.Step]
	}
	return nil
}

// toBeSent reports whether the run's start is intended and not sent yet.
func (r *run) toBeSent() bool {
	return r.phase == runIntended && r.worker.runs[runKey{r.name, r.number}] == r
}

// StartsWaiting reports whether starts wait for a commit to name them.
func (c *Core) StartsWaiting() bool { return c.startsUnwritten() }

// sendIntended sends the intended starts that are committed, as far as there is room. It
// withdraws those that would not be made now.
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

// mayBeSent reports whether the stored rows say of a run that it may have been started.
func (c *Core) mayBeSent(r *run) bool {
	return r.named() && (r.repeat || c.startRecordStored(r.task.step))
}

// named reports whether the stored rows name the start as the last of its task: none has an earlier
// one as open.
func (r *run) named() bool {
	return r.written.committed && r.task.closedVersion <= r.task.step.job().committedVersion
}

// notInTime is why a start is withdrawn that was not committed, or sent, in time.
const notInTime = "the start was not committed in time"

// obsoleteStart returns why an intended start would not be made now, or an empty string.
func (c *Core) obsoleteStart(r *run) string {
	w, t := r.worker, r.task
	switch {
	case t.done || r.repeat != (t.open != nil) || c.strays[r.name] > 0:
		return "the task may be running or done"
	case t.step.job().state.Ended() || t.step.job().refusals > 0:
		return "the job has ended, or the store refuses its rows"
	case !r.repeat && !c.runsKnown(t.step):
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
	c.repeatOver(r, OrderUnsent)
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
	if r.repeat {
		c.noteRepeat(r)
	}
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
