package scheduler

import (
	"strconv"
	"time"

	"kumquatstall/requester"
)

// A worker forgets an end that a poll has acknowledged, so that no later owner
// can learn it from the worker. An end is therefore acknowledged only once the
// stored rows imply it, whatever has become of its task, its occurrence or its
// job in memory.

// pendingEnd is a reported end of a run that is acknowledged to the worker once
// the given version of its job's rows is committed. job is nil if the core has
// not been told of the job or of the occurrence.
type pendingEnd struct {
	ended      EndedRun
	reportedAt time.Time
	job        *job
	version    int64
}

// addPendingEnd queues a reported end for its acknowledgement. The current
// version of the job's rows is the first that is certain to imply the end.
func (c *Core) addPendingEnd(w *worker, ended EndedRun) {
	pending := pendingEnd{ended: ended, reportedAt: c.now}
	if j := c.jobs[ended.Task.Job]; j != nil && (j.state.Ended() || ended.Task.Occurrence < j.nextOccurrence || !j.spec.hasOccurrence(ended.Task.Occurrence)) {
		pending.job, pending.version = j, j.version
	} else {
		c.unknownEnds[ended.Task.Job] = true
	}
	w.pendingEnds = insertEnd(w.pendingEnds, pending, func(p pendingEnd) int64 { return p.ended.Number })
}

// applyUnknownEnds applies the ends that workers reported before the core was
// told of their job or occurrence.
func (c *Core) applyUnknownEnds(j *job) {
	if !c.unknownEnds[j.name()] {
		return
	}
	for _, w := range c.sortedWorkers {
		for i := range w.pendingEnds {
			p := &w.pendingEnds[i]
			if p.job != nil || p.ended.Task.Job != j.name() {
				continue
			}
			if t := c.findTask(p.ended.Task); t != nil && !j.state.Ended() {
				c.applyTaskEnd(w, t, p.ended)
			} else if !j.state.Ended() && p.ended.Task.Occurrence >= j.nextOccurrence {
				continue
			}
			p.job, p.version = j, j.version
		}
	}
}

// committed reports whether the stored rows imply the end. The end of an unknown
// job is implied by the absence of the job's row, which is certain once the core
// knows all jobs that were stored before the end was reported.
func (c *Core) committed(p *pendingEnd) bool {
	if p.job != nil {
		return p.job.committedVersion >= p.version
	}
	id := p.ended.Task.Job
	return c.jobs[id] == nil && !c.excluded[id] && !c.jobsKnownAt.Before(p.reportedAt)
}

// storeMark says that whatever was stored before at has a revision of at most
// revision.
type storeMark struct {
	at       time.Time
	revision int64
}

// maxStoreMarks bounds Core.storeMarks while the jobs cannot be read.
const maxStoreMarks = 100

// StoreReached records the revision of a transaction that was sent at a time:
// what was stored before has a lower one.
func (c *Core) StoreReached(at time.Time, revision int64) {
	if len(c.storeMarks) == maxStoreMarks {
		c.storeMarks = c.storeMarks[:maxStoreMarks-1]
	}
	c.storeMarks = append(c.storeMarks, storeMark{at, revision})
	c.JobsKnown(c.jobsRevision)
}

// JobsKnown records that the core has been told of all jobs in the store as of a
// revision.
func (c *Core) JobsKnown(revision int64) {
	c.jobsRevision = max(c.jobsRevision, revision)
	for len(c.storeMarks) > 0 && c.storeMarks[0].revision <= c.jobsRevision {
		c.jobsKnownAt = c.storeMarks[0].at
		c.storeMarks = c.storeMarks[1:]
	}
	if len(c.unknownEnds) == 0 {
		return
	}
	for _, w := range c.sortedWorkers {
		c.advanceCommittedEnd(w)
	}
	c.forgetUnknownEnds()
}

// forgetUnknownEnds updates unknownEnds after ends have been acknowledged.
func (c *Core) forgetUnknownEnds() {
	left := make(map[requester.JobID]bool)
	for _, w := range c.sortedWorkers {
		for i := range w.pendingEnds {
			if w.pendingEnds[i].job == nil {
				left[w.pendingEnds[i].ended.Task.Job] = true
			}
		}
	}
	c.unknownEnds = left
}

// advanceCommittedEnd advances committedEnd to the last end up to which all
// ends are committed.
func (c *Core) advanceCommittedEnd(w *worker) {
	for len(w.pendingEnds) > 0 && w.mayAcknowledge(w.pendingEnds[0].ended.Number) && c.committed(&w.pendingEnds[0]) {
		w.acknowledge(w.pendingEnds[0].ended.Number)
		w.pendingEnds = w.pendingEnds[1:]
	}
}

// acknowledgement returns the number up to which a poll acknowledges a worker's
// ends. It is 0 if a response has confirmed them already, if the last poll was
// rejected because of its fence, if some incarnation of the worker may have an end that
// nobody has read, or if the worker has not answered lately, so that its next incarnation
// may be there already.
func (c *Core) acknowledgement(w *worker) int64 {
	number := c.verifyAcknowledgement(w)
	if number <= w.confirmedEnd || w.unanswered > 0 || w.fencedPoll || c.mayHaveUnreadEnd(w) {
		return 0
	}
	return number
}

// logAcknowledged logs and counts the ends that a poll acknowledges for the
// first time.
func (c *Core) logAcknowledged(w *worker, number int64) {
	if number <= w.acknowledgedEnd {
		return
	}
	c.stats.Acknowledged += number - w.acknowledgedEnd
	w.acknowledgedEnd = number
	c.log(LogRecord{Worker: w.info.HostID, Event: "ends acknowledged", Why: "up to end " + strconv.FormatInt(number, 10)})
}
