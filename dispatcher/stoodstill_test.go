package dispatcher

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// countingWorkers counts the starts and the polls that are sent.
type countingWorkers struct {
	Platform
	starts, polls int
}

func (w *countingWorkers) Start(context.Context, scheduler.StartOrder) (scheduler.WorkerTime, scheduler.OrderResult) {
	w.starts++
	return 0, scheduler.OrderUnknown
}

func (w *countingWorkers) Poll(context.Context, scheduler.PollOrder, time.Duration) (*scheduler.Report, scheduler.OrderResult) {
	w.polls++
	return nil, scheduler.OrderUnknown
}

// TestPollAfterTheOwnersLease guards against a poll that grants a lease, or acknowledges ends,
// after the time at which a successor counts on the last order of this owner: the entry stood
// still between the decision and the sending.
func TestPollAfterTheOwnersLease(t *testing.T) {
	is := is.New(t)
	workers := new(countingWorkers)
	d := &Dispatcher{
		options: Options{Self: "self"}.withDefaults(), clock: NewClock(), log: zerolog.Nop(), cache: newStateCache(), platform: workers,
		ctx: t.Context(), store: keeper.NewHedged(silentTable{}), linked: make(map[requester.EntryID]linkedEntry),
	}
	row := ownerRow{Holder: "self", Epoch: 1, TermMillis: d.options.OwnerTerm.Milliseconds()}
	for _, test := range []struct {
		acquiredAgo time.Duration
		sent        int
	}{{0, 1}, {time.Minute, 0}} {
		workers.starts, workers.polls = 0, 0
		s := newSession(d, row, 1, d.clock.Now().Add(-test.acquiredAgo), ownerView{})
		s.start(scheduler.StartOrder{})
		s.poll(scheduler.PollOrder{})
		is.Equal(workers.starts, test.sent)
		is.Equal(workers.polls, test.sent)
		is.Equal(len(s.drainMailbox()), 2) // the results, whether sent or not
	}
}
