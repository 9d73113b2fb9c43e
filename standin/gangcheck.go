package standin

import (
	"fmt"
	"slices"
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
