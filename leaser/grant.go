package leaser

import (
	"time"

	"kumquatstall/requester"
)

// GrantRequest asks a peer not to claim seats for one term.
type GrantRequest struct {
	Holder      requester.EntryID
	Incarnation int64
	Round       int64
	Seats       []ShardLease
	// Adopt tells that the seats are held by an entry thought dead.
	Adopt bool
}

// GrantReply names the seats that the peer promised.
type GrantReply struct {
	Round   int64
	Granted []int
}

// extend asks for promises on the seats that could not be renewed, and on the
// seats of entries that died while the table is down.
func (l *Leaser) extend(now time.Time, peers []Peer, decision *Decision) {
	request := GrantRequest{Holder: l.options.Self, Incarnation: l.options.Incarnation}
	adoption := request
	adoption.Adopt = true
	for number, seat := range l.seats {
		switch {
		case seat.machine.In("Held", "Extended") && l.needsExtension(now, seat):
			request.Seats = append(request.Seats, l.beginRound(now, number, seat.ownEpoch))
		case l.adoptable(now, number, seat, peers):
			adoption.Seats = append(adoption.Seats, l.beginRound(now, number, seat.row.Epoch+1))
		}
	}
	for _, ask := range []GrantRequest{request, adoption} {
		if len(ask.Seats) > 0 {
			l.roundNumber++
			ask.Round = l.roundNumber
			for _, wanted := range ask.Seats {
				l.seats[wanted.Seat.Number].round = ask.Round
			}
			decision.GrantRequests = append(decision.GrantRequests, ask)
			l.completeRounds(now, ask, peers)
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

// needsExtension reports whether the lease has run for half a term without a
// renewal.
func (l *Leaser) needsExtension(now time.Time, seat *seatState) bool {
	return seat.deadline.Sub(now) < l.options.Term/2 && now.Sub(seat.roundAt) >= l.options.Term/6
}

// adoptable reports whether the seat's holder is dead, its lease over, and
// this entry first in line, while the table is down.
func (l *Leaser) adoptable(now time.Time, number int, seat *seatState, peers []Peer) bool {
	if number == PlacementShard || l.introducedAt.IsZero() {
		return false
	}
	if !seat.machine.In("Vacant") || seat.claimOpen || l.leaving || !l.StoreDown(now) || seat.rowRevision == 0 {
		return false
	}
	if now.Before(l.vacantAt(seat)) || now.Before(seat.promise.until) || now.Sub(seat.roundAt) < l.options.Term/6 {
		return false
	}
	if seat.row.Holder != "" && !l.provenDead(seat.row, peers) {
		return false
	}
	if l.registered > l.membersRevision || l.membersRevision < seat.row.MembersRevision {
		return false
	}
	return placeOf(l.options.Self, number, l.candidates(peers)) == 0
}

func (l *Leaser) beginRound(now time.Time, number int, epoch int64) ShardLease {
	seat := l.seats[number]
	seat.roundAt = now
	seat.granted = make(map[requester.EntryID]bool)
	return ShardLease{Seat: Shard{DataCentre: l.options.DataCentre, Number: number}, Epoch: epoch}
}

// OnGrantRequest decides which seats to promise to a peer. connected tells
// which entries this one has links to.
func (l *Leaser) OnGrantRequest(now time.Time, request GrantRequest, peers []Peer) GrantReply {
	reply := GrantReply{Round: request.Round}
	for _, wanted := range request.Seats {
		number := wanted.Seat.Number
		if wanted.Seat.DataCentre != l.options.DataCentre || number < 0 || number >= len(l.seats) {
			continue
		}
		if l.mayPromise(now, number, wanted.Epoch, request, peers) {
			l.seats[number].promise = promise{
				holder:      request.Holder,
				incarnation: request.Incarnation,
				epoch:       wanted.Epoch,
				until:       now.Add(l.options.Term + l.options.Margin),
			}
			reply.Granted = append(reply.Granted, number)
		}
	}
	return reply
}

func (l *Leaser) mayPromise(now time.Time, number int, epoch int64, request GrantRequest, peers []Peer) bool {
	seat := l.seats[number]
	if seat.claimOpen || !seat.machine.In("Vacant") {
		return false
	}
	taken := seat.promise
	if now.Before(taken.until) && (taken.holder != request.Holder || taken.incarnation != request.Incarnation) {
		return false
	}
	if epoch < max(seat.row.Epoch, taken.epoch) {
		return false
	}
	if !request.Adopt {
		// The row must still name the holder, or be older than its claim.
		return epoch > seat.row.Epoch || seat.row.Holder == request.Holder && seat.row.Incarnation == request.Incarnation
	}
	if !l.StoreDown(now) || epoch != seat.row.Epoch+1 || now.Before(l.vacantAt(seat)) {
		return false
	}
	return seat.row.Holder == "" || l.provenDead(seat.row, peers)
}

// OnGrantReply takes in a peer's promises in answer to sent. A reply to an
// earlier round is worth nothing: its promise may end before this round's.
func (l *Leaser) OnGrantReply(now time.Time, from requester.EntryID, reply GrantReply, sent GrantRequest, peers []Peer) {
	for _, number := range reply.Granted {
		if number < 0 || number >= len(l.seats) {
			continue
		}
		if seat := l.seats[number]; seat.granted != nil && seat.round == reply.Round {
			seat.granted[from] = true
		}
	}
	l.completeRounds(now, sent, peers)
}

// completeRounds extends the seats for which every member that could claim
// has promised or is dead.
func (l *Leaser) completeRounds(now time.Time, sent GrantRequest, peers []Peer) {
	for _, wanted := range sent.Seats {
		seat := l.seats[wanted.Seat.Number]
		if seat.granted == nil || seat.round != sent.Round || !l.allPromised(seat, sent.Adopt || seat.adopted, peers) {
			continue
		}
		deadline := seat.roundAt.Add(l.options.Term)
		if !now.Before(deadline) || seat.claimOpen {
			continue
		}
		if !sent.Adopt {
			if seat.machine.In("Held", "Extended") && seat.ownEpoch == wanted.Epoch {
				_ = seat.machine.Fire("Extend")
				seat.deadline = later(seat.deadline, deadline)
			}
			continue
		}
		if seat.machine.In("Vacant") && !now.Before(seat.promise.until) {
			_ = seat.machine.Fire("Adopt")
			seat.adopted = true
			seat.previous = seat.row.Holder
			seat.ownEpoch = wanted.Epoch
			seat.deadline = deadline
		}
	}
}

// allPromised reports whether everybody who could claim the seat has promised
// or is dead. Towards its own seat a holder need not ask a member that has
// started anew: that one is a newcomer. An adopter has to ask it, and every
// peer it knows of.
func (l *Leaser) allPromised(seat *seatState, adopt bool, peers []Peer) bool {
	for id, member := range l.members {
		if id == l.options.Self || seat.granted[id] {
			continue
		}
		row := ShardRow{Holder: id, Incarnation: member.Incarnation}
		if adopt && !l.absent(id, peers) || !adopt && !l.provenDead(row, peers) {
			return false
		}
	}
	if !adopt {
		return true
	}
	for _, peer := range peers {
		if !seat.granted[peer.EntryID] && !l.absent(peer.EntryID, peers) {
			return false
		}
	}
	return true
}

// absent reports whether no process of an entry, of any incarnation, runs.
func (l *Leaser) absent(id requester.EntryID, peers []Peer) bool {
	if l.gone(id) {
		return true
	}
	for _, peer := range peers {
		if peer.EntryID == id {
			return peer.Refused && !peer.Connected
		}
	}
	return false
}
