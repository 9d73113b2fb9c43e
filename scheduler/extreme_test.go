package scheduler

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"kumquatstall/requester"
)

// extremeCell is a core with a good worker, which follows the protocol, and odd
// ones, whose entries and reports have any values.
type extremeCell struct {
	t    *testing.T
	draw *drawer
	core *Core
	now  time.Time
	// running are the runs on the good worker, ends its ends that are not
	// acknowledged.
	running map[runKey]time.Time
	ends    []EndedRun
	number  int64
}

// drawer draws values from a fuzzer's input, and 0 once that is used up.
type drawer struct{ data []byte }

func (d *drawer) int(n int) int {
	if len(d.data) == 0 {
		return 0
	}
	value := int(d.data[0]) % n
	d.data = d.data[1:]
	return value
}

var extremes = []int64{0, 1, -1, 2, 100, 1000, 8000, 1 << 31, 1 << 40, 1 << 53, 1 << 62, math.MaxInt64, math.MinInt64, -8000}

func (d *drawer) value() int64 { return extremes[d.int(len(extremes))] }

func (d *drawer) time(now time.Time) time.Time {
	switch d.int(6) {
	case 0:
		return time.Time{}
	case 1:
		return now
	case 2:
		return time.UnixMilli(d.value())
	case 3:
		return now.Add(time.Duration(d.value()))
	case 4:
		return now.AddDate(1000, 0, 0)
	}
	return now.Add(-time.Hour)
}

const (
	goodHost     = requester.HostID("m-good")
	extremeSteps = 150
)

func (c *extremeCell) infos() []WorkerInfo {
	good := WorkerInfo{
		HostID: goodHost, Service: "service", Address: netip.MustParseAddrPort("127.0.0.1:1"), Labels: []string{"good"},
		Total: requester.Resources{MilliCores: 8000, MemoryMB: 16000}, BootedAt: time.Unix(1, 0),
	}
	infos := []WorkerInfo{good}
	for i := range c.draw.int(4) {
		host := requester.HostID([]string{"a", "m-odd", "z", ""}[i])
		info := WorkerInfo{
			HostID: host, Service: "service", Address: netip.MustParseAddrPort("127.0.0.1:2"),
			Total:    requester.Resources{MilliCores: c.draw.value(), MemoryMB: c.draw.value(), Accelerators: c.draw.value()},
			BootedAt: c.draw.time(c.now), Leaving: c.draw.int(3) == 1, Rack: []string{"", "r1"}[c.draw.int(2)],
		}
		if c.draw.int(4) == 1 {
			info.Address = netip.AddrPort{}
		}
		if info.Leaving {
			info.LeavesAt = c.draw.time(c.now)
		}
		infos = append(infos, info)
	}
	return infos
}

// task returns the name of any task but those of the good job: an owner has to
// believe a worker that it runs a task which a previous owner may have started.
func (c *extremeCell) task() TaskName {
	jobs := []requester.JobID{"odd-job", "gang", "unknown", ""}
	name := TaskName{StepName: StepName{Job: jobs[c.draw.int(len(jobs))]}}
	if c.draw.int(3) == 1 {
		name.Occurrence, name.Step, name.Index = c.draw.value(), int(c.draw.value()), int(c.draw.value())
	} else {
		name.Index = c.draw.int(4)
	}
	return name
}

// oddReport returns a report with any values.
func (c *extremeCell) oddReport() *Report {
	report := &Report{Clock: WorkerTime(c.draw.value()), BootedAt: c.draw.time(c.now), Partial: c.draw.int(4) == 1}
	if c.draw.int(4) == 1 {
		report.Withheld = c.draw.value()
	}
	for range c.draw.int(4) {
		report.Running = append(report.Running, RunningTask{Task: c.task(), Run: RunNumber(c.draw.value()), Checkpoint: "c", Percent: int(c.draw.value())})
	}
	for range c.draw.int(4) {
		report.Ended = append(report.Ended, EndedRun{Number: c.draw.value(), Task: c.task(), Run: RunNumber(c.draw.value()), Kind: EndKind(c.draw.int(9) - 1)})
	}
	return report
}

// goodReport returns the good worker's report at its clock.
func (c *extremeCell) goodReport(order PollOrder) *Report {
	for len(c.ends) > 0 && c.ends[0].Number <= order.AcknowledgedEnd {
		c.ends = c.ends[1:]
	}
	report := &Report{Clock: WorkerTime(c.now.UnixMilli()), BootedAt: time.Unix(1, 0)}
	for _, key := range c.runningKeys() {
		endsAt := c.running[key]
		if c.now.Before(endsAt) {
			report.Running = append(report.Running, RunningTask{Task: key.name, Run: key.number, Percent: 50})
			continue
		}
		delete(c.running, key)
		c.number++
		c.ends = append(c.ends, EndedRun{Number: c.number, Task: key.name, Run: key.number, Kind: EndDone})
	}
	report.Ended = c.ends
	return report
}

// runningKeys returns the runs on the good worker in a fixed order.
func (c *extremeCell) runningKeys() []runKey {
	keys := make([]runKey, 0, len(c.running))
	for key := range c.running {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b runKey) int {
		return cmp.Or(cmp.Compare(a.name.Job, b.name.Job), cmp.Compare(a.name.Index, b.name.Index), cmp.Compare(a.number, b.number))
	})
	return keys
}

