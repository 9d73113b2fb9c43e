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

// bench is a core with idle workers, without a network: what it orders is
// carried out at once, and time passes as the test says.
type bench struct {
	core *Core
	now  time.Time
	// running are the starts that have not ended.
	running []StartOrder
	// began is when a task started last, standing those that stand still, at
	// the percentage in stuckAt. Tasks take slowness times as long as
	// estimated.
	began    map[TaskName]time.Time
	standing map[TaskName]bool
	stuckAt  map[TaskName]int
	slowness int64
	numbers  map[requester.HostID]int64
}

var benchRoom = requester.Resources{MilliCores: 8000, MemoryMB: 16000}

func newBench(workers int) *bench {
	b := &bench{now: time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC), began: make(map[TaskName]time.Time), standing: make(map[TaskName]bool), stuckAt: make(map[TaskName]int), slowness: 1, numbers: make(map[requester.HostID]int64)}
	b.core = New(Options{Epoch: 1}, b.now)
	var infos []WorkerInfo
	for i := range workers {
		infos = append(infos, WorkerInfo{
			HostID: requester.HostID(fmt.Sprintf("w%03d", i)), Service: "service", Total: benchRoom, BootedAt: b.now,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
		})
	}
	b.core.SetWorkers(b.now, infos)
	b.step(0)
	b.step(0)
	return b
}

// step lets time pass, carries out what is ordered and stores what has changed.
func (b *bench) step(wait time.Duration) []StartOrder {
	b.now = b.now.Add(wait)
	b.save()
	orders := b.core.Tick(b.now)
	for _, order := range orders.Polls {
		report := &Report{Clock: WorkerTime(b.now.Sub(order.Worker.BootedAt).Milliseconds()), BootedAt: order.Worker.BootedAt}
		for _, start := range b.running {
			if start.Worker.HostID == order.Worker.HostID {
				report.Running = append(report.Running, b.report(start))
			}
		}
		b.core.PollDone(b.now, order, report, OrderAccepted)
	}
	for _, order := range orders.Starts {
		b.running = append(b.running, order)
		b.began[order.Task] = b.now
		b.core.StartDone(b.now, order, OrderAccepted)
	}
	return orders.Starts
}

// report is a worker's account of a run.
func (b *bench) report(start StartOrder) RunningTask {
	running := RunningTask{Task: start.Task, Run: start.Run, Percent: b.stuckAt[start.Task]}
	if t := b.core.findTask(start.Task); t != nil && !b.standing[start.Task] {
		running.Percent = min(99, int(b.now.Sub(b.began[start.Task]).Milliseconds()*100/max(1, b.slowness*t.step.def.EstimateMillis)))
	}
	return running
}

// settle takes two steps, so that what was added is stored and placed.
func (b *bench) settle() []StartOrder {
	starts := b.step(0)
	return append(starts, b.step(50*time.Millisecond)...)
}

func (b *bench) save() {
	if batch := b.core.TakeBatch(1000); !batch.Empty() {
		b.core.Committed(b.now, batch)
	}
}

// end ends the run of a task.
func (b *bench) end(start StartOrder, kind EndKind) {
	host := start.Worker.HostID
	b.numbers[host]++
	report := &Report{
		Clock: WorkerTime(b.now.Sub(start.Worker.BootedAt).Milliseconds()), BootedAt: start.Worker.BootedAt,
		Ended: []EndedRun{{Number: b.numbers[host], Task: start.Task, Run: start.Run, Kind: kind}},
	}
	kept := b.running[:0]
	for _, other := range b.running {
		if other.Task == start.Task {
			continue
		}
		kept = append(kept, other)
		if other.Worker.HostID == host {
			report.Running = append(report.Running, b.report(other))
		}
	}
	b.running = kept
	b.core.PollDone(b.now, PollOrder{Worker: start.Worker, SentAt: b.now}, report, OrderAccepted)
	b.save()
}

