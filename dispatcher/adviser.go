package dispatcher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"kumquatstall/estimator"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// adviser distributes the core's advice requests over the relays. It owns no
// goroutine, lock or clock.
//
// A step waits for trusted relays only, as long as there are any. If its request
// fails, the next one goes to several relays at once, also to the owner itself, to
// which no link is needed, so that it waits for one silent relay and not for one
// after the other. A suspect gets copies of requests as probes, one at a time, for
// which no step waits.
type adviser struct {
	core   advised
	self   requester.EntryID
	relays relays
	// pending has the requests in flight, by ID.
	pending map[uint64]pendingAdvice
	// lastID is the ID of the last request. IDs begin at a value of the owner's epoch, so
	// that a reply to an earlier owner on this host, perhaps in another incarnation of the
	// entry, matches nothing: it goes to the entry of that name.
	lastID uint64
	// lags are how much later than expected the replies of each relay arrive, also
	// those that come after the deadline.
	lags *estimator.Durations
	// late has the requests that have failed without a reply.
	late lateRequests
	// suspected has the entries without a link that were suspects when it closed.
	suspected map[requester.EntryID]bool
}

// advised is the part of the core that receives advice.
type advised interface {
	AdviceDone(now time.Time, request scheduler.AdviceRequest, allowed []scheduler.Ticket, failed bool)
	AddAdvice(now time.Time, request scheduler.AdviceRequest, allowed []scheduler.Ticket)
}

// question is a request of the core, which is sent to one relay or to several.
type question struct {
	request scheduler.AdviceRequest
	// awaited counts the relays for whose reply the step waits.
	awaited int
	// done is true once the core has its outcome, answered once it has a reply.
	done, answered bool
}

// pendingAdvice is a question in flight through one relay.
type pendingAdvice struct {
	*question
	relay  *relay
	sentAt time.Time
	// expectedAt is when the reply should arrive, after those to the requests
	// that are in flight before it. deadline is when the request counts as failed.
	expectedAt, deadline time.Time
	// probe is true if the step does not wait for the reply.
	probe bool
}

// sending is a request that is to be sent to a relay.
type sending struct {
	id      uint64
	to      requester.EntryID
	request scheduler.AdviceRequest
}

// adviceIDsPerEpoch is how many requests an owner sends in its epoch at most: that many IDs
// for each of maxEpoch epochs are all that there are.
const adviceIDsPerEpoch = 1 << 24

func newAdviser(core advised, self requester.EntryID, epoch int64) *adviser {
	a := &adviser{core: core, self: self, lastID: uint64(epoch) * adviceIDsPerEpoch, pending: make(map[uint64]pendingAdvice), suspected: make(map[requester.EntryID]bool), lags: estimator.NewDurations(0)}
	a.relays.add(self)
	return a
}

// capacity returns how many more requests of the core can be sent now.
func (a *adviser) capacity() scheduler.AdviceCapacity { return a.relays.capacity() }

// ask chooses the relays for requests that the core has issued within the
// capacity. Every request has one before any gets further ones.
func (a *adviser) ask(now time.Time, requests []scheduler.AdviceRequest) []sending {
	var sendings []sending
	var questions []*question
	for _, request := range requests {
		q := &question{request: request}
		questions = append(questions, q)
		sendings = append(sendings, a.send(now, q, a.relays.choose(now, request.Long()), false))
	}
	for _, q := range questions {
		if q.request.FailedInARow == 0 {
			continue
		}
		for _, other := range a.spare(now) {
			sendings = append(sendings, a.send(now, q, other, false))
		}
	}
	return append(sendings, a.probe(now)...)
}

