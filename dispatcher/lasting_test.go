package dispatcher_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"kumquatstall/dispatcher"
	"kumquatstall/scheduler"
	"kumquatstall/standin"
)

// lostTaskBound is the time from the end of a task that lasts to its next start, if its
// worker is lost.
const lostTaskBound = 9 * time.Second

// TestTaskWaitsForLostWorkerAndOwner guards against a task that lasts and starts again
// too late, as its worker is lost with the owner and the successor waits for the
// longest lease that the owner may have granted right before the takeover.
func TestTaskWaitsForLostWorkerAndOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 3)
		defer s.close()
		job := s.job(100_000)
		job.Steps = job.Steps[:1]
		is.Equal(s.entries[0].Submit(context.Background(), job), dispatcher.OutcomeDone)
		time.Sleep(15 * time.Second)
		lost := make(map[scheduler.TaskName]bool)
		for _, w := range s.cell.Workers() {
			runs, _ := w.Runs(time.Now())
			if len(runs) == 0 {
				continue
			}
			for _, run := range runs {
				lost[run.Task] = true
			}
			w.Crash(time.Now())
			break
		}
		is.True(len(lost) > 0)
		lostAt := time.Now()
		owner := s.owner()
		s.entries[owner].Close()
		s.entries = slices.Delete(s.entries, owner, owner+1)
		time.Sleep(20 * time.Second)
		for name := range lost {
			wait := s.startOf(name, lostAt).Sub(lostAt)
			if wait < 0 || wait >= lostTaskBound {
				t.Errorf("%v starts again %v after the loss of its worker and the owner, want less than %v", name, wait, lostTaskBound)
			}
		}
		for _, problem := range standin.CheckRuns(s.cell.Workers(), time.Now()) {
			t.Error(problem)
		}
	})
}

// startOf returns when a task was first started after a time; zero if it was not.
func (s *site) startOf(name scheduler.TaskName, after time.Time) time.Time {
	var first time.Time
	for _, w := range s.cell.Workers() {
		runs, _ := w.Runs(time.Now())
		for _, run := range runs {
			if run.Task == name && run.StartedAt.After(after) && (first.IsZero() || run.StartedAt.Before(first)) {
				first = run.StartedAt
			}
		}
	}
	return first
}

// TestTaskOfWorkerCutOffWithOwner guards against a task that starts again while it
// still runs on a worker which was cut off as the owner was lost, under the lease that
// the owner granted last.
func TestTaskOfWorkerCutOffWithOwner(t *testing.T) {
	for range 5 {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			s := newSite(t, 3)
			defer s.close()
			for range 3 {
				is.Equal(s.submit(0, 100_000), dispatcher.OutcomeDone)
			}
			time.Sleep(14*time.Second + rand.N(time.Second))
			cut := 0
			for _, w := range s.cell.Workers()[:3] {
				runs, _ := w.Runs(time.Now())
				cut += len(runs)
				w.SetPartitioned(true)
			}
			is.True(cut > 0)
			for range 2 { // the successor is lost, too
				time.Sleep(rand.N(2 * time.Second))
				owner := s.owner()
				if owner < 0 {
					continue
				}
				s.entries[owner].Close()
				s.entries = slices.Delete(s.entries, owner, owner+1)
			}
			time.Sleep(30 * time.Second)
			for _, problem := range standin.CheckRuns(s.cell.Workers(), time.Now()) {
				t.Error(problem)
			}
		})
	}
}
