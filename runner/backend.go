package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"kumquatstall/decider"
	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/meter"
	"kumquatstall/requester"
	"kumquatstall/tuner"
)

// deliver passes a result to the goroutine that waits for it in postAndAwait.
func (e *Entry) deliver(token uint64, result any) {
	if waiter, ok := e.waiters.LoadAndDelete(token); ok {
		waiter.(chan any) <- result
	}
}

// postAndAwait posts an event and waits for the core's reply to it. If the
// context ends first, the core is notified that the caller no longer waits.
func postAndAwait[T any](ctx context.Context, e *Entry, event func(token uint64) decider.Event) (T, error) {
	var zero T
	token := e.lastToken.Add(1)
	waiter := make(chan any, 1)
	e.waiters.Store(token, waiter)
	e.mailbox.post(event(token))
	select {
	case result := <-waiter:
		return result.(T), nil
	case <-ctx.Done():
		e.waiters.Delete(token)
		e.mailbox.post(decider.CallerDisconnected{Token: token})
		return zero, errors.Wrap(ctx.Err(), "wait for the reply of the core")
	case <-e.done:
		return zero, errors.New("wait for the reply of the core: entry has stopped")
	}
}

// Call implements server.Backend.
func (e *Entry) Call(ctx context.Context, call requester.Call) (requester.Answer, error) {
	arrivedAt := time.Now()
	answer, err := postAndAwait[requester.Answer](ctx, e, func(token uint64) decider.Event {
		return decider.CallArrived{Token: token, Call: call}
	})
	if err == nil && answer.Reason != requester.ReasonInvalid {
		e.meter.Observe(&call, &answer, arrivedAt, time.Now(), e.config.Load().target(call.Service))
	}
	return answer, err
}

// ChangeConfig implements server.Backend.
func (e *Entry) ChangeConfig(ctx context.Context, item tuner.Item, expected int64, by string) (decider.ReplyConfig, error) {
	changeID := uuid.NewString()
	return postAndAwait[decider.ReplyConfig](ctx, e, func(token uint64) decider.Event {
		return decider.ConfigChangeRequested{Token: token, Item: item, Expected: expected, ChangeID: changeID, By: by}
	})
}

// Jobs implements server.Backend.
func (e *Entry) Jobs(ctx context.Context, action encoder.JobAction, job requester.Job) (encoder.JobReply, error) {
	return postAndAwait[encoder.JobReply](ctx, e, func(token uint64) decider.Event {
		return decider.JobActionRequested{Token: token, Action: action, Job: job}
	})
}

// History implements server.Backend.
func (e *Entry) History(ctx context.Context) ([]tuner.Change, error) {
	type outcome struct {
		result keeper.ReadResult
		err    error
	}
	results := make(chan outcome, 1)
	deadline := time.Now().Add(historyTimeout)
	e.table.Read(keeper.ReadRequest{Prefixes: []string{tuner.HistoryPrefix}}, deadline, func(result keeper.ReadResult, err error) {
		results <- outcome{result, err}
	})
	select {
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "read configuration history")
	case got := <-results:
		if got.err != nil {
			return nil, errors.Wrap(got.err, "read configuration history")
		}
		return tuner.DecodeHistory(got.result.Rows)
	}
}

// historyTimeout bounds a read of the configuration history.
const historyTimeout = 3 * time.Second

// Items implements server.Backend.
func (e *Entry) Items(kind tuner.ItemKind) []tuner.Item { return e.config.Load().items[kind] }

// Burn implements server.Backend.
func (e *Entry) Burn() []meter.Burn { return e.meter.Report(time.Now()) }

// Vars implements server.Backend.
func (e *Entry) Vars() string { return e.vars.String() }
