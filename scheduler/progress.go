package scheduler

import (
	"cmp"
	"slices"
	"time"

	"kumquatstall/estimator"
	"kumquatstall/requester"
)

// job is a job as the owner knows it.
type job struct {
	spec  Job
	state State
	// storedState is the state in the store.
	storedState State
	occurrences []*occurrence
	// next is the first occurrence that hasn't begun.
	next int64
	// durations is how long the tasks of each step should take, chains the
	// longest chain of work from each step on.
	durations []time.Duration
	chains    []time.Duration
	// objective is how long the job should take.
	objective time.Duration
	// version grows with each change to be written; saved is that written.
	version, saved int64
	// queued tells that the job is among the dirty ones.
	queued bool
	// active counts the runs that take room.
	active  int
	endedAt time.Time
}

// occurrence is one run through the steps of a job.
type occurrence struct {
	job    *job
	number int64
	dueAt  time.Time
	steps  []*step
	// version is that of the job's rows which first name the occurrence.
	version int64
}

// step is one step of one occurrence.
type step struct {
	occurrence *occurrence
	number     int
	def        *Step
	tasks      []*task
	done       int
	// waiting counts the tasks that want a worker.
	waiting int
	open    bool
	// lastRun is the highest run number of a gang.
	lastRun RunNumber
	// failed are the failed runs of a gang.
	failed []RunNumber
	advice stepAdvice
	// stalls counts how often runs of the step were stopped since they stood
	// still.
	stalls int
	// hold is what is held for the step; nil for nothing.
	hold *reservation
	// holdAfter is before when nothing is held for it.
	holdAfter time.Time
	// rank is the step's place in the order, as last calculated.
	rank rank
	// scannedAt is when the step last looked for room at all workers; zero
	// makes it look again. scanned is the number of the first worker freed
	// since its last look.
	scannedAt time.Time
	scanned   int
	// avoid are workers on which tasks of the step have failed.
	avoid []requester.HostID
	// begunVersion is that of the job's rows which first tell that tasks of
	// the step may have been started; 0 before that.
	begunVersion int64
	// hidden tells that an earlier owner may have started tasks of the step
	// that haven't been seen.
	hidden bool
	// doneVersion is that of the job's rows which first tell that the step is
	// complete.
	doneVersion int64
}

// task is one task of a step.
type task struct {
	step       *step
	index      int
	done       bool
	failed     []RunNumber
	checkpoint string
	lastRun    RunNumber
	// run is what runs, or may run, of the task; nil for nothing.
	run *run
}

func (j *job) name() requester.JobID { return j.spec.JobID }

func (s *step) job() *job { return s.occurrence.job }

func (s *step) name() StepName {
	return StepName{Job: s.job().spec.JobID, Occurrence: s.occurrence.number, Step: s.number}
}

func (t *task) name() TaskName { return TaskName{StepName: t.step.name(), Index: t.index} }

// complete reports whether every task of the step is done.
func (s *step) complete() bool { return s.done == len(s.tasks) }

func (o *occurrence) complete() bool {
	for _, s := range o.steps {
		if !s.complete() {
			return false
		}
	}
	return true
}

// JobRows is a job as the store holds it.
type JobRows struct {
	Job Job
	// Progress is the value of the row of its progress; nil where no owner has
	// seen the job.
	Progress  []byte
	Cancelled bool
}

