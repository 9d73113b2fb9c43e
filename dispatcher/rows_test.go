package dispatcher_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"kumquatstall/dispatcher"
	"kumquatstall/keeper"
	"kumquatstall/scheduler"
	"kumquatstall/standin"
)

// spoil overwrites rows with bytes that cannot be decoded.
func (s *site) spoil(keys ...string) {
	s.t.Helper()
	var transaction keeper.Transaction
	for _, key := range keys {
		transaction.Writes = append(transaction.Writes, keeper.Write{Key: key, Value: []byte{0xff}})
	}
	if _, err := s.cell.PlatformFor("another writer").Transact(context.Background(), transaction); err != nil {
		s.t.Fatal(err)
	}
}

// replaceOwner closes the entry that owns the cell, calls between, and starts
// the entry again.
func (s *site) replaceOwner(between func()) {
	s.entries[0].Close()
	between()
	s.start(0)
}

// TestRowsThatCannotBeDecoded guards against the removal of a job's progress
// because its row, or the progress itself, cannot be decoded: a later owner that
// can decode the rest would start the job from nothing.
func TestRowsThatCannotBeDecoded(t *testing.T) {
	for _, part := range []string{"job", "progress"} {
		t.Run(part, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, 1)
				defer s.close()
				is.Equal(s.submit(0, 2000), dispatcher.OutcomeDone)
				time.Sleep(3500 * time.Millisecond) // the first step is done, the second one runs
				job, progress := scheduler.JobKey(s.jobs[0]), scheduler.ProgressKey(s.jobs[0])
				jobRow, progressRow := s.cell.Row(job), s.cell.Row(progress)
				is.True(jobRow != nil && progressRow != nil)
				s.replaceOwner(func() { s.spoil(map[string]string{"job": job, "progress": progress}[part]) })
				time.Sleep(20 * time.Second)
				is.True(s.cell.Row(job) != nil)
				is.True(s.cell.Row(progress) != nil)
				s.replaceOwner(func() {
					_, err := s.cell.PlatformFor("another writer").Transact(context.Background(), keeper.Transaction{Writes: []keeper.Write{
						{Key: job, Value: jobRow}, {Key: progress, Value: progressRow},
					}})
					is.NoErr(err)
				})
				time.Sleep(20 * time.Second)
				s.checkCompleted()
				is.Equal(s.runsOfFirstStep(), 3) // none of the first step's tasks ran again
			})
		})
	}
}

// runsOfFirstStep counts the runs of the first steps of all jobs.
func (s *site) runsOfFirstStep() int {
	count := 0
	for _, w := range s.cell.Workers() {
		runs, _ := w.Runs(time.Now())
		for _, run := range runs {
			if run.Task.Step == 0 {
				count++
			}
		}
	}
	return count
}

// TestLeasesThatCannotBeDecoded guards against a new owner that cannot decode
// which workers may hold leases, and starts again at once what still runs on a
// worker that it cannot reach.
func TestLeasesThatCannotBeDecoded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 1)
		defer s.close()
		for range 4 {
			is.Equal(s.submit(0, 7000), dispatcher.OutcomeDone)
		}
		time.Sleep(time.Second)
		var cut []*standin.TaskWorker
		for _, w := range s.cell.Workers() {
			if runs, _ := w.Runs(time.Now()); len(runs) > 0 && len(cut) < 2 {
				w.SetPartitioned(true)
				cut = append(cut, w)
			}
		}
		is.True(len(cut) > 0)
		s.replaceOwner(func() { s.spoil(scheduler.LeasedWorkersKey) })
		time.Sleep(6 * time.Second)
		for _, w := range cut {
			w.SetPartitioned(false)
		}
		time.Sleep(60 * time.Second)
		s.checkCompleted()
	})
}
