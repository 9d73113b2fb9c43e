package dispatcher

import (
	"context"
	"strings"
	"sync"
	"time"

	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// load reads what an earlier owner left, then follows the jobs.
func (s *session) load() {
	for {
		revision, err := s.loadOnce()
		if err == nil {
			s.followJobs(revision)
			return
		}
		s.dispatcher.log.Warn().Str("Event", "load").Err(err).Msg("the cell's rows can't be read")
		if !sleep(s.ctx, retryInterval) {
			return
		}
	}
}

func (s *session) loadOnce() (int64, error) {
	d := s.dispatcher
	ctx, cancel := context.WithTimeout(s.ctx, 3*storeTimeout)
	defer cancel()
	progress, _, err := d.platform.List(ctx, scheduler.ProgressPrefix)
	if err != nil {
		return 0, err
	}
	rows, revision, err := s.listJobs(ctx)
	if err != nil {
		return 0, err
	}
	byKey := make(map[string][]byte, len(progress)+len(rows))
	for _, row := range progress {
		byKey[row.Key] = row.Value
	}
	for _, row := range rows {
		byKey[row.Key] = row.Value
	}
	s.post(func() { s.recover(byKey) })
	return revision, nil
}

// recover gives the core what the rows tell.
func (s *session) recover(rows map[string][]byte) {
	d := s.dispatcher
	if roster := rows[scheduler.LeasedWorkersKey]; roster != nil {
		var row scheduler.LeasedWorkersRow
		if err := scheduler.DecodeRow(roster, &row); err != nil {
			d.log.Error().Str("Event", "row").Str("Key", scheduler.LeasedWorkersKey).Err(err).Msg("row can't be read")
		}
		s.core.RestoreLeasedWorkers(row)
	}
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
		if progress == nil && d.board.ended(job.JobID) {
			s.strays = append(s.strays, job.JobID)
			continue
		}
		jobs++
		_, cancelled := rows[scheduler.CancelKey(job.JobID)]
		err := s.core.Recover(scheduler.JobRows{
			Job:       job,
			Progress:  progress,
			Cancelled: cancelled,
		})
		if err != nil {
			d.log.Error().Str("Event", "row").Str("Job", string(job.JobID)).Err(err).Msg("row can't be read")
		}
	}
	s.removeOrphans(rows)
	s.loaded = true
	d.log.Info().Str("Event", "recovered").Int64("Epoch", s.row.Epoch).Int("Jobs", jobs).Msg("has read the cell's rows")
}

// removeOrphans removes the progress of jobs whose own rows are gone.
func (s *session) removeOrphans(rows map[string][]byte) {
	for key := range rows {
		id := requester.JobID(strings.TrimPrefix(key, scheduler.ProgressPrefix))
		if !strings.HasPrefix(key, scheduler.ProgressPrefix) || key == scheduler.LeasedWorkersKey || s.core.HasJob(id) {
			continue
		}
		s.forgetting = append(s.forgetting, keeper.Write{Key: key, Delete: true})
	}
}

func (s *session) decodeJob(key string, value []byte) (scheduler.Job, bool) {
	var job scheduler.Job
	if err := scheduler.DecodeRow(value, &job); err != nil {
		s.dispatcher.log.Error().Str("Event", "row").Str("Key", key).Err(err).Msg("row can't be read")
		return job, false
	}
	return job, true
}

// followJobs takes in jobs and cancellations as they are stored.
func (s *session) followJobs(revision int64) {
	d := s.dispatcher
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, watchWait+storeTimeout)
		changes, next, err := d.platform.Watch(ctx, scheduler.JobTable, revision, time.Now().Add(watchWait))
		cancel()
		if isGone(err) {
			changes, next, err = s.relistJobs()
		}
		if err != nil {
			if !sleep(s.ctx, retryInterval) {
				return
			}
			continue
		}
		revision = next
		if len(changes) > 0 {
			s.post(func() { s.takeJobs(changes) })
		}
		if !sleep(s.ctx, jobsInterval) {
			return
		}
	}
}

// jobsInterval separates watches of the jobs. Most jobs are told over links
// before.
const jobsInterval = 200 * time.Millisecond

// listJobs reads the jobs in all parts, and a revision after which changes are
// missing from them.
func (s *session) listJobs(ctx context.Context) ([]keeper.Row, int64, error) {
	type listed struct {
		rows     []keeper.Row
		revision int64
		err      error
	}
	parts := make([]listed, scheduler.JobPartitions)
	var group sync.WaitGroup
	for part := range parts {
		group.Go(func() {
			l := &parts[part]
			l.rows, l.revision, l.err = s.dispatcher.platform.List(ctx, scheduler.JobPrefix(part))
		})
	}
	group.Wait()
	var rows []keeper.Row
	revision := parts[0].revision
	for _, l := range parts {
		if l.err != nil {
			return nil, 0, l.err
		}
		rows = append(rows, l.rows...)
		revision = min(revision, l.revision)
	}
	return rows, revision, nil
}

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

func (s *session) takeJobs(changes []Change) {
	now := s.dispatcher.clock.Now()
	for _, change := range changes {
		if change.Removed {
			continue
		}
		key := change.Row.Key
		if strings.HasSuffix(key, scheduler.CancelSuffix) {
			id := strings.TrimSuffix(key[strings.LastIndex(key, "/")+1:], scheduler.CancelSuffix)
			s.core.Cancel(now, requester.JobID(id))
			continue
		}
		if job, ok := s.decodeJob(key, change.Row.Value); ok {
			s.add(now, job)
		}
	}
}

// add takes in a job, unless it has ended: its row may have been read as it was
// before it was removed.
func (s *session) add(now time.Time, job scheduler.Job) {
	if !s.core.HasJob(job.JobID) && s.dispatcher.board.ended(job.JobID) {
		s.dispatcher.log.Warn().Str("Event", "row").Str("Job", string(job.JobID)).Msg("row of a job that has ended")
		s.strays = append(s.strays, job.JobID)
		return
	}
	s.core.Add(now, job)
}

// relistTime is for how long after the store was away workers may be missing
// from the list: their rows lapsed meanwhile, and they write them anew.
const relistTime = 2200 * time.Millisecond

// withUnlisted adds to a list the workers of the last one that it lacks.
func withUnlisted(infos, last []scheduler.WorkerInfo) []scheduler.WorkerInfo {
	listed := make(map[requester.HostID]bool, len(infos))
	for _, info := range infos {
		listed[info.HostID] = true
	}
	for _, info := range last {
		if !listed[info.HostID] {
			infos = append(infos, info)
		}
	}
	return infos
}

// followWorkers keeps the core's list of workers.
func (s *session) followWorkers() {
	d := s.dispatcher
	var failing bool
	var failedAt time.Time
	var last []scheduler.WorkerInfo
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		infos, err := d.platform.ListWorkers(ctx)
		cancel()
		d.noteDependency("worker list", err, &failing)
		wait := listInterval
		now := d.clock.Now()
		if err != nil {
			failedAt = now
			wait = retryInterval
		} else {
			if !failedAt.IsZero() && now.Sub(failedAt) < relistTime {
				infos = withUnlisted(infos, last)
			}
			last = infos
			s.post(func() { s.core.SetWorkers(now, infos) })
		}
		if !sleep(s.ctx, wait) {
			return
		}
	}
}
