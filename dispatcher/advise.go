package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/encoder"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// Bounds of advice requests.
const (
	// adviceTimeout bounds an advice request, including the time that it is
	// queued at the service.
	adviceTimeout = 3 * time.Second
	// adviceDepth is the maximum number of requests in flight through each
	// relay. The service handles the requests of an entry host one at a time;
	// with a second one queued there, it is not idle between requests.
	adviceDepth = 2
	// One in shortFraction relays, rounded down, sends short requests only.
	shortFraction = 5
	// relayTimeoutFactor times the expected duration of a request, including
	// the requests in flight before it, plus relayTimeoutMargin, is how long
	// the owner waits for the reply of a relay.
	relayTimeoutFactor = 2
	relayTimeoutMargin = 250 * time.Millisecond
	// relayCoolDown is how long a relay that has not replied in time is
	// suspended: it gets no requests.
	relayCoolDown = time.Second
)

// relay is an entry that requests advice for the owner.
type relay struct {
	id       requester.EntryID
	inFlight int
	// busyUntil is when all of its requests in flight are expected to be
	// answered.
	busyUntil time.Time
	// suspendedUntil is the end of its cool-down.
	suspendedUntil time.Time
	// lateInARow counts the requests without a reply in time since the last
	// reply.
	lateInARow int
}

// relays are the entries through which the owner requests advice, including the
// owner itself.
type relays []*relay

// add adds an entry, unless it is a relay already.
func (r *relays) add(id requester.EntryID) {
	for _, candidate := range *r {
		if candidate.id == id {
			return
		}
	}
	*r = append(*r, &relay{id: id})
}

func (r *relays) remove(id requester.EntryID) {
	for i, candidate := range *r {
		if candidate.id == id {
			*r = append((*r)[:i], (*r)[i+1:]...)
			return
		}
	}
}

// split returns the relays that send short requests only, and the others.
func (r relays) split() (short, any relays) {
	count := len(r) / shortFraction
	return r[len(r)-count:], r[:len(r)-count]
}

// capacity returns how many more requests can be sent now.
func (r relays) capacity(now time.Time) scheduler.AdviceCapacity {
	short, any := r.split()
	return scheduler.AdviceCapacity{Any: any.freeSlots(now), Short: short.freeSlots(now)}
}

// freeSlots returns how many more requests can be sent through these relays.
func (r relays) freeSlots(now time.Time) int {
	count := 0
	for _, candidate := range r {
		if candidate.available(now) {
			count += adviceDepth - candidate.inFlight
		}
	}
	return count
}

// late returns how many relays have not replied to their last request in time.
func (r relays) late() int {
	count := 0
	for _, candidate := range r {
		if candidate.lateInARow > 0 {
			count++
		}
	}
	return count
}

// available reports whether a request can be sent through the relay now.
func (r *relay) available(now time.Time) bool {
	return r.inFlight < adviceDepth && !now.Before(r.suspendedUntil)
}

// choose returns the relay for a request, or nil if none is available. A short
// request uses the relays for short requests first, in the same order as the
// core uses up scheduler.AdviceCapacity.
func (r relays) choose(now time.Time, long bool) *relay {
	short, any := r.split()
	if !long {
		if chosen := short.leastBusy(now); chosen != nil {
			return chosen
		}
	}
	return any.leastBusy(now)
}

// leastBusy returns the available relay with the fewest requests in flight, and
// of equal ones the one that is expected to be free first. It returns nil if
// none is available.
func (r relays) leastBusy(now time.Time) *relay {
	var best *relay
	for _, candidate := range r {
		if !candidate.available(now) {
			continue
		}
		if best == nil || candidate.inFlight < best.inFlight || candidate.inFlight == best.inFlight && candidate.busyUntil.Before(best.busyUntil) {
			best = candidate
		}
	}
	return best
}

// pendingAdvice is an advice request in flight.
type pendingAdvice struct {
	request scheduler.AdviceRequest
	relay   *relay
	// deadline is when the request counts as failed.
	deadline time.Time
}

