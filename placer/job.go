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
	// Done has a bit per task, lowest index first, which is set if the task has
	// succeeded.
	Done []byte `json:",omitempty"`
	// Failures maps the index of a task to the number of its failed runs, where
	// there are any.
	Failures map[int]int `json:",omitempty"`
	// Version increases with each write of the row.
	Version int64
	// EndedAt is the time at which the job reached its final state, on the clock
	// of the entry that wrote it.
	EndedAt time.Time `json:",omitzero"`
}

// JobPrefix returns the prefix of the keys of a data centre's job rows.
func JobPrefix(dataCentre requester.DataCentre) string { return "job/" + string(dataCentre) + "/" }

// Exclude excludes a job whose row cannot be decoded: the ends of its runs are not
// acknowledged.
func (f *Fleet) Exclude(id requester.JobID) { f.excluded[id] = true }

// NewJobRow returns the encoded first row of a newly submitted job.
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

// Feasible reports whether a task of the job fits some worker that is not
// leaving, if no other task ran there. It is true while no worker is known.
func (f *Fleet) Feasible(spec requester.Job) bool {
	for _, w := range f.workerList {
		if !w.info.Leaving && spec.Need.Fits(w.allocatable) {
			return true
		}
	}
	return len(f.workerList) == 0
}

// Add adds a job from its row in the table, whose revision is rowRevision. It has
// no effect if the job is known already. recovered is true if the holder read the
// row when it took over.
func (f *Fleet) Add(row JobRow, rowRevision int64, recovered bool) {
	if _, ok := f.jobs[row.Job.JobID]; ok {
		return
	}
	j := &job{
		spec:             row.Job,
		state:            row.State,
		reason:           row.Reason,
		recovered:        recovered,
		rowRevision:      rowRevision,
		version:          row.Version,
		committedVersion: row.Version,
		endedAt:          row.EndedAt,
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

// enqueue adds a task to its job's waiting list and the job to its trade's.
func (f *Fleet) enqueue(t *task) {
	j := t.job
	j.waiting = append(j.waiting, t)
	if len(j.waiting) == 1 {
		f.trade(j.spec.Trade).enqueue(j)
	}
}

// Cancel cancels a job, and reports whether it was known and had not ended. Its
// running tasks are stopped; their resources stay allocated until the workers
// report the end of the runs or the leases expire.
func (f *Fleet) Cancel(id requester.JobID, now time.Time) bool {
	j, ok := f.jobs[id]
	if !ok || j.state.Ended() {
		return false
	}
	f.end(j, requester.JobCancelled, requester.ReasonNone, now)
	return true
}

// end moves a job to a final state, cancels its waiting tasks and stops its
// running ones.
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
	f.markDirty(j)
}

// stop queues a request to the task's worker to checkpoint and stop it.
func (f *Fleet) stop(t *task) {
	if t.machine.Can("Stop") {
		_ = t.machine.Fire("Stop")
		t.worker.stops = append(t.worker.stops, t.id)
	}
}

// markDirty increments the version of a job's row and queues the row to be
// written. If it is already queued, it is written once, in the latest version. If
// a write is in flight, the row is queued after that.
func (f *Fleet) markDirty(j *job) {
	if j.version == j.committedVersion {
		f.dirtyJobs = append(f.dirtyJobs, j)
	}
	j.version++
}

// RowWrite is a write of a job's row.
type RowWrite struct {
	JobID   requester.JobID
	Version int64
	// RowRevision is the revision that the row must have in the table for the
	// write to commit.
	RowRevision int64
	Value       []byte
}

// maxRowWrites bounds the rows of one transaction.
const maxRowWrites = 64

// RowWrites dequeues and returns the rows to write, at most maxRowWrites. The
// caller passes the result of each to WriteCommitted, WriteFailed or
// WriteConflicted.
func (f *Fleet) RowWrites() []RowWrite {
	var writes []RowWrite
	for len(f.dirtyJobs) > 0 && len(writes) < maxRowWrites {
		j := f.dirtyJobs[0]
		f.dirtyJobs = f.dirtyJobs[1:]
		writes = append(writes, RowWrite{JobID: j.spec.JobID, Version: j.version, RowRevision: j.rowRevision, Value: mustMarshal(j.row())})
	}
	return writes
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

// WriteCommitted records that a row write has committed at rowRevision of the
// table, and queues the acknowledgements of the results that the row contains.
func (f *Fleet) WriteCommitted(write RowWrite, rowRevision int64) {
	j, ok := f.jobs[write.JobID]
	if !ok {
		return
	}
	j.committedVersion = write.Version
	j.rowRevision = rowRevision
	kept := j.pendingAcks[:0]
	for _, ack := range j.pendingAcks {
		if ack.version <= write.Version {
			ack.worker.acks = append(ack.worker.acks, ack.task)
		} else {
			kept = append(kept, ack)
		}
	}
	j.pendingAcks = kept
	if j.version != j.committedVersion {
		f.dirtyJobs = append(f.dirtyJobs, j)
	}
}

// WriteFailed queues a row again after a write that failed or whose outcome is
// unknown.
func (f *Fleet) WriteFailed(write RowWrite) {
	if j, ok := f.jobs[write.JobID]; ok {
		f.dirtyJobs = append(f.dirtyJobs, j)
	}
}

// WriteConflicted handles a write that failed because the row has another
// revision: an earlier holder has written it in the meantime, or an earlier write
// of unknown outcome has committed. Waiting tasks that succeeded according to that
// row are marked as succeeded, and the row is queued again.
func (f *Fleet) WriteConflicted(write RowWrite, row JobRow, rowRevision int64) {
	j, ok := f.jobs[write.JobID]
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
	f.dirtyJobs = append(f.dirtyJobs, j)
}

// RemovedJob is a job that was removed, with the revision of its row.
type RemovedJob struct {
	JobID       requester.JobID
	RowRevision int64
}

// RemoveEnded removes the jobs that ended before a time, except those with
// uncommitted rows, active runs or results that are not acknowledged. It returns
// the removed ones so that their rows can be deleted.
func (f *Fleet) RemoveEnded(before time.Time) []RemovedJob {
	var removed []RemovedJob
	for id, j := range f.jobs {
		if j.state.Ended() && j.endedAt.Before(before) && j.version == j.committedVersion && j.running == 0 && len(j.pendingAcks) == 0 {
			delete(f.jobs, id)
			removed = append(removed, RemovedJob{JobID: id, RowRevision: j.rowRevision})
		}
	}
	slices.SortFunc(removed, func(a, b RemovedJob) int { return cmp.Compare(a.JobID, b.JobID) })
	return removed
}