// spare returns up to adviceCopies serving relays that have nothing to do: the owner
// itself first, and then those that have replied last.
func (a *adviser) spare(now time.Time) relays {
	var idle relays
	for _, candidate := range a.relays.serving() {
		if candidate.inFlight == 0 {
			idle = append(idle, candidate)
		}
	}
	slices.SortStableFunc(idle, func(x, y *relay) int {
		if own := cmp.Compare(a.ownRank(y), a.ownRank(x)); own != 0 {
			return own
		}
		return y.repliedAt.Compare(x.repliedAt)
	})
	return idle[:min(len(idle), adviceCopies)]
}

// ownRank is 1 for the owner itself and 0 for other relays.
func (a *adviser) ownRank(r *relay) int {
	if r.id == a.self {
		return 1
	}
	return 0
}

// probe sends a copy of a request to each suspect that has none in flight and whose
// cool-down has passed. If no relay is trusted, it does not wait for the cool-down.
func (a *adviser) probe(now time.Time) []sending {
	suspects := a.relays.suspects()
	if suspects == 0 {
		return nil
	}
	q := a.shortestAwaited()
	if q == nil {
		return nil
	}
	none := suspects == len(a.relays)
	var sendings []sending
	for _, candidate := range a.relays {
		if !candidate.trusted() && candidate.inFlight == 0 && (none || candidate.breaker.Allows(now)) {
			sendings = append(sendings, a.send(now, q, candidate, true))
		}
	}
	return sendings
}

// shortestAwaited returns the question without a reply that takes the least time, or
// nil if there is none. It may have been sent long ago: while the trusted relays are
// busy, no new ones are.
func (a *adviser) shortestAwaited() *question {
	var shortest *question
	for _, id := range slices.Sorted(maps.Keys(a.pending)) {
		if q := a.pending[id].question; !q.done && (shortest == nil || q.takes() < shortest.takes()) {
			shortest = q
		}
	}
	return shortest
}

// takes returns the expected duration of the request if no other is in front of it.
func (q *question) takes() time.Duration { return q.request.ExpectedAt.Sub(q.request.RequestedAt) }

// send records that a question is sent to a relay.
func (a *adviser) send(now time.Time, q *question, chosen *relay, probe bool) sending {
	chosen.inFlight++
	chosen.breaker.RecordStart()
	// The service handles this request after those in flight through the same
	// relay.
	chosen.busyUntil = now.Add(q.takes() + max(0, chosen.busyUntil.Sub(now)))
	if !probe {
		q.awaited++
	}
	a.lastID++
	a.pending[a.lastID] = pendingAdvice{
		question: q, relay: chosen, sentAt: now, expectedAt: chosen.busyUntil,
		deadline: now.Add(relayWait(chosen.busyUntil.Sub(now), a.lags.Bound(lagKey(chosen.id)))), probe: probe,
	}
	return sending{id: a.lastID, to: chosen.id, request: q.request}
}

// expire fails the requests whose deadline has passed, which makes their relays
// suspects, and returns them.
func (a *adviser) expire(now time.Time) []pendingAdvice {
	var expired []pendingAdvice
	for _, id := range slices.Sorted(maps.Keys(a.pending)) {
		pending := a.pending[id]
		if now.After(pending.deadline) {
			pending.relay.failed(now)
			a.fail(now, id)
			expired = append(expired, pending)
		}
	}
	return expired
}

// handled says to what request a reply belongs. late is by how much it came after
// the request had failed.
type handled struct {
	pendingAdvice
	late time.Duration
}

// handle handles a reply, or the report of a relay that the service did not answer.
// It returns false if it does not know the request.
func (a *adviser) handle(now time.Time, id uint64, allowed []scheduler.Ticket, failed bool) (handled, bool) {
	pending, ok := a.pending[id]
	if !ok {
		return a.handleLate(now, id, allowed, failed)
	}
	if !failed {
		pending.relay.replied(now)
		a.observe(now, &pending)
		a.take(id)
		if pending.relay.inFlight == 0 {
			pending.relay.busyUntil = now
		}
		a.answer(now, pending.question, allowed)
		return handled{pendingAdvice: pending}, true
	}
	if pending.request.FailedInARow == 0 || pending.probe {
		pending.relay.failed(now)
	} // else it may be the request that is at fault, as it has failed before
	a.take(id)
	a.giveUp(now, pending.question)
	return handled{pendingAdvice: pending}, true
}

