package scheduler

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// birthCell is a core with two workers, of which w1 runs the one task of a job
// and w2 has room for it.
type birthCell struct {
	t     *testing.T
	core  *Core
	now   time.Time
	born  time.Time
	start StartOrder
	// poll is the last poll of w1.
	poll PollOrder
}

func newBirthCell(t *testing.T) *birthCell {
	now := time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC)
	c := &birthCell{t: t, now: now, born: now.Add(-time.Minute)}
	c.core = New(Options{Epoch: 1}, now)
	c.list(c.born)
	c.core.Add(now, Job{JobID: "j1", Queue: "queue", Policy: Policy{Service: "service", MaxAttempts: 1, Stretch: 2}, AcceptedAt: now, Steps: []Step{
		{Count: 1, Need: requester.Resources{MilliCores: 1}, EstimateMillis: 600_000, RequiredLabel: "any"},
	}})
	for range 20 {
		c.step(&Report{Clock: 1, BootedAt: c.born, Running: c.running()})
	}
	if c.start.Worker.HostID != "w1" {
		t.Fatal("the task doesn't run on w1")
	}
	return c
}

// running returns what runs on w1.
func (c *birthCell) running() []RunningTask { return c.runningOn("w1") }

func (c *birthCell) runningOn(host requester.HostID) []RunningTask {
	if c.start.Run == 0 || c.start.Worker.HostID != host {
		return nil
	}
	return []RunningTask{{Task: c.start.Task, Run: c.start.Run, Percent: 1}}
}

// list reads the list of workers, in which w1 has that birth.
func (c *birthCell) list(born time.Time) {
	worker := func(id requester.HostID, cores int64, born time.Time) WorkerInfo {
		return WorkerInfo{HostID: id, Service: "service", Address: netip.MustParseAddrPort("127.0.0.1:1"), Labels: []string{"any"}, Total: requester.Resources{MilliCores: cores, MemoryMB: 1}, BootedAt: born}
	}
	c.core.SetWorkers(c.now, []WorkerInfo{worker("w1", 10, born), worker("w2", 1000, c.born)})
}

// step advances the time by 20 ms. Polls of w1 are answered by the given report,
// or not at all if it is nil.
func (c *birthCell) step(report *Report) {
	c.now = c.now.Add(20 * time.Millisecond)
	c.core.Committed(c.now, c.core.TakeBatch(40))
	orders := c.core.Tick(c.now)
	for _, order := range orders.Starts {
		if c.start.Run != 0 {
			c.t.Fatalf("the task starts again on %s while it runs on %s", order.Worker.HostID, c.start.Worker.HostID)
		}
		c.start = order
		c.core.StartDone(c.now, order, OrderAccepted)
	}
	for _, order := range orders.Polls {
		switch {
		case order.Worker.HostID == "w2":
			c.core.PollDone(c.now, order, &Report{Clock: 1, BootedAt: c.born, Running: c.runningOn("w2")}, OrderAccepted)
		case report == nil:
			c.core.PollDone(c.now, order, nil, OrderUnknown)
		default:
			c.poll = order
			c.core.PollDone(c.now, order, report, OrderAccepted)
		}
	}
}

// TestListedBirthInFutureStartsTwice checks that an entry of the list whose born
// lies ahead does not end the runs of a worker that reports them, and that the
// worker is heard.
func TestListedBirthInFutureStartsTwice(t *testing.T) {
	is := is.New(t)
	c := newBirthCell(t)
	for range 5 {
		c.list(c.now.Add(time.Hour))
		for range 50 {
			c.step(&Report{Clock: 1, BootedAt: c.born, Running: c.running()})
		}
	}
	ended := &Report{Clock: 2, BootedAt: c.born, Ended: []EndedRun{{Number: 1, Task: c.start.Task, Run: c.start.Run, Kind: EndDone}}}
	for range 20 {
		c.step(ended)
	}
	is.Equal(c.core.Stats().JobsCompleted, int64(1))
	is.Equal(c.core.Stats().Starts, int64(1))
	is.Equal(c.core.Stats().Lapsed, int64(0))
}

