package dispatcher

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"kumquatstall/keeper"
	"kumquatstall/scheduler"
)

// manualClock is a Clock that a test sets.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// TestOwnerRowStaysEager guards against an owner's row that says that no step was
// started without a record while the owner may still be told of a job that an
// eager predecessor has started so.
func TestOwnerRowStaysEager(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC)}
	d := &Dispatcher{clock: clock, ctx: context.Background(), store: keeper.NewHedged(nil)}
	previous := ownerRow{Epoch: 1, Eager: true, TermMillis: 3000}
	s := newSession(d, ownerRow{Epoch: 2, Eager: true, TermMillis: 3000}, 5, clock.now, ownerView{row: previous})
	is.True(s.nextEager()) // not loaded
	s.loaded = true
	is.True(!s.core.Dirty())
	is.True(s.nextEager())
	clock.now = clock.now.Add(previous.term() + ownerSafetyMargin)
	s.core.StoreReached(clock.now, 9)
	is.True(s.nextEager()) // the jobs are known up to an earlier revision only
	s.core.JobsKnown(9)
	is.True(s.nextEager()) // the core has not compared them with what its workers run
	s.core.Tick(clock.now)
	is.True(!s.nextEager())
}

// TestCommitTellsWhatWasStoredBefore guards against a commit that counts as
// proof of what was stored while it was under way: its revision is higher only
// than that of what was stored before it was sent.
func TestCommitTellsWhatWasStoredBefore(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC)}
	d := &Dispatcher{clock: clock, ctx: context.Background(), store: keeper.NewHedged(nil)}
	previous := ownerRow{Epoch: 1, Eager: true, TermMillis: 3000}
	s := newSession(d, ownerRow{Epoch: 2, Eager: true, TermMillis: 3000}, 5, clock.now, ownerView{row: previous})
	s.loaded = true
	commit := func(revision int64) {
		sentAt := clock.now
		clock.now = clock.now.Add(previous.term() + ownerSafetyMargin)
		s.commitDone(&pendingCommit{next: s.row, batch: &scheduler.Batch{}, sentAt: sentAt}, revision, true)
		s.core.JobsKnown(revision)
		s.core.Tick(clock.now)
	}
	commit(9)
	is.True(s.nextEager()) // the predecessor's term was not over when it was sent
	commit(10)
	is.True(!s.nextEager())
}

// TestSlowStoreMakesNoOwnerEager guards against an owner that starts tasks before a list names
// them, as the store is slow: its successor would hold all tasks back for up to 16 s.
func TestSlowStoreMakesNoOwnerEager(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := keeper.NewHedged(slowTable{takes: time.Second})
		_, err := store.Transact(t.Context(), keeper.Transaction{})
		is.NoErr(err)
		is.True(store.Latency() >= time.Second)
		d := &Dispatcher{clock: NewClock(), ctx: t.Context(), store: store}
		s := newSession(d, ownerRow{Epoch: 2, TermMillis: 3000}, 5, time.Now(), ownerView{row: ownerRow{Epoch: 1, TermMillis: 3000}})
		is.True(!s.nextEager()) // not loaded
		s.loaded = true
		is.True(!s.nextEager())
		s.core.Add(time.Now(), scheduler.Job{JobID: "0123456789abcdef", Steps: []scheduler.Step{{Count: 1}}})
		is.True(!s.nextEager())     // its rows are not in a batch
		time.Sleep(5 * time.Second) // until the attempts in flight have ended
	})
}

// slowTable is a table whose transactions take a while.
type slowTable struct {
	keeper.Table
	takes time.Duration
}

func (t slowTable) Transact(context.Context, keeper.Transaction) (keeper.TransactResult, error) {
	time.Sleep(t.takes)
	return keeper.TransactResult{Committed: true}, nil
}
