package scheduler

import (
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatstall/requester"
)

// The owner writes the rows of its jobs and of the workers with leases in batches, one
// transaction each. Starts and acknowledgements that rely on what a batch says wait
// until it is committed.

// RowWrite is a row to write, or, without a Value, to remove.
type RowWrite struct {
	Key   string
	Value []byte
}

// LeasedWorkersKey is the key of the row of leased workers.
const LeasedWorkersKey = ProgressPrefix + "@roster"

// BirthsKey is the key of the row of births.
const BirthsKey = ProgressPrefix + "@births"

// A key consists of a table, a partition of it and a row. Transactions within
// different partitions do not wait for each other. All rows that the owner
// writes are in one partition; accepted jobs are spread over several.
const (
	JobTable       = "jobs/"
	StatePrefix    = "states/cell/"
	ProgressPrefix = "progress/cell/"
	// JobPartitions is the number of partitions for accepted jobs.
	JobPartitions = 8
	// CancelSuffix is the suffix of the key of a row that cancels a job.
	CancelSuffix = "~cancel"
)

// JobPrefix returns the key prefix of a partition for accepted jobs.
func JobPrefix(part int) string { return JobTable + strconv.Itoa(part) + "/" }

// JobPartition returns the partition that holds a job.
func JobPartition(id requester.JobID) int { return int(xxhash.Sum64String(string(id)) % JobPartitions) }

// JobKey returns the key of the row with a job as it was accepted.
func JobKey(id requester.JobID) string { return JobPrefix(JobPartition(id)) + string(id) }

// CancelKey returns the key of the row that cancels a job.
func CancelKey(id requester.JobID) string { return JobKey(id) + CancelSuffix }

// StateKey returns the key of the row with a job's state.
func StateKey(id requester.JobID) string { return StatePrefix + string(id) }

// ProgressKey returns the key of the row with a job's progress.
func ProgressKey(id requester.JobID) string { return ProgressPrefix + string(id) }

// Batch is a set of rows to write in one transaction.
type Batch struct {
	Writes        []RowWrite
	jobs          []jobWrite
	leasedWorkers []leasedWrite
	// births is true if the batch writes the row of births.
	births bool
}

// leasedWrite is a worker and its address in a row of leased workers.
type leasedWrite struct {
	worker  *worker
	address netip.AddrPort
}

// jobWrite is the version, state and progress of a job that a batch writes.
type jobWrite struct {
	job      *job
	version  int64
	state    State
	progress []byte
}

// Empty reports whether there is nothing to write.
func (b *Batch) Empty() bool { return len(b.Writes) == 0 }

// writesPerJob is the maximum number of rows that a change of one job writes.
const writesPerJob = 2

// TakeBatch returns up to limit rows to write. The caller passes the batch to
// Committed once the transaction has committed.
func (c *Core) TakeBatch(limit int) *Batch {
	batch := &Batch{}
	if c.leasedWorkersDirty && !c.leasesUnknown() {
		c.leasedWorkersDirty = false
		row := LeasedWorkersRow{}
		for _, w := range c.sortedWorkers {
			batch.leasedWorkers = append(batch.leasedWorkers, leasedWrite{w, w.info.Address})
			row.Workers = append(row.Workers, LeasedWorker{HostID: w.info.HostID, Address: w.info.Address})
		}
		batch.Writes = append(batch.Writes, RowWrite{Key: LeasedWorkersKey, Value: EncodeRow(row)})
	}
	if c.birthsDirty && !c.renewedAt.IsZero() && !c.leasesUnknown() {
		c.birthsDirty, batch.births = false, true
		batch.Writes = append(batch.Writes, RowWrite{Key: BirthsKey, Value: EncodeRow(c.birthsRow())})
	}
	for len(c.dirty) > 0 && len(batch.Writes)+writesPerJob <= limit {
		batch.add(c.dirty[0])
		c.dirty = c.dirty[1:]
	}
	return batch
}

// add adds the rows of a job to the batch.
func (b *Batch) add(j *job) {
	j.dirty = false
	writes := j.rowWrites()
	b.jobs = append(b.jobs, jobWrite{job: j, version: j.version, state: j.state, progress: writes[len(writes)-1].Value})
	b.Writes = append(b.Writes, writes...)
}

// Committed records that a batch was committed: ended runs may be acknowledged
// to their workers, and steps that depend on them may start.
func (c *Core) Committed(now time.Time, batch *Batch) {
	c.now = now
	c.birthsStored = c.birthsStored || batch.births
	for _, write := range batch.leasedWorkers {
		if w := write.worker; !w.leaseRecorded && write.address == w.info.Address {
			w.leaseRecorded = true
			c.markFreed(w)
		}
	}
	for _, write := range batch.jobs {
		write.job.committedVersion = write.version
		write.job.storedState = write.state
		write.job.storedProgress = committedProgress{value: write.progress}
		c.openReadySteps(write.job)
	}
	for _, w := range c.sortedWorkers {
		c.advanceCommittedEnd(w)
	}
	c.placementPending = true
}

// markDirty increments the version of a job and queues its rows for a batch.
func (c *Core) markDirty(j *job) {
	j.version++
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

// RemovableJobs returns up to limit jobs whose rows can be removed: they ended
// before a time, their final rows are committed and no run of theirs is left.
func (c *Core) RemovableJobs(before time.Time, limit int) []requester.JobID {
	var ids []requester.JobID
	for id, j := range c.jobs {
		if j.state.Ended() && j.endedAt.Before(before) && j.committedVersion == j.version && j.activeRuns == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids[:min(len(ids), limit)]
}

// RemoveJobs removes from the core jobs whose rows have been removed from the
// store.
func (c *Core) RemoveJobs(ids []requester.JobID) {
	for _, id := range ids {
		delete(c.jobs, id)
	}
}

// Dirty reports whether there are changes that no batch contains yet.
func (c *Core) Dirty() bool { return len(c.dirty) > 0 || c.leasedWorkersDirty }
