package scheduler

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"kumquatstall/requester"
)

// world runs a core against workers that obey the protocol, over a network
// that loses answers and delays orders, in virtual time. It checks what must
// hold from what the workers see.
type world struct {
	random  *rand.Rand
	options worldOptions
	now     time.Time
	core    *Core
	epoch   int64
	workers []*fakeWorker
	events  []event
	serial  int
	// rows is the store.
	rows     map[string][]byte
	saving   *Batch
	accepted map[requester.JobID]Job
	// cancelled are jobs whose cancelling is stored.
	cancelled map[requester.JobID]bool
	// doneAt is when an end of a task was confirmed.
	confirmed map[TaskName]bool
	finished  map[TaskName]bool
	failed    map[TaskName]map[RunNumber]bool
	problems  []string
	// lostForGood counts the workers that never come back.
	lostForGood int
}

type worldOptions struct {
	workers int
	jobs    int
	lost    float64
	late    float64
	crash   float64
	// gone is the share of crashed workers that never come back.
	gone      float64
	cut       float64
	stand     float64
	takeover  float64
	cancel    float64
	failing   float64
	mutateNow func(*Core)
}

// worldTick is how far time goes on at once.
const worldTick = 10 * time.Millisecond

type event struct {
	at     time.Time
	serial int
	do     func()
}

// fakeWorker is a worker as the platform describes it.
type fakeWorker struct {
	world   *world
	info    WorkerInfo
	fence   Fence
	lease   time.Time
	runs    map[runKey]*fakeRun
	barred  map[TaskName]RunNumber
	ended   []EndedRun
	number  int64
	bornAt  time.Time
	cutTill time.Time
	// standsTill is until when nothing moves on it.
	standsTill time.Time
	down       bool
	// slow is the factor of its clock.
	slow float64
}

type fakeRun struct {
	key    runKey
	need   requester.Resources
	begins time.Time
	endsAt time.Time
	stops  time.Time
	fails  bool
	gang   bool
	// gangEnds is when the last member of its gang ends.
	gangEnds time.Time
	// seen tells that all members of its gang were there.
	seen bool
}

// percent is how much of its work the run has done. A gang works once all of
// its members are there.
func (r *fakeRun) percent(now time.Time) int {
	if r.gang && !r.seen {
		return 0
	}
	ends := r.endsAt
	if r.gang {
		ends = r.gangEnds
	}
	return min(allDone, int(100*now.Sub(r.begins)/max(1, ends.Sub(r.begins))))
}

func newWorld(seed uint64, options worldOptions) *world {
	w := &world{
		random:    rand.New(rand.NewPCG(seed, 1)),
		options:   options,
		now:       time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC),
		rows:      make(map[string][]byte),
		accepted:  make(map[requester.JobID]Job),
		cancelled: make(map[requester.JobID]bool),
		confirmed: make(map[TaskName]bool),
		finished:  make(map[TaskName]bool),
		failed:    make(map[TaskName]map[RunNumber]bool),
	}
	for i := range options.workers {
		w.workers = append(w.workers, &fakeWorker{
			world: w,
			info: WorkerInfo{
				HostID:   requester.HostID(fmt.Sprintf("w%02d", i)),
				Service:  "service",
				Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
				Rack:     fmt.Sprintf("r%d", i/3),
				Labels:   []string{"a", fmt.Sprintf("r%d", i/3)},
				Total:    requester.Resources{MilliCores: 8000, MemoryMB: 16000},
				BootedAt: w.now,
			},
			runs:   make(map[runKey]*fakeRun),
			barred: make(map[TaskName]RunNumber),
			bornAt: w.now,
			slow:   0.98 + 0.02*w.random.Float64(),
		})
	}
	w.takeOver()
	return w
}

