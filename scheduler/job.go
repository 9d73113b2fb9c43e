package scheduler

import (
	"slices"
	"strconv"
	"time"

	"kumquatstall/requester"
)

// Advice tells how long the advice service takes, and for how long its tickets
// are valid.
type Advice struct {
	// DecideMillis is the time for one question.
	DecideMillis float64
	// WorkerMillis is the time for each worker in it.
	WorkerMillis float64
	ValidMillis  int64
}

// duration is how long a question about some workers takes.
func (a *Advice) duration(workers int) time.Duration {
	return time.Duration((a.DecideMillis + float64(workers)*a.WorkerMillis) * float64(time.Millisecond))
}

// long reports whether a question about some workers is a long one.
func (a *Advice) long(workers int) bool { return a.duration(workers) > longRequestTime }

// Policy is how the jobs of a queue are treated.
type Policy struct {
	Service requester.Service
	// Priority 0 comes first.
	Priority int
	// MaxAttempts bounds the failed runs of a task.
	MaxAttempts int
	// Stretch times a job's longest chain of work, and ObjectiveMillis more,
	// is the time in which it should be done.
	Stretch         float64
	ObjectiveMillis int64
	Advice          *Advice `cbor:",omitempty"`
}

// Step is a set of tasks alike.
type Step struct {
	Count          int
	Need           requester.Resources
	EstimateMillis int64 `cbor:",omitempty"`
	// After are the numbers of earlier steps that must be done.
	After         []int  `cbor:",omitempty"`
	Checkpointing bool   `cbor:",omitempty"`
	Gang          bool   `cbor:",omitempty"`
	SameRack      bool   `cbor:",omitempty"`
	Speculative   bool   `cbor:",omitempty"`
	LongRunning   bool   `cbor:",omitempty"`
	RequiredLabel string `cbor:",omitempty"`
	DataRack      string `cbor:",omitempty"`
	// AntiAffinity bounds the tasks on one worker; 0 doesn't.
	AntiAffinity int    `cbor:",omitempty"`
	Image        string `cbor:",omitempty"`
	// TargetMillis bounds the response times of tasks that serve.
	TargetMillis int64 `cbor:",omitempty"`
	// Fills tells that the tasks take what processor time others leave.
	Fills   bool `cbor:",omitempty"`
	MayMiss int  `cbor:",omitempty"`
}

// Job is a graph of steps to run, once or repeatedly.
type Job struct {
	JobID requester.JobID
	// Queue is the name of the route by which the job came.
	Queue string
	Policy
	// Payload is handed to workers unread.
	Payload string
	Steps   []Step
	// Occurrences is how often the steps run; 0 means once, at once.
	Occurrences  int64     `cbor:",omitempty"`
	FirstDue     time.Time `cbor:",omitzero"`
	PeriodMillis int64     `cbor:",omitempty"`
	AcceptedAt   time.Time
}

// Bounds of a job.
const (
	MaxSteps       = 256
	MaxStepTasks   = 100_000
	MaxPayload     = 4000
	maxOccurrences = 1_000_000_000
)

// Validate checks the job. The error is a *requester.FieldError.
func (j *Job) Validate() error {
	if len(j.Payload) > MaxPayload {
		return &requester.FieldError{Field: "Payload", Expected: "at most " + strconv.Itoa(MaxPayload) + " bytes"}
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return &requester.FieldError{Field: "Steps", Expected: "between 1 and " + strconv.Itoa(MaxSteps) + " steps"}
	}
	if j.Occurrences < 0 || j.Occurrences > maxOccurrences {
		return &requester.FieldError{Field: "Occurrences", Expected: "a count of at least 0"}
	}
	if j.PeriodMillis < 0 {
		return &requester.FieldError{Field: "PeriodMillis", Expected: "at least 0"}
	}
	for number := range j.Steps {
		if err := j.Steps[number].validate(number); err != nil {
			return err
		}
	}
	return nil
}

func (s *Step) validate(number int) error {
	prefix := "Steps." + strconv.Itoa(number) + "."
	if s.Count < 1 || s.Count > MaxStepTasks {
		return &requester.FieldError{Field: prefix + "Count", Expected: "between 1 and " + strconv.Itoa(MaxStepTasks)}
	}
	if s.Need.MilliCores < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
		return &requester.FieldError{Field: prefix + "Need", Expected: "at least 0 of each"}
	}
	if s.EstimateMillis < 0 {
		return &requester.FieldError{Field: prefix + "EstimateMillis", Expected: "at least 0"}
	}
	if s.AntiAffinity < 0 {
		return &requester.FieldError{Field: prefix + "AntiAffinity", Expected: "at least 0"}
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= number {
			return &requester.FieldError{Field: prefix + "After", Expected: "numbers of earlier steps"}
		}
	}
	return nil
}

// room is what a task takes of a worker.
func (s *Step) room() requester.Resources {
	need := s.Need
	if s.Fills {
		need.MilliCores = 0
	}
	return need
}

// expecter tells how long a task should take.
type expecter interface {
	Expect(estimate time.Duration) time.Duration
}

// durations returns how long the tasks of each step should take.
func (j *Job) durations(by expecter) []time.Duration {
	durations := make([]time.Duration, len(j.Steps))
	for number := range j.Steps {
		durations[number] = by.Expect(time.Duration(j.Steps[number].EstimateMillis) * time.Millisecond)
	}
	return durations
}

// chains returns the longest chain of work that begins with each step.
func (j *Job) chains(durations []time.Duration) []time.Duration {
	chains := make([]time.Duration, len(j.Steps))
	for number := len(j.Steps) - 1; number >= 0; number-- {
		chains[number] += durations[number] + j.adviceTime()
		for _, earlier := range j.Steps[number].After {
			chains[earlier] = max(chains[earlier], chains[number])
		}
	}
	return chains
}

// objective is how long the job should take.
func (j *Job) objective(chains []time.Duration) time.Duration {
	return time.Duration(j.Stretch*float64(slices.Max(chains))) + time.Duration(j.ObjectiveMillis)*time.Millisecond
}

// chainAdvised is the number of workers in the question for advice that a
// job's objective allows for.
const chainAdvised = 30

func (j *Job) adviceTime() time.Duration {
	if j.Advice == nil {
		return 0
	}
	return j.Advice.duration(chainAdvised)
}

// dueAt returns when an occurrence may start.
func (j *Job) dueAt(occurrence int64) time.Time {
	if j.Occurrences == 0 {
		return j.AcceptedAt
	}
	return j.FirstDue.Add(time.Duration(occurrence*j.PeriodMillis) * time.Millisecond)
}
