package keeper

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// slowTable delays or drops the response to each attempt.
type slowTable struct {
	fakeTable
	// delays holds the response times of the attempts in order; the last one
	// applies to all further attempts, and 0 means no response.
	delays []time.Duration
	// err is the error that attempts with a response return; nil for none.
	err  error
	sent atomic.Int64
}

// nextDelay returns the response time of the next attempt.
func (t *slowTable) nextDelay() time.Duration {
	attempt := int(t.sent.Add(1))
	return t.delays[min(attempt, len(t.delays))-1]
}

func (t *fakeTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.rows)
}

func (t *slowTable) Transact(ctx context.Context, transaction Transaction) (TransactResult, error) {
	wait := t.nextDelay()
	result, err := t.fakeTable.Transact(ctx, transaction)
	if wait == 0 {
		<-ctx.Done()
		return TransactResult{}, ctx.Err()
	}
	time.Sleep(wait)
	if t.err != nil {
		return TransactResult{}, t.err
	}
	return result, err
}

// TestHedged checks when further attempts are sent, that the first response is
// returned, and that the error is ErrNotApplied after a rejection but not if there
// was no response.
func TestHedged(t *testing.T) {
	const fast, slow = 5 * time.Millisecond, time.Second
	tests := []struct {
		name       string
		delays     []time.Duration
		err        error
		sent       int
		took       time.Duration
		resent     bool
		notApplied bool
	}{
		{name: "fast", delays: []time.Duration{fast}, sent: 1, took: fast},
		{name: "no first response", delays: []time.Duration{0, fast}, sent: 2, took: minHedgeDelay + fast, resent: true},
		{name: "all attempts slow", delays: []time.Duration{slow}, sent: 3, took: slow, resent: true},
		{name: "no first and second response", delays: []time.Duration{0, 0, fast}, sent: 3, took: 4*minHedgeDelay + fast, resent: true},
		{name: "rejected", delays: []time.Duration{fast}, err: ErrNotApplied, sent: 1, took: fast, notApplied: true},
		{name: "no response", delays: []time.Duration{0}, sent: 3, took: 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := &slowTable{delays: test.delays, err: test.err}
				table.rows = make(map[string]Row)
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				start := time.Now()
				result, err := NewHedged(table).Transact(ctx, insert("a", "x"))
				is.Equal(time.Since(start), test.took)
				is.Equal(int(table.sent.Load()), test.sent)
				is.Equal(result.Resent, test.resent)
				is.Equal(errors.Is(err, ErrNotApplied), test.notApplied)
				is.Equal(table.size(), 1)
				cancel()
				time.Sleep(2 * slow) // wait for the other attempts to end
			})
		})
	}
}
