package scheduler

import (
	"strconv"
)

// A worker forgets an end that a poll has acknowledged, so that no later owner
// can learn it from the worker. An end is therefore acknowledged only once the
// stored rows imply it, whatever has become of its task, its occurrence or its
// job in memory.

// pendingEnd is an applied end of a run that is acknowledged to the worker once
// the given version of its job's rows is committed. job is nil if the core does
// not have the job.
type pendingEnd struct {
	number  int64
	job     *job
	version int64
}

// addPendingEnd queues an applied end for its acknowledgement. The current
// version of the job's rows is the first that is certain to imply the end.
func (c *Core) addPendingEnd(w *worker, ended EndedRun) {
	pending := pendingEnd{number: ended.Number}
	if j := c.jobs[ended.Task.Job]; j != nil {
		pending.job, pending.version = j, j.version
	}
	w.pendingEnds = append(w.pendingEnds, pending)
}

// committed reports whether the stored rows imply the end.
func (p *pendingEnd) committed() bool { return p.job == nil || p.job.committedVersion >= p.version }

// advanceCommittedEnd advances committedEnd to the last end up to which all
// ends are committed.
func (w *worker) advanceCommittedEnd() {
	for len(w.pendingEnds) > 0 && w.pendingEnds[0].committed() {
		w.committedEnd = w.pendingEnds[0].number
		w.pendingEnds = w.pendingEnds[1:]
	}
}

// logAcknowledged logs and counts the ends that a poll acknowledges for the
// first time.
func (c *Core) logAcknowledged(w *worker) {
	if w.committedEnd <= w.acknowledgedEnd {
		return
	}
	c.stats.Acknowledged += w.committedEnd - w.acknowledgedEnd
	w.acknowledgedEnd = w.committedEnd
	c.log(LogRecord{Worker: w.info.HostID, Event: "ends acknowledged", Why: "up to end " + strconv.FormatInt(w.committedEnd, 10)})
}
