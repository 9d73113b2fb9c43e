package dispatcher

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"kumquatstall/requester"
	"kumquatstall/retrier"
	"kumquatstall/scheduler"
)

func newRelays(count int) relays {
	var r relays
	for i := range count {
		r.add(requester.EntryID(fmt.Sprintf("entry-%02d", i)))
	}
	return r
}

// TestReservedAdvisers checks that a fifth of the relays is reserved for short
// requests. If long requests could use all of them, short ones would be queued
// behind long ones.
func TestReservedAdvisers(t *testing.T) {
	tests := []struct {
		entries int
		want    scheduler.AdviceCapacity
	}{
		{1, scheduler.AdviceCapacity{Any: adviceDepth}},
		{4, scheduler.AdviceCapacity{Any: 4 * adviceDepth}},
		{5, scheduler.AdviceCapacity{Any: 4 * adviceDepth, Short: adviceDepth}},
		{43, scheduler.AdviceCapacity{Any: 35 * adviceDepth, Short: 8 * adviceDepth}},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.entries), func(t *testing.T) {
			is := is.New(t)
			now := time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC)
			r := newRelays(test.entries)
			is.Equal(r.capacity(), test.want)
			// Every request that the capacity allows finds a relay, if the long
			// requests come first.
			for range test.want.Any {
				chosen := r.choose(now, true)
				is.True(chosen != nil)
				chosen.inFlight++
			}
			is.True(r.choose(now, true) == nil)
			for range test.want.Short {
				chosen := r.choose(now, false)
				is.True(chosen != nil)
				chosen.inFlight++
			}
			is.True(r.choose(now, false) == nil)
		})
	}
}

// maxUnstarted is how long a job may have nothing running while there is room for
// it (rule LOST).
const maxUnstarted = 3 * time.Second

// service is how the advice service answers the requests through one relay: one
// after the other.
type service struct {
	// silent is true if it does not answer. broken is true if it answers at once
	// that the request has failed.
	silent, broken bool
	// slowdown multiplies the duration of each request, if it is above 0; lag is
	// added.
	slowdown float64
	lag      time.Duration
	// freeAt is when it has handled all requests sent before.
	freeAt time.Time
	// asked are the steps of the requests sent through the relay.
	asked []int
}

// adviceStep is a step that waits for advice.
type adviceStep struct {
	duration     time.Duration
	requestedAt  time.Time
	answeredAt   time.Time
	inFlight     bool
	retryAt      time.Time
	failedInARow int
}

// adviceReply is a reply on its way to the owner.
type adviceReply struct {
	at     time.Time
	id     uint64
	failed bool
}

// adviceWorld plays, in virtual time, an adviser whose relays answer as their
// services do. It is also the core that the adviser reports to: its steps request
// advice until they have it, and again 100 ms after a failure, as those of
// scheduler.Core do.
type adviceWorld struct {
	t        *testing.T
	now      time.Time
	adviser  *adviser
	services map[requester.EntryID]*service
	steps    []*adviceStep
	replies  []adviceReply
	// expired counts the requests that were late.
	expired int
}

const ownerName = requester.EntryID("entry-00")

func newAdviceWorld(t *testing.T, entries int) *adviceWorld {
	w := &adviceWorld{t: t, now: time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC), services: make(map[requester.EntryID]*service)}
	w.adviser = newAdviser(w, ownerName, 1)
	for _, r := range newRelays(entries) {
		w.adviser.relays.add(r.id)
		w.services[r.id] = &service{}
	}
	return w
}

// AdviceDone implements advised.
func (w *adviceWorld) AdviceDone(now time.Time, request scheduler.AdviceRequest, _ []scheduler.Ticket, failed bool) {
	s := w.steps[request.Step.Step]
	if !s.inFlight {
		w.t.Errorf("the core got an outcome for step %d, which has no request in flight", request.Step.Step)
	}
	s.inFlight = false
	if failed {
		s.failedInARow++
		s.retryAt = now.Add(100 * time.Millisecond)
		return
	}
	s.failedInARow, s.answeredAt = 0, now
}

// AddAdvice implements advised.
func (w *adviceWorld) AddAdvice(now time.Time, request scheduler.AdviceRequest, _ []scheduler.Ticket) {
	s := w.steps[request.Step.Step]
	if s.answeredAt.IsZero() {
		s.failedInARow, s.answeredAt = 0, now
	}
}

