package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/decider"
	"kumquatstall/keeper"
)

// tickInterval is the interval of Tick events, which drive the core's timers.
const tickInterval = 50 * time.Millisecond

// viewInterval is the shortest time between two updates of the snapshots.
const viewInterval = 100 * time.Millisecond

// control is the body of the control goroutine, the only one that uses the core.
func (e *Entry) control() {
	defer close(e.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var events []decider.Event
	var viewStoredAt time.Time
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
			e.handle(decider.Tick{})
		case <-e.mailbox.signal:
			events = e.mailbox.swap(events)
			for i, event := range events {
				e.handle(event)
				events[i] = nil
			}
		}
		if now := time.Now(); now.Sub(viewStoredAt) >= viewInterval {
			viewStoredAt = now
			e.view.Store(e.core.View(now))
			if version := e.core.Config().Version(); version != e.config.Load().version {
				e.config.Store(newConfigSnapshot(e.core.Config()))
			}
		}
	}
}

// handle passes an event to the core and executes the resulting commands.
func (e *Entry) handle(event decider.Event) {
	for _, command := range e.core.Handle(time.Now(), event) {
		e.execute(command)
	}
}

// execute executes a command without blocking. The result, if there is one, is
// posted as an event.
func (e *Entry) execute(command decider.Command) {
	switch command := command.(type) {
	case decider.Send:
		e.linker.Send(command.To, command.Message)
	case decider.DialPeers:
		e.linker.Dial(command.Peers)
	case decider.DropPeer:
		e.log.Warn().Str("Peer", string(command.EntryID)).Msg("link went silent")
		e.linker.Disconnect(command.EntryID)
	case decider.ReplyCall:
		e.deliver(command.Token, command.Answer)
	case decider.ReplyConfig:
		e.deliver(command.Token, command)
	case decider.ReplyJob:
		e.deliver(command.Token, command.Reply)
	case decider.Transact:
		e.transact(command)
	case decider.Read:
		e.table.Read(command.Request, command.Deadline, func(result keeper.ReadResult, err error) {
			e.mailbox.post(decider.ReadDone{ID: command.ID, Result: result, Failed: err != nil})
		})
	case decider.ListHosts:
		e.runAsync(func(ctx context.Context) decider.Event {
			hosts, err := e.hosts.List(ctx, e.settings.DataCentre)
			return decider.HostsListed{Hosts: hosts, Failed: err != nil && !e.onlyOddHosts(err)}
		})
	case decider.StartAttempt:
		e.runAsync(func(ctx context.Context) decider.Event { return e.caller.Run(ctx, command) })
	case decider.PollStatus:
		e.runAsync(func(ctx context.Context) decider.Event { return e.caller.Status(ctx, command.Endpoint) })
	case decider.SyncWorker:
		e.runAsync(func(ctx context.Context) decider.Event { return e.caller.Sync(ctx, command.Sync) })
	case decider.Violation:
		e.log.Error().Str("Invariant", command.Name).Str("Detail", command.Detail).Stack().Err(errors.New("invariant broken")).Msg("invariant broken")
	case decider.Stopped:
		close(e.drained)
	}
}

// runAsync runs an operation on a new goroutine and posts the event that it
// returns.
func (e *Entry) runAsync(operation func(context.Context) decider.Event) {
	e.background.Add(1)
	go func() {
		defer e.background.Done()
		e.mailbox.post(operation(e.ctx))
	}()
}

func (e *Entry) transact(command decider.Transact) {
	e.table.Transact(command.Transaction, command.Deadline, func(result keeper.TransactResult, err error) {
		done := decider.TransactDone{ID: command.ID, Result: result}
		switch {
		case errors.Is(err, keeper.ErrUnresolved):
			done.Failure = decider.TableUnresolved
		case err != nil:
			done.Failure = decider.TableNotApplied
		}
		e.mailbox.post(done)
	})
}

// onlyOddHosts reports whether the error of a reading of the host list is about odd
// hosts only, so that the other hosts hold. It logs them once for as long as they
// stay as they are.
func (e *Entry) onlyOddHosts(err error) bool {
	var odd *keeper.OddHostsError
	if !errors.As(err, &odd) {
		return false
	}
	text := odd.Error()
	if last := e.lastOddHosts.Swap(&text); last == nil || *last != text {
		e.log.Warn().Str("Event", "odd entry").Int("Hosts", len(odd.Reasons)).Err(odd).Msg("hosts on the host list cannot be used; the others hold")
	}
	return true
}
