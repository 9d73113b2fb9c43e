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

// Outcome is the outcome of a request about a job.
type Outcome int

// The outcomes of requests.
const (
	// OutcomeDone means that the request took effect: the job or its
	// cancellation is stored, or the state was found.
	OutcomeDone Outcome = iota
	// OutcomeUnavailable means that the store is unavailable and the request
	// has had and will have no effect.
	OutcomeUnavailable
	// OutcomeUnknown means that the request may have taken effect, or may still
	// do so.
	OutcomeUnknown
	// OutcomeNotFound means that no such job is known.
	OutcomeNotFound
	// OutcomeInvalid means that the store refuses the request as invalid, so that it
	// has had and will have no effect.
	OutcomeInvalid
)

// acceptTimeout bounds the attempts to store one request; twice the read
// latency is added to it. After that time, the caller has better chances at
// another entry.
const acceptTimeout = 1200 * time.Millisecond

// If every transaction has failed for failingAfter, failingTimeout bounds the
// attempts to store one request. These attempts still detect that the store is
// available again.
const (
	failingAfter   = 300 * time.Millisecond
	failingTimeout = 60 * time.Millisecond
)

// CheckRows checks that the store can hold the rows of a job, whatever happens to its
// tasks. The error names the field that is too large.
func (d *Dispatcher) CheckRows(job *scheduler.Job) *requester.FieldError {
	return job.CheckRows(d.options.RowBytes)
}

// Submit stores a job. If there is a job with the same ID already, Submit
// leaves it unchanged and returns OutcomeDone. A job that was cancelled before is stored
// as a cancelled one.
func (d *Dispatcher) Submit(ctx context.Context, job scheduler.Job) Outcome {
	outcome := d.submit(ctx, job)
	if outcome == OutcomeUnknown {
		d.doubts.add(job.JobID, d.clock.Now())
	}
	if outcome == OutcomeUnavailable && d.doubts.has(job.JobID, d.clock.Now()) {
		// This request has no effect, but an earlier one still may.
		return OutcomeUnknown
	}
	return outcome
}

func (d *Dispatcher) submit(ctx context.Context, job scheduler.Job) Outcome {
	if _, known := d.cache.state(job.JobID); known {
		return OutcomeDone
	}
	if !d.storeReachable() {
		return OutcomeUnavailable
	}
	job.AcceptedAt = time.Now().UTC().Truncate(time.Millisecond)
	key := scheduler.JobKey(job.JobID)
	transaction := keeper.Transaction{
		Conditions: []keeper.Condition{{Key: key}},
		Writes:     []keeper.Write{{Key: key, Value: scheduler.EncodeJob(job)}},
	}
	result, outcome := d.transact(ctx, scheduler.JobPartition(job.JobID), transaction)
	if outcome == OutcomeDone && !result.Committed {
		stored, _ := conflictingRow(result, key, nil)
		if !scheduler.IsTombstone(stored.Value) {
			return OutcomeDone
		}
		// It was cancelled before, and is accepted as a cancelled one.
		job.Cancelled = true
		transaction.Conditions[0].Revision = stored.Revision
		transaction.Writes[0].Value = scheduler.EncodeJob(job)
		result, outcome = d.transact(ctx, scheduler.JobPartition(job.JobID), transaction)
	}
	if outcome != OutcomeDone {
		return outcome
	}
	if result.Committed {
		d.cacheQueued(job.JobID, job.Queue, job.Occurrences > 0, result.Revision)
		d.notifyOwner(&encoder.JobStored{Job: job})
	}
	return OutcomeDone
}

// cacheQueued caches a stored job as queued, as no owner has stored its state
// yet.
func (d *Dispatcher) cacheQueued(id requester.JobID, queue string, timed bool, revision int64) {
	value := scheduler.EncodeRow(scheduler.StateRow{Queue: queue, State: scheduler.StateQueued, Timed: timed})
	d.applyChange(Change{Row: keeper.Row{Key: scheduler.StateKey(id), Value: value, Revision: revision}})
}

