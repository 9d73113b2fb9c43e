package scheduler

import (
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"kumquatstall/requester"
)

// The core checks its acknowledgements against the bytes of the rows that were
// committed, and not against pendingEnds, versions or its own state of the job.

// committedProgress is what is committed of a job's progress: the value of its
// progress row, and its detail rows in the order of their tasks.
type committedProgress struct {
	value   []byte
	details []committedDetail
	// row is what value contains, once it was needed.
	row *progressRow
}

// committedDetail is a committed detail row.
type committedDetail struct {
	key   string
	first taskPosition
	value []byte
	// row is what value contains, once it was needed.
	row *detailRow
}

// decodeDetails decodes detail rows and sorts them by their tasks.
func decodeDetails(rows []RowWrite) ([]committedDetail, error) {
	var details []committedDetail
	for _, row := range rows {
		first, ok := parseDetailKey(row.Key)
		if !ok {
			return nil, errors.Newf("decode details of tasks: the key %q names no task", row.Key)
		}
		detail := committedDetail{key: row.Key, first: first, value: row.Value}
		if err := detail.decode(); err != nil {
			return nil, err
		}
		details = append(details, detail)
	}
	slices.SortFunc(details, func(a, b committedDetail) int { return a.first.compare(b.first) })
	return details, nil
}

func (d *committedDetail) decode() error {
	if d.row != nil {
		return nil
	}
	var row detailRow
	if err := DecodeRow(d.value, &row); err != nil {
		return err
	}
	d.row = &row
	return nil
}

// detailWith returns the committed detail row with that key, or nil.
func (p *committedProgress) detailWith(key string) *committedDetail {
	i := slices.IndexFunc(p.details, func(d committedDetail) bool { return d.key == key })
	if i < 0 {
		return nil
	}
	return &p.details[i]
}

// apply records that a write of the job's rows is committed.
func (p *committedProgress) apply(id requester.JobID, write RowWrite) {
	switch first, isDetail := parseDetailKey(write.Key); {
	case write.Key == ProgressKey(id):
		p.value, p.row = write.Value, nil
	case !isDetail:
	case write.Value == nil:
		p.details = slices.DeleteFunc(p.details, func(d committedDetail) bool { return d.key == write.Key })
	case p.detailWith(write.Key) != nil:
		*p.detailWith(write.Key) = committedDetail{key: write.Key, first: first, value: write.Value}
	default:
		p.details = append(p.details, committedDetail{key: write.Key, first: first, value: write.Value})
		slices.SortFunc(p.details, func(a, b committedDetail) int { return a.first.compare(b.first) })
	}
}

// failed reports whether a detail row has the end of a failed run.
func (p *committedProgress) failed(e *EndedRun, counted int) bool {
	for i := range p.details {
		if p.details[i].decode() != nil {
			continue
		}
		for _, s := range p.details[i].row.Steps {
			if s.Occurrence == e.Task.Occurrence && s.Step == e.Task.Step && slices.Contains(s.Progress.FailedRuns[counted], e.Run) {
				return true
			}
		}
	}
	return false
}

// decoded returns what the row contains, or nil if there is none or it cannot be
// decoded.
func (p *committedProgress) decoded() *progressRow {
	if p.row == nil && p.value != nil {
		var row progressRow
		if DecodeRow(p.value, &row) == nil {
			p.row = &row
		}
	}
	return p.row
}

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