func (c *extremeCell) deliver(orders Orders) {
	for _, order := range orders.Starts {
		if order.Worker.HostID == goodHost {
			c.running[runKey{order.Task, order.Run}] = c.now.Add(200 * time.Millisecond)
			c.core.StartDone(c.now, order, OrderAccepted)
			continue
		}
		c.core.StartDone(c.now, order, OrderResult(c.draw.int(int(OrderInvalid)+1)).withoutFence())
	}
	for _, order := range orders.Stops {
		if order.Worker.HostID == goodHost {
			delete(c.running, runKey{order.Task, order.Run})
			c.core.StopDone(c.now, order, OrderAccepted)
			continue
		}
		c.core.StopDone(c.now, order, OrderResult(c.draw.int(int(OrderOtherIncarnation)+1)).withoutFence())
	}
	for _, order := range orders.Polls {
		if order.Worker.HostID == goodHost {
			c.core.PollDone(c.now, order, c.goodReport(order), OrderAccepted)
			continue
		}
		if c.draw.int(4) == 1 {
			c.core.PollDone(c.now, order, nil, OrderUnknown)
			continue
		}
		c.core.PollDone(c.now, order, c.oddReport(), OrderAccepted)
	}
}

// withoutFence replaces OrderFenced, by which a worker proves that there is a
// later owner.
func (r OrderResult) withoutFence() OrderResult {
	if r == OrderFenced {
		return OrderUnknown
	}
	return r
}

// check checks what holds between any two steps.
func (c *extremeCell) check() {
	if violations := c.core.Stats().Violations; violations > 0 {
		c.t.Fatalf("got %d violations", violations)
	}
	for _, w := range c.core.sortedWorkers {
		var sum requester.Resources
		unsized := 0
		for _, r := range w.runs {
			sum = sum.Add(r.need)
			if r.unsized {
				unsized++
			}
		}
		if sum != w.allocated || unsized != w.unsized {
			c.t.Fatalf("worker %q: runs occupy %v, allocated is %v; %d are unsized, counted are %d", w.info.HostID, sum, w.allocated, unsized, w.unsized)
		}
		if w.info.HostID == goodHost && !w.allocated.Fits(w.info.Total) {
			c.t.Fatalf("the good worker is over its capacity: %v", w.allocated)
		}
	}
	for _, j := range c.core.jobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				c.checkStep(s)
			}
		}
	}
}

func (c *extremeCell) checkStep(s *step) {
	waiting, done := 0, 0
	for _, t := range s.tasks() {
		if t.done {
			done++
		} else if t.run == nil {
			waiting++
		}
	}
	if waiting != s.waiting || done != s.done {
		c.t.Fatalf("step %v: %d tasks wait, counted are %d; %d are done, counted are %d", s.name(), waiting, s.waiting, done, s.done)
	}
}

// runExtreme plays an input and checks that the good worker's job completes.
func runExtreme(t *testing.T, data []byte) {
	c := &extremeCell{t: t, draw: &drawer{data}, now: time.Date(2026, 12, 5, 4, 0, 0, 0, time.UTC), running: make(map[runKey]time.Time)}
	c.core = New(Options{Epoch: 1}, c.now)
	policy := Policy{Service: "service", MaxAttempts: 3, Stretch: 2, ObjectiveMillis: 500}
	need := requester.Resources{MilliCores: 3000, MemoryMB: 1000}
	for _, job := range []Job{
		{JobID: "good-job", Steps: []Step{{Count: 4, Need: need, EstimateMillis: 200, RequiredLabel: "good"}}},
		{JobID: "odd-job", Steps: []Step{{Count: 4, Need: requester.Resources{MilliCores: 1}, EstimateMillis: 200, Checkpointing: true}}},
		{JobID: "gang", Steps: []Step{{Count: 3, Need: requester.Resources{MilliCores: 1}, EstimateMillis: 200, Gang: true}}},
	} {
		job.Queue, job.Policy, job.AcceptedAt = "queue", policy, c.now
		c.core.Add(c.now, job)
	}
	for step := range extremeSteps {
		c.now = c.now.Add(20 * time.Millisecond)
		if step%10 == 0 {
			c.core.SetWorkers(c.now, c.infos())
		}
		c.deliver(c.core.Tick(c.now))
		c.core.Committed(c.now, c.core.TakeBatch(40))
		c.core.Load()
		c.check()
	}
	if good := c.core.jobs["good-job"]; good.state != StateCompleted {
		t.Fatalf("the good worker's job is %v, expected Completed", good.state)
	}
}

// FuzzExtremeWorkers checks that entries and reports with any values end no
// process, break no invariant and leave the other workers alone.
func FuzzExtremeWorkers(f *testing.F) {
	for seed := range uint64(20) {
		f.Add(randomInput(seed, 200))
	}
	f.Fuzz(runExtreme)
}

// TestExtremeWorkers runs the property of FuzzExtremeWorkers on more inputs.
func TestExtremeWorkers(t *testing.T) {
	for seed := uint64(100); seed < 300; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runExtreme(t, randomInput(seed, 6000)) })
	}
}

func randomInput(seed uint64, size int) []byte {
	random := rand.New(rand.NewPCG(seed, 7))
	data := make([]byte, size)
	for i := range data {
		data[i] = byte(random.IntN(256))
	}
	return data
}
