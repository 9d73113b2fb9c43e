package scheduler

import (
	"math"
	"slices"
	"time"
)

// The list of intended starts has those that are intended or sent, until a successor needn't
// learn of them from it, and those of previous owners that may be open. A batch writes it
// whole, if there are some that no batch names; new ones for which it has no room wait for the
// next batch.

// writtenStart is a start in the list of intended starts. run is nil if a previous owner
// intended it, task as well if that task is done or its job has ended or is excluded.
type writtenStart struct {
	stored IntendedStart
	task   *task
	run    *run
	// taken is true if a batch in flight or committed names the start, committed if a
	// committed one does.
	taken, committed bool
	// openVersion is a version of the job's rows that has the start as open; 0 for none.
	openVersion int64
}

const (
	// intendedStartBytes bounds the encoded size of a range of intended starts without its
	// names.
	intendedStartBytes = 60
	// shorterInterval is how long after it was last written the list is written again if it
	// has only become shorter.
	shorterInterval = time.Second
	// startsShare divides the room of a batch: the intended starts take at most one part of
	// so many, the rest is for the rows of jobs.
	startsShare = 2
	// maxStartsPerBatch bounds the new starts of a batch after the store has refused one.
	maxStartsPerBatch = 4096
)

// bytesAfter returns the most bytes that the start takes in its row behind another one, which
// may be nil.
func (s *IntendedStart) bytesAfter(last *IntendedStart) int {
	if last != nil && s.continues(last) {
		return 0
	}
	return intendedStartBytes + len(s.Job) + len(s.Worker)
}

// startsUnwritten reports whether there are starts that no batch names.
func (c *Core) startsUnwritten() bool {
	return slices.ContainsFunc(c.written, func(s *writtenStart) bool { return !s.taken && c.mustBeWritten(s) })
}

// mustBeWritten reports whether a successor may learn of the start from the list of
// intended starts alone.
func (c *Core) mustBeWritten(s *writtenStart) bool {
	r := s.run
	if s.task == nil {
		return c.mayAct(c.openOf(&s.stored))
	}
	if r != nil && r.phase == runIntended {
		return r.toBeSent()
	}
	j := s.task.step.job()
	if open := s.task.open; open != nil && open.Run == s.stored.Run {
		if !s.task.storesOpenStart() {
			return c.mayAct(open)
		}
		if s.openVersion == 0 {
			s.openVersion = j.version
		}
		return j.committedVersion < s.openVersion
	}
	switch {
	case r == nil || r.settled:
		return false
	case !s.task.storesOpenStart() && j.committedVersion < j.version:
		return true
	}
	return c.now.Before(c.actsUntil(r))
}

// storesOpenStart reports whether the rows of the job have the task's open start, if there is
// one. They don't if the task doesn't start again, nor if it is of a wide gang, whose starts the
// list of intended starts names in less room.
func (t *task) storesOpenStart() bool {
	return !t.done && !t.step.job().state.Ended() && !t.step.def.wideGang()
}

// listUnstored adds to the list of intended starts the open ones that the rows of their jobs
// don't have: a successor must keep their room, and wait for them if their tasks start again.
func (c *Core) listUnstored() {
	var missing []*task
	for _, t := range c.openTasks {
		if !t.storesOpenStart() {
			missing = append(missing, t)
		}
	}
	if len(missing) == 0 {
		return
	}
	listed := make(map[runKey]bool, len(c.written))
	for _, s := range c.written {
		if s.task != nil {
			listed[runKey{s.stored.name(), s.stored.Run}] = true
		}
	}
	for _, t := range missing {
		if !listed[runKey{t.name(), t.open.Run}] {
			c.written = append(c.written, &writtenStart{task: t, stored: t.open.intended(t.name(), t.step.def.sendingTime())})
		}
	}
}

// unlistedRepeats returns the jobs whose rows, as they are now, don't have a repeated start that may
// be executed and that no batch names either. Their rows wait for the list: a successor
// that finds neither would acknowledge the end of the run too soon.
func (c *Core) unlistedRepeats() map[*job]bool {
	var unstored []*task
	for _, t := range c.openTasks {
		if t.open.repeated && !t.storesOpenStart() {
			unstored = append(unstored, t)
		}
	}
	if len(unstored) == 0 {
		return nil
	}
	type start struct {
		task   *task
		number RunNumber
	}
	named := make(map[start]bool, len(c.written))
	for _, s := range c.written {
		if s.taken {
			named[start{s.task, s.stored.Run}] = true
		}
	}
	jobs := make(map[*job]bool)
	for _, t := range unstored {
		if !named[start{t, t.open.Run}] {
			jobs[t.step.job()] = true
		}
	}
	return jobs
}

