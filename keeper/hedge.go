package keeper

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Hedged is a Table that hedges the transactions of another one: it sends a
// transaction again if the response takes much longer than usual. The conditions
// of a transaction make this harmless: once it has been applied, they no longer
// hold.
type Hedged struct {
	Table
	latency Latency
	// failingSince is the time of the first of the consecutive failed
	// transactions; nil after one that did not fail.
	failingSince atomic.Pointer[time.Time]
}

const (
	// The second attempt is sent after hedgeFactor times the recent latency, but
	// not before minHedgeDelay.
	minHedgeDelay = 120 * time.Millisecond
	hedgeFactor   = 3
	// hedgeGrowth multiplies the delay before each further attempt.
	hedgeGrowth = 3
	// maxAttempts bounds the attempts of a transaction.
	maxAttempts = 3
)

// NewHedged returns a Table that hedges the transactions of table.
func NewHedged(table Table) *Hedged { return &Hedged{Table: table} }

// Latency returns the recent latency of successful attempts.
func (h *Hedged) Latency() time.Duration { return h.latency.Recent() }

// FailingFor returns the time since the first of the consecutive failed
// transactions; 0 if the last one did not fail.
func (h *Hedged) FailingFor(now time.Time) time.Duration {
	if since := h.failingSince.Load(); since != nil {
		return now.Sub(*since)
	}
	return 0
}

// Transact implements Table. It returns the first successful response. After a
// failed attempt it sends no further one, but waits for those in flight. Its error
// is ErrNotApplied only if every attempt is proven not to have been applied.
func (h *Hedged) Transact(ctx context.Context, transaction Transaction) (TransactResult, error) {
	result, err := h.transact(ctx, transaction)
	if err == nil || errors.Is(err, ErrInvalid) {
		h.failingSince.Store(nil)
	} else {
		now := time.Now()
		h.failingSince.CompareAndSwap(nil, &now)
	}
	return result, err
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	result TransactResult
	err    error
	took   time.Duration
}

func (h *Hedged) transact(ctx context.Context, transaction Transaction) (TransactResult, error) {
	results := make(chan attemptResult, maxAttempts)
	first := time.Now()
	send := func(ctx context.Context, attempt int) {
		sentAt := time.Now()
		if attempt > 1 {
			ctx = WithFirstSent(ctx, first)
		}
		result, err := h.Table.Transact(ctx, transaction)
		results <- attemptResult{result, err, time.Since(sentAt)}
	}
	sent, inFlight := 0, 0
	wait := max(minHedgeDelay, hedgeFactor*h.Latency())
	var failure error
	for {
		if sent < maxAttempts {
			sent++
			inFlight++
			go send(ctx, sent)
		}
		timer := time.NewTimer(wait)
		select {
		case got := <-results:
			timer.Stop()
			inFlight--
			if got.err == nil {
				h.latency.Observe(got.took)
				got.result.Resent = sent > 1
				return got.result, nil
			}
			failure = lessCertain(failure, got.err)
			if inFlight == 0 {
				return TransactResult{}, failure
			}
			sent = maxAttempts
		case <-timer.C:
			if sent == maxAttempts {
				// The attempts in flight end with the context at the latest.
				return h.awaitInFlight(results, inFlight, failure)
			}
			wait *= hedgeGrowth
		}
	}
}

// firstSentKey is the key of WithFirstSent.
type firstSentKey struct{}

// WithFirstSent marks a further attempt of a request whose first one was sent at
// the given time. The connection of the first may be silent, and then those that
// are as old may be as well: a further attempt uses a connection that was opened
// later.
func WithFirstSent(ctx context.Context, at time.Time) context.Context {
	return context.WithValue(ctx, firstSentKey{}, at)
}

// FirstSent returns the time that WithFirstSent has set; 0 for a first attempt.
func FirstSent(ctx context.Context) time.Time {
	at, _ := ctx.Value(firstSentKey{}).(time.Time)
	return at
}

// awaitInFlight waits for the attempts in flight and returns the first successful
// response, or else the least certain error.
func (h *Hedged) awaitInFlight(results <-chan attemptResult, inFlight int, failure error) (TransactResult, error) {
	for range inFlight {
		got := <-results
		if got.err == nil {
			h.latency.Observe(got.took)
			got.result.Resent = true
			return got.result, nil
		}
		failure = lessCertain(failure, got.err)
	}
	return TransactResult{}, failure
}

// lessCertain returns the error that proves less: ErrNotApplied proves that an
// attempt was not applied, any other error proves nothing. Of two that prove it, one
// that is also ErrInvalid tells more.
func lessCertain(a, b error) error {
	if errors.Is(a, ErrInvalid) && errors.Is(b, ErrNotApplied) {
		return a
	}
	if a == nil || errors.Is(a, ErrNotApplied) {
		return b
	}
	return a
}