// add adds a step whose requests are expected to take the given time.
func (w *adviceWorld) add(duration time.Duration) *adviceStep {
	s := &adviceStep{duration: duration, requestedAt: w.now}
	w.steps = append(w.steps, s)
	return s
}

// run advances the time in ticks of the session.
func (w *adviceWorld) run(length time.Duration) {
	for until := w.now.Add(length); w.now.Before(until); w.now = w.now.Add(tickInterval) {
		w.deliver()
		w.expired += len(w.adviser.expire(w.now))
		for _, sent := range w.adviser.ask(w.now, w.requests(w.adviser.capacity())) {
			w.serve(sent)
		}
	}
}

// deliver hands the replies that have arrived to the adviser.
func (w *adviceWorld) deliver() {
	slices.SortStableFunc(w.replies, func(a, b adviceReply) int { return a.at.Compare(b.at) })
	for len(w.replies) > 0 && !w.replies[0].at.After(w.now) {
		reply := w.replies[0]
		w.replies = w.replies[1:]
		w.adviser.handle(w.now, reply.id, nil, reply.failed)
	}
}

// requests returns the requests of the steps that wait, within a capacity.
func (w *adviceWorld) requests(capacity scheduler.AdviceCapacity) []scheduler.AdviceRequest {
	var requests []scheduler.AdviceRequest
	for number, s := range w.steps {
		if s.inFlight || !s.answeredAt.IsZero() || w.now.Before(s.retryAt) {
			continue
		}
		request := scheduler.AdviceRequest{Step: scheduler.StepName{Step: number}, RequestedAt: w.now, ExpectedAt: w.now.Add(s.duration), FailedInARow: s.failedInARow}
		switch {
		case !request.Long() && capacity.Short > 0:
			capacity.Short--
		case capacity.Any > 0:
			capacity.Any--
		default:
			continue
		}
		s.inFlight = true
		requests = append(requests, request)
	}
	return requests
}

// serve handles a request at its relay's service.
func (w *adviceWorld) serve(sent sending) {
	s := w.services[sent.to]
	s.asked = append(s.asked, sent.request.Step.Step)
	switch {
	case s.silent:
	case s.broken:
		w.replies = append(w.replies, adviceReply{at: w.now.Add(tickInterval), id: sent.id, failed: true})
	default:
		took := time.Duration(cmp.Or(s.slowdown, 1) * float64(w.steps[sent.request.Step.Step].duration))
		if s.freeAt.Before(w.now) {
			s.freeAt = w.now
		}
		s.freeAt = s.freeAt.Add(took)
		w.replies = append(w.replies, adviceReply{at: s.freeAt.Add(s.lag), id: sent.id})
	}
}

// warmUp lets every relay reply at least once.
func (w *adviceWorld) warmUp() {
	for range 4 * len(w.services) {
		w.add(20 * time.Millisecond)
	}
	w.run(time.Second)
	for number, s := range w.steps {
		if s.answeredAt.IsZero() {
			w.t.Fatalf("step %d has no advice although all relays are sound", number)
		}
	}
	for _, s := range w.services {
		s.asked = nil
	}
}

// silence makes the services silent of all relays but one.
func (w *adviceWorld) silence(sound requester.EntryID) {
	for id, s := range w.services {
		s.silent = id != sound
	}
}

// checkWaits checks that no step has waited for longer than maxUnstarted.
func (w *adviceWorld) checkWaits() {
	w.t.Helper()
	late, longest := 0, time.Duration(0)
	for _, s := range w.steps {
		waited := w.now.Sub(s.requestedAt)
		if !s.answeredAt.IsZero() {
			waited = s.answeredAt.Sub(s.requestedAt)
		}
		longest = max(longest, waited)
		if waited > maxUnstarted {
			late++
		}
	}
	if late > 0 {
		w.t.Errorf("%d of %d steps waited for more than %v for advice; the longest wait was %v", late, len(w.steps), maxUnstarted, longest)
	}
}

// TestOneStepAmongSilentRelays guards against a step that asks one silent relay
// after the other while another relay is sound.
func TestOneStepAmongSilentRelays(t *testing.T) {
	for _, entries := range []int{2, 8, 40} {
		for _, duration := range []time.Duration{12 * time.Millisecond, 100 * time.Millisecond, time.Second} {
			t.Run(fmt.Sprintf("%d/%v", entries, duration), func(t *testing.T) {
				w := newAdviceWorld(t, entries)
				w.warmUp()
				w.silence(ownerName)
				for range 10 {
					w.add(duration)
					w.run(4 * time.Second)
				}
				w.checkWaits()
			})
		}
	}
}

