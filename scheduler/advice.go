package scheduler

import (
	"cmp"
	"slices"
	"time"

	"kumquatstall/requester"
)

// stepAdvice caches the advice service's responses for one step. Whether a
// worker may run the step never changes once decided; only tickets expire.
type stepAdvice struct {
	// decided holds the workers for which a response was received.
	decided map[requester.HostID]bool
	tickets map[requester.HostID]ticket
	// allowed lists the workers that have been given a ticket, valid or
	// expired, sorted by host.
	allowed []requester.HostID
	// inFlight counts the requests without a response, requested holds the
	// workers that they name.
	inFlight  int
	requested map[requester.HostID]bool
	// retryAt is the earliest time of the next request after a failed one.
	retryAt time.Time
	// failedInARow counts the failed requests since the last response.
	failedInARow int
	// expandAfter is the time before which no advice on further workers is
	// requested, because the allowed ones suffice or there are no others.
	expandAfter time.Time
	// stale lists allowed workers that had capacity but no valid ticket when
	// the step was last scanned.
	stale []requester.HostID
}

// ticket permits one incarnation of a worker to run the step until it expires.
type ticket struct {
	text      string
	bootedAt  time.Time
	expiresAt time.Time
}

// Bounds on advice requests.
const (
	// maxAdviceWorkers is the maximum number of workers in one request.
	maxAdviceWorkers = 100
	// ticketMargin is how long before its expiry a ticket is no longer used,
	// so that it is still valid when the start order reaches the worker.
	ticketMargin = 100 * time.Millisecond
	// minAdviceWorkers is the least number of undecided workers that a request
	// names, if there are as many: a few more cost little, and the available
	// capacity changes before the response arrives.
	minAdviceWorkers = 12
	// requestFactor is the multiple of the capacity needed by a step on which
	// it requests advice, counting only the share of workers that is expected
	// to be allowed.
	requestFactor = 2
	// sufficientFactor is the multiple of the capacity needed by a step that
	// its allowed workers must have once all has ended there but the tasks that
	// last. Beyond that, waiting for capacity is cheaper than requesting advice on more
	// workers.
	sufficientFactor = 4
	// expandInterval is the interval at which a step that needs no advice on
	// further workers checks this again.
	expandInterval = 500 * time.Millisecond
	// maxRoomWait is how long a step waits for room on the workers known to be
	// allowed, beside room on others, before it requests advice on these.
	maxRoomWait = time.Second
	// gangRequestFactor is how many gangs of the same size the allowed workers
	// of a gang must be able to hold once all has ended there but the tasks
	// that last.
	// busyGangRequestFactor replaces it when all capacity for long requests is
	// in use; in between, the factor is interpolated.
	gangRequestFactor     = 10
	busyGangRequestFactor = 3
	// apartRequestFactor is how many gangs of the same size, each task on a
	// place of its own, the allowed workers of a gang must be able to hold if it
	// is kept apart.
	apartRequestFactor = 3
	// maxGangRequests is the maximum number of requests in flight for one gang.
	maxGangRequests = 4
	// longRequestTime is the expected duration above which a request is long.
	longRequestTime = 250 * time.Millisecond
	// gangTolerance is the share of the wanted slots that may be missing
	// without another request for the gang.
	gangTolerance = 0.1
	// initialAllowedShare is the assumed share of allowed workers before the
	// first response. minAllowedShare is the lower bound of the estimated
	// share.
	initialAllowedShare = 0.4
	minAllowedShare     = 0.05
	// allowedShareDecay is the weight of the previous estimate in the moving
	// average of the allowed share.
	allowedShareDecay = 0.9
	// adviceRetryDelay is the delay between a failed request and the next one
	// of the same step.
	adviceRetryDelay = 100 * time.Millisecond
)

// invalidate marks the ticket of a worker as expired.
func (a *stepAdvice) invalidate(id requester.HostID) {
	if t, ok := a.tickets[id]; ok {
		t.expiresAt = time.Time{}
		a.tickets[id] = t
	}
}

// validTicket returns the ticket for the current incarnation of a worker, if it
// remains valid at now for at least ticketMargin.
func (a *stepAdvice) validTicket(w *worker, now time.Time) (string, bool) {
	t, ok := a.tickets[w.info.HostID]
	if !ok || !t.bootedAt.Equal(w.bootedAt) || !now.Add(ticketMargin).Before(t.expiresAt) {
		return "", false
	}
	return t.text, true
}

