package keeper

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Hedged is a Table that sends a transaction once more where its answer takes
// much longer than usual. The conditions of a transaction make it harmless to
// perform it twice: the second time they don't hold any more.
type Hedged struct {
	Table
	latency Latency
	// failingSince is when sendings began to fail, one after another; zero
	// after one that didn't.
	failingSince atomic.Pointer[time.Time]
}

// Bounds of sending a transaction again.
const (
	// hedgeDelay and hedgeFactor times the usual latency is when it is sent
	// once more, the greater of both.
	hedgeDelay  = 120 * time.Millisecond
	hedgeFactor = 3
	// Each further sending waits three times as long as the one before.
	hedgeGrowth = 3
	// maxAttempts bounds the sendings without an answer.
	maxAttempts = 3
)

// NewHedged returns a table that sends the transactions of another one again.
func NewHedged(table Table) *Hedged { return &Hedged{Table: table} }

// Latency returns how long answers have taken lately.
func (h *Hedged) Latency() time.Duration { return h.latency.Recent() }

// Failing returns for how long every transaction has failed.
func (h *Hedged) FailingFor(now time.Time) time.Duration {
	if since := h.failingSince.Load(); since != nil {
		return now.Sub(*since)
	}
	return 0
}

// Transact implements Table. The first answer counts. An error is ErrNotApplied
// only where every sending is proven not to have been done.
func (h *Hedged) Transact(ctx context.Context, transaction Transaction) (TransactResult, error) {
	result, err := h.transact(ctx, transaction)
	if err == nil {
		h.failingSince.Store(nil)
	} else {
		now := time.Now()
		h.failingSince.CompareAndSwap(nil, &now)
	}
	return result, err
}

// attempt is what came of one sending.
type attempt struct {
	result TransactResult
	err    error
	took   time.Duration
}

func (h *Hedged) transact(ctx context.Context, transaction Transaction) (TransactResult, error) {
	attempts := make(chan attempt, maxAttempts)
	send := func() {
		sentAt := time.Now()
		result, err := h.Table.Transact(ctx, transaction)
		attempts <- attempt{result, err, time.Since(sentAt)}
	}
	sent, open := 0, 0
	wait := max(hedgeDelay, hedgeFactor*h.Latency())
	var failure error
	for {
		if sent < maxAttempts {
			sent++
			open++
			go send()
		}
		timer := time.NewTimer(wait)
		select {
		case got := <-attempts:
			timer.Stop()
			open--
			if got.err == nil {
				h.latency.Observe(got.took)
				got.result.Resent = sent > 1
				return got.result, nil
			}
			failure = worse(failure, got.err)
			if open == 0 {
				return TransactResult{}, failure
			}
			sent = maxAttempts
		case <-timer.C:
			if sent == maxAttempts {
				// Those that are open end with the context at the latest.
				return h.last(attempts, open, failure)
			}
			wait *= hedgeGrowth
		}
	}
}

// last waits for the sendings that are open.
func (h *Hedged) last(attempts <-chan attempt, open int, failure error) (TransactResult, error) {
	for range open {
		got := <-attempts
		if got.err == nil {
			h.latency.Observe(got.took)
			got.result.Resent = true
			return got.result, nil
		}
		failure = worse(failure, got.err)
	}
	return TransactResult{}, failure
}

// worse returns the error that leaves more open.
func worse(a, b error) error {
	if a == nil || errors.Is(a, ErrNotApplied) {
		return b
	}
	return a
}