// TestFirstListedBirthInFutureNeverHeard checks that a worker whose entry had a
// born ahead of its true one when it was first listed is heard.
func TestFirstListedBirthInFutureNeverHeard(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC)
	c := &birthCell{t: t, now: now, born: now.Add(-time.Minute)}
	c.core = New(Options{Epoch: 1}, now)
	for range 5 {
		c.list(now.Add(time.Hour))
		for range 50 {
			c.step(&Report{Clock: 1, BootedAt: c.born})
		}
	}
	is.True(c.core.workers["w1"].reported)
	is.True(c.core.workers["w1"].bootedAt.Equal(c.born))
	is.True(!c.core.workers["w1"].usable()) // such an entry names no worker to use
	c.list(c.born)
	is.True(c.core.workers["w1"].usable())
}

// TestFallenBirthNeverHeard checks that a worker whose clock was set back before
// it started again is heard, and that its runs of before start again.
func TestFallenBirthNeverHeard(t *testing.T) {
	is := is.New(t)
	c := newBirthCell(t)
	run := c.start
	c.start = StartOrder{}
	fallen := c.born.Add(-2 * time.Second)
	for range 5 {
		c.list(fallen)
		for range 50 {
			c.step(&Report{Clock: 1, BootedAt: fallen, Running: c.running()})
		}
	}
	is.True(c.core.workers["w1"].bootedAt.Equal(fallen))
	is.True(c.start.Run > run.Run) // the task has started again
	is.Equal(c.core.Stats().Lapsed, int64(1))
}

// TestLateReportOfLastLife checks that the response to a poll that was sent before
// a worker started again does not undo that, in either order of the births.
func TestLateReportOfLastLife(t *testing.T) {
	for _, later := range []time.Duration{time.Second, -time.Second} {
		is := is.New(t)
		c := newBirthCell(t)
		old, run := c.poll, c.start
		c.start = StartOrder{}
		reborn := c.born.Add(later)
		c.list(reborn)
		for range 50 {
			c.step(&Report{Clock: 1, BootedAt: reborn, Running: c.running()})
		}
		is.True(c.start.Run > run.Run)
		c.core.PollDone(c.now, old, &Report{Clock: 9, BootedAt: c.born, Running: []RunningTask{{Task: run.Task, Run: run.Run}}}, OrderAccepted)
		is.True(c.core.workers["w1"].bootedAt.Equal(reborn))
		is.Equal(c.core.Stats().Lapsed, int64(1))
	}
}

// TestRebornAsAnotherKindGetsOldTasks checks that a worker that reports a new life
// gets no tasks by the labels of its last one before the list shows the new life.
func TestRebornAsAnotherKindGetsOldTasks(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC)
	c := &birthCell{t: t, now: now, born: now.Add(-time.Minute)}
	c.core = New(Options{Epoch: 1}, now)
	reborn := now.Add(-time.Second)
	list := func(label string, born time.Time) {
		c.core.SetWorkers(c.now, []WorkerInfo{{
			HostID: "w1", Service: "service", Address: netip.MustParseAddrPort("127.0.0.1:1"), Labels: []string{label},
			Total: requester.Resources{MilliCores: 10, MemoryMB: 1}, BootedAt: born,
		}})
	}
	list("old", c.born)
	for range 10 {
		c.step(&Report{Clock: 1, BootedAt: c.born})
	}
	report := &Report{Clock: 1, BootedAt: reborn}
	c.step(report)
	for id, label := range map[requester.JobID]string{"j1": "old", "j2": "new"} {
		c.core.Add(c.now, Job{JobID: id, Queue: "queue", Policy: Policy{Service: "service", Stretch: 2}, AcceptedAt: c.now, Steps: []Step{
			{Count: 1, Need: requester.Resources{MilliCores: 1}, EstimateMillis: 1000, RequiredLabel: label},
		}})
	}
	for range 30 {
		c.step(report)
	}
	is.Equal(c.start.Task.Job, requester.JobID("")) // the list shows the last life
	list("new", reborn)
	for range 30 {
		report.Running = c.running()
		c.step(report)
	}
	is.Equal(c.start.Task.Job, requester.JobID("j2"))
}