// dropWritten removes from the list the starts that a successor needn't learn from it. Those
// of a wide gang remain as long as one of them must: the gang waits for that one anyway, and
// the ranges remain few.
func (c *Core) dropWritten() {
	type gangRun struct {
		step   *step
		number RunNumber
	}
	kept := make(map[gangRun]bool)
	gangOf := func(s *writtenStart) (gangRun, bool) {
		if s.task == nil || !s.task.step.def.wideGang() || s.task.step.job().state.Ended() {
			return gangRun{}, false
		}
		return gangRun{s.task.step, s.stored.Run}, true
	}
	for _, s := range c.written {
		if gang, ok := gangOf(s); ok && !kept[gang] && c.mustBeWritten(s) {
			kept[gang] = true
		}
	}
	c.written = slices.DeleteFunc(c.written, func(s *writtenStart) bool {
		if gang, ok := gangOf(s); ok {
			return !kept[gang]
		}
		return !c.mustBeWritten(s)
	})
}

// intended returns the open start of a task as one in the list of intended starts, which
// could be sent for the given time.
func (o *openStart) intended(name TaskName, sending time.Duration) IntendedStart {
	return IntendedStart{
		Job: name.Job, Occurrence: name.Occurrence, Step: name.Step, Index: name.Index,
		Run: o.Run, Worker: o.Worker, IntendedNanos: o.Until.Add(-maxIntendedTime - maxOrderDelay).UnixNano(), Repeated: o.repeated,
	}
}

// addStarts adds the list of intended starts to a batch, if there are any that no batch
// names, or if it has been longer than it is for a while. New starts beyond half of the room
// wait for the next batch.
func (c *Core) addStarts(batch *Batch, room batchRoom) {
	c.listUnstored()
	c.dropWritten()
	if c.now.Before(c.startsHeldUntil) || c.startsUnreadable || !c.startsUnwritten() && !c.unknownOutdated() && !c.startsShorter() {
		return
	}
	left := min(room.left(batch).bytes/4*3, room.left(batch).rows*c.options.rowLimit()/2) / startsShare
	var last *IntendedStart
	for _, s := range c.written {
		if s.taken {
			left -= s.stored.bytesAfter(last)
			last = &s.stored
		}
	}
	added := 0
	last = nil
	var stored []IntendedStart
	for _, s := range c.written {
		if !s.taken {
			if left -= s.stored.bytesAfter(last); left < 0 || c.startsLimit > 0 && added == c.startsLimit {
				continue
			}
			s.taken = true
			added++
		}
		last = &s.stored
		stored = append(stored, s.stored)
		batch.starts = append(batch.starts, s)
	}
	tells := c.tellsUnknown()
	if added == 0 && !c.startsShorter() && !c.unknownOutdated() {
		batch.starts = nil
		return
	}
	// What the stored list says counts from when it may be stored.
	batch.tellsUnknown, c.unknownTaken, c.unknownStored = tells, tells, c.unknownStored || tells
	c.startsStored, c.startsWrittenAt, batch.hasStarts = len(stored), c.now, true
	batch.append(c.startsWrites(stored, len(stored) == len(c.written)))
}

// startsShorter reports whether the list has been longer than it is for a while.
func (c *Core) startsShorter() bool {
	return len(c.written) < c.startsStored && c.now.Sub(c.startsWrittenAt) >= shorterInterval
}

// startsWrites returns the writes of the list of intended starts, which is complete if it
// names all of them. An empty one that says nothing has no row.
func (c *Core) startsWrites(stored []IntendedStart, complete bool) []RowWrite {
	unknown := c.unknownNanos(complete)
	encode := func(from, to int) []byte { return EncodeRow(StartsRow{Starts: stored[from:to], UnknownNanos: unknown}) }
	writes := listWrites(StartsKey, len(stored), encode, c.options.rowLimit(), &c.startParts)
	if len(stored) == 0 && unknown == 0 {
		writes[0].Value, c.startParts = nil, 0
	}
	return writes
}

// startsCommitted records that a list of intended starts is committed.
func (c *Core) startsCommitted(batch *Batch) {
	if c.startsLimit *= 2; c.startsLimit > maxStartsPerBatch {
		c.startsLimit = 0
	}
	for _, s := range batch.starts {
		s.committed = true
	}
	c.unknownStored = batch.tellsUnknown
}

// startsRefused handles a list of intended starts that the store has refused as invalid. A
// list with half as many new ones is written next; a start that is refused alone is
// withdrawn, and others are written again later. alone is true if the batch had no other
// rows.
func (c *Core) startsRefused(batch *Batch, alone bool, why string) {
	c.startsStored = math.MaxInt // what is stored is not known any more
	c.unknownTaken = c.unknownStored
	var refused []*writtenStart
	for _, s := range batch.starts {
		if !s.committed && s.run != nil {
			s.taken = false
			refused = append(refused, s)
		}
	}
	if !alone {
		return
	}
	c.startsLimit = max(1, len(refused)/2)
	if len(refused) > 1 {
		return
	}
	c.startsHeldUntil = c.now.Add(firstRefusalDelay)
	c.log(LogRecord{Event: "row of intended starts refused", Why: why, Violation: true})
	for _, s := range refused {
		if s.run.toBeSent() {
			c.withdraw(s.run, "the store refuses the row that names it")
		}
	}
}
