package dispatcher

import (
	"maps"
	"slices"
	"time"

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

// adviser distributes the core's advice requests over the relays. It owns no
// goroutine, lock or clock.
type adviser struct {
	core   advised
	relays relays
	// pending has the requests in flight, by ID.
	pending map[uint64]pendingAdvice
	lastID  uint64
	// late has the requests that have failed by their deadline.
	late lateRequests
}

// advised is the part of the core that receives advice.
type advised interface {
	AdviceDone(now time.Time, request scheduler.AdviceRequest, allowed []scheduler.Ticket, failed bool)
}

// pendingAdvice is an advice request in flight.
type pendingAdvice struct {
	request scheduler.AdviceRequest
	relay   *relay
	// deadline is when the request counts as failed.
	deadline time.Time
}

// sending is a request that is to be sent to a relay.
type sending struct {
	id      uint64
	to      requester.EntryID
	request scheduler.AdviceRequest
}

func newAdviser(core advised, self requester.EntryID) *adviser {
	a := &adviser{core: core, pending: make(map[uint64]pendingAdvice)}
	a.relays.add(self)
	return a
}

// ask chooses a relay for each of the requests that the core has issued within
// the capacity of the relays.
func (a *adviser) ask(now time.Time, requests []scheduler.AdviceRequest) []sending {
	var sendings []sending
	for _, request := range requests {
		sendings = append(sendings, a.send(now, request, a.relays.choose(now, request.Long())))
	}
	return sendings
}

func (a *adviser) send(now time.Time, request scheduler.AdviceRequest, chosen *relay) sending {
	chosen.inFlight++
	// The service handles this request after those in flight through the same
	// relay.
	chosen.busyUntil = request.ExpectedAt.Add(max(0, chosen.busyUntil.Sub(now)))
	a.lastID++
	a.pending[a.lastID] = pendingAdvice{request: request, relay: chosen, deadline: now.Add(relayTimeoutFactor*chosen.busyUntil.Sub(now) + relayTimeoutMargin)}
	return sending{id: a.lastID, to: chosen.id, request: request}
}

// expire fails the requests whose deadline has passed, suspends their relays and
// returns them.
func (a *adviser) expire(now time.Time) []pendingAdvice {
	var expired []pendingAdvice
	for _, id := range slices.Sorted(maps.Keys(a.pending)) {
		pending := a.pending[id]
		if !now.After(pending.deadline) {
			continue
		}
		pending.relay.suspendedUntil = now.Add(relayCoolDown)
		pending.relay.lateInARow++
		a.late.add(lateAdvice{id: id, peer: pending.relay.id, failedAt: now})
		a.done(now, id, nil, true)
		expired = append(expired, pending)
	}
	return expired
}

// handle handles the outcome of a request: a reply, or a failure. It returns false
// for one that is not in flight.
func (a *adviser) handle(now time.Time, id uint64, allowed []scheduler.Ticket, failed bool) (pendingAdvice, bool) {
	pending, ok := a.pending[id]
	if !ok {
		return pending, false
	}
	if !failed {
		pending.relay.lateInARow = 0
	}
	a.done(now, id, allowed, failed)
	return pending, true
}

func (a *adviser) done(now time.Time, id uint64, allowed []scheduler.Ticket, failed bool) {
	pending := a.pending[id]
	delete(a.pending, id)
	pending.relay.inFlight--
	a.core.AdviceDone(now, pending.request, allowed, failed)
}

// remove removes a relay that has disconnected, fails its requests in flight and
// returns how many there were.
func (a *adviser) remove(now time.Time, id requester.EntryID) int {
	a.relays.remove(id)
	failed := 0
	for _, requestID := range slices.Sorted(maps.Keys(a.pending)) {
		if a.pending[requestID].relay.id == id {
			a.done(now, requestID, nil, true)
			failed++
		}
	}
	return failed
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
