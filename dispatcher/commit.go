package dispatcher

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/keeper"
	"kumquatstall/retrier"
	"kumquatstall/scheduler"
)

// commit starts a transaction with the core's changed rows and some pending
// deletes, unless one is in flight or was sent less than commitInterval ago. If
// there is nothing to write, the transaction only renews the lease, once the
// renewal is due. The transaction releases the cell if s.releasing is set.
func (s *session) commit(now time.Time) {
	d := s.dispatcher
	if s.commitInFlight || now.Sub(s.renewedAt) < s.commitInterval() {
		return
	}
	successor, cores := d.peerWithMostCores()
	cores = max(cores, d.options.Cores)
	s.transferOwnership(now, cores)
	if s.releasing {
		// What the batch would name is not sent any more.
		s.core.WithdrawIntended()
	}
	var batch *scheduler.Batch
	if s.loaded {
		batch = s.core.TakeBatch(maxTransaction - maxDeletesPerCommit - handoverRows)
	} else {
		batch = &scheduler.Batch{}
	}
	renew := now.Sub(s.renewedAt) >= d.options.OwnerTerm/renewFraction
	if batch.Empty() && len(s.pendingDeletes) == 0 && !renew && !s.releasing && !s.core.HandoverOutdated() {
		return
	}
	if s.loaded {
		s.core.HandOver(batch)
	}
	s.commitInFlight = true
	next := s.row
	next.Counter++
	if next.leaseTerm() == 0 && s.core.LeasesBounded() {
		next.setLeaseTerm(scheduler.DefaultLeaseTerm)
	}
	next.MaxCores = cores
	next.Released = s.releasing
	if s.releasing {
		next.Successor = successor
	}
	next.TermMillis = d.ownerTerm().Milliseconds()
	next.Eager = s.nextEager()
	s.limitLease(now.Add(next.term()))
	transaction := keeper.Transaction{
		Conditions: []keeper.Condition{{Key: ownerKey, Revision: s.revision}},
		Writes:     []keeper.Write{{Key: ownerKey, Value: scheduler.EncodeRow(next)}},
	}
	deletes := min(len(s.pendingDeletes), maxDeletesPerCommit)
	removals := slices.Clone(s.pendingDeletes[:deletes])
	transaction.Writes = append(transaction.Writes, removals...)
	s.pendingDeletes = s.pendingDeletes[deletes:]
	for _, write := range batch.Writes {
		transaction.Writes = append(transaction.Writes, keeper.Write{Key: write.Key, Value: write.Value, Delete: write.Value == nil})
	}
	pending := &pendingCommit{next: next, batch: batch, removals: removals, transaction: transaction}
	s.spawn(func() { s.sendCommit(pending) })
}

// commitInterval returns the shortest interval between commits now.
func (s *session) commitInterval() time.Duration {
	if s.core.StartsWaiting() {
		return startCommitInterval
	}
	return commitInterval
}

// pendingCommit is a commit whose outcome is not known yet.
type pendingCommit struct {
	// next is the owner's row that it writes.
	next  ownerRow
	batch *scheduler.Batch
	// removals are the pending deletes that it includes.
	removals    []keeper.Write
	transaction keeper.Transaction
	// sentAt is when it was first sent.
	sentAt time.Time
}

// commitRefused handles a commit that the store has refused as invalid, as it would do
// again. The core writes the rows of the batch by other ones. An entry whose owner's row
// alone is refused can't own the cell.
func (s *session) commitRefused(refused *pendingCommit, err error) {
	d := s.dispatcher
	s.commitInFlight = false
	d.counters.commitsRefused.Add(1)
	d.log.Error().Str("Event", "commit refused").Int64("Epoch", s.row.Epoch).Int("Rows", len(refused.transaction.Writes)).Int("Removals", len(refused.removals)).Err(err).
		Msg("the store refuses a commit as invalid; it is not sent again as it was")
	switch {
	case !refused.batch.Empty():
		s.core.Refused(d.clock.Now(), refused.batch, err.Error())
		s.pendingDeletes = append(refused.removals, s.pendingDeletes...)
	case len(refused.removals) > 0:
		d.log.Error().Str("Event", "removals refused").Str("First", refused.removals[0].Key).Int("Rows", len(refused.removals)).Msg("the store refuses to remove rows; they are left to a later owner")
	default:
		s.ended = true
	}
}

