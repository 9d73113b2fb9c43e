package decider

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/keeper"
	"kumquatstall/placer"
	"kumquatstall/requester"
)

// TestResultOfAnOddJobRow guards against a result that is acknowledged to its
// worker because the row of its job cannot be decoded, as if there were no such
// job: a later holder that can decode the row would run the task again.
func TestResultOfAnOddJobRow(t *testing.T) {
	is := is.New(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	c := New(Options{Self: "a", DataCentre: "here", DataCentres: []DataCentreInfo{{Name: "here", Shards: 2}}}, now)
	c.startFleet(1, []keeper.Row{{Key: c.jobKey("odd"), Value: []byte("{"), Revision: 1}})
	c.fleet.SetWorkers(now, []placer.WorkerInfo{{HostID: "w", Total: requester.Resources{MilliCores: 8000, MemoryMB: 8000}}})
	var acknowledged []placer.TaskID
	for sequence := range int64(3) {
		now = now.Add(2 * time.Second)
		for _, sync := range c.fleet.Syncs(now) {
			acknowledged = append(acknowledged, sync.Request.Acks...)
			c.fleet.OnReport(now, sync, placer.SyncReport{Now: now, Epoch: 1, Boot: 1, Sequence: sequence + 1, Tasks: []placer.TaskReport{
				{Task: placer.TaskID{Job: "odd", Run: 1}, Job: "odd", State: placer.RunSucceeded},
				{Task: placer.TaskID{Job: "gone", Run: 1}, Job: "gone", State: placer.RunSucceeded},
			}})
		}
	}
	is.True(len(acknowledged) > 0)
	for _, task := range acknowledged {
		is.Equal(task, placer.TaskID{Job: "gone", Run: 1})
	}
}
