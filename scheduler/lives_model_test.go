package scheduler

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"kumquatstall/requester"
)

// The model of the search of lives (lives_search_test.go): a cell of a few workers, its store, its
// list of workers and its owners, in virtual time.

// callKind is the kind of a call to a worker.
type callKind int

const (
	callStart callKind = iota
	callStop
	callPoll
)

func (k callKind) String() string { return [...]string{"start", "stop", "poll"}[k] }

// fateKind is what becomes of a call.
type fateKind int

const (
	// fateAnswered is the zero value: the call is executed and answered.
	fateAnswered fateKind = iota
	// fateLost means that it is executed and the answer is lost.
	fateLost
	// fateLate means that it is executed after a delay, by whatever life is there then.
	fateLate
	// fateNever means that it is never executed.
	fateNever
)

func (k fateKind) String() string { return [...]string{"answered", "lost", "late", "never"}[k] }

// livesFate is the fate of a call.
type livesFate struct {
	kind fateKind
	// delay is how long after its arrival a late call is executed.
	delay time.Duration
	// held lets a call to a worker that is down or cut off arrive when that is over.
	held bool
	// slow is added to the time until the call arrives, back to that of its answer.
	slow, back time.Duration
}

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

// faultKind is the kind of a fault that a case schedules.
type faultKind int

const (
	faultRebirth faultKind = iota
	faultCut
	faultOwnerLost
	faultFreeze
	// faultStaleEntry lets the list show the entry of a former life.
	faultStaleEntry
)

func (k faultKind) String() string {
	return [...]string{"rebirth", "cut", "owner lost", "owner stands still", "stale entry"}[k]
}

// livesFault is a scheduled fault.
type livesFault struct {
	kind   faultKind
	worker int
	at     time.Duration
	// length is how long the worker is down or cut off, or until the next owner begins.
	length time.Duration
	// listedAfter is how long after a rebirth the list shows the new life.
	listedAfter time.Duration
	// refuses makes the host of a worker that is down refuse connections.
	refuses bool
	// unlisted lets the list lack the worker from the middle of its absence until it has
	// shown itself again.
	unlisted bool
	// lands lets the batch in flight of a lost owner reach the store; lingers lets the
	// owner issue orders until its lease expires, although it doesn't reach the store.
	lands, lingers bool
	// afterStart lets the owner be lost right after it has sent a start.
	afterStart bool
	// moves lets the next life begin at another address, taken lets another host ID answer
	// at the one that it has left.
	moves, taken bool
	// lives is how many lives back the stale entry is.
	lives int
}

// livesJob is a job of one step.
type livesJob struct {
	at     time.Duration
	length time.Duration
	gang   bool
	// removed takes the job out of the case; the others keep their numbers.
	removed bool
}

// livesStorm is a time in which the calls to a worker may have no answers.
type livesStorm struct {
	worker   int
	from, to time.Duration
	// weights are those of the fates.
	weights [4]int
}

// livesCase is a case of the search.
type livesCase struct {
	seed    uint64
	workers int
	step    time.Duration
	jobs    []livesJob
	faults  []livesFault
	storms  []livesStorm
	// fates, if it is set, chooses the fates instead of the storms.
	fates func(*livesCall, *[duelCalls]int) livesFate
	// calm has the calls that are answered all the same.
	calm map[callKey]bool
	// plain is an owner without bounded leases, slow a store that is slow, so that owners
	// of earlier versions start eagerly.
	plain, slow bool
	// clocksFromZero makes the clock of each life begin from 0, and not from any time.
	clocksFromZero bool
	// slowClocks makes the clocks of the workers run at the lowest rate.
	slowClocks bool
	// ownerClocks are what the clocks of owners show beyond the time of the model, in turn.
	ownerClocks []time.Duration
	// kills is how long after its lease has expired a run ends.
	kills time.Duration
	// pastEnds is how many ends each worker has listed before.
	pastEnds int64
	// endsPerReport is the most ends that a report lists.
	endsPerReport int
	// storedFirst lets an owner be lost only once each start that is not answered is stored.
	storedFirst bool
	// skewed makes the births that workers tell differ from the true ones, so that they
	// don't rise from life to life.
	skewed bool
	// mutate breaks a rule of the core before each tick, if it is set.
	mutate func(*Core)
}

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

