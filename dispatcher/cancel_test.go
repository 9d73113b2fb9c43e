package dispatcher_test

import (
	"context"
	"fmt"
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

// cancel cancels a job at an entry.
func (s *site) cancel(entry int, id requester.JobID) dispatcher.Outcome {
	return s.entries[entry].Cancel(context.Background(), id)
}

// runsOf returns how many runs of a job there have been.
func (s *site) runsOf(id requester.JobID) int {
	runs := 0
	for _, w := range s.cell.Workers() {
		history, _ := w.Runs(time.Now())
		for _, run := range history {
			if run.Task.Job == id {
				runs++
			}
		}
	}
	return runs
}

// submitLate submits a job whose row the store writes only after the given time, and gets
// no response.
func (s *site) submitLate(entry int, late time.Duration) requester.JobID {
	s.t.Helper()
	job := s.job(20_000)
	s.cell.SetFaults(standin.CellFaults{LateWrites: scheduler.JobKey(job.JobID), LateBy: late})
	outcome := s.entries[entry].Submit(context.Background(), job)
	s.cell.SetFaults(standin.CellFaults{})
	if outcome != dispatcher.OutcomeUnknown {
		s.t.Fatalf("the outcome is %v, want Unknown", outcome)
	}
	return job.JobID
}

// TestCancelledBeforeItIsStored guards against a cancellation that is answered as there is
// no such job, while a write that stores it is under way: the job would run all the same.
func TestCancelledBeforeItIsStored(t *testing.T) {
	const late = 6 * time.Second
	tests := []struct {
		name string
		// cancel cancels the job, and returns the outcomes.
		cancel func(s *site, id requester.JobID) []dispatcher.Outcome
		// found is true if the job is stored when it is cancelled.
		found bool
	}{
		{"at the same entry", func(s *site, id requester.JobID) []dispatcher.Outcome {
			return []dispatcher.Outcome{s.cancel(0, id)}
		}, false},
		{"at another entry", func(s *site, id requester.JobID) []dispatcher.Outcome {
			return []dispatcher.Outcome{s.cancel(1, id)}
		}, false},
		{"twice, at several entries", func(s *site, id requester.JobID) []dispatcher.Outcome {
			return []dispatcher.Outcome{s.cancel(1, id), s.cancel(2, id), s.cancel(0, id), s.cancel(1, id)}
		}, false},
		{"by two entries at once", func(s *site, id requester.JobID) []dispatcher.Outcome {
			outcomes := make(chan dispatcher.Outcome, 2)
			for entry := range 2 {
				go func() { outcomes <- s.cancel(entry, id) }()
			}
			return []dispatcher.Outcome{<-outcomes, <-outcomes}
		}, false},
		{"before the owner is lost", func(s *site, id requester.JobID) []dispatcher.Outcome {
			defer s.takeOver()
			return []dispatcher.Outcome{s.cancel(1, id)}
		}, false},
		{"after the owner was lost", func(s *site, id requester.JobID) []dispatcher.Outcome {
			owner := s.owner()
			s.entries[owner].Close()
			s.start(owner)
			time.Sleep(3 * time.Second)
			return []dispatcher.Outcome{s.cancel(1, id)}
		}, false},
		{"by an entry whose response is lost", func(s *site, id requester.JobID) []dispatcher.Outcome {
			s.cell.SetFaults(standin.CellFaults{WriteResponseLoss: 1})
			s.cancel(1, id)
			s.cell.SetFaults(standin.CellFaults{})
			return []dispatcher.Outcome{s.cancel(1, id)}
		}, false},
		{"after the late write", func(s *site, id requester.JobID) []dispatcher.Outcome {
			time.Sleep(late)
			return []dispatcher.Outcome{s.cancel(1, id)}
		}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, 3)
				defer s.close()
				id := s.submitLate(0, late)
				for _, outcome := range test.cancel(s, id) {
					is.Equal(outcome == dispatcher.OutcomeNotFound, !test.found)
					is.Equal(outcome == dispatcher.OutcomeDone, test.found)
				}
				time.Sleep(2 * late)
				if !test.found {
					is.Equal(s.runsOf(id), 0)
				}
				s.checkStopped()
				for _, d := range s.entries {
					row, outcome := d.State(context.Background(), id)
					is.Equal(outcome == dispatcher.OutcomeNotFound, !test.found)
					is.True(outcome == dispatcher.OutcomeNotFound || row.State == scheduler.StateCancelled)
				}
				time.Sleep(3 * time.Minute)
				is.Equal(len(s.cell.Keys(scheduler.JobTable)), 0) // what was stored for it is removed
			})
		})
	}
}

