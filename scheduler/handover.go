package scheduler

import (
	"time"

	"kumquatstall/requester"
)

// Owners may be lost one after another, within the time for which each of them waits for a worker
// that doesn't answer. So that the wait doesn't begin anew with each owner, every commit of an owner
// hands on what it knows of such waits: until when the leases of workers may last that have
// answered neither it nor, since that bound was made, any owner before.
//
// That is a time by the owner's clock, and clocks of hosts differ. The row also has what that clock
// showed when it was written. The successor has observed the last commit of its predecessor no
// earlier than that, so that whatever was to last for a time from then on is over once this time has
// passed since the observation. The same holds for the times in open starts, and for
// those of owners before, whose clock readings are handed on.
//
// The row holds only for the immediate successor of the owner that has written it: another owner
// in between may have granted leases.

// HandoverKey is the key of the row that an owner hands on to its successor.
const HandoverKey = ProgressPrefix + "@handover"

// HandoverRow is what an owner hands on to its successor.
type HandoverRow struct {
	_ struct{} `cbor:",toarray"`
	// Epoch is the epoch of the owner, ShownNanos what its clock showed when it wrote the row, in
	// Unix nanoseconds.
	Epoch      int64
	ShownNanos int64
	// Clocks are the clocks of earlier owners.
	Clocks []OwnerClock
	// Silent are workers that haven't answered this owner.
	Silent []SilentWorker
}

// OwnerClock says how much at most has to be added to a time by the clock of an earlier owner,
// so that it is no earlier by the clock of the owner that has written the row.
type OwnerClock struct {
	_        struct{} `cbor:",toarray"`
	Epoch    int64
	LagNanos int64
}

// SilentWorker is a worker that hasn't answered an owner, and until when, by that owner's clock, the
// incarnation that was born then may hold leases, all in Unix nanoseconds.
type SilentWorker struct {
	_          struct{} `cbor:",toarray"`
	HostID     requester.HostID
	BornNanos  int64
	UntilNanos int64
}

const (
	// handoverBytes bounds the encoded size of the workers in the row that is handed on, and
	// silentWorkerBytes that of one without its name. Those that are left out are waited for anew.
	handoverBytes     = 8 << 10
	silentWorkerBytes = 24
	// maxOwnerClocks is how many clocks of earlier owners are handed on. No open start is older.
	maxOwnerClocks = 32
	// clockDriftMargin is added to a time by another owner's clock, as clocks may differ in rate.
	clockDriftMargin = 20 * time.Millisecond
)

// HandOver adds the row for the successor to a batch that is about to be committed.
func (c *Core) HandOver(batch *Batch) {
	row := HandoverRow{Epoch: c.options.Epoch, ShownNanos: c.now.UnixNano()}
	for epoch := max(1, c.options.Epoch-maxOwnerClocks); epoch < c.options.Epoch; epoch++ {
		if lag, known := c.clockLags[epoch]; known {
			row.Clocks = append(row.Clocks, OwnerClock{Epoch: epoch, LagNanos: int64(lag)})
		}
	}
	left := min(handoverBytes, c.options.rowLimit()/2)
	batch.silent = make(map[*worker]bool)
	for _, w := range c.sortedWorkers {
		if !w.handedOn() {
			continue
		}
		if left -= silentWorkerBytes + len(w.info.HostID); left < 0 {
			break
		}
		w.boundStored, batch.silent[w] = true, true
		row.Silent = append(row.Silent, SilentWorker{HostID: w.info.HostID, BornNanos: unixNanos(w.boundedLife()), UntilNanos: w.leaseExpiry(c).UnixNano()})
	}
	c.handoverOutdated = false
	batch.handsOver = true
	batch.append([]RowWrite{{Key: HandoverKey, Value: EncodeRow(row)}})
}

// handedOn reports whether the owner can hand on until when leases of the worker last: it
// has granted none, and won't before a commit says so.
func (w *worker) handedOn() bool {
	return w.inherited && !w.reported && !w.ended && w.unanswered > 0 && w.grantedAt.IsZero()
}

// boundedLife returns the birth of the incarnation for which a bound of the worker's leases
// holds; zero if none is known.
func (w *worker) boundedLife() time.Time {
	switch {
	case !w.bootedAt.IsZero():
		return w.bootedAt
	case !w.grantedTo.IsZero():
		return w.grantedTo
	}
	return w.inheritedLife
}

// unixNanos returns a time in Unix nanoseconds, and 0 for the zero time.
func unixNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// handoverCommitted records that a row is committed: workers that it lacks may be granted
// leases.
func (c *Core) handoverCommitted(batch *Batch) {
	if !batch.handsOver {
		return
	}
	for _, w := range c.sortedWorkers {
		if w.boundStored && !batch.silent[w] {
			w.boundStored = false
			w.nextPollAt = c.now
			c.markFreed(w)
		}
	}
}

// HandoverOutdated reports whether the row is to be written at once, as a worker in it
// has answered and waits for its lease.
func (c *Core) HandoverOutdated() bool { return c.handoverOutdated }

// RestoreHandover takes over what the previous owner has handed on. It is called after
// RestoreBirths, and before the jobs are recovered.
func (c *Core) RestoreHandover(row HandoverRow) {
	if row.Epoch != c.options.Epoch-1 || c.options.PreviousCommitAt.IsZero() {
		return
	}
	lag := c.options.PreviousCommitAt.Sub(time.Unix(0, row.ShownNanos)) + clockDriftMargin
	c.clockLags = map[int64]time.Duration{row.Epoch: lag}
	for _, clock := range row.Clocks {
		if clock.Epoch < row.Epoch {
			c.clockLags[clock.Epoch] = lag + time.Duration(clock.LagNanos)
		}
	}
	for _, silent := range row.Silent {
		if w := c.workers[silent.HostID]; w != nil && w.inherited && !w.reported {
			w.inheritedUntil = time.Unix(0, silent.UntilNanos).Add(lag)
			w.inheritedLife = time.Time{}
			if silent.BornNanos != 0 {
				w.inheritedLife = time.Unix(0, silent.BornNanos)
			}
			if w.listed {
				w.checkInheritedLife(w.listedBirth)
			}
		}
	}
}

// checkInheritedLife handles a birth in the list. Unless it is that of the incarnation of
// which the previous owner knew, what that has handed on doesn't count any more.
func (w *worker) checkInheritedLife(bootedAt time.Time) {
	if !w.inheritedUntil.IsZero() && !bootedAt.Equal(w.inheritedLife) {
		w.inheritedUntil = time.Time{}
	}
}

// handedOver reports whether the previous owner has handed on what it knew, as one of this version
// does with each commit.
func (c *Core) handedOver() bool { return len(c.clockLags) > 0 }

// clockLag returns how much at most has to be added to the time in a start with that run
// number, so that it is no earlier by this owner's clock. It was stored by the owner that has
// issued the run, or by one since.
func (c *Core) clockLag(run RunNumber) time.Duration {
	lag := time.Duration(0)
	for epoch := int64((run-1)/runsPerEpoch) + 1; epoch < c.options.Epoch; epoch++ {
		of, known := c.clockLags[epoch]
		if !known {
			return maxClockDifference
		}
		lag = max(lag, of)
	}
	return min(lag, maxClockDifference)
}
