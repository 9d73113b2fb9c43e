package scheduler

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"kumquatstall/requester"
)

// simulation runs a core in virtual time against workers that follow the
// protocol, over a network that loses responses and delays orders. It checks
// the invariants from the point of view of the workers.
type simulation struct {
	random *rand.Rand
	// held draws which orders are held up on their way, so that the other draws of a seed
	// stay as they were.
	held *rand.Rand
	// carried counts the batches that were handed to carriers.
	carried int
	options simulationOptions
	// clocksFromZero makes the clock of each life begin from 0.
	clocksFromZero bool

	now        time.Time
	core       *Core
	epoch      int64
	workers    []*fakeWorker
	events     []event
	lastSerial int
	// lateUntil is the end of the time in which orders may be late.
	lateUntil time.Time
	// rows holds the rows of the store.
	rows           map[string][]byte
	commitInFlight *Batch
	accepted       map[requester.JobID]Job
	// cancelled holds the jobs whose cancellation is stored.
	cancelled map[requester.JobID]bool
	// acknowledged holds the tasks whose successful end was acknowledged to a
	// worker, finished those that ended successfully on a worker.
	acknowledged map[TaskName]bool
	finished     map[TaskName]bool
	// startedAt is when each task last started.
	startedAt  map[TaskName]time.Time
	failedRuns map[TaskName]map[RunNumber]bool
	// crashes is what is known of the tasks that crash their workers.
	crashes  crashLog
	problems []string
	// permanentCrashes counts the workers that crashed and never restart.
	permanentCrashes int
	rooms            simulatedRooms
	owners
	// waitingSince is since when steps wait beside room.
	waitingSince map[StepName]time.Time
	// starts has, by task, the starts that were sent.
	starts map[TaskName]map[RunNumber]sentStart
}

// simulationOptions sets the load and the rates of faults.
type simulationOptions struct {
	workers int
	jobs    int
	// lostResponses is the share of orders that are executed but whose
	// responses are lost. delayedOrders is the share of starts and stops that
	// arrive seconds after the request has timed out.
	lostResponses float64
	delayedOrders float64
	// crashes, partitions, stalls and takeovers are the probabilities of these
	// faults per tick, in thousandths.
	crashes float64
	// permanent is the share of crashed workers that never restart.
	permanent  float64
	partitions float64
	stalls     float64
	takeovers  float64
	// cancels is the share of jobs that are cancelled, failures the share of
	// runs that fail.
	cancels  float64
	failures float64
	// shrinks and outages are the probabilities, in thousandths per tick, that
	// a worker's room shrinks and that the store is away.
	shrinks float64
	outages float64
	ownerFaults
	// deadly is the share of jobs with a task that crashes each worker on which
	// it starts, racks the probability per tick that a rack crashes, in
	// thousandths.
	deadly float64
	racks  float64
	// silent is true if workers on which deadly tasks start don't refuse
	// connections but fall silent.
	silent bool
	// endsPerReport is the most ends that a report lists; 0 for all.
	endsPerReport int
	// kills is how long after its lease has expired a run ends. If it is not 0, several
	// workers are cut off at once.
	kills time.Duration
	// carriers is how many entries send stops for the owner, which hands over all but a few.
	carriers int
	// mutate breaks a rule of the core before each tick, if it is set.
	mutate func(*Core)
}

// tail is how many ticks follow in which no order is late, so that all jobs end: a start
// that is late holds its task, or its gang, back until it can act no more.
func (o simulationOptions) tail() int {
	if o.delayedOrders == 0 {
		return 0
	}
	return 4000
}

// heldShare is the share of the orders to a worker that is down, or can't be reached, which
// arrive later.
const heldShare = 0.3

// simulationTick is how far time advances at once.
const simulationTick = 10 * time.Millisecond

// event is a function to call at a time. Events of the same time run in the
// order of their serial numbers.
type event struct {
	at     time.Time
	serial int
	do     func()
}

