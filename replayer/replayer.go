// Package replayer replays load patterns against a scheduler.Core, in virtual
// time and without I/O, to measure the quality and the cost of its decisions
// alone.
//
// A pattern specifies for each kind of job the arrival rate, the distributions
// of its size and run time, the error of its estimates and the value of a job
// that completes on time or late. It also specifies the faults of the workers.
// All random draws depend on the pattern and the seed only, so that two
// versions of the core get the same jobs.
//
// A simulated worker executes each order after a fixed latency and responds to a
// pending long poll when a run ends. The members of a gang make progress once all
// of them have started, and end together. Each entry handles its advice requests
// one after the other. The store commits a batch in a fixed time. The difference
// between the earned value and its upper bound is therefore due to decisions: the
// order of jobs, packing, the time spent on advice, and runs started where they
// make no progress.
//
// The upper bound is that of an ideal scheduler that divides work arbitrarily
// and ignores deadlines. It can't be reached under overload and serves for
// comparison only.
package replayer

import (
	"container/heap"
	"fmt"
	"net/netip"
	"time"

	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

const (
	serviceName = "service"
	// lateLimitFactor times a job's on-time limit is its late limit, after
	// which its completion earns nothing.
	lateLimitFactor = 3
	// nominalAdviceWorkers is the number of workers per advice request that is
	// assumed in a job's on-time limit.
	nominalAdviceWorkers = 30
	tickInterval         = 10 * time.Millisecond
	// acceptLatency is the time from a job's arrival, or from its
	// cancellation, until the core is notified.
	acceptLatency = 30 * time.Millisecond
	commitLatency = 20 * time.Millisecond
	// orderLatency is the one-way latency of an order, a response and advice.
	orderLatency    = 4 * time.Millisecond
	listInterval    = 700 * time.Millisecond
	longPollTimeout = time.Second
	// unresponsiveTimeout is the time after which an order to an unresponsive
	// worker fails with an unknown outcome.
	unresponsiveTimeout = 700 * time.Millisecond
	maxBatchRows        = 70
	// maxAdvicePerEntry bounds the advice requests in flight per entry.
	maxAdvicePerEntry = 2
	// shortEntryDivisor divides the number of entries to give the number of
	// those set aside for short advice requests.
	shortEntryDivisor = 5
)

// replay is the state of one replay of a pattern: the core, the simulated jobs
// and workers, and the queue of events.
type replay struct {
	pattern      *Pattern
	seed         uint64
	start        time.Time
	now          time.Time
	events       eventQueue
	lastSequence int
	core         *scheduler.Core
	jobs         []*simulatedJob
	byID         map[requester.JobID]*simulatedJob
	workers      []*worker
	byHost       map[requester.HostID]*worker
	gangs        map[gangKey]*gang
	// entryBusyUntil holds for each entry when it will have processed all its
	// advice requests. The entries set aside for short requests come last.
	entryBusyUntil []time.Time
	// adviceInFlight counts the advice requests in flight: true for those at
	// entries set aside for short requests, false for those at the others.
	adviceInFlight map[bool]int
	commitInFlight bool
	usage          usage
	// decideTime is the real time that the decisions of all ticks have taken:
	// the core's Tick and RequestAdvice, but not its handling of other events,
	// such as the results of orders and commits.
	decideTime time.Duration
}

// Run replays a pattern with the jobs that the seed yields.
func Run(pattern *Pattern, seed uint64) *Result { return newReplay(pattern, seed).run() }

func newReplay(pattern *Pattern, seed uint64) *replay {
	start := time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC)
	r := &replay{
		pattern: pattern, seed: seed, start: start, now: start,
		core:           scheduler.New(scheduler.Options{Epoch: 1}, start),
		jobs:           generateJobs(pattern, seed, start),
		byID:           make(map[requester.JobID]*simulatedJob),
		byHost:         make(map[requester.HostID]*worker),
		gangs:          make(map[gangKey]*gang),
		entryBusyUntil: make([]time.Time, pattern.Entries),
		adviceInFlight: make(map[bool]int),
	}
	r.addWorkers()
	r.updateWorkerList()
	for _, j := range r.jobs {
		r.byID[j.spec.JobID] = j
		r.schedule(j.arrivesAt.Add(acceptLatency), func() { r.core.Add(r.now, j.spec) })
		if !j.cancelAt.IsZero() {
			r.schedule(j.cancelAt.Add(acceptLatency), func() { r.core.Cancel(r.now, j.spec.JobID) })
		}
	}
	r.schedule(start.Add(seconds(pattern.Troubles.AtSeconds)), r.injectFaults)
	return r
}