func (w *world) problem(format string, args ...any) {
	w.problems = append(w.problems, w.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (w *world) after(wait time.Duration, do func()) {
	w.serial++
	w.events = append(w.events, event{w.now.Add(wait), w.serial, do})
}

// takeOver makes a new owner from what the store holds.
func (w *world) takeOver() {
	w.epoch++
	w.saving = nil
	w.core = New(Options{Epoch: w.epoch, LeaseTerm: 9 * time.Second, MaxLease: 10 * time.Second, PreviousOwnerTerm: time.Second}, w.now)
	if value, ok := w.rows[LeasedWorkersKey]; ok {
		var roster LeasedWorkersRow
		if err := DecodeRow(value, &roster); err != nil {
			w.problem("roster: %v", err)
		}
		w.core.RestoreLeasedWorkers(roster)
	}
	for _, id := range w.jobIDs() {
		value, ok := w.rows[JobKey(id)]
		if !ok {
			continue
		}
		var job Job
		if err := DecodeRow(value, &job); err != nil {
			w.problem("job: %v", err)
		}
		err := w.core.Recover(JobRows{Job: job, Progress: w.rows[ProgressKey(id)], Cancelled: w.cancelled[id]})
		if err != nil {
			w.problem("recover: %v", err)
		}
	}
	w.list()
}

func (w *world) jobIDs() []requester.JobID {
	ids := make([]requester.JobID, 0, len(w.accepted))
	for id := range w.accepted {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (w *world) list() {
	var infos []WorkerInfo
	for _, f := range w.workers {
		if !f.down {
			infos = append(infos, f.info)
		}
	}
	w.core.SetWorkers(w.now, infos)
}

// submit accepts a job of random shape.
func (w *world) submit(number int) {
	r := w.random
	job := Job{
		JobID:      requester.JobID(fmt.Sprintf("j%03d", number)),
		Queue:      "queue",
		Policy:     Policy{Service: "service", Priority: r.IntN(3), MaxAttempts: 3, Stretch: 2, ObjectiveMillis: 500},
		AcceptedAt: w.now,
	}
	for i := range 1 + r.IntN(3) {
		s := Step{
			Count:          1 + r.IntN(6),
			Need:           requester.Resources{MilliCores: int64(500 + r.IntN(3500)), MemoryMB: int64(500 + r.IntN(5000))},
			EstimateMillis: int64(200 + r.IntN(2000)),
			Checkpointing:  r.IntN(2) == 0,
			Gang:           r.IntN(3) == 0,
		}
		if r.IntN(4) == 0 {
			s.AntiAffinity = 1 + r.IntN(2)
		}
		if i > 0 && r.IntN(3) > 0 {
			s.After = []int{r.IntN(i)}
		}
		job.Steps = append(job.Steps, s)
	}
	w.accepted[job.JobID] = job
	w.rows[JobKey(job.JobID)] = EncodeRow(job)
	w.core.Add(w.now, job)
	if r.Float64() < w.options.cancel {
		w.after(time.Duration(r.IntN(2000))*time.Millisecond, func() {
			w.cancelled[job.JobID] = true
			w.core.Cancel(w.now, job.JobID)
		})
	}
}

// run lets time pass until everything has settled or the limit is reached.
func (w *world) run(steps int) {
	for i := range w.options.jobs {
		w.after(time.Duration(w.random.IntN(steps*5))*time.Millisecond, func() { w.submit(i) })
	}
	for step := range steps {
		w.now = w.now.Add(worldTick)
		faults := step < steps/2
		if faults {
			w.inject()
		}
		w.fire()
		for _, f := range w.workers {
			f.advance()
		}
		if step%70 == 0 {
			w.list()
		}
		if w.options.mutateNow != nil {
			w.options.mutateNow(w.core)
		}
		w.carryOut(w.core.Tick(w.now))
		w.save()
		w.check()
		if len(w.problems) > 0 {
			return
		}
	}
}

// inject draws faults.
func (w *world) inject() {
	r, o := w.random, w.options
	f := w.workers[r.IntN(len(w.workers))]
	switch draw := r.Float64() * 1000; {
	case draw < o.crash:
		f.crash()
	case draw < o.crash+o.cut:
		f.cutTill = w.now.Add(time.Duration(r.IntN(14000)) * time.Millisecond)
	case draw < o.crash+o.cut+o.takeover:
		w.takeOver()
	case draw < o.crash+o.cut+o.takeover+o.stand:
		f.standsTill = w.now.Add(time.Duration(r.IntN(9000)) * time.Millisecond)
	}
}

func (w *world) fire() {
	slices.SortFunc(w.events, func(a, b event) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.serial - b.serial
	})
	for len(w.events) > 0 && !w.events[0].at.After(w.now) {
		do := w.events[0].do
		w.events = w.events[1:]
		do()
	}
}

// save writes a batch and confirms it some time later.
func (w *world) save() {
	if w.saving != nil {
		return
	}
	batch := w.core.TakeBatch(40)
	if batch.Empty() {
		return
	}
	w.saving = batch
	core := w.core
	w.after(time.Duration(5+w.random.IntN(60))*time.Millisecond, func() {
		if core != w.core {
			return
		}
		for _, save := range batch.Writes {
			if save.Value == nil {
				delete(w.rows, save.Key)
			} else {
				w.rows[save.Key] = save.Value
			}
		}
		w.saving = nil
		core.Committed(w.now, batch)
	})
}

// carryOut sends orders. An owner that has been replaced gets no answers.
func (w *world) carryOut(orders Orders) {
	core := w.core
	for _, order := range orders.Polls {
		w.send(order.Worker, func(f *fakeWorker) func() {
			report, result := f.look(order)
			return func() { core.PollDone(w.now, order, report, result) }
		}, func() { core.PollDone(w.now, order, nil, OrderUnknown) }, core, false)
	}
	for _, order := range orders.Stops {
		w.send(order.Worker, func(f *fakeWorker) func() {
			result := f.stop(order)
			return func() { core.StopDone(w.now, order, result) }
		}, func() { core.StopDone(w.now, order, OrderUnknown) }, core, true)
	}
	for _, order := range orders.Starts {
		w.send(order.Worker, func(f *fakeWorker) func() {
			result := f.start(order)
			return func() { core.StartDone(w.now, order, result) }
		}, func() { core.StartDone(w.now, order, OrderUnknown) }, core, true)
	}
}

// send carries an order to a worker and its answer back.
func (w *world) send(to WorkerRef, do func(*fakeWorker) func(), fail func(), core *Core, mayBeLate bool) {
	r := w.random
	index := slices.IndexFunc(w.workers, func(f *fakeWorker) bool { return f.info.HostID == to.HostID })
	f := w.workers[index]
	there := time.Duration(1+r.IntN(20)) * time.Millisecond
	back := time.Duration(1+r.IntN(20)) * time.Millisecond
	answer := func(reply func()) {
		if core == w.core {
			reply()
		}
	}
	if mayBeLate && r.Float64() < w.options.late {
		w.after(time.Duration(2000+r.IntN(10000))*time.Millisecond, func() {
			if !f.down {
				do(f)
			}
		})
		w.after(700*time.Millisecond, func() { answer(fail) })
		return
	}
	lost := r.Float64() < w.options.lost
	w.after(there, func() {
		if f.down || w.now.Before(f.cutTill) {
			w.after(700*time.Millisecond, func() { answer(fail) })
			return
		}
		reply := do(f)
		if lost {
			w.after(700*time.Millisecond, func() { answer(fail) })
			return
		}
		w.after(back, func() { answer(reply) })
	})
}

func (f *fakeWorker) clock() WorkerTime {
	return WorkerTime(float64(f.world.now.Sub(f.bornAt).Milliseconds()) * f.slow)
}

// until converts a deadline on the worker's clock, which it bounds.
func (f *fakeWorker) until(deadline WorkerTime) time.Time {
	left := min(deadline-f.clock(), 10_000)
	return f.world.now.Add(time.Duration(float64(left)/f.slow) * time.Millisecond)
}

func (f *fakeWorker) obey(fence Fence) bool {
	if fence < f.fence {
		return false
	}
	f.fence = fence
	return true
}

func (f *fakeWorker) extend(deadline WorkerTime) {
	if until := f.until(deadline); deadline > 0 && until.After(f.lease) {
		f.lease = until
	}
}

func (f *fakeWorker) start(order StartOrder) OrderResult {
	if !f.obey(order.Fence) {
		return OrderFenced
	}
	key := runKey{order.Task, order.Run}
	if _, ok := f.runs[key]; ok {
		return OrderAccepted
	}
	if order.Run <= f.barred[order.Task] {
		return OrderStaleRun
	}
	if order.Deadline <= f.clock() {
		return OrderExpired
	}
	f.extend(order.Deadline)
	w := f.world
	job := w.accepted[order.Task.Job]
	def := &job.Steps[order.Task.Step]
	w.checkStart(f, order, def)
	length := time.Duration(w.random.IntN(int(def.EstimateMillis*2))) * time.Millisecond
	f.runs[key] = &fakeRun{key: key, need: def.Need, gang: def.Gang, begins: w.now, endsAt: w.now.Add(length), fails: w.random.Float64() < w.options.failing}
	return OrderAccepted
}

func (f *fakeWorker) stop(order StopOrder) OrderResult {
	if !f.obey(order.Fence) {
		return OrderFenced
	}
	f.barred[order.Task] = max(f.barred[order.Task], order.Run)
	if r, ok := f.runs[runKey{order.Task, order.Run}]; ok && r.stops.IsZero() {
		r.stops = f.world.now.Add(time.Duration(f.world.random.IntN(900)) * time.Millisecond)
	}
	return OrderAccepted
}

func (f *fakeWorker) look(order PollOrder) (*Report, OrderResult) {
	if !f.obey(order.Fence) {
		return nil, OrderFenced
	}
	f.extend(order.Deadline)
	for _, ended := range f.ended {
		if ended.Number <= order.AcknowledgedEnd && ended.Kind == EndDone {
			f.world.confirmed[ended.Task] = true
		}
	}
	f.ended = slices.DeleteFunc(f.ended, func(e EndedRun) bool { return e.Number <= order.AcknowledgedEnd })
	report := &Report{Clock: f.clock(), BootedAt: f.info.BootedAt, Ended: slices.Clone(f.ended)}
	for key, r := range f.runs {
		report.Running = append(report.Running, RunningTask{Task: key.name, Run: key.number, Percent: r.percent(f.world.now)})
	}
	slices.SortFunc(report.Running, func(a, b RunningTask) int {
		return compareRuns(&run{name: a.Task, number: a.Run}, &run{name: b.Task, number: b.Run})
	})
	return report, OrderAccepted
}

// advance ends what has ended by now.
func (f *fakeWorker) advance() {
	w := f.world
	if f.down {
		return
	}
	keys := make([]runKey, 0, len(f.runs))
	for key := range f.runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b runKey) int {
		return compareRuns(&run{name: a.name, number: a.number}, &run{name: b.name, number: b.number})
	})
	for _, key := range keys {
		r, runs := f.runs[key]
		if !runs {
			// It ended with another member of its gang.
			continue
		}
		if w.now.Before(f.standsTill) {
			r.begins, r.endsAt = r.begins.Add(worldTick), r.endsAt.Add(worldTick)
		}
		gang := w.accepted[key.name.Job].Steps[key.name.Step].Gang
		switch {
		case !w.now.Before(f.lease):
			f.end(r, EndExpired)
		case !r.stops.IsZero() && !w.now.Before(r.stops):
			f.end(r, EndStopped)
		case !w.now.Before(r.endsAt) && r.stops.IsZero() && !gang:
			if r.fails {
				f.end(r, EndFailed)
			} else {
				f.end(r, EndDone)
			}
		case gang:
			w.advanceGang(f, r)
		}
	}
}

// advanceGang ends a gang that is complete, all members at once.
func (w *world) advanceGang(f *fakeWorker, r *fakeRun) {
	count := w.accepted[r.key.name.Job].Steps[r.key.name.Step].Count
	type member struct {
		worker *fakeWorker
		run    *fakeRun
	}
	var members []member
	for _, other := range w.workers {
		for key, run := range other.runs {
			if key.name.StepName == r.key.name.StepName && key.number == r.key.number && run.stops.IsZero() && !other.down {
				members = append(members, member{other, run})
			}
		}
	}
	if len(members) < count {
		if r.seen || w.now.After(r.endsAt.Add(8*time.Second)) {
			// One has ended, so this one does too.
			f.end(r, EndGangAborted)
		}
		return
	}
	latest := r.endsAt
	for _, m := range members {
		m.run.seen = true
		if m.run.endsAt.After(latest) {
			latest = m.run.endsAt
		}
	}
	for _, m := range members {
		m.run.gangEnds = latest
	}
	if w.now.Before(latest) {
		return
	}
	slices.SortFunc(members, func(a, b member) int { return a.run.key.name.Index - b.run.key.name.Index })
	for _, m := range members {
		if r.fails {
			m.worker.end(m.run, EndFailed)
		} else {
			m.worker.end(m.run, EndDone)
		}
	}
}

func (f *fakeWorker) end(r *fakeRun, kind EndKind) {
	delete(f.runs, r.key)
	f.barred[r.key.name] = max(f.barred[r.key.name], r.key.number)
	f.number++
	f.ended = append(f.ended, EndedRun{Number: f.number, Task: r.key.name, Run: r.key.number, Kind: kind})
	switch kind {
	case EndDone:
		f.world.finished[r.key.name] = true
	case EndFailed:
		f.world.countFailure(r.key)
	}
}

// countFailure notes that a run has failed; a gang fails as one.
func (w *world) countFailure(key runKey) {
	name := key.name
	if w.accepted[name.Job].Steps[name.Step].Gang {
		name.Index = 0
	}
	if w.failed[name] == nil {
		w.failed[name] = make(map[RunNumber]bool)
	}
	w.failed[name][key.number] = true
}

// crash ends a worker; another life begins a little later.
func (f *fakeWorker) crash() {
	w := f.world
	if f.down {
		return
	}
	f.down = true
	for key := range f.runs {
		delete(f.runs, key)
	}
	if w.random.Float64() < w.options.gone && w.lostForGood < len(w.workers)/3 {
		// The others can still hold the widest gang.
		w.lostForGood++
		return
	}
	w.after(time.Duration(500+w.random.IntN(5000))*time.Millisecond, func() {
		f.down = false
		f.fence, f.lease, f.number, f.ended = 0, time.Time{}, 0, nil
		f.barred = make(map[TaskName]RunNumber)
		f.bornAt = w.now
		f.info.BootedAt = w.now
	})
}