// requestTimeout returns how long a request may be attempted. It is short while
// every transaction fails, so that the caller gets the failure at once.
func (d *Dispatcher) requestTimeout() time.Duration {
	if d.store.FailingFor(time.Now()) > failingAfter {
		return failingTimeout
	}
	return acceptTimeout + 2*d.storeLatency()
}

// reply is the answer to a transaction.
type reply struct {
	result keeper.TransactResult
	err    error
}

// transact runs a transaction in a partition of the jobs. The outcome is
// OutcomeDone if the store has decided it, also if there was a conflict. If ctx ends
// first, the transaction may still be applied; watches of the store show it then.
func (d *Dispatcher) transact(ctx context.Context, partition int, transaction keeper.Transaction) (keeper.TransactResult, Outcome) {
	if ctx.Err() != nil {
		return keeper.TransactResult{}, OutcomeUnavailable // nothing has been sent
	}
	deadline := time.Now().Add(d.requestTimeout())
	if limit, ok := ctx.Deadline(); ok && limit.Before(deadline) {
		deadline = limit
	}
	replies := make(chan reply, 1)
	d.jobWriters[partition].Transact(transaction, deadline, func(result keeper.TransactResult, err error) {
		replies <- reply{result, err}
	})
	received := awaitReply(ctx, replies)
	switch {
	case received.err == nil:
		return received.result, OutcomeDone
	case errors.Is(received.err, keeper.ErrUnresolved):
		return received.result, OutcomeUnknown
	case errors.Is(received.err, keeper.ErrInvalid):
		d.log.Error().Str("Event", "request refused").Err(received.err).Msg("the store refuses to store a request as invalid; its caller is told")
		return received.result, OutcomeInvalid
	default:
		return received.result, OutcomeUnavailable
	}
}

// awaitReply returns the answer to a transaction, or one that is keeper.ErrUnresolved if
// there is none when ctx ends.
func awaitReply(ctx context.Context, replies <-chan reply) reply {
	select {
	case received := <-replies:
		return received
	case <-ctx.Done():
	}
	select {
	case received := <-replies:
		return received // it came at the same time, and says more
	default:
		return reply{err: errors.Mark(errors.Wrap(ctx.Err(), "wait for the store"), keeper.ErrUnresolved)}
	}
}

// State returns the state of a job. It reads the store if the job is not in the
// state cache.
func (d *Dispatcher) State(ctx context.Context, id requester.JobID) (scheduler.StateRow, Outcome) {
	row, _, outcome := d.lookUp(ctx, id)
	return row, outcome
}

// lookUp returns the state of a job or, if there is none, whether the store has a
// tombstone for it.
func (d *Dispatcher) lookUp(ctx context.Context, id requester.JobID) (row scheduler.StateRow, buried bool, outcome Outcome) {
	if row, ok := d.cache.state(id); ok {
		return row, false, OutcomeDone
	}
	// Another entry may have just accepted the job.
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	result, err := d.platform.Read(ctx, keeper.ReadRequest{Keys: []string{scheduler.JobKey(id), scheduler.StateKey(id)}})
	if err != nil {
		return row, false, OutcomeUnavailable
	}
	for _, found := range result.Rows {
		if found.Key == scheduler.StateKey(id) {
			d.applyChange(Change{Row: found})
			continue
		}
		if scheduler.IsTombstone(found.Value) {
			buried = true
			continue
		}
		job, err := decodeJob(found.Key, found.Value)
		if err != nil {
			d.logOddRow(found.Key, err, "decoding the row of a job failed; its state is reported as unavailable")
			return row, false, OutcomeUnavailable
		}
		d.cacheQueued(id, job.Queue, job.Occurrences > 0, found.Revision)
	}
	row, known := d.cache.state(id)
	if !known {
		return row, buried, OutcomeNotFound
	}
	return row, false, OutcomeDone
}

// Pending returns the number of pending jobs of a queue: those of which no task
// has started yet, without jobs that have occurrences at set times.
func (d *Dispatcher) Pending(queue string) int { return d.cache.pendingCount(queue) }

// RetryAfter returns how long a refused caller should wait before it retries.
// The wait may be short: while the store is unavailable, a retry is refused
// without delay, and the entry itself contacts the store continuously.
func (d *Dispatcher) RetryAfter() time.Duration { return time.Second }
