package scheduler

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// checkStart checks what must hold when a worker begins a run.
func (w *world) checkStart(f *fakeWorker, order StartOrder, def *Step) {
	name := order.Task
	var used requester.Resources
	same := 0
	for key, r := range f.runs {
		used = used.Add(r.need)
		if key.name.StepName == name.StepName {
			same++
		}
	}
	if !used.Add(def.Need).Fits(f.info.Total) {
		w.problem("%v started on %s beyond its room", name, f.info.HostID)
	}
	if def.AntiAffinity > 0 && same >= def.AntiAffinity {
		w.problem("%v started on %s beside %d of its step", name, f.info.HostID, same)
	}
	for _, other := range w.workers {
		for key := range other.runs {
			if key.name == name && !other.down {
				w.problem("%v runs twice: run %d on %s, run %d on %s", name, key.number, other.info.HostID, order.Run, f.info.HostID)
			}
		}
	}
	if w.confirmed[name] {
		w.problem("%v started after its end was confirmed", name)
	}
	job := w.accepted[name.Job]
	for _, earlier := range def.After {
		for index := range job.Steps[earlier].Count {
			before := TaskName{StepName: StepName{Job: name.Job, Step: earlier}, Index: index}
			if !w.finished[before] && !job.Steps[earlier].Gang {
				w.problem("%v started before %v was done", name, before)
			}
		}
	}
}

// check checks what must hold at all times.
func (w *world) check() {
	if stats := w.core.Stats(); stats.Violations > 0 {
		for _, note := range w.core.TakeLogRecords() {
			if note.Violation {
				w.problem("core withheld a start: %+v", note)
			}
		}
	}
}

// checkEnd checks that every job has come to its end.
func (w *world) checkEnd() {
	for _, id := range w.jobIDs() {
		var row StateRow
		if err := DecodeRow(w.rows[StateKey(id)], &row); err != nil {
			w.problem("state of %s: %v", id, err)
		}
		if !row.State.Ended() {
			w.problem("job %s is %v at the end: %s", id, row.State, w.describe(id))
		}
		if row.State == StateFailed && !w.usedAttempts(id) {
			w.problem("job %s is failed, and no task has used its attempts", id)
		}
		if row.State == StateCancelled && !w.cancelled[id] {
			w.problem("job %s is cancelled, which nobody asked for", id)
		}
	}
	for _, f := range w.workers {
		if len(f.runs) > 0 {
			w.problem("%s still runs %d tasks at the end", f.info.HostID, len(f.runs))
		}
	}
}

// describe tells what the core knows of a job that hasn't ended.
func (w *world) describe(id requester.JobID) string {
	j := w.core.jobs[id]
	if j == nil {
		return "not known"
	}
	text := fmt.Sprintf("state %v, version %d, saved %d", j.state, j.version, j.committedVersion)
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			text += fmt.Sprintf("; step %d %+v open %v done %d waiting %d", s.number, *s.def, s.open, s.done, s.waiting)
			for _, t := range s.tasks {
				if t.run != nil {
					text += fmt.Sprintf(" [%d: run %d on %s phase %d]", t.index, t.run.number, t.run.worker.info.HostID, t.run.phase)
				}
			}
		}
	}
	return text
}

// usedAttempts reports whether some task of a job has failed as often as it
// may.
func (w *world) usedAttempts(id requester.JobID) bool {
	for name, runs := range w.failed {
		if name.Job == id && len(runs) >= w.accepted[id].MaxAttempts {
			return true
		}
	}
	return false
}

func seedsFrom(t *testing.T, fallback uint64, count int) []uint64 {
	t.Helper()
	first := fallback
	if text := os.Getenv("KUMQUATSTALL_SEED"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatalf("KUMQUATSTALL_SEED: %v", err)
		}
		first = number
	}
	seeds := make([]uint64, count)
	for i := range seeds {
		seeds[i] = first + uint64(i)
	}
	return seeds
}

// TestRandomisedFaults runs the core through few kinds of faults at a time.
func TestRandomisedFaults(t *testing.T) {
	kinds := []struct {
		name    string
		options worldOptions
	}{
		{"calm", worldOptions{}},
		{"lost answers", worldOptions{lost: 0.05}},
		{"late orders", worldOptions{late: 0.05}},
		{"crashes", worldOptions{crash: 3}},
		{"workers stand still", worldOptions{stand: 4, takeover: 1}},
		{"workers gone for good", worldOptions{crash: 1.5, gone: 0.8}},
		{"cuts", worldOptions{cut: 3}},
		{"takeovers", worldOptions{takeover: 4}},
		{"takeovers, cuts", worldOptions{takeover: 3, cut: 3}},
		{"takeovers, late orders", worldOptions{takeover: 3, late: 0.03}},
		{"cancels, failures", worldOptions{cancel: 0.3, failing: 0.2}},
		{"takeovers, cancels", worldOptions{takeover: 6, cancel: 0.5}},
		{"takeovers, failures", worldOptions{takeover: 8, failing: 0.3}},
		{"crashes, takeovers, failures", worldOptions{crash: 2, takeover: 2, failing: 0.05}},
	}
	for _, kind := range kinds {
		for _, seed := range seedsFrom(t, 1, 4) {
			t.Run(kind.name+"/"+strconv.FormatUint(seed, 10), func(t *testing.T) {
				options := kind.options
				options.workers, options.jobs = 9, 60
				w := newWorld(seed, options)
				w.run(6000)
				if len(w.problems) == 0 {
					w.checkEnd()
				}
				for _, problem := range w.problems {
					t.Error(problem)
				}
			})
		}
	}
}

// TestLeaseOfNewOwner: what a worker ran under an earlier owner is not counted
// as lapsed at its first answer, so its room stays taken.
func TestLeaseOfNewOwner(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, worldOptions{workers: 1})
	for i := range 5 {
		w.submit(i)
	}
	for range 30 {
		w.now = w.now.Add(10 * time.Millisecond)
		w.fire()
		w.carryOut(w.core.Tick(w.now))
		w.save()
	}
	is.True(len(w.workers[0].runs) > 0) // something runs
	w.takeOver()
	for range 30 {
		w.now = w.now.Add(10 * time.Millisecond)
		w.fire()
		w.carryOut(w.core.Tick(w.now))
	}
	is.Equal(w.core.Stats().Lapsed, int64(0))
	is.Equal(w.problems, nil)
}
