package leaser

import (
	"time"

	"kumquatstall/requester"
)

// GrantRequest requests that a peer does not acquire the given shards for a
// term and a margin after it has received the request.
type GrantRequest struct {
	Holder      requester.EntryID
	Incarnation int64
	Round       int64
	Seats       []ShardLease
	// Adopt is true for a takeover: the sender does not hold the shards, and
	// their holder is proven dead or has released them.
	Adopt bool
}

// GrantReply names the shards that the peer has granted.
type GrantReply struct {
	Round   int64
	Granted []int
}

// extendLeases requests grants for the held shards that could not be renewed,
// and for vacant shards to take over while the table is unavailable.
func (l *Leaser) extendLeases(now time.Time, peers []Peer, decision *Decision) {
	extension := GrantRequest{Holder: l.options.Self, Incarnation: l.options.Incarnation}
	takeover := extension
	takeover.Adopt = true
	for number, shard := range l.shards {
		switch {
		case shard.machine.In("Held", "Extended") && l.needsExtension(now, shard):
			extension.Seats = append(extension.Seats, l.startRound(now, number, shard.ownEpoch))
		case l.mayTakeOver(now, number, shard, peers):
			takeover.Seats = append(takeover.Seats, l.startRound(now, number, shard.row.Epoch+1))
		}
	}
	for _, request := range []GrantRequest{extension, takeover} {
		if len(request.Seats) > 0 {
			l.lastRound++
			request.Round = l.lastRound
			for _, wanted := range request.Seats {
				l.shards[wanted.Seat.Number].round = request.Round
			}
			decision.GrantRequests = append(decision.GrantRequests, request)
			l.completeRounds(now, request, peers)
		}
	}
	if len(decision.GrantRequests) == 0 {
		return
	}
	for _, peer := range peers {
		if peer.Connected {
			decision.GrantRecipients = append(decision.GrantRecipients, peer.EntryID)
		}
	}
}

// needsExtension reports whether the lease expires within half a term and no
// round of grants has started within the last sixth of a term.
func (l *Leaser) needsExtension(now time.Time, shard *shardState) bool {
	return shard.deadline.Sub(now) < l.options.Term/2 && now.Sub(shard.roundAt) >= l.options.Term/6
}

// mayTakeOver reports whether this entry may start a takeover of the shard:
// the table is unavailable, the last lease by the table has expired, its
// holder is proven dead or has released the shard, this entry's member list is
// no older than its own registration and the list that the holder knew, and
// this entry ranks first. No own acquisition may be unresolved and no grant in
// force. The placement shard is never taken over: without the table, its new
// holder could not read which jobs there are.
func (l *Leaser) mayTakeOver(now time.Time, number int, shard *shardState, peers []Peer) bool {
	if number == PlacementShard || l.contactedAt.IsZero() {
		return false
	}
	if !shard.machine.In("Vacant") || shard.acquireUnresolved || l.draining || !l.StoreDown(now) || shard.rowRevision == 0 {
		return false
	}
	if now.Before(l.vacantAt(shard)) || now.Before(shard.grantGiven.expires) || now.Sub(shard.roundAt) < l.options.Term/6 {
		return false
	}
	if shard.row.Holder != "" && !l.holderProvenDead(shard, peers) {
		return false
	}
	if l.registeredRevision > l.membersRevision || l.membersRevision < shard.row.MembersRevision {
		return false
	}
	return acquireRank(l.options.Self, number, l.candidates(peers)) == 0
}

// startRound starts a round of grants for a shard and discards the grants of
// the round before.
func (l *Leaser) startRound(now time.Time, number int, epoch int64) ShardLease {
	shard := l.shards[number]
	shard.roundAt = now
	shard.grantsReceived = make(map[requester.EntryID]bool)
	return ShardLease{Seat: Shard{DataCentre: l.options.DataCentre, Number: number}, Epoch: epoch}
}

// OnGrantRequest decides which of the requested shards to grant to a peer.
// peers are the other known entries of the data centre.
func (l *Leaser) OnGrantRequest(now time.Time, request GrantRequest, peers []Peer) GrantReply {
	reply := GrantReply{Round: request.Round}
	for _, wanted := range request.Seats {
		number := wanted.Seat.Number
		if wanted.Seat.DataCentre != l.options.DataCentre || number < 0 || number >= len(l.shards) {
			continue
		}
		if l.mayGrant(now, number, wanted.Epoch, request, peers) {
			l.shards[number].grantGiven = grant{
				holder:      request.Holder,
				incarnation: request.Incarnation,
				epoch:       wanted.Epoch,
				expires:     now.Add(l.options.Term + l.options.Margin),
			}
			reply.Granted = append(reply.Granted, number)
		}
	}
	return reply
}