// TestSubmittedAfterItsCancellation checks what becomes of a job that arrives after it was
// cancelled, first or again: it is accepted, shown as cancelled, and never runs, whoever
// owns the cell.
func TestSubmittedAfterItsCancellation(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		t.Run(fmt.Sprint(takeOver), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, 3)
				defer s.close()
				job := s.job(300)
				is.Equal(s.cancel(1, job.JobID), dispatcher.OutcomeNotFound)
				_, outcome := s.entries[0].State(context.Background(), job.JobID)
				is.Equal(outcome, dispatcher.OutcomeNotFound) // nobody has submitted it
				if takeOver {
					s.takeOver()
				}
				for i := range 3 {
					is.Equal(s.entries[i].Submit(context.Background(), job), dispatcher.OutcomeDone)
				}
				if takeOver {
					s.takeOver()
				}
				time.Sleep(2 * time.Second)
				for i := range 3 {
					row, outcome := s.entries[i].State(context.Background(), job.JobID)
					is.Equal(outcome, dispatcher.OutcomeDone)
					is.Equal(row.State, scheduler.StateCancelled)
					is.Equal(s.cancel(i, job.JobID), dispatcher.OutcomeDone)
					is.Equal(s.entries[i].Submit(context.Background(), job), dispatcher.OutcomeDone)
				}
				is.Equal(s.runsOf(job.JobID), 0)
				time.Sleep(90 * time.Second)
				row, _ := s.entries[2].State(context.Background(), job.JobID)
				is.Equal(row.State, scheduler.StateCancelled)
				is.Equal(len(s.cell.Keys(scheduler.JobTable)), 0)
			})
		})
	}
}

// TestCancellationsOfNoJobs checks that cancellations of made-up IDs leave a limited number
// of rows, for a limited time, and don't affect those of jobs.
func TestCancellationsOfNoJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 2)
		defer s.close()
		is.Equal(s.submit(0, 60_000), dispatcher.OutcomeDone)
		denied := 0
		for i := range 1500 {
			switch outcome := s.cancel(0, requester.JobID(fmt.Sprintf("%016x", 1<<40+i%1000))); outcome {
			case dispatcher.OutcomeNotFound:
			case dispatcher.OutcomeUnavailable:
				denied++
			default:
				t.Fatalf("cancellation %d: %v", i, outcome)
			}
		}
		is.True(denied > 300)
		rows := len(s.cell.Keys(scheduler.JobTable))
		is.True(rows > 100 && rows < 1000)
		is.Equal(s.cancel(0, s.jobs[0]), dispatcher.OutcomeDone)
		is.True(strings.Contains(s.entries[0].Metrics(), `"TombstonesDenied":`+fmt.Sprint(denied)))
		s.takeOver()
		time.Sleep(3 * time.Minute)
		is.Equal(len(s.cell.Keys(scheduler.JobTable)), 0)
		is.Equal(s.cancel(0, "00000000000000ff"), dispatcher.OutcomeNotFound) // there is room again
	})
}

// TestLateCancellation guards against the row of a cancellation that the store writes after
// the job's rows are removed, and that stays for good.
func TestLateCancellation(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		t.Run(fmt.Sprint(takeOver), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, 2)
				defer s.close()
				is.Equal(s.submit(0, 300), dispatcher.OutcomeDone)
				id := s.jobs[0]
				s.cell.SetFaults(standin.CellFaults{LateWrites: scheduler.CancelKey(id), LateBy: 40 * time.Second})
				is.Equal(s.cancel(1, id), dispatcher.OutcomeUnknown)
				s.cell.SetFaults(standin.CellFaults{})
				time.Sleep(30 * time.Second)
				s.checkCompleted()
				is.Equal(len(s.cell.Keys(scheduler.JobTable)), 0)
				time.Sleep(15 * time.Second)
				is.Equal(len(s.cell.Keys(scheduler.JobTable)), 1)
				if takeOver {
					s.takeOver()
				}
				time.Sleep(90 * time.Second)
				is.Equal(len(s.cell.Keys(scheduler.JobTable)), 0)
			})
		})
	}
}

// TestRefusedWhileAnEarlierRequestIsInDoubt guards against a refusal, which says that the
// job never runs, while an earlier request of the same job may still store it.
func TestRefusedWhileAnEarlierRequestIsInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 1)
		defer s.close()
		job := s.job(300)
		id := s.submitLate(0, 9*time.Second)
		is.Equal(id, job.JobID)
		s.cell.SetFaults(standin.CellFaults{StoreDown: true})
		time.Sleep(4 * time.Second)
		is.Equal(s.entries[0].Submit(context.Background(), job), dispatcher.OutcomeUnknown)
		other := s.job(300)
		other.JobID = "00000000000000ee"
		is.Equal(s.entries[0].Submit(context.Background(), other), dispatcher.OutcomeUnavailable)
		s.cell.SetFaults(standin.CellFaults{})
		time.Sleep(60 * time.Second)
		s.jobs = append(s.jobs, id)
		s.checkCompleted()
	})
}
