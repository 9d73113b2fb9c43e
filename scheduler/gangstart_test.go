package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

func wideGang(tasks int) Step {
	step := smallStep(tasks)
	step.Gang = true
	return step
}

// listBytes returns the size of the stored list of intended starts.
func (s *rowStore) listBytes() int {
	size := 0
	for key, value := range s.rows {
		if IsListKey(key, StartsKey) {
			size += len(value)
		}
	}
	return size
}

// TestWideGangsStart guards against a gang that is accepted and never starts, as the list of
// intended starts has no room for all of its members (review/15), also several at once, and
// beside ordinary jobs. All members start within the time for which the first waits.
func TestWideGangsStart(t *testing.T) {
	tests := []struct {
		gangs, members int
	}{{1, 8000}, {1, 50_000}, {6, 8000}, {12, 4000}, {300, 160}}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d of %d", test.gangs, test.members), func(t *testing.T) {
			is := is.New(t)
			c := newWideCell(t)
			c.store, c.latency, c.duration = newRowStore(t), roundTrip, 20*time.Second
			for i := range test.gangs {
				c.add(jobOf(fmt.Sprintf("gang-%d", i), wideGang(test.members)))
			}
			begin, mostBytes := c.now, 0
			for i := range 1000 {
				if i%20 == 0 && i < 200 {
					c.add(jobOf(fmt.Sprintf("ordinary-%d", i), stepOf(2, 2800)))
				}
				c.advance(10 * time.Millisecond)
				mostBytes = max(mostBytes, c.store.listBytes())
			}
			for i := range test.gangs {
				id := requester.JobID(fmt.Sprintf("gang-%d", i))
				is.Equal(c.starts[id], test.members)
				is.True(c.lastStartAt[id].Sub(c.startedAt[id]) < maxGangSending)
			}
			for i := 0; i < 200; i += 20 {
				id := requester.JobID(fmt.Sprintf("ordinary-%d", i))
				at := begin.Add(time.Duration(i) * 10 * time.Millisecond)
				is.Equal(c.starts[id], 2)
				is.True(c.startedAt[id].Sub(at) < 500*time.Millisecond) // an ordinary job waits
			}
			t.Logf("longest step %v, list of at most %d bytes", c.longest, mostBytes)
			is.True(c.longest < longestStep)
			is.True(mostBytes < storeCallBytes/4) // the list leaves the rows of jobs their room
		})
	}
}

// endAlone ends the runs of a gang of which not all members have started in time.
func (c *wideCell) endAlone(id requester.JobID, members int, wait time.Duration) {
	if c.countRunning(id) == members {
		return
	}
	for host, runs := range c.running {
		for key, endsAt := range runs {
			if key.name.Job == id && c.now.Sub(endsAt.Add(-c.duration)) >= wait {
				c.end(host, key, EndGangIncomplete)
			}
		}
	}
}

// TestOwnerLostWhileAWideGangStarts checks that the members of a gang that were sent, or may
// have been, run only once if the owner is lost meanwhile, and that the gang runs in the end.
func TestOwnerLostWhileAWideGangStarts(t *testing.T) {
	is := is.New(t)
	c := newWideCell(t)
	c.store, c.latency, c.duration = newRowStore(t), roundTrip, 4*time.Second
	job := jobOf("gang", wideGang(8000))
	c.add(job)
	for c.starts["gang"] < 3000 {
		c.advance(10 * time.Millisecond)
	}
	c.takeOver(job)
	c.longest = 0
	for range 3000 {
		c.advance(10 * time.Millisecond)
		c.checkOnce()
		// What waits for the other members of its gang ends.
		c.endAlone("gang", 8000, 3*time.Second)
	}
	is.Equal(c.core.jobs["gang"].state, StateCompleted)
	t.Logf("longest step %v", c.longest)
	is.True(c.longest < longestStep)
}

// checkOnce checks that no task runs on two workers at once.
func (c *wideCell) checkOnce() {
	c.t.Helper()
	for id, runs := range c.running {
		for key := range runs {
			if other, ok := c.seen[key.name]; ok && other.host != id && c.running[other.host][other.key] != (time.Time{}) {
				c.t.Fatalf("%v runs on %s and %s", key.name, id, other.host)
			}
			c.seen[key.name] = wideRun{id, key}
		}
	}
}

