package dispatcher_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"kumquatstall/dispatcher"
	"kumquatstall/scheduler"
)

// acknowledgedEnds returns how many ends the entry has acknowledged as owner.
func (s *site) acknowledgedEnds(entry int) int64 {
	s.t.Helper()
	var metrics struct{ Cell scheduler.Stats }
	if err := json.Unmarshal([]byte(s.entries[entry].Metrics()), &metrics); err != nil {
		s.t.Fatal(err)
	}
	return metrics.Cell.Acknowledged
}

// TestEndOfARemovedJob guards against an end that is never acknowledged because
// its job was removed while the worker could not be reached.
func TestEndOfARemovedJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 1)
		defer s.close()
		is.Equal(s.submit(0, 60_000), dispatcher.OutcomeDone)
		time.Sleep(time.Second)
		cut := 0
		for _, w := range s.cell.Workers() {
			if runs, _ := w.Runs(time.Now()); len(runs) > 0 {
				cut += len(runs)
				w.SetPartitioned(true)
			}
		}
		is.Equal(cut, 3)
		is.Equal(s.entries[0].Cancel(context.Background(), s.jobs[0]), dispatcher.OutcomeDone)
		time.Sleep(time.Minute)
		is.True(s.cell.Row(scheduler.JobKey(s.jobs[0])) == nil)
		is.Equal(s.acknowledgedEnds(0), int64(0))
		for _, w := range s.cell.Workers() {
			w.SetPartitioned(false)
		}
		time.Sleep(5 * time.Second)
		is.Equal(s.acknowledgedEnds(0), int64(3))
	})
}
