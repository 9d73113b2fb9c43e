package scheduler

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"kumquatstall/requester"
)

// A start is idempotent by the number of its run: a worker that has the run accepts it and does
// nothing, and one on which that run has ended rejects it. So if a worker answers and
// doesn't have the run of an open start, the same run is started there again, with a higher fence,
// and its task needn't wait until the start can act no more. However many of the orders are executed
// late, and by whichever incarnation of the worker, it has the run once.
//
// Which of the orders an incarnation has executed can't be told, so an open start that was repeated
// is closed by time alone, and the end of its run isn't acknowledged before that (unread.go): the
// next incarnation may execute another order of it.
//
// docs/design/repeated-starts.md has the reasons.

// repeatStarts starts the runs of open starts again whose workers answer and don't have them.
func (c *Core) repeatStarts() {
	var gang *step // the last one that was looked at; the open starts of a gang follow one another
	for _, t := range c.openTasks {
		s := t.step
		switch {
		case !s.open || s.def.Gang && s == gang || c.repeatHolds(s) != WaitNothing:
		case s.def.Gang:
			gang = s
			c.repeatGang(s, t.open.Run)
		case c.mayRepeat(t):
			if ticket, valid := c.repeatTicket(t); valid {
				c.repeatStart(t, ticket)
			}
		}
	}
	c.written = slices.DeleteFunc(c.written, (*writtenStart).repeats)
}

// repeats reports whether the task's present run repeats the start, so that the list of intended
// starts needn't name it as it was before.
func (s *writtenStart) repeats() bool {
	return s.task != nil && s.task.run != nil && s.task.run.repeat && s.task.run.number == s.stored.Run && s.task.run != s.run
}

// repeatHolds returns what keeps the tasks of a step from being started again, or WaitNothing. An open
// start is the last of its task, so that no other run of it is unknown, unless starts of a previous
// owner are, or that was of an earlier version, whose rows name starts that were closed.
func (c *Core) repeatHolds(s *step) WaitReason {
	switch {
	case !c.runsKnown(s) && (c.startsUnknown || c.options.PreviousOwnerEager || !c.handedOver()):
		return WaitUnknownRuns
	case s.job().refusals > 0:
		return WaitRefused
	case !c.startRecorded(s):
		return WaitStartRecord
	}
	return WaitNothing
}

// mayRepeat reports whether the start of a waiting task may be repeated on its worker, advice
// aside.
func (c *Core) mayRepeat(t *task) bool {
	if t.open == nil || !t.waits() || t.open.ended {
		return false
	}
	w := c.workers[t.open.Worker]
	return w != nil && w.eligible(c.now) && w.answeredFence > t.open.fence && c.compatible(t.step, w) &&
		(requester.Resources{}).Fits(w.available()) && !t.step.keptApart(w) && c.strays[t.name()] == 0 && c.runsLeft > 0 &&
		(t.crashes == nil || !t.suspect() && c.crashHold(t) == WaitNothing)
}

// repeatTicket returns the ticket with which the start is repeated, and whether there is one or
// none is needed.
func (c *Core) repeatTicket(t *task) (ticket string, valid bool) {
	s := t.step
	if s.job().spec.Advice == nil {
		return "", true
	}
	return s.advice.validTicket(c.workers[t.open.Worker], c.now)
}

// repeatWorkers returns the workers on which starts of a step could be repeated but for a ticket. A
// gang needs all of its tickets at once.
func (c *Core) repeatWorkers(s *step) []requester.HostID {
	var ids []requester.HostID
	if c.repeatHolds(s) == WaitRefused || s.advice.inFlight > 0 {
		return nil
	}
	lacking := false
	for _, t := range c.openTasks {
		if t.step != s || len(ids) == maxAdviceWorkers || slices.Contains(ids, t.open.Worker) || !c.mayRepeat(t) {
			continue
		}
		if allowed, known := s.advice.allows(c.workers[t.open.Worker]); known && !allowed {
			continue
		}
		_, valid := c.repeatTicket(t)
		lacking = lacking || !valid
		if !valid || s.def.Gang {
			ids = append(ids, t.open.Worker)
		}
	}
	if !lacking {
		return nil
	}
	return ids
}

// repeatStart intends the start of a task's open run again.
func (c *Core) repeatStart(t *task, ticket string) {
	w := c.workers[t.open.Worker]
	c.unreserve(t, w)
	c.startRun(t, w, t.open.Run, ticket)
	r := t.run
	if r == nil {
		return
	}
	r.untilBefore, r.repeatUntilBefore = t.open.Until, t.open.repeatUntil
	t.open.repeated = true
	c.prolongOpen(t, c.now.Add(t.step.def.sendingTime()+maxOrderDelay))
	c.storeOpen(t)
}

