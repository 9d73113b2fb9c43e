package scheduler

import (
	"kumquatstall/requester"
)

// firstRun is the lowest run number of this owner: none that an earlier one
// can have used.
func (c *Core) firstRun() RunNumber { return RunNumber((c.options.Epoch-1)*runsPerEpoch) + 1 }

func (t *task) nextRun(c *Core) RunNumber { return max(t.lastRun+1, c.firstRun()) }

// start orders a run, unless that would break an invariant.
func (c *Core) start(t *task, w *worker, number RunNumber, ticket string) {
	s := t.step
	need := s.def.room()
	r := &run{
		task:      t,
		name:      t.name(),
		number:    number,
		worker:    w,
		need:      need,
		startedAt: c.now,
		endsAt:    c.now.Add(s.expected()),
		resumed:   t.checkpoint != "",
	}
	if broken := c.broken(t, w, need); broken != "" {
		c.stats.Violations++
		c.note(Note{Job: s.job().name(), Task: r.name, Worker: w.info.HostID, Event: "start withheld", Why: broken, Broken: true})
		return
	}
	t.lastRun = number
	t.run = r
	s.waiting--
	s.job().active++
	w.runs[runKey{r.name, number}] = r
	w.used = w.used.Add(need)
	c.consumeUnreserved(s, w)
	c.stats.Starts++
	c.orders.Starts = append(c.orders.Starts, StartOrder{
		Worker:     w.ref(),
		Task:       r.name,
		Run:        number,
		Payload:    s.job().spec.Payload,
		Deadline:   c.grant(w),
		Fence:      Fence(c.options.Epoch),
		Checkpoint: t.checkpoint,
		Ticket:     ticket,
	})
	c.note(Note{
		Job: s.job().name(), Task: r.name, Run: number, Worker: w.info.HostID, Event: "start",
		Waited: c.now.Sub(s.occurrence.dueAt), Tier: s.rank.tier,
	})
}

// broken returns the invariant that a start would break, or an empty string.
func (c *Core) broken(t *task, w *worker, need requester.Resources) string {
	s := t.step
	switch {
	case t.done:
		return "the task is done"
	case t.run != nil:
		return "the task may be running"
	case s.job().state.Ended():
		return "the job has ended"
	case !s.occurrence.predecessorsDone(s):
		return "an earlier step is not done"
	case s.job().spec.Occurrences > 0 && c.now.Before(s.occurrence.dueAt):
		return "the occurrence is not due"
	case !need.Fits(w.available()):
		return "no room"
	case !c.compatible(s, w):
		return "the worker does not suit the step"
	case s.def.AntiAffinity > 0 && s.countRuns(w) >= s.def.AntiAffinity:
		return "too many tasks of the step on the worker"
	case s.def.Fills && w.hasTargetedRun() || s.def.TargetMillis > 0 && w.hasFillerRun():
		return "tasks that fill beside tasks with a target"
	case !c.mayBegin(s):
		return "the step is not stored as begun"
	case s.hidden && !c.Settled():
		return "an earlier owner's run may be hidden"
	}
	return ""
}