// livesWorker is a worker and its lives.
type livesWorker struct {
	m     *livesModel
	index int
	info  WorkerInfo
	rate  float64
	// life is the present one; nil while the worker is down.
	life      *life
	lives     int
	downUntil time.Time
	refuses   bool
	cutUntil  time.Time
	// entries are those of the lives, of which the list shows the one with the index shown,
	// or stale until staleUntil, unless the worker is hidden.
	entries    []WorkerInfo
	shown      int
	stale      int
	staleUntil time.Time
	hidden     bool
	// left are the addresses that the worker has left.
	left map[netip.AddrPort]leftAddress
}

// life is one life of a worker.
type life struct {
	worker *livesWorker
	number int
	born   time.Time
	// told is the birth that the life tells, clockAtBirth what its clock showed when it began.
	told         time.Time
	clockAtBirth WorkerTime
	fence        Fence
	// lease is the deadline of the lease on the life's clock, grantedBy the call that set it.
	lease     WorkerTime
	grantedBy *livesCall
	runs      map[runKey]*lifeRun
	barred    map[TaskName]RunNumber
	ended     []*livesEnd
	lastEnd   int64
	// lapsedEnd is the last end before the lease lapsed.
	lapsedEnd int64
	waiting   []*waitingPoll
}

// lifeRun is a run in a life.
type lifeRun struct {
	key     runKey
	call    *livesCall
	life    *life
	at      time.Time
	endsAt  time.Time
	stopsAt time.Time
	// killed is true once its lease has expired.
	killed bool
	gang   bool
}

// livesEnd is an end that a life lists.
type livesEnd struct {
	EndedRun
	run *lifeRun
	at  time.Time
	// notedBy is the poll that took note of it; nil for none.
	notedBy *livesCall
	// later are the runs of the task that started after it.
	later []*lifeRun
}

type livesGangKey struct {
	name   StepName
	number RunNumber
}

// waitingPoll is a long poll that waits for an end.
type waitingPoll struct {
	until  time.Time
	answer func()
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

func (m *livesModel) newWorker(index int) *livesWorker {
	w := &livesWorker{m: m, index: index, rate: 1, left: make(map[netip.AddrPort]leftAddress)}
	if m.slowClocks {
		w.rate = minClockRate
	}
	w.info = WorkerInfo{
		HostID: requester.HostID("w" + strconv.Itoa(index)), Service: "service", Total: workerTotal,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(index)}), 1),
	}
	w.begin(m.now.Add(-livesPastTime))
	w.life.lastEnd, w.life.lapsedEnd = m.pastEnds, m.pastEnds
	return w
}