// limitLease shortens the lease to a time. From the moment at which a row with a
// shorter term is sent, a successor may rely on that term, also if this entry
// never learns that the row was committed.
func (s *session) limitLease(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until.Before(s.leaseValidUntil) {
		s.leaseValidUntil = until
	}
}

// transferOwnership makes the commit in preparation release the cell if this
// entry has less than lowCapacityShare of the cores of the largest entry and has
// owned the cell for minOwnership. maxCores is the number of cores of the
// largest entry.
func (s *session) transferOwnership(now time.Time, maxCores float64) {
	d := s.dispatcher
	if s.releasing || !s.loaded || d.options.Cores >= lowCapacityShare*maxCores || now.Sub(s.startedAt) < minOwnership {
		return
	}
	d.log.Info().Str("Event", "transfer").Float64("Cores", d.options.Cores).Float64("Strongest", maxCores).Msg("an entry with more cores is available; the cell is released to it")
	s.releasing = true
}

// minOwnership is how long an entry owns the cell before it transfers the
// ownership to one with more cores. By then all links are up.
const minOwnership = 1500 * time.Millisecond

// nextEager returns the value of Eager for the owner's row that is written next. This owner
// starts no step before its start record is committed. One of an earlier version may have done so
// while the store was slow: the row says that until the records of all steps that it may have
// started are committed, so that a successor assumes it as well.
func (s *session) nextEager() bool {
	return s.row.Eager && (!s.loaded || s.core.StartsMayBeUnknown())
}

// sendCommit sends a transaction until its outcome is known, which may be that the
// store refuses it as invalid, and posts the outcome. Each attempt sends the same
// bytes: of several attempts that reach the store, even late, only one can commit.
func (s *session) sendCommit(pending *pendingCommit) {
	d := s.dispatcher
	pending.sentAt = d.clock.Now()
	for s.ctx.Err() == nil {
		ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
		result, err := d.store.Transact(ctx, pending.transaction)
		cancel()
		d.counters.commits.Add(1)
		if errors.Is(err, keeper.ErrInvalid) {
			s.post(func() { s.commitRefused(pending, err) })
			return
		}
		if err != nil {
			d.counters.commitsFailed.Add(1)
			if !retrier.Sleep(s.ctx, retryInterval) {
				return
			}
			continue
		}
		revision, committed := result.Revision, result.Committed
		if !committed {
			var current keeper.Row
			current, committed = conflictingRow(result, ownerKey, pending.transaction.Writes[0].Value)
			revision = current.Revision
		}
		s.post(func() { s.commitDone(pending, revision, committed) })
		return
	}
}

// commitDone handles the outcome of a commit. If it succeeded, the lease is
// renewed as of when it was sent, the core is notified of the committed batch, and
// the new states are published. If it did not succeed, another entry owns the cell
// and the session ends.
func (s *session) commitDone(done *pendingCommit, revision int64, committed bool) {
	d := s.dispatcher
	next, batch, sentAt := done.next, done.batch, done.sentAt
	now := d.clock.Now()
	s.commitInFlight = false
	if !committed {
		d.log.Warn().Str("Event", "lost cell").Int64("Epoch", s.row.Epoch).Msg("another entry has acquired the cell; ownership ends")
		s.ended = true
		return
	}
	s.row, s.revision = next, revision
	s.renewedAt = sentAt
	s.mu.Lock()
	s.leaseValidUntil = sentAt.Add(next.term())
	s.mu.Unlock()
	d.counters.commitTime.Observe(now.Sub(sentAt))
	s.core.Renewed(sentAt)
	s.core.Committed(now, batch)
	s.core.StoreReached(sentAt, revision)
	if s.loaded && !s.releasing && !s.core.Fenced() && s.leaseValid() {
		s.sendOrders(s.core.TakeOrders(now))
	}
	s.publishStates(batch, revision)
	if next.Released {
		s.ended = true
	}
}

// release makes the next commit release the cell.
func (s *session) release() { s.post(func() { s.releasing = true }) }
