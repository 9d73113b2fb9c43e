package dispatcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"kumquatstall/dispatcher"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
	"kumquatstall/standin"
)

// TestThousandsOfEndsAndALostOwner guards against tasks that run again after they were
// done: they end while the cell has no owner, and each worker has more ends than a report
// lists. The next owner is lost as well, while it reads them.
func TestThousandsOfEndsAndALostOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 3)
		defer s.close()
		need := requester.Resources{MilliCores: 5, MemoryMB: 1}
		job := scheduler.Job{
			JobID: "00000000000000aa", Queue: "queue", Policy: scheduler.Policy{Service: "service", MaxAttempts: 3, Stretch: 2},
			Payload: standin.RunSpec{Millis: 3000}.Payload(need), Steps: []scheduler.Step{{Count: 6000, Need: need, EstimateMillis: 3000}},
		}
		is.Equal(s.entries[0].Submit(context.Background(), job), dispatcher.OutcomeDone)
		time.Sleep(2800 * time.Millisecond)
		for range 2 {
			owner := s.owner()
			s.entries[owner].Close()
			time.Sleep(1500 * time.Millisecond)
			s.start(owner)
		}
		time.Sleep(8 * time.Second)
		s.jobs = append(s.jobs, job.JobID)
		s.checkCompleted()
		runs := 0
		for _, w := range s.cell.Workers() {
			history, _ := w.Runs(time.Now())
			runs += len(history)
		}
		is.Equal(runs, 6000)
	})
}