// begin begins a life, which knows nothing of those before.
func (w *livesWorker) begin(born time.Time) {
	w.lives++
	w.info.BootedAt = w.tells(born)
	w.entries = append(w.entries, w.info)
	w.life = &life{worker: w, number: w.lives, born: born, told: w.info.BootedAt, runs: make(map[runKey]*lifeRun), barred: make(map[TaskName]RunNumber)}
	if !w.m.clocksFromZero {
		w.life.clockAtBirth = clockAtBirth(born)
	}
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

func (m *livesModel) endedInStore(id requester.JobID) bool { return m.endedJobs[id] }

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

// crash ends the life of a worker, which begins another one soon.
func (w *livesWorker) crash(f livesFault) {
	m := w.m
	if w.life == nil {
		return
	}
	m.advance()
	m.tracef("w%d crashes, life %d ends", w.index, w.lives)
	w.life, w.refuses = nil, f.refuses
	w.downUntil = m.now.Add(f.length)
	w.hide(f)
	if f.moves {
		w.leave(f)
	}
	m.after(f.length, func() {
		w.begin(m.now)
		m.tracef("w%d: life %d begins at %v, tells %.3f", w.index, w.lives, w.info.Address, w.info.BootedAt.Sub(m.base).Seconds())
		number := len(w.entries) - 1
		m.after(f.listedAfter, func() { w.shown = max(w.shown, number) })
	})
}

// hide hides a worker from the list while it is away.
func (w *livesWorker) hide(f livesFault) {
	if !f.unlisted {
		return
	}
	w.m.after(f.length/2, func() { w.hidden = true })
	w.m.after(f.length+f.listedAfter, func() { w.hidden = false })
}

// loseOwner loses the owner. The next one begins once the lease of the lost one has
// expired.
func (m *livesModel) loseOwner(f livesFault) {
	if m.lost {
		return
	}
	if m.awaitsStart(f) {
		m.after(3*time.Millisecond, func() { m.loseOwner(f) })
		return
	}
	if m.storedFirst && m.startsUnstored() {
		if m.now.Before(m.base.Add(f.at + livesStoredWait)) {
			m.after(10*time.Millisecond, func() { m.loseOwner(f) })
		}
		return
	}
	m.tracef("owner %d is lost, its batch in flight lands %v, it goes on until its lease expires %v", m.epoch, f.lands && m.inFlight != nil, f.lingers)
	m.lost, m.lingers = true, f.lingers
	if f.lands && m.inFlight != nil {
		m.store(m.inFlight, m.eager)
	}
	m.inFlight = nil
	wait := max(0, m.leaseValidUntil().Sub(m.now)) + 200*time.Millisecond + f.length
	m.after(wait, func() {
		m.lost, m.lingers = false, false
		m.takeOver()
	})
	if at := m.now.Add(wait); at.After(m.calmFrom) {
		m.calmFrom = at
	}
}

// startsUnstored reports whether the store lacks a start that is not answered.
func (m *livesModel) startsUnstored() bool {
	for _, c := range m.unansweredStarts {
		if m.endedInStore(c.name.Job) || m.now.After(m.base.Add(c.at+maxOrderDelay)) {
			continue
		}
		var row progressRow
		if DecodeRow(m.rows[ProgressKey(c.name.Job)], &row) != nil || len(row.Occurrences) == 0 {
			return true
		}
		s := row.Occurrences[0].Steps[c.name.Step]
		if !s.AllDone && !bitSet(s.Done, c.name.Index) && s.Open[c.name.Index].Run < c.run {
			return true
		}
	}
	return false
}

// term is the term of the owner's lease.
func (m *livesModel) term() time.Duration {
	if m.slow {
		return 3 * time.Second
	}
	return 800 * time.Millisecond
}

func (m *livesModel) leaseValidUntil() time.Time { return m.sentAt.Add(m.term()) }

// takeOver begins an owner that is recovered from the store, with dispatcher's options.
func (m *livesModel) takeOver() {
	m.epoch++
	m.clock = m.ownerClock()
	clear(m.unansweredStarts)
	m.tracef("owner %d begins", m.epoch)
	m.core = New(Options{
		Epoch: m.epoch, MaxLease: livesMaxLease, PreviousOwnerEager: m.eager, PreviousOwnerTerm: m.term() + 200*time.Millisecond,
		PreviousLeaseTerm: m.leaseTerm, PreviousCommitAt: m.shown(m.storedAt),
	}, m.ownerNow())
	m.sentAt, m.storedAt, m.startsEagerly = m.now, m.now, false
	if !m.plain {
		m.core.Renewed(m.ownerNow())
	}
	m.restoreRows()
	for _, job := range m.accepted {
		rows := JobRows{Job: job, Progress: m.rows[ProgressKey(job.JobID)], Details: storedDetails(m.rows, job.JobID)}
		if err := m.core.Recover(rows); err != nil {
			m.fail("recover", err.Error())
		}
	}
	if err := restoreIntended(m.core, m.rows); err != nil {
		m.fail("decode", err.Error())
	}
	m.core.JobsKnown(m.revision)
	m.readList()
}

func (m *livesModel) restoreRows() {
	if value, ok := m.rows[LeasedWorkersKey]; ok {
		var row LeasedWorkersRow
		if err := DecodeRow(value, &row); err != nil {
			m.fail("decode", err.Error())
		}
		m.core.RestoreLeasedWorkers(row)
	}
	if value, ok := m.rows[BirthsKey]; ok {
		var row BirthsRow
		if err := DecodeRow(value, &row); err != nil {
			m.fail("decode", err.Error())
		}
		m.core.RestoreBirths(row)
	}
	if err := restoreHandover(m.core, m.rows); err != nil {
		m.fail("decode", err.Error())
	}
}

// readList tells the core the list, in which a worker that is down stands.
func (m *livesModel) readList() {
	m.listReadAt = m.now
	var infos []WorkerInfo
	for _, w := range m.workers {
		if !w.hidden {
			infos = append(infos, w.entry())
		}
	}
	m.core.SetWorkers(m.ownerNow(), infos)
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

func (m *livesModel) takeLogRecords() {
	for _, r := range m.core.TakeLogRecords() {
		if r.Violation {
			m.fail("violation", fmt.Sprintf("%+v", r))
		}
		if m.tracing && r.Event != "start" {
			m.tracef("  owner %d logs: %s %s %s run %s: %s", m.epoch, r.Event, r.Worker, shortName(r.Task), shortRun(r.Run), r.Why)
		}
	}
}

// commit commits a batch, one at a time.
func (m *livesModel) commit() {
	if m.inFlight != nil || m.lost {
		return
	}
	batch := m.core.TakeBatch(80)
	if batch.Empty() && m.now.Sub(m.sentAt) < 200*time.Millisecond && !m.core.HandoverOutdated() {
		return
	}
	m.core.HandOver(batch)
	m.inFlight = batch
	core, sentAt, eager := m.core, m.now, m.nextEager()
	if m.leaseTerm == 0 && !m.plain && core.LeasesBounded() {
		m.leaseTerm = DefaultLeaseTerm
	}
	m.after(m.commitTime(), func() {
		if core != m.core || m.lost {
			return
		}
		m.store(batch, eager)
		m.awake(func() { m.committed(core, batch, sentAt, eager) })
	})
}

// committed tells the core that a batch is committed.
func (m *livesModel) committed(core *Core, batch *Batch, sentAt time.Time, eager bool) {
	if core != m.core || m.lost {
		return
	}
	m.inFlight, m.sentAt = nil, sentAt
	if !m.plain {
		core.Renewed(m.shown(sentAt))
	}
	core.Committed(m.ownerNow(), batch)
	core.StoreReached(m.shown(sentAt), m.revision)
	core.JobsKnown(m.revision)
	m.startsEagerly = eager && m.slow && m.ofEarlierVersion()
}

func (m *livesModel) commitTime() time.Duration {
	r := m.draw(uint64(m.now.Sub(m.base)))
	if m.slow {
		return time.Duration(250+r.IntN(650)) * time.Millisecond
	}
	return time.Duration(10+r.IntN(50)) * time.Millisecond
}

// ofEarlierVersion reports whether the owner is of a version that starts eagerly.
func (m *livesModel) ofEarlierVersion() bool { return m.draw(^uint64(m.epoch)).IntN(2) == 0 }

// nextEager follows dispatcher's nextEager, also that of earlier versions. The store of a case is
// slow or isn't.
func (m *livesModel) nextEager() bool {
	if m.slow && m.ofEarlierVersion() {
		return true
	}
	return m.eager && m.core.StartsMayBeUnknown()
}

// tickCore returns the owner's orders, which start only what the store names.
func (m *livesModel) tickCore() Orders {
	if m.startsEagerly {
		defer m.core.startEagerly()()
		return m.core.Tick(m.ownerNow())
	}
	orders := m.core.Tick(m.ownerNow())
	if problem := unnamed(m.rows, orders.Starts); problem != "" {
		m.fail("unnamed", problem)
	}
	return orders
}

func (m *livesModel) store(batch *Batch, eager bool) {
	for _, write := range batch.Writes {
		if write.Value == nil {
			delete(m.rows, write.Key)
		} else {
			m.rows[write.Key] = write.Value
		}
		if id, isState := strings.CutPrefix(write.Key, StatePrefix); isState {
			var row StateRow
			m.endedJobs[requester.JobID(id)] = DecodeRow(write.Value, &row) == nil && row.State.Ended()
		}
	}
	m.eager, m.storedAt = eager, m.now
	m.revision++
}

// draw returns the random numbers of a key of the case.
func (m *livesModel) draw(key uint64) *rand.Rand { return rand.New(rand.NewPCG(m.seed, key)) }
