package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Outcome -trimprefix=Outcome

// Outcome is what became of a request about a job.
type Outcome int

// The outcomes.
const (
	// OutcomeDone: the job is stored, or its cancelling is.
	OutcomeDone Outcome = iota
	// OutcomeUnavailable: nothing was done; the store can't be reached.
	OutcomeUnavailable
	// OutcomeUnknown: it may have been done, or may still be.
	OutcomeUnknown
	// OutcomeNotFound: there is no such job.
	OutcomeNotFound
)

// acceptTimeout bounds how long the store is tried for one request, and some
// more where the store is slow for all. A caller is better off at another entry
// after that.
const acceptTimeout = 1200 * time.Millisecond

// A store that has failed every transaction for failingAfter is tried no longer
// than failingTimeout for one request; that finds out when it is back.
const (
	failingAfter   = 300 * time.Millisecond
	failingTimeout = 60 * time.Millisecond
)

// Submit stores a job. A job of that id that is there already is left as it
// is: the request counts as done.
func (d *Dispatcher) Submit(ctx context.Context, job scheduler.Job) Outcome {
	if _, known := d.board.state(job.JobID); known {
		return OutcomeDone
	}
	if !d.storeInTouch() {
		return OutcomeUnavailable
	}
	job.AcceptedAt = time.Now().UTC().Truncate(time.Millisecond)
	key := scheduler.JobKey(job.JobID)
	transaction := keeper.Transaction{
		Conditions: []keeper.Condition{{Key: key}},
		Writes:     []keeper.Write{{Key: key, Value: scheduler.EncodeRow(job)}},
	}
	result, outcome := d.transact(ctx, scheduler.JobPartition(job.JobID), transaction)
	if outcome != OutcomeDone {
		return outcome
	}
	if result.Committed {
		d.showQueued(job.JobID, job.Queue, job.Occurrences > 0, result.Revision)
		d.tellOwner(&encoder.JobStored{Job: job})
	}
	return OutcomeDone
}

// showQueued shows a stored job whose state no owner has stored yet.
func (d *Dispatcher) showQueued(id requester.JobID, queue string, timed bool, revision int64) {
	value := scheduler.EncodeRow(scheduler.StateRow{Queue: queue, State: scheduler.StateQueued, Timed: timed})
	d.takeRow(Change{Row: keeper.Row{Key: scheduler.StateKey(id), Value: value, Revision: revision}})
}

// patience is how long the store is tried for a request. While it fails every
// transaction, a caller is told so at once.
func (d *Dispatcher) patience() time.Duration {
	if d.store.FailingFor(time.Now()) > failingAfter {
		return failingTimeout
	}
	return acceptTimeout + 2*d.storeLatency()
}

// transact runs a transaction and tells whether its fate is known.
func (d *Dispatcher) transact(ctx context.Context, part int, transaction keeper.Transaction) (keeper.TransactResult, Outcome) {
	deadline := time.Now().Add(d.patience())
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	type answer struct {
		result keeper.TransactResult
		err    error
	}
	answered := make(chan answer, 1)
	d.tables[part].Transact(transaction, deadline, func(result keeper.TransactResult, err error) {
		answered <- answer{result, err}
	})
	got := <-answered
	switch {
	case got.err == nil:
		return got.result, OutcomeDone
	case errors.Is(got.err, keeper.ErrUnresolved):
		return got.result, OutcomeUnknown
	default:
		return got.result, OutcomeUnavailable
	}
}

// Cancel stores that a job is to be cancelled.
func (d *Dispatcher) Cancel(ctx context.Context, id requester.JobID) Outcome {
	state, outcome := d.State(ctx, id)
	if outcome != OutcomeDone || state.State.Ended() {
		return outcome
	}
	if !d.storeInTouch() {
		return OutcomeUnavailable
	}
	key := scheduler.CancelKey(id)
	_, outcome = d.transact(ctx, scheduler.JobPartition(id), keeper.Transaction{
		Conditions: []keeper.Condition{{Key: key}},
		Writes:     []keeper.Write{{Key: key, Value: []byte{1}}},
	})
	// A conflict means that it is marked already.
	if outcome == OutcomeDone {
		d.tellOwner(&encoder.JobStored{Cancelled: id})
	}
	return outcome
}

// State returns where a job stands.
func (d *Dispatcher) State(ctx context.Context, id requester.JobID) (scheduler.StateRow, Outcome) {
	if row, ok := d.board.state(id); ok {
		return row, OutcomeDone
	}
	// It may have been accepted elsewhere a moment ago.
	var row scheduler.StateRow
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	result, err := d.platform.Read(ctx, keeper.ReadRequest{Keys: []string{scheduler.JobKey(id), scheduler.StateKey(id)}})
	if err != nil {
		return row, OutcomeUnavailable
	}
	for _, found := range result.Rows {
		if found.Key == scheduler.StateKey(id) {
			d.takeRow(Change{Row: found})
			continue
		}
		var job scheduler.Job
		if err := scheduler.DecodeRow(found.Value, &job); err != nil {
			d.log.Error().Str("Event", "row").Str("Key", found.Key).Err(err).Msg("row can't be read")
			return row, OutcomeUnavailable
		}
		d.showQueued(id, job.Queue, job.Occurrences > 0, found.Revision)
	}
	row, known := d.board.state(id)
	if !known {
		return row, OutcomeNotFound
	}
	return row, OutcomeDone
}

// Pending returns how many jobs of a queue wait for their first task.
func (d *Dispatcher) Pending(queue string) int { return d.board.pendingOf(queue) }

// RetryAfter is when a refused caller should come back: the store is tried
// again all the time, and a caller who comes early is told so at once.
func (d *Dispatcher) RetryAfter() time.Duration { return time.Second }