// run executes events until the end of the settling time.
func (r *replay) run() *Result {
	end := r.start.Add(seconds(r.pattern.Seconds + r.pattern.SettleSeconds))
	r.tick()
	for len(r.events) > 0 && !r.events[0].at.After(end) {
		next := heap.Pop(&r.events).(scheduledEvent)
		r.now = next.at
		next.action()
		if r.core.OrdersWaiting() {
			// As an entry does, which takes them as the results of others arrive.
			r.deliver(r.core.TakeOrders(r.now))
		}
	}
	return r.result()
}

func (r *replay) addWorkers() {
	for i := range r.pattern.Workers {
		w := &worker{
			replay: r,
			info: scheduler.WorkerInfo{
				HostID:   requester.HostID(fmt.Sprintf("w%04d", i)),
				Service:  serviceName,
				Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 1),
				Rack:     fmt.Sprintf("r%d", i/12),
				Total:    requester.Resources{MilliCores: r.pattern.MilliCores, MemoryMB: r.pattern.MemoryMB},
				BootedAt: r.start,
			},
			speed: 1,
		}
		r.workers = append(r.workers, w)
		r.byHost[w.info.HostID] = w
	}
}

func (r *replay) updateWorkerList() {
	infos := make([]scheduler.WorkerInfo, 0, len(r.workers))
	for _, w := range r.workers {
		if !w.removed {
			infos = append(infos, w.info)
		}
	}
	r.core.SetWorkers(r.now, infos)
	r.scheduleAfter(listInterval, r.updateWorkerList)
}

// tick runs the core's decisions, delivers the resulting orders to the workers
// and schedules the next tick.
func (r *replay) tick() {
	before := time.Now()
	orders := r.core.Tick(r.now)
	r.requestAdvice()
	r.decideTime += time.Since(before)
	r.deliver(orders)
	r.commitBatch()
	r.recordJobEnds()
	r.scheduleAfter(tickInterval, r.tick)
}

// deliver delivers orders to the workers.
func (r *replay) deliver(orders scheduler.Orders) {
	for _, order := range orders.Stops {
		r.byHost[order.Worker.HostID].stop(order)
	}
	for _, order := range orders.Starts {
		r.byHost[order.Worker.HostID].start(order)
	}
	for _, order := range orders.Polls {
		r.byHost[order.Worker.HostID].poll(order)
	}
}

// commitBatch starts the commit of the core's next batch of row writes unless a
// commit is in flight.
func (r *replay) commitBatch() {
	if r.commitInFlight {
		return
	}
	batch := r.core.TakeBatch(maxBatchRows)
	if batch.Empty() {
		return
	}
	r.commitInFlight = true
	r.scheduleAfter(commitLatency, func() {
		r.commitInFlight = false
		r.core.Committed(r.now, batch)
	})
}

// requestAdvice sends the core's advice requests, each to the entry that can
// process it first.
func (r *replay) requestAdvice() {
	capacity := scheduler.AdviceCapacity{
		Any:   maxAdvicePerEntry*(len(r.entryBusyUntil)-r.shortEntries()) - r.adviceInFlight[false],
		Short: maxAdvicePerEntry*r.shortEntries() - r.adviceInFlight[true],
	}
	for _, order := range r.core.RequestAdvice(r.now, capacity) {
		short := !order.Long() && r.adviceInFlight[true] < maxAdvicePerEntry*r.shortEntries()
		r.adviceInFlight[short]++
		from, to := 0, len(r.entryBusyUntil)-r.shortEntries()
		if short {
			from, to = to, len(r.entryBusyUntil)
		}
		earliest := from
		for i := from; i < to; i++ {
			if r.entryBusyUntil[i].Before(r.entryBusyUntil[earliest]) {
				earliest = i
			}
		}
		startsAt := r.entryBusyUntil[earliest]
		if startsAt.Before(r.now) {
			startsAt = r.now
		}
		kind := r.byID[order.Step.Job].kind
		duration := time.Duration((kind.AdviceMillis + kind.AdviceWorkerMillis*float64(len(order.Workers))) * float64(time.Millisecond))
		r.entryBusyUntil[earliest] = startsAt.Add(duration)
		r.schedule(startsAt.Add(duration+2*orderLatency), func() {
			r.adviceInFlight[short]--
			r.core.AdviceDone(r.now, order, r.tickets(kind, order), false)
		})
	}
}

// shortEntries returns the number of entries set aside for short advice requests.
func (r *replay) shortEntries() int { return len(r.entryBusyUntil) / shortEntryDivisor }

// tickets returns tickets for the workers in the request that may run the step.
// Whether a worker may is drawn independently for each step, and repeated
// requests get the same result.
func (r *replay) tickets(kind *Kind, order scheduler.AdviceRequest) []scheduler.Ticket {
	var tickets []scheduler.Ticket
	for _, id := range order.Workers {
		if hashFraction(r.seed, order.Step, id) < kind.AllowedShare {
			tickets = append(tickets, scheduler.Ticket{Worker: id, Text: "t"})
		}
	}
	return tickets
}
