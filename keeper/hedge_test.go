package keeper

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// slowTable answers each sending after a time of its own, or never.
type slowTable struct {
	fakeTable
	// answers are the times of the sendings in turn; 0 means never.
	answers []time.Duration
	// err is what a sending that is answered fails with.
	err  error
	sent int
}

func (t *slowTable) Transact(ctx context.Context, transaction Transaction) (TransactResult, error) {
	wait := t.answers[min(t.sent, len(t.answers)-1)]
	t.sent++
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

func TestHedged(t *testing.T) {
	const fast, slow = 5 * time.Millisecond, time.Second
	tests := []struct {
		name    string
		answers []time.Duration
		err     error
		sent    int
		took    time.Duration
		resent  bool
		notDone bool
	}{
		{name: "fast", answers: []time.Duration{fast}, sent: 1, took: fast},
		{name: "first answer lost", answers: []time.Duration{0, fast}, sent: 2, took: hedgeDelay + fast, resent: true},
		{name: "slow for all", answers: []time.Duration{slow}, sent: 3, took: slow, resent: true},
		{name: "two answers lost", answers: []time.Duration{0, 0, fast}, sent: 3, took: 4*hedgeDelay + fast, resent: true},
		{name: "turned away", answers: []time.Duration{fast}, err: ErrNotApplied, sent: 1, took: fast, notDone: true},
		{name: "never an answer", answers: []time.Duration{0}, sent: 3, took: 3 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := &slowTable{answers: test.answers, err: test.err}
				table.rows = make(map[string]Row)
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
				defer cancel()
				start := time.Now()
				result, err := NewHedged(table).Transact(ctx, insert("a", "x"))
				is.Equal(time.Since(start), test.took)
				is.Equal(table.sent, test.sent)
				is.Equal(result.Resent, test.resent)
				is.Equal(errors.Is(err, ErrNotApplied), test.notDone)
				is.Equal(len(table.rows), 1)
				cancel()
				time.Sleep(2 * slow) // the other sending ends too
			})
		})
	}
}
