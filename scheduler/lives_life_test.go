package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"kumquatstall/requester"
)

// A life of a worker in the model of lives: what it executes, and the checks from its point of view.

func (l *life) clock() WorkerTime {
	return l.clockAtBirth + WorkerTime(float64(l.worker.m.now.Sub(l.born).Milliseconds())*l.worker.rate)
}

// leaseEnd returns when the life's lease expires.
func (l *life) leaseEnd() time.Time {
	return l.born.Add(time.Duration(float64(l.lease-l.clockAtBirth) / l.worker.rate * float64(time.Millisecond)))
}

// extend extends the lease up to a deadline, by at most the longest lease.
func (l *life) extend(c *livesCall, deadline WorkerTime) {
	longest := l.clock() + WorkerTime(livesMaxLease/time.Millisecond)
	if deadline = min(deadline, longest); deadline > l.lease {
		l.lease, l.grantedBy = deadline, c
	}
}

func (l *life) acceptFence(c *livesCall) bool {
	m := l.worker.m
	if c.fence < l.fence {
		m.traceExecuted(l, c, "rejected by its fence")
		return false
	}
	l.fence = c.fence
	return true
}

// traceExecuted traces a call that is executed, unless it is an answered poll that
// acknowledges nothing.
func (m *livesModel) traceExecuted(l *life, c *livesCall, what string) {
	if c.kind == callPoll && c.ack == 0 && c.fate.kind == fateAnswered && c.fate.slow+c.fate.back == 0 && c.meant.Equal(l.told) {
		return
	}
	other := ""
	if !c.meant.Equal(l.told) {
		other = " (not the life that it was meant for)"
	}
	m.tracef("  w%d life %d%s executes the %v: %s; lease until %.3f", l.worker.index, l.number, other, c, what, l.leaseEnd().Sub(m.base).Seconds())
}

func (l *life) start(c *livesCall, order StartOrder) OrderResult {
	m := l.worker.m
	if !l.acceptFence(c) {
		return OrderFenced
	}
	key := runKey{order.Task, order.Run}
	if _, ok := l.runs[key]; ok {
		return OrderAccepted
	}
	if order.Deadline <= l.clock() {
		m.traceExecuted(l, c, "rejected as late")
		return OrderExpired
	}
	l.extend(c, order.Deadline)
	if order.Run <= l.barred[order.Task] {
		m.traceExecuted(l, c, "rejected as old")
		return OrderStaleRun
	}
	j := m.jobs[jobNumber(order.Task.Job)]
	r := &lifeRun{key: key, call: c, life: l, at: m.now, endsAt: m.now.Add(j.length), gang: j.gang}
	l.runs[key] = r
	m.traceExecuted(l, c, "accepted")
	m.checkStart(r)
	return OrderAccepted
}

func jobNumber(id requester.JobID) int { return int(id[1] - '0') }

// checkStart checks that a run that has started is the only one of its task, and that
// no end of the task as done is taken note of.
func (m *livesModel) checkStart(r *lifeRun) {
	for _, w := range m.workers {
		if w.life == nil {
			continue
		}
		for key, other := range w.life.runs {
			if other != r && key.name == r.key.name {
				m.fail("two runs at once: "+r.describe()+" | "+other.describe()+" | lease by "+w.life.grantedBy.describe(w.life),
					fmt.Sprintf("two runs of %s at once: run %s on w%d beside run %s on w%d", shortName(key.name), shortRun(r.key.number), r.life.worker.index, shortRun(key.number), w.index))
			}
		}
	}
	for _, e := range m.ends[r.key.name] {
		e.later = append(e.later, r)
		if e.notedBy != nil {
			m.failNoted(e, r)
		}
	}
}

func (m *livesModel) failNoted(e *livesEnd, r *lifeRun) {
	m.fail("start after a noted end: "+r.describe()+" | ended: "+e.run.describe()+" | noted by "+e.notedBy.describe(e.run.life),
		fmt.Sprintf("run %s of %s started on w%d after run %s ended as done on w%d, of which note is taken", shortRun(r.key.number), shortName(r.key.name), r.life.worker.index, shortRun(e.run.key.number), e.run.life.worker.index))
}

