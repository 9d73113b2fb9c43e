package scheduler

import (
	"fmt"
	"maps"
	"net/netip"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// wideCell is a core with the workers of a site, which accept each start, and a store that
// takes each batch. Its time is virtual; the processor time of the core is real.
type wideCell struct {
	t       testing.TB
	core    *Core
	store   *rowStore
	now     time.Time
	running map[requester.HostID]map[runKey]time.Time
	ends    map[requester.HostID][]EndedRun
	polls   []PollOrder
	// results are those of the orders in flight, which take as long as latency says.
	results []wideResult
	latency time.Duration
	// inFlight counts the stops in flight to each worker, mostStops is the most that was, mostAll
	// that of all workers. stops counts the stops of each run.
	inFlight           map[requester.HostID]int
	mostStops, mostAll int
	stops              map[runKey]int
	number             map[requester.HostID]int64
	// startedAt is when each job started its first task, starts counts those of each.
	startedAt map[requester.JobID]time.Time
	starts    map[requester.JobID]int
	// lastStartAt is when each job last started a task, seen is the last run of each task.
	lastStartAt map[requester.JobID]time.Time
	seen        map[TaskName]wideRun
	// lost are the workers that don't answer.
	lost map[requester.HostID]bool
	// holds are the workers whose starts are held up on their way, held the starts.
	holds map[requester.HostID]bool
	held  []StartOrder
	// bornAt is the birth of each worker that has another one than at first.
	bornAt map[requester.HostID]time.Time
	// successor are the options of the next owner.
	successor Options
	// duration is how long a task takes.
	duration time.Duration
	// longest is the most processor time of a step of the core, used that of all.
	longest, used time.Duration
	// hosts are those of the entries, the owner's first, whose processors take time to call
	// workers; nil means that calls take none.
	hosts []*entryHost
	// records are the log records of the core, if keepsRecords is true.
	records      []LogRecord
	keepsRecords bool
}

// wideResult is the result of an order that is due at a time.
type wideResult struct {
	at time.Time
	do func()
}

// wideRun is a run on a worker.
type wideRun struct {
	host requester.HostID
	key  runKey
}

func wideInfos(workers int) []WorkerInfo {
	var infos []WorkerInfo
	for i := range workers {
		infos = append(infos, WorkerInfo{
			HostID: requester.HostID(fmt.Sprintf("w%03d", i)), Service: "service", BootedAt: detailsNow,
			Total:   requester.Resources{MilliCores: 32_000, MemoryMB: 131_072},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
		})
	}
	return infos
}

func newWideCell(t testing.TB) *wideCell {
	c := &wideCell{
		t: t, now: detailsNow, duration: 2 * time.Second,
		running: make(map[requester.HostID]map[runKey]time.Time), ends: make(map[requester.HostID][]EndedRun), number: make(map[requester.HostID]int64),
		startedAt: make(map[requester.JobID]time.Time), starts: make(map[requester.JobID]int),
		inFlight: make(map[requester.HostID]int), stops: make(map[runKey]int),
		lastStartAt: make(map[requester.JobID]time.Time), seen: make(map[TaskName]wideRun), lost: make(map[requester.HostID]bool),
		holds: make(map[requester.HostID]bool), bornAt: make(map[requester.HostID]time.Time),
	}
	c.core = New(Options{Epoch: 1}, c.now)
	c.core.SetWorkers(c.now, wideInfos(48))
	for _, info := range wideInfos(48) {
		c.running[info.HostID] = make(map[runKey]time.Time)
	}
	for range 3 {
		c.advance(10 * time.Millisecond)
	}
	return c
}

func (c *wideCell) add(jobs ...Job) {
	for _, job := range jobs {
		job.AcceptedAt = c.now
		c.core.Add(c.now, job)
	}
}

// measured runs a step of the core and records its processor time, that of the calling thread.
func (c *wideCell) measured(do func()) {
	const thisThread = 1 // RUSAGE_THREAD
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	used := func() time.Duration {
		var usage syscall.Rusage
		if err := syscall.Getrusage(thisThread, &usage); err != nil {
			c.t.Fatal(err)
		}
		return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	}
	before := used()
	do()
	took := used() - before
	c.longest = max(c.longest, took)
	c.used += took
}

// advance lets time pass: the core ticks, its rows are committed and its orders executed.
func (c *wideCell) advance(wait time.Duration) {
	c.now = c.now.Add(wait)
	c.endRuns()
	c.returnResults()
	c.answerPolls()
	var orders Orders
	c.measured(func() { orders = c.core.Tick(c.now) })
	c.deliver(orders)
	for range 100 {
		var batch *Batch
		c.measured(func() { batch = c.core.TakeBatch(storeEntries) })
		if batch.Empty() {
			break
		}
		if c.store != nil {
			if why := c.store.write(batch); why != "" {
				c.t.Fatalf("the store refuses a batch: %s", why)
			}
		}
		c.measured(func() { c.core.Committed(c.now, batch) })
		c.measured(func() { orders = c.core.TakeOrders(c.now) })
		c.deliver(orders)
	}
	if records := c.core.TakeLogRecords(); c.keepsRecords {
		c.records = append(c.records, records...)
	}
	if violations := c.core.Stats().Violations; violations > 0 {
		c.t.Fatalf("%d violations", violations)
	}
}

func (c *wideCell) endRuns() {
	for id, runs := range c.running {
		for key, endsAt := range runs {
			if !c.now.Before(endsAt) {
				c.end(id, key, EndDone)
			}
		}
	}
}

func (c *wideCell) end(id requester.HostID, key runKey, kind EndKind) {
	delete(c.running[id], key)
	c.number[id]++
	c.ends[id] = append(c.ends[id], EndedRun{Number: c.number[id], Task: key.name, Run: key.number, Kind: kind})
}

func (c *wideCell) deliver(orders Orders) {
	for _, order := range orders.Starts {
		id := order.Worker.HostID
		if c.holds[id] {
			c.held = append(c.held, order)
			continue
		}
		if c.lost[id] {
			c.after(func() { c.core.StartDone(c.now, order, OrderUnknown) })
			continue
		}
		c.running[id][runKey{order.Task, order.Run}] = c.now.Add(c.duration)
		if c.starts[order.Task.Job]++; c.starts[order.Task.Job] == 1 {
			c.startedAt[order.Task.Job] = c.now
		}
		c.lastStartAt[order.Task.Job] = c.now
		c.after(func() { c.core.StartDone(c.now, order, OrderAccepted) })
	}
	if c.hosts != nil {
		c.sendFromHosts(orders)
		orders.Stops = nil
	}
	for _, order := range orders.Stops {
		key := runKey{order.Task, order.Run}
		if c.lost[order.Worker.HostID] {
			c.after(func() { c.core.StopDone(c.now, order, OrderUnknown) })
			continue
		}
		if _, runs := c.running[order.Worker.HostID][key]; runs {
			c.end(order.Worker.HostID, key, EndStopped)
		}
		id := order.Worker.HostID
		c.stops[key]++
		c.inFlight[id]++
		c.mostStops = max(c.mostStops, c.inFlight[id])
		all := 0
		for _, count := range c.inFlight {
			all += count
		}
		c.mostAll = max(c.mostAll, all)
		c.after(func() {
			c.inFlight[id]--
			c.core.StopDone(c.now, order, OrderAccepted)
		})
	}
	c.polls = append(c.polls, orders.Polls...)
}

// after has the core told of a result once it is due.
func (c *wideCell) after(do func()) {
	c.results = append(c.results, wideResult{c.now.Add(c.latency), func() { c.measured(do) }})
	if c.latency == 0 {
		c.returnResults()
	}
}

// returnResults tells the core of the results that are due, and sends what has waited for them.
func (c *wideCell) returnResults() {
	for len(c.results) > 0 && !c.now.Before(c.results[0].at) {
		do := c.results[0].do
		c.results = c.results[1:]
		do()
	}
	if c.latency > 0 && c.core.OrdersWaiting() {
		c.deliver(c.core.TakeOrders(c.now))
	}
}

// answerPolls answers the polls that are due: a long one waits for an end.
func (c *wideCell) answerPolls() {
	waiting := c.polls
	c.polls = nil
	for _, order := range waiting {
		if order.LongPoll && len(c.ends[order.Worker.HostID]) == 0 && c.now.Sub(order.SentAt) < PollWait {
			c.polls = append(c.polls, order)
			continue
		}
		if c.lost[order.Worker.HostID] {
			c.measured(func() { c.core.PollDone(c.now, order, nil, OrderUnknown) })
			continue
		}
		report := c.report(order)
		c.measured(func() { c.core.PollDone(c.now, order, report, OrderAccepted) })
	}
}

// report returns the report of a worker, which lists up to 500 ends.
func (c *wideCell) report(order PollOrder) *Report {
	id := order.Worker.HostID
	for len(c.ends[id]) > 0 && c.ends[id][0].Number <= order.AcknowledgedEnd {
		c.ends[id] = c.ends[id][1:]
	}
	listed := c.ends[id][:min(endsPerReport, len(c.ends[id]))]
	more := len(listed) == endsPerReport
	bornAt := later(detailsNow, c.bornAt[id])
	report := &Report{Clock: WorkerTime(c.now.Sub(bornAt).Milliseconds()), BootedAt: bornAt, Ended: listed, Partial: more, More: more}
	for key, endsAt := range c.running[id] {
		percent := 100 - int(100*endsAt.Sub(c.now)/c.duration)
		report.Running = append(report.Running, RunningTask{Task: key.name, Run: key.number, Percent: percent})
	}
	return report
}

func (c *wideCell) countRunning(id requester.JobID) int {
	count := 0
	for _, runs := range c.running {
		for key := range runs {
			if key.name.Job == id {
				count++
			}
		}
	}
	return count
}

// smallStep is a step of tasks of which one worker holds thousands.
func smallStep(tasks int) Step {
	return Step{Count: tasks, Need: requester.Resources{MilliCores: 10, MemoryMB: 20}, EstimateMillis: 2000}
}

// longestStep is the most processor time that a step of the core may take: an owner renews
// its lease of 0.8 s when a quarter of it has passed, on 0.4 of a core.
const longestStep = 240 * time.Millisecond

// TestWideJobsDelayNoOthers guards against an owner that loses its lease, or leaves others
// waiting, while it places very many tasks (review/12): no step of the core takes longer than
// its lease allows, and ordinary jobs that rank after the wide ones start at once.
func TestWideJobsDelayNoOthers(t *testing.T) {
	apart := func(tasks, limit int) Step {
		step := smallStep(tasks)
		step.AntiAffinity = limit
		return step
	}
	many := func(jobs int, step Step) []Job {
		var list []Job
		for i := range jobs {
			list = append(list, jobOf(fmt.Sprintf("wide-%d", i), step))
		}
		return list
	}
	serving := smallStep(80_000)
	serving.TargetMillis = 100
	filling := smallStep(80_000)
	filling.Fills = true
	tests := []struct {
		name string
		wide []Job
	}{
		{"kept apart", many(1, apart(80_000, 1667))},
		{"several kept apart", many(8, apart(10_000, 209))},
		{"any worker", many(1, smallStep(80_000))},
		{"many jobs", many(40, smallStep(2_000))},
		{"with a target", many(1, serving)},
		{"best-effort", many(1, filling)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newWideCell(t)
			c.add(test.wide...)
			begin := c.now
			for i := range 300 {
				if i%10 == 0 && i < 200 {
					job := jobOf(fmt.Sprintf("ordinary-%d", i), stepOf(2, 2800))
					job.Priority = 1
					c.add(job)
				}
				c.advance(10 * time.Millisecond)
				if i%20 == 0 {
					checkCounts(t, c.core)
				}
			}
			for i := range 20 {
				id := requester.JobID(fmt.Sprintf("ordinary-%d", i*10))
				at := begin.Add(time.Duration(i) * 100 * time.Millisecond)
				is.Equal(c.starts[id], 2)
				is.True(c.startedAt[id].Sub(at) < 200*time.Millisecond) // an ordinary job waits
			}
			t.Logf("longest step %v, %d starts", c.longest, c.core.Stats().Starts)
			is.True(c.longest < longestStep)
		})
	}
}

