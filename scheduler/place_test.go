package scheduler

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// harness runs a core with idle workers and no network. Orders are executed and
// accepted at once, and time passes only in the method advance.
type harness struct {
	core *Core
	now  time.Time
	// stored has the values of the committed rows; nil for those that were removed.
	stored map[string][]byte
	// running lists the accepted starts whose runs have not ended.
	running []StartOrder
	// startedAt is when each task last started.
	startedAt map[TaskName]time.Time
	// stalled holds the tasks that make no progress; they report the
	// percentage in stalledPercent.
	stalled        map[TaskName]bool
	stalledPercent map[TaskName]int
	// slowdown is the factor by which tasks exceed their estimates.
	slowdown int64
	// lastEnds is the number of the last end reported by each worker.
	lastEnds map[requester.HostID]int64
}

var workerTotal = requester.Resources{MilliCores: 8000, MemoryMB: 16000}

func newHarness(workers int) *harness {
	h := &harness{now: time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC), stored: make(map[string][]byte), startedAt: make(map[TaskName]time.Time), stalled: make(map[TaskName]bool), stalledPercent: make(map[TaskName]int), slowdown: 1, lastEnds: make(map[requester.HostID]int64)}
	h.core = New(Options{Epoch: 1}, h.now)
	var infos []WorkerInfo
	for i := range workers {
		infos = append(infos, WorkerInfo{
			HostID: requester.HostID(fmt.Sprintf("w%03d", i)), Service: "service", Total: workerTotal, BootedAt: h.now,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
		})
	}
	h.core.SetWorkers(h.now, infos)
	h.advance(0)
	h.advance(0)
	return h
}

// advance lets time pass, commits the changed rows, executes the orders and
// returns the starts.
func (h *harness) advance(wait time.Duration) []StartOrder {
	h.now = h.now.Add(wait)
	h.commit()
	orders := h.issue()
	for _, order := range orders.Polls {
		report := &Report{Clock: h.clock(order.Worker), BootedAt: order.Worker.BootedAt}
		for _, start := range h.running {
			if start.Worker.HostID == order.Worker.HostID {
				report.Running = append(report.Running, h.report(start))
			}
		}
		h.core.PollDone(h.now, order, report, OrderAccepted)
	}
	for _, order := range orders.Starts {
		h.running = append(h.running, order)
		h.startedAt[order.Task] = h.now
		h.core.StartAccepted(h.now, order, h.clock(order.Worker))
	}
	return orders.Starts
}

// issue returns the orders of a tick. Starts that it intends are committed at once, and
// issued by another tick.
func (h *harness) issue() Orders { return h.issueAfter(h.commit) }

// issueAfter returns the orders of a tick, and of another one after a commit if there are
// starts that wait for it.
func (h *harness) issueAfter(commit func()) Orders {
	orders := h.core.Tick(h.now)
	if h.core.countIntended() == 0 {
		return orders
	}
	commit()
	more := h.core.Tick(h.now)
	orders.Starts = append(orders.Starts, more.Starts...)
	orders.Stops = append(orders.Stops, more.Stops...)
	orders.Polls = append(orders.Polls, more.Polls...)
	orders.Paces = append(orders.Paces, more.Paces...)
	return orders
}

// report returns the worker's report of a run.
func (h *harness) report(start StartOrder) RunningTask {
	running := RunningTask{Task: start.Task, Run: start.Run, Percent: h.stalledPercent[start.Task]}
	if t := h.core.findTask(start.Task); t != nil && !h.stalled[start.Task] {
		running.Percent = min(99, int(h.now.Sub(h.startedAt[start.Task]).Milliseconds()*100/max(1, h.slowdown*t.step.def.EstimateMillis)))
	}
	return running
}

// settle advances twice, so that what was added is first committed and then
// placed.
func (h *harness) settle() []StartOrder {
	starts := h.advance(0)
	return append(starts, h.advance(50*time.Millisecond)...)
}

func (h *harness) commit() {
	batch := h.core.TakeBatch(1000)
	if batch.Empty() {
		return
	}
	for _, write := range batch.Writes {
		h.stored[write.Key] = write.Value
	}
	h.core.Committed(h.now, batch)
}

// runningHarness returns a core of so many workers, on which the tasks of a step have run for
// a second, and their starts.
func runningHarness(t *testing.T, workers int, s Step) (*harness, []StartOrder) {
	t.Helper()
	h := newHarness(workers)
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, s)
	starts := h.settle()
	is.New(t).Equal(len(starts), s.Count)
	h.advance(time.Second)
	return h, starts
}

