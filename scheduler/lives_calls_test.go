package scheduler

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// The calls of the model of lives: their fates, and what arrives when at which life.

// callKind is the kind of a call to a worker.
type callKind int

const (
	callStart callKind = iota
	callStop
	callPoll
)

func (k callKind) String() string { return [...]string{"start", "stop", "poll"}[k] }

// livesCall is a call that a core has issued.
type livesCall struct {
	kind   callKind
	worker int
	epoch  int64
	at     time.Duration
	name   TaskName
	run    RunNumber
	fence  Fence
	ack    int64
	long   bool
	// meant is the birth of the life for which it was meant, address where it was sent.
	meant   time.Time
	address netip.AddrPort
	fate    livesFate
	// stood is for how long the owner stood still before it was sent.
	stood time.Duration
}

// callKey identifies a call across plays of a case.
type callKey struct {
	kind   callKind
	worker int
	at     time.Duration
	name   TaskName
	run    RunNumber
}

func (c *livesCall) key() callKey { return callKey{c.kind, c.worker, c.at, c.name, c.run} }

func (c *livesCall) String() string {
	text := fmt.Sprintf("%v of %.3f s to w%d by owner %d, generation %d", c.kind, c.at.Seconds(), c.worker, c.epoch, c.fence&(1<<generationBits-1))
	if c.kind != callPoll {
		text += fmt.Sprintf(", %s run %s", shortName(c.name), shortRun(c.run))
	} else if c.ack > 0 {
		text += fmt.Sprintf(", acknowledges end %d", c.ack)
	}
	return text
}

func shortName(name TaskName) string { return fmt.Sprintf("%s.%d", name.Job, name.Index) }

// shortRun returns the epoch and the number of a run in it.
func shortRun(number RunNumber) string {
	return fmt.Sprintf("%d/%d", number/runsPerEpoch+1, number%runsPerEpoch)
}

// deliver sends the orders of the core.
func (m *livesModel) deliver(orders Orders) {
	core := m.core
	for _, order := range orders.Stops {
		c := m.newCall(callStop, order.Worker, order.Fence)
		c.name, c.run = order.Task, order.Run
		m.send(c, livesCallTime, func(l *life, respond func(func())) {
			result := l.stop(c, order)
			respond(func() { core.StopDone(m.ownerNow(), order, result) })
		}, func(result OrderResult) { core.StopDone(m.ownerNow(), order, result) })
	}
	for _, order := range orders.Starts {
		c := m.newCall(callStart, order.Worker, order.Fence)
		c.name, c.run = order.Task, order.Run
		m.checkIssued(c)
		m.startSentAt = m.now
		m.send(c, livesCallTime, func(l *life, respond func(func())) {
			result, clock := l.start(c, order), l.clock()
			respond(func() {
				if result == OrderAccepted {
					core.StartAccepted(m.ownerNow(), order, clock)
				} else {
					core.StartDone(m.ownerNow(), order, result)
				}
			})
		}, func(result OrderResult) { core.StartDone(m.ownerNow(), order, result) })
	}
	for _, order := range orders.Polls {
		c := m.newCall(callPoll, order.Worker, order.Fence)
		c.ack, c.long = order.AcknowledgedEnd, order.LongPoll
		timeout := livesCallTime
		if c.long {
			timeout = livesPollTime
		}
		m.send(c, timeout, func(l *life, respond func(func())) {
			l.poll(c, order, func(report *Report, result OrderResult) {
				respond(func() { core.PollDone(m.ownerNow(), order, report, result) })
			})
		}, func(result OrderResult) { core.PollDone(m.ownerNow(), order, nil, result) })
	}
}

// checkIssued checks that no start is issued of a job that is stored as ended.
func (m *livesModel) checkIssued(c *livesCall) {
	if m.endedInStore(c.name.Job) {
		m.fail("start of an ended job", c.String())
	}
}

func (m *livesModel) newCall(kind callKind, to WorkerRef, fence Fence) *livesCall {
	index := slices.IndexFunc(m.workers, func(w *livesWorker) bool { return w.info.HostID == to.HostID })
	return &livesCall{kind: kind, worker: index, epoch: m.epoch, at: m.now.Sub(m.base), fence: fence, meant: to.BootedAt, address: to.Address}
}

// send sends a call to its fate. The caller gives it up after the timeout.
func (m *livesModel) send(c *livesCall, timeout time.Duration, execute func(*life, func(func())), fail func(OrderResult)) {
	c.fate = m.fateOf(c)
	m.beginFreeze(c)
	if c.fate.kind != fateAnswered || c.fate.slow+c.fate.back > 0 {
		m.outcome.unanswered = append(m.outcome.unanswered, c)
	}
	if c.kind != callPoll || c.ack > 0 || c.fate.kind != fateAnswered || c.fate.slow+c.fate.back > 0 {
		m.tracef("%v; its fate: %v %v, slow by %v and %v", c, c.fate.kind, c.fate.delay, c.fate.slow, c.fate.back)
	}
	core, done := m.core, false
	finish := func(do func()) {
		if !done && core == m.core && (!m.lost || m.lingers) {
			done = true
			m.awake(do)
		}
	}
	if c.kind == callStart {
		m.unansweredStarts[c.key()] = c
	}
	w := m.workers[c.worker]
	m.afterAwake(timeout, func() { finish(func() { fail(OrderUnknown) }) })
	respond := func(reply func()) {
		if c.fate.kind != fateAnswered {
			return
		}
		m.after(5*time.Millisecond+c.fate.back, func() {
			if !m.now.Before(w.cutUntil) {
				delete(m.unansweredStarts, c.key())
				finish(reply)
			}
		})
	}
	m.heldCalls++
	m.after(5*time.Millisecond+c.fate.slow, func() { m.arrive(w, c, execute, respond, func(result OrderResult) { finish(func() { fail(result) }) }) })
}

