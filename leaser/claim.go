package leaser

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"kumquatstall/keeper"
	"kumquatstall/requester"
)

// introduce notes when every member has been met. Where no seat has ever been
// held there was nothing to adopt, and no need to wait.
func (l *Leaser) introduce(now time.Time, peers []Peer) {
	if !l.introducedAt.IsZero() || !l.metAll(peers) {
		return
	}
	l.introducedAt = now
	for _, seat := range l.seats {
		if seat.rowRevision > 0 {
			return
		}
	}
	l.introducedAt = now.Add(-l.options.Term - l.options.Margin)
}

// MayAcquire reports whether the entry could take a vacant seat now. Others
// count on it only if so.
func (l *Leaser) MayAcquire(now time.Time) bool {
	introduced := !l.introducedAt.IsZero() && !now.Before(l.introducedAt.Add(l.options.Term+l.options.Margin))
	return introduced && l.registered > 0 && !l.leaving && !l.StoreDown(now)
}

// metAll reports whether every member listed has been met or is dead.
func (l *Leaser) metAll(peers []Peer) bool {
	met := make(map[requester.EntryID]bool, len(peers))
	for _, peer := range peers {
		met[peer.EntryID] = peer.HeartbeatReceived
	}
	for id, member := range l.members {
		if id == l.options.Self || met[id] {
			continue
		}
		if !l.provenDead(ShardRow{Holder: id, Incarnation: member.Incarnation}, peers) {
			return false
		}
	}
	return true
}

// claims returns claims on seats that nobody holds and that fall to this
// entry.
func (l *Leaser) claims(now time.Time, peers []Peer) []TableOperation {
	candidates := l.candidates(peers)
	fair := (len(l.seats) + len(candidates) - 1) / len(candidates)
	held := l.heldOrClaimed()
	var steps []TableOperation
	for number, seat := range l.seats {
		if !seat.machine.In("Vacant") || !l.claimable(now, seat, peers) {
			continue
		}
		place := placeOf(l.options.Self, number, candidates)
		patience := time.Duration(place) * l.options.Term / 4
		vacantAt := l.vacantAt(seat)
		if held >= fair {
			patience += l.options.Term
		}
		if now.Before(vacantAt.Add(patience)) {
			continue
		}
		held++
		steps = append(steps, l.claim(now, number))
	}
	return steps
}

func (l *Leaser) heldOrClaimed() int {
	held := 0
	for _, seat := range l.seats {
		if !seat.machine.In("Vacant") {
			held++
		}
	}
	return held
}

// candidates returns the entries that may take seats, this one included.
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

// placeOf returns self's place, from 0, in the order in which entries take a
// vacant seat.
func placeOf(self requester.EntryID, number int, candidates []requester.EntryID) int {
	own := seatScore(self, number)
	place := 0
	for _, candidate := range candidates {
		if candidate != self && seatScore(candidate, number) > own {
			place++
		}
	}
	return place
}

func seatScore(id requester.EntryID, number int) uint64 {
	return mix(xxhash.Sum64String(string(id)), uint64(number))
}

// vacantAt returns when the seat's last lease had surely ended.
func (l *Leaser) vacantAt(seat *seatState) time.Time {
	if seat.rowRevision == 0 || seat.row.Holder == "" {
		return later(seat.seenAt, l.startedAt.Add(l.options.Term/2))
	}
	return seat.seenAt.Add(l.options.Term + l.options.Margin)
}

// claimable reports whether nobody else can hold the seat at now.
func (l *Leaser) claimable(now time.Time, seat *seatState, peers []Peer) bool {
	if now.Before(seat.promise.until) {
		return false
	}
	if seat.rowRevision == 0 {
		return true
	}
	if !l.MayAcquire(now) {
		return false
	}
	if seat.row.Holder == "" {
		return true
	}
	if now.Before(l.vacantAt(seat)) {
		return false
	}
	if l.registered <= seat.row.MembersRevision {
		return true
	}
	return l.provenDead(seat.row, peers)
}

// provenDead reports whether the process that a row names can't be running.
func (l *Leaser) provenDead(row ShardRow, peers []Peer) bool {
	if row.Holder == l.options.Self {
		return row.Incarnation != l.options.Incarnation
	}
	if member, ok := l.members[row.Holder]; ok && member.Incarnation > row.Incarnation {
		return true
	}
	if l.gone(row.Holder) {
		return true
	}
	for _, peer := range peers {
		if peer.EntryID == row.Holder {
			return peer.Refused || peer.Incarnation > row.Incarnation
		}
	}
	return false
}

// claim makes the transaction that takes a seat. It holds only while the own
// registration stands unchanged.
func (l *Leaser) claim(now time.Time, number int) TableOperation {
	seat := l.seats[number]
	_ = seat.machine.Fire("Claim")
	seat.claimOpen = true
	seat.previous = seat.row.Holder
	row := ShardRow{
		Holder:          l.options.Self,
		Incarnation:     l.options.Incarnation,
		Address:         l.options.Address,
		Epoch:           max(seat.row.Epoch, seat.promise.epoch) + 1,
		Deadline:        now.Add(l.options.Term),
		MembersRevision: l.membersRevision,
	}
	key := l.seatKey(number)
	return TableOperation{
		Purpose: PurposeAcquire,
		Transaction: keeper.Transaction{
			Conditions: []keeper.Condition{
				{Key: key, Revision: seat.rowRevision},
				{Key: l.memberKey(l.options.Self), Revision: l.registered},
			},
			Writes: []keeper.Write{{Key: key, Value: mustMarshal(row)}},
		},
		Shards:   []int{number},
		SentAt:   now,
		Deadline: now.Add(l.options.Term),
		epochs:   []int64{row.Epoch},
	}
}

func (l *Leaser) onClaimed(now time.Time, step TableOperation, result keeper.TransactResult, err error, resolved bool) {
	number := step.Shards[0]
	seat := l.seats[number]
	if err != nil && !resolved {
		// The claim may still commit. claimOpen stays set: nothing is
		// promised to others until the row has been read again.
		if seat.machine.Can("Lost") {
			_ = seat.machine.Fire("Lost")
		}
		return
	}
	seat.claimOpen = false
	if err != nil || !result.Committed {
		l.lose(seat)
		return
	}
	l.ownRow(now, seat, step, 0, result.Revision)
	if !seat.machine.In("Claiming") {
		return
	}
	_ = seat.machine.Fire("Granted")
	seat.ownEpoch = step.epochs[0]
	seat.deadline = step.SentAt.Add(l.options.Term)
	if !now.Before(seat.deadline) {
		_ = seat.machine.Fire("Lapse")
	}
}
