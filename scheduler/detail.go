package scheduler

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"kumquatstall/requester"
)

// The store bounds the size of a row, and what is noted of the tasks of a job has no
// bound that fits: failed runs, checkpoints, crashes and noted starts grow with the
// number of tasks and with what befalls them. So only what has a fixed size, such as a
// bit for each task, is always in the job's progress row. The details of the tasks are
// there as long as they fit, and otherwise in further rows, each for a range of tasks.
// A range is cut in half when it grows too large for its row, and its row is removed
// once it has no details any more.
//
// The rows of a job may take several transactions. New rows are written first, then the
// progress row, then the other changes, and removals last. An owner that is lost in
// between leaves details twice, and its successor takes those in the row of the later
// range. So none is ever missing.

// taskPosition orders the tasks of a job.
type taskPosition struct {
	occurrence  int64
	step, index int
}

func (p taskPosition) compare(other taskPosition) int {
	return cmp.Or(cmp.Compare(p.occurrence, other.occurrence), cmp.Compare(p.step, other.step), cmp.Compare(p.index, other.index))
}

func (t *task) position() taskPosition {
	return taskPosition{t.step.occurrence.number, t.step.number, t.index}
}

// detailSeparator separates a job's ID in the key of its progress row from the first
// task of a detail row. No job ID contains it.
const detailSeparator = "~"

func detailKey(id requester.JobID, first taskPosition) string {
	return fmt.Sprintf("%s%s%d.%d.%d", ProgressKey(id), detailSeparator, first.occurrence, first.step, first.index)
}

// parseDetailKey returns the first task of the detail row with that key.
func parseDetailKey(key string) (taskPosition, bool) {
	var first taskPosition
	_, text, ok := strings.Cut(key, detailSeparator)
	if !ok {
		return first, false
	}
	n, err := fmt.Sscanf(text, "%d.%d.%d", &first.occurrence, &first.step, &first.index)
	return first, err == nil && n == 3
}

// ProgressJob returns the job whose progress or details the row with that key holds.
func ProgressJob(key string) requester.JobID {
	id, _, _ := strings.Cut(strings.TrimPrefix(key, ProgressPrefix), detailSeparator)
	return requester.JobID(id)
}

// IsDetailKey reports whether the key is that of a row with details of a job's tasks.
func IsDetailKey(key string) bool {
	return strings.HasPrefix(key, ProgressPrefix) && !strings.HasPrefix(key, ProgressPrefix+"@") && strings.Contains(key, detailSeparator)
}

// detailRow is what is noted of the tasks of a range, by step.
type detailRow struct {
	_     struct{} `cbor:",toarray"`
	Steps []stepDetails
}

// stepDetails is what is noted of some tasks of a step. Of the Progress, only the maps
// by task are set.
type stepDetails struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int64
	Step       int
	Progress   stepProgress
}

// Bounds of the encoded sizes of what the rows of a job hold, in bytes.
const (
	rowHeaderBytes        = 64
	occurrenceHeaderBytes = 16
	stepHeaderBytes       = 18
	stepDetailsBytes      = 48
	mapEntryBytes         = 9
	runNumberBytes        = 9
	crashBytes            = 33
	notedStartBytes       = 110
	openStartBytes        = 50
)

// fixedBytes returns the most bytes of an occurrence that are always in the job's
// progress row.
func (j *Job) fixedBytes() int {
	size := occurrenceHeaderBytes
	for i := range j.Steps {
		size += stepHeaderBytes + (j.Steps[i].Count+7)/8
	}
	return size
}

// detailBytes returns the most bytes that the details of the task take; 0 if there are
// none.
func (t *task) detailBytes() int {
	if t.done {
		return 0
	}
	size := 0
	if failed := t.storedFailures(); len(failed) > 0 {
		size += mapEntryBytes + runNumberBytes*len(failed)
	}
	if checkpoint := t.storedCheckpoint(); checkpoint != "" {
		size += mapEntryBytes + len(checkpoint)
	}
	if crashes := t.storedCrashes(); len(crashes) > 0 {
		size += mapEntryBytes
		for _, crash := range crashes {
			size += crashBytes + len(crash.Worker)
		}
	}
	if t.noted != nil {
		size += mapEntryBytes + notedStartBytes + len(t.noted.Worker)
	}
	if t.open != nil && t.storesOpenStart() {
		size += mapEntryBytes + openStartBytes + len(t.open.Worker)
	}
	return size
}

// storedFailures returns the failed runs that are stored with the task. Those of a gang
// are stored with its first one.
func (t *task) storedFailures() []RunNumber {
	switch {
	case !t.step.def.Gang:
		return t.failedRuns
	case t.index == 0:
		return t.step.failedRuns
	}
	return nil
}

// storedCheckpoint returns the checkpoint that is stored with the task. That of a gang
// is stored with its first one.
func (t *task) storedCheckpoint() string {
	switch {
	case !t.step.def.Gang:
		return t.checkpoint
	case t.index == 0:
		return t.step.checkpoint
	}
	return ""
}

// addDetails adds the details of a task.
func (p *stepProgress) addDetails(t *task) {
	if failed := t.storedFailures(); len(failed) > 0 {
		if p.FailedRuns == nil {
			p.FailedRuns = make(map[int][]RunNumber)
		}
		p.FailedRuns[t.index] = failed
	}
	p.addCrashes(t.index, t)
	if t.open != nil && t.storesOpenStart() {
		if p.Open == nil {
			p.Open = make(map[int]openStart)
		}
		p.Open[t.index] = *t.open
	}
	if checkpoint := t.storedCheckpoint(); checkpoint != "" {
		if p.Checkpoints == nil {
			p.Checkpoints = make(map[int]string)
		}
		p.Checkpoints[t.index] = checkpoint
	}
}

