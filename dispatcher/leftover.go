package dispatcher

import (
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/keeper"
	"kumquatstall/scheduler"
)

// A leftover is a row in the tables of jobs that belongs to no job: a tombstone, or a
// cancellation that was stored after its job had ended. The owner removes it, if it is
// still the same, after tombstoneRetention.
type leftover struct {
	revision int64
	removeAt time.Time
}

// noteLeftover records a leftover row.
func (s *session) noteLeftover(now time.Time, row keeper.Row) {
	if known, ok := s.leftovers[row.Key]; ok && known.revision == row.Revision {
		return
	}
	s.leftovers[row.Key] = leftover{revision: row.Revision, removeAt: now.Add(tombstoneRetention)}
}

// removeLeftovers removes the leftover rows that are due.
func (s *session) removeLeftovers(now time.Time) {
	for key, row := range s.leftovers {
		if now.Before(row.removeAt) {
			continue
		}
		id := jobOfKey(key)
		if s.core.Knows(id) {
			delete(s.leftovers, key) // it is removed with its job
			continue
		}
		row.removeAt = now.Add(tombstoneRetention) // the next attempt, if this one fails
		s.leftovers[key] = row
		s.dispatcher.jobWriters[scheduler.JobPartition(id)].Transact(keeper.Transaction{
			Conditions: []keeper.Condition{{Key: key, Revision: row.revision}},
			Writes:     []keeper.Write{{Key: key, Delete: true}},
		}, time.Now().Add(acceptTimeout), func(_ keeper.TransactResult, err error) { s.post(func() { s.leftoverRemoved(key, row.revision, err) }) })
	}
}

// leftoverRemoved handles the result of a removal. A conflict means that the row was
// removed or replaced.
func (s *session) leftoverRemoved(key string, revision int64, err error) {
	if err != nil {
		s.dispatcher.log.Warn().Str("Event", "prune").Str("Key", key).Err(errors.Wrap(err, "remove leftover row")).Msg("removing a row that belongs to no job failed; retrying later")
		return
	}
	if s.leftovers[key].revision == revision {
		delete(s.leftovers, key)
	}
}
