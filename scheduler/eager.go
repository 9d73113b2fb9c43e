package scheduler

import (
	"maps"
	"slices"
)

// Before the first task of a step starts, the step's start record is committed,
// from which a later owner knows that tasks of it may run. While the store was
// slow, owners of earlier versions started steps before that: eagerly. The row of
// such an owner says so, and the rows of its successors, until one of them knows, and
// the rows of the jobs say, which steps have been started.

// recordStart adds the step's start record to the job's rows. Its tasks start only
// once it is committed, so that a later owner knows which steps may have runs that no
// worker has reported. They may be intended before.
func (c *Core) recordStart(s *step) {
	if s.startRecordVersion == 0 {
		c.markDirty(s.job())
		s.startRecordVersion = s.job().version
	}
}

// startRecorded reports whether the step has a start record, so that starts of its tasks
// may be intended.
func (c *Core) startRecorded(s *step) bool { return s.startRecordVersion > 0 }

// startRecordStored reports whether the start record of the step is committed, so that its
// tasks may start.
func (c *Core) startRecordStored(s *step) bool {
	return s.startRecordVersion > 0 && s.startRecordVersion <= s.job().committedVersion
}

// markStartable marks the steps of a job that an eager predecessor may have
// started: those that the stored rows allow to start.
func (c *Core) markStartable(j *job) {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if !s.mayHaveUnknownRuns && !s.complete() && o.predecessorsDone(s) {
				s.mayHaveUnknownRuns, s.eagerMark = true, true
			}
		}
	}
}

// mayLearnOfStarts reports whether a job that the core is told of may have been
// started by a previous owner without a start record: that owner had eager starts
// in force, and not every job stored before the end of its term is known yet.
func (c *Core) mayLearnOfStarts() bool {
	return c.options.PreviousOwnerEager && c.jobsKnownAt.Before(c.tookOverAt.Add(c.options.PreviousOwnerTerm))
}

// learnStarts settles, once every run of an eager predecessor is known, which of
// the marked steps have been started: those with a run get a start record.
func (c *Core) learnStarts() {
	if c.startsKnown || !c.options.PreviousOwnerEager || c.mayLearnOfStarts() || !c.Reconciled() {
		return
	}
	c.startsKnown = true
	c.placementPending = true
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		for _, o := range c.jobs[id].occurrences {
			for _, s := range o.steps {
				c.settleMark(s)
			}
		}
	}
}

func (c *Core) settleMark(s *step) {
	if !s.eagerMark {
		return
	}
	s.mayHaveUnknownRuns, s.eagerMark = false, false
	if c.anyMayRun(s) && !s.job().state.Ended() {
		c.recordStart(s)
	}
}

// StartsMayBeUnknown reports whether an eager predecessor may have started steps of
// which the stored rows, with all batches taken, do not say so. As long as that is the
// case, the row of the owner must say that there may be eager starts. The rows of an excluded
// job are not written, so they never say so.
func (c *Core) StartsMayBeUnknown() bool {
	return c.options.PreviousOwnerEager && (c.Dirty() || !c.startsKnown || len(c.excluded) > 0)
}
