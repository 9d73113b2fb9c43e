package dispatcher

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/retrier"
	"kumquatstall/scheduler"
)

// load reads the rows of the cell, retrying until it succeeds, and then watches
// the jobs.
func (s *session) load() {
	for {
		revision, err := s.loadOnce()
		if err == nil {
			s.watchJobs(revision)
			return
		}
		s.dispatcher.log.Warn().Str("Event", "load").Err(err).Msg("reading the cell's rows failed; retrying")
		if !retrier.Sleep(s.ctx, retryInterval) {
			return
		}
	}
}

// loadOnce reads the rows of the cell and posts them to the control goroutine.
// It returns the revision from which to watch the jobs.
func (s *session) loadOnce() (int64, error) {
	d := s.dispatcher
	ctx, cancel := context.WithTimeout(s.ctx, 3*storeTimeout)
	defer cancel()
	progress, progressRevision, err := d.platform.List(ctx, scheduler.ProgressPrefix)
	if err != nil {
		return 0, err
	}
	rows, revision, err := s.listJobs(ctx)
	if err != nil {
		return 0, err
	}
	if oldest := min(progressRevision, revision); oldest < s.acquiredRevision {
		return 0, errors.Newf("list rows of the cell: store returned revision %d, expected at least that of the acquisition, %d", oldest, s.acquiredRevision)
	}
	byKey := make(map[string][]byte, len(progress)+len(rows))
	leftovers := leftoverRows(rows)
	for _, row := range append(progress, rows...) {
		if row.Value == nil {
			// The row exists, but its value cannot be decoded.
			row.Value = []byte{}
		}
		byKey[row.Key] = row.Value
	}
	s.post(func() {
		for _, row := range leftovers {
			delete(byKey, row.Key)
			s.noteLeftover(d.clock.Now(), row)
		}
		s.recover(byKey)
		s.core.JobsKnown(revision)
	})
	return revision, nil
}

// leftoverRows returns the rows that belong to no job.
func leftoverRows(rows []keeper.Row) []keeper.Row {
	jobs := make(map[requester.JobID]bool)
	for _, row := range rows {
		if !strings.HasSuffix(row.Key, scheduler.CancelSuffix) && !scheduler.IsTombstone(row.Value) {
			jobs[jobOfKey(row.Key)] = true
		}
	}
	var leftovers []keeper.Row
	for _, row := range rows {
		if !jobs[jobOfKey(row.Key)] {
			leftovers = append(leftovers, row)
		}
	}
	return leftovers
}

// jobOfKey returns the job to which a row in the tables of jobs belongs.
func jobOfKey(key string) requester.JobID {
	return requester.JobID(strings.TrimSuffix(key[strings.LastIndex(key, "/")+1:], scheduler.CancelSuffix))
}

// recover restores the core from the rows that previous owners and the
// accepting entries have stored.
func (s *session) recover(rows map[string][]byte) {
	d := s.dispatcher
	s.restoreWorkers(rows)
	details := detailsByJob(rows)
	jobs := 0
	for key, value := range rows {
		if !strings.HasPrefix(key, scheduler.JobTable) || strings.HasSuffix(key, scheduler.CancelSuffix) {
			continue
		}
		job, ok := s.decodeJob(key, value)
		if !ok {
			continue
		}
		progress := rows[scheduler.ProgressKey(job.JobID)]
		if progress == nil && d.cache.ended(job.JobID) {
			s.staleJobs = append(s.staleJobs, job.JobID)
			continue
		}
		jobs++
		_, cancelled := rows[scheduler.CancelKey(job.JobID)]
		err := s.core.Recover(scheduler.JobRows{
			Job:       job,
			Progress:  progress,
			Details:   details[job.JobID],
			Cancelled: cancelled,
		})
		if err != nil {
			d.log.Error().Str("Event", "row").Str("Job", string(job.JobID)).Err(err).Msg("recovering a job from its rows failed; it is not scheduled")
		}
	}
	s.restoreIntended(rows)
	s.removeOrphanedProgress(rows)
	s.loaded = true
	s.logInherited()
	d.log.Info().Str("Event", "recovered").Int64("Epoch", s.row.Epoch).Int("Jobs", jobs).Msg("recovered the cell from its rows; scheduling starts")
}