// TestStepsAmongSilentRelays guards against steps that are asked at silent relays
// again and again, as cool-downs end, while one relay is sound and could handle
// all of them in time.
func TestStepsAmongSilentRelays(t *testing.T) {
	w := newAdviceWorld(t, 8)
	w.warmUp()
	w.silence(ownerName)
	for range 500 {
		w.add(20 * time.Millisecond)
		w.run(40 * time.Millisecond)
	}
	w.run(4 * time.Second)
	w.checkWaits()
}

// TestSuspectAdviser checks that a relay that has not replied in time gets no
// request of a step that no other relay gets until it has replied, and single ones
// at growing intervals meanwhile.
func TestSuspectAdviser(t *testing.T) {
	is := is.New(t)
	w := newAdviceWorld(t, 2)
	w.warmUp()
	silent := w.services["entry-01"]
	silent.silent = true
	const length = time.Minute
	for until := w.now.Add(length); w.now.Before(until); {
		for range 3 {
			w.add(10 * time.Millisecond)
		}
		w.run(50 * time.Millisecond)
	}
	delayed := 0
	for _, s := range w.steps {
		if s.answeredAt.IsZero() || s.answeredAt.Sub(s.requestedAt) > 200*time.Millisecond {
			delayed++
		}
	}
	is.True(delayed <= adviceDepth) // the requests that were in flight when the relay became silent
	// Cool-downs of 1, 2 and 4 s, then of 8 s, leave room for 10 probes in a minute.
	is.True(len(silent.asked) > adviceDepth)
	is.True(len(silent.asked) <= adviceDepth+10)

	// It is sound again: after the next probe it gets its share.
	silent.silent, silent.asked = false, nil
	for until := w.now.Add(length); w.now.Before(until); {
		for range 3 {
			w.add(10 * time.Millisecond)
		}
		w.run(50 * time.Millisecond)
	}
	is.True(len(silent.asked) > 1000)
}

// TestAllRelaysLate guards against a stop while every relay is suspect, also the
// owner itself: each goes on being asked, and the first to answer is found at once.
func TestAllRelaysLate(t *testing.T) {
	for sound := range 8 {
		t.Run(fmt.Sprint(sound), func(t *testing.T) {
			is := is.New(t)
			w := newAdviceWorld(t, 8)
			w.warmUp()
			w.silence("")
			for range 100 {
				w.add(20 * time.Millisecond)
				w.run(100 * time.Millisecond)
			}
			for _, s := range w.services {
				is.True(len(s.asked) > 0)
			}
			// One answers again.
			w.silence(requester.EntryID(fmt.Sprintf("entry-%02d", sound)))
			back := w.now
			w.run(10 * time.Second)
			for number, s := range w.steps {
				// The 100 steps take 2 s of the one service.
				if s.answeredAt.IsZero() || s.answeredAt.Sub(back) > 2*time.Second+maxUnstarted {
					t.Errorf("step %d has no advice %v after a relay is sound again", number, 2*time.Second+maxUnstarted)
				}
			}
		})
	}
}

// TestBrokenAdviser guards against a relay that is asked first because it is never
// busy: it replies at once that its request has failed.
func TestBrokenAdviser(t *testing.T) {
	is := is.New(t)
	w := newAdviceWorld(t, 8)
	w.warmUp()
	broken := w.services["entry-03"]
	broken.broken = true
	for range 500 {
		w.add(50 * time.Millisecond)
		w.run(20 * time.Millisecond)
	}
	w.run(time.Second)
	w.checkWaits()
	delayed := 0
	for _, s := range w.steps {
		if s.answeredAt.IsZero() || s.answeredAt.Sub(s.requestedAt) > 100*time.Millisecond {
			delayed++
		}
	}
	is.True(delayed <= adviceDepth) // those that found it broken
}

// TestFailedStep guards against a request that fails wherever it is sent, and takes
// the relays from all other steps.
func TestFailedStep(t *testing.T) {
	is := is.New(t)
	w := newAdviceWorld(t, 8)
	w.warmUp()
	bad := w.add(20 * time.Millisecond)
	for range 100 {
		w.add(20 * time.Millisecond)
		w.deliver()
		for id, pending := range w.adviser.pending {
			if w.steps[stepOf(pending)] == bad {
				w.adviser.handle(w.now, id, nil, true)
			}
		}
		w.run(100 * time.Millisecond)
		is.True(w.adviser.relays.suspects() <= 1)
	}
	w.run(time.Second)
	for _, s := range w.steps {
		is.True(s == bad || s.answeredAt.Sub(s.requestedAt) < time.Second)
	}
}

