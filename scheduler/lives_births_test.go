package scheduler

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// A worker's birth is a time of day, so that births needn't rise from life to life, and an
// entry of the list may be that of an ended life at any time: its last write may arrive
// late. The next life may have another address, and another host ID the former one.

// maxBirthSkew is how much a told birth may differ from the true one.
const maxBirthSkew = 1500 * time.Millisecond

// leftAddress is an address that a worker has left: taken if another host ID answers
// there, refusing if nobody does and connections are refused.
type leftAddress struct{ taken, refuses bool }

// tells returns the birth that the present life tells, which differs from those of the
// worker's other lives.
func (w *livesWorker) tells(born time.Time) time.Time {
	if !w.m.skewed {
		return born
	}
	r := w.m.draw(1<<62 + uint64(w.index)<<32 + uint64(w.lives))
	told := born.Add(time.Duration(r.Int64N(int64(2*maxBirthSkew/time.Millisecond)))*time.Millisecond - maxBirthSkew)
	for again := true; again; {
		again = false
		for _, former := range w.entries {
			if former.BootedAt.Equal(told) {
				told, again = told.Add(time.Millisecond), true
			}
		}
	}
	return told
}

// entry returns the worker's entry in the list.
func (w *livesWorker) entry() WorkerInfo {
	if w.m.now.Before(w.staleUntil) {
		return w.entries[w.stale]
	}
	return w.entries[w.shown]
}

// showStale lets the list show the entry of a former life, also if it hasn't shown it before.
func (w *livesWorker) showStale(f livesFault) {
	w.stale, w.staleUntil = max(0, len(w.entries)-1-f.lives), w.m.now.Add(f.length)
	w.m.tracef("w%d: for %v the list shows the entry of life %d", w.index, f.length, w.stale+1)
}

// leave takes a worker that is down to another address.
func (w *livesWorker) leave(f livesFault) {
	address := w.info.Address.Addr().As4()
	address[2]++
	w.left[w.info.Address] = leftAddress{taken: f.taken, refuses: f.refuses}
	w.info.Address = netip.AddrPortFrom(netip.AddrFrom4(address), w.info.Address.Port())
}

// arriveWhereLeft lets a call arrive at an address that the worker has left.
func (m *livesModel) arriveWhereLeft(left leftAddress, c *livesCall, fail func(OrderResult)) {
	m.heldCalls--
	result := OrderUnsent
	if left.taken {
		result = OrderOtherIncarnation
	}
	if left.taken && c.fate.kind == fateAnswered || !left.taken && left.refuses {
		delete(m.unansweredStarts, c.key())
		m.after(5*time.Millisecond+c.fate.back, func() {
			m.tracef("%v: %v at %v, which w%d has left", c, result, c.address, c.worker)
			fail(result)
		})
	}
}

// drawBirths draws a case in which births don't rise and the list shows former lives.
func drawBirths(seed uint64) livesCase {
	r := rand.New(rand.NewPCG(seed, 42))
	d := livesDraw{r, drawLives(seed)}
	if r.IntN(3) > 0 {
		d.livesCase = livesCase{seed: seed, workers: 2, step: d.step, slow: d.oneIn(6), slowClocks: d.oneIn(2)}
		d.quickLives()
	}
	d.skewed = true
	for _, f := range slices.Clone(d.faults) {
		if f.kind == faultRebirth && !d.oneIn(3) {
			d.staleEntry(f)
		}
	}
	return d.livesCase
}

// quickLives adds a few lives of one worker that soon follow each other, long tasks that
// start then, and what keeps the owner from hearing of the last life.
func (d *livesDraw) quickLives() {
	at := d.millis(1500, 4000)
	for range 1 + d.IntN(3) {
		d.rebirth(0, at)
		at += d.millis(150, 900)
	}
	for range 1 + d.IntN(3) {
		d.jobs = append(d.jobs, livesJob{at: max(300*time.Millisecond, at+d.millis(-1000, 1500)), length: d.millis(2000, 11000), gang: d.oneIn(8)})
	}
	if d.oneIn(2) {
		d.cut(0, at+d.millis(0, 4000))
	}
	if d.oneIn(3) {
		d.faults = append(d.faults, livesFault{kind: faultOwnerLost, at: at + d.millis(0, 4000), length: d.millis(0, 600), lands: d.oneIn(2), lingers: d.oneIn(3)})
	}
	if d.oneIn(4) {
		d.storms = append(d.storms, livesStorm{worker: 0, from: at + d.millis(-1000, 1000), to: at + d.millis(1000, 3000), weights: [4]int{4, 1 + d.IntN(2), d.IntN(3), d.IntN(3)}})
	}
	for i := range d.faults {
		if f := &d.faults[i]; f.kind == faultRebirth && d.oneIn(4) {
			f.listedAfter = d.millis(1500, 15000)
		}
	}
}

// staleEntry adds a time in which the list shows a former life of a worker that has begun
// another one.
func (d *livesDraw) staleEntry(f livesFault) {
	at := f.at + f.length + d.millis(0, 3000)
	length := d.millis(300, 3000)
	if d.oneIn(3) {
		length = d.millis(3000, 15000)
	}
	d.faults = append(d.faults, livesFault{kind: faultStaleEntry, worker: f.worker, at: at, length: length, lives: 1 + d.IntN(2)})
}

// drawMoves draws a case of drawBirths in which workers begin their lives at other
// addresses.
func drawMoves(seed uint64) livesCase {
	c := drawBirths(seed)
	r := rand.New(rand.NewPCG(seed, 43))
	for i := range c.faults {
		if f := &c.faults[i]; f.kind == faultRebirth && r.IntN(2) == 0 {
			f.moves, f.taken = true, r.IntN(2) == 0
		}
	}
	c.skewed = r.IntN(2) == 0
	return c
}