// Recover takes in a job that stood in the store at the takeover.
func (c *Core) Recover(rows JobRows) error {
	var progress progressRow
	if rows.Progress != nil {
		if err := DecodeRow(rows.Progress, &progress); err != nil {
			return err
		}
	}
	j := &job{spec: rows.Job, state: progress.State, storedState: progress.State}
	c.expect(j)
	if rows.Progress == nil {
		j.storedState = notStored
	}
	c.jobs[j.name()] = j
	if progress.State.Ended() {
		j.endedAt = time.Unix(progress.EndedAt, 0)
		return nil
	}
	if rows.Progress == nil {
		c.touch(j)
	}
	j.next = progress.Next
	if j.spec.Occurrences == 0 {
		j.next = 1
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
	if c.options.EarlierEager {
		for _, o := range j.occurrences {
			o.hide()
		}
	}
	if rows.Cancelled {
		c.Cancel(c.now, j.name())
		return nil
	}
	c.openSuccessors(j)
	c.settleJob(j)
	return nil
}

// Add takes in a job that was accepted after the takeover.
func (c *Core) Add(now time.Time, spec Job) {
	c.now = now
	if _, ok := c.jobs[spec.JobID]; ok {
		return
	}
	j := &job{spec: spec, storedState: notStored}
	c.expect(j)
	c.jobs[j.name()] = j
	c.touch(j)
	c.changed = true
	if spec.Occurrences > 0 {
		c.timed[j.name()] = j
		return
	}
	j.next = 1
	c.newOccurrence(j, 0)
	c.openSuccessors(j)
}

// expect calculates how long a job and its steps should take, by their
// estimates and by what was learned of its queue.
func (c *Core) expect(j *job) {
	j.durations = j.spec.durations(c.corrections[j.spec.Queue])
	j.chains = j.spec.chains(j.durations)
	j.objective = j.spec.objective(j.chains)
}

// learn takes in how long a run has taken that did all of its work.
func (c *Core) learn(r *run) {
	if r == nil || r.task == nil || r.resumed || r.presentAt.IsZero() {
		return
	}
	s := r.task.step
	queue := s.job().spec.Queue
	if c.corrections[queue] == nil {
		c.corrections[queue] = &estimator.Correction{}
	}
	// The tasks of a step are alike, and share one estimate.
	c.corrections[queue].Observe(time.Duration(s.def.EstimateMillis)*time.Millisecond, c.now.Sub(r.presentAt), 1/float64(len(s.tasks)))
}

// expected is how long a task of the step should take.
func (s *step) expected() time.Duration { return s.job().durations[s.number] }

// notStored is the stored state of a job whose state isn't stored yet.
const notStored = -1

// Knows reports whether the job is known.
func (c *Core) Knows(id requester.JobID) bool { return c.jobs[id] != nil }

func (c *Core) newOccurrence(j *job, number int64) *occurrence {
	o := &occurrence{job: j, number: number, dueAt: j.spec.dueAt(number)}
	for index := range j.spec.Steps {
		def := &j.spec.Steps[index]
		s := &step{occurrence: o, number: index, def: def, waiting: def.Count}
		s.tasks = make([]*task, def.Count)
		for i := range s.tasks {
			s.tasks[i] = &task{step: s, index: i}
		}
		o.steps = append(o.steps, s)
	}
	j.occurrences = append(j.occurrences, o)
	return o
}

// restore takes over what an earlier owner had stored.
func (o *occurrence) restore(stored []stepProgress) {
	for number, progress := range stored {
		if number >= len(o.steps) {
			return
		}
		s := o.steps[number]
		s.hidden = progress.Begun
		if s.def.Gang {
			s.failed = progress.Failed[0]
		}
		for index, t := range s.tasks {
			if !s.def.Gang {
				t.failed = progress.Failed[index]
			}
			t.checkpoint = progress.Checkpoints[index]
			if progress.AllDone || bitSet(progress.Done, index) {
				t.done = true
				s.done++
				s.waiting--
			}
		}
	}
}

// hide notes that an earlier owner may have started any step.
func (o *occurrence) hide() {
	for _, s := range o.steps {
		s.hidden = true
	}
}

func bitSet(bits []byte, index int) bool {
	return index/8 < len(bits) && bits[index/8]&(1<<(index%8)) != 0
}

// Cancel ends a job at its caller's wish.
func (c *Core) Cancel(now time.Time, id requester.JobID) {
	c.now = now
	if j, ok := c.jobs[id]; ok && !j.state.Ended() {
		c.stats.JobsCancelled++
		c.endJob(j, StateCancelled, "cancelled by its caller")
	}
}

// endJob moves a job to a final state and stops what runs of it.
func (c *Core) endJob(j *job, state State, why string) {
	j.state = state
	j.endedAt = c.now
	delete(c.timed, j.name())
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			c.closeStep(s)
			for _, t := range s.tasks {
				if t.run != nil {
					c.stop(t.run, "job has ended")
				}
			}
		}
	}
	c.touch(j)
	c.note(Note{Job: j.name(), Event: "job " + stateWord(state), Why: why})
}

func stateWord(state State) string {
	switch state {
	case StateCompleted:
		return "completed"
	case StateFailed:
		return "failed"
	default:
		return "cancelled"
	}
}

func (c *Core) closeStep(s *step) {
	if !s.open {
		return
	}
	s.open = false
	if i := slices.Index(c.open, s); i >= 0 {
		c.open = slices.Delete(c.open, i, i+1)
	}
}