// endRun reports that the run of a task has ended, and commits the result.
func (h *harness) endRun(start StartOrder, kind EndKind) {
	host := start.Worker.HostID
	h.lastEnds[host]++
	report := &Report{
		Clock: h.clock(start.Worker), BootedAt: start.Worker.BootedAt,
		Ended: []EndedRun{{Number: h.lastEnds[host], Task: start.Task, Run: start.Run, Kind: kind}},
	}
	kept := h.running[:0]
	for _, other := range h.running {
		if other.Task == start.Task {
			continue
		}
		kept = append(kept, other)
		if other.Worker.HostID == host {
			report.Running = append(report.Running, h.report(other))
		}
	}
	h.running = kept
	h.core.PollDone(h.now, PollOrder{Worker: start.Worker, Fence: start.Fence, SentAt: h.now}, report, OrderAccepted)
	h.commit()
}

func (h *harness) add(id string, policy Policy, steps ...Step) {
	policy.Service = "service"
	if policy.MaxAttempts == 0 {
		policy.MaxAttempts = 3
	}
	h.core.Add(h.now, Job{JobID: requester.JobID(id), Queue: "queue", Policy: policy, Steps: steps, AcceptedAt: h.now})
}

// stepOf returns a step of count tasks, each of which needs milli millicores.
func stepOf(count int, milli int64) Step {
	return Step{Count: count, Need: requester.Resources{MilliCores: milli, MemoryMB: 100}, EstimateMillis: 1000}
}

// TestUrgency checks the tiers: steps that can still be in time come first,
// then those that can be late, then those without value.
func TestUrgency(t *testing.T) {
	tests := []struct {
		name   string
		waited time.Duration
		want   int
	}{
		{"new", 0, 0},
		{"just in time", 1500 * time.Millisecond, 0},
		{"late", 1501 * time.Millisecond, 1},
		{"late, still of value", 6500 * time.Millisecond, 1},
		{"without value", 6501 * time.Millisecond, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(0)
			// The objective is 2 x 1 s + 0.5 s.
			h.add("a", Policy{Stretch: 2, ObjectiveMillis: 500}, stepOf(1, 1000))
			s := h.core.jobs["a"].occurrences[0].steps[0]
			is.Equal(s.rankAt(h.now.Add(test.waited)).tier, test.want)
		})
	}
}

// TestOrderUnderOverload submits three kinds of jobs beyond the capacity. They
// must start by priority, but a late job must not start before one that can be
// in time.
func TestOrderUnderOverload(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("old", Policy{Priority: 0, Stretch: 1, ObjectiveMillis: 100}, stepOf(1, 8000))
	h.now = h.now.Add(2 * time.Second)
	h.add("light", Policy{Priority: 0, Stretch: 2, ObjectiveMillis: 5000}, stepOf(1, 8000))
	h.add("heavy", Policy{Priority: 1, Stretch: 2, ObjectiveMillis: 5000}, stepOf(1, 8000))
	var order []requester.JobID
	for range 3 {
		starts := h.settle()
		is.Equal(len(starts), 1)
		order = append(order, starts[0].Task.Job)
		h.endRun(starts[0], EndDone)
	}
	is.Equal(order, []requester.JobID{"light", "heavy", "old"})
}

// TestGangWhole checks that a gang that does not fit starts none of its tasks,
// and that smaller tasks start meanwhile.
func TestGangWhole(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	gang := stepOf(3, 5000)
	gang.Gang = true
	h.add("gang", Policy{Stretch: 9}, gang)
	h.add("small", Policy{Stretch: 9, Priority: 2}, stepOf(2, 1000))
	for _, start := range h.settle() {
		is.Equal(start.Task.Job, requester.JobID("small"))
	}
	is.Equal(len(h.running), 2)
}

