package scheduler

import (
	"slices"
	"time"
)

// A successor knows the starts of earlier owners from the list of intended starts, and when
// they can't be executed any more from the last commit of its predecessor, as it has observed
// it. Starts of an eager owner, of an earlier version, may be missing from the list: until the time
// of all of them is over, one may be open on any worker that had a lease. The list says until when
// that is, so that a later owner doesn't wait for it anew.

// inheritedUntil returns the latest time at which a start of an earlier owner may be executed.
// Unless that owner was eager, it sent it no later than maxIntendedTime after a commit.
func (c *Core) inheritedUntil() time.Time {
	sent := c.previousOrdersEnd()
	if last := c.options.PreviousCommitAt.Add(maxIntendedTime); !c.options.PreviousOwnerEager && !c.options.PreviousCommitAt.IsZero() && last.Before(sent) {
		sent = last
	}
	return sent.Add(maxOrderDelay)
}

// previousOrdersEnd returns the time by which the previous owner has sent its last order. Each
// commit lets it go on for its term.
func (c *Core) previousOrdersEnd() time.Time {
	since := c.tookOverAt
	if at := c.options.PreviousCommitAt; !at.IsZero() && at.Before(since) {
		since = at
	}
	return since.Add(c.options.PreviousOwnerTerm)
}

// RestoreIntended takes over a part of the list of intended starts that a previous owner
// has stored. It is called after the jobs have been recovered.
func (c *Core) RestoreIntended(row StartsRow) {
	c.startParts++
	c.startsStored += len(row.Starts)
	if row.UnknownNanos > 0 {
		c.unknownTaken, c.unknownStored = true, true
		c.unknownBound = time.Unix(0, row.UnknownNanos).Add(maxClockDifference)
	}
	for i := range row.Starts {
		c.restoreStart(row.Starts[i])
	}
}

func (c *Core) restoreStart(stored IntendedStart) {
	if stored.Run >= c.firstRun() || !c.mayAct(c.openOf(&stored)) {
		return // no previous owner has sent it, or its time is over
	}
	t := c.findTask(stored.name())
	if t == nil || t.done || t.step.job().state.Ended() {
		// The task doesn't start again, but the start needs its room.
		c.written = append(c.written, &writtenStart{stored: stored, taken: true, committed: true})
		return
	}
	failed := slices.Contains(t.failedRuns, stored.Run) || t.step.def.Gang && slices.Contains(t.step.failedRuns, stored.Run)
	if failed && !stored.Repeated || t.open != nil && t.open.Run > stored.Run {
		return
	}
	if t.open != nil && t.open.Run == stored.Run {
		if !stored.Repeated {
			return
		}
		listed := c.openOf(&stored)
		listed.prolong(t.open.Until)
		t.open = listed
		c.storeOpen(t)
		c.written = append(c.written, &writtenStart{stored: stored, task: t, taken: true, committed: true})
		return
	}
	if t.open == nil {
		c.openTasks = append(c.openTasks, t)
	}
	t.open = c.openOf(&stored)
	c.storeOpen(t)
	c.written = append(c.written, &writtenStart{stored: stored, task: t, taken: true, committed: true})
}

// AssumeUnknownStarts is called instead of RestoreIntended if a part of the list cannot be
// decoded: a start may be open on any worker that had a lease. Until that is settled,
// nothing starts and the list is not replaced, so that a successor finds it as it is.
func (c *Core) AssumeUnknownStarts() {
	c.startParts++
	c.startsStored++
	c.startsUnknown, c.startsUnreadable = true, true
}

// unknownStartOpen reports whether a start of a previous owner may be open on the worker of
// which this owner knows nothing.
func (c *Core) unknownStartOpen(w *worker) bool {
	if !c.startsUnknown || !w.inherited && !c.unknownLeases {
		return false
	}
	return c.mayAct(&openStart{Worker: w.info.HostID, Until: c.unknownUntil()})
}

// unknownUntil returns the time until which starts of eager predecessors may be executed of
// which this owner knows nothing.
func (c *Core) unknownUntil() time.Time {
	if !c.unknownBound.IsZero() && !c.startsUnreadable && c.unknownBound.Before(c.inheritedUntil()) {
		return c.unknownBound
	}
	return c.inheritedUntil()
}

// settleUnknownStarts ends the time in which starts may be open of which this owner knows
// nothing.
func (c *Core) settleUnknownStarts() {
	if c.startsUnknown && !slices.ContainsFunc(c.sortedWorkers, c.unknownStartOpen) {
		c.startsUnknown, c.startsUnreadable = false, false
		c.placementPending = true
	}
}

// tellsUnknown reports whether the list is to say until when starts of eager predecessors may
// be executed, so that the wait for them doesn't begin anew with each owner.
func (c *Core) tellsUnknown() bool {
	return !c.startsUnreadable && (c.releasing || c.startsUnknown)
}

// noUnknownStarts is what the list says if it names all starts.
const noUnknownStarts = 1

// unknownNanos returns what the list says of the starts that it doesn't name. An owner that
// releases the cell has sent its last one.
func (c *Core) unknownNanos(complete bool) int64 {
	switch {
	case !c.tellsUnknown() || c.releasing && !complete:
		return 0
	case c.startsUnknown:
		return c.unknownUntil().UnixNano()
	}
	return noUnknownStarts
}

// unknownOutdated reports whether the list has to be written for what it says of the starts of
// eager predecessors.
func (c *Core) unknownOutdated() bool {
	return c.tellsUnknown() && !c.unknownTaken
}
