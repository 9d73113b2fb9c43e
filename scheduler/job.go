package scheduler

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"kumquatstall/requester"
)

// Advice describes how long a response of the advice service takes, and for how
// long its tickets are valid.
type Advice struct {
	// DecideMillis is the time for a request, without that for its workers.
	DecideMillis float64
	// WorkerMillis is the additional time for each worker in a request.
	WorkerMillis float64
	ValidMillis  int64
}

// duration returns how long a request for advice on some workers takes.
func (a *Advice) duration(workers int) time.Duration {
	return time.Duration((a.DecideMillis + float64(workers)*a.WorkerMillis) * float64(time.Millisecond))
}

// long reports whether a request for advice on some workers counts as long.
func (a *Advice) long(workers int) bool { return a.duration(workers) > longRequestTime }

// Policy is the scheduling policy of the jobs of a queue.
type Policy struct {
	Service requester.Service
	// Priority orders jobs; 0 is the highest.
	Priority int
	// MaxAttempts is the number of failed runs of a task, or of a gang, after
	// which its job fails.
	MaxAttempts int
	// A job's objective, the time in which it should be done, is Stretch times
	// its critical path plus ObjectiveMillis.
	Stretch         float64
	ObjectiveMillis int64
	Advice          *Advice `cbor:",omitempty"`
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count          int
	Need           requester.Resources
	EstimateMillis int64 `cbor:",omitempty"`
	// After are the numbers of earlier steps that must be done before this one
	// starts.
	After         []int `cbor:",omitempty"`
	Checkpointing bool  `cbor:",omitempty"`
	// Gang is true if the tasks run only together: they start with the same run
	// number, and when one of them is done, all are.
	Gang        bool `cbor:",omitempty"`
	SameRack    bool `cbor:",omitempty"`
	Speculative bool `cbor:",omitempty"`
	// LongRunning is true if the tasks run until the job is cancelled. They
	// start again however a run ends, also after a failure.
	LongRunning   bool   `cbor:",omitempty"`
	RequiredLabel string `cbor:",omitempty"`
	DataRack      string `cbor:",omitempty"`
	// AntiAffinity is the maximum number of the step's tasks on one worker; 0
	// means no limit.
	AntiAffinity int    `cbor:",omitempty"`
	Image        string `cbor:",omitempty"`
	// TargetMillis is the upper bound for the response times of tasks that
	// serve requests.
	TargetMillis int64 `cbor:",omitempty"`
	// Fills is true if the tasks are best-effort: they use the processor time
	// that other tasks leave.
	Fills   bool `cbor:",omitempty"`
	MayMiss int  `cbor:",omitempty"`
}

// Job is a directed acyclic graph of steps to run, once or repeatedly.
type Job struct {
	JobID requester.JobID
	// Queue is the name of the route by which the job was submitted.
	Queue string
	Policy
	// Payload is passed to workers uninterpreted.
	Payload string
	Steps   []Step
	// Occurrences is how often the steps run, first at FirstDue and then every
	// PeriodMillis; 0 means once, without delay.
	Occurrences  int64     `cbor:",omitempty"`
	FirstDue     time.Time `cbor:",omitzero"`
	PeriodMillis int64     `cbor:",omitempty"`
	AcceptedAt   time.Time
	// Cancelled is true if the job was cancelled before it was stored. It never runs.
	Cancelled bool `cbor:",omitempty"`
}

// Limits of a job.
const (
	MaxSteps = 256
	// MaxStepTasks bounds the tasks of all steps together.
	MaxStepTasks   = 100_000
	MaxPayload     = 4000
	maxJobIDLength = 100
	maxOccurrences = 1_000_000_000
	// MaxMillis bounds the durations of a job. It is a leap year.
	MaxMillis = 366 * 24 * int64(time.Hour/time.Millisecond)
	// MaxNeed bounds the amount of each resource that a task needs.
	MaxNeed = 1_000_000_000_000
	// MaxStretch and MaxAdviceMillis bound the policy of a queue.
	MaxStretch      = 1_000_000
	MaxAdviceMillis = 3_600_000
)