// requestAdvice fails the requests whose deadline has passed, suspends their
// relays, and sends the requests that the core issues.
func (s *session) requestAdvice(now time.Time) {
	for id, pending := range s.pendingAdvice {
		if now.After(pending.deadline) {
			pending.relay.suspendedUntil = now.Add(relayCoolDown)
			pending.relay.lateInARow++
			s.logLateAdvice(now, &pending)
			s.late.add(lateAdvice{id: id, peer: pending.relay.id, failedAt: now})
			s.handleAdvice(id, nil, true)
		}
	}
	for _, request := range s.core.RequestAdvice(now, s.relays.capacity(now)) {
		chosen := s.relays.choose(now, request.Long())
		chosen.inFlight++
		// The service handles this request after those in flight through the
		// same relay.
		chosen.busyUntil = request.ExpectedAt.Add(max(0, chosen.busyUntil.Sub(now)))
		s.lastAdviceID++
		id := s.lastAdviceID
		s.pendingAdvice[id] = pendingAdvice{request: request, relay: chosen, deadline: now.Add(relayTimeoutFactor*chosen.busyUntil.Sub(now) + relayTimeoutMargin)}
		if chosen.id != s.dispatcher.options.Self {
			s.dispatcher.linker.Send(chosen.id, &encoder.AdviceRequest{ID: id, Step: request.Step, Workers: request.Workers})
			continue
		}
		s.spawn(func() {
			ctx, cancel := context.WithTimeout(s.ctx, adviceTimeout)
			defer cancel()
			allowed, err := s.dispatcher.platform.RequestAdvice(ctx, request.Step, request.Workers)
			s.post(func() { s.handleAdvice(id, allowed, err != nil) })
		})
	}
}

// logLateAdvice logs that a relay has not replied in time: for how long nothing was
// received on the link to it, and how many other relays could be asked now.
func (s *session) logLateAdvice(now time.Time, pending *pendingAdvice) {
	id := pending.relay.id
	open := 0
	for _, other := range s.relays {
		if other != pending.relay && other.available(now) {
			open++
		}
	}
	event := s.dispatcher.log.Warn().Str("Event", "advice late").Str("Peer", string(id)).Str("Job", string(pending.request.Step.Job)).
		Dur("WaitedMillis", now.Sub(pending.request.RequestedAt)).Dur("ExpectedMillis", pending.request.ExpectedAt.Sub(pending.request.RequestedAt)).
		Int("LateInARow", pending.relay.lateInARow).Int("OtherRelays", open)
	if id != s.dispatcher.options.Self {
		age := s.dispatcher.linker.Age(id)
		event = event.Dur("LinkOpenMillis", age.Open).Dur("LinkSilentMillis", age.Silent)
	}
	event.Send()
}

// lateAdvice is a request that counts as failed because its deadline has passed.
type lateAdvice struct {
	id       uint64
	peer     requester.EntryID
	failedAt time.Time
}

// maxLateAdvice bounds the late requests that are remembered.
const maxLateAdvice = 256

// lateRequests are the last requests that were late, the oldest first.
type lateRequests []lateAdvice

func (l *lateRequests) add(late lateAdvice) {
	if len(*l) == maxLateAdvice {
		*l = (*l)[1:]
	}
	*l = append(*l, late)
}

// take removes and returns a late request.
func (l *lateRequests) take(id uint64) (lateAdvice, bool) {
	for i, late := range *l {
		if late.id == id {
			*l = append((*l)[:i], (*l)[i+1:]...)
			return late, true
		}
	}
	return lateAdvice{}, false
}

// handleAdvice handles the outcome of a request: a reply, or a failure. It
// ignores all but the first outcome, as a reply may arrive after the deadline.
func (s *session) handleAdvice(id uint64, allowed []scheduler.Ticket, failed bool) {
	now := s.dispatcher.clock.Now()
	pending, ok := s.pendingAdvice[id]
	if !ok {
		if late, known := s.late.take(id); known {
			s.dispatcher.counters.adviceAfterDeadline.Add(1)
			s.dispatcher.log.Info().Str("Event", "advice after its deadline").Str("Peer", string(late.peer)).
				Dur("LateMillis", now.Sub(late.failedAt)).Bool("Failed", failed).Send()
		}
		return
	}
	delete(s.pendingAdvice, id)
	pending.relay.inFlight--
	if failed {
		s.dispatcher.counters.adviceFailed.Add(1)
	} else {
		pending.relay.lateInARow = 0
		s.dispatcher.counters.adviceTime.Observe(now.Sub(pending.request.RequestedAt))
	}
	s.core.AdviceDone(now, pending.request, allowed, failed)
}

// removeRelay removes a relay that has disconnected and fails its requests in
// flight.
func (s *session) removeRelay(id requester.EntryID) {
	s.relays.remove(id)
	for requestID, pending := range s.pendingAdvice {
		if pending.relay.id == id {
			s.handleAdvice(requestID, nil, true)
		}
	}
}

func isHistoryTruncated(err error) bool { return errors.Is(err, ErrHistoryTruncated) }
