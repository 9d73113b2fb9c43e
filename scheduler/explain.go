package scheduler

import (
	"net/netip"
	"strconv"
	"time"
)

// What the owner concludes from a worker's silence or its births can be wrong. The log
// then has to tell what was counted: the functions here only read what decisions rest on.

// LeaseCount is what an owner counts of the lease of a worker's incarnation.
type LeaseCount struct {
	// Deadline is the latest deadline of a lease that was granted, Clock the last reading
	// of the worker's clock, both on that clock.
	Deadline WorkerTime
	Clock    WorkerTime
	// ClockAge is the age of the reading, GrantAge the time since the last order was issued
	// that granted a lease. Both are 0 if there was none.
	ClockAge time.Duration
	GrantAge time.Duration
}

// lifeCount is what the owner knows of an incarnation of a worker at a time.
type lifeCount struct {
	at       time.Time
	bootedAt time.Time
	address  netip.AddrPort
	lease    LeaseCount
	// endShownBy is what has shown that the incarnation has ended; empty before that.
	endShownBy string
}

// countLife returns what the owner knows of a worker's present incarnation.
func (c *Core) countLife(w *worker) lifeCount {
	return lifeCount{
		at: c.now, bootedAt: w.bootedAt, address: w.address(),
		lease: LeaseCount{Deadline: w.leaseDeadline, Clock: w.clock, ClockAge: c.sinceSet(w.clockAt), GrantAge: c.sinceSet(w.grantedAt)},
	}
}

// sinceSet returns the time since t, or 0 if t is zero.
func (c *Core) sinceSet(t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return c.now.Sub(t)
}

// countLifeOf returns what the owner knows of the incarnation that it believes to have a
// run. While the present one has not reported, a run that is reported or confirmed is of
// the one before.
func (c *Core) countLifeOf(r *run) lifeCount {
	life := c.countLife(r.worker)
	if r.shownBy() != "open" && !r.worker.reported && !r.worker.former.at.IsZero() {
		life = r.worker.former
	}
	if r.address.IsValid() {
		life.address = r.address
	}
	return life
}

// shownBy returns what has shown that the worker's present incarnation has the run. An
// open one may be a later incarnation's, or nobody's.
func (r *run) shownBy() string {
	switch {
	case r.reported:
		return "reported"
	case r.confirmed:
		return "confirmed"
	}
	return "open"
}

// What shows that an incarnation has ended.
const (
	shownByList      = "the list"
	shownByReport    = "a report"
	shownByAnotherID = "another ID at its address"
)

// noteReborn logs that a worker is in another incarnation than before, and remembers
// what was counted of the former one. It is called before that is forgotten.
func (c *Core) noteReborn(w *worker, bootedAt time.Time, shownBy string) {
	w.former = c.countLife(w)
	w.former.endShownBy = shownBy
	c.log(LogRecord{
		Worker: w.info.HostID, Event: "worker reborn", Address: w.former.address, BootedAt: bootedAt, FormerBootedAt: w.bootedAt,
		Why: "shown by " + shownBy,
	})
}

// noteListedBirth logs a birth in the list, at the address of the entry, beside the one
// that is known.
func (c *Core) noteListedBirth(w *worker, info WorkerInfo, why string) {
	c.log(LogRecord{Worker: w.info.HostID, Event: "worker's birth", Address: info.Address, BootedAt: info.BootedAt, FormerBootedAt: w.bootedAt, Why: why})
}

// noteEndedAt logs that another incarnation responded at a worker's address, and
// remembers what was counted of the one that has ended.
func (c *Core) noteEndedAt(w *worker, address netip.AddrPort) {
	w.former = c.countLife(w)
	w.former.endShownBy = shownByAnotherID
	there, elsewhere, unknown := w.countRunsAt(address)
	c.log(LogRecord{
		Worker: w.info.HostID, Event: "worker's incarnation ended", Address: address, BootedAt: w.bootedAt,
		Why: "another incarnation responded at its address; runs started there " + strconv.Itoa(there) + ", elsewhere " + strconv.Itoa(elsewhere) + ", unknown where " + strconv.Itoa(unknown),
	})
}

// countRunsAt counts the worker's runs whose starts were sent to an address, to another
// one, and to one that isn't known.
func (w *worker) countRunsAt(address netip.AddrPort) (there, elsewhere, unknown int) {
	for _, r := range w.runs {
		switch {
		case r.address == address:
			there++
		case r.address.IsValid():
			elsewhere++
		default:
			unknown++
		}
	}
	return there, elsewhere, unknown
}

// proofOfEnd returns the incarnation of a worker that has been found to have ended just
// now, and what has shown that for a log text; both are empty if none has.
func (c *Core) proofOfEnd(w *worker) (bootedAt time.Time, text string) {
	if w == nil || w.former.endShownBy == "" || !w.former.at.Equal(c.now) {
		return time.Time{}, ""
	}
	return w.former.bootedAt, "; end shown by " + w.former.endShownBy
}

// noteLapsed logs that the lease of a run's worker counts as expired.
func (c *Core) noteLapsed(r *run) {
	life := c.countLifeOf(r)
	c.log(LogRecord{
		Job: r.name.Job, Task: r.name, Run: r.number, Worker: r.worker.info.HostID, Event: "lease lapsed",
		Address: life.address, BootedAt: life.bootedAt, Lease: life.lease, Why: r.shownBy(),
	})
}
