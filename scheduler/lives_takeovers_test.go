package scheduler

import (
	"math/rand/v2"
	"time"
)

// drawTakeovers draws a case with a new owner that starts many long tasks within half a
// second, beside workers that begin another life, and a cut of most of them soon after.
func drawTakeovers(seed uint64) livesCase {
	c := drawLives(seed)
	d := livesDraw{rand.New(rand.NewPCG(seed, 44)), c}
	d.workers, d.jobs = 3+d.IntN(2), d.jobs[:d.IntN(len(d.jobs)+1)]
	lostAt := d.millis(1500, 4000)
	length := d.millis(0, 600)
	d.faults = append(d.faults, livesFault{kind: faultOwnerLost, at: lostAt, length: length, lands: d.oneIn(2)})
	begins := lostAt + d.millis(200, 1000) + length
	for len(d.jobs) < livesMaxJobs {
		d.jobs = append(d.jobs, livesJob{at: begins + d.millis(-1000, 500), length: d.millis(500, 20000), gang: d.oneIn(8)})
	}
	cutFor := d.millis(7000, 14000)
	for worker := range d.workers - 1 {
		for range d.IntN(3) {
			d.rebirth(worker, begins+d.millis(-1500, 1000))
		}
		d.faults = append(d.faults, livesFault{kind: faultCut, worker: worker, at: begins + d.millis(200, 2000), length: cutFor})
	}
	storm := livesStorm{worker: d.IntN(d.workers), from: begins - 500*time.Millisecond, to: begins + time.Second, weights: [4]int{4 + d.IntN(8), d.IntN(4), d.IntN(4), d.IntN(2)}}
	d.storms = append(d.storms, storm)
	killSlowly(&d.livesCase)
	return d.livesCase
}