// detailsByJob returns the rows with details of the tasks of each job.
func detailsByJob(rows map[string][]byte) map[requester.JobID][]scheduler.RowWrite {
	details := make(map[requester.JobID][]scheduler.RowWrite)
	for key, value := range rows {
		if scheduler.IsDetailKey(key) {
			id := scheduler.ProgressJob(key)
			details[id] = append(details[id], scheduler.RowWrite{Key: key, Value: value})
		}
	}
	return details
}

// restoreWorkers restores what previous owners have stored of the workers that may hold
// leases: which they are, then their births, and then
// until when their leases last.
func (s *session) restoreWorkers(rows map[string][]byte) {
	for key, value := range rows {
		if scheduler.IsListKey(key, scheduler.LeasedWorkersKey) {
			s.restoreLeasedWorkers(key, value)
		}
	}
	for key, value := range rows {
		if scheduler.IsListKey(key, scheduler.BirthsKey) {
			s.restoreBirths(key, value)
		}
	}
	if value, ok := rows[scheduler.HandoverKey]; ok {
		s.restoreHandover(value)
	}
}

// restoreHandover restores what the previous owner has handed on from the value of its row.
func (s *session) restoreHandover(value []byte) {
	var row scheduler.HandoverRow
	if err := scheduler.DecodeRow(value, &row); err != nil {
		s.dispatcher.logOddRow(scheduler.HandoverKey, err, "decoding the row of the previous owner failed; the waits for workers that do not answer begin anew")
		return
	}
	s.core.RestoreHandover(row)
}

// restoreLeasedWorkers restores the workers that may hold leases from the value
// of a row that lists them.
func (s *session) restoreLeasedWorkers(key string, value []byte) {
	var row scheduler.LeasedWorkersRow
	if err := scheduler.DecodeRow(value, &row); err != nil {
		s.dispatcher.log.Error().Str("Event", "row").Str("Key", key).Err(err).Msg("decoding the row of leased workers failed; nothing starts until every lease of a previous owner has expired")
		s.core.AssumeUnknownLeases()
		return
	}
	s.core.RestoreLeasedWorkers(row)
}

// restoreBirths restores the births of the workers that may hold leases from the
// value of a row that lists them.
func (s *session) restoreBirths(key string, value []byte) {
	var row scheduler.BirthsRow
	if err := scheduler.DecodeRow(value, &row); err != nil {
		s.dispatcher.logOddRow(key, err, "decoding the row of births failed; workers that do not answer are waited for as long as any lease may last")
		s.core.SkipBirths()
		return
	}
	s.core.RestoreBirths(row)
}

// restoreIntended restores the starts that previous owners intended and may have sent.
func (s *session) restoreIntended(rows map[string][]byte) {
	for key, value := range rows {
		if !scheduler.IsListKey(key, scheduler.StartsKey) {
			continue
		}
		var row scheduler.StartsRow
		if err := scheduler.DecodeRow(value, &row); err != nil {
			s.dispatcher.logOddRow(key, err, "decoding the row of intended starts failed; nothing starts until no start of a previous owner can be executed")
			s.core.AssumeUnknownStarts()
			continue
		}
		s.core.RestoreIntended(row)
	}
}

// isListKey reports whether a key among those of progress rows is that of a list.
func isListKey(key string) bool {
	return scheduler.IsListKey(key, scheduler.LeasedWorkersKey) || scheduler.IsListKey(key, scheduler.BirthsKey) || scheduler.IsListKey(key, scheduler.StartsKey) || key == scheduler.HandoverKey
}

// removeOrphanedProgress queues the removal of progress rows whose jobs have no
// row any more. A job that the core lacks because one of its rows cannot be
// decoded keeps its progress.
func (s *session) removeOrphanedProgress(rows map[string][]byte) {
	for key := range rows {
		if !strings.HasPrefix(key, scheduler.ProgressPrefix) || isListKey(key) || rows[scheduler.JobKey(scheduler.ProgressJob(key))] != nil {
			continue
		}
		s.pendingDeletes = append(s.pendingDeletes, keeper.Write{Key: key, Delete: true})
	}
}