// maxSpan bounds the spans of time that are calculated from the durations of a
// job, so that they can be added and multiplied by small numbers.
const maxSpan = 20 * 366 * 24 * time.Hour

// Validate checks the job against its limits. The error is a
// *requester.FieldError.
func (j *Job) Validate() error {
	if j.JobID == "" || len(j.JobID) > maxJobIDLength || strings.ContainsAny(string(j.JobID), "@/~") {
		// Other rows have such names.
		return &requester.FieldError{Field: "JobID", Expected: "a name of at most " + strconv.Itoa(maxJobIDLength) + " bytes without '@', '/' and '~'"}
	}
	if len(j.Payload) > MaxPayload {
		return &requester.FieldError{Field: "Payload", Expected: "at most " + strconv.Itoa(MaxPayload) + " bytes"}
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return &requester.FieldError{Field: "Steps", Expected: "between 1 and " + strconv.Itoa(MaxSteps) + " steps"}
	}
	if j.Occurrences < 0 || j.Occurrences > maxOccurrences {
		return &requester.FieldError{Field: "Occurrences", Expected: "a count of at least 0 and at most " + strconv.Itoa(maxOccurrences)}
	}
	if j.PeriodMillis < 0 || j.PeriodMillis > MaxMillis {
		return &requester.FieldError{Field: "PeriodMillis", Expected: expectedMillis}
	}
	if !j.FirstDue.IsZero() && (j.FirstDue.Before(firstTime) || !j.FirstDue.Before(lastTime)) {
		return &requester.FieldError{Field: "FirstDue", Expected: "a time of the years 1970 to 9999"}
	}
	if err := j.Policy.validate(); err != nil {
		return err
	}
	tasks := 0
	for number := range j.Steps {
		if err := j.Steps[number].validate(number); err != nil {
			return err
		}
		tasks += j.Steps[number].Count
	}
	if tasks > MaxStepTasks {
		return &requester.FieldError{Field: "Steps", Expected: "at most " + strconv.Itoa(MaxStepTasks) + " tasks in all steps"}
	}
	return nil
}

var (
	firstTime = time.Unix(0, 0)
	// lastTime is the first time that the encoding of rows cannot hold.
	lastTime = time.Date(10_000, 1, 1, 0, 0, 0, 0, time.UTC)
)

var expectedMillis = "between 0 and " + strconv.FormatInt(MaxMillis, 10)

// validate checks the policy against its limits. A number that is none fails
// every comparison.
func (p *Policy) validate() error {
	switch {
	case p.MaxAttempts < 0:
		return &requester.FieldError{Field: "MaxAttempts", Expected: "at least 0"}
	case !(p.Stretch >= 0 && p.Stretch <= MaxStretch):
		return &requester.FieldError{Field: "Stretch", Expected: "between 0 and " + strconv.Itoa(MaxStretch)}
	case p.ObjectiveMillis < 0 || p.ObjectiveMillis > MaxMillis:
		return &requester.FieldError{Field: "ObjectiveMillis", Expected: expectedMillis}
	case p.Advice == nil:
		return nil
	case !(p.Advice.DecideMillis >= 0 && p.Advice.DecideMillis <= MaxAdviceMillis):
		return &requester.FieldError{Field: "Advice.DecideMillis", Expected: "between 0 and " + strconv.Itoa(MaxAdviceMillis)}
	case !(p.Advice.WorkerMillis >= 0 && p.Advice.WorkerMillis <= MaxAdviceMillis):
		return &requester.FieldError{Field: "Advice.WorkerMillis", Expected: "between 0 and " + strconv.Itoa(MaxAdviceMillis)}
	case p.Advice.ValidMillis < 0 || p.Advice.ValidMillis > MaxMillis:
		return &requester.FieldError{Field: "Advice.ValidMillis", Expected: expectedMillis}
	}
	return nil
}

