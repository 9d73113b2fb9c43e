package dispatcher

import (
	"time"

	"kumquatstall/breaker"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// Bounds of advice requests.
const (
	// adviceTimeout bounds a request to the advice service, including the time
	// that it is queued there. Each one in a row that exceeds it doubles it, up to
	// maxAdviceTimeout, until one takes less than adviceTimeout: a service that is
	// slower than that for long still answers.
	adviceTimeout    = 3 * time.Second
	maxAdviceTimeout = 12 * time.Second
	// adviceDepth is the maximum number of requests in flight through each
	// relay. The service handles the requests of an entry host one at a time;
	// with a second one queued there, it is not idle between requests.
	adviceDepth = 2
	// suspectDepth replaces adviceDepth for a suspect.
	suspectDepth = 1
	// One in shortFraction relays, rounded down, sends short requests only.
	shortFraction = 5
	// The owner waits for the reply of a relay for the expected duration of the
	// request, including the requests in flight before it, as long again but no
	// longer than maxRelaySlack, and relayTimeoutMargin. A step that has waited
	// in vain for the longest request, which takes 1 s, has then time for another
	// within the 3 s in which its tasks must start.
	maxRelaySlack      = 500 * time.Millisecond
	relayTimeoutMargin = 250 * time.Millisecond
	// Where the replies of a relay arrive later than expected, the owner waits for
	// longer: for the lag that few of them exceed, but no more than maxRelayLag. Of
	// the 3 s for a step, that leaves as much for the reply of another relay.
	maxRelayLag = time.Second
	// A suspect gets a probe no sooner than relayCoolDown after the request that
	// made it one. Each probe without a reply doubles that time, up to
	// maxRelayCoolDown.
	relayCoolDown    = time.Second
	maxRelayCoolDown = 8 * time.Second
	// adviceCopies is how many more relays are asked at once for a step whose
	// last request has failed.
	adviceCopies = 2
)

// relayWait returns how long the owner waits for a reply that is expected after a
// time, from a relay whose replies may be late by lag.
func relayWait(expected, lag time.Duration) time.Duration {
	return expected + max(min(expected, maxRelaySlack)+relayTimeoutMargin, min(lag, maxRelayLag))
}

// relay is an entry that requests advice for the owner. It is trusted while its
// breaker is closed, and a suspect otherwise: from a request that failed until the
// next reply.
type relay struct {
	id       requester.EntryID
	inFlight int
	// busyUntil is when all of its requests in flight are expected to be
	// answered.
	busyUntil time.Time
	breaker   breaker.Breaker
	// trips counts how often the breaker has opened since the last reply.
	trips int
	// repliedAt is when its last reply arrived.
	repliedAt time.Time
}

func (r *relay) trusted() bool { return r.breaker.State() == "Closed" }

// failed records a request without a reply in time, or that the advice service did
// not answer.
func (r *relay) failed(now time.Time) {
	limits := breaker.Limits{FailureThreshold: 1, CoolDown: min(relayCoolDown<<r.trips, maxRelayCoolDown)}
	before := r.breaker.State()
	r.breaker.RecordFailure(now, limits)
	if before != r.breaker.State() && relayCoolDown<<r.trips < maxRelayCoolDown {
		r.trips++
	}
}

// suspect makes the relay a suspect that may be probed at once.
func (r *relay) suspect(now time.Time) {
	r.trips = 0
	r.breaker = breaker.New()
	r.breaker.RecordFailure(now, breaker.Limits{FailureThreshold: 1})
}

// replied records a reply. A late one counts as much as that to a probe, since it
// shows that the relay is well.
func (r *relay) replied(now time.Time) {
	r.repliedAt = now
	r.trips = 0
	r.breaker.RecordStart()
	r.breaker.RecordSuccess()
}

// free returns how many more requests can be sent through the relay now, if there
// is no better one.
func (r *relay) free() int {
	if !r.trusted() {
		return max(0, suspectDepth-r.inFlight)
	}
	return max(0, adviceDepth-r.inFlight)
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
	*r = append(*r, &relay{id: id, breaker: breaker.New()})
}

func (r *relays) remove(id requester.EntryID) {
	for i, candidate := range *r {
		if candidate.id == id {
			*r = append((*r)[:i], (*r)[i+1:]...)
			return
		}
	}
}

// serving returns the relays through which steps get advice: the trusted ones, or
// all if none is trusted.
func (r relays) serving() relays {
	var trusted relays
	for _, candidate := range r {
		if candidate.trusted() {
			trusted = append(trusted, candidate)
		}
	}
	if len(trusted) == 0 {
		return r
	}
	return trusted
}

// suspects returns how many relays are not trusted.
func (r relays) suspects() int {
	count := 0
	for _, candidate := range r {
		if !candidate.trusted() {
			count++
		}
	}
	return count
}

// split returns the serving relays that send short requests only, and the others.
func (r relays) split() (short, any relays) {
	serving := r.serving()
	count := len(serving) / shortFraction
	return serving[len(serving)-count:], serving[:len(serving)-count]
}

// capacity returns how many more requests can be sent now.
func (r relays) capacity() scheduler.AdviceCapacity {
	short, any := r.split()
	return scheduler.AdviceCapacity{Any: any.freeSlots(), Short: short.freeSlots()}
}

// freeSlots returns how many more requests can be sent through these relays.
func (r relays) freeSlots() int {
	count := 0
	for _, candidate := range r {
		count += candidate.free()
	}
	return count
}

// choose returns the relay for a request, or nil if none is free. A short request
// uses the relays for short requests first, in the same order as the core uses up
// scheduler.AdviceCapacity.
func (r relays) choose(now time.Time, long bool) *relay {
	short, any := r.split()
	if !long {
		if chosen := short.leastBusy(now); chosen != nil {
			return chosen
		}
	}
	return any.leastBusy(now)
}

// leastBusy returns the best of the relays that are free, or nil if none is.
func (r relays) leastBusy(now time.Time) *relay {
	var best *relay
	for _, candidate := range r {
		if candidate.free() > 0 && (best == nil || candidate.preferredTo(best, now)) {
			best = candidate
		}
	}
	return best
}

// preferredTo reports whether a relay is better for a request than another one: it
// has fewer requests in flight, or as many and is expected to be free first. Of two
// that are expected to be free now, it is the one that has replied last, for of the
// other nothing newer is known.
func (r *relay) preferredTo(other *relay, now time.Time) bool {
	if r.inFlight != other.inFlight {
		return r.inFlight < other.inFlight
	}
	if r.busyUntil.After(now) || other.busyUntil.After(now) {
		return r.busyUntil.Before(other.busyUntil)
	}
	return r.repliedAt.After(other.repliedAt)
}
