package scheduler

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// The limits of the store are known where rows are made: no row that a batch contains is
// larger than a row may be, and no batch than a call. A store that refuses one all the
// same will refuse it again, so it isn't sent again as it was. The batches after it are
// smaller, until one is of a single job, which is then held back; the others go on.

// Defaults of Options.RowBytes and Options.CallBytes.
const (
	DefaultRowBytes  = 65_536
	DefaultCallBytes = 1_000_000
)

// rowLimit returns the most bytes of a row's value before it is encoded in base64. The
// store's limit may count either form; this one fits both.
func (o *Options) rowLimit() int { return min(RowLimit(o.RowBytes), o.CallBytes/4) }

// RowLimit returns the most bytes of a value with which a row fits into a store that
// takes rowBytes.
func RowLimit(rowBytes int) int { return rowBytes / 4 * 3 }

// fixedShare divides a progress row: at most one part of so many is taken by what is
// always there, the rest is for details.
const fixedShare = 2

// writePlan is what is to be written of a job to store one version of its rows. Each group
// is written in one transaction.
type writePlan struct {
	groups  [][]RowWrite
	version int64
	state   State
}

// newPlan returns the writes that bring the stored rows of a job up to date.
func (j *job) newPlan(rowLimit int) writePlan {
	plan := writePlan{version: j.version, state: j.state}
	state := StateRow{Queue: j.spec.Queue, State: j.state, Timed: j.spec.Occurrences > 0}
	var added, changed, removed []RowWrite
	main := progressRow{State: j.state}
	wanted := make(map[string]bool)
	if j.state.Ended() {
		state.EndedAt = j.endedAt.Unix()
		main.EndedAt = state.EndedAt
		j.cuts = nil
	} else {
		ranges := j.detailRanges(rowLimit)
		main = j.progress(ranges[0].tasks)
		for i := range ranges[1:] {
			r := &ranges[i+1]
			write := RowWrite{Key: detailKey(j.name(), r.first), Value: EncodeRow(r.row())}
			wanted[write.Key] = true
			switch stored := j.storedProgress.detailWith(write.Key); {
			case stored == nil:
				added = append(added, write)
			case !bytes.Equal(stored.value, write.Value):
				changed = append(changed, write)
			}
		}
	}
	for i := range j.storedProgress.details {
		if key := j.storedProgress.details[i].key; !wanted[key] {
			removed = append(removed, RowWrite{Key: key})
		}
	}
	var progress []RowWrite
	if j.state != j.storedState {
		progress = append(progress, RowWrite{Key: StateKey(j.name()), Value: EncodeRow(state)})
	}
	progress = append(progress, RowWrite{Key: ProgressKey(j.name()), Value: EncodeRow(main)})
	plan.addEach(added)
	plan.groups = append(plan.groups, progress)
	plan.addEach(changed)
	plan.addEach(removed)
	return plan
}

// addEach adds a group for each write.
func (p *writePlan) addEach(writes []RowWrite) {
	for i := range writes {
		p.groups = append(p.groups, writes[i:i+1])
	}
}

// fits reports whether a batch with that room holds all of the plan.
func (p *writePlan) fits(room batchRoom) bool {
	rows, bytes := 0, 0
	for _, group := range p.groups {
		rows += len(group)
		bytes += callBytes(group)
	}
	return room.holds(rows, bytes)
}

// add adds the rest of the job's plan to the batch, or as much of it as fits if even an
// empty batch doesn't hold all of it. It returns false if it adds nothing.
func (b *Batch) add(j *job, room batchRoom) bool {
	if !j.plan.fits(room.left(b)) && j.plan.fits(room) {
		return false
	}
	write := jobWrite{job: j, version: j.plan.version, state: j.plan.state}
	for len(j.plan.groups) > 0 {
		group := j.plan.groups[0]
		if !room.left(b).holds(len(group), callBytes(group)) {
			break
		}
		write.writes = append(write.writes, group...)
		b.append(group)
		j.plan.groups = j.plan.groups[1:]
	}
	if len(write.writes) == 0 {
		return false
	}
	write.last = len(j.plan.groups) == 0
	b.jobs = append(b.jobs, write)
	return true
}

// maxBatchJobs bounds the jobs of a batch after the store has refused one: from there on
// a batch is limited by its rows and bytes alone.
const maxBatchJobs = 64