// TestAskedWorkers checks that advice requests name as many workers as a step
// is likely to need, those with capacity first. A gang waits for workers to
// become free, so it requests advice on all that it may need at once, the full
// ones last.
func TestAskedWorkers(t *testing.T) {
	tests := []struct {
		name string
		step Step
		// want is how many workers each request names.
		want []int
	}{
		{"a small step", stepOf(2, 1000), []int{minAdviceWorkers}},
		{"a wide step of small tasks", stepOf(40, 1000), []int{25}},
		{"a narrow gang", Step{Count: 4, Gang: true, Need: requester.Resources{MilliCores: 5000, MemoryMB: 100}}, []int{maxAdviceWorkers}},
		{"a wide gang", Step{Count: 30, Gang: true, Need: requester.Resources{MilliCores: 5000, MemoryMB: 100}}, []int{maxAdviceWorkers, 50}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(150)
			h.add("full", Policy{}, stepOf(1, 8000))
			full := h.settle()
			is.Equal(len(full), 1)
			h.add("asked", Policy{Advice: &Advice{DecideMillis: 10, WorkerMillis: 1, ValidMillis: 1500}}, test.step)
			h.advance(10 * time.Millisecond)
			var got []int
			var requested []requester.HostID
			for _, order := range h.core.RequestAdvice(h.now, AdviceCapacity{Any: 5}) {
				got = append(got, len(order.Workers))
				requested = append(requested, order.Workers...)
			}
			is.Equal(got, test.want)
			at := slices.Index(requested, full[0].Worker.HostID)
			is.True(at < 0 || at == len(requested)-1) // the full worker comes last, if at all
			slices.Sort(requested)
			is.Equal(len(slices.Compact(requested)), sum(test.want)) // no worker is requested twice
		})
	}
}

func sum(numbers []int) int {
	total := 0
	for _, n := range numbers {
		total += n
	}
	return total
}

// TestAdviceUnderLoad checks that short requests are sent while all capacity
// for long ones is in use, and that the requests of gangs name fewer workers
// the more of that capacity is in use.
func TestAdviceUnderLoad(t *testing.T) {
	is := is.New(t)
	h := newHarness(100)
	long := Policy{Priority: 1, Stretch: 9, Advice: &Advice{DecideMillis: 400, WorkerMillis: 5, ValidMillis: 1500}}
	short := Policy{Priority: 2, Stretch: 9, Advice: &Advice{DecideMillis: 10, WorkerMillis: 1, ValidMillis: 1500}}
	wide := Step{Count: 4, Gang: true, Need: requester.Resources{MilliCores: 8000, MemoryMB: 100}, EstimateMillis: 1000}
	for i := range 6 {
		h.add(fmt.Sprintf("long-%d", i), long, wide)
	}
	h.add("short", short, stepOf(1, 1000))
	h.advance(10 * time.Millisecond)
	h.advance(10 * time.Millisecond)
	request := func(capacity AdviceCapacity) (orders []AdviceRequest, workers int) {
		orders = h.core.RequestAdvice(h.now, capacity)
		for _, order := range orders {
			workers = max(workers, len(order.Workers))
		}
		return orders, workers
	}
	orders, idle := request(AdviceCapacity{Any: 2, Short: 1})
	is.Equal(len(orders), 3)
	is.True(orders[0].Long() && orders[1].Long() && !orders[2].Long())
	is.Equal(orders[2].Step.Job, requester.JobID("short"))
	h.core.RequestAdvice(h.now, AdviceCapacity{Any: 1}) // 3 of 3 long requests are in flight now
	orders, busy := request(AdviceCapacity{Any: 1})
	is.Equal(len(orders), 1)
	is.True(busy < idle)
	orders, _ = request(AdviceCapacity{Short: 1})
	is.Equal(len(orders), 0) // only long requests are left
}

// TestBlockedGangAsksNothing has a gang that waits for capacity while its
// tickets expire. Renewing them before there is capacity would only load the
// advice service.
func TestBlockedGangAsksNothing(t *testing.T) {
	is := is.New(t)
	h := newHarness(3)
	long := stepOf(2, 8000)
	long.EstimateMillis = 10_000
	h.add("full", Policy{}, long)
	full := h.settle()
	is.Equal(len(full), 2)
	gang := stepOf(2, 8000)
	gang.Gang = true
	h.add("gang", Policy{Stretch: 9, Advice: &Advice{DecideMillis: 10, WorkerMillis: 1, ValidMillis: 300}}, gang)
	h.advance(10 * time.Millisecond)
	orders := h.core.RequestAdvice(h.now, AdviceCapacity{Any: 5})
	is.Equal(len(orders), 1)
	var tickets []Ticket
	for _, id := range orders[0].Workers {
		tickets = append(tickets, Ticket{Worker: id, Text: "t"})
	}
	h.core.AdviceDone(h.now, orders[0], tickets, false)
	for range 20 {
		h.advance(100 * time.Millisecond)
		is.Equal(len(h.core.RequestAdvice(h.now, AdviceCapacity{Any: 5})), 0) // one worker is free, two are needed
	}
	h.endRun(full[0], EndDone)
	h.advance(100 * time.Millisecond)
	orders = h.core.RequestAdvice(h.now, AdviceCapacity{Any: 5})
	is.Equal(len(orders), 1)
	is.Equal(len(orders[0].Workers), 2) // just those with capacity
}

