package dispatcher

import (
	"context"
	"time"

	"kumquatstall/keeper"
	"kumquatstall/scheduler"
)

// commit writes what has changed, or only renews.
func (s *session) commit(now time.Time) {
	d := s.dispatcher
	if s.commitOpen || now.Sub(s.committed) < commitInterval {
		return
	}
	var batch *scheduler.Batch
	if s.loaded {
		batch = s.core.TakeBatch(maxTransaction - forgetLimit)
	} else {
		batch = &scheduler.Batch{}
	}
	renew := now.Sub(s.committed) >= d.options.OwnerTerm/renewFraction
	if batch.Empty() && len(s.forgetting) == 0 && !renew && !s.releasing {
		return
	}
	s.commitOpen = true
	next := s.row
	next.Counter++
	heir, cores := d.strongest()
	next.Strongest = max(cores, d.options.Cores)
	s.handOver(now, next.Strongest)
	next.Released = s.releasing
	if s.releasing {
		next.Heir = heir
	}
	next.TermMillis = d.ownerTerm().Milliseconds()
	next.Eager = s.eagerNext()
	transaction := keeper.Transaction{
		Conditions: []keeper.Condition{{Key: ownerKey, Revision: s.revision}},
		Writes:     []keeper.Write{{Key: ownerKey, Value: scheduler.EncodeRow(next)}},
	}
	forgetting := min(len(s.forgetting), forgetLimit)
	transaction.Writes = append(transaction.Writes, s.forgetting[:forgetting]...)
	s.forgetting = s.forgetting[forgetting:]
	for _, save := range batch.Writes {
		transaction.Writes = append(transaction.Writes, keeper.Write{Key: save.Key, Value: save.Value, Delete: save.Value == nil})
	}
	s.goDo(func() { s.write(next, batch, transaction) })
}

// handOver gives the cell up where a much stronger entry is there to own it.
func (s *session) handOver(now time.Time, strongest float64) {
	d := s.dispatcher
	if s.releasing || !s.loaded || d.options.Cores >= weakShare*strongest || now.Sub(s.startedAt) < handOverAfter {
		return
	}
	d.log.Info().Str("Event", "hand over").Float64("Cores", d.options.Cores).Float64("Strongest", strongest).Msg("a stronger entry is there")
	s.releasing = true
}

// handOverAfter is for how long a weak entry owns a cell at least, so that all
// links are up.
const handOverAfter = 1500 * time.Millisecond

// eagerNext tells whether steps may start before they are stored as begun. With
// a slow store they do, as the workers' tickets would have aged otherwise. A
// successor that finds this in the owner's row takes every step as begun.
func (s *session) eagerNext() bool {
	latency := s.dispatcher.store.Latency()
	if !s.row.Eager {
		return latency > eagerFrom
	}
	if !s.loaded || latency > eagerUntil {
		return true
	}
	// From now on nothing starts early; once all that did is stored, the row
	// may say so.
	s.core.SetEager(false)
	return s.core.Dirty()
}

// The latencies of the store from which and until which steps start early.
const (
	eagerFrom  = 200 * time.Millisecond
	eagerUntil = 80 * time.Millisecond
)

// write sends a transaction until its fate is known. The same bytes are sent
// each time: of several that were performed, also late, only one can count.
func (s *session) write(next ownerRow, batch *scheduler.Batch, transaction keeper.Transaction) {
	d := s.dispatcher
	sentAt := d.clock.Now()
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		result, err := d.store.Transact(ctx, transaction)
		cancel()
		d.counters.commits.Add(1)
		if err != nil {
			d.counters.commitsFailed.Add(1)
			if !sleep(s.ctx, retryInterval) {
				return
			}
			continue
		}
		revision, mine := result.Revision, result.Committed
		if !mine {
			var current keeper.Row
			current, mine = conflictAt(result, ownerKey, transaction.Writes[0].Value)
			revision = current.Revision
		}
		s.post(func() { s.written(next, batch, revision, mine, sentAt) })
		return
	}
}

func (s *session) written(next ownerRow, batch *scheduler.Batch, revision int64, mine bool, sentAt time.Time) {
	d := s.dispatcher
	now := d.clock.Now()
	s.commitOpen = false
	if !mine {
		d.log.Warn().Str("Event", "lost cell").Int64("Epoch", s.row.Epoch).Msg("another entry has claimed the cell")
		s.ended = true
		return
	}
	s.row, s.revision = next, revision
	s.committed = sentAt
	s.mu.Lock()
	s.validUntil = sentAt.Add(next.term())
	s.mu.Unlock()
	d.counters.commitTime.Observe(now.Sub(sentAt))
	s.core.Committed(now, batch)
	if s.loaded && next.Eager && d.store.Latency() > eagerUntil {
		s.core.SetEager(true)
	}
	s.tellStates(batch, revision)
	if next.Released {
		s.ended = true
	}
}

// release gives the cell up.
func (s *session) release() { s.post(func() { s.releasing = true }) }