// decodeJob decodes the row of a job. If that fails, it logs the error, excludes
// the job and returns false.
func (s *session) decodeJob(key string, value []byte) (scheduler.Job, bool) {
	job, err := decodeJob(key, value)
	if err != nil {
		s.dispatcher.logOddRow(key, err, "decoding the row of a job failed; the job is not scheduled")
		s.core.Exclude(jobOfKey(key))
		return job, false
	}
	return job, true
}

// watchJobs applies jobs and cancellations as they are stored.
func (s *session) watchJobs(revision int64) {
	d := s.dispatcher
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, watchWait+storeTimeout)
		changes, next, err := d.platform.Watch(ctx, scheduler.JobTable, revision, time.Now().Add(watchWait))
		cancel()
		if isHistoryTruncated(err) {
			changes, next, err = s.relistJobs()
		}
		if err != nil {
			if !retrier.Sleep(s.ctx, retryInterval) {
				return
			}
			continue
		}
		revision = next
		s.post(func() {
			s.applyJobs(changes)
			s.core.JobsKnown(next)
		})
		if !retrier.Sleep(s.ctx, jobsWatchInterval) {
			return
		}
	}
}

// jobsWatchInterval is the interval between watches of the jobs. Entries notify
// the owner of most jobs over links before a watch returns them.
const jobsWatchInterval = 200 * time.Millisecond

// listJobs reads the rows of jobs in all partitions. They include every change
// up to the revision that it returns.
func (s *session) listJobs(ctx context.Context) ([]keeper.Row, int64, error) {
	type listed struct {
		rows     []keeper.Row
		revision int64
		err      error
	}
	partitions := make([]listed, scheduler.JobPartitions)
	var group sync.WaitGroup
	for partition := range partitions {
		group.Go(func() {
			l := &partitions[partition]
			l.rows, l.revision, l.err = s.dispatcher.platform.List(ctx, scheduler.JobPrefix(partition))
		})
	}
	group.Wait()
	var rows []keeper.Row
	revision := partitions[0].revision
	for _, l := range partitions {
		if l.err != nil {
			return nil, 0, l.err
		}
		rows = append(rows, l.rows...)
		revision = min(revision, l.revision)
	}
	return rows, revision, nil
}

// relistJobs returns all rows of jobs as changes, for when the store no longer
// has the changes themselves.
func (s *session) relistJobs() ([]Change, int64, error) {
	ctx, cancel := context.WithTimeout(s.ctx, 2*storeTimeout)
	defer cancel()
	rows, revision, err := s.listJobs(ctx)
	changes := make([]Change, len(rows))
	for i, row := range rows {
		changes[i] = Change{Row: row}
	}
	return changes, revision, err
}

// applyJobs adds or cancels the jobs whose rows were written.
func (s *session) applyJobs(changes []Change) {
	now := s.dispatcher.clock.Now()
	for _, change := range changes {
		s.applyJob(now, change)
	}
}

// applyJob applies the change of a row in the tables of jobs.
func (s *session) applyJob(now time.Time, change Change) {
	key, id := change.Row.Key, jobOfKey(change.Row.Key)
	isCancellation := strings.HasSuffix(key, scheduler.CancelSuffix)
	switch {
	case change.Removed:
		delete(s.leftovers, key)
	case isCancellation && s.core.Knows(id):
		s.core.Cancel(now, id)
	case isCancellation || scheduler.IsTombstone(change.Row.Value):
		s.noteLeftover(now, change.Row)
	default:
		delete(s.leftovers, key)
		if job, ok := s.decodeJob(key, change.Row.Value); ok {
			s.addJob(now, job)
		}
	}
}

// addJob adds a job to the core, unless the job has ended: reads and watches
// may return a row as it was before its removal.
func (s *session) addJob(now time.Time, job scheduler.Job) {
	if !s.core.HasJob(job.JobID) && s.dispatcher.cache.ended(job.JobID) {
		s.dispatcher.log.Warn().Str("Event", "row").Str("Job", string(job.JobID)).Msg("store returned the row of a job that has ended; the row is removed again")
		s.staleJobs = append(s.staleJobs, job.JobID)
		return
	}
	s.core.Add(now, job)
}
