package scheduler

import (
	"slices"
	"time"
)

// A task with a target for its response times is kept apart from best-effort tasks. Where
// that is impossible, as too many tasks of a best-effort step would be unavailable if one
// of them were stopped, it starts beside them, and they are paused: the owner sets their
// pace to 0 as long as it runs there, and to 100 afterwards. A paused run keeps its memory
// and counts as at work.
//
// Workers don't report the pace of a run. So the owner sends the pace of a run once it may
// differ from the wanted one, until the worker accepts it, and a new owner sends that of
// each best-effort run it takes over.

// Paces, in percent of what a run would otherwise use.
const (
	fullPace   = 100
	pausedPace = 0
	// unknownPace is that of a run of a previous owner.
	unknownPace = -1
)

// An order that a worker has not accepted is sent again after paceRetryInterval, which
// doubles with each further one, at most maxPaceDoublings times.
const (
	paceRetryInterval = 300 * time.Millisecond
	maxPaceDoublings  = 5
)

// PaceOrder makes a worker let a run use a share of what it would otherwise use.
type PaceOrder struct {
	Worker  WorkerRef
	Task    TaskName
	Run     RunNumber
	Percent int
	Fence   Fence
}

// runPace is the pace of a best-effort run, as far as it is known.
type runPace struct {
	// percent is what the worker last accepted.
	percent  int
	inFlight bool
	// failures counts the orders since then that were not accepted, retryAt is when
	// the next one may be sent.
	failures int
	retryAt  time.Time
}

// fills reports whether the run is of a best-effort task.
func (r *run) fills() bool { return r.task != nil && r.task.step.def.Fills }

// countFilling returns 1 for a best-effort run, and 0 for others.
func (r *run) countFilling() int {
	if r.fills() {
		return 1
	}
	return 0
}

// updatePaces issues orders for the best-effort runs whose pace differs from the wanted
// one.
func (c *Core) updatePaces() {
	for _, w := range c.sortedWorkers {
		if w.filling == 0 || w.unanswered > 0 || !w.reported {
			continue
		}
		wanted := fullPace
		if w.hasTargetedRun() {
			wanted = pausedPace
		}
		for _, r := range c.runsToPace(w, wanted) {
			r.pace.inFlight = true
			c.orders.Paces = append(c.orders.Paces, PaceOrder{Worker: w.ref(), Task: r.name, Run: r.number, Percent: wanted, Fence: c.fence(w)})
		}
	}
}

// runsToPace returns the best-effort runs on a worker that are to be sent another pace, in the
// order of their names.
func (c *Core) runsToPace(w *worker, wanted int) []*run {
	var runs []*run
	for _, r := range w.runs {
		if r.fills() && r.phase == runAcknowledged && r.pace.percent != wanted && !r.pace.inFlight && !c.now.Before(r.pace.retryAt) {
			runs = append(runs, r)
		}
	}
	slices.SortFunc(runs, compareRuns)
	return runs
}

// PaceDone handles the result of a pace order. An order without an answer says nothing
// of the worker: it changes neither what runs there nor its lease.
func (c *Core) PaceDone(now time.Time, order PaceOrder, result OrderResult) {
	c.now = now
	w, r, ok := c.currentRun(order.Worker, runKey{order.Task, order.Run}, order.Fence)
	if !ok {
		return
	}
	r.pace.inFlight = false
	switch result {
	case OrderAccepted:
		r.pace = runPace{percent: order.Percent}
		c.stats.Paced++
	case OrderFenced:
		c.rejectedByFence(w, order.Fence)
	default:
		r.pace.percent = unknownPace
		r.pace.retryAt = now.Add(paceRetryInterval << min(r.pace.failures, maxPaceDoublings))
		r.pace.failures++
	}
}

// shareWith lets tasks of a step with a target start on a worker beside its best-effort
// runs, which can't be stopped.
func (c *Core) shareWith(s *step, w *worker) {
	if w.sharedWith == s {
		return
	}
	w.sharedWith = s
	s.scannedAt = time.Time{}
	c.placementPending = true
	c.log(LogRecord{Job: s.job().name(), Worker: w.info.HostID, Event: "worker shared", Why: "its best-effort tasks can't be stopped, as their step would miss too many; they are paused while a task with a target for its response times runs there"})
}

// keptApart reports whether a task of the step must not start on the worker because of
// best-effort tasks beside tasks with a target for their response times.
func (s *step) keptApart(w *worker) bool {
	if s.def.Fills {
		return w.hasTargetedRun() || w.clearing()
	}
	return s.def.TargetMillis > 0 && w.sharedWith != s && w.hasBestEffortRun()
}
