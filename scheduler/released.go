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

// releasedRun is a run that was released without a reported end.
type releasedRun struct {
	at       time.Time
	bootedAt time.Time
	why      string
}

// noteReleased remembers that a run is released without a reported end.
func (c *Core) noteReleased(r *run, why string) {
	c.released[runKey{r.name, r.number}] = releasedRun{at: c.now, bootedAt: r.worker.bootedAt, why: why}
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

// noteResurfaced logs and counts a run that a worker reports as running or ended
// after it was released.
func (c *Core) noteResurfaced(w *worker, key runKey) {
	released, found := c.released[key]
	if !found {
		return
	}
	delete(c.released, key)
	life := "the same incarnation"
	if !released.bootedAt.Equal(w.bootedAt) {
		life = "a later incarnation"
	}
	c.stats.Resurfaced++
	c.log(LogRecord{
		Job: key.name.Job, Task: key.name, Run: key.number, Worker: w.info.HostID, Event: "released run resurfaced",
		Why: life + " of its worker has it " + strconv.FormatInt(c.now.Sub(released.at).Milliseconds(), 10) + "ms after the release: " + released.why,
	})
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

// noteEndsMissing logs and counts the ends of a worker's incarnation that its first
// report lacks: an order to an earlier one has acknowledged them.
func (c *Core) noteEndsMissing(w *worker, report *Report) {
	ends := sortedEnds(report)
	if w.reported || !w.followed || len(ends) == 0 || ends[0].Number <= 1 {
		return
	}
	missing := ends[0].Number - 1
	c.stats.EndsMissing += missing
	c.log(LogRecord{Worker: w.info.HostID, Event: "ends missing", Why: "the first report of an incarnation that this owner has seen begin starts with end " + strconv.FormatInt(ends[0].Number, 10)})
}
