package scheduler

import (
	"math/rand/v2"
	"time"
)

// Ending a process takes time. The workers of these cases end what runs on them a while
// after its lease has expired: until then a run is active, and whatever it does meanwhile,
// it isn't done.

// livesLongestKill is the longest time that a worker takes to end a run.
const livesLongestKill = 900 * time.Millisecond

// cutMore cuts about a third of the workers off until then if runs end slowly.
func (sim *simulation) cutMore(until time.Time) {
	if sim.options.kills == 0 {
		return
	}
	for _, f := range sim.workers {
		if sim.random.IntN(3) == 0 {
			f.partitionedUntil = until
		}
	}
}

// longer lets some runs outlast the leases of a worker that is cut off if runs end slowly.
func (sim *simulation) longer() time.Duration {
	if sim.options.kills == 0 || sim.random.IntN(8) > 0 {
		return 0
	}
	return 8 * time.Second
}

// kill has a run end whose lease has expired, at once or after the time that it takes.
func (f *fakeWorker) kill(r *fakeRun) {
	if r.killed {
		return
	}
	r.killed = true
	if at := f.lease.Add(f.sim.options.kills); r.stopsAt.IsZero() || at.Before(r.stopsAt) {
		r.stopsAt = at
	}
}

// kill ends a run whose lease expired at that time, at once or after the time that it takes.
func (l *life) kill(r *lifeRun, expiredAt time.Time) {
	m := l.worker.m
	if r.killed {
		return
	}
	if m.kills == 0 {
		l.end(r, EndExpired, expiredAt)
		return
	}
	r.killed = true
	if at := expiredAt.Add(m.kills); r.stopsAt.IsZero() || at.Before(r.stopsAt) {
		r.stopsAt = at
	}
	m.tracef("  w%d life %d: the lease of run %s of %s expired at %.3f, it ends at %.3f", l.worker.index, l.number, shortRun(r.key.number), shortName(r.key.name), expiredAt.Sub(m.base).Seconds(), r.stopsAt.Sub(m.base).Seconds())
	if !m.now.Before(r.stopsAt) {
		l.end(r, EndExpired, r.stopsAt)
	}
}

// killSlowly lets the workers of a case take their time to end what has no lease.
func killSlowly(c *livesCase) {
	c.kills = livesLongestKill
	if c.seed%2 == 0 {
		c.kills = time.Duration(1+c.seed/2%9) * livesLongestKill / 9
	}
}

// drawKills draws a case with long tasks and a cut of most workers, soon after some of them
// have started again.
func drawKills(seed uint64) livesCase {
	c := drawLives(seed)
	d := livesDraw{rand.New(rand.NewPCG(seed, 42)), c}
	d.workers = 3 + d.IntN(2)
	moment := d.millis(1500, 4000)
	for range 2 + d.IntN(3) {
		if len(d.jobs) < livesMaxJobs {
			d.jobs = append(d.jobs, livesJob{at: moment + d.millis(-500, 1000), length: d.millis(9000, 20000), gang: d.oneIn(8)})
		}
	}
	length := d.millis(8000, 14000)
	for worker := range d.workers - 1 {
		if d.oneIn(2) {
			d.rebirth(worker, moment+d.millis(-1000, 1000))
		}
		d.faults = append(d.faults, livesFault{kind: faultCut, worker: worker, at: moment + d.millis(500, 2500), length: length})
	}
	killSlowly(&d.livesCase)
	return d.livesCase
}
