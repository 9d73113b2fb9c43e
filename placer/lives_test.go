package placer_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/placer"
	"kumquatstall/requester"
	"kumquatstall/standin"
)

// livesHarness is a fleet with stand-ins for its workers.
type livesHarness struct {
	is      *is.I
	fleet   *placer.Fleet
	workers map[requester.HostID]*standin.Runtime
	now     time.Time
}

var livesLimits = placer.Limits{LeaseTerm: 6 * time.Second, Margin: 300 * time.Millisecond, SyncInterval: time.Second, TaskAttempts: 3}

var livesRoom = requester.Resources{MilliCores: 1000, MemoryMB: 1000}

func newLivesHarness(t *testing.T, names ...requester.HostID) *livesHarness {
	h := &livesHarness{is: is.New(t), workers: make(map[requester.HostID]*standin.Runtime), now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)}
	h.fleet = placer.New("entry", 1, h.now, livesLimits)
	var infos []placer.WorkerInfo
	for _, name := range names {
		h.workers[name] = standin.NewRuntime(name, livesRoom, h.now)
		infos = append(infos, placer.WorkerInfo{HostID: name, Total: livesRoom})
	}
	h.fleet.SetWorkers(h.now, infos)
	h.exchange()
	return h
}

// exchange carries out the syncs that are due, some of which follow from reports.
func (h *livesHarness) exchange() {
	for range 4 {
		for _, sync := range h.fleet.Syncs(h.now) {
			h.fleet.OnReport(h.now, sync, h.workers[sync.Worker].Sync(sync.Request, h.now))
		}
		h.fleet.Place(h.now)
	}
}

func (h *livesHarness) wait(length time.Duration) { h.now = h.now.Add(length) }

// livesRunTime is how long the task of a job runs.
const livesRunTime = 8 * time.Second

// livesJob returns the row of a job with one task that fills a worker.
func livesJob() placer.JobRow {
	return placer.JobRow{Version: 1, Job: requester.Job{JobID: "j", Trade: "trade", Kind: "kind", Tasks: 1, Need: livesRoom, RunMillis: livesRunTime.Milliseconds()}}
}

func (h *livesHarness) addJob() {
	h.fleet.Add(livesJob(), 1, false)
	h.is.Equal(h.fleet.Place(h.now), 1)
}

// running returns how many runs are running, each of which fills a worker.
func (h *livesHarness) running() float64 {
	count := 0.0
	for _, worker := range h.workers {
		count += worker.AllocatedShare(h.now)
	}
	return count
}

// TestStartForFormerLife guards against a task that runs twice: a start that got no answer is
// carried out by the worker's next incarnation, after the task has started elsewhere.
func TestStartForFormerLife(t *testing.T) {
	h := newLivesHarness(t, "a", "b")
	h.addJob()
	late := h.fleet.Syncs(h.now)[0]
	h.is.Equal(len(late.Request.Starts), 1)
	h.wait(100 * time.Millisecond)
	h.fleet.OnSyncFailed(h.now, late)
	h.wait(time.Second)
	h.exchange()
	h.is.Equal(h.running(), 1.0) // the repeated start has been carried out
	worker := h.workers[late.Worker]
	worker.Reboot(h.now)
	h.wait(time.Second)
	h.exchange()
	h.is.Equal(h.running(), 1.0) // the task has started again
	worker.Sync(late.Request, h.now)
	h.is.Equal(h.running(), 1.0)
}

// TestLeaseForFormerLife guards against a lease that the holder doesn't count: a sync that
// was meant for a former incarnation, on whose clock its deadline is.
func TestLeaseForFormerLife(t *testing.T) {
	h := newLivesHarness(t, "a")
	h.wait(time.Second)
	late := h.fleet.Syncs(h.now)[0]
	late.Request.Deadline = h.now.Add(time.Hour) // the clock of the former incarnation was ahead
	h.fleet.OnSyncFailed(h.now, late)
	h.workers["a"].Reboot(h.now)
	h.wait(time.Second)
	h.exchange()
	h.addJob()
	h.exchange()
	h.is.Equal(h.running(), 1.0)
	h.workers["a"].Sync(late.Request, h.now)
	// From now on no sync reaches the worker, and the holder counts its lease.
	h.wait(4 * time.Second)
	h.is.Equal(h.running(), 1.0)
	h.wait(3 * time.Second)
	h.is.Equal(h.fleet.ExpireLeases(h.now), 1)
	runs := h.workers["a"].Runs(h.now)
	h.is.Equal(len(runs), 1)
}

