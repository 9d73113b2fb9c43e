// Package replayer replays patterns of load against the scheduler's core, in
// virtual time and without input or output, to measure its decisions alone.
//
// A pattern says which kinds of jobs arrive how often, how large and how long
// they are, how wrong their estimates, and what befalls the workers. All draws
// depend on its seed only, so that two versions of the core get the same jobs.
//
// Workers obey all orders after a short delay and tell of ends at once. The
// members of a gang begin once all are there, and end together. Questions for advice are answered
// one by one for each entry. The store takes a batch in a fixed time. So what
// is lost against the bound is lost by decisions: by order, by packing, by
// waiting for advice, and by what is started where it makes no progress.
//
// The bound is that of an ideal scheduler that splits work at will and knows
// no deadline, so it can't be reached under overload; it serves to compare.
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
	service = "service"
	// lateFactor times the time in which it is worth all is when a job is
	// worth nothing any more.
	lateFactor = 3
	// chainAdvised is the number of workers in the question for advice that a
	// job's time allows for.
	chainAdvised = 30
	tickInterval = 10 * time.Millisecond
	// acceptTime is from a job's arrival until the owner knows it.
	acceptTime = 30 * time.Millisecond
	commitTime = 20 * time.Millisecond
	orderTime  = 4 * time.Millisecond
	listTime   = 700 * time.Millisecond
	lookWait   = time.Second
	// silentTime is until an order to a worker that can't be reached fails.
	silentTime = 700 * time.Millisecond
	batchRows  = 70
	// adviceDepth is how many questions one entry may have open.
	adviceDepth = 2
	// shortShare is which part of the entries asks short questions only.
	shortShare = 5
)

// event is something that happens at a time.
type event struct {
	at     time.Time
	serial int
	do     func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].serial < e[j].serial
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// replay is one run of a pattern.
type replay struct {
	pattern *Pattern
	seed    uint64
	start   time.Time
	now     time.Time
	events  events
	serial  int
	core    *scheduler.Core
	jobs    []*drawnJob
	byID    map[requester.JobID]*drawnJob
	workers []*worker
	byHost  map[requester.HostID]*worker
	gangs   map[gangRun]*gang
	// entries are until when each entry's questions keep the service busy.
	entries []time.Time
	// asking counts the questions on their way, by entries for short ones only
	// and by the others.
	asking map[bool]int
	saving bool
	used   usage
	tickAt time.Duration
}

// Run replays a pattern.
func Run(pattern *Pattern, seed uint64) *Result { return newReplay(pattern, seed).run() }

func newReplay(pattern *Pattern, seed uint64) *replay {
	start := time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC)
	r := &replay{
		pattern: pattern, seed: seed, start: start, now: start,
		core:    scheduler.New(scheduler.Options{Epoch: 1}, start),
		jobs:    draw(pattern, seed, start),
		byID:    make(map[requester.JobID]*drawnJob),
		byHost:  make(map[requester.HostID]*worker),
		gangs:   make(map[gangRun]*gang),
		entries: make([]time.Time, pattern.Entries),
		asking:  make(map[bool]int),
	}
	r.addWorkers()
	r.list()
	for _, j := range r.jobs {
		r.byID[j.spec.JobID] = j
		r.at(j.arrivesAt.Add(acceptTime), func() { r.core.Add(r.now, j.spec) })
		if !j.cancelAt.IsZero() {
			r.at(j.cancelAt.Add(acceptTime), func() { r.core.Cancel(r.now, j.spec.JobID) })
		}
	}
	r.at(start.Add(seconds(pattern.Troubles.AtSeconds)), r.beginTroubles)
	return r
}

// run replays until the pattern's end.
func (r *replay) run() *Result {
	end := r.start.Add(seconds(r.pattern.Seconds + r.pattern.SettleSeconds))
	r.tick()
	for len(r.events) > 0 && !r.events[0].at.After(end) {
		next := heap.Pop(&r.events).(event)
		r.now = next.at
		next.do()
	}
	return r.result()
}

func (r *replay) at(at time.Time, do func()) {
	r.serial++
	heap.Push(&r.events, event{at, r.serial, do})
}

func (r *replay) after(wait time.Duration, do func()) { r.at(r.now.Add(wait), do) }

func (r *replay) addWorkers() {
	for i := range r.pattern.Workers {
		w := &worker{
			replay: r,
			info: scheduler.WorkerInfo{
				HostID:   requester.HostID(fmt.Sprintf("w%04d", i)),
				Service:  service,
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

func (r *replay) list() {
	infos := make([]scheduler.WorkerInfo, 0, len(r.workers))
	for _, w := range r.workers {
		if !w.gone {
			infos = append(infos, w.info)
		}
	}
	r.core.SetWorkers(r.now, infos)
	r.after(listTime, r.list)
}

// tick lets the core decide and carries out what it orders.
func (r *replay) tick() {
	before := time.Now()
	orders := r.core.Tick(r.now)
	r.ask()
	r.tickAt += time.Since(before)
	for _, order := range orders.Stops {
		r.byHost[order.Worker.HostID].stop(order)
	}
	for _, order := range orders.Starts {
		r.byHost[order.Worker.HostID].start(order)
	}
	for _, order := range orders.Polls {
		r.byHost[order.Worker.HostID].look(order)
	}
	r.save()
	r.takeNotes()
	r.after(tickInterval, r.tick)
}

func (r *replay) save() {
	if r.saving {
		return
	}
	batch := r.core.TakeBatch(batchRows)
	if batch.Empty() {
		return
	}
	r.saving = true
	r.after(commitTime, func() {
		r.saving = false
		r.core.Committed(r.now, batch)
	})
}

// ask sends the questions for advice that the core wants asked, each to the
// entry that is free first.
func (r *replay) ask() {
	room := scheduler.AdviceRoom{
		Any:   adviceDepth*(len(r.entries)-r.reserved()) - r.asking[false],
		Short: adviceDepth*r.reserved() - r.asking[true],
	}
	for _, order := range r.core.Advise(r.now, room) {
		short := !order.Long() && r.asking[true] < adviceDepth*r.reserved()
		r.asking[short]++
		from, to := 0, len(r.entries)-r.reserved()
		if short {
			from, to = to, len(r.entries)
		}
		first := from
		for i := from; i < to; i++ {
			if r.entries[i].Before(r.entries[first]) {
				first = i
			}
		}
		begins := r.entries[first]
		if begins.Before(r.now) {
			begins = r.now
		}
		kind := r.byID[order.Step.Job].kind
		takes := time.Duration((kind.AdviceMillis + kind.AdviceWorkerMillis*float64(len(order.Workers))) * float64(time.Millisecond))
		r.entries[first] = begins.Add(takes)
		r.at(begins.Add(takes+2*orderTime), func() {
			r.asking[short]--
			r.core.Advised(r.now, order, r.allowed(kind, order), false)
		})
	}
}

// reserved is how many entries ask short questions only.
func (r *replay) reserved() int { return len(r.entries) / shortShare }

// allowed returns tickets for the workers that may run a step, which is drawn
// anew for each step and the same whenever it is asked.
func (r *replay) allowed(kind *Kind, order scheduler.AdviceRequest) []scheduler.Ticket {
	var tickets []scheduler.Ticket
	for _, id := range order.Workers {
		if hashShare(r.seed, order.Step, id) < kind.AllowedShare {
			tickets = append(tickets, scheduler.Ticket{Worker: id, Text: "t"})
		}
	}
	return tickets
}