// unreserve gives the room that was set aside for an open start to the run that takes it.
func (c *Core) unreserve(t *task, w *worker) {
	w.reservedForOpen = w.reservedForOpen.Sub(t.step.def.allocation())
	w.stepOpens[t.step.name()]--
}

// repeatGang intends the starts of a gang's run again that are open, if all of them may be repeated
// and the other members have the run and wait for these.
func (c *Core) repeatGang(s *step, number RunNumber) {
	if !c.mayStartGang(s) || c.now.Before(s.retryAt) || s.suspect() {
		return
	}
	var missing []*task
	for index := range s.def.Count {
		t := s.knownTask(index)
		switch {
		case t == nil:
			return
		case t.run.waitsForGang(number):
		case t.open == nil || t.open.Run != number || !c.mayRepeat(t):
			return
		default:
			if _, valid := c.repeatTicket(t); !valid {
				return
			}
			missing = append(missing, t)
		}
	}
	if len(missing) == 0 {
		return
	}
	s.lastRun = max(s.lastRun, number)
	s.rackUntil = time.Time{}
	for _, t := range missing {
		ticket, _ := c.repeatTicket(t)
		c.repeatStart(t, ticket)
	}
	c.intendGang(s)
}

// waitsForGang reports whether a worker has the run of a gang's member and the gang isn't at work
// yet. One that was is never whole again.
func (r *run) waitsForGang(number RunNumber) bool {
	return r != nil && r.number == number && r.phase == runAcknowledged && r.progress.percent == 0
}

// prolongOpen records until when a further order of an open start may be executed.
func (c *Core) prolongOpen(t *task, until time.Time) {
	t.open.prolong(until)
	if t.open.Run < c.firstRun() {
		t.open.repeatUntil = latest(t.open.repeatUntil, until)
	}
}

// prolong records until when an order of the start may be executed.
func (o *openStart) prolong(until time.Time) { o.Until = latest(o.Until, until) }

// noteRepeat records that the start of a run is repeated now.
func (c *Core) noteRepeat(r *run) {
	c.stats.Repeated++
	t := r.task
	t.open.fence, t.open.address = r.startFence, r.address
	c.log(LogRecord{Job: r.name.Job, Task: r.name, Run: r.number, Worker: r.worker.info.HostID, Event: "start repeated", Address: r.address, BootedAt: r.worker.bootedAt, Why: "a report lacks its run"})
}

// repeatOver records that the order which repeats a start isn't executed any more: it was
// answered, or not sent.
func (c *Core) repeatOver(r *run, result OrderResult) {
	if !r.repeat || r.task == nil || r.task.open == nil || r.task.open.Run != r.number {
		return
	}
	r.task.open.Until, r.task.open.repeatUntil = r.untilBefore, r.repeatUntilBefore
	r.task.open.ended = r.task.open.ended || result == OrderStaleRun
}

// storedOpenStart is the stored form of an open start.
type storedOpenStart struct {
	_      struct{} `cbor:",toarray"`
	Run    RunNumber
	Worker requester.HostID
	Until  time.Time
}

// repeatedOpenStart is the stored form of an open start that was repeated.
type repeatedOpenStart struct {
	_    struct{} `cbor:",toarray"`
	Open storedOpenStart
}

// MarshalCBOR encodes an open start.
func (o openStart) MarshalCBOR() ([]byte, error) {
	stored := storedOpenStart{Run: o.Run, Worker: o.Worker, Until: o.Until}
	if o.repeated {
		return rowEncoding.Marshal(repeatedOpenStart{Open: stored})
	}
	return rowEncoding.Marshal(stored)
}

// UnmarshalCBOR decodes an open start.
func (o *openStart) UnmarshalCBOR(data []byte) error {
	var stored repeatedOpenStart
	repeated := len(data) > 0 && data[0] == repeatedHeader
	var err error
	if repeated {
		err = rowDecoding.Unmarshal(data, &stored)
	} else {
		err = rowDecoding.Unmarshal(data, &stored.Open)
	}
	if err != nil {
		return errors.Wrap(err, "decode an open start")
	}
	*o = openStart{Run: stored.Open.Run, Worker: stored.Open.Worker, Until: stored.Open.Until, repeated: repeated}
	return nil
}

var (
	_ cbor.Marshaler   = openStart{}
	_ cbor.Unmarshaler = (*openStart)(nil)
)