func (s *Step) validate(number int) error {
	prefix := "Steps." + strconv.Itoa(number) + "."
	if s.Count < 1 || s.Count > MaxStepTasks {
		return &requester.FieldError{Field: prefix + "Count", Expected: "between 1 and " + strconv.Itoa(MaxStepTasks)}
	}
	ranges := []struct {
		field       string
		value, most int64
	}{
		{"Need.MilliCores", s.Need.MilliCores, MaxNeed},
		{"Need.MemoryMB", s.Need.MemoryMB, MaxNeed},
		{"Need.Accelerators", s.Need.Accelerators, MaxNeed},
		{"EstimateMillis", s.EstimateMillis, MaxMillis},
		{"TargetMillis", s.TargetMillis, MaxMillis},
		{"AntiAffinity", int64(s.AntiAffinity), math.MaxInt64},
		{"MayMiss", int64(s.MayMiss), math.MaxInt64},
	}
	for _, r := range ranges {
		if r.value < 0 || r.value > r.most {
			return &requester.FieldError{Field: prefix + r.field, Expected: "between 0 and " + strconv.FormatInt(r.most, 10)}
		}
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= number {
			return &requester.FieldError{Field: prefix + "After", Expected: "numbers of earlier steps"}
		}
	}
	return nil
}

// allocation returns the resources that a task occupies on a worker.
func (s *Step) allocation() requester.Resources {
	need := s.Need
	if s.Fills {
		need.MilliCores = 0
	}
	return need
}

// durationPredictor predicts the duration of a task from its estimate.
type durationPredictor interface {
	Predict(estimate time.Duration) time.Duration
}

// durations returns the predicted duration of a task of each step.
func (j *Job) durations(predictor durationPredictor) []time.Duration {
	durations := make([]time.Duration, len(j.Steps))
	for number := range j.Steps {
		durations[number] = predictor.Predict(time.Duration(j.Steps[number].EstimateMillis) * time.Millisecond)
	}
	return durations
}

// criticalPaths returns, for each step, the duration of the longest chain of
// dependent steps that begins with it, including the time for advice.
func (j *Job) criticalPaths(durations []time.Duration) []time.Duration {
	paths := make([]time.Duration, len(j.Steps))
	for number := len(j.Steps) - 1; number >= 0; number-- {
		paths[number] = min(paths[number]+durations[number]+j.adviceTime(), maxSpan)
		for _, earlier := range j.Steps[number].After {
			paths[earlier] = max(paths[earlier], paths[number])
		}
	}
	return paths
}

// objective returns the time in which the job should be done.
func (j *Job) objective(criticalPaths []time.Duration) time.Duration {
	stretched := min(j.Stretch*float64(slices.Max(criticalPaths)), float64(maxSpan))
	return time.Duration(stretched) + time.Duration(j.ObjectiveMillis)*time.Millisecond
}

// objectiveAdviceWorkers is the number of workers in the one advice request per
// step that a job's objective allows for.
const objectiveAdviceWorkers = 30

// adviceTime returns the time for advice that a job's objective allows for each
// step.
func (j *Job) adviceTime() time.Duration {
	if j.Advice == nil {
		return 0
	}
	return j.Advice.duration(objectiveAdviceWorkers)
}

// hasOccurrence reports whether the job has, or will have, an occurrence of that
// number.
func (j *Job) hasOccurrence(number int64) bool { return number >= 0 && number < max(1, j.Occurrences) }

// dueAt returns the earliest time at which an occurrence may start. Occurrences
// beyond the range of time.Duration count as due at its end.
func (j *Job) dueAt(occurrence int64) time.Time {
	if j.Occurrences == 0 {
		return j.AcceptedAt
	}
	const mostMillis = int64(math.MaxInt64 / time.Millisecond)
	if j.PeriodMillis > 0 {
		occurrence = min(occurrence, mostMillis/j.PeriodMillis)
	}
	return j.FirstDue.Add(time.Duration(occurrence*j.PeriodMillis) * time.Millisecond)
}
