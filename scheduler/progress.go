package scheduler

import (
	"cmp"
	"slices"
	"time"

	"kumquatstall/estimator"
	"kumquatstall/requester"
)

// job is the owner's state of a job.
type job struct {
	spec  Job
	state State
	// storedState is the state in the last committed row, or notStored.
	storedState State
	// storedProgress is what is committed of the job's progress; empty for
	// nothing.
	storedProgress committedProgress
	// refusals counts how often the store has refused the job's rows as invalid
	// since it last took them, heldUntil is when they are written again. strikes
	// counts the refusals between which it took those of other jobs, and
	// refusedAfter is Core.jobCommits at the last one.
	refusals     int
	heldUntil    time.Time
	strikes      int
	refusedAfter int64
	// cuts are the first tasks of the ranges that have detail rows.
	cuts []taskPosition
	// plan is what is left to write of rows that take several transactions; empty for
	// none.
	plan        writePlan
	occurrences []*occurrence
	// nextOccurrence is the first occurrence that has not been activated.
	nextOccurrence int64
	// durations are the predicted durations of the tasks of each step;
	// criticalPaths the durations of the longest chain of dependent steps that
	// begins with each step.
	durations     []time.Duration
	criticalPaths []time.Duration
	// objective is the time in which each occurrence should be done.
	objective time.Duration
	// version increases with each change of the job's rows; committedVersion is
	// the last one committed.
	version, committedVersion int64
	// dirty is true if the job is in Core.dirty.
	dirty bool
	// activeRuns counts the tasks with a run.
	activeRuns int
	endedAt    time.Time
}

// occurrence is one execution of the steps of a job.
type occurrence struct {
	job    *job
	number int64
	dueAt  time.Time
	steps  []*step
	// version is the first version of the job's rows that contains the
	// occurrence.
	version int64
}

// step is the state of a step of one occurrence.
type step struct {
	occurrence *occurrence
	number     int
	def        *Step
	// table has the tasks, done counts those that are done.
	table taskTable
	done  int
	// waiting counts the tasks that are not done and have no run, underWay the starts that
	// are under way.
	waiting  int
	underWay int
	open     bool
	// lastRun is the highest run number of a gang. Its members start with the
	// same number.
	lastRun RunNumber
	// failedRuns are the numbers of the failed runs of a gang.
	failedRuns []RunNumber
	// hosts are the workers on which a gang last started.
	hosts []requester.HostID
	// gangRuns counts the present runs of a gang by their numbers. sweptAt is when those with
	// sweptRun were last stopped.
	gangRuns map[RunNumber]int
	sweptRun RunNumber
	sweptAt  time.Time
	// notSent counts how often a gang could not be sent in time, retryAt is when it starts
	// again.
	notSent int
	retryAt time.Time
	// lastedAt and gangLasted are when, and how long, all members of a gang were last found to
	// have lasted, lastedRun in which run.
	lastedAt   time.Time
	lastedRun  RunNumber
	gangLasted time.Duration
	advice     stepAdvice
	// stalls counts how often a run of the step, or a whole gang, was stopped
	// because it made no progress.
	stalls int
	// wait is why the waiting tasks have not started.
	wait wait
	// reservation is the reservation for the step; nil for none.
	reservation *reservation
	// reserveAfter is the earliest time of the next reservation for the step.
	reserveAfter time.Time
	// displaceAfter is the earliest time of the next search for workers on which
	// to stop best-effort runs for the step.
	displaceAfter time.Time
	// rackUntil is until when a gang that fits on several racks waits for one;
	// zero before it fits.
	rackUntil time.Time
	// rank is the position of the step in the placement order, as last
	// calculated.
	rank rank
	// scannedAt is when all workers were last scanned for free resources for
	// the step; zero forces a full scan. scanned is the number of the entry of
	// Core.freed from which the next partial scan starts.
	scannedAt time.Time
	scanned   int
	// avoid are the workers on which tasks of the step have failed or stalled.
	avoid []requester.HostID
	// startRecordVersion is the first version of the job's rows with the step's
	// start record; 0 if there is none yet.
	startRecordVersion int64
	// mayHaveUnknownRuns is true if a previous owner may have started tasks of
	// the step that no worker has reported. eagerMark is true if only the row of
	// an eager owner says so, and not the step's own start record.
	mayHaveUnknownRuns bool
	eagerMark          bool
	// unknownLife is the run that a previous owner may have started of each task of which
	// nothing is known, for the records of their lives; 0 for none.
	unknownLife RunNumber
	// checkpoint is that of a gang; empty for none.
	checkpoint string
	// doneVersion is the first version of the job's rows in which the step is
	// complete; 0 if a previous owner committed that, or it is not complete.
	doneVersion int64
}