func (b *bench) add(id string, policy Policy, steps ...Step) {
	policy.Service = "service"
	if policy.MaxAttempts == 0 {
		policy.MaxAttempts = 3
	}
	b.core.Add(b.now, Job{JobID: requester.JobID(id), Queue: "queue", Policy: policy, Steps: steps, AcceptedAt: b.now})
}

func cores(count int, milli int64) Step {
	return Step{Count: count, Need: requester.Resources{MilliCores: milli, MemoryMB: 100}, EstimateMillis: 1000}
}

// TestUrgency: what can still be in time comes first, then what can be late.
func TestUrgency(t *testing.T) {
	tests := []struct {
		name   string
		waited time.Duration
		want   int
	}{
		{"new", 0, 0},
		{"just in time", 1500 * time.Millisecond, 0},
		{"late", 1501 * time.Millisecond, 1},
		{"just worth something", 6500 * time.Millisecond, 1},
		{"worth nothing", 6501 * time.Millisecond, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(0)
			// An objective of 2 x 1 s and 0.5 s more.
			b.add("a", Policy{Stretch: 2, ObjectiveMillis: 500}, cores(1, 1000))
			s := b.core.jobs["a"].occurrences[0].steps[0]
			is.Equal(s.urgencyOf(b.now.Add(test.waited)).tier, test.want)
		})
	}
}

// TestOrderUnderOverload replays a burst of three kinds beyond the room there
// is: by priority, but nothing that is late goes before what can be in time.
func TestOrderUnderOverload(t *testing.T) {
	is := is.New(t)
	b := newBench(1)
	b.add("old", Policy{Priority: 0, Stretch: 1, ObjectiveMillis: 100}, cores(1, 8000))
	b.now = b.now.Add(2 * time.Second)
	b.add("light", Policy{Priority: 0, Stretch: 2, ObjectiveMillis: 5000}, cores(1, 8000))
	b.add("heavy", Policy{Priority: 1, Stretch: 2, ObjectiveMillis: 5000}, cores(1, 8000))
	var order []requester.JobID
	for range 3 {
		starts := b.settle()
		is.Equal(len(starts), 1)
		order = append(order, starts[0].Task.Job)
		b.end(starts[0], EndDone)
	}
	is.Equal(order, []requester.JobID{"light", "heavy", "old"})
}

// TestGangWhole: a gang starts whole or not at all, and smaller work may pass.
func TestGangWhole(t *testing.T) {
	is := is.New(t)
	b := newBench(2)
	gang := cores(3, 5000)
	gang.Gang = true
	b.add("gang", Policy{Stretch: 9}, gang)
	b.add("small", Policy{Stretch: 9, Priority: 2}, cores(2, 1000))
	for _, start := range b.settle() {
		is.Equal(start.Task.Job, requester.JobID("small"))
	}
	is.Equal(len(b.running), 2)
}