// TestUnknownLifeKeepsTasks guards against a new holder that takes the runs of a worker for
// lost, or that lets them lapse, before it has granted them a lease.
func TestUnknownLifeKeepsTasks(t *testing.T) {
	h := newLivesHarness(t, "a")
	h.addJob()
	h.exchange()
	h.is.Equal(h.running(), 1.0)
	h.wait(3 * time.Second)
	h.fleet = placer.New("successor", 2, h.now, livesLimits)
	h.fleet.Add(livesJob(), 1, true)
	h.fleet.SetWorkers(h.now, []placer.WorkerInfo{{HostID: "a", Total: livesRoom}})
	first := h.fleet.Syncs(h.now)[0]
	h.fleet.OnReport(h.now, first, h.workers["a"].Sync(first.Request, h.now))
	h.is.Equal(h.fleet.ExpireLeases(h.now), 0)
	h.exchange()
	h.wait(time.Second)
	h.exchange()
	h.is.Equal(h.running(), 1.0)
	h.wait(livesRunTime - 4*time.Second)
	h.exchange()
	status, _ := h.fleet.Status("j")
	h.is.Equal(status.State, requester.JobSucceeded)
}

// TestOvertakenStart guards against a task that runs again after its end was acknowledged: a
// start that got no answer is carried out after it was repeated, and after its run was
// forgotten.
func TestOvertakenStart(t *testing.T) {
	h := newLivesHarness(t, "a")
	row := livesJob()
	row.Job.RunMillis = 1000
	h.fleet.Add(row, 1, false)
	h.is.Equal(h.fleet.Place(h.now), 1)
	late := h.fleet.Syncs(h.now)[0]
	h.wait(100 * time.Millisecond)
	h.fleet.OnSyncFailed(h.now, late)
	h.wait(time.Second)
	h.exchange()
	h.wait(1100 * time.Millisecond)
	h.exchange()
	for _, write := range h.fleet.RowWrites() {
		h.fleet.WriteCommitted(write, 2)
	}
	h.exchange() // the end is acknowledged
	report := h.workers["a"].Sync(late.Request, h.now)
	h.is.True(report.Overtaken)
	h.is.Equal(h.running(), 0.0)
}

// TestNumbersBeginAnew guards against a holder whose requests count as overtaken for good, as
// it has begun to count anew in the same epoch.
func TestNumbersBeginAnew(t *testing.T) {
	h := newLivesHarness(t, "a")
	for range 5 {
		h.wait(time.Second)
		h.exchange()
	}
	h.fleet = placer.New("entry", 1, h.now, livesLimits)
	h.fleet.SetWorkers(h.now, []placer.WorkerInfo{{HostID: "a", Total: livesRoom}})
	h.exchange()
	h.addJob()
	h.exchange()
	h.is.Equal(h.running(), 1.0)
}

// TestReportForFormerRecord guards against a worker that counts as having told all that runs
// there after a report that holds the latest changes only: the answer to a sync from before
// the worker left the list and came back.
func TestReportForFormerRecord(t *testing.T) {
	h := newLivesHarness(t, "a")
	h.wait(time.Second)
	former := h.fleet.Syncs(h.now)[0]
	info := []placer.WorkerInfo{{HostID: "a", Total: livesRoom}}
	h.fleet.SetWorkers(h.now, nil)
	h.fleet.SetWorkers(h.now, info)
	h.is.True(!h.fleet.Workers()[0].Reported)
	report := h.workers["a"].Sync(former.Request, h.now)
	present := h.fleet.Syncs(h.now)
	h.is.Equal(len(present), 1)
	h.fleet.OnReport(h.now, former, report)
	h.is.True(!h.fleet.Workers()[0].Reported)
	h.fleet.OnSyncFailed(h.now, former)
	h.is.Equal(len(h.fleet.Syncs(h.now.Add(time.Minute))), 0) // the present one is still in flight
	h.fleet.OnReport(h.now, present[0], h.workers["a"].Sync(present[0].Request, h.now))
	h.is.True(h.fleet.Workers()[0].Reported)
}

// TestCancelledBeforeItsStart guards against a task of a cancelled job that runs to its end: its
// start and the order to stop it go out together.
func TestCancelledBeforeItsStart(t *testing.T) {
	h := newLivesHarness(t, "a")
	h.addJob()
	h.is.True(h.fleet.Cancel("j", h.now))
	h.exchange()
	h.is.Equal(h.running(), 0.0)
	h.wait(time.Second)
	h.exchange()
	h.is.Equal(h.fleet.Workers()[0].Allocated, requester.Resources{})
}

// TestRunOnAnUnlistedWorker guards against a task that runs twice: an earlier holder has
// started it on a worker that is cut off, and that the list doesn't name when the next
// holder takes over.
func TestRunOnAnUnlistedWorker(t *testing.T) {
	h := newLivesHarness(t, "cut off")
	h.addJob()
	h.exchange()
	h.is.Equal(h.running(), 1.0)
	h.wait(time.Second)

	h.workers["other"] = standin.NewRuntime("other", livesRoom, h.now)
	h.fleet = placer.New("next", 2, h.now, livesLimits)
	h.fleet.Add(livesJob(), 1, true)
	h.fleet.SetWorkers(h.now, []placer.WorkerInfo{{HostID: "other", Total: livesRoom}})
	h.exchange()
	h.is.Equal(h.running(), 1.0) // the worker that is cut off has it
	h.wait(livesLimits.LeaseTerm + livesLimits.Margin)
	h.exchange()
	h.is.Equal(h.running(), 1.0) // the lease is over, and the other one has it
}