// describe returns how the start of a run was executed.
func (r *lifeRun) describe() string { return r.call.describe(r.life) }

// describe returns by which life the call was executed, and with which fate.
func (c *livesCall) describe(l *life) string {
	if c == nil {
		return "nothing"
	}
	life := "its life"
	if !c.meant.Equal(l.told) {
		life = "another life"
	}
	return fmt.Sprintf("%v of owner %d, %v, by %s", c.kind, c.epoch, c.fate.kind, life)
}

func (l *life) stop(c *livesCall, order StopOrder) OrderResult {
	m := l.worker.m
	if !l.acceptFence(c) {
		return OrderFenced
	}
	l.barred[order.Task] = max(l.barred[order.Task], order.Run)
	if r, ok := l.runs[runKey{order.Task, order.Run}]; ok && r.stopsAt.IsZero() {
		r.stopsAt = m.now.Add(time.Duration(m.draw(uint64(m.now.Sub(m.base))).IntN(900)) * time.Millisecond)
	}
	m.traceExecuted(l, c, "accepted")
	return OrderAccepted
}

// poll executes a poll, whose answer waits for an end if it is a long one.
func (l *life) poll(c *livesCall, order PollOrder, respond func(*Report, OrderResult)) {
	m := l.worker.m
	if !l.acceptFence(c) {
		respond(nil, OrderFenced)
		return
	}
	l.extend(c, order.Deadline)
	forgotten := l.forget(c)
	m.traceExecuted(l, c, "accepted"+forgotten)
	answer := func() { respond(l.report(), OrderAccepted) }
	if !c.long || len(l.ended) > 0 {
		answer()
		return
	}
	l.waiting = append(l.waiting, &waitingPoll{m.now.Add(PollWait), answer})
	m.after(PollWait, m.advance)
}

// forget forgets the ends that a poll acknowledges, and takes note of those that are done.
func (l *life) forget(c *livesCall) string {
	var forgotten strings.Builder
	for len(l.ended) > 0 && l.ended[0].Number <= c.ack {
		e := l.ended[0]
		l.ended = l.ended[1:]
		if l.worker.m.tracing {
			fmt.Fprintf(&forgotten, ", forgets end %d (%s run %s %v)", e.Number, shortName(e.Task), shortRun(e.Run), e.Kind)
		}
		if e.Kind != EndDone || e.Number <= l.lapsedEnd {
			continue
		}
		e.notedBy = c
		if len(e.later) > 0 {
			l.worker.m.failNoted(e, e.later[0])
		}
	}
	return forgotten.String()
}

func (l *life) report() *Report {
	m := l.worker.m
	report := &Report{Clock: l.clock(), BootedAt: l.told}
	for _, e := range l.ended {
		if m.endsPerReport > 0 && len(report.Ended) == m.endsPerReport {
			report.Partial, report.More = true, true
			break
		}
		report.Ended = append(report.Ended, e.EndedRun)
	}
	for _, r := range l.sortedRuns() {
		report.Running = append(report.Running, RunningTask{Task: r.key.name, Run: r.key.number, Percent: r.percent()})
	}
	return report
}

// percent is how much of its work the run has done.
func (r *lifeRun) percent() int {
	m := r.life.worker.m
	began, length := r.at, r.endsAt.Sub(r.at)
	if r.gang {
		at, ok := m.gangs[livesGangKey{r.key.name.StepName, r.key.number}]
		if !ok {
			return 0
		}
		began = at
	}
	return min(99, int(100*m.now.Sub(began)/max(1, length)))
}

func (l *life) sortedRuns() []*lifeRun {
	var runs []*lifeRun
	for _, r := range l.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(a, b *lifeRun) int {
		return cmp.Or(cmp.Compare(a.key.name.Job, b.key.name.Job), cmp.Compare(a.key.name.Index, b.key.name.Index), cmp.Compare(a.key.number, b.key.number))
	})
	return runs
}

// advance lets the lives go on until now.
func (m *livesModel) advance() {
	for _, w := range m.workers {
		if w.life != nil && len(w.life.runs) > 0 {
			w.life.advance()
		}
		if w.life != nil && w.life.lease > 0 && !m.now.Before(w.life.leaseEnd()) {
			w.life.lapsedEnd = w.life.lastEnd
		}
	}
	if m.hasGangs {
		m.advanceGangs()
	}
	for _, w := range m.workers {
		if w.life != nil && len(w.life.waiting) > 0 {
			w.life.answerWaiting()
		}
	}
}