// mayGrant reports whether this entry may grant a request for the shard, and so
// not acquire the shard until the grant expires. It must not hold the shard,
// have an acquisition that may still commit, know a newer epoch, or be bound by
// a grant to another process. A takeover is granted only if, as far as this
// entry knows too, the table is unavailable, the last lease by the table has
// expired, and its holder is proven dead or has released the shard.
func (l *Leaser) mayGrant(now time.Time, number int, epoch int64, request GrantRequest, peers []Peer) bool {
	shard := l.shards[number]
	if shard.acquireUnresolved || !shard.machine.In("Vacant") {
		return false
	}
	given := shard.grantGiven
	if now.Before(given.expires) && (given.holder != request.Holder || given.incarnation != request.Incarnation) {
		return false
	}
	if epoch < max(shard.row.Epoch, given.epoch) {
		return false
	}
	if !request.Adopt {
		// The known row must name the requester as holder, or be older than
		// its acquisition.
		return epoch > shard.row.Epoch || shard.row.Holder == request.Holder && shard.row.Incarnation == request.Incarnation
	}
	if !l.StoreDown(now) || epoch != shard.row.Epoch+1 || now.Before(l.vacantAt(shard)) {
		return false
	}
	return shard.row.Holder == "" || l.holderProvenDead(shard, peers)
}

// OnGrantReply applies a peer's reply to the request sent. A reply to an
// earlier round does not count: its grant may expire before the deadline that
// this round sets.
func (l *Leaser) OnGrantReply(now time.Time, from requester.EntryID, reply GrantReply, sent GrantRequest, peers []Peer) {
	for _, number := range reply.Granted {
		if number < 0 || number >= len(l.shards) {
			continue
		}
		if shard := l.shards[number]; shard.grantsReceived != nil && shard.round == reply.Round {
			shard.grantsReceived[from] = true
		}
	}
	l.completeRounds(now, sent, peers)
}

// completeRounds extends or takes over the shards of a request for which every
// grant needed has been received. The lease counts from the start of the
// round.
func (l *Leaser) completeRounds(now time.Time, sent GrantRequest, peers []Peer) {
	for _, wanted := range sent.Seats {
		shard := l.shards[wanted.Seat.Number]
		if shard.grantsReceived == nil || shard.round != sent.Round || !l.allGranted(shard, sent.Adopt || shard.takenOver, peers) {
			continue
		}
		deadline := shard.roundAt.Add(l.options.Term)
		if !now.Before(deadline) || shard.acquireUnresolved {
			continue
		}
		if !sent.Adopt {
			if shard.machine.In("Held", "Extended") && shard.ownEpoch == wanted.Epoch {
				_ = shard.machine.Fire("Extend")
				shard.deadline = later(shard.deadline, deadline)
			}
			continue
		}
		if shard.machine.In("Vacant") && !now.Before(shard.grantGiven.expires) {
			_ = shard.machine.Fire("Adopt")
			shard.takenOver = true
			shard.previousHolder = shard.row.Holder
			shard.ownEpoch = wanted.Epoch
			shard.deadline = deadline
		}
	}
}

// allGranted reports whether every entry that could acquire the shard has
// granted it or can't be running. To extend a lease that it holds by the
// table, a holder needs no grant of a member that has restarted since it
// registered: the new incarnation is a newcomer and can't acquire the shard
// without proof that the holder is dead. A takeover, and the extension of one,
// needs grants of restarted members too, and of every known peer.
func (l *Leaser) allGranted(shard *shardState, takeOver bool, peers []Peer) bool {
	for id, member := range l.members {
		if id == l.options.Self || shard.grantsReceived[id] {
			continue
		}
		if takeOver && !l.absent(id, peers) || !takeOver && !l.provenDead(id, member.Incarnation, peers) {
			return false
		}
	}
	if !takeOver {
		return true
	}
	for _, peer := range peers {
		if !shard.grantsReceived[peer.EntryID] && !l.absent(peer.EntryID, peers) {
			return false
		}
	}
	return true
}

// absent reports whether no process of an entry can be running, in any
// incarnation.
func (l *Leaser) absent(id requester.EntryID, peers []Peer) bool {
	if l.delisted(id) {
		return true
	}
	for _, peer := range peers {
		if peer.EntryID == id {
			return peer.Refused && !peer.Connected
		}
	}
	return false
}