// TestAskedWorkers: questions name as many workers as a step is likely to
// need, those with room first. A gang waits for workers to come free, so it
// asks about all that it may need at once, the full ones last.
func TestAskedWorkers(t *testing.T) {
	tests := []struct {
		name string
		step Step
		// want is how many workers each question names.
		want []int
	}{
		{"a small step", cores(2, 1000), []int{minAsked}},
		{"a wide step of small tasks", cores(40, 1000), []int{25}},
		{"a narrow gang", Step{Count: 4, Gang: true, Need: requester.Resources{MilliCores: 5000, MemoryMB: 100}}, []int{maxAsked}},
		{"a wide gang", Step{Count: 30, Gang: true, Need: requester.Resources{MilliCores: 5000, MemoryMB: 100}}, []int{maxAsked, 50}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(150)
			b.add("full", Policy{}, cores(1, 8000))
			full := b.settle()
			is.Equal(len(full), 1)
			b.add("asked", Policy{Advice: &Advice{DecideMillis: 10, WorkerMillis: 1, ValidMillis: 1500}}, test.step)
			b.step(10 * time.Millisecond)
			var got []int
			var asked []requester.HostID
			for _, order := range b.core.Advise(b.now, AdviceRoom{Any: 5}) {
				got = append(got, len(order.Workers))
				asked = append(asked, order.Workers...)
			}
			is.Equal(got, test.want)
			at := slices.Index(asked, full[0].Worker.HostID)
			is.True(at < 0 || at == len(asked)-1) // it has no room
			slices.Sort(asked)
			is.Equal(len(slices.Compact(asked)), sum(test.want)) // none is asked about twice
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

// TestAdviceUnderLoad: while entries ask long questions only, short ones go on;
// and the busier the entries, the fewer workers a gang asks about.
func TestAdviceUnderLoad(t *testing.T) {
	is := is.New(t)
	b := newBench(100)
	long := Policy{Priority: 1, Stretch: 9, Advice: &Advice{DecideMillis: 400, WorkerMillis: 5, ValidMillis: 1500}}
	short := Policy{Priority: 2, Stretch: 9, Advice: &Advice{DecideMillis: 10, WorkerMillis: 1, ValidMillis: 1500}}
	wide := Step{Count: 4, Gang: true, Need: requester.Resources{MilliCores: 8000, MemoryMB: 100}, EstimateMillis: 1000}
	for i := range 6 {
		b.add(fmt.Sprintf("long-%d", i), long, wide)
	}
	b.add("short", short, cores(1, 1000))
	b.step(10 * time.Millisecond)
	b.step(10 * time.Millisecond)
	asked := func(room AdviceRoom) (orders []AdviceRequest, workers int) {
		orders = b.core.Advise(b.now, room)
		for _, order := range orders {
			workers = max(workers, len(order.Workers))
		}
		return orders, workers
	}
	orders, idle := asked(AdviceRoom{Any: 2, Short: 1})
	is.Equal(len(orders), 3)
	is.True(orders[0].Long() && orders[1].Long() && !orders[2].Long())
	is.Equal(orders[2].Step.Job, requester.JobID("short"))
	b.core.Advise(b.now, AdviceRoom{Any: 1}) // 3 of 3 are busy now
	orders, busy := asked(AdviceRoom{Any: 1})
	is.Equal(len(orders), 1)
	is.True(busy < idle)
	orders, _ = asked(AdviceRoom{Short: 1})
	is.Equal(len(orders), 0) // all that is left would take long
}

// TestBlockedGangAsksNothing replays gangs that wait for room: their tickets
// age, and renewing them before there is room would keep the service busy.
func TestBlockedGangAsksNothing(t *testing.T) {
	is := is.New(t)
	b := newBench(3)
	long := cores(2, 8000)
	long.EstimateMillis = 10_000
	b.add("full", Policy{}, long)
	full := b.settle()
	is.Equal(len(full), 2)
	gang := cores(2, 8000)
	gang.Gang = true
	b.add("gang", Policy{Stretch: 9, Advice: &Advice{DecideMillis: 10, WorkerMillis: 1, ValidMillis: 300}}, gang)
	b.step(10 * time.Millisecond)
	orders := b.core.Advise(b.now, AdviceRoom{Any: 5})
	is.Equal(len(orders), 1)
	var tickets []Ticket
	for _, id := range orders[0].Workers {
		tickets = append(tickets, Ticket{Worker: id, Text: "t"})
	}
	b.core.Advised(b.now, orders[0], tickets, false)
	for range 20 {
		b.step(100 * time.Millisecond)
		is.Equal(len(b.core.Advise(b.now, AdviceRoom{Any: 5})), 0) // one worker is free, two are needed
	}
	b.end(full[0], EndDone)
	b.step(100 * time.Millisecond)
	orders = b.core.Advise(b.now, AdviceRoom{Any: 5})
	is.Equal(len(orders), 1)
	is.Equal(len(orders[0].Workers), 2) // just those with room
}

// TestFailingWorker: a worker on which jobs fail in a row rests, and a gang
// whose task failed there goes elsewhere if it can.
func TestFailingWorker(t *testing.T) {
	is := is.New(t)
	b := newBench(2)
	gang := cores(1, 1000)
	gang.Gang = true
	b.add("gang", Policy{Stretch: 9}, gang)
	first := b.settle()
	is.Equal(len(first), 1)
	b.end(first[0], EndFailed)
	second := b.settle()
	is.Equal(len(second), 1)
	is.True(second[0].Worker.HostID != first[0].Worker.HostID)

	w := b.core.workers[first[0].Worker.HostID]
	for i := range failuresToSuspend - 1 {
		is.True(w.eligible(b.now))
		b.core.recordWorkerFailure(w, requester.JobID(fmt.Sprint("job", i)))
	}
	is.True(!w.eligible(b.now))
	is.True(b.core.Stats().WorkersRested == 1)
}

// TestLookFromBeforeAStop: answers on different connections overtake each
// other. A look that was sent before a stop was confirmed says nothing of an
// order that was carried out late.
func TestLookFromBeforeAStop(t *testing.T) {
	is := is.New(t)
	b := newBench(1)
	b.add("job", Policy{Stretch: 9}, cores(1, 8000))
	b.save()
	orders := b.core.Tick(b.now)
	is.Equal(len(orders.Starts), 1)
	start := orders.Starts[0]
	b.core.StartDone(b.now, start, OrderUnknown)
	report := &Report{Clock: 1000, BootedAt: start.Worker.BootedAt}
	early := PollOrder{Worker: start.Worker, SentAt: b.now}
	b.core.PollDone(b.now, early, report, OrderAccepted) // not there: a stop is sent
	b.now = b.now.Add(50 * time.Millisecond)
	stops := b.core.Tick(b.now).Stops
	is.Equal(len(stops), 1)
	b.core.StopDone(b.now, stops[0], OrderAccepted)
	b.core.PollDone(b.now, early, report, OrderAccepted)
	is.Equal(len(b.core.workers[start.Worker.HostID].runs), 1) // it may be stopping still
	b.core.PollDone(b.now, PollOrder{Worker: start.Worker, SentAt: b.now}, report, OrderAccepted)
	is.Equal(len(b.core.workers[start.Worker.HostID].runs), 0)
}

// TestOneLookForAnEnd: a worker that has told of an end is looked at again once
// that is stored, to confirm it and to wait for the next; or after a while, if
// storing it takes long.
func TestOneLookForAnEnd(t *testing.T) {
	is := is.New(t)
	b := newBench(1)
	b.add("job", Policy{Stretch: 9}, cores(2, 1000))
	starts := b.settle()
	is.Equal(len(starts), 2)
	b.now = b.now.Add(time.Second)
	report := &Report{
		Clock: 1000, BootedAt: starts[0].Worker.BootedAt, Running: []RunningTask{b.report(starts[1])},
		Ended: []EndedRun{{Number: 1, Task: starts[0].Task, Run: starts[0].Run, Kind: EndDone}},
	}
	look := PollOrder{Worker: starts[0].Worker, SentAt: b.now}
	b.core.PollDone(b.now, look, report, OrderAccepted)
	b.now = b.now.Add(30 * time.Millisecond)
	is.Equal(len(b.core.Tick(b.now).Polls), 0) // the end isn't stored
	b.save()
	looks := b.core.Tick(b.now).Polls
	is.Equal(len(looks), 1)
	is.Equal(looks[0].AcknowledgedEnd, int64(1))
	is.True(looks[0].LongPoll)

	report.Ended = append(report.Ended, EndedRun{Number: 2, Task: starts[1].Task, Run: starts[1].Run, Kind: EndDone})
	report.Running = nil
	b.core.PollDone(b.now, look, report, OrderAccepted)
	b.now = b.now.Add(commitWait)
	looks = b.core.Tick(b.now).Polls
	is.Equal(len(looks), 1)
	is.Equal(looks[0].AcknowledgedEnd, int64(1))
	is.True(!looks[0].LongPoll) // there is an end to be listed
}
