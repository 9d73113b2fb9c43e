package dispatcher_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"kumquatstall/dispatcher"
	"kumquatstall/scheduler"
)

// TestRowsWithoutAValue guards against a row that exists but has no value, as one
// whose value cannot be decoded is returned, counting as a row that is missing:
// a later owner would start the job from nothing.
func TestRowsWithoutAValue(t *testing.T) {
	for _, part := range []string{"job", "progress"} {
		t.Run(part, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(t, 1)
				defer s.close()
				is.Equal(s.submit(0, 2000), dispatcher.OutcomeDone)
				time.Sleep(3500 * time.Millisecond) // the first step is done, the second one runs
				keys := map[string]string{"job": scheduler.JobKey(s.jobs[0]), "progress": scheduler.ProgressKey(s.jobs[0])}
				rows := map[string][]byte{}
				for _, key := range keys {
					rows[key] = s.cell.Row(key)
					is.True(len(rows[key]) > 0)
				}
				s.replaceOwner(func() { s.write(map[string][]byte{keys[part]: nil}) })
				time.Sleep(20 * time.Second)
				is.Equal(s.runsOfFirstStep(), 3) // none of the first step's tasks ran again
				if part == "job" {
					is.Equal(s.cell.Row(keys["progress"]), rows[keys["progress"]])
				}
				s.replaceOwner(func() { s.write(rows) })
				time.Sleep(20 * time.Second)
				s.checkCompleted()
				is.Equal(s.runsOfFirstStep(), 3)
			})
		})
	}
}

// TestLeasesWithoutAValue guards against a row of leased workers without a value
// counting as one that is missing: what runs on a worker that the new owner
// cannot reach would start again at once.
func TestLeasesWithoutAValue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(t, 1)
		defer s.close()
		is.Equal(s.submit(0, 7000), dispatcher.OutcomeDone)
		time.Sleep(time.Second)
		is.True(len(s.cell.Row(scheduler.LeasedWorkersKey)) > 0)
		s.replaceOwner(func() { s.write(map[string][]byte{scheduler.LeasedWorkersKey: nil}) })
		time.Sleep(6 * time.Second)
		is.Equal(len(s.cell.Row(scheduler.LeasedWorkersKey)), 0) // not replaced while leases may last
		time.Sleep(54 * time.Second)
		s.checkCompleted()
	})
}
