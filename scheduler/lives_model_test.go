package scheduler

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"kumquatstall/requester"
)

// The model of the search of lives (lives_search_test.go): a cell of a few workers, its store, its
// list of workers and its owners, in virtual time.

// livesOutcome is the outcome of a case.
type livesOutcome struct {
	problem string
	// kind is the problem without its numbers, to tell the kinds of faults apart.
	kind  string
	trace []string
	// unanswered are the calls whose fate was another one than to be answered at once.
	unanswered []*livesCall
	ended      time.Duration
}

const (
	livesCallTime  = 700 * time.Millisecond
	livesPollTime  = 1700 * time.Millisecond
	livesHeldTime  = 12 * time.Second
	livesTail      = 60 * time.Second
	livesGangTime  = 8 * time.Second
	livesMaxLease  = 10 * time.Second
	livesListEvery = 700 * time.Millisecond
	livesPastTime  = time.Minute
	// livesStoredWait is how long the loss of an owner waits for its starts to be stored.
	livesStoredWait = 3 * time.Second
)

// livesModel plays a case.
type livesModel struct {
	livesCase
	base  time.Time
	now   time.Time
	core  *Core
	epoch int64
	// clock is what the owner's clock shows beyond the time of the model.
	clock   time.Duration
	workers []*livesWorker
	events  []event
	serial  int
	// accepted are the jobs in the order of their numbers, rows the rows of the store.
	accepted []Job
	rows     map[string][]byte
	ends     map[TaskName][]*livesEnd
	gangs    map[livesGangKey]time.Time
	inFlight *Batch
	// lost is true from the loss of the owner until the next one begins.
	lost    bool
	lingers bool
	// sentAt is when the last transaction that committed was sent.
	sentAt    time.Time
	storedAt  time.Time
	leaseTerm time.Duration
	// eager is what the owner's row says, startsEagerly what the owner does.
	eager, startsEagerly bool
	revision             int64
	heldCalls            int
	// seen counts the calls of each kind for fates.
	seen     [duelCalls]int
	hasGangs bool
	// endedJobs are the jobs that are stored as ended.
	endedJobs map[requester.JobID]bool
	tracing   bool
	outcome   livesOutcome
	// unansweredStarts are the starts of the owner that have had no answer.
	unansweredStarts map[callKey]*livesCall
	calmFrom         time.Time
	livesFreezes
	listReadAt time.Time
	// startSentAt is when an owner last sent a start.
	startSentAt time.Time
}

func playLives(c livesCase, tracing bool) *livesOutcome {
	base := time.Date(2026, 12, 7, 5, 0, 0, 0, time.UTC)
	m := &livesModel{livesCase: c, base: base, now: base, tracing: tracing, rows: make(map[string][]byte), ends: make(map[TaskName][]*livesEnd), gangs: make(map[livesGangKey]time.Time), unansweredStarts: make(map[callKey]*livesCall), endedJobs: make(map[requester.JobID]bool)}
	for i := range c.workers {
		m.workers = append(m.workers, m.newWorker(i))
	}
	m.schedule()
	m.takeOver()
	m.play()
	m.outcome.ended = m.now.Sub(base)
	return &m.outcome
}

// schedule schedules the jobs and the faults.
func (m *livesModel) schedule() {
	m.calmFrom = m.base
	for i, j := range m.jobs {
		if j.removed {
			continue
		}
		m.hasGangs = m.hasGangs || j.gang
		m.after(j.at, func() { m.submit(i, j) })
		m.delayCalm(j.at)
	}
	for _, f := range m.faults {
		m.after(f.at, func() { m.inject(f) })
		m.delayCalm(f.at + f.length + f.listedAfter)
		if f.afterStart {
			m.delayCalm(f.at + livesStartWait)
		}
		if f.kind == faultOwnerLost && m.storedFirst {
			m.delayCalm(f.at + livesStoredWait)
		}
	}
	for _, s := range m.storms {
		m.delayCalm(s.to)
	}
}

func (m *livesModel) delayCalm(at time.Duration) {
	if t := m.base.Add(at); t.After(m.calmFrom) {
		m.calmFrom = t
	}
}

