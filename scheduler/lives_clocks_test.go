package scheduler

import (
	"math/rand/v2"
	"time"
)

// drawClocks draws a case with owners that are lost one after another, each with a clock of its
// own, while workers are cut off that run long tasks, and some begin another life.
func drawClocks(seed uint64) livesCase {
	c := drawLives(seed)
	d := livesDraw{rand.New(rand.NewPCG(seed, 54)), c}
	d.workers, d.jobs, d.faults = 3, d.jobs[:d.IntN(len(d.jobs)+1)], nil
	d.ownerClocks = []time.Duration{d.millis(-1500, 1500), d.millis(-1500, 1500), d.millis(-1500, 1500), 0}
	lostAt := d.millis(2000, 5000)
	for len(d.jobs) < livesMaxJobs {
		d.jobs = append(d.jobs, livesJob{at: max(300*time.Millisecond, lostAt+d.millis(-1500, 300)), length: d.millis(500, 20000), gang: d.oneIn(8)})
	}
	for worker := range d.workers - 1 {
		cut := livesFault{kind: faultCut, worker: worker, at: lostAt + d.millis(-300, 600), length: d.millis(500, 18000), unlisted: d.oneIn(2)}
		d.faults = append(d.faults, cut)
		if d.oneIn(2) {
			// It answers some owner in between.
			again := livesFault{kind: faultCut, worker: worker, at: cut.at + d.millis(3000, 6000), length: d.millis(5000, 18000)}
			d.faults[len(d.faults)-1].length = again.at - cut.at - d.millis(10, 700)
			d.faults = append(d.faults, again)
		}
		if d.oneIn(3) {
			d.rebirth(worker, cut.at+d.millis(-800, 800))
		}
	}
	for range 2 + d.IntN(4) {
		d.faults = append(d.faults, livesFault{kind: faultOwnerLost, at: lostAt, length: d.millis(0, 300), lands: d.oneIn(2), lingers: d.oneIn(2)})
		lostAt += d.millis(1100, 3000)
	}
	storm := livesStorm{worker: d.IntN(d.workers), from: lostAt - 9*time.Second, to: lostAt, weights: [4]int{6 + d.IntN(8), d.IntN(3), d.IntN(3), d.IntN(2)}}
	d.storms = append(d.storms, storm)
	killSlowly(&d.livesCase)
	return d.livesCase
}

// ownerClock returns what the clock of the present epoch's owner shows beyond the time of the
// model.
func (m *livesModel) ownerClock() time.Duration {
	if len(m.ownerClocks) == 0 {
		return 0
	}
	return m.ownerClocks[int(m.epoch)%len(m.ownerClocks)]
}

// shown returns what the owner's clock shows at a time.
func (m *livesModel) shown(at time.Time) time.Time { return at.Add(m.clock) }

// ownerNow returns what the owner's clock shows.
func (m *livesModel) ownerNow() time.Time { return m.shown(m.now) }
