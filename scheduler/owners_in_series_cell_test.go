package scheduler

import (
	"maps"
	"slices"
	"testing"
	"time"

	"kumquatstall/requester"
)

// The cell in which owners are lost in series: its owners, its store and its calls.

// What the pages say of a start without an answer: it "may also be executed seconds later, after
// newer calls" (PROTOCOL.md), which has been 12 s, by whatever life is at the address then; what it
// begins goes on for a lease of 10 s at most, by a clock that "may be 2% slow", and ends within
// stop_ms, 0.9 s.
const (
	latestLateStart = 12 * time.Second
	longestRealRun  = 10204 * time.Millisecond
	longestRealStop = 900 * time.Millisecond
	// lostAfter is for how long a job may have nothing running beside room, lastingLostAfter how
	// long after its last run a task that lasts may be away (RULES.md, LOST: 3 s, from 6 s on).
	lostAfter        = 3 * time.Second
	lastingLostAfter = 9 * time.Second
	// gangTimeout is how long a member of a gang waits for the others.
	gangTimeout = 8 * time.Second
	seriesTick  = 50 * time.Millisecond
	// leavesAfter is how long after the starts a leaving worker is gone.
	leavesAfter = 2 * time.Second
)

// seriesCell is a cell of workers that keep to PROTOCOL.md, of which one job's step is started.
type seriesCell struct {
	*harness
	t       *testing.T
	job     Job
	rows    map[string][]byte
	epoch   int64
	workers map[requester.HostID]*seriesWorker
	// silentTo gets starts that are sent and no more.
	silentTo *seriesWorker
	// pending has the starts that were sent and that no life has executed yet.
	pending []sentOrder
	// noted has the tasks of which an end done was acknowledged.
	noted map[TaskName]bool
	// done has the tasks that have ended so.
	done map[TaskName]bool
	// idleSince is since when nothing runs, idle the longest such time.
	idleSince time.Time
	idle      time.Duration
}

type sentOrder struct {
	StartOrder
	sentAt time.Time
}

func newSeriesCell(t *testing.T, workers int, step Step, advice *Advice) *seriesCell {
	t.Helper()
	c := &seriesCell{harness: newHarness(workers), t: t, rows: make(map[string][]byte), epoch: 1, workers: make(map[requester.HostID]*seriesWorker), noted: make(map[TaskName]bool), done: make(map[TaskName]bool)}
	for _, w := range c.core.sortedWorkers {
		c.workers[w.info.HostID] = &seriesWorker{info: w.info, runs: make(map[runKey]*seriesRun), barred: make(map[TaskName]RunNumber), endedAt: make(map[int64]time.Time)}
	}
	c.idleSince = c.now
	for range 400 {
		c.tick(true)
	}
	c.job = Job{JobID: "j", Queue: "queue", Policy: Policy{Service: "service", MaxAttempts: 3, Stretch: 9, Advice: advice}, Steps: []Step{step}, AcceptedAt: c.now}
	c.core.Add(c.now, c.job)
	for range 20 {
		c.now = c.now.Add(10 * time.Millisecond)
		orders := c.core.Tick(c.now)
		c.polls(orders)
		c.answerAdvice(true)
		c.keepRows(c.rows)
		if c.core.countIntended() == step.Count {
			return c
		}
	}
	t.Fatalf("%d starts intended, want %d", c.core.countIntended(), step.Count)
	return nil
}

// tick lets time pass. Starts are executed and answered, or sent and no more.
func (c *seriesCell) tick(answered bool) {
	c.now = c.now.Add(seriesTick)
	c.advanceRuns()
	c.keepRows(c.rows)
	orders := c.core.Tick(c.now)
	c.perform(orders, answered)
	if c.core.countIntended() > 0 {
		c.keepRows(c.rows)
		c.perform(c.core.Tick(c.now), answered)
	}
	c.answerAdvice(true)
	c.noteIdle()
}

func (c *seriesCell) perform(orders Orders, answered bool) {
	c.polls(orders)
	for _, stop := range orders.Stops {
		c.core.StopDone(c.now, stop, c.workers[stop.Worker.HostID].stop(c.now, stop))
	}
	for _, start := range orders.Starts {
		c.send(start)
		switch w := c.workers[start.Worker.HostID]; {
		case !answered || w == c.silentTo:
		case w.cut || w.down:
			c.core.StartDone(c.now, start, OrderUnknown)
		default:
			result := c.execute(start, start.Deadline)
			if result == OrderAccepted {
				c.core.StartAccepted(c.now, start, c.clock(w.ref()))
			} else {
				c.core.StartDone(c.now, start, result)
			}
		}
	}
}

