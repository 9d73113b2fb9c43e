package leaser

import (
	"sort"
	"time"

	"kumquatstall/keeper"
)

// Leave starts a graceful departure: no seat is claimed any more.
func (l *Leaser) Drain() { l.leaving = true }

// Release starts to give up a seat. Nothing new is begun under it; Vacate ends
// the release once what was begun has ended.
func (l *Leaser) StartRelease(number int, now time.Time) bool {
	seat := l.seats[number]
	if !seat.machine.Can("Release") || seat.claimOpen {
		return false
	}
	_ = seat.machine.Fire("Release")
	seat.releaseAt = now
	return true
}

// Releasing reports whether the seat is being given up, and since when.
func (l *Leaser) Releasing(number int) (time.Time, bool) {
	seat := l.seats[number]
	return seat.releaseAt, seat.machine.In("Releasing")
}

// Vacate returns the transaction that leaves a released seat without holder,
// so that it can be claimed at once.
func (l *Leaser) FinishRelease(number int, now time.Time) TableOperation {
	seat := l.seats[number]
	row := ShardRow{Epoch: seat.ownEpoch, MembersRevision: l.membersRevision}
	key := l.seatKey(number)
	step := TableOperation{
		Purpose: PurposeRelease,
		Transaction: keeper.Transaction{
			Conditions: []keeper.Condition{{Key: key, Revision: seat.rowRevision}},
			Writes:     []keeper.Write{{Key: key, Value: mustMarshal(row)}},
		},
		Shards:   []int{number},
		SentAt:   now,
		Deadline: now.Add(l.options.Term),
		epochs:   []int64{seat.ownEpoch},
	}
	_ = seat.machine.Fire("Released")
	seat.deadline = time.Time{}
	return step
}

// Unregister returns the transaction that takes the entry off the member list.
func (l *Leaser) Unregister(now time.Time) (TableOperation, bool) {
	if l.registered == 0 {
		return TableOperation{}, false
	}
	key := l.memberKey(l.options.Self)
	step := TableOperation{
		Purpose: PurposeUnregister,
		Transaction: keeper.Transaction{
			Conditions: []keeper.Condition{{Key: key, Revision: l.registered}},
			Writes:     []keeper.Write{{Key: key, Delete: true}},
		},
		SentAt:   now,
		Deadline: now.Add(l.options.Term),
	}
	l.registered = 0
	return step, true
}

// Surplus returns a held seat that another entry should have, or -1. It is
// one that would bring the entry back to its fair share.
func (l *Leaser) Surplus(now time.Time, peers []Peer) int {
	candidates := l.candidates(peers)
	fair := (len(l.seats) + len(candidates) - 1) / len(candidates)
	held := 0
	worst, worstPlace := -1, 0
	for number := range l.seats {
		if _, ok := l.Holds(number, now); !ok {
			continue
		}
		held++
		place := placeOf(l.options.Self, number, candidates)
		if place > worstPlace {
			worst, worstPlace = number, place
		}
	}
	if held <= fair || l.StoreDown(now) {
		return -1
	}
	return worst
}

// StaleMembers returns registered entries that are proven dead, so that their
// registrations can be removed. A removed entry that lives after all can't
// claim before it has registered again.
func (l *Leaser) StaleMembers(peers []Peer) []Member {
	var stale []Member
	for _, member := range l.members {
		if member.EntryID != l.options.Self && l.provenDead(ShardRow{Holder: member.EntryID, Incarnation: member.Incarnation}, peers) {
			stale = append(stale, member)
		}
	}
	sort.Slice(stale, func(i, j int) bool { return stale[i].EntryID < stale[j].EntryID })
	return stale
}

// RemoveMember returns the transaction that takes a dead entry off the list.
func (l *Leaser) RemoveMember(member Member, now time.Time) TableOperation {
	key := l.memberKey(member.EntryID)
	return TableOperation{
		Purpose: PurposeUnregister,
		Transaction: keeper.Transaction{
			Conditions: []keeper.Condition{{Key: key, Revision: member.Revision}},
			Writes:     []keeper.Write{{Key: key, Delete: true}},
		},
		SentAt:   now,
		Deadline: now.Add(l.options.Term),
	}
}
