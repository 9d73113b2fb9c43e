package scheduler

import (
	"iter"
	"slices"
)

// A step may have very many tasks, and most of them wait or are done at any time. So an
// owner keeps a task only if something is known of it beyond that: a run, an open start, a
// failure, a crash, a checkpoint. Of the others, it keeps a bit for each that is done. What
// an owner holds, and what a successor builds, thus grows with what is at work and not with
// what was accepted.

// pageTasks is how many tasks of a step one page covers.
const pageTasks = 64

// taskPage has the tasks of a range of indexes of which something is known.
type taskPage struct {
	tasks []*task
	known int
}

// taskTable has the tasks of a step.
type taskTable struct {
	// doneBits has a bit for each task, lowest index first, as the progress row has them;
	// nil if none is done.
	doneBits []byte
	// pages are the pages by index divided by pageTasks; nil if no task is known.
	pages []*taskPage
	// returned has the known tasks that wait, and possibly others, which waitingTasks
	// removes. Gangs don't use it.
	returned []*task
	// fresh is a lower bound of the indexes of the waiting tasks that are not known.
	fresh int
}

// taskIsDone reports whether the task with that index is done.
func (s *step) taskIsDone(index int) bool { return bitSet(s.table.doneBits, index) }

// knownTask returns the task with that index, or nil if nothing is known of it.
func (s *step) knownTask(index int) *task {
	if s.table.pages == nil {
		return nil
	}
	page := s.table.pages[index/pageTasks]
	if page == nil {
		return nil
	}
	return page.tasks[index%pageTasks]
}

// task returns the task with that index. From then on it is known, unless it is done.
func (s *step) task(index int) *task {
	if t := s.knownTask(index); t != nil {
		return t
	}
	t := &task{step: s, index: index}
	if s.taskIsDone(index) {
		t.done = true
		return t
	}
	if s.unknownLife > 0 {
		t.crashes = &crashHistory{crashes: []crash{{Run: s.unknownLife, ChancePPM: certainPPM}}}
	}
	if s.table.pages == nil {
		s.table.pages = make([]*taskPage, (s.def.Count+pageTasks-1)/pageTasks)
	}
	page := s.table.pages[index/pageTasks]
	if page == nil {
		first := index - index%pageTasks
		page = &taskPage{tasks: make([]*task, min(pageTasks, s.def.Count-first))}
		s.table.pages[index/pageTasks] = page
	}
	page.tasks[index%pageTasks] = t
	page.known++
	s.addReturned(t)
	return t
}

// taskAt returns the task with that index, or nil if the step has none.
func (s *step) taskAt(index int) *task {
	if index < 0 || index >= s.def.Count {
		return nil
	}
	return s.task(index)
}

// knownTasks yields the known tasks in the order of their indexes.
func (s *step) knownTasks() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for _, page := range s.table.pages {
			if page == nil {
				continue
			}
			for _, t := range page.tasks {
				if t != nil && !yield(t) {
					return
				}
			}
		}
	}
}

// runsOf yields the known tasks of a gang whose present run has that number.
func (s *step) runsOf(number RunNumber) iter.Seq[*run] {
	return func(yield func(*run) bool) {
		for t := range s.knownTasks() {
			if t.run != nil && t.run.number == number && !yield(t.run) {
				return
			}
		}
	}
}

// setDone records that a task is done.
func (s *step) setDone(index int) {
	if s.table.doneBits == nil {
		s.table.doneBits = make([]byte, (s.def.Count+7)/8)
	}
	s.table.doneBits[index/8] |= 1 << (index % 8)
	s.done++
	if t := s.knownTask(index); t != nil {
		t.done = true
		s.forget(t)
	}
}

// forget drops a task that is done, once nothing of it goes on.
func (s *step) forget(t *task) {
	if !t.done || t.run != nil || t.open != nil || s.knownTask(t.index) != t {
		return
	}
	page := s.table.pages[t.index/pageTasks]
	page.tasks[t.index%pageTasks] = nil
	if page.known--; page.known == 0 {
		s.table.pages[t.index/pageTasks] = nil
	}
}

// waits reports whether the task waits for a worker.
func (t *task) waits() bool { return !t.done && t.run == nil }

// addReturned adds a known task that waits to those that waitingTasks yields.
func (s *step) addReturned(t *task) {
	if !s.def.Gang && !t.queued {
		t.queued = true
		s.table.returned = append(s.table.returned, t)
	}
}

// waitingTasks yields the waiting tasks of a step that is no gang, in the order of their
// indexes. Those that were not known are from then on.
func (s *step) waitingTasks() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		defer s.compactReturned()
		s.compactReturned()
		returned := s.table.returned
		for {
			index := s.nextFresh()
			switch {
			case len(returned) > 0 && (index < 0 || returned[0].index < index):
				t := returned[0]
				returned = returned[1:]
				if !yield(t) {
					return
				}
			case index < 0:
				return
			default:
				if !yield(s.task(index)) {
					return
				}
			}
		}
	}
}

// nextFresh returns the lowest index of a waiting task that is not known, or -1.
func (s *step) nextFresh() int {
	for ; s.table.fresh < s.def.Count; s.table.fresh++ {
		if !s.taskIsDone(s.table.fresh) && s.knownTask(s.table.fresh) == nil {
			return s.table.fresh
		}
	}
	return -1
}

// compactReturned removes from the returned tasks those that don't wait, and sorts the
// others.
func (s *step) compactReturned() {
	s.table.returned = slices.DeleteFunc(s.table.returned, func(t *task) bool {
		t.queued = t.waits()
		return !t.queued
	})
	byIndex := func(a, b *task) int { return a.index - b.index }
	if !slices.IsSortedFunc(s.table.returned, byIndex) {
		slices.SortFunc(s.table.returned, byIndex)
	}
}
