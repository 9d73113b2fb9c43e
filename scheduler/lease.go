package scheduler

import (
	"time"
)

// What a worker runs has a lease, which polls and starts extend up to a deadline on the
// worker's own clock. The owner knows that clock from reports, and that it may be slow. So it
// grants by the least that the clock can show, and counts a lease as over by the slowest
// clock, once what ran under it can have been ended.

// DefaultLeaseTerm is the default of Options.LeaseTerm.
const DefaultLeaseTerm = 7300 * time.Millisecond

// minClockRate is the lowest rate at which a worker's clock is assumed to run,
// relative to the owner's clock.
const minClockRate = 0.98

// expiryMargin is added to the time at which what had a lease has ended, because of
// messages in flight.
const expiryMargin = 200 * time.Millisecond

// endedAfter returns by how long after it was granted a lease has expired by the slowest
// clock, and what had it has ended: a worker needs time for that.
func (c *Core) endedAfter(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/minClockRate) + c.options.LongestStop + expiryMargin
}

// clockEstimate estimates the worker's clock at now from its last reading, as
// if that had been taken at clockAt and the clock ran at the owner's rate.
func (w *worker) clockEstimate(now time.Time) WorkerTime {
	return w.clock + WorkerTime(now.Sub(w.clockAt)/time.Millisecond)
}

// leastClock returns the least that the worker's clock can show at a time, by its last
// reading.
func (w *worker) leastClock(at time.Time) WorkerTime {
	since := at.Sub(w.clockAt)
	if since > 0 {
		since = time.Duration(float64(since) * minClockRate)
	}
	return w.clock + WorkerTime(since/time.Millisecond)
}

// leaseExpiry returns the time by which every lease that the worker can hold has
// expired, and what had one has ended; zero if its incarnation has ended. As long as
// the worker has not reported, leases may have been granted up to PreviousOwnerTerm after unreportedSince, each
// for at most MaxLease, unless a shorter bound is known.
func (w *worker) leaseExpiry(c *Core) time.Time {
	if w.ended {
		return time.Time{}
	}
	if !w.reported {
		expiry := w.unreportedSince.Add(c.longestUnreported())
		if c.options.PreviousLeaseTerm > 0 && !w.grantedTo.IsZero() && c.previousLeasesEnd().Before(expiry) {
			expiry = c.previousLeasesEnd()
		}
		if !w.inheritedUntil.IsZero() && w.inheritedUntil.Before(expiry) {
			return w.inheritedUntil
		}
		return expiry
	}
	left := time.Duration(w.leaseDeadline-w.clock) * time.Millisecond
	return w.clockAt.Add(c.endedAfter(left))
}

// longestUnreported returns for how long a worker that has not reported may run
// something under a lease of a previous owner.
func (c *Core) longestUnreported() time.Duration {
	return c.options.PreviousOwnerTerm + c.endedAfter(c.options.MaxLease)
}

// leasesUnknown reports whether workers that this owner does not know of may
// still hold leases.
func (c *Core) leasesUnknown() bool {
	return c.unknownLeases && c.now.Before(c.leasesUnknownUntil())
}

// leasesUnknownUntil returns until when they may.
func (c *Core) leasesUnknownUntil() time.Time { return c.tookOverAt.Add(c.longestUnreported()) }

// grantLease returns the lease deadline for an order issued now, or 0 to not
// renew the lease. The lease of an unresponsive worker is not renewed, so that
// its tasks can start again elsewhere once it has expired.
func (c *Core) grantLease(w *worker) WorkerTime {
	if !w.reported || w.unanswered > 0 || w.boundStored {
		return 0
	}
	deadline := c.latestDeadline(w)
	w.leaseDeadline = max(w.leaseDeadline, deadline)
	w.grantedAt = c.now
	return deadline
}

// minStartLease is the least remaining time of a lease with which a start is sent.
const minStartLease = 4 * time.Second

// startDeadline returns the lease deadline for a start issued now: that of the lease
// which the polls have granted, if enough of it is left. Starts go on while a poll of a
// lost worker waits for its response, and what ran there waits until every lease that
// was granted has expired.
func (c *Core) startDeadline(w *worker) WorkerTime {
	now := w.clockEstimate(c.now)
	deadline := min(w.leaseDeadline, c.latestDeadline(w))
	if deadline < now+WorkerTime(minStartLease/time.Millisecond) {
		return c.grantLease(w)
	}
	w.grantedAt = c.now
	return deadline
}

// expireLeases releases the runs on workers whose leases have all expired.
func (c *Core) expireLeases() {
	for _, w := range c.sortedWorkers {
		if len(w.runs) == 0 || c.now.Before(w.leaseExpiry(c)) {
			continue
		}
		for _, r := range w.sortedRuns() {
			if c.now.Before(c.runExpiry(r)) {
				continue
			}
			c.stats.Lapsed++
			c.noteLapsed(r)
			c.releaseLost(r, leaseExpired)
		}
	}
}