// handleLate handles the outcome of a request that has failed before. A reply is
// used all the same, as what is allowed for a step does not change, and shows that
// its relay is well.
func (a *adviser) handleLate(now time.Time, id uint64, allowed []scheduler.Ticket, failed bool) (handled, bool) {
	late, ok := a.late.take(id)
	if ok && !failed {
		for _, r := range a.relays {
			if r.id == late.relay.id {
				r.replied(now)
			}
		}
		a.observe(now, &late.pendingAdvice)
		a.answer(now, late.question, allowed)
	}
	return handled{pendingAdvice: late.pendingAdvice, late: now.Sub(late.failedAt)}, ok
}

// observe records by how much a reply is later than expected.
func (a *adviser) observe(now time.Time, pending *pendingAdvice) {
	a.lags.Observe(lagKey(pending.relay.id), max(0, now.Sub(pending.expectedAt)))
}

func lagKey(id requester.EntryID) estimator.Key { return estimator.Key{Scope: string(id)} }

// take ends a request.
func (a *adviser) take(id uint64) pendingAdvice {
	pending := a.pending[id]
	delete(a.pending, id)
	pending.relay.inFlight--
	if !pending.probe {
		pending.awaited--
	}
	return pending
}

// fail ends a request without a reply. One may still come.
func (a *adviser) fail(now time.Time, id uint64) {
	pending := a.take(id)
	a.late.add(lateAdvice{pendingAdvice: pending, id: id, failedAt: now})
	a.giveUp(now, pending.question)
}

// answer gives the core the first reply to a question.
func (a *adviser) answer(now time.Time, q *question, allowed []scheduler.Ticket) {
	switch {
	case q.answered:
	case q.done:
		a.core.AddAdvice(now, q.request, allowed)
	default:
		a.core.AdviceDone(now, q.request, allowed, false)
	}
	q.done, q.answered = true, true
}

// giveUp reports to the core that a question has failed, once no reply to it is
// awaited.
func (a *adviser) giveUp(now time.Time, q *question) {
	if q.done || q.awaited > 0 {
		return
	}
	q.done = true
	a.core.AdviceDone(now, q.request, nil, true)
}

// linked records a new link to an entry. If it replaces another one, the requests in
// flight are lost; it returns how many there were. A suspect stays one until it
// replies, but it may be probed at once.
func (a *adviser) linked(now time.Time, id requester.EntryID) int {
	failed := a.failPending(now, id)
	a.relays.add(id)
	for _, r := range a.relays {
		if r.id == id && (!r.trusted() || a.suspected[id]) {
			r.suspect(now)
		}
	}
	delete(a.suspected, id)
	return failed
}

// remove removes a relay that has disconnected, fails its requests in flight and
// returns how many there were.
func (a *adviser) remove(now time.Time, id requester.EntryID) int {
	for _, r := range a.relays {
		if r.id == id && !r.trusted() {
			a.suspected[id] = true
		}
	}
	a.relays.remove(id)
	return a.failPending(now, id)
}

// failPending fails the requests in flight through a relay.
func (a *adviser) failPending(now time.Time, id requester.EntryID) int {
	failed := 0
	for _, requestID := range slices.Sorted(maps.Keys(a.pending)) {
		if a.pending[requestID].relay.id == id {
			a.fail(now, requestID)
			failed++
		}
	}
	return failed
}

// lateAdvice is a request that has failed because its deadline has passed or the
// link to its relay has closed.
type lateAdvice struct {
	pendingAdvice
	id       uint64
	failedAt time.Time
}

// maxLateAdvice bounds the late requests that are remembered.
const maxLateAdvice = 256

// lateRequests are the last requests that have failed without a reply, the oldest
// first.
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
