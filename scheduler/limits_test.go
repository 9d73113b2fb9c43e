package scheduler

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// extremeJob returns a valid job with the greatest values that are allowed.
func extremeJob(now time.Time) Job {
	job := Job{
		JobID: "j1", Queue: "queue", AcceptedAt: now,
		Policy: Policy{
			Service: "service", Priority: math.MaxInt32, MaxAttempts: math.MaxInt32, Stretch: MaxStretch, ObjectiveMillis: MaxMillis,
			Advice: &Advice{DecideMillis: MaxAdviceMillis, WorkerMillis: MaxAdviceMillis, ValidMillis: MaxMillis},
		},
		Occurrences: maxOccurrences, PeriodMillis: MaxMillis, FirstDue: now,
	}
	for number := range MaxSteps {
		step := Step{Count: 1, EstimateMillis: MaxMillis, Need: requester.Resources{MilliCores: MaxNeed, MemoryMB: MaxNeed, Accelerators: MaxNeed}}
		if number > 0 {
			step.After = []int{number - 1}
		}
		job.Steps = append(job.Steps, step)
	}
	return job
}

// TestExtremeJobOverflows checks that the greatest values that a job may have
// overflow neither its objective, nor its ranks, nor the times at which its
// occurrences are due.
func TestExtremeJobOverflows(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC)
	job := extremeJob(now)
	is.NoErr(job.Validate())
	core := New(Options{Epoch: 1}, now)
	core.Add(now, job)
	core.Tick(now)
	j := core.jobs["j1"]
	is.True(j.objective > 0)
	is.True(lateFactor*j.objective > j.objective)
	for number, path := range j.criticalPaths {
		is.True(path > 0)
		is.True(number == 0 || path <= j.criticalPaths[number-1])
	}
	is.Equal(len(j.occurrences), 1)
	is.Equal(j.occurrences[0].steps[0].rankAt(now).tier, 0)
	due := job.dueAt(0)
	for _, occurrence := range []int64{1, 2, 1000, 1_000_000, maxOccurrences - 1} {
		next := job.dueAt(occurrence)
		is.True(!next.Before(due)) // a later occurrence isn't due earlier
		is.True(next.After(now))
		due = next
	}
}

// TestJobOutOfRangeAccepted checks that each field of a job has a range, and that
// the error names the field.
func TestJobOutOfRangeAccepted(t *testing.T) {
	now := time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC)
	tests := []struct {
		field  string
		change func(*Job)
	}{
		{"JobID", func(j *Job) { j.JobID = "" }},
		{"JobID", func(j *Job) { j.JobID = "@owner" }},
		{"Steps", func(j *Job) { j.Steps = nil }},
		{"Steps", func(j *Job) {
			for i := range j.Steps {
				j.Steps[i].Count = MaxStepTasks
			}
		}},
		{"Occurrences", func(j *Job) { j.Occurrences = maxOccurrences + 1 }},
		{"Occurrences", func(j *Job) { j.Occurrences = math.MinInt64 }},
		{"PeriodMillis", func(j *Job) { j.PeriodMillis = MaxMillis + 1 }},
		{"PeriodMillis", func(j *Job) { j.PeriodMillis = math.MinInt64 }},
		{"FirstDue", func(j *Job) { j.FirstDue = time.UnixMilli(math.MaxInt64) }},
		{"FirstDue", func(j *Job) { j.FirstDue = time.UnixMilli(-1) }},
		{"Stretch", func(j *Job) { j.Stretch = math.NaN() }},
		{"Stretch", func(j *Job) { j.Stretch = math.Inf(1) }},
		{"Stretch", func(j *Job) { j.Stretch = -1 }},
		{"ObjectiveMillis", func(j *Job) { j.ObjectiveMillis = math.MaxInt64 }},
		{"MaxAttempts", func(j *Job) { j.MaxAttempts = -1 }},
		{"Advice.DecideMillis", func(j *Job) { j.Advice.DecideMillis = 1e300 }},
		{"Advice.WorkerMillis", func(j *Job) { j.Advice.WorkerMillis = math.NaN() }},
		{"Advice.ValidMillis", func(j *Job) { j.Advice.ValidMillis = math.MaxInt64 }},
		{"Steps.3.Count", func(j *Job) { j.Steps[3].Count = 0 }},
		{"Steps.3.Count", func(j *Job) { j.Steps[3].Count = math.MaxInt64 }},
		{"Steps.3.Need.MilliCores", func(j *Job) { j.Steps[3].Need.MilliCores = math.MaxInt64 }},
		{"Steps.3.Need.MemoryMB", func(j *Job) { j.Steps[3].Need.MemoryMB = -1 }},
		{"Steps.3.Need.Accelerators", func(j *Job) { j.Steps[3].Need.Accelerators = MaxNeed + 1 }},
		{"Steps.3.EstimateMillis", func(j *Job) { j.Steps[3].EstimateMillis = math.MaxInt64 }},
		{"Steps.3.EstimateMillis", func(j *Job) { j.Steps[3].EstimateMillis = -1 }},
		{"Steps.3.TargetMillis", func(j *Job) { j.Steps[3].TargetMillis = -1 }},
		{"Steps.3.MayMiss", func(j *Job) { j.Steps[3].MayMiss = -1 }},
		{"Steps.3.AntiAffinity", func(j *Job) { j.Steps[3].AntiAffinity = -1 }},
		{"Steps.3.After", func(j *Job) { j.Steps[3].After = []int{3} }},
	}
	for _, test := range tests {
		t.Run(test.field, func(t *testing.T) {
			is := is.New(t)
			job := extremeJob(now)
			test.change(&job)
			field := requester.AsFieldError(job.Validate())
			is.True(field != nil)
			is.Equal(field.Field, test.field)
		})
	}
}

// TestOverlappingOccurrencesFillMemory checks that a job whose occurrences are all
// due at once does not get the state of all of them at once, and that they all
// run in the end.
func TestOverlappingOccurrencesFillMemory(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC)
	core := New(Options{Epoch: 1}, now)
	job := Job{
		JobID: "j1", Queue: "queue", Policy: Policy{Service: "service"}, AcceptedAt: now, FirstDue: now,
		Occurrences: maxOccurrences, Steps: []Step{{Count: MaxStepTasks / 10}},
	}
	is.NoErr(job.Validate())
	core.Add(now, job)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		core.Tick(now)
	}
	j := core.jobs["j1"]
	tasks := 0
	for _, o := range j.occurrences {
		tasks += len(o.steps[0].tasks())
	}
	is.True(tasks <= MaxStepTasks)
	j.occurrences = j.occurrences[1:] // as if one had completed
	before := j.nextOccurrence
	core.Tick(now.Add(10 * time.Millisecond))
	is.Equal(j.nextOccurrence, before+1)
}
