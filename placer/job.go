package placer

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/requester"
)

// JobRow is the value of a job's row in the table.
type JobRow struct {
	Job    requester.Job
	State  requester.JobState
	Reason requester.Reason
	// Done has a bit for each task that has succeeded, lowest index first.
	Done []byte `json:",omitempty"`
	// Failures holds the count of failing runs for tasks that have any.
	Failures map[int]int `json:",omitempty"`
	// Version grows with each write of the row.
	Version int64
	// EndedAt is by the clock of the entry that wrote it.
	EndedAt time.Time `json:",omitzero"`
}

// JobPrefix is the prefix of the rows of a data centre's jobs.
func JobPrefix(dataCentre requester.DataCentre) string { return "job/" + string(dataCentre) + "/" }

// NewJobRow encodes the row of a job that has just been accepted.
func NewJobRow(spec requester.Job) []byte {
	return mustMarshal(JobRow{Job: spec, Version: 1})
}

// DecodeJobRow decodes the value of a job's row.
func DecodeJobRow(value []byte) (JobRow, error) {
	var row JobRow
	err := json.Unmarshal(value, &row)
	return row, errors.Wrap(err, "decode job row")
}

func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// Feasible reports whether some worker that is not leaving could hold one task
// of the job if it were empty. It is true while no worker is known.
func (f *Fleet) Feasible(spec requester.Job) bool {
	for _, w := range f.order {
		if !w.info.Leaving && spec.Need.Fits(w.usable) {
			return true
		}
	}
	return len(f.order) == 0
}

// Add takes in a job whose row stands in the table. A job known already is
// left as it is.
func (f *Fleet) Add(row JobRow, rowRevision int64, recovered bool) {
	if _, ok := f.jobs[row.Job.JobID]; ok {
		return
	}
	j := &job{
		spec:        row.Job,
		state:       row.State,
		reason:      row.Reason,
		recovered:   recovered,
		rowRevision: rowRevision,
		version:     row.Version,
		saved:       row.Version,
		endedAt:     row.EndedAt,
	}
	f.jobs[j.spec.JobID] = j
	j.tasks = make([]*task, j.spec.Tasks)
	for index := range j.spec.Tasks {
		t := f.newTask(j, index)
		t.failures = row.Failures[index]
		j.tasks[index] = t
		switch {
		case bitSet(row.Done, index):
			_ = t.machine.Fire("Finish")
			j.succeeded++
		case j.state.Ended():
			_ = t.machine.Fire("Cancel")
		default:
			f.enqueue(t)
		}
	}
}

func bitSet(bits []byte, index int) bool {
	return index/8 < len(bits) && bits[index/8]&(1<<(index%8)) != 0
}

func (f *Fleet) newTask(j *job, index int) *task {
	return &task{job: j, index: index, machine: f.chart.Start()}
}

// enqueue puts a task in its job's waiting list and the job in its trade's.
func (f *Fleet) enqueue(t *task) {
	j := t.job
	j.waiting = append(j.waiting, t)
	if len(j.waiting) == 1 {
		f.trade(j.spec.Trade).add(j)
	}
}

// Cancel ends a job. Its running tasks are stopped; their room stays taken
// until the workers confirm.
func (f *Fleet) Cancel(id requester.JobID, now time.Time) bool {
	j, ok := f.jobs[id]
	if !ok || j.state.Ended() {
		return false
	}
	f.end(j, requester.JobCancelled, requester.ReasonNone, now)
	return true
}

// end moves a job to a final state and stops what it runs.
func (f *Fleet) end(j *job, state requester.JobState, reason requester.Reason, now time.Time) {
	j.state = state
	j.reason = reason
	j.endedAt = now
	for _, t := range j.waiting {
		if t.machine.Can("Cancel") {
			_ = t.machine.Fire("Cancel")
		}
	}
	j.waiting = nil
	for _, t := range j.tasks {
		f.stop(t)
	}
	f.touch(j)
}

