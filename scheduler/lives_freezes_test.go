package scheduler

import (
	"math/rand/v2"
	"time"
)

// The host of an owner may be suspended. Its workers go on, what they answer waits, and
// calls that were about to be sent are sent when it goes on. The owner's clock counts that
// time; the timers with which it gives calls up don't.

// livesUnsentTime is the longest time for which a call is not sent once it is issued, without
// the time in which the owner stands still.
const livesUnsentTime = 20 * time.Millisecond

// livesFreezes says when the owner stands still.
type livesFreezes struct {
	frozenFrom, frozenUntil time.Time
	// freezeFor is for how long it will stand still, 0 if it won't.
	freezeFor time.Duration
	// frozenFor is how long it has stood still up to the end of the last time.
	frozenFor time.Duration
}

func (m *livesModel) frozen() bool { return m.now.Before(m.frozenUntil) }

// freezeAtCall lets the owner stand still from when it issues the next start, or the next
// call, to the first worker.
func (m *livesModel) freezeAtCall(length time.Duration) { m.freezeFor = length }

// beginFreeze begins the time in which the owner stands still if it is due with that call.
func (m *livesModel) beginFreeze(c *livesCall) {
	length := m.freezeFor
	if length == 0 || m.frozen() || m.lost || c.worker != 0 || c.kind != callStart && length%(2*time.Millisecond) == 0 {
		return
	}
	m.freezeFor = 0
	m.tracef("the owner stands still for %v", length)
	m.frozenFrom, m.frozenUntil = m.now, m.now.Add(length)
	m.frozenFor += length
}

// awake does something once the owner doesn't stand still.
func (m *livesModel) awake(do func()) {
	if !m.frozen() {
		do()
		return
	}
	m.after(m.frozenUntil.Sub(m.now), func() { m.awake(do) })
}

// stoodStill returns for how long the owner has stood still.
func (m *livesModel) stoodStill() time.Duration {
	return m.frozenFor - max(0, m.frozenUntil.Sub(m.now))
}

// afterAwake does something after a time by a clock that doesn't count the time in which the
// owner stands still.
func (m *livesModel) afterAwake(wait time.Duration, do func()) {
	before := m.stoodStill()
	m.after(wait, func() {
		if stood := m.stoodStill() - before; stood > 0 {
			m.afterAwake(stood, do)
			return
		}
		do()
	})
}

// notSent reports whether a call is only sent once the owner goes on.
func (m *livesModel) notSent(c *livesCall) bool {
	if !m.frozen() || c.stood > 0 || m.frozenFrom.Sub(m.base.Add(c.at)) > livesUnsentTime || m.draw(uint64(c.at)<<8+uint64(c.worker)<<4+uint64(c.kind)).IntN(2) == 0 {
		return false
	}
	c.stood = m.frozenUntil.Sub(m.now)
	m.tracef("  the %v waits until its owner goes on", c)
	return true
}

// drawFreezes draws a case in which an owner stands still, mostly soon after calls to a
// worker that begins another life.
func drawFreezes(seed uint64) livesCase {
	draw := []func(uint64) livesCase{drawLives, drawKills, drawDuel}[seed%3]
	d := livesDraw{rand.New(rand.NewPCG(seed, 43)), draw(seed)}
	at := duelMoment + d.millis(-100, 2000)
	for range 1 + d.IntN(3) {
		length := d.millis(200, 6000)
		if d.oneIn(3) {
			length = d.millis(6000, 16000)
		}
		d.faults = append(d.faults, livesFault{kind: faultFreeze, at: at, length: length})
		at += length + d.millis(100, 8000)
	}
	killSlowly(&d.livesCase)
	return d.livesCase
}