// fakeWorker follows the protocol that the platform describes for workers.
type fakeWorker struct {
	sim   *simulation
	info  WorkerInfo
	fence Fence
	lease time.Time
	runs  map[runKey]*fakeRun
	// barredRuns holds, by task, the highest number of a run that was stopped
	// or has ended. Starts up to it are rejected.
	barredRuns map[TaskName]RunNumber
	ended      []EndedRun
	// lapsedEnd is the number of the last end before the worker's lease lapsed,
	// endedAt when the runs ended.
	lapsedEnd        int64
	endedAt          map[int64]time.Time
	lastEnd          int64
	bootedAt         time.Time
	partitionedUntil time.Time
	// hiddenUntil is when the present owner reaches the worker again; a replaced
	// one reaches it before.
	hiddenUntil time.Time
	// stalledUntil is when its runs make progress again.
	stalledUntil time.Time
	crashed      bool
	// refuses is true if only its process has crashed, so that its host refuses
	// connections.
	refuses bool
	// clockRate is the rate of its clock, 1 being exact.
	clockRate float64
	room      fakeRoom
}

type fakeRun struct {
	key       runKey
	need      requester.Resources
	startedAt time.Time
	endsAt    time.Time
	stopsAt   time.Time
	// killed is true once its lease has expired.
	killed   bool
	willFail bool
	gang     bool
	// gangEndsAt is when the last member of its gang has done its work.
	gangEndsAt time.Time
	// gangStarted is true once all members of its gang were present.
	gangStarted bool
}

// percent is how much of its work the run has done. A gang makes progress once
// all of its members are present.
func (r *fakeRun) percent(now time.Time) int {
	if r.gang && !r.gangStarted {
		return 0
	}
	ends := r.endsAt
	if r.gang {
		ends = r.gangEndsAt
	}
	return min(completePercent, int(100*now.Sub(r.startedAt)/max(1, ends.Sub(r.startedAt))))
}

func newSimulation(seed uint64, options simulationOptions) *simulation {
	sim := &simulation{
		random:         rand.New(rand.NewPCG(seed, 1)),
		held:           rand.New(rand.NewPCG(seed, 2)),
		options:        options,
		clocksFromZero: seed%2 == 0,
		now:            time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC),
		rows:           make(map[string][]byte),
		accepted:       make(map[requester.JobID]Job),
		cancelled:      make(map[requester.JobID]bool),
		acknowledged:   make(map[TaskName]bool),
		finished:       make(map[TaskName]bool),
		startedAt:      make(map[TaskName]time.Time),
		failedRuns:     make(map[TaskName]map[RunNumber]bool),
	}
	for i := range options.workers {
		sim.workers = append(sim.workers, &fakeWorker{
			sim: sim,
			info: WorkerInfo{
				HostID:   requester.HostID(fmt.Sprintf("w%02d", i)),
				Service:  "service",
				Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1),
				Rack:     fmt.Sprintf("r%d", i/3),
				Labels:   []string{"a", fmt.Sprintf("r%d", i/3)},
				Total:    requester.Resources{MilliCores: 8000, MemoryMB: 16000},
				BootedAt: sim.now,
			},
			runs:       make(map[runKey]*fakeRun),
			barredRuns: make(map[TaskName]RunNumber),
			endedAt:    make(map[int64]time.Time),
			bootedAt:   sim.now,
			clockRate:  0.98 + 0.02*sim.random.Float64(),
		})
	}
	sim.furnish()
	sim.takeOver()
	return sim
}

// problem records an invariant violation.
func (sim *simulation) problem(format string, args ...any) {
	sim.problems = append(sim.problems, sim.now.Format("05.000 ")+fmt.Sprintf(format, args...))
}

func (sim *simulation) after(wait time.Duration, do func()) {
	sim.lastSerial++
	sim.events = append(sim.events, event{sim.now.Add(wait), sim.lastSerial, do})
}

