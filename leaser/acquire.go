package leaser

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatstall/keeper"
	"kumquatstall/requester"
)

// updateContact sets contactedAt once every member has sent a heartbeat to
// this entry or is proven dead. If no shard has ever been held, none can have
// been taken over, and the term and margin that an entry waits after contact
// count as elapsed.
func (l *Leaser) updateContact(now time.Time, peers []Peer) {
	if !l.contactedAt.IsZero() || !l.contactedAll(peers) {
		return
	}
	l.contactedAt = now
	for _, shard := range l.shards {
		if shard.rowRevision > 0 {
			return
		}
	}
	l.contactedAt = now.Add(-l.options.Term - l.options.Margin)
}

// MayAcquire reports whether the entry could acquire a vacant shard now. Other
// entries rank it as a candidate only if it can.
func (l *Leaser) MayAcquire(now time.Time) bool {
	contacted := !l.contactedAt.IsZero() && !now.Before(l.contactedAt.Add(l.options.Term+l.options.Margin))
	return contacted && l.registeredRevision > 0 && !l.draining && !l.StoreDown(now)
}

// contactedAll reports whether every listed member has sent a heartbeat to
// this entry or is proven dead. A heartbeat of a former incarnation doesn't count, as the
// present one may not know of this entry.
func (l *Leaser) contactedAll(peers []Peer) bool {
	contacted := make(map[requester.EntryID]int64, len(peers))
	for _, peer := range peers {
		if peer.HeartbeatReceived {
			contacted[peer.EntryID] = peer.Incarnation
		}
	}
	for id, member := range l.members {
		incarnation, heard := contacted[id]
		if id == l.options.Self || heard && incarnation >= member.Incarnation {
			continue
		}
		if !l.provenDead(id, member.Incarnation, peers) {
			return false
		}
	}
	return true
}

// acquisitions returns the transactions that acquire vacant shards. Candidates
// acquire a shard in the order of their ranks: the first one acquires it at
// once, each further rank waits a quarter of a term longer, and an entry that
// has its fair share of shards waits another term.
func (l *Leaser) acquisitions(now time.Time, peers []Peer) []TableOperation {
	candidates := l.candidates(peers)
	fairShare := l.fairShare(candidates)
	held := l.heldOrAcquiring()
	var operations []TableOperation
	for number, shard := range l.shards {
		if !shard.machine.In("Vacant") || !l.acquirable(now, shard, peers) {
			continue
		}
		rank := acquireRank(l.options.Self, number, candidates)
		delay := time.Duration(rank) * l.options.Term / 4
		vacantAt := l.vacantAt(shard)
		if held >= fairShare {
			delay += l.options.Term
		}
		if now.Before(vacantAt.Add(delay)) {
			continue
		}
		held++
		operations = append(operations, l.acquire(now, number))
	}
	return operations
}

// heldOrAcquiring returns the number of shards that this entry holds, is
// acquiring or is releasing.
func (l *Leaser) heldOrAcquiring() int {
	held := 0
	for _, shard := range l.shards {
		if !shard.machine.In("Vacant") {
			held++
		}
	}
	return held
}

// candidates returns the entries that may acquire shards, including this one.
func (l *Leaser) candidates(peers []Peer) []requester.EntryID {
	candidates := []requester.EntryID{l.options.Self}
	for _, peer := range peers {
		_, member := l.members[peer.EntryID]
		if member && peer.Connected && peer.MayAcquire {
			candidates = append(candidates, peer.EntryID)
		}
	}
	return candidates
}

// fairShare returns the number of shards per candidate, rounded up.
func (l *Leaser) fairShare(candidates []requester.EntryID) int {
	return (len(l.shards) + len(candidates) - 1) / len(candidates)
}

// acquireRank returns the rank of self, from 0, in the order in which the
// candidates acquire a vacant shard.
func acquireRank(self requester.EntryID, number int, candidates []requester.EntryID) int {
	own := shardScore(self, number)
	rank := 0
	for _, candidate := range candidates {
		if candidate != self && shardScore(candidate, number) > own {
			rank++
		}
	}
	return rank
}

func shardScore(id requester.EntryID, number int) uint64 {
	return mix(xxhash.Sum64String(string(id)), uint64(number))
}

