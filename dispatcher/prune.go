package dispatcher

import (
	"context"
	"slices"
	"time"

	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// prune removes the rows of jobs whose retention has passed: first the rows of
// the jobs, so that no owner can mistake them for unfinished jobs, then their
// progress, and much later their states. It also removes rows that belong to no job.
func (s *session) prune(now time.Time) {
	if now.Sub(s.prunedAt) < pruneInterval {
		return
	}
	s.prunedAt = now
	s.removeLeftovers(now)
	before := now.Add(-s.dispatcher.options.StateRetention)
	if len(s.pendingDeletes) == 0 {
		for _, id := range s.dispatcher.cache.endedBefore(before, maxPrunedJobs) {
			if !s.core.HasJob(id) {
				s.pendingDeletes = append(s.pendingDeletes, keeper.Write{Key: scheduler.StateKey(id), Delete: true})
			}
		}
	}
	ids := append(s.core.RemovableJobs(now.Add(-jobRetention), maxPrunedJobs), s.staleJobs...)
	if len(ids) == 0 || s.pruneInFlight {
		return
	}
	s.pruneInFlight = true
	s.spawn(func() {
		removed := s.removeJobs(ids)
		s.post(func() {
			s.pruneInFlight = false
			s.core.RemoveJobs(removed)
			s.staleJobs = slices.DeleteFunc(s.staleJobs, func(id requester.JobID) bool { return slices.Contains(removed, id) })
			for _, id := range removed {
				s.pendingDeletes = append(s.pendingDeletes, keeper.Write{Key: scheduler.ProgressKey(id), Delete: true})
			}
		})
	})
}

// removeJobs removes the rows of jobs and their cancellations, partition by
// partition, and returns the jobs whose rows are removed.
func (s *session) removeJobs(ids []requester.JobID) []requester.JobID {
	byPartition := make(map[int][]requester.JobID)
	for _, id := range ids {
		partition := scheduler.JobPartition(id)
		byPartition[partition] = append(byPartition[partition], id)
	}
	var removed []requester.JobID
	for partition := range scheduler.JobPartitions {
		for group := range slices.Chunk(byPartition[partition], maxTransaction/2) {
			var transaction keeper.Transaction
			for _, id := range group {
				transaction.Writes = append(transaction.Writes,
					keeper.Write{Key: scheduler.JobKey(id), Delete: true}, keeper.Write{Key: scheduler.CancelKey(id), Delete: true})
			}
			ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
			_, err := s.dispatcher.store.Transact(ctx, transaction)
			cancel()
			if err != nil {
				// The core and staleJobs still have these jobs, so the next
				// round retries their removal.
				s.dispatcher.log.Warn().Str("Event", "prune").Err(err).Msg("removing rows of ended jobs failed; retrying in the next round")
				return removed
			}
			removed = append(removed, group...)
		}
	}
	return removed
}
