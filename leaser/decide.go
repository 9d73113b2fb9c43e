package leaser

import (
	"encoding/json"
	"time"

	"kumquatstall/keeper"
	"kumquatstall/requester"
)

// Peer is what the leaser has to know of another entry of the data centre.
type Peer struct {
	EntryID requester.EntryID
	// Connected tells that a link is up and heartbeats arrive.
	Connected bool
	// Refused tells that the peer's address refuses connections: no process
	// listens there.
	Refused bool
	// Incarnation is the newest known incarnation.
	Incarnation int64
	// Leaving tells that the peer is shutting down.
	Draining bool
	// MayAcquire tells that the peer could take a vacant seat.
	MayAcquire bool
	// Met tells that the peer has sent a heartbeat to this entry: it knows
	// of it.
	HeartbeatReceived bool
}

// Purpose tells what a transaction of the leaser is for.
type Purpose int

// The purposes.
const (
	PurposeRegister Purpose = iota
	PurposeRenew
	PurposeAcquire
	PurposeRelease
	PurposeUnregister
)

// Step is a transaction that the leaser wants sent. The result is handed back
// to OnResult.
type TableOperation struct {
	Purpose     Purpose
	Transaction keeper.Transaction
	// Seats are the seats that the transaction writes.
	Shards []int
	SentAt time.Time
	// Deadline is when the transaction becomes useless.
	Deadline time.Time
	epochs   []int64
}

// Decision is what Tick wants done.
type Decision struct {
	Operations []TableOperation
	// Promises, where not nil, go to Ask.
	GrantRequests   []GrantRequest
	GrantRecipients []requester.EntryID
}

// Tick decides what to do at now. peers are the other entries known.
func (l *Leaser) Tick(now time.Time, peers []Peer) Decision {
	var decision Decision
	l.lapse(now)
	if l.registered == 0 {
		if !l.leaving && !l.registerOpen && !l.readOKAt.IsZero() && !l.StoreDown(now) {
			decision.Operations = append(decision.Operations, l.register(now))
		}
		return decision
	}
	if step, ok := l.renew(now); ok {
		decision.Operations = append(decision.Operations, step)
	}
	l.introduce(now, peers)
	if !l.leaving && !l.StoreDown(now) && !l.introducedAt.IsZero() {
		decision.Operations = append(decision.Operations, l.claims(now, peers)...)
	}
	l.extend(now, peers, &decision)
	return decision
}

// lapse gives up the seats whose lease has ended.
func (l *Leaser) lapse(now time.Time) {
	for _, seat := range l.seats {
		if seat.machine.In("Held", "Extended", "Releasing") && !now.Before(seat.deadline) {
			_ = seat.machine.Fire("Lapse")
			seat.deadline = time.Time{}
			seat.granted = nil
			seat.adopted = false
		}
	}
}

func (l *Leaser) register(now time.Time) TableOperation {
	l.registerOpen = true
	known := l.members[l.options.Self]
	row := MemberRow{EntryID: l.options.Self, Incarnation: l.options.Incarnation, Address: l.options.Address}
	key := l.memberKey(l.options.Self)
	return TableOperation{
		Purpose: PurposeRegister,
		Transaction: keeper.Transaction{
			Conditions: []keeper.Condition{{Key: key, Revision: known.Revision}},
			Writes:     []keeper.Write{{Key: key, Value: mustMarshal(row)}},
		},
		SentAt:   now,
		Deadline: now.Add(l.options.Term),
	}
}

// renewals per term.
const renewalsPerTerm = 3

// renew renews all held seats in one transaction. The lease counts from now.
func (l *Leaser) renew(now time.Time) (TableOperation, bool) {
	if l.renewalOpen || now.Sub(l.renewSentAt) < l.options.Term/renewalsPerTerm {
		return TableOperation{}, false
	}
	step := TableOperation{Purpose: PurposeRenew, SentAt: now, Deadline: now.Add(l.options.Term)}
	for number, seat := range l.seats {
		if !seat.machine.In("Held", "Extended", "Releasing") {
			continue
		}
		row := ShardRow{
			Holder:          l.options.Self,
			Incarnation:     l.options.Incarnation,
			Address:         l.options.Address,
			Epoch:           seat.ownEpoch,
			Deadline:        now.Add(l.options.Term),
			MembersRevision: l.membersRevision,
		}
		key := l.seatKey(number)
		step.Transaction.Conditions = append(step.Transaction.Conditions, keeper.Condition{Key: key, Revision: seat.rowRevision})
		step.Transaction.Writes = append(step.Transaction.Writes, keeper.Write{Key: key, Value: mustMarshal(row)})
		step.Shards = append(step.Shards, number)
		step.epochs = append(step.epochs, seat.ownEpoch)
	}
	if len(step.Shards) == 0 {
		return TableOperation{}, false
	}
	l.renewalOpen = true
	l.renewSentAt = now
	return step, true
}

// OnResult takes in the result of a step. err tells that the transaction's
// fate is not known, or that it was not tried where resolved is true.
func (l *Leaser) OnResult(now time.Time, step TableOperation, result keeper.TransactResult, err error, resolved bool) {
	switch step.Purpose {
	case PurposeRegister:
		l.registerOpen = false
		if err == nil && result.Committed {
			l.registered = result.Revision
		}
	case PurposeRenew:
		l.renewalOpen = false
		if err == nil {
			l.onRenewed(now, step, result)
		}
	case PurposeAcquire:
		l.onClaimed(now, step, result, err, resolved)
	case PurposeRelease, PurposeUnregister:
	}
	if err == nil && !result.Committed {
		l.onConflicts(now, step, result.Conflicts)
	}
}

func (l *Leaser) onRenewed(now time.Time, step TableOperation, result keeper.TransactResult) {
	if !result.Committed {
		// Seats that are still ours are renewed again at the next tick.
		l.renewSentAt = time.Time{}
		return
	}
	for i, number := range step.Shards {
		seat := l.seats[number]
		if seat.rowRevision < result.Revision {
			l.ownRow(now, seat, step, i, result.Revision)
		}
		if seat.ownEpoch != step.epochs[i] || !seat.machine.Can("Renewed") {
			continue
		}
		_ = seat.machine.Fire("Renewed")
		seat.adopted = false
		seat.deadline = later(seat.deadline, step.SentAt.Add(l.options.Term))
		seat.granted = nil
	}
}

// ownRow notes that a row now holds what the step wrote.
func (l *Leaser) ownRow(now time.Time, seat *seatState, step TableOperation, index int, revision int64) {
	var row ShardRow
	if err := json.Unmarshal(step.Transaction.Writes[index].Value, &row); err != nil {
		panic(err)
	}
	seat.row = row
	seat.rowRevision = revision
	seat.seenAt = now
}

// onConflicts takes in the rows that a failed transaction met.
func (l *Leaser) onConflicts(now time.Time, step TableOperation, conflicts []keeper.Row) {
	for _, row := range conflicts {
		for _, number := range step.Shards {
			if row.Key == l.seatKey(number) && row.Revision > 0 {
				_ = l.onSeatRow(now, number, row)
			}
		}
		if row.Key == l.memberKey(l.options.Self) {
			l.registered = 0
		}
	}
}

func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}
