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

// simulationTick is how far time advances at once.
const simulationTick = 10 * time.Millisecond

// event is a function to call at a time. Events of the same time run in the
// order of their serial numbers.
type event struct {
	at     time.Time
	serial int
	do     func()
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