// task is the state of a task of a step.
type task struct {
	step       *step
	index      int
	done       bool
	failedRuns []RunNumber
	// checkpoint is that of a task that is in no gang; empty for none.
	checkpoint string
	lastRun    RunNumber
	// crashes are the crashes under the task; nil if there are none. startedRuns
	// counts the runs that workers are known to have started: those of this owner,
	// and those that crashed before.
	crashes     *crashHistory
	startedRuns int
	// noted is the present or last start, if it is noted in the job's rows; nil for
	// none.
	noted *notedStart
	// run is the run that is active, or may be; nil for none.
	run *run
	// open is the open start of the task; nil for none. closedVersion is the first version of the
	// job's rows without the last one that was closed; 0 if none was.
	open          *openStart
	closedVersion int64
	// queued is true if the task is among the returned ones of its step.
	queued bool
}

func (j *job) name() requester.JobID { return j.spec.JobID }

func (s *step) job() *job { return s.occurrence.job }

func (s *step) name() StepName {
	return StepName{Job: s.job().spec.JobID, Occurrence: s.occurrence.number, Step: s.number}
}

func (t *task) name() TaskName { return TaskName{StepName: t.step.name(), Index: t.index} }

// complete reports whether every task of the step is done.
func (s *step) complete() bool { return s.done == s.def.Count }

// complete reports whether every step of the occurrence is complete.
func (o *occurrence) complete() bool {
	for _, s := range o.steps {
		if !s.complete() {
			return false
		}
	}
	return true
}

// predictDurations calculates the durations of a job's steps, its critical
// paths and its objective from its estimates and the observed corrections of
// its queue.
func (c *Core) predictDurations(j *job) {
	j.durations = j.spec.durations(c.corrections[j.spec.Queue])
	j.criticalPaths = j.spec.criticalPaths(j.durations)
	j.objective = j.spec.objective(j.criticalPaths)
}

// observeDuration corrects the estimates of a queue by the duration of a run
// that has done all of its task's work.
func (c *Core) observeDuration(r *run) {
	if r == nil || r.task == nil || r.resumed || r.acknowledgedAt.IsZero() {
		return
	}
	s := r.task.step
	queue := s.job().spec.Queue
	if c.corrections[queue] == nil {
		c.corrections[queue] = &estimator.Correction{}
	}
	// The tasks of a step are identical and share one estimate, so all of them
	// together count as one observation.
	c.corrections[queue].Observe(time.Duration(s.def.EstimateMillis)*time.Millisecond, c.now.Sub(r.acknowledgedAt), 1/float64(s.def.Count))
}

// expectedDuration returns the predicted duration of a task of the step.
func (s *step) expectedDuration() time.Duration { return s.job().durations[s.number] }

// notStored is the storedState of a job without a committed state row.
const notStored = -1

// HasJob reports whether the core has the job.
func (c *Core) HasJob(id requester.JobID) bool { return c.jobs[id] != nil }

// Knows reports whether the core has been told of the job, also if it excludes it.
func (c *Core) Knows(id requester.JobID) bool { return c.HasJob(id) || c.excluded[id] }

// newOccurrence adds an occurrence, with all tasks waiting, to a job.
func (c *Core) newOccurrence(j *job, number int64) *occurrence {
	o := &occurrence{job: j, number: number, dueAt: j.spec.dueAt(number)}
	for index := range j.spec.Steps {
		def := &j.spec.Steps[index]
		o.steps = append(o.steps, &step{occurrence: o, number: index, def: def, waiting: def.Count})
	}
	j.occurrences = append(j.occurrences, o)
	return o
}

// Cancel cancels a job unless it has ended.
func (c *Core) Cancel(now time.Time, id requester.JobID) {
	c.now = now
	if j, ok := c.jobs[id]; ok && !j.state.Ended() {
		c.stats.JobsCancelled++
		c.endJob(j, StateCancelled, "cancelled by its caller")
	}
}

// endJob moves a job to a final state and stops its runs.
func (c *Core) endJob(j *job, state State, why string) {
	j.state = state
	j.endedAt = c.now
	delete(c.timed, j.name())
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			c.closeStep(s)
			for t := range s.knownTasks() {
				if t.run != nil {
					c.stop(t.run, "job has ended")
				}
			}
		}
	}
	c.markDirty(j)
	c.log(LogRecord{Job: j.name(), Event: "job " + stateText(state), Why: why})
}

func stateText(state State) string {
	switch state {
	case StateCompleted:
		return "completed"
	case StateFailed:
		return "failed"
	default:
		return "cancelled"
	}
}

