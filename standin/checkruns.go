package standin

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"kumquatstall/scheduler"
)

// CheckGangs checks the runs of the steps that are gangs, and returns the
// violations: a run of a member that started after a lower run of any member was
// acknowledged as done, as one such end stands for the whole gang. A member of the
// same run may start late, as these workers do not wait for all members.
func CheckGangs(workers []*TaskWorker, isGang func(scheduler.StepName) bool, now time.Time) []string {
	runs := make(map[scheduler.StepName][]RunRecord)
	for _, w := range workers {
		seen, _ := w.Runs(now)
		for _, run := range seen {
			if isGang(run.Task.StepName) {
				runs[run.Task.StepName] = append(runs[run.Task.StepName], run)
			}
		}
	}
	var problems []string
	for _, members := range runs {
		problems = append(problems, checkGang(members)...)
	}
	slices.Sort(problems)
	return problems
}

// checkGang checks the runs of all members of one gang.
func checkGang(runs []RunRecord) []string {
	var problems []string
	for _, done := range runs {
		if done.Kind != scheduler.EndDone || !done.Acknowledged {
			continue
		}
		for _, run := range runs {
			if run.Run > done.Run && run.StartedAt.After(done.EndedAt) {
				problems = append(problems, fmt.Sprintf("%v: run %d started after run %d of its gang was acknowledged as done (%v; %v)", run.Task, run.Run, done.Run, &done, &run))
			}
		}
	}
	return problems
}

// CheckRuns checks the runs of all workers against the invariants of the cell and
// returns the violations: runs of one task that overlap, a run of a task whose
// completion had been acknowledged, and a worker whose capacity was exceeded.
func CheckRuns(workers []*TaskWorker, now time.Time) []string {
	var problems []string
	byTask := make(map[scheduler.TaskName][]RunRecord)
	for _, w := range workers {
		runs, problem := w.Runs(now)
		if problem != "" {
			problems = append(problems, problem)
		}
		for _, run := range runs {
			byTask[run.Task] = append(byTask[run.Task], run)
		}
	}
	for _, runs := range byTask {
		problems = append(problems, checkTask(runs)...)
	}
	slices.SortFunc(problems, strings.Compare)
	return problems
}

// checkTask checks each pair of runs of one task.
func checkTask(runs []RunRecord) []string {
	slices.SortFunc(runs, func(a, b RunRecord) int { return a.StartedAt.Compare(b.StartedAt) })
	var problems []string
	for i, run := range runs {
		for _, previous := range runs[:i] {
			if previous.EndedAt.IsZero() || previous.EndedAt.After(run.StartedAt) {
				problems = append(problems, fmt.Sprintf("%v: runs %d and %d overlap (%v; %v)", run.Task, previous.Run, run.Run, &previous, &run))
			}
			if previous.Kind == scheduler.EndDone && previous.Acknowledged {
				problems = append(problems, fmt.Sprintf("%v: run %d started after run %d was acknowledged as done (%v; %v)", run.Task, run.Run, previous.Run, &previous, &run))
			}
		}
	}
	return problems
}