// send records a start. As long as an earlier one of its task may still be executed, it may only
// go to the same worker, with the same number, as everything else could run twice.
func (c *seriesCell) send(start StartOrder) {
	for _, earlier := range c.pending {
		if earlier.Task != start.Task || earlier.Worker.HostID == start.Worker.HostID && earlier.Run == start.Run {
			continue
		}
		until := earlier.sentAt.Add(latestLateStart)
		if w := c.workers[earlier.Worker.HostID]; w.cut {
			until = until.Add(longestRealRun)
		} else if w.down && w.info.Leaving {
			continue // gone for good
		}
		if c.now.Before(until) {
			c.t.Errorf("TWICE: run %d of %v is sent to %s at %v; run %d on %s may act until %v", start.Run, start.Task, start.Worker.HostID, c.since(c.now), earlier.Run, earlier.Worker.HostID, c.since(until))
		}
	}
	c.pending = append(c.pending, sentOrder{start, c.now})
}

func (c *seriesCell) since(at time.Time) time.Duration { return at.Sub(c.job.AcceptedAt) }

func (c *seriesCell) polls(orders Orders) {
	for _, poll := range orders.Polls {
		w := c.workers[poll.Worker.HostID]
		switch {
		case w.down || w.cut:
			c.core.PollDone(c.now, poll, nil, OrderUnknown)
			continue
		case poll.Fence < w.fence:
			c.core.PollDone(c.now, poll, nil, OrderFenced)
			continue
		}
		w.fence = poll.Fence
		if poll.Deadline > 0 {
			c.extend(w, poll.Deadline)
		}
		c.forget(w, poll.AcknowledgedEnd)
		report := &Report{Clock: c.clock(w.ref()), BootedAt: w.info.BootedAt, Ended: slices.Clone(w.ended)}
		for key, r := range w.runs {
			report.Running = append(report.Running, RunningTask{Task: key.name, Run: key.number, Percent: r.percent(c.now)})
		}
		c.core.PollDone(c.now, poll, report, OrderAccepted)
	}
}

// noteComplete records that the runs with a number are at work, if all tasks have one.
func (c *seriesCell) noteComplete(number RunNumber) {
	if step := &c.job.Steps[0]; step.Gang && c.present(number) < step.Count {
		return
	}
	for _, w := range c.workers {
		for key, r := range w.runs {
			if key.number == number && r.workedSince.IsZero() {
				r.workedSince = c.now
			}
		}
	}
}

func (c *seriesCell) length() time.Duration {
	return time.Duration(c.job.Steps[0].EstimateMillis) * time.Millisecond
}

// endDone ends a run, or all members of its gang.
func (c *seriesCell) endDone(key runKey) {
	for _, w := range c.workers {
		for k := range w.runs {
			if k == key || c.job.Steps[0].Gang && k.number == key.number {
				w.end(c.now, k, EndDone)
				c.done[k.name] = true
			}
		}
	}
}

// present returns how many tasks have a run with a number.
func (c *seriesCell) present(number RunNumber) int {
	count := 0
	for _, w := range c.workers {
		for key := range w.runs {
			if key.number == number {
				count++
			}
		}
	}
	return count
}

// noteIdle records for how long the job has had nothing running.
func (c *seriesCell) noteIdle() {
	running := len(c.job.Steps) > 0 && len(c.done) == c.job.Steps[0].Count
	for _, w := range c.workers {
		running = running || len(w.runs) > 0
	}
	if running {
		c.idleSince = c.now
	}
	c.idle = max(c.idle, c.now.Sub(c.idleSince))
}

// loseOwner replaces the owner. The next one knows what the store has, and begins to count for
// what is idle.
func (c *seriesCell) loseOwner() {
	c.epoch++
	c.core = New(Options{Epoch: c.epoch, PreviousOwnerTerm: time.Second, PreviousLeaseTerm: DefaultLeaseTerm, PreviousCommitAt: c.now}, c.now)
	if value, ok := c.rows[LeasedWorkersKey]; ok {
		var row LeasedWorkersRow
		c.must(DecodeRow(value, &row))
		c.core.RestoreLeasedWorkers(row)
	}
	if value, ok := c.rows[BirthsKey]; ok {
		var row BirthsRow
		c.must(DecodeRow(value, &row))
		c.core.RestoreBirths(row)
	}
	c.must(c.core.Recover(JobRows{Job: c.job, Progress: c.rows[ProgressKey("j")], Details: storedDetails(c.rows, "j")}))
	c.must(restoreIntended(c.core, c.rows))
	c.listAll()
	c.idleSince, c.idle = c.now, 0
}

func (c *seriesCell) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// listAll tells the owner of all workers but those that have left.
func (c *seriesCell) listAll() {
	var infos []WorkerInfo
	for _, host := range slices.Sorted(maps.Keys(c.workers)) {
		if w := c.workers[host]; !w.down || !w.info.Leaving {
			infos = append(infos, w.info)
		}
	}
	c.core.SetWorkers(c.now, infos)
}