func stepOf(pending pendingAdvice) int { return pending.request.Step.Step }

// TestRelinkedAdviser checks that a suspect to which there is a new link is probed
// with the next request, whether the old link was reported down or replaced, and
// that the requests in flight over the old link fail at once.
func TestRelinkedAdviser(t *testing.T) {
	for name, down := range map[string]bool{"replaced": false, "down": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newAdviceWorld(t, 2)
			w.warmUp()
			silent := w.services["entry-01"]
			silent.silent = true
			for range 1000 {
				w.add(10 * time.Millisecond)
				w.add(10 * time.Millisecond)
				w.run(40 * time.Millisecond)
			}
			is.Equal(w.adviser.relays.suspects(), 1)
			silent.silent, silent.asked = false, nil
			if down {
				w.adviser.remove(w.now, "entry-01")
			}
			w.adviser.linked(w.now, "entry-01")
			is.Equal(w.adviser.relays.suspects(), 1) // a new link is no reply
			for _, pending := range w.adviser.pending {
				is.True(pending.relay.id != "entry-01")
			}
			w.add(10 * time.Millisecond)
			w.run(100 * time.Millisecond)
			is.Equal(len(silent.asked), 1)
			is.Equal(w.adviser.relays.suspects(), 0)
		})
	}
}

// TestLateReplyIsUsed guards against replies that are dropped because they arrive
// after the deadline: while every reply is late, no step would ever have advice.
func TestLateReplyIsUsed(t *testing.T) {
	is := is.New(t)
	const lag = 800 * time.Millisecond
	w := newAdviceWorld(t, 4)
	w.warmUp()
	for _, s := range w.services {
		s.lag = lag
	}
	for range 10 {
		step := w.add(20 * time.Millisecond)
		w.run(4 * time.Second)
		is.True(!step.answeredAt.IsZero())
		is.True(step.answeredAt.Sub(step.requestedAt) <= lag+100*time.Millisecond) // by the first reply
	}
	w.checkWaits()
}

// TestLateReplyOverANewLink checks that a reply counts for the relay that has sent
// it if the link was replaced meanwhile.
func TestLateReplyOverANewLink(t *testing.T) {
	is := is.New(t)
	w := newAdviceWorld(t, 2)
	w.warmUp()
	for _, s := range w.services {
		s.lag = time.Second
	}
	step := w.add(20 * time.Millisecond)
	w.add(20 * time.Millisecond)
	w.run(200 * time.Millisecond)
	w.adviser.remove(w.now, "entry-01")
	w.adviser.linked(w.now, "entry-01")
	w.run(900 * time.Millisecond)
	is.True(!step.answeredAt.IsZero())
	is.Equal(w.adviser.relays.suspects(), 0)
}

// TestBoundLearns guards against a bound that cuts every request off for ever because
// the service, the links or the relays have become slower than the policy says: each
// is asked again, which makes them slower still.
func TestBoundLearns(t *testing.T) {
	tests := []struct {
		name     string
		duration time.Duration
		slow     service
	}{
		{"links", 20 * time.Millisecond, service{lag: 800 * time.Millisecond}},
		{"service", 200 * time.Millisecond, service{slowdown: 4}},
		{"long requests", 600 * time.Millisecond, service{slowdown: 2.2}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			w := newAdviceWorld(t, 4)
			w.warmUp()
			for _, s := range w.services {
				s.lag, s.slowdown = test.slow.lag, test.slow.slowdown
			}
			play := func(steps int) {
				for range steps {
					w.add(test.duration)
					w.run(500 * time.Millisecond)
				}
			}
			play(60)
			sent, expired := w.adviser.lastID, w.expired
			play(100)
			is.Equal(w.expired-expired, 0)
			is.Equal(w.adviser.lastID-sent, uint64(100)) // each request is sent once
			w.run(5 * time.Second)
			w.checkWaits()

			// A relay that does not reply is found out all the same, within the limit.
			w.silence(ownerName)
			for range 20 {
				w.add(test.duration)
				w.run(5 * time.Second)
			}
			for _, s := range w.steps {
				is.True(!s.answeredAt.IsZero())
				is.True(s.answeredAt.Sub(s.requestedAt) <= test.duration+maxRelayLag+100*time.Millisecond+time.Duration(cmp.Or(test.slow.slowdown, 1)*float64(test.duration))+test.slow.lag+5*tickInterval)
			}
		})
	}
}

