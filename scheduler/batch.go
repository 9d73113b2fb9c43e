package scheduler

import (
	"encoding/base64"
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
	// hasStarts is true if the batch writes the list of intended starts, which names starts.
	hasStarts bool
	// tellsUnknown is true if that list says until when unknown starts may be executed.
	tellsUnknown bool
	starts       []*writtenStart
	// handsOver is true if the batch writes the row for the successor, which has the workers
	// in silent.
	handsOver bool
	silent    map[*worker]bool
	// bytes is the size of Writes in a call to the store.
	bytes int
}

// leasedWrite is a worker and its address in a row of leased workers.
type leasedWrite struct {
	worker  *worker
	address netip.AddrPort
}

// jobWrite is what a batch writes of a job.
type jobWrite struct {
	job    *job
	writes []RowWrite
	// last is true if the rows of the job are up to date with this batch, in its
	// version and state.
	last    bool
	version int64
	state   State
}

// Empty reports whether there is nothing to write, leaving aside the row for the successor.
func (b *Batch) Empty() bool { return len(b.Writes) == 0 || b.handsOver && len(b.Writes) == 1 }

// batchRoom is how much a batch may hold.
type batchRoom struct{ rows, bytes int }

// writeOverheadBytes bounds what a write takes in a call besides its key and value.
const writeOverheadBytes = 64

// callBytes returns the size of a write in a call to the store.
func (w *RowWrite) callBytes() int {
	return base64.StdEncoding.EncodedLen(len(w.Value)) + len(w.Key) + writeOverheadBytes
}

func (r batchRoom) holds(rows, bytes int) bool { return rows <= r.rows && bytes <= r.bytes }

// left returns the room that is left beside the batch.
func (r batchRoom) left(b *Batch) batchRoom {
	return batchRoom{r.rows - len(b.Writes), r.bytes - b.bytes}
}

// callBytes returns the size of writes in a call to the store.
func callBytes(writes []RowWrite) int {
	size := 0
	for i := range writes {
		size += writes[i].callBytes()
	}
	return size
}

func (b *Batch) append(writes []RowWrite) {
	b.bytes += callBytes(writes)
	b.Writes = append(b.Writes, writes...)
}

// reservedCallBytes is what the owner's row, the conditions and the removals of other
// rows take in the call that writes a batch.
const reservedCallBytes = 16 << 10

// TakeBatch returns up to limit rows to write, which fit into one call to the store. The
// caller passes the batch to Committed once the transaction has committed, or to Refused
// if the store refuses it as invalid.
func (c *Core) TakeBatch(limit int) *Batch {
	batch := &Batch{}
	room := batchRoom{limit, c.options.CallBytes - reservedCallBytes}
	if !c.now.Before(c.rosterHeldUntil) && !c.leasesUnknown() {
		c.addWorkerRows(batch)
	}
	if c.batchJobs > 0 && !batch.Empty() {
		return batch
	}
	if !c.startsPassed {
		c.addStarts(batch, room)
	}
	c.startsPassed = false
	if c.batchJobs > 0 && !batch.Empty() {
		return batch
	}
	// left are the jobs that the batch does not contain, unfinished those of which it
	// contains a part; they let the others go first.
	var left, unfinished []*job
	unlisted := c.unlistedRepeats()
	for i, j := range c.dirty {
		if j.heldUntil.After(c.now) || unlisted[j] {
			left = append(left, j)
			continue
		}
		if c.batchJobs > 0 && len(batch.jobs) == c.batchJobs {
			left = append(left, c.dirty[i:]...)
			break
		}
		if len(j.plan.groups) == 0 {
			j.plan = j.newPlan(c.options.rowLimit())
		}
		if !batch.add(j, room) {
			c.startsPassed = len(batch.jobs) == 0 && batch.hasStarts
			j.plan = writePlan{}
			left = append(left, c.dirty[i:]...)
			break
		}
		if j.dirty = len(j.plan.groups) > 0 || j.version > j.plan.version; j.dirty {
			unfinished = append(unfinished, j)
		}
	}
	c.dirty = append(left, unfinished...)
	return batch
}

// addWorkerRows adds the rows of leased workers and of births to a batch, if they have
// changed.
func (c *Core) addWorkerRows(batch *Batch) {
	if c.leasedWorkersDirty {
		c.leasedWorkersDirty = false
		row := LeasedWorkersRow{}
		for _, w := range c.sortedWorkers {
			batch.leasedWorkers = append(batch.leasedWorkers, leasedWrite{w, w.home})
			row.Workers = append(row.Workers, LeasedWorker{HostID: w.info.HostID, Address: w.home})
		}
		encode := func(from, to int) []byte { return EncodeRow(LeasedWorkersRow{Workers: row.Workers[from:to]}) }
		batch.append(listWrites(LeasedWorkersKey, len(row.Workers), encode, c.options.rowLimit(), &c.rosterParts))
	}
	if c.birthsDirty && !c.renewedAt.IsZero() {
		c.birthsDirty, batch.births = false, true
		births := c.birthsRow().Births
		encode := func(from, to int) []byte { return EncodeRow(BirthsRow{Births: births[from:to]}) }
		batch.append(listWrites(BirthsKey, len(births), encode, c.options.rowLimit(), &c.birthParts))
	}
}

// Committed records that a batch was committed: ended runs may be acknowledged
// to their workers, and steps that depend on them may start.
func (c *Core) Committed(now time.Time, batch *Batch) {
	c.now = now
	if c.batchJobs *= 2; c.batchJobs > maxBatchJobs {
		c.batchJobs = 0
	}
	c.birthsStored = c.birthsStored || batch.births
	c.handoverCommitted(batch)
	if batch.hasStarts {
		c.startsCommitted(batch)
	}
	if len(batch.jobs) > 0 {
		c.jobCommits++
	}
	for _, write := range batch.leasedWorkers {
		if w := write.worker; !w.leaseRecorded && write.address == w.home {
			w.leaseRecorded = true
			c.markFreed(w)
		}
	}
	for _, write := range batch.jobs {
		j := write.job
		for _, row := range write.writes {
			j.storedProgress.apply(j.name(), row)
		}
		if write.last {
			j.committedVersion, j.storedState, j.refusals, j.strikes = write.version, write.state, 0, 0
			c.openReadySteps(j)
		}
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
func (c *Core) Dirty() bool {
	return len(c.dirty) > 0 || c.leasedWorkersDirty || c.startsUnwritten()
}
