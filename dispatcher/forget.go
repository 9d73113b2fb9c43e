package dispatcher

import (
	"context"
	"slices"
	"time"

	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// forget removes the rows of jobs that ended a while ago: first the jobs, so
// that no owner can take them for unfinished, then their progress, and much
// later their states.
func (s *session) forget(now time.Time) {
	if now.Sub(s.forgotAt) < forgetInterval {
		return
	}
	s.forgotAt = now
	before := now.Add(-s.dispatcher.options.StateRetention)
	if len(s.forgetting) == 0 {
		for _, id := range s.dispatcher.board.endedBefore(before, forgetJobs) {
			if !s.core.HasJob(id) {
				s.forgetting = append(s.forgetting, keeper.Write{Key: scheduler.StateKey(id), Delete: true})
			}
		}
	}
	ids := append(s.core.RemovableJobs(now.Add(-jobRetention), forgetJobs), s.strays...)
	if len(ids) == 0 || s.removing {
		return
	}
	s.removing = true
	s.goDo(func() {
		removed := s.removeJobs(ids)
		s.post(func() {
			s.removing = false
			s.core.RemoveJobs(removed)
			s.strays = slices.DeleteFunc(s.strays, func(id requester.JobID) bool { return slices.Contains(removed, id) })
			for _, id := range removed {
				s.forgetting = append(s.forgetting, keeper.Write{Key: scheduler.ProgressKey(id), Delete: true})
			}
		})
	})
}

// removeJobs removes the rows of jobs, part by part, and returns those that are
// gone.
func (s *session) removeJobs(ids []requester.JobID) []requester.JobID {
	byPart := make(map[int][]requester.JobID)
	for _, id := range ids {
		part := scheduler.JobPartition(id)
		byPart[part] = append(byPart[part], id)
	}
	var removed []requester.JobID
	for part := range scheduler.JobPartitions {
		for group := range slices.Chunk(byPart[part], maxTransaction/2) {
			var transaction keeper.Transaction
			for _, id := range group {
				transaction.Writes = append(transaction.Writes,
					keeper.Write{Key: scheduler.JobKey(id), Delete: true}, keeper.Write{Key: scheduler.CancelKey(id), Delete: true})
			}
			ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
			_, err := s.dispatcher.store.Transact(ctx, transaction)
			cancel()
			if err != nil {
				// They are tried again with the next round.
				s.dispatcher.log.Warn().Str("Event", "forget").Err(err).Msg("rows of ended jobs can't be removed")
				return removed
			}
			removed = append(removed, group...)
		}
	}
	return removed
}