func (m *livesModel) after(wait time.Duration, do func()) {
	m.serial++
	e := event{m.now.Add(wait), m.serial, do}
	at, _ := slices.BinarySearchFunc(m.events, e, func(a, b event) int { return cmp.Or(a.at.Compare(b.at), a.serial-b.serial) })
	m.events = slices.Insert(m.events, at, e)
}

func (m *livesModel) tracef(format string, args ...any) {
	if m.tracing {
		m.outcome.trace = append(m.outcome.trace, fmt.Sprintf("%7.3f ", m.now.Sub(m.base).Seconds())+fmt.Sprintf(format, args...))
	}
}

// fail records the first problem.
func (m *livesModel) fail(kind, problem string) {
	m.tracef("PROBLEM %s", problem)
	if m.outcome.problem == "" {
		m.outcome.kind, m.outcome.problem = kind, fmt.Sprintf("%.3f %s", m.now.Sub(m.base).Seconds(), problem)
	}
}

// play advances the time until all jobs have ended and no call is held any more.
func (m *livesModel) play() {
	for m.outcome.problem == "" {
		end := m.now.Add(m.step)
		for len(m.events) > 0 && !m.events[0].at.After(end) && m.outcome.problem == "" {
			e := m.events[0]
			m.events = m.events[1:]
			m.now = e.at
			e.do()
		}
		m.now = end
		m.advance()
		m.tick()
		if m.now.Before(m.calmFrom) {
			continue
		}
		if m.heldCalls == 0 && !m.lost && m.allEnded() {
			return
		}
		if m.now.After(m.calmFrom.Add(livesTail)) {
			m.fail("waits", "a job has not ended "+livesTail.String()+" after the last fault")
		}
	}
}

func (m *livesModel) allEnded() bool {
	for _, job := range m.accepted {
		if !m.endedInStore(job.JobID) {
			return false
		}
	}
	for _, w := range m.workers {
		if w.life != nil && len(w.life.runs) > 0 {
			return false
		}
	}
	return true
}

func (m *livesModel) submit(number int, j livesJob) {
	s := Step{Count: 1, Need: requester.Resources{MilliCores: 1000, MemoryMB: 100}, EstimateMillis: j.length.Milliseconds()}
	if j.gang {
		s.Count, s.Gang, s.AntiAffinity = 2, true, 1
	}
	job := Job{
		JobID: requester.JobID("j" + strconv.Itoa(number)), Queue: "queue", AcceptedAt: m.now, Steps: []Step{s},
		Policy: Policy{Service: "service", MaxAttempts: 3, Stretch: 9, ObjectiveMillis: 500},
	}
	m.accepted = append(m.accepted, job)
	m.rows[JobKey(job.JobID)] = EncodeRow(job)
	m.revision++
	m.tracef("%s of %v is accepted, gang %v", job.JobID, j.length, j.gang)
	if !m.lost {
		m.core.Add(m.ownerNow(), job)
	}
}

// inject injects a fault.
func (m *livesModel) inject(f livesFault) {
	switch f.kind {
	case faultRebirth:
		m.workers[f.worker].crash(f)
	case faultCut:
		w := m.workers[f.worker]
		m.tracef("w%d is cut off for %v", f.worker, f.length)
		if until := m.now.Add(f.length); until.After(w.cutUntil) {
			w.cutUntil = until
		}
		w.hide(f)
	case faultOwnerLost:
		m.loseOwner(f)
	case faultFreeze:
		m.freezeAtCall(f.length)
	case faultStaleEntry:
		m.workers[f.worker].showStale(f)
	}
}

// tick lets the owner commit and issue orders, as dispatcher does.
func (m *livesModel) tick() {
	if m.lost && !m.lingers || m.frozen() {
		return
	}
	if !m.lost && m.now.Sub(m.listReadAt) >= livesListEvery {
		m.readList()
	}
	m.commit()
	if m.now.Before(m.leaseValidUntil()) {
		if m.mutate != nil {
			m.mutate(m.core)
		}
		m.deliver(m.tickCore())
	}
	m.takeLogRecords()
	if m.core.Fenced() && !m.lost {
		m.loseOwner(livesFault{})
	}
}

// draw returns the random numbers of a key of the case.
func (m *livesModel) draw(key uint64) *rand.Rand { return rand.New(rand.NewPCG(m.seed, key)) }
