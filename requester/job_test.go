package requester

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// TestJobOutOfRangeAccepted checks that the numbers of a job have an upper bound,
// and that the error names the field: the placer adds them up.
func TestJobOutOfRangeAccepted(t *testing.T) {
	good := Job{JobID: "j", Trade: "t", Kind: "k", Shape: ShapeBatch, Urgency: UrgencyNormal, Tasks: 1, Need: Resources{MilliCores: MaxNeed, MemoryMB: MaxNeed, Accelerators: MaxNeed}, RunMillis: MaxRunMillis}
	is.New(t).NoErr(good.Validate())
	tests := []struct {
		field  string
		change func(*Job)
	}{
		{"Need.MilliCores", func(j *Job) { j.Need.MilliCores = math.MaxInt64 }},
		{"Need.MilliCores", func(j *Job) { j.Need.MilliCores = 0 }},
		{"Need.MemoryMB", func(j *Job) { j.Need.MemoryMB = MaxNeed + 1 }},
		{"Need.MemoryMB", func(j *Job) { j.Need.MemoryMB = math.MinInt64 }},
		{"Need.Accelerators", func(j *Job) { j.Need.Accelerators = math.MaxInt64 }},
		{"Need.Accelerators", func(j *Job) { j.Need.Accelerators = -1 }},
		{"RunMillis", func(j *Job) { j.RunMillis = math.MaxInt64 }},
		{"RunMillis", func(j *Job) { j.RunMillis = -1 }},
		{"Tasks", func(j *Job) { j.Tasks = math.MaxInt64 }},
	}
	for _, test := range tests {
		t.Run(test.field, func(t *testing.T) {
			is := is.New(t)
			job := good
			test.change(&job)
			field := AsFieldError(job.Validate())
			is.True(field != nil)
			is.Equal(field.Field, test.field)
		})
	}
}
