package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// stoppedIn is the time in which all tasks of a cancelled job have to have ended (cancel_ms
// and stop_ms of the sites).
const stoppedIn = 3900 * time.Millisecond

// roundTrip is how long a call to a worker takes: 3 ms one way, and what the worker needs.
const roundTrip = 10 * time.Millisecond

// TestCancelOfVeryManyTasks guards against an owner that issues all stops of a job at once
// (review/14): so many in flight that it runs out of memory and the stops out of time. It
// cancels 50,000 running tasks, of one job or of many, also with an owner that has just taken
// over, and checks how many stops are in flight, that none is sent twice, that ordinary jobs
// still start, and when the last task has ended.
func TestCancelOfVeryManyTasks(t *testing.T) {
	tests := []struct {
		name     string
		jobs     int
		takeOver bool
		// starting is true if the job is cancelled while its starts are sent.
		starting bool
	}{{"one job", 1, false, false}, {"many jobs", 50, false, false}, {"a successor", 1, true, false}, {"while it starts", 1, false, true}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newWideCell(t)
			c.store, c.latency, c.duration = newRowStore(t), roundTrip, 90*time.Second
			var jobs []Job
			for i := range test.jobs {
				jobs = append(jobs, jobOf("wide-"+string(rune('A'+i)), smallStep(50_000/test.jobs)))
			}
			c.add(jobs...)
			if test.starting {
				c.advanceFor(500 * time.Millisecond)
				is.True(c.countAll() > 1000 && c.countAll() < 50_000)
			} else {
				c.advanceFor(10 * time.Second)
				is.Equal(c.countAll(), 50_000)
			}
			if test.takeOver {
				c.takeOver(jobs...)
			}
			for i := range jobs {
				c.core.Cancel(c.now, jobs[i].JobID)
			}
			cancelledAt := c.now
			for range 20 {
				c.advance(10 * time.Millisecond)
			}
			c.add(jobOf("ordinary", stepOf(2, 2800)))
			for c.countAll() > c.countRunning("ordinary") && c.now.Sub(cancelledAt) < time.Minute {
				c.advance(10 * time.Millisecond)
			}
			is.True(c.now.Sub(cancelledAt) < stoppedIn)                                               // all have ended
			is.True(c.startedAt["ordinary"].Sub(cancelledAt.Add(200*time.Millisecond)) < time.Second) // it has room
			is.True(c.mostStops <= workerKind)
			is.True(c.mostAll <= maxOrdersInFlight)
			for key, count := range c.stops {
				if count > 1 {
					t.Fatalf("%v was stopped %d times", key, count)
				}
			}
			t.Logf("all ended after %v, longest step %v", c.now.Sub(cancelledAt), c.longest)
			is.True(c.longest < longestStep)
		})
	}
}

func (c *wideCell) countAll() int {
	count := 0
	for _, runs := range c.running {
		count += len(runs)
	}
	return count
}

// takeOver replaces the owner by one that has read the rows.
func (c *wideCell) takeOver(jobs ...Job) {
	c.measured(func() {
		options := c.successor
		options.Epoch = 2
		c.core = c.store.takeOverWith(options, c.now, jobs...)
		if err := restoreIntended(c.core, c.store.rows); err != nil {
			c.t.Fatal(err)
		}
	})
	c.results, c.polls, c.inFlight = nil, nil, make(map[requester.HostID]int)
	c.core.SetWorkers(c.now, wideInfos(len(c.running)))
}
