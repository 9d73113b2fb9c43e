package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEagerStartsOfAnExcludedJob guards against an owner that cannot decode a
// job's rows, and so cannot store which of its steps an eager predecessor may
// have started, whose own successor can decode them and takes the starts for
// recorded.
func TestEagerStartsOfAnExcludedJob(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	is.True(h.takeOver(eagerPredecessor, JobRows{Job: jobOf("j", stepOf(1, 1000)), Progress: []byte{0xff}}) != nil)
	h.now = h.now.Add(time.Minute)
	h.core.StoreReached(h.now, 10)
	h.core.JobsKnown(10)
	h.commit()
	is.True(!h.core.Dirty())
	is.True(h.core.StartsMayBeUnknown()) // so the owner's row must stay eager
}
