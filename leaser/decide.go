package leaser

import (
	"encoding/json"
	"time"

	"kumquatstall/keeper"
	"kumquatstall/requester"
)

// Peer is the state of another entry of the data centre, as far as this entry
// knows it.
type Peer struct {
	EntryID requester.EntryID
	// Connected is true if a link to the peer is up and heartbeats arrive.
	Connected bool
	// Refused is true if the peer's address refuses connections, which means
	// that no process listens there.
	Refused bool
	// Incarnation is the newest known incarnation.
	Incarnation int64
	// Draining is true if the peer is shutting down gracefully.
	Draining bool
	// MayAcquire is true if the peer could acquire a vacant shard.
	MayAcquire bool
	// HeartbeatReceived is true if that incarnation has sent a heartbeat to this
	// entry, and so knows of it.
	HeartbeatReceived bool
}

// Purpose is what a TableOperation does.
type Purpose int

// The purposes of operations.
const (
	PurposeRegister Purpose = iota
	PurposeRenew
	PurposeAcquire
	PurposeRelease
	// PurposeUnregister removes the registration of this entry, or of one
	// that is proven dead.
	PurposeUnregister
)

// TableOperation is a table transaction to send. Its result is passed to
// OnResult.
type TableOperation struct {
	Purpose     Purpose
	Transaction keeper.Transaction
	// Shards are the shards whose rows the transaction writes.
	Shards []int
	SentAt time.Time
	// Deadline is the time after which a commit has no use.
	Deadline time.Time
	// epochs are the epochs that the transaction writes, in the order of
	// Shards.
	epochs []int64
}

// Decision is the result of Tick: the transactions and requests to send.
type Decision struct {
	Operations []TableOperation
	// GrantRequests are sent to each of GrantRecipients.
	GrantRequests   []GrantRequest
	GrantRecipients []requester.EntryID
}

// Tick expires leases and decides at now which transactions and requests to
// send. peers are the other known entries of the data centre.
func (l *Leaser) Tick(now time.Time, peers []Peer) Decision {
	var decision Decision
	l.expireLeases(now)
	if l.registeredRevision == 0 {
		if !l.draining && !l.registerInFlight && !l.lastReadAt.IsZero() && !l.StoreDown(now) {
			decision.Operations = append(decision.Operations, l.register(now))
		}
		return decision
	}
	if operation, ok := l.renew(now); ok {
		decision.Operations = append(decision.Operations, operation)
	}
	l.updateContact(now, peers)
	if !l.draining && !l.StoreDown(now) && !l.contactedAt.IsZero() {
		decision.Operations = append(decision.Operations, l.acquisitions(now, peers)...)
	}
	l.extendLeases(now, peers, &decision)
	return decision
}

// expireLeases drops the shards whose lease has expired.
func (l *Leaser) expireLeases(now time.Time) {
	for _, shard := range l.shards {
		if shard.machine.In("Held", "Extended", "Releasing") && !now.Before(shard.deadline) {
			shard.dropLease("Lapse")
		}
	}
}

// register returns the transaction that writes the own member row.
func (l *Leaser) register(now time.Time) TableOperation {
	l.registerInFlight = true
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

// renewalsPerTerm is the number of renewals sent in a lease term.
const renewalsPerTerm = 3

// renew returns the transaction that renews all held shards, if one is due and
// none is in flight. The leases count from now.
func (l *Leaser) renew(now time.Time) (TableOperation, bool) {
	if l.renewalInFlight || now.Sub(l.renewSentAt) < l.options.Term/renewalsPerTerm {
		return TableOperation{}, false
	}
	operation := TableOperation{Purpose: PurposeRenew, SentAt: now, Deadline: now.Add(l.options.Term)}
	for number, shard := range l.shards {
		if !shard.machine.In("Held", "Extended", "Releasing") {
			continue
		}
		row := l.ownRow(now, shard.ownEpoch)
		key := l.shardKey(number)
		operation.Transaction.Conditions = append(operation.Transaction.Conditions, keeper.Condition{Key: key, Revision: shard.rowRevision})
		operation.Transaction.Writes = append(operation.Transaction.Writes, keeper.Write{Key: key, Value: mustMarshal(row)})
		operation.Shards = append(operation.Shards, number)
		operation.epochs = append(operation.epochs, shard.ownEpoch)
	}
	if len(operation.Shards) == 0 {
		return TableOperation{}, false
	}
	l.renewalInFlight = true
	l.renewSentAt = now
	return operation, true
}

// ownRow returns the row of a shard that this entry holds under the epoch by a
// lease that starts at now.
func (l *Leaser) ownRow(now time.Time, epoch int64) ShardRow {
	return ShardRow{
		Holder:          l.options.Self,
		Incarnation:     l.options.Incarnation,
		Address:         l.options.Address,
		Epoch:           epoch,
		Deadline:        now.Add(l.options.Term),
		MembersRevision: l.membersRevision,
	}
}

// OnResult applies the result of an operation. If err is not nil, there is no
// result: the transaction has not committed and never will if resolved is true,
// and may have committed or still commit otherwise.
func (l *Leaser) OnResult(now time.Time, operation TableOperation, result keeper.TransactResult, err error, resolved bool) {
	switch operation.Purpose {
	case PurposeRegister:
		l.registerInFlight = false
		if err == nil && result.Committed {
			l.registeredRevision = result.Revision
		}
	case PurposeRenew:
		l.renewalInFlight = false
		if err == nil {
			l.onRenewResult(now, operation, result)
		}
	case PurposeAcquire:
		l.onAcquireResult(now, operation, result, err, resolved)
	case PurposeRelease, PurposeUnregister:
	}
	if err == nil && !result.Committed {
		l.onConflicts(now, operation, result.Conflicts)
	}
}

// onRenewResult handles the result of a renewal that committed or was rejected.
func (l *Leaser) onRenewResult(now time.Time, operation TableOperation, result keeper.TransactResult) {
	if !result.Committed {
		// One changed row fails the renewal of all. The next tick renews the
		// shards that are still held.
		l.renewSentAt = time.Time{}
		return
	}
	for i, number := range operation.Shards {
		shard := l.shards[number]
		if shard.rowRevision < result.Revision {
			l.recordOwnRow(now, shard, operation, i, result.Revision)
		}
		if shard.ownEpoch != operation.epochs[i] || !shard.machine.Can("Renewed") {
			continue
		}
		_ = shard.machine.Fire("Renewed")
		shard.takenOver = false
		shard.deadline = later(shard.deadline, operation.SentAt.Add(l.options.Term))
		shard.grantsReceived = nil
	}
}

// recordOwnRow records the row that a committed operation has written for the
// shard at index.
func (l *Leaser) recordOwnRow(now time.Time, shard *shardState, operation TableOperation, index int, revision int64) {
	var row ShardRow
	if err := json.Unmarshal(operation.Transaction.Writes[index].Value, &row); err != nil {
		panic(err)
	}
	shard.row = row
	shard.rowRevision = revision
	shard.rowReadAt = now
}

// onConflicts applies the current rows that made the conditions of a
// transaction fail.
func (l *Leaser) onConflicts(now time.Time, operation TableOperation, conflicts []keeper.Row) {
	for _, row := range conflicts {
		for _, number := range operation.Shards {
			if row.Key == l.shardKey(number) && row.Revision > 0 {
				_ = l.onShardRow(now, number, row)
			}
		}
		if row.Key == l.memberKey(l.options.Self) {
			l.registeredRevision = 0
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
