package scheduler

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// crashHistory is the record of the crashes under a task. The members of a gang
// have a record each: a member that crashes its workers does so in every run,
// while others crash workers of different members.
type crashHistory struct {
	crashes []crash
	// version is the first version of the job's rows with the last crash.
	version int64
	// heldUntil is the earliest time of the next start of a long-running task.
	heldUntil time.Time
}

// describe names the workers and runs of the crashes.
func (h *crashHistory) describe() string {
	var parts []string
	for _, crash := range h.crashes {
		worker := string(crash.Worker)
		if worker == "" {
			worker = "an unknown worker"
		}
		parts = append(parts, fmt.Sprintf("run %d on %s within %v", crash.Run, worker, crash.age()))
	}
	return strings.Join(parts, ", ")
}

// maxLives bounds the lives in the record of a task.
const maxLives = 16

// limit removes a life if there are too many: the oldest that says nothing about the
// task, or else the oldest.
func (h *crashHistory) limit() {
	if len(h.crashes) <= maxLives {
		return
	}
	oldest := max(0, slices.IndexFunc(h.crashes, func(crash crash) bool { return crash.ChancePPM >= certainPPM }))
	h.crashes = slices.Delete(h.crashes, oldest, oldest+1)
}

// empty reports whether no life is recorded.
func (h *crashHistory) empty() bool { return h == nil || len(h.crashes) == 0 }

// unknownAlone reports whether all that is recorded is a life of unknown outcome.
func (h *crashHistory) unknownAlone() bool {
	return h != nil && len(h.crashes) == 1 && h.crashes[0].Worker == ""
}

// committed reports whether the record is in the store.
func (h *crashHistory) committed(j *job) bool { return h == nil || h.version <= j.committedVersion }

// clearOutlasted removes the crashes that a run of the task has outlasted.
func (h *crashHistory) clearOutlasted(lasted time.Duration) {
	if h != nil {
		h.crashes = slices.DeleteFunc(h.crashes, func(crash crash) bool { return lasted >= crash.clearedAfter() })
	}
}

// count returns the number of recorded lives, of those that surely were runs of the
// task, and of the runs that had just started when the worker crashed.
func (h *crashHistory) count() (lives, known, early int) {
	if h == nil {
		return 0, 0, 0
	}
	for _, crash := range h.crashes {
		if crash.Worker == "" || crash.Unproven {
			continue
		}
		known++
		if crash.age() <= suspectAge {
			early++
		}
	}
	return len(h.crashes), known, early
}