// TestBoundForgets checks that the bound is short again once replies are.
func TestBoundForgets(t *testing.T) {
	is := is.New(t)
	w := newAdviceWorld(t, 1)
	w.warmUp()
	only := w.services[ownerName]
	only.lag = 800 * time.Millisecond
	for range 40 {
		w.add(20 * time.Millisecond)
		w.run(time.Second)
	}
	only.lag = 0
	for range 200 {
		w.add(20 * time.Millisecond)
		w.run(50 * time.Millisecond)
	}
	sent := w.adviser.ask(w.now, []scheduler.AdviceRequest{{RequestedAt: w.now, ExpectedAt: w.now.Add(20 * time.Millisecond)}})
	is.Equal(w.adviser.pending[sent[0].id].deadline, w.now.Add(relayWait(20*time.Millisecond, 0)))
}

// TestAdviceForFormerOwner guards against a step that gets the tickets of another one, as a
// relay's reply to the entry's earlier session, or to its former incarnation, reaches the
// present one, which numbers its requests alike.
func TestAdviceForFormerOwner(t *testing.T) {
	is := is.New(t)
	w := newAdviceWorld(t, 1)
	w.add(20 * time.Millisecond)
	ask := func(epoch int64) uint64 {
		w.adviser = newAdviser(w, ownerName, epoch)
		sent := w.adviser.ask(w.now, []scheduler.AdviceRequest{{RequestedAt: w.now, ExpectedAt: w.now.Add(20 * time.Millisecond)}})
		is.Equal(len(sent), 1)
		return sent[0].id
	}
	former := ask(1)
	ask(2)
	_, known := w.adviser.handle(w.now, former, nil, false)
	is.True(!known)
	is.Equal(len(w.adviser.pending), 1)
}

// TestRelayOfASlowService guards against requests to the advice service that are cut
// off for ever because each takes longer than their timeout.
func TestRelayOfASlowService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slow := &slowAdvice{takes: adviceTimeout + time.Second}
		d := &Dispatcher{platform: slow, clock: NewClock()}
		call := func() error {
			_, err := d.requestAdvice(context.Background(), scheduler.StepName{}, nil)
			return err
		}
		is.True(call() != nil)
		is.NoErr(call())
		is.NoErr(call())
		// The service is fast again, and then silent: that is noticed as soon as before.
		slow.takes = time.Millisecond
		is.NoErr(call())
		slow.takes = time.Hour
		sentAt := time.Now()
		is.True(call() != nil)
		is.True(time.Since(sentAt) <= adviceTimeout)
		for range 4 {
			sentAt = time.Now()
			is.True(call() != nil)
		}
		is.True(time.Since(sentAt) <= maxAdviceTimeout)
	})
}

// slowAdvice is a platform whose advice service takes a while.
type slowAdvice struct {
	Platform
	takes time.Duration
}

func (s *slowAdvice) RequestAdvice(ctx context.Context, _ scheduler.StepName, _ []requester.HostID) ([]scheduler.Ticket, error) {
	if !retrier.Sleep(ctx, s.takes) {
		return nil, errors.Wrap(ctx.Err(), "request advice")
	}
	return nil, nil
}

// TestProbeWhileOthersAreBusy guards against a relay that stays a suspect after its
// link was replaced because the trusted ones are busy, so that no new request is sent
// of which it could get a copy.
func TestProbeWhileOthersAreBusy(t *testing.T) {
	is := is.New(t)
	w := newAdviceWorld(t, 2)
	w.warmUp()
	w.services["entry-01"].silent = true
	for range 10 {
		w.add(time.Second)
	}
	w.run(3500 * time.Millisecond)
	is.Equal(w.adviser.relays.suspects(), 1)
	w.services["entry-01"].silent = false
	w.services["entry-01"].asked = nil
	is.Equal(w.adviser.capacity(), scheduler.AdviceCapacity{})
	w.adviser.linked(w.now, "entry-01")
	w.run(2 * tickInterval)
	is.Equal(len(w.services["entry-01"].asked), 1)
	w.run(1100 * time.Millisecond)
	is.Equal(w.adviser.relays.suspects(), 0)
}
