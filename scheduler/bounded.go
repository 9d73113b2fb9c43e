package scheduler

import (
	"time"

	"kumquatstall/requester"
)

// A new owner cannot ask a worker that is lost what it runs, and waits until its
// leases have expired. So that it needn't wait for the longest possible one, an
// owner grants leases that end LeaseTerm after it sent its last successful commit,
// however much later the order is sent. The successor has observed that commit, at
// the earliest when it was sent, and counts from then.
//
// That holds for the incarnation to which the orders were meant. A late order may be
// executed by the next one, whose clock begins anew, and may grant it a lease
// that ends later. The row of births says which incarnation has rejected the orders
// to earlier ones since it reported, so long ago that the longest lease from before ends
// no later than one that begins with the present commit. The short bound counts for that
// one only, and the longest one for a worker of which any other birth is known.

// BirthsRow lists, for the workers that may hold leases, the incarnations that
// have reported to an owner.
type BirthsRow struct {
	_      struct{} `cbor:",toarray"`
	Births []WorkerBirth
}

// WorkerBirth is the birth of a worker's incarnation in Unix nanoseconds.
type WorkerBirth struct {
	_         struct{} `cbor:",toarray"`
	HostID    requester.HostID
	BornNanos int64
}

// Renewed records when the last successful commit that renews the ownership was
// sent. Leases depend on it from then on.
func (c *Core) Renewed(sentAt time.Time) { c.renewedAt = sentAt }

// latestDeadline returns the latest deadline of a lease that may be granted now.
func (c *Core) latestDeadline(w *worker) WorkerTime {
	from := c.now
	if !c.renewedAt.IsZero() && c.renewedAt.Before(from) {
		from = c.renewedAt
	}
	return w.leastClock(from) + WorkerTime(c.options.LeaseTerm/time.Millisecond)
}

// previousLeasesEnd returns the time by which every lease that a previous owner
// granted under PreviousLeaseTerm has expired, and what had one has ended.
func (c *Core) previousLeasesEnd() time.Time {
	return c.options.PreviousCommitAt.Add(c.endedAfter(c.options.PreviousLeaseTerm))
}

// RestoreBirths restores the births of the workers that may hold leases. It is
// called after RestoreLeasedWorkers for each part of the list, and changes nothing if
// the previous owner's leases have no known bound.
func (c *Core) RestoreBirths(row BirthsRow) {
	c.birthParts++
	if c.options.PreviousLeaseTerm <= 0 {
		return
	}
	c.birthsDirty, c.birthsStored = false, true
	for _, birth := range row.Births {
		w, ok := c.workers[birth.HostID]
		if !ok || !w.inherited || w.reported || birth.BornNanos == 0 {
			continue
		}
		w.grantedTo = time.Unix(0, birth.BornNanos)
		if w.listed {
			c.checkGrantedTo(w, w.listedBirth)
		}
	}
}

// SkipBirths is called instead of RestoreBirths if a row of births cannot be decoded.
func (c *Core) SkipBirths() { c.birthParts++ }

// birthsRow returns the row of births: the incarnations that have reported, unless the
// list shows another one, and those that had reported to a previous owner.
func (c *Core) birthsRow() BirthsRow {
	var row BirthsRow
	for _, w := range c.sortedWorkers {
		born := w.grantedTo
		if w.reported {
			born = time.Time{}
			if !c.now.Before(w.boundedFrom) && w.otherEntry == nil {
				born = w.bootedAt
			}
		}
		if !born.IsZero() {
			row.Births = append(row.Births, WorkerBirth{HostID: w.info.HostID, BornNanos: born.UnixNano()})
		}
	}
	return row
}

// noteReportedBirth has the birth of a worker's incarnation stored when that has
// reported for the first time, once the longest lease that it may have been granted
// before is within the bound.
func (c *Core) noteReportedBirth(w *worker) {
	if !w.grantedTo.Equal(w.bootedAt) {
		w.boundedFrom = c.now.Add(time.Duration(float64(c.options.MaxLease-c.options.LeaseTerm) / minClockRate))
		c.unboundedBirths = append(c.unboundedBirths, w.boundedFrom)
	}
	w.grantedTo = w.bootedAt
}

// storeBoundedBirths has the births stored whose leases have come within the bound.
func (c *Core) storeBoundedBirths() {
	for len(c.unboundedBirths) > 0 && !c.now.Before(c.unboundedBirths[0]) {
		c.unboundedBirths = c.unboundedBirths[1:]
		c.birthsDirty = true
	}
}

// checkGrantedTo handles a birth in the list. Unless it is that of the incarnation
// that may hold leases of previous owners, another one may hold some.
func (c *Core) checkGrantedTo(w *worker, bootedAt time.Time) {
	w.checkInheritedLife(bootedAt)
	if w.reported || w.grantedTo.IsZero() || bootedAt.Equal(w.grantedTo) {
		return
	}
	w.grantedTo, w.unreportedSince = time.Time{}, c.now
	c.birthsDirty = true
}

// LeasesBounded reports whether no lease lasts longer than LeaseTerm from the last
// commit, also none that a previous owner of an earlier version granted, and the row
// of births is stored. The owner's row may then say so.
func (c *Core) LeasesBounded() bool {
	if !c.birthsStored {
		return false
	}
	return c.options.PreviousLeaseTerm > 0 || !c.leasesInherited || !c.now.Before(c.tookOverAt.Add(c.longestUnreported()-c.options.LongestStop))
}
