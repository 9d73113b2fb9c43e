package leaser

import (
	"sort"
	"time"

	"kumquatstall/keeper"
	"kumquatstall/requester"
)

// Drain starts a graceful shutdown: no more shards are acquired.
func (l *Leaser) Drain() { l.draining = true }

// StartRelease starts to release a shard and reports whether it could. No new
// work is started under the lease; FinishRelease ends the release once the
// work started under it has ended.
func (l *Leaser) StartRelease(number int, now time.Time) bool {
	shard := l.shards[number]
	if !shard.machine.Can("Release") || shard.acquireUnresolved {
		return false
	}
	_ = shard.machine.Fire("Release")
	shard.releaseStartedAt = now
	return true
}

// Releasing reports whether the shard is being released, and since when.
func (l *Leaser) Releasing(number int) (time.Time, bool) {
	shard := l.shards[number]
	return shard.releaseStartedAt, shard.machine.In("Releasing")
}

// FinishRelease drops the lease of a shard and returns the transaction that
// removes the holder from its row, so that other entries can acquire the shard
// without waiting for the lease to expire.
func (l *Leaser) FinishRelease(number int, now time.Time) TableOperation {
	shard := l.shards[number]
	row := ShardRow{Epoch: shard.ownEpoch, MembersRevision: l.membersRevision}
	key := l.shardKey(number)
	operation := TableOperation{
		Purpose: PurposeRelease,
		Transaction: keeper.Transaction{
			Conditions: []keeper.Condition{{Key: key, Revision: shard.rowRevision}},
			Writes:     []keeper.Write{{Key: key, Value: mustMarshal(row)}},
		},
		Shards:   []int{number},
		SentAt:   now,
		Deadline: now.Add(l.options.Term),
		epochs:   []int64{shard.ownEpoch},
	}
	_ = shard.machine.Fire("Released")
	shard.deadline = time.Time{}
	return operation
}

// Unregister returns the transaction that removes this entry from the member
// list; false if it is not registered.
func (l *Leaser) Unregister(now time.Time) (TableOperation, bool) {
	if l.registeredRevision == 0 {
		return TableOperation{}, false
	}
	operation := l.unregistration(l.options.Self, l.registeredRevision, now)
	l.registeredRevision = 0
	return operation, true
}

// Surplus returns a held shard to release so that a higher-ranked candidate
// acquires it, or -1. It returns one only if the entry holds more than its fair
// share and the table is available: the shard for which this entry's rank is
// worst, and none for which it ranks first.
func (l *Leaser) Surplus(now time.Time, peers []Peer) int {
	candidates := l.candidates(peers)
	fairShare := l.fairShare(candidates)
	held := 0
	worst, worstRank := -1, 0
	for number := range l.shards {
		if _, ok := l.Holds(number, now); !ok {
			continue
		}
		held++
		rank := acquireRank(l.options.Self, number, candidates)
		if rank > worstRank {
			worst, worstRank = number, rank
		}
	}
	if held <= fairShare || l.StoreDown(now) {
		return -1
	}
	return worst
}

// StaleMembers returns the registered entries that are proven dead, so that
// their registrations can be removed. If a removed entry is running after all,
// it can't acquire a shard before it has registered again.
func (l *Leaser) StaleMembers(peers []Peer) []Member {
	var stale []Member
	for _, member := range l.members {
		if member.EntryID != l.options.Self && l.provenDead(member.EntryID, member.Incarnation, peers) {
			stale = append(stale, member)
		}
	}
	sort.Slice(stale, func(i, j int) bool { return stale[i].EntryID < stale[j].EntryID })
	return stale
}

// RemoveMember returns the transaction that removes a dead entry from the
// member list.
func (l *Leaser) RemoveMember(member Member, now time.Time) TableOperation {
	return l.unregistration(member.EntryID, member.Revision, now)
}

// unregistration returns the transaction that deletes a member row, if it still
// has the revision.
func (l *Leaser) unregistration(id requester.EntryID, revision int64, now time.Time) TableOperation {
	key := l.memberKey(id)
	return TableOperation{
		Purpose: PurposeUnregister,
		Transaction: keeper.Transaction{
			Conditions: []keeper.Condition{{Key: key, Revision: revision}},
			Writes:     []keeper.Write{{Key: key, Delete: true}},
		},
		SentAt:   now,
		Deadline: now.Add(l.options.Term),
	}
}