// arrive lets a call arrive at a worker, or wait for it.
func (m *livesModel) arrive(w *livesWorker, c *livesCall, execute func(*life, func(func())), respond func(func()), fail func(OrderResult)) {
	if m.notSent(c) {
		m.after(m.frozenUntil.Add(5*time.Millisecond).Sub(m.now), func() { m.arrive(w, c, execute, respond, fail) })
		return
	}
	if left, ok := w.left[c.address]; ok {
		m.arriveWhereLeft(left, c, fail)
		return
	}
	cut := m.now.Before(w.cutUntil)
	if !cut && w.life != nil {
		m.carryOut(w, c, execute, respond)
		return
	}
	if !cut && w.refuses {
		m.heldCalls--
		delete(m.unansweredStarts, c.key())
		m.after(5*time.Millisecond, func() { fail(OrderUnsent) })
		return
	}
	until := w.downUntil
	if w.cutUntil.After(until) {
		until = w.cutUntil
	}
	until = until.Add(20 * time.Millisecond)
	if !c.fate.held || until.After(m.base.Add(c.at+c.stood+livesHeldTime)) {
		m.heldCalls--
		return
	}
	m.after(until.Sub(m.now), func() { m.arrive(w, c, execute, respond, fail) })
}

// carryOut executes a call that has arrived, by its fate.
func (m *livesModel) carryOut(w *livesWorker, c *livesCall, execute func(*life, func(func())), respond func(func())) {
	switch c.fate.kind {
	case fateNever:
		m.heldCalls--
	case fateLate:
		delay := min(c.fate.delay, m.base.Add(c.at+c.stood+livesHeldTime).Sub(m.now))
		m.after(delay, func() {
			m.heldCalls--
			m.advance()
			if w.life != nil && w.info.Address == c.address {
				execute(w.life, respond)
			}
		})
	case fateAnswered, fateLost:
		m.heldCalls--
		m.advance()
		execute(w.life, respond)
	}
}

// fateOf returns the fate of a call.
func (m *livesModel) fateOf(c *livesCall) livesFate {
	if m.fates != nil {
		fate := m.fates(c, &m.seen)
		if m.calm[c.key()] {
			fate = livesFate{held: fate.held}
		}
		return fate
	}
	if m.calm[c.key()] {
		return livesFate{}
	}
	for i := range m.storms {
		if s := &m.storms[i]; s.worker == c.worker && c.at >= s.from && c.at < s.to {
			return m.drawFate(s, c)
		}
	}
	return livesFate{}
}

func (m *livesModel) drawFate(s *livesStorm, c *livesCall) livesFate {
	index := uint64(0)
	if c.name.Job != "" {
		index = uint64(c.name.Job[1])<<8 + uint64(c.name.Index)<<4 + uint64(c.run%16)
	}
	r := m.draw(uint64(c.at)<<20 + index<<4 + uint64(c.kind)<<2 + uint64(c.worker))
	fate := livesFate{held: r.IntN(2) == 0}
	if r.IntN(8) == 0 {
		fate.slow = time.Duration(r.IntN(690)) * time.Millisecond
	}
	if r.IntN(8) == 0 {
		fate.back = time.Duration(r.IntN(690)) * time.Millisecond
	}
	total := 0
	for _, weight := range s.weights {
		total += weight
	}
	draw := r.IntN(total)
	for draw >= s.weights[fate.kind] {
		draw -= s.weights[fate.kind]
		fate.kind++
	}
	if fate.kind == fateLate {
		fate.delay = m.drawDelay(r, c)
	}
	return fate
}

// drawDelay draws the delay of a late call, mostly so that it is executed early in a later
// life.
func (m *livesModel) drawDelay(r *rand.Rand, c *livesCall) time.Duration {
	const shortest, longest = 2 * time.Second, livesHeldTime - 10*time.Millisecond
	var delays []time.Duration
	for _, f := range m.faults {
		if f.kind == faultRebirth && f.worker == c.worker {
			delays = append(delays, f.at+f.length-c.at+time.Duration(r.IntN(1500))*time.Millisecond)
		}
	}
	if len(delays) > 0 && r.IntN(3) > 0 {
		if delay := delays[r.IntN(len(delays))]; delay >= shortest && delay <= longest {
			return delay
		}
	}
	return shortest + time.Duration(r.IntN(int((longest-shortest)/time.Millisecond)))*time.Millisecond
}
