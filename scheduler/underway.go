package scheduler

// Placing a task costs the owner more than the task's share of a placement pass: its start is
// written ahead, sent, answered and, if the answer is missing, kept open. So starts are under
// way from when they are intended until they are answered, and there is a bound on how many
// are. It bounds the longest pass, what a commit names and what waits to be sent, however
// many tasks wait, so that the owner renews its lease in time. What is left is placed by the
// passes that follow.
//
// A step may take half of what is left of the bound, and each may have a few starts under way
// whatever the others have. So a wide step, or several, delay no others.
//
// What runs takes memory as well, and tasks that need no resources fit everywhere. So there is a
// bound on the runs of the cell, of which a part is kept for steps with few of them.
//
// Gangs start whole or not at all, so their members count for their workers only.

const (
	// maxStartsUnderWay is the most starts that are under way, but for stepStarts of each
	// step.
	maxStartsUnderWay = 1536
	// stepStarts is how many starts of a step may be under way while those of others take
	// all that there may be; all of them together may be extraStarts.
	stepStarts  = 8
	extraStarts = 512
	// workerStarts is the most starts under way on one worker, but for extraWorkerStarts of
	// steps with few: it answers so many at a time only, so the tasks of a wide step spread
	// over the workers.
	workerStarts      = 32
	extraWorkerStarts = 16
	// keptRunsShare divides the runs of the cell: one part of so many is kept for steps with
	// fewer than stepStarts.
	keptRunsShare = 10
)

// startUnderWay counts a start from when it is intended.
func (c *Core) startUnderWay(r *run) {
	r.underWay = true
	c.countUnderWay(r, 1)
}

func (c *Core) countUnderWay(r *run, change int) {
	if r.task.step.def.Gang {
		r.worker.members += change
		return
	}
	r.task.step.underWay += change
	r.worker.underWay += change
	c.underWay += change
}

// startAnswered ends that a start counts, as it has been answered or withdrawn, or its run has
// been reported, stopped or released.
func (c *Core) startAnswered(r *run) {
	if !r.underWay {
		return
	}
	r.underWay = false
	c.countUnderWay(r, -1)
	if r.task.step.wait.reason == WaitStarts {
		c.placementPending = true
	}
}

// presses reports whether the worker has as many starts under way as may be for another one
// of the step.
func (s *step) presses(w *worker) bool {
	limit := workerStarts
	if s.underWay < stepStarts {
		limit += extraWorkerStarts
	}
	return w.underWay >= limit
}

// startsRoom returns how many tasks of a step may be started now.
func (c *Core) startsRoom(s *step) int {
	left := maxStartsUnderWay - c.underWay
	few := min(stepStarts-s.underWay, left+extraStarts)
	runs := c.runsLeft
	if s.running() >= stepStarts {
		runs -= c.options.MaxRuns / keptRunsShare
	}
	return max(0, min(max(left/2, few), runs))
}

// running counts the tasks of the step that have a run.
func (s *step) running() int { return s.def.Count - s.done - s.waiting }

// countRunsLeft counts how many more runs there may be.
func (c *Core) countRunsLeft() {
	c.runsLeft = c.options.MaxRuns
	for _, w := range c.sortedWorkers {
		c.runsLeft -= len(w.runs)
	}
}

// paced has the step considered again once there is room for its starts, on all workers.
func (c *Core) paced(s *step) WaitReason {
	s.scannedAt = c.now.Add(-rescanInterval)
	c.placementPending = true
	return WaitStarts
}
