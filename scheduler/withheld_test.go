package scheduler

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// withheldCell is a core with one worker that reports, and one job of some tasks
// that all run there as run 1.
type withheldCell struct {
	core *Core
	now  time.Time
}

func newWithheldCell(t *testing.T, tasks int) *withheldCell {
	t.Helper()
	c := &withheldCell{now: time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC)}
	c.core = New(Options{Epoch: 1}, c.now)
	c.core.SetWorkers(c.now, []WorkerInfo{{
		HostID: "w1", Service: "service", Address: netip.MustParseAddrPort("127.0.0.1:1"),
		Total: requester.Resources{MilliCores: 1_000_000, MemoryMB: 1_000_000}, BootedAt: c.now,
	}})
	c.core.Add(c.now, Job{JobID: "j1", Queue: "queue", Policy: Policy{Service: "service", MaxAttempts: 1, Stretch: 2}, AcceptedAt: c.now, Steps: []Step{
		{Count: tasks, Need: requester.Resources{MilliCores: 1, MemoryMB: 1}, EstimateMillis: 60_000},
	}})
	var running []RunningTask
	for range 50 {
		c.step()
		orders := c.core.Tick(c.now)
		for _, order := range orders.Polls {
			c.core.PollDone(c.now, order, &Report{Clock: 1, Running: running}, OrderAccepted)
		}
		for _, order := range orders.Starts {
			c.core.StartDone(c.now, order, OrderAccepted)
			running = append(running, RunningTask{Task: order.Task, Run: order.Run})
		}
	}
	if len(running) != tasks {
		t.Fatalf("got %d starts, expected %d", len(running), tasks)
	}
	return c
}

// step advances the time and commits what is to be written.
func (c *withheldCell) step() {
	c.now = c.now.Add(10 * time.Millisecond)
	c.core.Committed(c.now, c.core.TakeBatch(40))
}

// taskOfOne returns the name of a task.
func taskOfOne(index int) TaskName { return TaskName{StepName{Job: "j1"}, index} }

// report answers the next poll with a report and commits what it changes. It
// returns the number up to which the poll after that acknowledges ends.
func (c *withheldCell) report(t *testing.T, report *Report) int64 {
	t.Helper()
	c.nextPoll(t, report)
	return c.nextPoll(t, nil)
}

// nextPoll waits for a poll and answers it unless the report is nil. It returns
// the number up to which the poll acknowledges ends.
func (c *withheldCell) nextPoll(t *testing.T, report *Report) int64 {
	t.Helper()
	for range 100 {
		c.step()
		for _, order := range c.core.Tick(c.now).Polls {
			if report == nil {
				c.core.PollDone(c.now, order, nil, OrderUnknown)
			} else {
				c.core.PollDone(c.now, order, report, OrderAccepted)
			}
			return order.AcknowledgedEnd
		}
	}
	t.Fatal("no poll")
	return 0
}

// TestWithheldEndAcknowledged checks that an end that could not be decoded, and
// the ends after it, are not acknowledged, that the later ones count
// nevertheless, and that the end counts once it can be decoded.
func TestWithheldEndAcknowledged(t *testing.T) {
	is := is.New(t)
	c := newWithheldCell(t, 4)
	end := func(number int64, index int) EndedRun {
		return EndedRun{Number: number, Task: taskOfOne(index), Run: 1, Kind: EndDone}
	}
	is.Equal(c.report(t, &Report{Clock: 2, Ended: []EndedRun{end(1, 0), end(3, 2)}, Withheld: 2, Partial: true}), int64(1))
	is.Equal(c.core.Stats().Done, int64(2))
	is.Equal(c.report(t, &Report{Clock: 3, Ended: []EndedRun{end(3, 2), end(4, 3)}, Withheld: 2, Partial: true}), int64(1))
	is.Equal(c.core.Stats().Done, int64(3)) // an end that is reported again counts once
	is.Equal(c.core.Stats().Vanished, int64(0))
	is.Equal(c.report(t, &Report{Clock: 4, Ended: []EndedRun{end(2, 1), end(3, 2), end(4, 3)}}), int64(4))
	is.Equal(c.core.Stats().Done, int64(4))
	is.Equal(c.core.Stats().JobsCompleted, int64(1))
	is.Equal(c.core.Stats().Starts, int64(4)) // nothing started again
}

// TestWithheldEndsOfNextIncarnation checks that the numbers of a worker's next
// incarnation start anew.
func TestWithheldEndsOfNextIncarnation(t *testing.T) {
	is := is.New(t)
	c := newWithheldCell(t, 2)
	c.report(t, &Report{Clock: 2, Ended: []EndedRun{{Number: 3, Task: taskOfOne(0), Run: 1, Kind: EndDone}}, Withheld: 1, Partial: true})
	is.Equal(c.core.Stats().Done, int64(1))
	reborn := c.now.Add(time.Second)
	c.nextPoll(t, &Report{Clock: 1, BootedAt: reborn})
	ended := &Report{Clock: 2, BootedAt: reborn}
	for number := int64(1); number <= 3; number++ {
		ended.Ended = append(ended.Ended, EndedRun{Number: number, Task: taskOfOne(1), Run: RunNumber(number), Kind: EndStopped})
	}
	is.Equal(c.report(t, ended), int64(3))
}

// TestPollsOfAWithheldEnd guards against a worker with an end that is not
// acknowledged being polled without a pause: it responds at once for as long as
// it has such ends.
func TestPollsOfAWithheldEnd(t *testing.T) {
	for _, violation := range []bool{false, true} {
		is := is.New(t)
		c := newWithheldCell(t, 2)
		report := &Report{Clock: 2, Ended: []EndedRun{{Number: 3, Task: taskOfOne(1), Run: 1, Kind: EndDone}}}
		if !violation {
			report.Withheld, report.Partial = 2, true
		}
		polls := 0
		for range 100 {
			c.step()
			if violation {
				c.core.jobs["j1"].storedProgress = committedProgress{} // which does not imply the end
			}
			for _, order := range c.core.Tick(c.now).Polls {
				polls++
				is.True(order.AcknowledgedEnd < 3)
				c.core.PollDone(c.now, order, report, OrderAccepted)
			}
		}
		is.True(polls < 10) // in a second
	}
}
