package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/encoder"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// requestAdvice fails the requests whose deadline has passed, and sends the
// requests that the core issues.
func (s *session) requestAdvice(now time.Time) {
	for _, late := range s.adviser.expire(now) {
		s.dispatcher.counters.adviceFailed.Add(1)
		s.logLateAdvice(now, &late)
	}
	for _, sending := range s.adviser.ask(now, s.core.RequestAdvice(now, s.adviser.capacity())) {
		s.sendAdvice(sending)
	}
}

// sendAdvice sends a request to a relay, which may be this entry.
func (s *session) sendAdvice(sending sending) {
	request := &sending.request
	if sending.to != s.dispatcher.options.Self {
		s.dispatcher.linker.Send(sending.to, &encoder.AdviceRequest{ID: sending.id, Step: request.Step, Workers: request.Workers})
		return
	}
	s.spawn(func() {
		allowed, err := s.dispatcher.requestAdvice(s.ctx, request.Step, request.Workers)
		s.post(func() { s.handleAdvice(sending.id, allowed, err != nil) })
	})
}

// requestAdvice requests advice from the service, for this entry or for the owner.
func (d *Dispatcher) requestAdvice(ctx context.Context, step scheduler.StepName, workers []requester.HostID) ([]scheduler.Ticket, error) {
	doublings := d.adviceTimeouts.Load()
	timeout := min(adviceTimeout<<doublings, maxAdviceTimeout)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := time.Now()
	allowed, err := d.platform.RequestAdvice(ctx, step, workers)
	switch {
	case err == nil && time.Since(sentAt) < adviceTimeout:
		d.adviceTimeouts.Store(0)
	case errors.Is(err, context.DeadlineExceeded) && timeout < maxAdviceTimeout:
		// Requests that time out together double the timeout once.
		d.adviceTimeouts.CompareAndSwap(doublings, doublings+1)
	}
	return allowed, err
}

// logLateAdvice logs that a relay has not replied in time: for how long nothing was
// received on the link to it, and how many other relays could be asked now.
func (s *session) logLateAdvice(now time.Time, pending *pendingAdvice) {
	id := pending.relay.id
	open := 0
	for _, other := range s.adviser.relays {
		if other != pending.relay && other.trusted() && other.free() > 0 {
			open++
		}
	}
	event := s.dispatcher.log.Warn().Str("Event", "advice late").Str("Peer", string(id)).Str("Job", string(pending.request.Step.Job)).
		Dur("WaitedMillis", now.Sub(pending.sentAt)).Dur("ExpectedMillis", pending.expectedAt.Sub(pending.sentAt)).
		Int("Trips", pending.relay.trips).Int("OtherRelays", open)
	if id != s.dispatcher.options.Self {
		age := s.dispatcher.linker.Age(id)
		event = event.Dur("LinkOpenMillis", age.Open).Dur("LinkSilentMillis", age.Silent)
	}
	event.Send()
}

// handleAdvice handles the outcome of a request: a reply, also after the deadline,
// or a failure.
func (s *session) handleAdvice(id uint64, allowed []scheduler.Ticket, failed bool) {
	now := s.dispatcher.clock.Now()
	request, known := s.adviser.handle(now, id, allowed, failed)
	switch {
	case !known:
	case request.late > 0:
		s.dispatcher.counters.adviceAfterDeadline.Add(1)
		s.dispatcher.log.Info().Str("Event", "advice after its deadline").Str("Peer", string(request.relay.id)).
			Dur("LateMillis", request.late).Bool("Failed", failed).Send()
	case failed:
		s.dispatcher.counters.adviceFailed.Add(1)
	default:
		s.dispatcher.counters.adviceTime.Observe(now.Sub(request.sentAt))
	}
}

// addRelay adds a relay to which a new link is up.
func (s *session) addRelay(id requester.EntryID) {
	failed := s.adviser.linked(s.dispatcher.clock.Now(), id)
	s.dispatcher.counters.adviceFailed.Add(int64(failed))
}

// addLinkedRelays adds the relays to which links are up now. A link that closes later
// is removed by what PeerDown posts, which runs after this.
func (s *session) addLinkedRelays() {
	for _, id := range s.dispatcher.linkedPeers() {
		s.addRelay(id)
	}
}

// removeRelay removes a relay that has disconnected.
func (s *session) removeRelay(id requester.EntryID) {
	failed := s.adviser.remove(s.dispatcher.clock.Now(), id)
	s.dispatcher.counters.adviceFailed.Add(int64(failed))
}

func isHistoryTruncated(err error) bool { return errors.Is(err, ErrHistoryTruncated) }
