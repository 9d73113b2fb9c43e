package scheduler

import (
	"math/rand/v2"
	"time"
)

// livesStartWait is for how long the loss of an owner waits for it to send a start.
const livesStartWait = time.Second

// drawSeries draws a case in which two or three owners are lost within seconds, each right after
// it has sent starts. Many calls of these seconds have no answers, and the workers begin other lives
// until the last of them has been executed.
func drawSeries(seed uint64) livesCase {
	c := drawLives(seed)
	d := livesDraw{rand.New(rand.NewPCG(seed, 45)), c}
	d.jobs, d.faults, d.storms = d.jobs[:d.IntN(len(d.jobs)+1)], nil, nil
	first := d.millis(1500, 4000)
	lostAt := first
	for range 2 + d.IntN(2) {
		for range 1 + d.IntN(2) {
			length := d.millis(1, 1200)
			if d.oneIn(4) {
				length = d.millis(2000, 11000)
			}
			d.jobs = append(d.jobs, livesJob{at: lostAt - d.millis(0, 300), length: length, gang: d.oneIn(4)})
		}
		d.faults = append(d.faults, livesFault{kind: faultOwnerLost, at: lostAt, length: d.millis(0, 300), lands: d.oneIn(2), lingers: d.oneIn(4), afterStart: true})
		lostAt += d.millis(1100, 2500)
	}
	d.jobs = d.jobs[max(0, len(d.jobs)-livesMaxJobs):]
	for worker := range d.workers {
		d.storms = append(d.storms, livesStorm{worker: worker, from: first - 500*time.Millisecond, to: lostAt + time.Second, weights: [4]int{2 + d.IntN(6), d.IntN(3), 1 + d.IntN(6), d.IntN(3)}})
		at := first + d.millis(0, 3000)
		for range d.IntN(3) {
			d.rebirth(worker, at)
			at += d.millis(1000, 11000)
		}
	}
	if d.oneIn(3) {
		d.cut(d.IntN(d.workers), first+d.millis(0, 4000))
	}
	return d.livesCase
}

// awaitsStart reports whether the loss of the owner waits for it to send a start.
func (m *livesModel) awaitsStart(f livesFault) bool {
	due := m.base.Add(f.at)
	return f.afterStart && m.startSentAt.Before(due) && m.now.Before(due.Add(livesStartWait))
}
