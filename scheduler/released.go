package scheduler

import (
	"strconv"
	"time"
)

// The owner releases a run whose end no worker has reported when it takes it for
// certain that the run has ended, or that its start is never executed. What one
// incarnation of a worker has shown ends with it, so that the next one may have the
// run after all. The log then says why the run had been released, and whether the
// same incarnation has it or a later one.

// releasedMemory is how long a released run is remembered: longer than an order may be
// late and a lease lasts together.
const releasedMemory = 40 * time.Second

// releasedRun is a run that was released without a reported end, and what had been
// counted then.
type releasedRun struct {
	at      time.Time
	life    lifeCount
	shownBy string
	why     string
	// lapsed is true if the worker's lease counted as expired.
	lapsed bool
}

// noteReleased remembers that a run is released without a reported end.
func (c *Core) noteReleased(r *run, why string) {
	c.released[runKey{r.name, r.number}] = releasedRun{at: c.now, life: c.countLifeOf(r), shownBy: r.shownBy(), why: why, lapsed: why == leaseExpired}
	if c.now.Sub(c.releasedPrunedAt) < releasedMemory {
		return
	}
	c.releasedPrunedAt = c.now
	for key, released := range c.released {
		if c.now.Sub(released.at) >= releasedMemory {
			delete(c.released, key)
		}
	}
}

// leaseExpired is why a run is released whose worker's lease counts as expired.
const leaseExpired = "its lease expired"

// stillActive is the state of a released run that a worker reports as running.
const stillActive = "Active"

// noteResurfaced logs and counts a run that a worker reports after it was released, as
// active or with the kind of its end. That it has lapsed in the incarnation whose lease was
// waited for is as it should be.
func (c *Core) noteResurfaced(w *worker, key runKey, state string) {
	released, found := c.released[key]
	if !found || state == EndExpired.String() && released.lapsed && released.life.bootedAt.Equal(w.bootedAt) {
		return
	}
	delete(c.released, key)
	record := LogRecord{
		Job: key.name.Job, Task: key.name, Run: key.number, Worker: w.info.HostID, Event: "released run resurfaced",
		Address: released.life.address, BootedAt: w.bootedAt, FormerBootedAt: released.life.bootedAt, Lease: released.life.lease,
		Why: state + ": " + released.describe(w.bootedAt, c.now) + "; its clock shows " + strconv.FormatInt(int64(w.clock), 10),
	}
	c.stats.Resurfaced++
	if state == stillActive {
		c.stats.ReleasedActive++
		record.Event, record.Warning = "released run is active", true
		record.Why += c.describeRunBeside(key)
	}
	c.log(record)
}

// describe says which incarnation has the run, how long after its release, and why it
// had been released.
func (released *releasedRun) describe(bootedAt, now time.Time) string {
	life := "the same incarnation"
	switch released.life.bootedAt.Compare(bootedAt) {
	case -1:
		life = "a later incarnation"
	case 1:
		life = "an earlier incarnation"
	}
	return life + " of its worker has it " + strconv.FormatInt(now.Sub(released.at).Milliseconds(), 10) + "ms after the release: " + released.shownBy + ", " + released.why
}

// describeRunBeside says which run the task of a released run has by now.
func (c *Core) describeRunBeside(key runKey) string {
	t := c.findTask(key.name)
	if t == nil || t.run == nil {
		return "; its task has no other run"
	}
	return "; its task has run " + strconv.FormatInt(int64(t.run.number), 10) + " on " + string(t.run.worker.info.HostID)
}

// noteForeignRun logs and counts a run of an earlier owner that a worker's incarnation
// reports which began after the takeover: an order of that owner was executed by a life
// for which it was not meant.
func (c *Core) noteForeignRun(w *worker, key runKey) {
	if key.number >= c.firstRun() || !w.followed {
		return
	}
	c.stats.ForeignRuns++
	c.log(LogRecord{Job: key.name.Job, Task: key.name, Run: key.number, Worker: w.info.HostID, Event: "run of an earlier owner in a later life", Why: "its worker's incarnation was first seen after the takeover"})
}

// noteEndsMissing logs and counts the ends that a report of a worker's incarnation lacks
// between those that this owner has read: an order to an earlier one has acknowledged
// them. Of an incarnation that is older than the ownership, the first end may have any
// number.
func (c *Core) noteEndsMissing(w *worker, report *Report) {
	ends := sortedEnds(report)
	if len(ends) == 0 || report.Withheld > 0 || !w.followed && w.appliedEnd == 0 {
		return
	}
	missing := ends[0].Number - 1 - max(w.appliedEnd, w.acknowledgedEnd)
	if missing <= 0 {
		return
	}
	c.stats.EndsMissing += missing
	c.log(LogRecord{Worker: w.info.HostID, Event: "ends missing", Why: strconv.FormatInt(missing, 10) + " before end " + strconv.FormatInt(ends[0].Number, 10) + ", which nobody has read"})
}

// noteAcknowledgement logs and counts what became of a poll that acknowledged ends, unless
// the incarnation for which it was meant has answered it: any incarnation may execute a
// poll without an answer, and forgets its own ends up to that number.
func (c *Core) noteAcknowledgement(order PollOrder, report *Report, result OrderResult) {
	if order.AcknowledgedEnd == 0 {
		return
	}
	record := LogRecord{Worker: order.Worker.HostID, Why: "up to end " + strconv.FormatInt(order.AcknowledgedEnd, 10) + ", fence " + strconv.FormatInt(int64(order.Fence), 10)}
	switch {
	case result == OrderUnknown:
		c.stats.DoubtfulAcks++
		record.Event = "acknowledgement without an answer"
	case report != nil && !report.BootedAt.Equal(order.Worker.BootedAt) && !order.Worker.BootedAt.IsZero():
		c.stats.MisdirectedAcks++
		record.Event = "acknowledgement reached another incarnation"
	default:
		return
	}
	c.log(record)
}
