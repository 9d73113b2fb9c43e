package dispatcher_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"kumquatstall/dispatcher"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
	"kumquatstall/standin"
)

// TestRefusedRowSparesTheCell guards against an owner that sends a commit for ever that
// the store refuses as invalid, so that it and each of its successors schedule nothing
// any more.
func TestRefusedRowSparesTheCell(t *testing.T) {
	for _, refused := range []string{"progress/cell/0000000000000001", "states/cell/0000000000000001"} {
		t.Run(strings.Split(refused, "/")[0], func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, 3)
				defer s.close()
				s.cell.SetFaults(standin.CellFaults{RefusedWrites: refused})
				for i := range 9 {
					is.Equal(s.submit(i%3, 300), dispatcher.OutcomeDone)
				}
				time.Sleep(3 * time.Second)
				s.takeOver()
				for i := range 9 {
					is.Equal(s.submit(i%3, 300), dispatcher.OutcomeDone)
				}
				time.Sleep(8 * time.Second)
				id := s.jobs[0]
				s.jobs = s.jobs[1:]
				s.checkCompleted() // all but that job
				row, _ := s.entries[0].State(context.Background(), id)
				is.True(!row.State.Ended())
				is.True(strings.Contains(s.entries[s.owner()].Metrics(), `"JobsHeldBack"`))

				s.cell.SetFaults(standin.CellFaults{})
				time.Sleep(2 * time.Minute)
				s.jobs = []requester.JobID{id}
				s.checkCompleted() // once the store takes its rows
			})
		})
	}
}

// TestWideJobAndLostOwners guards against a job of so many tasks that its rows, after a
// change of the owner or two, are larger than the store takes.
func TestWideJobAndLostOwners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 3)
		defer s.close()
		need := requester.Resources{MilliCores: 1000, MemoryMB: 100}
		wide := scheduler.Job{
			JobID: "00000000000000aa", Queue: "queue", Policy: scheduler.Policy{Service: "service", MaxAttempts: 3, Stretch: 2},
			Payload: standin.RunSpec{Millis: 1000}.Payload(need), Steps: []scheduler.Step{{Count: 6000, Need: need, EstimateMillis: 1000, AntiAffinity: 4}},
		}
		is.Equal(s.entries[0].Submit(context.Background(), wide), dispatcher.OutcomeDone)
		for range 2 {
			time.Sleep(3 * time.Second)
			is.Equal(s.submit(0, 300), dispatcher.OutcomeDone)
			s.takeOver()
			is.Equal(s.submit(0, 300), dispatcher.OutcomeDone)
		}
		time.Sleep(10 * time.Second)
		s.checkCompleted() // the small jobs beside it
		row, outcome := s.entries[1].State(context.Background(), wide.JobID)
		is.Equal(outcome, dispatcher.OutcomeDone)
		is.Equal(row.State, scheduler.StateRunning)
		for _, d := range s.entries {
			is.True(strings.Contains(d.Metrics(), `"CommitsRefused":0`)) // no row was too large
		}
	})
}

// TestJobBeyondARow guards against a job that the store can't hold and that is neither
// accepted nor refused, but tried until its caller gives up, while others of its partition
// wait for it.
func TestJobBeyondARow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 1)
		defer s.close()
		large := s.job(300)
		label := make([]byte, 90_000)
		for i := range label {
			label[i] = byte(33 + (i*i*7919+i)%89)
		}
		for number := range large.Steps {
			large.Steps[number].RequiredLabel = string(label)
		}
		s.cell.SetFaults(standin.CellFaults{RefusedWrites: string(large.JobID)})
		before := time.Now()
		is.Equal(s.entries[0].Submit(context.Background(), large), dispatcher.OutcomeInvalid)
		is.True(time.Since(before) < 100*time.Millisecond)
	})
}