// TestFailingWorker checks that a worker on which several jobs fail in a row is
// suspended, and that a gang avoids a worker on which one of its tasks failed.
func TestFailingWorker(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	gang := stepOf(1, 1000)
	gang.Gang = true
	h.add("gang", Policy{Stretch: 9}, gang)
	first := h.settle()
	is.Equal(len(first), 1)
	h.endRun(first[0], EndFailed)
	second := h.settle()
	is.Equal(len(second), 1)
	is.True(second[0].Worker.HostID != first[0].Worker.HostID)

	w := h.core.workers[first[0].Worker.HostID]
	for i := range failuresToSuspend - 1 {
		is.True(w.eligible(h.now))
		h.core.recordWorkerFailure(w, requester.JobID(fmt.Sprint("job", i)))
	}
	is.True(!w.eligible(h.now))
	is.True(h.core.Stats().WorkersRested == 1)
}

// TestLookFromBeforeAStop guards against responses that overtake each other on
// different connections. The response to a poll that was sent before the worker
// acknowledged a stop does not prove that a delayed start order was never
// executed.
func TestLookFromBeforeAStop(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("job", Policy{Stretch: 9}, stepOf(1, 8000))
	h.commit()
	orders := h.issue()
	is.Equal(len(orders.Starts), 1)
	start := orders.Starts[0]
	h.core.StartDone(h.now, start, OrderUnknown)
	report := &Report{Clock: 1000, BootedAt: start.Worker.BootedAt}
	earlyPoll := PollOrder{Worker: start.Worker, Fence: start.Fence, SentAt: h.now}
	h.core.PollDone(h.now, earlyPoll, report, OrderAccepted) // the run is not reported, so a stop is sent
	h.now = h.now.Add(50 * time.Millisecond)
	stops := h.issue().Stops
	is.Equal(len(stops), 1)
	h.core.StopDone(h.now, stops[0], OrderAccepted)
	h.core.PollDone(h.now, earlyPoll, report, OrderAccepted)
	is.Equal(len(h.core.workers[start.Worker.HostID].runs), 1) // the run may still be stopping
	h.core.PollDone(h.now, PollOrder{Worker: start.Worker, Fence: start.Fence, SentAt: h.now}, report, OrderAccepted)
	is.Equal(len(h.core.workers[start.Worker.HostID].runs), 0)
}

// TestOneLookForAnEnd checks that a worker that has reported an end is polled
// once the end is committed, to acknowledge it and wait for the next. If the
// commit takes long, the worker is polled after a short delay, without waiting
// for the next end.
func TestOneLookForAnEnd(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("job", Policy{Stretch: 9}, stepOf(2, 1000))
	starts := h.settle()
	is.Equal(len(starts), 2)
	h.now = h.now.Add(time.Second)
	report := &Report{
		Clock: 1000, BootedAt: starts[0].Worker.BootedAt, Running: []RunningTask{h.report(starts[1])},
		Ended: []EndedRun{{Number: 1, Task: starts[0].Task, Run: starts[0].Run, Kind: EndDone}},
	}
	poll := PollOrder{Worker: starts[0].Worker, Fence: starts[0].Fence, SentAt: h.now}
	h.core.PollDone(h.now, poll, report, OrderAccepted)
	h.now = h.now.Add(30 * time.Millisecond)
	is.Equal(len(h.issue().Polls), 0) // the end is not committed yet
	h.commit()
	polls := h.issue().Polls
	is.Equal(len(polls), 1)
	is.Equal(polls[0].AcknowledgedEnd, int64(1))
	is.True(polls[0].LongPoll)

	report.Ended = append(report.Ended, EndedRun{Number: 2, Task: starts[1].Task, Run: starts[1].Run, Kind: EndDone})
	report.Running = nil
	h.core.PollDone(h.now, poll, report, OrderAccepted)
	h.now = h.now.Add(commitWait)
	polls = h.issue().Polls
	is.Equal(len(polls), 1)
	is.Equal(polls[0].AcknowledgedEnd, int64(1))
	is.True(!polls[0].LongPoll) // an end is not acknowledged yet
}
