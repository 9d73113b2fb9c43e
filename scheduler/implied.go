package scheduler

import (
	"slices"
	"strconv"
)

// The core checks its acknowledgements against the bytes of the rows that were
// committed, and not against pendingEnds, versions or its own state of the job.

// impliedBy reports whether a job's stored progress implies an end: a later
// owner that knows only the progress neither starts the task again, if it is
// done, nor grants it the attempt that has failed once more.
func (e *EndedRun) impliedBy(stored *committedProgress, spec *Job) bool {
	if e.Kind != EndDone && e.Kind != EndFailed || e.Task.Step < 0 || e.Task.Step >= len(spec.Steps) {
		return true
	}
	def := &spec.Steps[e.Task.Step]
	if def.LongRunning || e.Task.Index < 0 || e.Task.Index >= def.Count || !spec.hasOccurrence(e.Task.Occurrence) {
		return true
	}
	row := stored.decoded()
	if row == nil {
		return false
	}
	if row.State.Ended() {
		return true
	}
	if e.Task.Occurrence >= row.NextOccurrence {
		return false
	}
	i := slices.IndexFunc(row.Occurrences, func(o occurrenceProgress) bool { return o.Number == e.Task.Occurrence })
	return i < 0 || e.Task.Step < len(row.Occurrences[i].Steps) && e.impliedByStep(stored, &row.Occurrences[i].Steps[e.Task.Step], def)
}

func (e *EndedRun) impliedByStep(stored *committedProgress, row *stepProgress, def *Step) bool {
	if row.AllDone || bitSet(row.Done, e.Task.Index) {
		return true
	}
	counted := e.Task.Index
	if def.Gang {
		counted = 0
	}
	return e.Kind == EndFailed && (slices.Contains(row.FailedRuns[counted], e.Run) || stored.failed(e, counted))
}

// implied reports whether the stored rows imply an end. A job that the core does
// not have has no row to compare with; JobsKnown decides about its ends.
func (c *Core) implied(ended *EndedRun) bool {
	j := c.jobs[ended.Task.Job]
	return j == nil && !c.excluded[ended.Task.Job] || j != nil && ended.impliedBy(&j.storedProgress, &j.spec)
}

// addUnverifiedEnd queues a reported end for verifyAcknowledgement.
func (w *worker) addUnverifiedEnd(ended EndedRun) {
	w.unverifiedEnds = insertEnd(w.unverifiedEnds, ended, func(e EndedRun) int64 { return e.Number })
}

// verifyAcknowledgement returns the number up to which a poll may acknowledge a
// worker's ends: committedEnd, or less if the stored rows don't imply an end up
// to it, which is a violation.
func (c *Core) verifyAcknowledgement(w *worker) int64 {
	for len(w.unverifiedEnds) > 0 && w.unverifiedEnds[0].Number <= w.committedEnd {
		ended := &w.unverifiedEnds[0]
		if !c.implied(ended) {
			c.reportViolation(w, ended)
			return min(w.committedEnd, ended.Number-1)
		}
		w.unverifiedEnds = w.unverifiedEnds[1:]
	}
	return w.committedEnd
}

// reportViolation counts and logs an acknowledgement that is withheld, once for
// each end.
func (c *Core) reportViolation(w *worker, ended *EndedRun) {
	if w.violatedEnd == ended.Number {
		return
	}
	w.violatedEnd = ended.Number
	c.stats.Violations++
	c.log(LogRecord{
		Job: ended.Task.Job, Task: ended.Task, Run: ended.Run, Worker: w.info.HostID, Event: "acknowledgement withheld",
		Why: "the stored rows do not imply end " + strconv.FormatInt(ended.Number, 10), Violation: true,
	})
}