// advance ends the runs that end by now. Those that end with the lease end last.
func (l *life) advance() {
	m := l.worker.m
	leaseEnd := l.leaseEnd()
	if m.now.Before(leaseEnd) && !l.anyOver() {
		return
	}
	runs := l.sortedRuns()
	slices.SortStableFunc(runs, func(a, b *lifeRun) int { return a.over().Compare(b.over()) })
	for _, r := range runs {
		over := r.over()
		if r.gang && r.stopsAt.IsZero() || !over.Before(leaseEnd) && !r.killed || over.After(m.now) {
			continue
		}
		switch {
		case r.killed:
			l.end(r, EndExpired, over)
		case r.stopsAt.IsZero():
			l.end(r, EndDone, over)
		default:
			l.end(r, EndStopped, over)
		}
	}
	if m.now.Before(leaseEnd) {
		return
	}
	l.lapsedEnd = l.lastEnd
	for _, r := range l.sortedRuns() {
		l.kill(r, leaseEnd)
	}
}

// anyOver reports whether some run may have ended by now.
func (l *life) anyOver() bool {
	for _, r := range l.runs {
		if !r.over().After(l.worker.m.now) {
			return true
		}
	}
	return false
}

// over returns when the run ends unless its lease expires.
func (r *lifeRun) over() time.Time {
	if !r.stopsAt.IsZero() {
		return r.stopsAt
	}
	return r.endsAt
}

func (l *life) end(r *lifeRun, kind EndKind, at time.Time) {
	delete(l.runs, r.key)
	l.barred[r.key.name] = max(l.barred[r.key.name], r.key.number)
	l.lastEnd++
	e := &livesEnd{EndedRun: EndedRun{Number: l.lastEnd, Task: r.key.name, Run: r.key.number, Kind: kind}, run: r, at: at}
	l.ended = append(l.ended, e)
	m := l.worker.m
	m.tracef("  w%d life %d: run %s of %s ended as %v at %.3f, end %d", l.worker.index, l.number, shortRun(r.key.number), shortName(r.key.name), kind, at.Sub(m.base).Seconds(), e.Number)
	if kind == EndDone {
		m.ends[r.key.name] = append(m.ends[r.key.name], e)
	}
}

func (l *life) answerWaiting() {
	m := l.worker.m
	l.waiting = slices.DeleteFunc(l.waiting, func(p *waitingPoll) bool {
		over := len(l.ended) > 0 || !m.now.Before(p.until)
		if over {
			p.answer()
		}
		return over
	})
}

// advanceGangs ends the gangs whose members have done their work together, and those that
// have lost a member.
func (m *livesModel) advanceGangs() {
	members := make(map[livesGangKey][]*lifeRun)
	var keys []livesGangKey
	for _, w := range m.workers {
		if w.life == nil {
			continue
		}
		for _, r := range w.life.sortedRuns() {
			if r.gang {
				key := livesGangKey{r.key.name.StepName, r.key.number}
				if members[key] == nil {
					keys = append(keys, key)
				}
				members[key] = append(members[key], r)
			}
		}
	}
	for _, key := range keys {
		m.advanceGang(key, members[key])
	}
}

func (m *livesModel) advanceGang(key livesGangKey, members []*lifeRun) {
	began, started := m.gangs[key]
	stopping := slices.ContainsFunc(members, func(r *lifeRun) bool { return !r.stopsAt.IsZero() })
	switch {
	case len(members) == 1 && started && !stopping:
		members[0].life.end(members[0], EndGangAborted, m.now)
	case len(members) == 1 && m.now.Sub(members[0].at) >= livesGangTime && !stopping:
		members[0].life.end(members[0], EndGangIncomplete, m.now)
	case len(members) == 2 && !started:
		m.gangs[key] = m.now
	case len(members) == 2 && !stopping && m.now.Sub(began) >= members[0].endsAt.Sub(members[0].at):
		for _, r := range members {
			r.life.end(r, EndDone, m.now)
		}
	}
}