// closeStep removes a step from the open ones.
func (c *Core) closeStep(s *step) {
	if !s.open {
		return
	}
	s.open = false
	if i := slices.Index(c.open, s); i >= 0 {
		c.open = slices.Delete(c.open, i, i+1)
	}
}

// openReadySteps opens the incomplete steps of a job whose occurrence is
// committed and whose predecessors are committed as complete. It adds the start
// records of those that need no advice.
func (c *Core) openReadySteps(j *job) {
	if j.state.Ended() {
		return
	}
	for _, o := range j.occurrences {
		if o.version > j.committedVersion {
			continue
		}
		for _, s := range o.steps {
			if !s.open && !s.complete() && o.predecessorsDone(s) {
				s.open = true
				c.open = append(c.open, s)
				c.placementPending = true
				if j.spec.Advice == nil {
					c.recordStart(s)
				}
			}
		}
	}
}

// predecessorsDone reports whether all predecessors of a step are committed as
// complete.
func (o *occurrence) predecessorsDone(s *step) bool {
	for _, predecessor := range s.def.After {
		if !o.steps[predecessor].complete() || o.steps[predecessor].doneVersion > o.job.committedVersion {
			return false
		}
	}
	return true
}

// completeJob removes the complete occurrences of a job, and ends the job if
// none is left or still to be activated.
func (c *Core) completeJob(j *job) {
	if j.state.Ended() {
		return
	}
	j.occurrences = slices.DeleteFunc(j.occurrences, (*occurrence).complete)
	if len(j.occurrences) == 0 && j.nextOccurrence >= max(1, j.spec.Occurrences) {
		c.stats.JobsCompleted++
		c.endJob(j, StateCompleted, "all tasks are done")
	}
}

// maxOverlapping is the greatest number of active occurrences of a job. Its
// progress row contains them all.
const maxOverlapping = 1000

// mayOverlap reports whether the job may have one more active occurrence, besides
// those that it has. The state of all of them together is bounded like that of
// one, so that a job whose occurrences are all due fills neither the memory nor its
// progress row.
func (j *job) mayOverlap(rowLimit int) bool {
	tasks := 0
	for i := range j.spec.Steps {
		tasks += j.spec.Steps[i].Count
	}
	active := len(j.occurrences)
	return active == 0 || active < maxOverlapping && (active+1)*tasks <= MaxStepTasks && (active+1)*j.spec.fixedBytes() <= rowLimit/fixedShare
}

// activateOccurrences creates the next occurrence of each job for which it is
// due.
func (c *Core) activateOccurrences() {
	if len(c.timed) == 0 {
		return
	}
	var due []*job
	for _, j := range c.timed {
		if j.nextOccurrence < j.spec.Occurrences && !c.now.Before(j.spec.dueAt(j.nextOccurrence)) && j.mayOverlap(c.options.rowLimit()) {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, func(a, b *job) int { return cmp.Compare(a.name(), b.name()) })
	for _, j := range due {
		// After a takeover, an occurrence before NextOccurrence that the
		// progress row does not contain counts as ended. So an occurrence is
		// committed before its tasks start.
		o := c.newOccurrence(j, j.nextOccurrence)
		j.nextOccurrence++
		c.markDirty(j)
		o.version = j.version
		c.applyUnknownEnds(j)
	}
}

// progress returns the job's progress row, with the details of the given tasks.
func (j *job) progress(detailed []sizedTask) progressRow {
	row := progressRow{State: j.state, NextOccurrence: j.nextOccurrence}
	for _, o := range j.occurrences {
		stored := occurrenceProgress{Number: o.number}
		for _, s := range o.steps {
			steps := s.progress()
			for len(detailed) > 0 && detailed[0].task.step == s {
				steps.addDetails(detailed[0].task)
				detailed = detailed[1:]
			}
			stored.Steps = append(stored.Steps, steps)
		}
		row.Occurrences = append(row.Occurrences, stored)
	}
	return row
}

// progress returns the progress of the step without the details of its tasks.
func (s *step) progress() stepProgress {
	row := stepProgress{calmProgress: calmProgress{Started: s.startRecordVersion > 0 || s.mayHaveUnknownRuns}}
	if s.complete() {
		row.AllDone = true
		return row
	}
	row.Done = slices.Clone(s.table.doneBits)
	return row
}

// findTask returns the task with that name, or nil.
func (c *Core) findTask(name TaskName) *task {
	j := c.jobs[name.Job]
	if j == nil {
		return nil
	}
	for _, o := range j.occurrences {
		if o.number != name.Occurrence {
			continue
		}
		if name.Step < 0 || name.Step >= len(o.steps) {
			return nil
		}
		return o.steps[name.Step].taskAt(name.Index)
	}
	return nil
}