// TestLateStartsOfAWideGangUnderTheNextOwner guards against a successor that starts a wide gang while
// starts of its predecessor may still be executed, of which only the list of intended starts tells:
// some workers get theirs seconds later, in their next lives. Neither may a task run twice at once,
// nor start after it is done.
func TestLateStartsOfAWideGangUnderTheNextOwner(t *testing.T) {
	for _, lateBy := range []time.Duration{5 * time.Second, 11 * time.Second} { // at most 12 s
		t.Run(lateBy.String(), func(t *testing.T) {
			is := is.New(t)
			c := newWideCell(t)
			c.store, c.latency, c.duration = newRowStore(t), roundTrip, 4*time.Second
			silent := wideInfos(48)[10:14]
			for _, info := range silent {
				c.holds[info.HostID] = true
			}
			job := jobOf("gang", wideGang(8000))
			c.add(job)
			for c.starts["gang"] < 3000 {
				c.advance(10 * time.Millisecond)
			}
			is.True(len(c.held) > 20) // starts on their way
			late, lateAt := c.held, c.now.Add(lateBy)
			c.successor = Options{PreviousOwnerTerm: time.Second, PreviousLeaseTerm: DefaultLeaseTerm, PreviousCommitAt: c.now}
			c.takeOver(job)
			for _, info := range silent {
				delete(c.holds, info.HostID)
				c.lost[info.HostID] = true
			}
			for range 4000 {
				c.advance(10 * time.Millisecond)
				if late != nil && !c.now.Before(lateAt) {
					is.True(c.core.jobs["gang"].state != StateCompleted) // a start after its task is done
					c.rebear(silent)
					for _, order := range late {
						c.running[order.Worker.HostID][runKey{order.Task, order.Run}] = c.now.Add(c.duration)
					}
					late = nil
				}
				c.checkOnce()
				c.endAlone("gang", 8000, 3*time.Second)
			}
			is.Equal(c.core.jobs["gang"].state, StateCompleted)
		})
	}
}

// rebear begins new lives of workers.
func (c *wideCell) rebear(workers []WorkerInfo) {
	infos := wideInfos(len(c.running))
	for i := range infos {
		for _, info := range workers {
			if id := info.HostID; infos[i].HostID == id {
				infos[i].BootedAt = c.now
				c.bornAt[id] = c.now
				c.running[id], c.ends[id], c.number[id] = make(map[runKey]time.Time), nil, 0
				delete(c.lost, id)
			}
		}
	}
	c.core.SetWorkers(c.now, infos)
}

// TestGangThatCannotBeSentInTime checks that a gang whose starts take longer than its members
// wait for one another is tried again less and less often, that its step says what it waits
// for, and that ordinary jobs start meanwhile.
func TestGangThatCannotBeSentInTime(t *testing.T) {
	is := is.New(t)
	c := newWideCell(t)
	c.store, c.latency, c.duration = newRowStore(t), 400*time.Millisecond, time.Minute
	c.add(jobOf("gang", wideGang(8000)))
	s, says := c.core.jobs["gang"].occurrences[0].steps[0], false
	for i := range 2000 {
		says = says || s.wait.reason == WaitStarts
		if i == 300 {
			c.add(jobOf("ordinary", stepOf(2, 2800)))
		}
		c.advance(10 * time.Millisecond)
	}
	is.True(s.notSent > 1 && s.notSent < 6) // attempts in 20 s
	is.True(says)
	is.True(c.startedAt["ordinary"].Sub(detailsNow) < 5*time.Second)
}

// TestGangStartsOnceTheStoreIsBack guards against a gang that waits for longer and longer as the
// store has not taken its starts in time: once it is back, the gang starts at once.
func TestGangStartsOnceTheStoreIsBack(t *testing.T) {
	is := is.New(t)
	c := newWideCell(t)
	c.duration = time.Minute
	c.add(jobOf("gang", wideGang(8000)))
	for range 1200 { // the store is away for 12 s: nothing is committed
		c.now = c.now.Add(10 * time.Millisecond)
		c.answerPolls()
		c.deliver(c.core.Tick(c.now))
	}
	is.Equal(c.starts["gang"], 0)
	back := c.now
	c.advanceFor(2 * time.Second)
	is.Equal(c.starts["gang"], 8000)
	is.True(c.lastStartAt["gang"].Sub(back) < 1500*time.Millisecond)
}
