package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kumquatstall/keeper"
	"kumquatstall/requester"
)

// silentTable is a table whose transactions receive no response.
type silentTable struct{ keeper.Table }

func (silentTable) Transact(ctx context.Context, _ keeper.Transaction) (keeper.TransactResult, error) {
	<-ctx.Done()
	return keeper.TransactResult{}, errors.Wrap(ctx.Err(), "no response received")
}

// TestLeaseUnderAShorterTerm guards against an owner that goes on under the long
// term of its last known row although a row with a shorter term, to which it has
// received no response, may be the one that its successor relies on.
func TestLeaseUnderAShorterTerm(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	d := &Dispatcher{
		options: Options{Self: "self"}.withDefaults(), clock: NewClock(), log: zerolog.Nop(), cache: newStateCache(),
		ctx: ctx, store: keeper.NewHedged(silentTable{}), linked: make(map[requester.EntryID]linkedEntry),
	}
	long := ownerRow{Holder: "self", Epoch: 1, TermMillis: maxOwnerTerm.Milliseconds()}
	s := newSession(d, long, 1, d.clock.Now(), ownerView{})
	now := d.clock.Now().Add(time.Second)
	s.commit(now)
	cancel()
	s.group.Wait()
	is.True(s.commitInFlight)
	is.True(!s.leaseValidUntil.After(now.Add(d.options.OwnerTerm)))
}
