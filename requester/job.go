package requester

import (
	"strconv"
	"time"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=JobShape -trimprefix=Shape
//go:generate go tool -modfile=../tools/go.mod stringer -type=JobState -trimprefix=Job

// Resources is an amount of the resources that a worker provides or a task
// requires.
type Resources struct {
	// MilliCores is processor capacity, in thousandths of a core.
	MilliCores int64 `yaml:"MilliCores"`
	// MemoryMB is memory, in binary megabytes.
	MemoryMB int64 `yaml:"MemoryMB"`
	// Accelerators is a number of whole devices.
	Accelerators int64 `json:",omitempty" cbor:",omitempty" yaml:"Accelerators"`
}

// Add returns r + s.
func (r Resources) Add(s Resources) Resources {
	return Resources{r.MilliCores + s.MilliCores, r.MemoryMB + s.MemoryMB, r.Accelerators + s.Accelerators}
}

// Sub returns r - s.
func (r Resources) Sub(s Resources) Resources {
	return Resources{r.MilliCores - s.MilliCores, r.MemoryMB - s.MemoryMB, r.Accelerators - s.Accelerators}
}

// Fits reports whether r does not exceed available in any dimension.
func (r Resources) Fits(available Resources) bool {
	return r.MilliCores <= available.MilliCores && r.MemoryMB <= available.MemoryMB && r.Accelerators <= available.Accelerators
}

// Max returns the larger of r and s in each dimension.
func (r Resources) Max(s Resources) Resources {
	return Resources{max(r.MilliCores, s.MilliCores), max(r.MemoryMB, s.MemoryMB), max(r.Accelerators, s.Accelerators)}
}

// DominantShare returns the largest share of total that r uses in any
// dimension. It lies between 0 and 1 if r fits total.
func (r Resources) DominantShare(total Resources) float64 {
	return max(ratio(r.MilliCores, total.MilliCores), ratio(r.MemoryMB, total.MemoryMB), ratio(r.Accelerators, total.Accelerators))
}

func ratio(part, whole int64) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// JobShape is whether the tasks of a job run independently, start together or
// are kept running.
type JobShape int

// The shapes of jobs.
const (
	// ShapeBatch is a set of tasks that run independently.
	ShapeBatch JobShape = iota
	// ShapeGang is a set of tasks that start together or not at all.
	ShapeGang
	// ShapeService is a set of replicas that are kept running.
	ShapeService
)

var jobShapes = []JobShape{ShapeBatch, ShapeGang, ShapeService}

// MarshalText encodes the shape as its name.
func (s JobShape) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes the name of a shape.
func (s *JobShape) UnmarshalText(text []byte) error {
	return unmarshalEnum(s, jobShapes, "Shape", text)
}

// JobState is the state of a job in its life cycle.
type JobState int

// The states of a job.
const (
	JobPending JobState = iota
	JobRunning
	JobSucceeded
	JobFailed
	JobCancelled
)

var jobStates = []JobState{JobPending, JobRunning, JobSucceeded, JobFailed, JobCancelled}

// Ended reports whether the state is final.
func (s JobState) Ended() bool { return s >= JobSucceeded }

// MarshalText encodes the state as its name.
func (s JobState) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes the name of a state.
func (s *JobState) UnmarshalText(text []byte) error {
	return unmarshalEnum(s, jobStates, "State", text)
}

// Job is a set of tasks to run on the workers of one data centre.
type Job struct {
	JobID      JobID
	Trade      Trade
	Kind       Kind
	Service    Service `json:",omitempty" cbor:",omitempty"`
	DataCentre DataCentre
	Shape      JobShape
	Urgency    Urgency
	// Tasks is the number of tasks or replicas.
	Tasks int
	// Need is the declared resource requirement of one task.
	Need Resources
	// RunMillis is the declared run time of one task, in milliseconds.
	RunMillis int64 `json:",omitempty" cbor:",omitempty"`
	// Payload is passed to the worker with each task, uninterpreted.
	Payload []byte `json:",omitempty" cbor:",omitempty"`
	// SubmittedAt is set by the entry that accepts the job.
	SubmittedAt time.Time `json:",omitzero" cbor:",omitempty"`
}

// MaxJobTasks is the maximum number of tasks of a job.
const MaxJobTasks = 4096

// Limits of the numbers of a job. Sums over all tasks do not overflow.
const (
	// MaxNeed bounds the amount of each resource that a task needs.
	MaxNeed = 1_000_000_000_000
	// MaxRunMillis is a leap year.
	MaxRunMillis = 31_622_400_000
)

// Validate checks the job. The error is a *FieldError.
func (j *Job) Validate() error {
	if err := CheckName("JobID", string(j.JobID)); err != nil {
		return err
	}
	if err := CheckName("Trade", string(j.Trade)); err != nil {
		return err
	}
	if err := CheckName("Kind", string(j.Kind)); err != nil {
		return err
	}
	if j.Shape < ShapeBatch || j.Shape > ShapeService {
		return &FieldError{Field: "Shape", Expected: "one of Batch, Gang, Service"}
	}
	if !j.Urgency.Valid() {
		return &FieldError{Field: "Urgency", Expected: "one of Low, Normal, Urgent"}
	}
	if j.Tasks < 1 || j.Tasks > MaxJobTasks {
		return &FieldError{Field: "Tasks", Expected: "a count between 1 and " + strconv.Itoa(MaxJobTasks)}
	}
	ranges := []struct {
		field              string
		value, least, most int64
	}{
		{"Need.MilliCores", j.Need.MilliCores, 1, MaxNeed},
		{"Need.MemoryMB", j.Need.MemoryMB, 1, MaxNeed},
		{"Need.Accelerators", j.Need.Accelerators, 0, MaxNeed},
		{"RunMillis", j.RunMillis, 0, MaxRunMillis},
	}
	for _, r := range ranges {
		if r.value < r.least {
			return &FieldError{Field: r.field, Expected: "at least " + strconv.FormatInt(r.least, 10)}
		}
		if r.value > r.most {
			return &FieldError{Field: r.field, Expected: "at most " + strconv.FormatInt(r.most, 10)}
		}
	}
	return nil
}

// JobStatus is a job with its state and the number of its tasks in each state,
// as it is reported to operators.
type JobStatus struct {
	Job
	State     JobState
	Reason    Reason `json:",omitempty" cbor:",omitempty"`
	Waiting   int
	Running   int
	Succeeded int
	Failed    int
}