// openSuccessors opens the steps whose predecessors are done and stored.
func (c *Core) openSuccessors(j *job) {
	if j.state.Ended() {
		return
	}
	for _, o := range j.occurrences {
		if o.version > j.saved {
			continue
		}
		for _, s := range o.steps {
			if !s.open && !s.complete() && o.predecessorsDone(s) {
				s.open = true
				c.open = append(c.open, s)
				c.changed = true
				if j.spec.Advice == nil {
					c.begin(s)
				}
			}
		}
	}
}

// begin has the job's rows tell that tasks of the step may be started. Only
// then they may: a successor has to know what may run unseen.
func (c *Core) begin(s *step) {
	if s.begunVersion == 0 {
		c.touch(s.job())
		s.begunVersion = s.job().version
	}
}

// mayBegin reports whether the store tells that tasks of the step may be
// started, by the job's rows or for all.
func (c *Core) mayBegin(s *step) bool {
	return s.begunVersion > 0 && (c.eager || s.begunVersion <= s.job().saved)
}

func (o *occurrence) predecessorsDone(s *step) bool {
	for _, earlier := range s.def.After {
		if !o.steps[earlier].complete() || o.steps[earlier].doneVersion > o.job.saved {
			return false
		}
	}
	return true
}

// settleJob ends the occurrences, and the job, of which all tasks are done.
func (c *Core) settleJob(j *job) {
	if j.state.Ended() {
		return
	}
	j.occurrences = slices.DeleteFunc(j.occurrences, (*occurrence).complete)
	if len(j.occurrences) == 0 && j.next >= max(1, j.spec.Occurrences) {
		c.stats.JobsCompleted++
		c.endJob(j, StateCompleted, "all tasks are done")
	}
}

// beginOccurrences begins the occurrences that are due.
func (c *Core) beginOccurrences() {
	if len(c.timed) == 0 {
		return
	}
	var due []*job
	for _, j := range c.timed {
		if j.next < j.spec.Occurrences && !c.now.Before(j.spec.dueAt(j.next)) {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, func(a, b *job) int { return cmp.Compare(a.name(), b.name()) })
	for _, j := range due {
		// An occurrence that has to be there after a takeover is one that is
		// listed or not begun; so it is written before its tasks start.
		o := c.newOccurrence(j, j.next)
		j.next++
		c.touch(j)
		o.version = j.version
	}
}

// saves returns the rows of a job as they have to be.
func (j *job) saves() []Save {
	row := StateRow{Queue: j.spec.Queue, State: j.state, Timed: j.spec.Occurrences > 0}
	if j.state.Ended() {
		row.EndedAt = j.endedAt.Unix()
	}
	var saves []Save
	if j.state != j.storedState {
		saves = append(saves, Save{Key: StateKey(j.name()), Value: EncodeRow(row)})
	}
	progress := progressRow{State: row.State, EndedAt: row.EndedAt}
	if !j.state.Ended() {
		progress = j.progress()
	}
	return append(saves, Save{Key: ProgressKey(j.name()), Value: EncodeRow(progress)})
}

func (j *job) progress() progressRow {
	row := progressRow{State: j.state, Next: j.next}
	for _, o := range j.occurrences {
		stored := occurrenceProgress{Number: o.number}
		for _, s := range o.steps {
			stored.Steps = append(stored.Steps, s.progress())
		}
		row.Occurrences = append(row.Occurrences, stored)
	}
	return row
}

func (s *step) progress() stepProgress {
	row := stepProgress{Begun: s.begunVersion > 0 || s.hidden}
	if s.complete() {
		row.AllDone = true
		return row
	}
	if s.def.Gang && len(s.failed) > 0 {
		row.Failed = map[int][]RunNumber{0: s.failed}
	}
	for index, t := range s.tasks {
		if t.done {
			if row.Done == nil {
				row.Done = make([]byte, (len(s.tasks)+7)/8)
			}
			row.Done[index/8] |= 1 << (index % 8)
			continue
		}
		if !s.def.Gang && len(t.failed) > 0 {
			if row.Failed == nil {
				row.Failed = make(map[int][]RunNumber)
			}
			row.Failed[index] = t.failed
		}
		if t.checkpoint != "" {
			if row.Checkpoints == nil {
				row.Checkpoints = make(map[int]string)
			}
			row.Checkpoints[index] = t.checkpoint
		}
	}
	return row
}

// find returns the task of that name, or nil.
func (c *Core) find(name TaskName) *task {
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
		if name.Index < 0 || name.Index >= len(o.steps[name.Step].tasks) {
			return nil
		}
		return o.steps[name.Step].tasks[name.Index]
	}
	return nil
}
