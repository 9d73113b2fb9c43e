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
	// shortShare is which part of the entries asks short questions only.
	shortShare = 5
	// adviceFactor times its usual time, and adviceSlack more, is for how
	// long the owner waits for an answer by way of another entry.
	adviceFactor = 2
	adviceSlack  = 250 * time.Millisecond
	// suspectFor is for how long an entry that has not answered is asked
	// nothing.
	suspectFor = time.Second
)

// adviser is an entry that asks for advice.
type adviser struct {
	id   requester.EntryID
	open int
	// busyUntil is when all that it was asked should be answered.
	busyUntil time.Time
	// suspectUntil is until when it is asked nothing.
	suspectUntil time.Time
}

// advisers are the entries by which the owner asks.
type advisers []*adviser

func (a *advisers) add(id requester.EntryID) {
	for _, known := range *a {
		if known.id == id {
			return
		}
	}
	*a = append(*a, &adviser{id: id})
}

func (a *advisers) remove(id requester.EntryID) {
	for i, known := range *a {
		if known.id == id {
			*a = append((*a)[:i], (*a)[i+1:]...)
			return
		}
	}
}

// reserved returns the advisers that ask short questions only, and the others.
func (a advisers) reserved() (short, any advisers) {
	count := len(a) / shortShare
	return a[len(a)-count:], a[:len(a)-count]
}

// room returns how many more questions can be asked now.
func (a advisers) room(now time.Time) scheduler.AdviceRoom {
	short, any := a.reserved()
	return scheduler.AdviceRoom{Any: any.free(now), Short: short.free(now)}
}

func (a advisers) free(now time.Time) int {
	count := 0
	for _, known := range a {
		if known.takes(now) {
			count += adviceDepth - known.open
		}
	}
	return count
}

func (a *adviser) takes(now time.Time) bool {
	return a.open < adviceDepth && !now.Before(a.suspectUntil)
}

// choose returns the adviser for a question, in the way in which the core has
// counted room for it.
func (a advisers) choose(now time.Time, long bool) *adviser {
	short, any := a.reserved()
	if !long {
		if chosen := short.idlest(now); chosen != nil {
			return chosen
		}
	}
	return any.idlest(now)
}

// idlest returns the adviser that will be free soonest; nil if none takes
// questions.
func (a advisers) idlest(now time.Time) *adviser {
	var best *adviser
	for _, known := range a {
		if !known.takes(now) {
			continue
		}
		if best == nil || known.open < best.open || known.open == best.open && known.busyUntil.Before(best.busyUntil) {
			best = known
		}
	}
	return best
}

// askedAdvice is a question on its way.
type askedAdvice struct {
	order   scheduler.AdviceRequest
	adviser *adviser
	until   time.Time
}

// ask sends the questions that the core wants asked.
func (s *session) ask(now time.Time) {
	for id, asked := range s.asked {
		if now.After(asked.until) {
			asked.adviser.suspectUntil = now.Add(suspectFor)
			s.dispatcher.log.Warn().Str("Event", "advice late").Str("Peer", string(asked.adviser.id)).Str("Job", string(asked.order.Step.Job)).Send()
			s.advised(id, nil, true)
		}
	}
	for _, order := range s.core.Advise(now, s.advisers.room(now)) {
		chosen := s.advisers.choose(now, order.Long())
		chosen.open++
		// The service answers a host's questions one by one.
		chosen.busyUntil = order.ExpectedAt.Add(max(0, chosen.busyUntil.Sub(now)))
		s.askNumber++
		id := s.askNumber
		s.asked[id] = askedAdvice{order: order, adviser: chosen, until: now.Add(adviceFactor*chosen.busyUntil.Sub(now) + adviceSlack)}
		if chosen.id != s.dispatcher.options.Self {
			s.dispatcher.linker.Send(chosen.id, &encoder.AdviceRequest{ID: id, Step: order.Step, Workers: order.Workers})
			continue
		}
		s.goDo(func() {
			ctx, cancel := context.WithTimeout(s.ctx, adviceTimeout)
			defer cancel()
			allowed, err := s.dispatcher.platform.Ask(ctx, order.Step, order.Workers)
			s.post(func() { s.advised(id, allowed, err != nil) })
		})
	}
}

// advised takes in the answer to a question; the first one counts.
func (s *session) advised(id uint64, allowed []scheduler.Ticket, failed bool) {
	asked, ok := s.asked[id]
	if !ok {
		return
	}
	delete(s.asked, id)
	asked.adviser.open--
	now := s.dispatcher.clock.Now()
	if failed {
		s.dispatcher.counters.adviceFailed.Add(1)
	} else {
		s.dispatcher.counters.adviceTime.Observe(now.Sub(asked.order.RequestedAt))
	}
	s.core.Advised(now, asked.order, allowed, failed)
}

// adviserLost takes back the questions that an entry was to ask.
func (s *session) adviserLost(id requester.EntryID) {
	s.advisers.remove(id)
	for number, asked := range s.asked {
		if asked.adviser.id == id {
			s.advised(number, nil, true)
		}
	}
}

func isGone(err error) bool { return errors.Is(err, ErrHistoryGone) }