// allows reports whether a worker may run the step, and whether that is
// decided.
func (a *stepAdvice) allows(w *worker) (allowed, known bool) {
	_, allowed = a.tickets[w.info.HostID]
	return allowed, a.decided[w.info.HostID]
}

// AdviceCapacity is the number of advice requests that can be sent now.
type AdviceCapacity struct {
	// Any counts requests of any length. Short counts further requests that
	// must not be Long: it is set aside so that short requests do not queue
	// behind long ones.
	Any   int
	Short int
}

// Long reports whether the response is expected to take longer than
// longRequestTime.
func (o *AdviceRequest) Long() bool { return o.ExpectedAt.Sub(o.RequestedAt) > longRequestTime }

// acquire takes capacity for one request and reports whether there was any.
// Short requests use the capacity set aside for them first.
func (capacity *AdviceCapacity) acquire(long bool) bool {
	switch {
	case !long && capacity.Short > 0:
		capacity.Short--
	case capacity.Any > 0:
		capacity.Any--
	default:
		return false
	}
	return true
}

// RequestAdvice returns the advice requests to send now, in the order of the
// steps' rank, within the given capacity. The caller passes the outcome of each
// to AdviceDone.
func (c *Core) RequestAdvice(now time.Time, capacity AdviceCapacity) []AdviceRequest {
	c.now = now
	c.adviceLoad = share(int64(c.longInFlight), int64(c.longInFlight+capacity.Any))
	// c.open has been sorted by rank in the last placement pass.
	var requests []AdviceRequest
	for _, s := range c.open {
		if capacity == (AdviceCapacity{}) {
			break
		}
		if s.job().spec.Advice == nil || s.waiting == 0 || now.Before(s.advice.retryAt) || !c.runsKnown(s) && len(c.repeatWorkers(s)) == 0 {
			continue
		}
		if capacity.Any == 0 && s.job().spec.Advice.long(minAdviceWorkers) {
			continue
		}
		for s.advice.inFlight < s.maxRequests() {
			workers := c.adviceWorkers(s)
			if len(workers) == 0 || !capacity.acquire(s.job().spec.Advice.long(len(workers))) {
				break
			}
			requests = append(requests, c.newAdviceRequest(s, workers))
		}
	}
	return requests
}

// maxRequests returns the maximum number of requests in flight for the step. A
// gang needs advice on many workers before any of its tasks can start.
func (s *step) maxRequests() int {
	if s.def.Gang {
		return maxGangRequests
	}
	return 1
}

// newAdviceRequest returns a request for advice on the given workers and
// records it as in flight. It also adds the step's start record, so that the
// commit of the record overlaps with the request.
func (c *Core) newAdviceRequest(s *step, workers []requester.HostID) AdviceRequest {
	c.recordStart(s)
	s.advice.inFlight++
	if s.advice.requested == nil {
		s.advice.requested = make(map[requester.HostID]bool)
	}
	for _, id := range workers {
		s.advice.requested[id] = true
	}
	c.awaitingAdvice[s.name()] = s
	c.stats.AdviceAsked++
	request := AdviceRequest{Step: s.name(), Workers: workers, RequestedAt: c.now, ExpectedAt: c.now.Add(s.job().spec.Advice.duration(len(workers))), FailedInARow: s.advice.failedInARow}
	if request.Long() {
		c.longInFlight++
	}
	return request
}

// adviceWorkers returns the workers for the next advice request of a step:
// those of its reservation whose tickets must be renewed, else those with
// capacity but without a valid ticket, else workers not decided yet. Each
// worker in a request lengthens it, so no more are named than the step is
// likely to need.
func (c *Core) adviceWorkers(s *step) []requester.HostID {
	if toRepeat := c.repeatWorkers(s); len(toRepeat) > 0 {
		return toRepeat
	}
	if toRenew := c.ticketsToRenew(s); len(toRenew) > 0 {
		return toRenew
	}
	if len(s.advice.stale) > 0 && s.advice.inFlight == 0 {
		return s.advice.stale[:min(len(s.advice.stale), maxAdviceWorkers)]
	}
	if c.now.Before(s.advice.expandAfter) {
		return nil
	}
	if s.def.Gang {
		return c.gangAdviceWorkers(s)
	}
	if c.allowedSlots(s, (*step).placesInTime) >= sufficientFactor*s.waiting && !c.waitsBesideRoom(s) {
		s.advice.expandAfter = c.now.Add(expandInterval)
		return nil
	}
	return c.workersWithRoom(s)
}

