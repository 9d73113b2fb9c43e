package scheduler

import (
	"net/netip"
	"strconv"
	"time"

	"kumquatstall/requester"
)

// The workers of the model of lives: how their lives begin, crash and hide.

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