// vacantAt returns the time from which the last lease by the table has expired
// for certain. A shard without a row or a holder is vacant from the read of
// its row, but no earlier than half a term after this entry started.
func (l *Leaser) vacantAt(shard *shardState) time.Time {
	if shard.rowRevision == 0 || shard.row.Holder == "" {
		return later(shard.rowReadAt, l.startedAt.Add(l.options.Term/2))
	}
	return shard.rowReadAt.Add(l.options.Term + l.options.Margin)
}

// acquirable reports whether no other entry can hold the shard at now. A holder
// that knows this entry's registration can extend its lease only with a grant
// of this entry, and while a grant is in force the shard is not acquirable; a
// holder that may not know the registration must be proven dead. A shard
// without a row was never held and can't have been taken over, so MayAcquire
// is not required.
func (l *Leaser) acquirable(now time.Time, shard *shardState, peers []Peer) bool {
	if now.Before(shard.grantGiven.expires) {
		return false
	}
	if shard.rowRevision == 0 {
		return true
	}
	if !l.MayAcquire(now) {
		return false
	}
	if shard.row.Holder == "" {
		return true
	}
	if now.Before(l.vacantAt(shard)) {
		return false
	}
	if l.registeredRevision <= shard.row.MembersRevision {
		return true
	}
	return l.holderProvenDead(shard, peers)
}

// holderProvenDead reports whether the process that a shard's row names as holder
// can't be running.
func (l *Leaser) holderProvenDead(shard *shardState, peers []Peer) bool {
	return l.provenDead(shard.row.Holder, shard.row.Incarnation, peers)
}

// provenDead reports whether an incarnation of an entry, which is one process, can't
// be running: a newer incarnation of the entry is known, the host list no longer names
// the entry, or its address refuses connections.
func (l *Leaser) provenDead(id requester.EntryID, incarnation int64, peers []Peer) bool {
	if id == l.options.Self {
		return incarnation != l.options.Incarnation
	}
	if member, ok := l.members[id]; ok && member.Incarnation > incarnation {
		return true
	}
	if l.delisted(id) {
		return true
	}
	for _, peer := range peers {
		if peer.EntryID == id {
			return peer.Refused || peer.Incarnation > incarnation
		}
	}
	return false
}

// acquire returns the transaction that acquires a shard. It commits only if
// the shard's row and the own registration are unchanged.
func (l *Leaser) acquire(now time.Time, number int) TableOperation {
	shard := l.shards[number]
	_ = shard.machine.Fire("Claim")
	shard.acquireUnresolved = true
	shard.previousHolder = shard.row.Holder
	row := l.ownRow(now, max(shard.row.Epoch, shard.grantGiven.epoch)+1)
	key := l.shardKey(number)
	return TableOperation{
		Purpose: PurposeAcquire,
		Transaction: keeper.Transaction{
			Conditions: []keeper.Condition{
				{Key: key, Revision: shard.rowRevision},
				{Key: l.memberKey(l.options.Self), Revision: l.registeredRevision},
			},
			Writes: []keeper.Write{{Key: key, Value: mustMarshal(row)}},
		},
		Shards:   []int{number},
		SentAt:   now,
		Deadline: now.Add(l.options.Term),
		epochs:   []int64{row.Epoch},
	}
}

// onAcquireResult handles the result of an acquisition. The lease counts from
// the moment the transaction was sent.
func (l *Leaser) onAcquireResult(now time.Time, operation TableOperation, result keeper.TransactResult, err error, resolved bool) {
	number := operation.Shards[0]
	shard := l.shards[number]
	if err != nil && !resolved {
		// The acquisition may still commit. acquireUnresolved stays set, so
		// that no grant is given until a newer row has been read.
		if shard.machine.Can("Lost") {
			_ = shard.machine.Fire("Lost")
		}
		return
	}
	shard.acquireUnresolved = false
	if err != nil || !result.Committed {
		l.loseLease(shard)
		return
	}
	l.recordOwnRow(now, shard, operation, 0, result.Revision)
	if !shard.machine.In("Claiming") {
		return
	}
	_ = shard.machine.Fire("Granted")
	shard.ownEpoch = operation.epochs[0]
	shard.deadline = operation.SentAt.Add(l.options.Term)
	if !now.Before(shard.deadline) {
		_ = shard.machine.Fire("Lapse")
	}
}