// workersWithRoom returns the undecided workers for a request that is to find room
// for the waiting tasks of a step now.
func (c *Core) workersWithRoom(s *step) []requester.HostID {
	return c.undecidedWorkers(s, requestFactor*float64(s.waiting)/c.allowedShare(s.job().spec.Queue), c.slots)
}

// waitsBesideRoom reports whether a step has waited for room on the workers that are
// allowed to run it, for longer than a short task takes, while less than half of the
// processors are in use. Others may have room now, whatever becomes free in time on
// those.
func (c *Core) waitsBesideRoom(s *step) bool {
	return s.wait.reason == WaitRoom && c.now.Sub(s.wait.since) >= maxRoomWait && !c.busy()
}

// gangAdviceWorkers returns the workers for the next advice request of a gang.
// It counts the tasks that workers could hold in time, because a gang waits for
// running tasks to end. A gang that is kept apart needs as many workers besides.
func (c *Core) gangAdviceWorkers(s *step) []requester.HostID {
	factor := gangRequestFactor + c.adviceLoad*(busyGangRequestFactor-gangRequestFactor)
	if workers := c.workersForGang(s, factor, (*step).slotsInTime); len(workers) > 0 {
		return workers
	}
	if s.def.AntiAffinity > 0 {
		if workers := c.workersForGang(s, apartRequestFactor, (*step).placesInTime); len(workers) > 0 {
			return workers
		}
	}
	if c.waitsBesideRoom(s) && s.advice.inFlight == 0 {
		return c.workersWithRoom(s)
	}
	s.advice.expandAfter = c.now.Add(expandInterval)
	return nil
}

// workersForGang returns the workers to request advice on for the allowed ones
// to hold as many gangs of the same size as factor says, as counted by slotsOn.
// It returns none if they do.
func (c *Core) workersForGang(s *step, factor float64, slotsOn func(*step, *worker) int) []requester.HostID {
	share := c.allowedShare(s.job().spec.Queue)
	wanted := factor * float64(s.def.Count)
	missing := wanted - float64(c.allowedSlots(s, slotsOn))
	expected := 0
	for id := range s.advice.requested {
		if w, ok := c.workers[id]; ok && !s.advice.decided[id] {
			expected += slotsOn(s, w)
		}
	}
	missing -= share * float64(expected)
	if missing < gangTolerance*wanted {
		return nil
	}
	return c.undecidedWorkers(s, missing/share, slotsOn)
}

// undecidedWorkers returns workers that are neither decided nor in a request,
// those with most free slots first, until they have slots for the wanted number
// of tasks, as counted by slotsOn. It returns at least minAdviceWorkers, if
// there are as many, and at most maxAdviceWorkers.
func (c *Core) undecidedWorkers(s *step, wanted float64, slotsOn func(*step, *worker) int) []requester.HostID {
	type option struct {
		worker *worker
		free   int
	}
	var options []option
	for _, w := range c.sortedWorkers {
		if id := w.info.HostID; !s.advice.decided[id] && !s.advice.requested[id] && w.usable() && c.compatible(s, w) {
			options = append(options, option{w, c.slots(s, w)})
		}
	}
	if len(options) == 0 {
		// There are no further workers until the list of workers changes.
		s.advice.expandAfter = c.now.Add(expandInterval)
		return nil
	}
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(b.free, a.free) })
	var ids []requester.HostID
	slots := 0.0
	for _, o := range options {
		if len(ids) >= minAdviceWorkers && slots >= wanted || len(ids) == maxAdviceWorkers {
			break
		}
		ids = append(ids, o.worker.info.HostID)
		slots += float64(min(slotsOn(s, o.worker), s.waiting))
	}
	return ids
}

// allowedSlots returns how many tasks of a step its allowed workers could hold,
// as counted by slotsOn.
func (c *Core) allowedSlots(s *step, slotsOn func(*step, *worker) int) int {
	slots := 0
	for _, id := range s.advice.allowed {
		if w, ok := c.workers[id]; ok && w.usable() {
			slots += slotsOn(s, w)
		}
	}
	return slots
}

