package dispatcher_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/dispatcher"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
	"kumquatstall/standin"
)

// TestCancelOfAWideJobOverLinks guards against an owner that sends all stops of a wide job itself
// (review/14): of those that it can't send at once the other entries send a part, all tasks have
// ended in time, and so they have if the links go silent or the owner is closed half way.
func TestCancelOfAWideJobOverLinks(t *testing.T) {
	const tasks = 6000
	tests := []struct {
		name    string
		halfWay func(s *linkedSite)
		within  time.Duration
	}{
		{"calm", func(*linkedSite) {}, 3900 * time.Millisecond},
		{"links are silent", (*linkedSite).silenceLinks, 6 * time.Second},
		{"the owner is lost", func(s *linkedSite) { s.entries[s.owner()].Close() }, 15 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newLinkedSite(t, 4, 0)
			need := requester.Resources{MilliCores: 1, MemoryMB: 1}
			job := scheduler.Job{
				JobID: requester.JobID(fmt.Sprintf("%016x", 77)), Queue: "queue", Policy: scheduler.Policy{Service: "service", MaxAttempts: 2, Stretch: 2},
				Payload: standin.RunSpec{Millis: 60_000}.Payload(need), Steps: []scheduler.Step{{Count: tasks, Need: need, EstimateMillis: 60_000}},
			}
			is.Equal(s.entries[0].Submit(t.Context(), job), dispatcher.OutcomeDone)
			s.await("all tasks run", func() bool { return s.running() == tasks })
			is.Equal(s.entries[1].Cancel(t.Context(), job.JobID), dispatcher.OutcomeDone)
			cancelledAt := time.Now()
			time.Sleep(100 * time.Millisecond)
			test.halfWay(s)
			for s.running() > 0 && time.Since(cancelledAt) < time.Minute {
				time.Sleep(10 * time.Millisecond)
			}
			t.Logf("all ended after %v; sent for the owner were %d", time.Since(cancelledAt), s.stopsSent())
			is.True(time.Since(cancelledAt) < test.within) // all have ended
			is.True(s.stopsSent() > 0)                     // by other entries
		})
	}
}

// running counts the runs on all workers.
func (s *linkedSite) running() int {
	count := 0
	for _, w := range s.cell.Workers() {
		runs, _ := w.Runs(time.Now())
		for _, r := range runs {
			if r.EndedAt.IsZero() {
				count++
			}
		}
	}
	return count
}

// stopsSent counts the stops that entries have sent for owners.
func (s *linkedSite) stopsSent() int64 {
	var total int64
	for _, d := range s.entries {
		var metrics struct{ StopsSentForOwner int64 }
		if err := json.Unmarshal([]byte(d.Metrics()), &metrics); err != nil {
			s.t.Fatal(err)
		}
		total += metrics.StopsSentForOwner
	}
	return total
}
