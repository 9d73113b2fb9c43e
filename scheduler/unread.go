package scheduler

import (
	"slices"
	"time"
)

// A poll that acknowledges ends names them by a number, and each incarnation of a worker
// numbers its ends from 1. An incarnation for which the poll was not meant executes it too,
// if it gets it late or has begun before the owner knows of it, and forgets its own ends up
// to that number. That is harmless unless it has ended a run of which nobody has read the
// end: the end counts as acknowledged, and the run looks as if it had never begun.
//
// Such an incarnation has no runs but those of starts that were not meant for it either. A
// start that is sent after the poll has a higher fence, so an incarnation that has executed
// it rejects the poll. So it is enough that no poll acknowledges ends as long as an earlier
// start may be executed by an incarnation that this owner doesn't know, or has been: from
// when it is sent until it is answered by the known incarnation, or its time is over and
// the known incarnation has answered since. An incarnation that begins after that can't
// execute it any more. If only a clock tells that the known incarnation has answered the
// start, its next answer to a poll is waited for as well.
//
// A start that was repeated (repeat.go) may be executed by the next incarnation after its run has
// ended here. So its end, too, and those after it wait until none of its orders can be executed any
// more, although its task doesn't start again.
//
// Meanwhile a worker keeps its ends. Once there are maxKeptEnds of them, or more than it
// lists, it gets no new tasks, so that it lists those of all its runs soon.

// heldPolls is the interval between polls of a worker whose ends can't be acknowledged yet.
// It would respond to a long poll at once.
const heldPolls = commitWait + answerTime

// mayHaveUnreadEnd reports whether some incarnation of the worker may have, or may come to
// have, an end of a start that was sent by now and whose task could start again, and which
// the known incarnation doesn't list.
func (c *Core) mayHaveUnreadEnd(w *worker) bool {
	for _, r := range w.runs {
		if r.task.mayStartAgain() && (!r.settled && !w.answeredAt.After(c.actsUntil(r)) || r.confirmedSince(w.answeredAt)) {
			return true
		}
	}
	if c.startsUnknown && (w.inherited || c.unknownLeases) && !w.answeredAt.After(c.unknownUntil()) {
		return true
	}
	return slices.ContainsFunc(c.openTasks, func(t *task) bool {
		return t.open.Worker == w.info.HostID && (t.open.repeated || t.mayStartAgain()) && !w.answeredAt.After(c.latestExecution(t.open))
	}) || c.repeatedByPredecessor(w)
}

// repeatedByPredecessor reports whether a start of a task that needs no run any more was repeated
// by a previous owner and may still be executed on the worker: the end that it has had there may
// be acknowledged only after that.
func (c *Core) repeatedByPredecessor(w *worker) bool {
	return slices.ContainsFunc(c.written, func(s *writtenStart) bool {
		return s.task == nil && s.stored.Repeated && s.stored.Worker == w.info.HostID && !w.answeredAt.After(c.latestExecution(c.openOf(&s.stored)))
	})
}

// confirmedSince reports whether a clock alone shows that the known incarnation has the run,
// and that incarnation has not answered a poll that was sent after it.
func (r *run) confirmedSince(answeredAt time.Time) bool {
	return r.confirmed && !r.reported && !answeredAt.After(r.acknowledgedAt)
}

// mayStartAgain reports whether this owner or, by the stored rows, its successor may start
// the task again and must not do so after an end of it. A task that lasts starts again
// however it ends.
func (t *task) mayStartAgain() bool {
	if t == nil || t.step.def.LongRunning {
		return false
	}
	j := t.step.job()
	return !t.done && !j.state.Ended() || j.committedVersion < j.version
}

// holdsEndsBack reports whether the worker has ends that could be acknowledged but for
// mayHaveUnreadEnd.
func (c *Core) holdsEndsBack(w *worker) bool {
	return w.committedEnd > w.confirmedEnd && w.unanswered == 0 && c.mayHaveUnreadEnd(w)
}