// takeOver replaces the core by one of a new owner, recovered from the store.
func (sim *simulation) takeOver() {
	sim.epoch++
	sim.replaceOwner()
	sim.chooseVersion()
	sim.commitInFlight = nil
	sim.core = New(Options{Epoch: sim.epoch, LeaseTerm: simulatedLeaseTerm, MaxLease: 10 * time.Second, PreviousOwnerEager: sim.ownerEager, PreviousOwnerTerm: previousOwnerTerm, PreviousLeaseTerm: sim.ownerLeaseTerm, PreviousCommitAt: sim.ownerStoredAt, RowBytes: sim.options.rowBytes, CallBytes: sim.options.callBytes, OwnStops: sim.options.ownStops()}, sim.now)
	if value, ok := sim.rows[LeasedWorkersKey]; ok {
		var row LeasedWorkersRow
		if err := DecodeRow(value, &row); err != nil {
			sim.problem("decode row of leased workers: %v", err)
		}
		sim.core.RestoreLeasedWorkers(row)
	}
	sim.boundLeases()
	for _, id := range sim.jobIDs() {
		value, ok := sim.rows[JobKey(id)]
		if !ok {
			continue
		}
		var job Job
		if err := DecodeRow(value, &job); err != nil {
			sim.problem("decode job: %v", err)
		}
		err := sim.core.Recover(JobRows{Job: job, Progress: sim.rows[ProgressKey(id)], Details: storedDetails(sim.rows, id), Cancelled: sim.cancelled[id]})
		if err != nil {
			sim.problem("recover job: %v", err)
		}
	}
	sim.noteInherited()
	if err := restoreIntended(sim.core, sim.rows); err != nil {
		sim.problem("decode row of intended starts: %v", err)
	}
	sim.listWorkers()
}

// restoreIntended tells a new owner of the starts that its predecessor intended.
func restoreIntended(core *Core, rows map[string][]byte) error {
	for _, key := range sortedKeys(rows) {
		if !IsListKey(key, StartsKey) || rows[key] == nil {
			continue
		}
		var row StartsRow
		if err := DecodeRow(rows[key], &row); err != nil {
			return err
		}
		core.RestoreIntended(row)
	}
	return nil
}