// checkCounts compares what the core counts with what there is.
func checkCounts(t *testing.T, c *Core) {
	t.Helper()
	underWay := 0
	for _, w := range c.sortedWorkers {
		runs, filling, targeted, members, before := make(map[StepName]int), 0, 0, 0, underWay
		for key, r := range w.runs {
			runs[key.name.StepName]++
			filling += r.countFilling()
			if r.task != nil && r.task.step.def.TargetMillis > 0 {
				targeted++
			}
			if r.underWay && r.task.step.def.Gang {
				members++
			} else if r.underWay {
				underWay++
			}
		}
		if members != w.members || underWay-before != w.underWay || w.underWay > workerStarts+extraWorkerStarts {
			t.Fatalf("%s has %d starts under way, counted are %d", w.info.HostID, underWay-before, w.underWay)
		}
		if !maps.Equal(runs, w.stepRuns) || filling != w.filling || targeted != w.targeted {
			t.Fatalf("%s has runs %v, counted are %v; %d fill, counted are %d; %d have a target, counted are %d", w.info.HostID, runs, w.stepRuns, filling, w.filling, targeted, w.targeted)
		}
	}
	if underWay != c.underWay || underWay > maxStartsUnderWay+extraStarts {
		t.Fatalf("%d starts are under way, counted are %d", underWay, c.underWay)
	}
}
