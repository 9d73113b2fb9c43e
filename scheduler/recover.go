package scheduler

import (
	"time"

	"kumquatstall/requester"
)

// JobRows are the stored rows of a job.
type JobRows struct {
	Job Job
	// Progress is the value of the row with the job's progress; nil if no owner
	// has written one.
	Progress []byte
	// Details are the rows with details of the job's tasks.
	Details   []RowWrite
	Cancelled bool
}

// Exclude excludes a job whose rows cannot be decoded: an owner that can decode
// them continues it. Until then it is not scheduled, and the ends of its runs
// are not acknowledged.
func (c *Core) Exclude(id requester.JobID) { c.excluded[id] = true }

// Recover adds a job that was in the store at the takeover. It excludes the job
// if its progress cannot be decoded.
func (c *Core) Recover(rows JobRows) error {
	var progress progressRow
	if rows.Progress != nil {
		if err := DecodeRow(rows.Progress, &progress); err != nil {
			c.Exclude(rows.Job.JobID)
			return err
		}
	}
	details, err := decodeDetails(rows.Details)
	if err != nil {
		c.Exclude(rows.Job.JobID)
		return err
	}
	j := &job{spec: rows.Job, state: progress.State, storedState: progress.State, storedProgress: committedProgress{value: rows.Progress, details: details}}
	c.predictDurations(j)
	if rows.Progress == nil {
		j.storedState = notStored
	}
	c.jobs[j.name()] = j
	if progress.State.Ended() {
		j.endedAt = time.Unix(progress.EndedAt, 0)
		if len(details) > 0 {
			c.markDirty(j) // the rows with details are to be removed
		}
		return nil
	}
	if rows.Progress == nil {
		c.markDirty(j)
	}
	j.nextOccurrence = progress.NextOccurrence
	if j.spec.Occurrences == 0 {
		j.nextOccurrence = 1
		o := c.newOccurrence(j, 0)
		if len(progress.Occurrences) > 0 {
			o.restore(progress.Occurrences[0].Steps)
		}
	} else {
		for _, stored := range progress.Occurrences {
			c.newOccurrence(j, stored.Number).restore(stored.Steps)
		}
		c.timed[j.name()] = j
	}
	for i := range details {
		j.cuts = append(j.cuts, details[i].first)
		j.restoreDetails(details[i].row)
	}
	c.restoreOpenStarts(j)
	if c.options.PreviousOwnerEager {
		c.markStartable(j)
	}
	if rows.Cancelled || rows.Job.Cancelled {
		c.Cancel(c.now, j.name())
		return nil
	}
	c.openReadySteps(j)
	c.completeJob(j)
	return nil
}

// Add adds a job that was accepted after the takeover.
func (c *Core) Add(now time.Time, spec Job) {
	c.now = now
	if _, ok := c.jobs[spec.JobID]; ok || c.excluded[spec.JobID] {
		return
	}
	j := &job{spec: spec, storedState: notStored}
	c.predictDurations(j)
	c.jobs[j.name()] = j
	c.markDirty(j)
	if spec.Cancelled {
		c.Cancel(now, j.name())
		return
	}
	c.placementPending = true
	if spec.Occurrences > 0 {
		c.timed[j.name()] = j
		return
	}
	j.nextOccurrence = 1
	c.newOccurrence(j, 0)
	if c.mayLearnOfStarts() {
		c.markStartable(j)
	}
	c.applyUnknownEnds(j)
	c.openReadySteps(j)
}

// restore applies the progress that a previous owner committed.
func (o *occurrence) restore(stored []stepProgress) {
	for number, progress := range stored {
		if number >= len(o.steps) {
			return
		}
		s := o.steps[number]
		s.mayHaveUnknownRuns = progress.Started
		for index := range s.def.Count {
			if progress.AllDone || bitSet(progress.Done, index) {
				s.setDone(index)
				s.waiting--
			}
		}
		s.restoreDetails(&progress)
	}
}

func bitSet(bits []byte, index int) bool {
	return index/8 < len(bits) && bits[index/8]&(1<<(index%8)) != 0
}