// stop asks a task's worker to checkpoint and stop it.
func (f *Fleet) stop(t *task) {
	if t.machine.Can("Stop") {
		_ = t.machine.Fire("Stop")
		t.worker.stops = append(t.worker.stops, t.id)
	}
}

// touch notes that a job's row has to be written.
func (f *Fleet) touch(j *job) {
	if j.version == j.saved {
		f.changed = append(f.changed, j)
	}
	j.version++
}

// RowWrite is a job's row that has to be written.
type RowWrite struct {
	JobID   requester.JobID
	Version int64
	// RowRevision is the table's revision that the row must have.
	RowRevision int64
	Value       []byte
}

// maxSaves bounds the rows of one write.
const maxSaves = 64

// Saves returns rows to write. Each is handed back to Saved, or to Unsaved
// where the write failed.
func (f *Fleet) RowWrites() []RowWrite {
	var saves []RowWrite
	for len(f.changed) > 0 && len(saves) < maxSaves {
		j := f.changed[0]
		f.changed = f.changed[1:]
		saves = append(saves, RowWrite{JobID: j.spec.JobID, Version: j.version, RowRevision: j.rowRevision, Value: mustMarshal(j.row())})
	}
	return saves
}

func (j *job) row() JobRow {
	row := JobRow{Job: j.spec, State: j.state, Reason: j.reason, Version: j.version, EndedAt: j.endedAt}
	row.Done = make([]byte, (len(j.tasks)+7)/8)
	for index, t := range j.tasks {
		if t.machine.In("Succeeded") {
			row.Done[index/8] |= 1 << (index % 8)
		}
		if t.failures > 0 {
			if row.Failures == nil {
				row.Failures = make(map[int]int)
			}
			row.Failures[index] = t.failures
		}
	}
	return row
}

// Saved notes that a row was written: the results it holds are acknowledged.
// rowRevision is the table's revision of the row.
func (f *Fleet) WriteCommitted(save RowWrite, rowRevision int64) {
	j, ok := f.jobs[save.JobID]
	if !ok {
		return
	}
	j.saved = save.Version
	j.rowRevision = rowRevision
	kept := j.acks[:0]
	for _, ack := range j.acks {
		if ack.version <= save.Version {
			ack.worker.acks = append(ack.worker.acks, ack.task)
		} else {
			kept = append(kept, ack)
		}
	}
	j.acks = kept
	if j.version != j.saved {
		f.changed = append(f.changed, j)
	}
}

// Unsaved notes that writing a row failed, so that it is tried again.
func (f *Fleet) WriteFailed(save RowWrite) {
	if j, ok := f.jobs[save.JobID]; ok {
		f.changed = append(f.changed, j)
	}
}

// Conflicted notes that a row had been written by an earlier holder in the
// meantime. What that holder knew to have succeeded is taken over.
func (f *Fleet) WriteConflicted(save RowWrite, row JobRow, rowRevision int64) {
	j, ok := f.jobs[save.JobID]
	if !ok {
		return
	}
	j.rowRevision = rowRevision
	j.version = max(j.version, row.Version) + 1
	for index, t := range j.tasks {
		if bitSet(row.Done, index) && t.machine.In("Waiting") {
			j.waiting = without(j.waiting, t)
			_ = t.machine.Fire("Finish")
			j.succeeded++
		}
	}
	f.changed = append(f.changed, j)
}

// Forgotten names a job that was dropped and its row's revision.
type RemovedJob struct {
	JobID       requester.JobID
	RowRevision int64
}

// Forget drops the jobs that ended before a time and returns them, so that
// their rows can be deleted.
func (f *Fleet) RemoveEnded(before time.Time) []RemovedJob {
	var forgotten []RemovedJob
	for id, j := range f.jobs {
		if j.state.Ended() && j.endedAt.Before(before) && j.version == j.saved && j.running == 0 && len(j.acks) == 0 {
			delete(f.jobs, id)
			forgotten = append(forgotten, RemovedJob{JobID: id, RowRevision: j.rowRevision})
		}
	}
	slices.SortFunc(forgotten, func(a, b RemovedJob) int { return cmp.Compare(a.JobID, b.JobID) })
	return forgotten
}
