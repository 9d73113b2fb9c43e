package dispatcher

import (
	"context"
	"time"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// That the store has no row of a job does not say that there will be none: a write whose
// response was lost may be performed seconds later, if its condition still holds. So a
// cancellation that finds no job stores a tombstone in the job's row before it is
// answered. The late write then finds its condition gone. A request that submits the job
// later stores it as a cancelled one.
//
// Tombstones are removed after tombstoneRetention. Callers can cancel any ID, so each entry
// stores a limited number in that time.

const (
	// tombstoneRetention is how long a tombstone is kept after an owner has seen it: much
	// longer than any request or write may be under way.
	tombstoneRetention = time.Minute
	// maxTombstones is how many tombstones an entry stores at once, and again in each
	// tombstoneRetention.
	maxTombstones = 512
)

// Cancel stores a cancellation of a job. It returns OutcomeDone without storing
// anything if the job has ended. It returns OutcomeNotFound if there is no such job, and
// none that is being stored at this moment will ever run.
func (d *Dispatcher) Cancel(ctx context.Context, id requester.JobID) Outcome {
	state, buried, outcome := d.lookUp(ctx, id)
	switch {
	case outcome == OutcomeNotFound && !buried:
		return d.bury(ctx, id)
	case outcome != OutcomeDone || state.State.Ended():
		return outcome
	}
	return d.storeCancellation(ctx, id)
}

// storeCancellation stores the cancellation of a job that is stored.
func (d *Dispatcher) storeCancellation(ctx context.Context, id requester.JobID) Outcome {
	if !d.storeReachable() {
		return OutcomeUnavailable
	}
	key := scheduler.CancelKey(id)
	_, outcome := d.transact(ctx, scheduler.JobPartition(id), keeper.Transaction{
		Conditions: []keeper.Condition{{Key: key}},
		Writes:     []keeper.Write{{Key: key, Value: []byte{1}}},
	})
	// A conflict means that a cancellation is already stored.
	if outcome == OutcomeDone {
		d.notifyOwner(&encoder.JobStored{Cancelled: id})
	}
	return outcome
}

// bury stores a tombstone for a job of which the store has no row. If it has one by now,
// the job is cancelled as usual.
func (d *Dispatcher) bury(ctx context.Context, id requester.JobID) Outcome {
	if !d.storeReachable() {
		return OutcomeUnavailable
	}
	if !d.tombstones.Allow() {
		d.counters.tombstonesDenied.Add(1)
		return OutcomeUnavailable
	}
	key := scheduler.JobKey(id)
	result, outcome := d.transact(ctx, scheduler.JobPartition(id), keeper.Transaction{
		Conditions: []keeper.Condition{{Key: key}},
		Writes:     []keeper.Write{{Key: key, Value: scheduler.EncodeRow(scheduler.Tombstone{CancelledAt: time.Now().UTC()})}},
	})
	if outcome != OutcomeDone {
		return outcome
	}
	if result.Committed {
		d.counters.tombstones.Add(1)
		return OutcomeNotFound
	}
	if stored, _ := conflictingRow(result, key, nil); scheduler.IsTombstone(stored.Value) {
		return OutcomeNotFound
	}
	return d.storeCancellation(ctx, id)
}