func (sim *simulation) jobIDs() []requester.JobID {
	ids := make([]requester.JobID, 0, len(sim.accepted))
	for id := range sim.accepted {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (sim *simulation) listWorkers() {
	var infos []WorkerInfo
	for _, f := range sim.workers {
		if !f.crashed || f.rowStands() {
			infos = append(infos, f.row())
		}
	}
	sim.core.SetWorkers(sim.now, infos)
}

// submit accepts a job of random shape.
func (sim *simulation) submit(number int) {
	r := sim.random
	job := Job{
		JobID:      requester.JobID(fmt.Sprintf("j%03d", number)),
		Queue:      "queue",
		Policy:     Policy{Service: "service", Priority: r.IntN(3), MaxAttempts: 3, Stretch: 2, ObjectiveMillis: 500},
		AcceptedAt: sim.now,
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
		sim.addAccelerators(&s)
		job.Steps = append(job.Steps, s)
	}
	sim.vary(&job)
	sim.accepted[job.JobID] = job
	sim.chooseDeadly(job)
	sim.rows[JobKey(job.JobID)] = EncodeRow(job)
	sim.tellJob(job)
	if r.Float64() < sim.options.cancels {
		sim.after(time.Duration(r.IntN(2000))*time.Millisecond, func() {
			sim.cancelled[job.JobID] = true
			sim.core.Cancel(sim.now, job.JobID)
		})
	}
}

// run submits the jobs and advances time by the given number of ticks and a tail, or
// until an invariant is violated. Faults occur in the first half only, late orders not in
// the tail.
func (sim *simulation) run(steps int) {
	sim.lateUntil = sim.now.Add(time.Duration(steps) * simulationTick)
	for i := range sim.options.jobs {
		sim.after(time.Duration(sim.random.IntN(steps*5))*time.Millisecond, func() { sim.submit(i) })
	}
	for step := range steps + sim.options.tail() {
		sim.now = sim.now.Add(simulationTick)
		faults := step < steps/2
		if faults {
			sim.injectFault()
			sim.injectOwnerFault()
		}
		sim.runEvents()
		for _, f := range sim.workers {
			f.tick()
		}
		if step%70 == 0 && !sim.storeAway() {
			sim.listWorkers()
		}
		if step%30 == 0 {
			sim.watchJobs()
		}
		sim.runPrevious()
		if sim.options.mutate != nil {
			sim.options.mutate(sim.core)
		}
		sim.changeCarriers()
		if !sim.ownerWithoutTerm() {
			sim.deliver(sim.tickCore())
		}
		sim.answerAdvice()
		sim.commit()
		sim.check()
		if step%10 == 0 {
			sim.checkWaits()
		}
		if len(sim.problems) > 0 {
			return
		}
	}
}

// injectFault injects at most one random fault.
func (sim *simulation) injectFault() {
	r, o := sim.random, sim.options
	f := sim.workers[r.IntN(len(sim.workers))]
	switch draw := r.Float64() * 1000; {
	case draw < o.crashes:
		f.crash()
	case draw < o.crashes+o.partitions:
		f.partitionedUntil = sim.now.Add(time.Duration(r.IntN(14000)) * time.Millisecond)
		sim.cutMore(f.partitionedUntil)
	case draw < o.crashes+o.partitions+o.takeovers:
		if !sim.storeAway() {
			sim.takeOver()
		}
	case draw < o.crashes+o.partitions+o.takeovers+o.stalls:
		f.stalledUntil = sim.now.Add(time.Duration(r.IntN(9000)) * time.Millisecond)
	case draw < o.crashes+o.partitions+o.takeovers+o.stalls+o.shrinks:
		f.shrink()
	case draw < o.crashes+o.partitions+o.takeovers+o.stalls+o.shrinks+o.outages:
		sim.startOutage()
	case draw < o.crashes+o.partitions+o.takeovers+o.stalls+o.shrinks+o.outages+o.racks:
		sim.crashRack(f.info.Rack)
	}
}

func (sim *simulation) runEvents() {
	slices.SortFunc(sim.events, func(a, b event) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return a.serial - b.serial
	})
	for len(sim.events) > 0 && !sim.events[0].at.After(sim.now) {
		do := sim.events[0].do
		sim.events = sim.events[1:]
		do()
	}
}

// commit takes a batch, and after a random delay writes it to the store and
// reports it to the core as committed, one batch at a time. A batch in flight
// at a takeover is lost.
func (sim *simulation) commit() {
	if sim.commitInFlight != nil {
		return
	}
	batch := sim.core.TakeBatch(40)
	if batch.Empty() && !sim.renewalDue() && !sim.core.HandoverOutdated() {
		return
	}
	sim.core.HandOver(batch)
	sim.commitInFlight = batch
	core, sentAt, eager := sim.core, sim.now, sim.nextOwnerEager()
	sim.after(sim.untilStoreIsBack()+sim.commitTime(), func() {
		if core != sim.core {
			return
		}
		sim.store(batch, eager)
		sim.commitInFlight, sim.committedAt = nil, sim.now
		if sim.options.bounded {
			core.Renewed(sentAt)
		}
		core.Committed(sim.now, batch)
		core.StoreReached(sentAt, sim.revision)
		sim.startsEagerly = sim.startsEagerly || eager && sim.slow() && sim.ofEarlierVersion
	})
}

// deliver sends orders to the workers. A core that has been replaced receives
// no responses.
func (sim *simulation) deliver(orders Orders) { sim.deliverFrom(sim.core, orders) }

// deliverFrom sends orders of an owner that may have been replaced.
func (sim *simulation) deliverFrom(core *Core, orders Orders) {
	for _, order := range orders.Polls {
		sim.send(order.Worker, func(f *fakeWorker) func() {
			report, result := f.poll(order)
			return func() { core.PollDone(sim.now, order, report, result) }
		}, func(result OrderResult) { core.PollDone(sim.now, order, nil, result) }, core, sim.options.latePolls)
	}
	for _, order := range orders.Stops {
		sim.send(order.Worker, func(f *fakeWorker) func() {
			result := f.stop(order)
			return func() { core.StopDone(sim.now, order, result) }
		}, func(result OrderResult) { core.StopDone(sim.now, order, result) }, core, sim.options.delayedOrders)
	}
	for _, batch := range orders.Batches {
		sim.carry(core, batch)
	}
	issuedAt := sim.now
	for _, order := range orders.Starts {
		sim.noteSent(order)
		sim.send(order.Worker, func(f *fakeWorker) func() {
			f.room.issuedAt = issuedAt
			result, clock := f.start(order), f.clock()
			return func() {
				if result == OrderAccepted {
					core.StartAccepted(sim.now, order, clock)
				} else {
					sim.noteRejected(core, order)
					core.StartDone(sim.now, order, result)
				}
			}
		}, func(result OrderResult) {
			if result == OrderUnsent {
				sim.noteRejected(core, order)
			}
			core.StartDone(sim.now, order, result)
		}, core, sim.options.delayedOrders)
	}
}

// send delivers an order to a worker and its response to the core. The order is
// late with the given probability. A host that refuses connections is sent no byte of it.
func (sim *simulation) send(to WorkerRef, do func(*fakeWorker) func(), fail func(OrderResult), core *Core, late float64) {
	r := sim.random
	index := slices.IndexFunc(sim.workers, func(f *fakeWorker) bool { return f.info.HostID == to.HostID })
	f := sim.workers[index]
	outbound := time.Duration(1+r.IntN(20)) * time.Millisecond
	inbound := time.Duration(1+r.IntN(20)) * time.Millisecond
	respond := func(reply func()) {
		if sim.active(core) {
			reply()
		}
	}
	noAnswer := func() { fail(OrderUnknown) }
	if late > 0 && r.Float64() < late && sim.now.Before(sim.lateUntil) {
		// It arrives at any time until it is given up, and is held back from then on.
		arrives := sim.held.IntN(int(OrderTimeout / time.Millisecond))
		sim.after(time.Duration(arrives+2000+r.IntN(10000))*time.Millisecond, func() {
			if !f.crashed {
				do(f)
			}
		})
		sim.after(OrderTimeout, func() { respond(noAnswer) })
		return
	}
	lost := r.Float64() < sim.options.lostResponses
	sim.after(outbound, func() {
		if sim.lostOnTheWay(core) {
			return
		}
		if f.refuses && !sim.now.Before(f.partitionedUntil) {
			sim.after(inbound, func() { respond(func() { fail(OrderUnsent) }) })
			return
		}
		if f.crashed || f.hides(core) {
			if late > 0 && sim.held.Float64() < heldShare && sim.now.Before(sim.lateUntil) {
				// It is held up on its way, and arrives at whatever incarnation is there.
				sim.after(time.Duration(1000+sim.held.IntN(10000))*time.Millisecond, func() {
					if !f.crashed {
						do(f)
					}
				})
			}
			sim.after(700*time.Millisecond, func() { respond(noAnswer) })
			return
		}
		reply := do(f)
		if lost {
			sim.after(700*time.Millisecond, func() { respond(noAnswer) })
			return
		}
		sim.after(inbound, func() { respond(reply) })
	})
}

func (f *fakeWorker) clock() WorkerTime {
	passed := WorkerTime(float64(f.sim.now.Sub(f.bootedAt).Milliseconds()) * f.clockRate)
	if f.sim.clocksFromZero {
		return passed
	}
	return clockAtBirth(f.bootedAt) + passed
}

// clockAtBirth returns what the clock of a life shows when it begins, which may be any time.
func clockAtBirth(bootedAt time.Time) WorkerTime {
	return WorkerTime(rand.New(rand.NewPCG(uint64(bootedAt.UnixMilli()), 42)).Int64N(longestClock.Milliseconds()))
}

// longestClock bounds what a clock shows when a life begins.
const longestClock = 3 * time.Hour

// leaseEnd converts a deadline on the worker's clock to simulated time. The
// worker grants at most 10 s.
func (f *fakeWorker) leaseEnd(deadline WorkerTime) time.Time {
	remaining := min(deadline-f.clock(), 10_000)
	return f.sim.now.Add(time.Duration(float64(remaining)/f.clockRate) * time.Millisecond)
}

func (f *fakeWorker) acceptFence(fence Fence) bool {
	if fence < f.fence {
		return false
	}
	f.fence = fence
	return true
}

func (f *fakeWorker) extendLease(deadline WorkerTime) {
	if until := f.leaseEnd(deadline); deadline > 0 && until.After(f.lease) {
		f.lease = until
	}
}

func (f *fakeWorker) start(order StartOrder) OrderResult {
	if !f.acceptFence(order.Fence) {
		return OrderFenced
	}
	key := runKey{order.Task, order.Run}
	if _, ok := f.runs[key]; ok {
		return OrderAccepted
	}
	if order.Run <= f.barredRuns[order.Task] {
		return OrderStaleRun
	}
	if order.Deadline <= f.clock() {
		return OrderExpired
	}
	f.extendLease(order.Deadline)
	sim := f.sim
	job := sim.accepted[order.Task.Job]
	step := &job.Steps[order.Task.Step]
	sim.checkStart(f, order, step)
	length := time.Duration(sim.random.IntN(int(step.EstimateMillis*2)))*time.Millisecond + sim.longer()
	f.runs[key] = &fakeRun{key: key, need: step.Need, gang: step.Gang, startedAt: sim.now, endsAt: sim.now.Add(length), willFail: sim.random.Float64() < sim.options.failures}
	f.afterStart(key)
	return OrderAccepted
}

func (f *fakeWorker) stop(order StopOrder) OrderResult {
	if !f.acceptFence(order.Fence) {
		return OrderFenced
	}
	f.barredRuns[order.Task] = max(f.barredRuns[order.Task], order.Run)
	if r, ok := f.runs[runKey{order.Task, order.Run}]; ok && r.stopsAt.IsZero() {
		r.stopsAt = f.sim.now.Add(time.Duration(f.sim.random.IntN(900)) * time.Millisecond)
	}
	return OrderAccepted
}

func (f *fakeWorker) poll(order PollOrder) (*Report, OrderResult) {
	if !f.acceptFence(order.Fence) {
		return nil, OrderFenced
	}
	f.extendLease(order.Deadline)
	f.forget(order.AcknowledgedEnd)
	report := &Report{Clock: f.clock(), BootedAt: f.info.BootedAt, Ended: slices.Clone(f.ended)}
	if most := f.sim.options.endsPerReport; most > 0 && len(f.ended) >= most {
		report.Ended, report.Partial, report.More = report.Ended[:most], true, true
	}
	for key, r := range f.runs {
		report.Running = append(report.Running, RunningTask{Task: key.name, Run: key.number, Percent: r.percent(f.sim.now), Checkpoint: f.sim.checkpoint(key.name)})
	}
	slices.SortFunc(report.Running, func(a, b RunningTask) int {
		return compareRuns(&run{name: a.Task, number: a.Run}, &run{name: b.Task, number: b.Run})
	})
	return report, OrderAccepted
}

// checkpoint returns the checkpoint of each run of a task that has checkpoints.
func (sim *simulation) checkpoint(name TaskName) string {
	if sim.options.rowBytes == 0 || !sim.accepted[name.Job].Steps[name.Step].Checkpointing {
		return ""
	}
	return "0123456789abcdef"
}

// tick ends the runs that are due to end by now.
func (f *fakeWorker) tick() {
	sim := f.sim
	if f.crashed {
		return
	}
	f.showRoom()
	if !f.sim.now.Before(f.lease) {
		f.lapsedEnd = f.lastEnd
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
		if sim.now.Before(f.stalledUntil) {
			r.startedAt, r.endsAt = r.startedAt.Add(simulationTick), r.endsAt.Add(simulationTick)
		}
		gang := sim.accepted[key.name.Job].Steps[key.name.Step].Gang
		if !sim.now.Before(f.lease) {
			f.kill(r)
		}
		switch {
		case r.killed && !sim.now.Before(r.stopsAt):
			f.endRun(r, EndExpired)
		case r.killed:
		case !r.stopsAt.IsZero() && !sim.now.Before(r.stopsAt):
			f.endRun(r, EndStopped)
		case !sim.now.Before(r.endsAt) && r.stopsAt.IsZero() && !gang:
			if r.willFail {
				f.endRun(r, EndFailed)
			} else {
				f.endRun(r, EndDone)
			}
		case gang:
			sim.advanceGang(f, r)
		}
	}
}

// advanceGang ends all members of a gang at once when the last one has done its
// work. The members are aborted if one ends before that, or if the gang is not
// complete in time.
func (sim *simulation) advanceGang(f *fakeWorker, r *fakeRun) {
	count := sim.accepted[r.key.name.Job].Steps[r.key.name.Step].Count
	type member struct {
		worker *fakeWorker
		run    *fakeRun
	}
	var members []member
	for _, other := range sim.workers {
		for key, run := range other.runs {
			if key.name.StepName == r.key.name.StepName && key.number == r.key.number && run.stopsAt.IsZero() && !other.crashed {
				members = append(members, member{other, run})
			}
		}
	}
	if len(members) < count {
		if r.gangStarted || sim.now.After(r.endsAt.Add(8*time.Second)) {
			// Another member has ended or never started.
			f.endRun(r, EndGangAborted)
		}
		return
	}
	latest := r.endsAt
	for _, m := range members {
		m.run.gangStarted = true
		if m.run.endsAt.After(latest) {
			latest = m.run.endsAt
		}
	}
	for _, m := range members {
		m.run.gangEndsAt = latest
	}
	if sim.now.Before(latest) {
		return
	}
	slices.SortFunc(members, func(a, b member) int { return a.run.key.name.Index - b.run.key.name.Index })
	for _, m := range members {
		if r.willFail {
			m.worker.endRun(m.run, EndFailed)
		} else {
			m.worker.endRun(m.run, EndDone)
		}
	}
}

func (f *fakeWorker) endRun(r *fakeRun, kind EndKind) {
	delete(f.runs, r.key)
	f.barredRuns[r.key.name] = max(f.barredRuns[r.key.name], r.key.number)
	f.lastEnd++
	f.endedAt[f.lastEnd] = f.sim.now
	f.ended = append(f.ended, EndedRun{Number: f.lastEnd, Task: r.key.name, Run: r.key.number, Kind: kind})
	switch kind {
	case EndDone:
		f.sim.finished[r.key.name] = true
	case EndFailed:
		f.sim.recordFailure(r.key)
	}
}

// recordFailure records that a run has failed. The members of a gang count as
// one.
func (sim *simulation) recordFailure(key runKey) {
	name := key.name
	if sim.accepted[name.Job].Steps[name.Step].Gang {
		name.Index = 0
	}
	if sim.failedRuns[name] == nil {
		sim.failedRuns[name] = make(map[RunNumber]bool)
	}
	sim.failedRuns[name][key.number] = true
}

// crash loses the runs of a worker. Unless the crash is permanent, a new
// incarnation starts within a few seconds.
func (f *fakeWorker) crash() {
	sim := f.sim
	if f.crashed {
		return
	}
	f.crashed = true
	f.room.crashedAt, sim.disturbedAt = sim.now, sim.now
	f.recordCrash()
	for key := range f.runs {
		delete(f.runs, key)
	}
	if sim.random.Float64() < sim.options.permanent && sim.permanentCrashes < len(sim.workers)/3 {
		// At least two thirds of the workers remain, so that the widest gang
		// still fits.
		sim.permanentCrashes++
		return
	}
	sim.after(sim.rebirthDelay(), func() {
		f.crashed, f.refuses = false, false
		f.fence, f.lease, f.lastEnd, f.lapsedEnd, f.ended = 0, time.Time{}, 0, 0, nil
		f.barredRuns, f.endedAt = make(map[TaskName]RunNumber), make(map[int64]time.Time)
		f.bootedAt = sim.now
		f.info.BootedAt = sim.now
		f.furnishAnew()
	})
}