// sizedTask is a task with details, and the most bytes that they take.
type sizedTask struct {
	task *task
	size int
}

// detailedTasks returns the tasks with details in the order of their positions, with
// their sizes.
func (j *job) detailedTasks() []sizedTask {
	var found []sizedTask
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			if s.complete() {
				continue
			}
			if len(s.failedRuns) > 0 || s.checkpoint != "" {
				s.task(0) // what is noted of the whole gang is stored with it
			}
			for t := range s.knownTasks() {
				if size := t.detailBytes(); size > 0 {
					found = append(found, sizedTask{t, size})
				}
			}
		}
	}
	return found
}

// detailRange is the tasks with details whose details one row holds. The first range is
// that of the progress row.
type detailRange struct {
	first taskPosition
	tasks []sizedTask
}

// bytes returns the most bytes that the details of the range take.
func (r *detailRange) bytes() int {
	size := 0
	var last *step
	for _, sized := range r.tasks {
		if sized.task.step != last {
			last = sized.task.step
			size += stepDetailsBytes
		}
		size += sized.size
	}
	return size
}

// split returns the range, cut in half as often as it takes until each part takes at
// most limit bytes or has one task.
func (r detailRange) split(limit int) []detailRange {
	total := r.bytes()
	if total <= limit || len(r.tasks) < 2 {
		return []detailRange{r}
	}
	half, size := 1, r.tasks[0].size
	for half < len(r.tasks)-1 && size < total/2 {
		size += r.tasks[half].size
		half++
	}
	lower := detailRange{r.first, r.tasks[:half]}
	upper := detailRange{r.tasks[half].task.position(), r.tasks[half:]}
	return append(lower.split(limit), upper.split(limit)...)
}

// detailRanges divides the tasks with details into ranges whose details fit into one row
// each, where possible at the same positions as before.
func (j *job) detailRanges(rowLimit int) []detailRange {
	ranges := []detailRange{{}}
	cuts := j.cuts
	for _, sized := range j.detailedTasks() {
		for len(cuts) > 0 && cuts[0].compare(sized.task.position()) <= 0 {
			ranges = append(ranges, detailRange{first: cuts[0]})
			cuts = cuts[1:]
		}
		last := &ranges[len(ranges)-1]
		last.tasks = append(last.tasks, sized)
	}
	fixed := rowHeaderBytes + len(j.occurrences)*j.spec.fixedBytes()
	divided := ranges[0].split(max(rowLimit-fixed, 0))
	for _, r := range ranges[1:] {
		if len(r.tasks) > 0 {
			divided = append(divided, r.split(rowLimit-rowHeaderBytes)...)
		}
	}
	j.cuts = nil
	for _, r := range divided[1:] {
		j.cuts = append(j.cuts, r.first)
	}
	return divided
}

// row returns the detail row of the range.
func (r *detailRange) row() detailRow {
	var row detailRow
	var last *step
	for _, sized := range r.tasks {
		if s := sized.task.step; s != last {
			last = s
			row.Steps = append(row.Steps, stepDetails{Occurrence: s.occurrence.number, Step: s.number})
		}
		row.Steps[len(row.Steps)-1].Progress.addDetails(sized.task)
	}
	return row
}

// restoreDetails applies a detail row that a previous owner committed.
func (j *job) restoreDetails(row *detailRow) {
	for i := range row.Steps {
		stored := &row.Steps[i]
		at := slices.IndexFunc(j.occurrences, func(o *occurrence) bool { return o.number == stored.Occurrence })
		if at < 0 || stored.Step < 0 || stored.Step >= len(j.occurrences[at].steps) {
			continue
		}
		j.occurrences[at].steps[stored.Step].restoreDetails(&stored.Progress)
	}
}

// restoreDetails applies stored details of the tasks of a step. They take the place of
// those that were applied before, but for failed runs: each of them counts.
func (s *step) restoreDetails(stored *stepProgress) {
	for index, failed := range stored.FailedRuns {
		if s.def.Gang && index == 0 {
			s.failedRuns = union(s.failedRuns, failed)
		} else if t := s.taskAt(index); t != nil && !s.def.Gang {
			t.failedRuns = union(t.failedRuns, failed)
		}
	}
	for index, crashes := range stored.Crashes {
		if t := s.taskAt(index); t != nil && len(crashes) > 0 {
			t.crashes = &crashHistory{crashes: crashes}
			_, t.startedRuns, _ = t.crashes.count()
		}
	}
	for index, noted := range stored.Noted {
		if t := s.taskAt(index); t != nil {
			t.noted = &noted
		}
	}
	for index, open := range stored.Open {
		if t := s.taskAt(index); t != nil {
			t.open = &open
		}
	}
	for index, checkpoint := range stored.Checkpoints {
		if t := s.taskAt(index); t != nil && checkpoint != "" {
			t.setCheckpoint(checkpoint)
		}
	}
}

// union returns the run numbers of both lists, without duplicates.
func union(a, b []RunNumber) []RunNumber {
	for _, number := range b {
		if !slices.Contains(a, number) {
			a = append(a, number)
		}
	}
	return a
}
