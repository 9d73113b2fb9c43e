package dispatcher

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/encoder"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// Bounds of questions for advice.
const (
	// adviceTimeout bounds a question, waiting at the service included.
	adviceTimeout = 3 * time.Second
	// adviceDepth is how many questions one host may have open: the service
	// answers them one by one, and the next one should be there already.
	adviceDepth = 2
	// shortFraction is which part of the entries asks short questions only.
	shortFraction = 5
	// relayTimeoutFactor times its usual time, and relayTimeoutMargin more, is for how
	// long the owner waits for an answer by way of another entry.
	relayTimeoutFactor = 2
	relayTimeoutMargin = 250 * time.Millisecond
	// relayCoolDown is for how long an entry that has not answered is asked
	// nothing.
	relayCoolDown = time.Second
)

// adviser is an entry that asks for advice.
type relay struct {
	id       requester.EntryID
	inFlight int
	// busyUntil is when all that it was asked should be answered.
	busyUntil time.Time
	// suspendedUntil is until when it is asked nothing.
	suspendedUntil time.Time
}

// advisers are the entries by which the owner asks.
type relays []*relay

func (a *relays) add(id requester.EntryID) {
	for _, known := range *a {
		if known.id == id {
			return
		}
	}
	*a = append(*a, &relay{id: id})
}

func (a *relays) remove(id requester.EntryID) {
	for i, known := range *a {
		if known.id == id {
			*a = append((*a)[:i], (*a)[i+1:]...)
			return
		}
	}
}

// reserved returns the advisers that ask short questions only, and the others.
func (a relays) partition() (short, any relays) {
	count := len(a) / shortFraction
	return a[len(a)-count:], a[:len(a)-count]
}

// room returns how many more questions can be asked now.
func (a relays) room(now time.Time) scheduler.AdviceRoom {
	short, any := a.partition()
	return scheduler.AdviceRoom{Any: any.freeSlots(now), Short: short.freeSlots(now)}
}

func (a relays) freeSlots(now time.Time) int {
	count := 0
	for _, known := range a {
		if known.available(now) {
			count += adviceDepth - known.inFlight
		}
	}
	return count
}

func (a *relay) available(now time.Time) bool {
	return a.inFlight < adviceDepth && !now.Before(a.suspendedUntil)
}

// choose returns the adviser for a question, in the way in which the core has
// counted room for it.
func (a relays) choose(now time.Time, long bool) *relay {
	short, any := a.partition()
	if !long {
		if chosen := short.leastBusy(now); chosen != nil {
			return chosen
		}
	}
	return any.leastBusy(now)
}

// idlest returns the adviser that will be free soonest; nil if none takes
// questions.
func (a relays) leastBusy(now time.Time) *relay {
	var best *relay
	for _, known := range a {
		if !known.available(now) {
			continue
		}
		if best == nil || known.inFlight < best.inFlight || known.inFlight == best.inFlight && known.busyUntil.Before(best.busyUntil) {
			best = known
		}
	}
	return best
}

// pendingAdvice is a question on its way.
type pendingAdvice struct {
	order    scheduler.AdviceRequest
	relay    *relay
	deadline time.Time
}

// ask sends the questions that the core wants asked.
func (s *session) requestAdvice(now time.Time) {
	for id, asked := range s.pendingAdvice {
		if now.After(asked.deadline) {
			asked.relay.suspendedUntil = now.Add(relayCoolDown)
			s.dispatcher.log.Warn().Str("Event", "advice late").Str("Peer", string(asked.relay.id)).Str("Job", string(asked.order.Step.Job)).Send()
			s.handleAdvice(id, nil, true)
		}
	}
	for _, order := range s.core.Advise(now, s.relays.room(now)) {
		chosen := s.relays.choose(now, order.Long())
		chosen.inFlight++
		// The service answers a host's questions one by one.
		chosen.busyUntil = order.ExpectedAt.Add(max(0, chosen.busyUntil.Sub(now)))
		s.lastAdviceID++
		id := s.lastAdviceID
		s.pendingAdvice[id] = pendingAdvice{order: order, relay: chosen, deadline: now.Add(relayTimeoutFactor*chosen.busyUntil.Sub(now) + relayTimeoutMargin)}
		if chosen.id != s.dispatcher.options.Self {
			s.dispatcher.linker.Send(chosen.id, &encoder.AdviceRequest{ID: id, Step: order.Step, Workers: order.Workers})
			continue
		}
		s.spawn(func() {
			ctx, cancel := context.WithTimeout(s.ctx, adviceTimeout)
			defer cancel()
			allowed, err := s.dispatcher.platform.RequestAdvice(ctx, order.Step, order.Workers)
			s.post(func() { s.handleAdvice(id, allowed, err != nil) })
		})
	}
}

// advised takes in the answer to a question; the first one counts.
func (s *session) handleAdvice(id uint64, allowed []scheduler.Ticket, failed bool) {
	asked, ok := s.pendingAdvice[id]
	if !ok {
		return
	}
	delete(s.pendingAdvice, id)
	asked.relay.inFlight--
	now := s.dispatcher.clock.Now()
	if failed {
		s.dispatcher.counters.adviceFailed.Add(1)
	} else {
		s.dispatcher.counters.adviceTime.Observe(now.Sub(asked.order.RequestedAt))
	}
	s.core.Advised(now, asked.order, allowed, failed)
}

// removeRelay takes back the questions that an entry was to ask.
func (s *session) removeRelay(id requester.EntryID) {
	s.relays.remove(id)
	for number, asked := range s.pendingAdvice {
		if asked.relay.id == id {
			s.handleAdvice(number, nil, true)
		}
	}
}

func isHistoryTruncated(err error) bool { return errors.Is(err, ErrHistoryTruncated) }