// Rows that the store has refused are written again, as they are then, after
// firstRefusalDelay, which doubles with each further refusal, at most maxRefusalDoublings
// times. After maxStrikes refusals in a row between which the store took the rows of other
// jobs, a job is given up: the row of an ended job is small, and as long as the ends of its
// runs can't be acknowledged, their workers are lost to all others.
const (
	firstRefusalDelay   = 5 * time.Second
	maxRefusalDoublings = 4
	maxStrikes          = 4
)

// Refused records that the store has refused a batch as invalid, so that nothing of it is
// stored nor will be. Its rows are written again by smaller batches. A job that is refused
// alone is held back: its tasks that need a commit wait, and the ends of its runs are not
// acknowledged.
func (c *Core) Refused(now time.Time, batch *Batch, why string) {
	c.now = now
	c.stats.BatchesRefused++
	workerRows := len(batch.leasedWorkers) > 0 || batch.births
	c.leasedWorkersDirty = c.leasedWorkersDirty || len(batch.leasedWorkers) > 0
	c.birthsDirty = c.birthsDirty || batch.births
	c.retry(batch)
	if batch.hasStarts {
		c.startsRefused(batch, len(batch.jobs) == 0 && !workerRows, why)
	}
	switch {
	case len(batch.jobs) > 1 || len(batch.jobs) == 1 && (workerRows || batch.hasStarts) || workerRows && batch.hasStarts:
		c.batchJobs = max(1, len(batch.jobs)/2)
	case len(batch.jobs) == 1:
		c.holdBack(batch.jobs[0].job, batch, why)
	case workerRows:
		c.rosterHeldUntil = now.Add(firstRefusalDelay)
		c.log(LogRecord{Event: "rows of workers refused", Why: why, Violation: true})
	}
}

// retry queues the jobs of a refused batch again, before all others: so the batches that
// follow soon tell which of them is the cause.
func (c *Core) retry(batch *Batch) {
	var refused []*job
	for _, write := range batch.jobs {
		write.job.plan, write.job.dirty = writePlan{}, true
		refused = append(refused, write.job)
	}
	others := slices.DeleteFunc(c.dirty, func(j *job) bool { return slices.Contains(refused, j) })
	c.dirty = append(refused, others...)
}

// holdBack holds back the rows of a job that the store has refused.
func (c *Core) holdBack(j *job, batch *Batch, why string) {
	j.heldUntil = c.now.Add(firstRefusalDelay << min(j.refusals, maxRefusalDoublings))
	j.refusals++
	c.stats.JobsHeldBack++
	var rows []string
	for _, write := range batch.jobs[0].writes {
		rows = append(rows, fmt.Sprintf("%s of %d bytes", write.Key, len(write.Value)))
	}
	c.log(LogRecord{
		Job: j.name(), Event: "rows of a job refused", Violation: true,
		Why: "refusal " + strconv.Itoa(j.refusals) + " by the store: " + why + "; not written again before " + j.heldUntil.UTC().Format(time.TimeOnly) + ": " + strings.Join(rows, ", "),
	})
	if c.jobCommits > j.refusedAfter {
		j.strikes++
	}
	j.refusedAfter = c.jobCommits
	if j.strikes >= maxStrikes && !j.state.Ended() {
		c.stats.JobsFailed++
		c.endJob(j, StateFailed, "the store refuses its rows")
		j.heldUntil = time.Time{} // its rows are others now
	}
}

// listWrites returns the writes of a list with so many elements: the row with that key,
// and as many further parts as its size takes. encode returns the value of a part. parts
// is the number of rows that the stored list takes, and is updated; rows that it takes no
// more are removed.
func listWrites(key string, elements int, encode func(from, to int) []byte, rowLimit int, parts *int) []RowWrite {
	var writes []RowWrite
	for from := 0; from < elements || len(writes) == 0; {
		to := elements
		value := encode(from, to)
		for len(value) > rowLimit && to-from > 1 {
			to = from + (to-from)/2
			value = encode(from, to)
		}
		writes = append(writes, RowWrite{Key: listKey(key, len(writes)), Value: value})
		from = max(to, from+1)
	}
	stored := *parts
	*parts = len(writes)
	for part := len(writes); part < stored; part++ {
		writes = append(writes, RowWrite{Key: listKey(key, part)})
	}
	return writes
}

// listKey returns the key of a part of a list.
func listKey(key string, part int) string {
	if part == 0 {
		return key
	}
	return key + detailSeparator + strconv.Itoa(part)
}

// IsListKey reports whether a key is that of a part of the list with the given key.
func IsListKey(key, list string) bool {
	rest, ok := strings.CutPrefix(key, list)
	return ok && (rest == "" || strings.HasPrefix(rest, detailSeparator))
}