// allowedShare returns the estimated share of workers that may run the steps of
// a queue.
func (c *Core) allowedShare(queue string) float64 {
	if share, ok := c.allowedShares[queue]; ok {
		return max(share, minAllowedShare)
	}
	return initialAllowedShare
}

// learnAllowedShare updates the estimate of allowedShare with one response.
func (c *Core) learnAllowedShare(queue string, requested, allowed int) {
	if requested == 0 {
		return
	}
	observed := float64(allowed) / float64(requested)
	if previous, ok := c.allowedShares[queue]; ok {
		observed = allowedShareDecay*previous + (1-allowedShareDecay)*observed
	}
	c.allowedShares[queue] = observed
}

// AdviceDone applies the response to an advice request. failed is true if none
// was received; the step then requests advice again after adviceRetryDelay.
func (c *Core) AdviceDone(now time.Time, request AdviceRequest, allowed []Ticket, failed bool) {
	c.now = now
	if request.Long() {
		c.longInFlight--
	}
	s, ok := c.awaitingAdvice[request.Step]
	if !ok {
		return
	}
	s.advice.inFlight--
	if s.advice.inFlight == 0 {
		delete(c.awaitingAdvice, request.Step)
	}
	for _, id := range request.Workers {
		delete(s.advice.requested, id)
	}
	if failed {
		s.advice.failedInARow++
		s.advice.retryAt = now.Add(adviceRetryDelay)
		return
	}
	c.applyAdvice(s, request, allowed, false)
}

// AddAdvice applies a response that has arrived after AdviceDone was called for its
// request without one, if the step still waits. Requests in flight go on.
func (c *Core) AddAdvice(now time.Time, request AdviceRequest, allowed []Ticket) {
	c.now = now
	if s := c.stepNamed(request.Step); s != nil && s.waiting > 0 && s.job().spec.Advice != nil {
		c.applyAdvice(s, request, allowed, true)
	}
}

// stepNamed returns a step, or nil if there is no such step any more.
func (c *Core) stepNamed(name StepName) *step {
	j, ok := c.jobs[name.Job]
	if !ok {
		return nil
	}
	for _, o := range j.occurrences {
		if o.number == name.Occurrence && name.Step >= 0 && name.Step < len(o.steps) {
			return o.steps[name.Step]
		}
	}
	return nil
}

// applyAdvice applies a response. A late one does not replace valid tickets, as its
// own may be older.
func (c *Core) applyAdvice(s *step, request AdviceRequest, allowed []Ticket, late bool) {
	s.advice.failedInARow = 0
	if s.advice.tickets == nil {
		s.advice.decided = make(map[requester.HostID]bool)
		s.advice.tickets = make(map[requester.HostID]ticket)
	}
	added := 0
	for _, id := range request.Workers {
		if !s.advice.decided[id] {
			added++
		}
		s.advice.decided[id] = true
	}
	// A renewal names allowed workers only, so it is no evidence of the share.
	if added == len(request.Workers) {
		c.learnAllowedShare(s.job().spec.Queue, added, len(allowed))
	}
	// The service issues tickets when it has decided, which takes most of the
	// time of a request. That was no earlier than the request was sent, nor
	// earlier than maxAdviceReturn ago; validity is counted from the later one.
	issued := request.RequestedAt
	until := issued.Add(time.Duration(s.job().spec.Advice.ValidMillis) * time.Millisecond)
	if decidedAt := c.now.Add(-maxAdviceReturn); decidedAt.After(issued) {
		until = decidedAt.Add(time.Duration(s.job().spec.Advice.ValidMillis) * time.Millisecond)
	}
	for _, a := range allowed {
		w, ok := c.workers[a.Worker]
		if !ok {
			// It has left the list meanwhile. If it comes back, it is asked about again.
			delete(s.advice.decided, a.Worker)
			continue
		}
		if _, valid := s.advice.validTicket(w, c.now); late && valid {
			continue
		}
		if _, known := s.advice.tickets[a.Worker]; !known {
			s.advice.allowed = append(s.advice.allowed, a.Worker)
		}
		s.advice.tickets[a.Worker] = ticket{text: a.Text, bootedAt: w.bootedAt, expiresAt: until}
	}
	slices.Sort(s.advice.allowed)
	s.advice.stale = nil
	s.scannedAt = time.Time{}
	c.placementPending = true
}

// maxAdviceReturn is the longest time that a response is assumed to take from
// the advice service to the owner.
const maxAdviceReturn = 100 * time.Millisecond
