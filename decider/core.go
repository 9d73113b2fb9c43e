// Package decider is the decision core of an entry.
//
// A Core takes events with the time at which they happened and returns
// commands. It owns no goroutine, lock, clock or socket: the entry's control
// goroutine runs it, tests and benchmarks run it with a time of their own.
// What it decides falls into parts, one file each:
//
//   - peers: the other entries, their loads, clocks and seats
//   - seats: which seats this entry holds and what follows from them
//   - receive: where a call that arrived here goes next
//   - home: requests that must not run twice
//   - run: calls to endpoints that this entry owns
//   - config: profiles and marks
//   - jobs: tasks on the workers of the data centre
//
// Invariants are checked where a command is about to be issued. One that does
// not hold is reported by a Violation command and the command is withheld.
package decider

import (
	"container/heap"
	"net/netip"
	"time"

	"kumquatstall/estimator"
	"kumquatstall/keeper"
	"kumquatstall/leaser"
	"kumquatstall/placer"
	"kumquatstall/recorder"
	"kumquatstall/requester"
	"kumquatstall/retrier"
	"kumquatstall/router"
	"kumquatstall/tuner"
)

// DataCentreInfo is a data centre and its number of seats.
type DataCentreInfo struct {
	Name  requester.DataCentre
	Seats int
}

// Options configures a Core. Identity and DataCentres must be set; a zero
// duration means its default.
type Options struct {
	Self        requester.EntryID
	Incarnation int64
	Address     netip.AddrPort
	DataCentre  requester.DataCentre
	DataCentres []DataCentreInfo
	// SeatTerm is how long a lease of a seat lasts; default 3 s.
	SeatTerm time.Duration
	// TaskTerm is how long a lease of a worker lasts; default 6 s.
	TaskTerm time.Duration
	// Margin covers clock rates and messages on their way; default 300 ms.
	Margin time.Duration
	// HeartbeatInterval separates heartbeats; default 500 ms.
	HeartbeatInterval time.Duration
	// SyncInterval separates the syncs of an idle worker; default 1 s.
	SyncInterval time.Duration
	// HostListInterval separates reads of the host list; default 2 s.
	HostListInterval time.Duration
	// RequestHorizon is how long an ended request is remembered; default
	// 2 min.
	RequestHorizon time.Duration
	// MaxCallLifetime bounds how far off a call's deadline may be; default
	// 1 min.
	MaxCallLifetime time.Duration
	// JobRetention is how long an ended job is remembered; default 10 min.
	JobRetention time.Duration
}

func (o Options) withDefaults() Options {
	defaults := []struct {
		value    *time.Duration
		standard time.Duration
	}{
		{&o.SeatTerm, 3 * time.Second},
		{&o.TaskTerm, 6 * time.Second},
		{&o.Margin, 300 * time.Millisecond},
		{&o.HeartbeatInterval, 500 * time.Millisecond},
		{&o.SyncInterval, time.Second},
		{&o.HostListInterval, 2 * time.Second},
		{&o.RequestHorizon, 2 * time.Minute},
		{&o.MaxCallLifetime, time.Minute},
		{&o.JobRetention, 10 * time.Minute},
	}
	for _, d := range defaults {
		if *d.value <= 0 {
			*d.value = d.standard
		}
	}
	return o
}

// Core is the decision core of one entry.
type Core struct {
	options Options
	now     time.Time
	out     []Command
	timers  timers
	nextID  uint64

	leaser    *leaser.Leaser
	config    *tuner.Store
	book      *recorder.Registry
	witnesses *recorder.Replicas
	budgets   *retrier.Budgets
	durations *estimator.Durations
	peers     map[requester.EntryID]*peer
	// peerOrder holds the peers sorted by name.
	peerOrder []*peer
	directory map[leaser.Shard]holder
	homes     map[int]*homeSeat
	// formerHomes are the seats last given up.
	formerHomes map[int]*homeSeat
	pools       map[requester.Service]*servicePool
	forwards    map[uint64]*forward
	executions  map[uint64]*execution
	attempts    map[uint64]*execution
	byOrigin    map[recorder.Origin]uint64
	tokens      map[uint64]requester.RequestID
	intents     map[requester.RequestID]*intent
	witnessing  map[uint64]*intent
	tableDone   map[uint64]func(result keeper.TransactResult, failure TableFailure)
	readDone    map[uint64]func(result keeper.ReadResult, failed bool)
	relays      map[uint64]*relay
	jobAsks     map[uint64]*pendingJobRequest
	sentRounds  map[int64]leaser.GrantRequest

	hosts     []keeper.Host
	hostSeats map[requester.HostID]int
	hostViews []HostView
	fleet     *placer.Fleet
	fleetSeat int64

	readOpen bool
	readAt   time.Time
	everRead bool
	// tableDoubtful tells that the table's last answer failed to come.
	tableDoubtful bool
	// vacated counts the seats that this entry has left.
	vacated      int64
	hostsAskedAt time.Time
	hostsOpen    bool
	heartbeatAt  time.Time
	sweptAt      time.Time
	savedAt      time.Time
	saveOpen     bool
	// storingIntents tells that witnessed intents are being written.
	storingIntents bool
	ownedKey       string
	outageAt       time.Time
	memberLostAt   time.Time
	startedAt      time.Time
	draining       bool
	drainedAt      time.Time
	// handingOver tells that an entry that shuts down gives up its seats.
	handingOver bool
	stopped     bool
	stats       Stats
}

// Stats counts what the core did.
type Stats struct {
	Dispatched     int64
	Retried        int64
	Forwarded      int64
	Violations     int64
	SeatsTaken     int64
	SeatsLost      int64
	SeatsExtended  int64
	IntentsTable   int64
	IntentsWitness int64
	TasksPlaced    int64
	TasksLapsed    int64
	ConfigApplied  int64
}

// New returns a core that knows nothing yet.
func New(options Options, now time.Time) *Core {
	options = options.withDefaults()
	seats := 0
	for _, dataCentre := range options.DataCentres {
		if dataCentre.Name == options.DataCentre {
			seats = dataCentre.Seats
		}
	}
	return &Core{
		options: options,
		now:     now,
		leaser: leaser.New(leaser.Options{
			Self:        options.Self,
			Incarnation: options.Incarnation,
			Address:     options.Address,
			DataCentre:  options.DataCentre,
			Shards:      seats,
			Term:        options.SeatTerm,
			Margin:      options.Margin,
		}, now),
		config:      tuner.NewStore(),
		book:        recorder.NewRegistry(),
		witnesses:   recorder.NewReplicas(),
		budgets:     retrier.New(),
		durations:   estimator.NewDurations(initialRunTime),
		peers:       make(map[requester.EntryID]*peer),
		directory:   make(map[leaser.Shard]holder),
		homes:       make(map[int]*homeSeat),
		formerHomes: make(map[int]*homeSeat),
		pools:       make(map[requester.Service]*servicePool),
		forwards:    make(map[uint64]*forward),
		executions:  make(map[uint64]*execution),
		attempts:    make(map[uint64]*execution),
		byOrigin:    make(map[recorder.Origin]uint64),
		tokens:      make(map[uint64]requester.RequestID),
		intents:     make(map[requester.RequestID]*intent),
		witnessing:  make(map[uint64]*intent),
		tableDone:   make(map[uint64]func(keeper.TransactResult, TableFailure)),
		readDone:    make(map[uint64]func(keeper.ReadResult, bool)),
		relays:      make(map[uint64]*relay),
		jobAsks:     make(map[uint64]*pendingJobRequest),
		sentRounds:  make(map[int64]leaser.GrantRequest),
		hostSeats:   make(map[requester.HostID]int),
		startedAt:   now,
	}
}

// initialRunTime is the estimate for a kind of call never seen.
const initialRunTime = 5 * time.Millisecond

// Handle takes in an event and returns what to do. The commands are valid
// until the next call.
func (c *Core) Handle(now time.Time, event Event) []Command {
	c.now = now
	c.out = c.out[:0]
	c.runTimers()
	switch event := event.(type) {
	case Tick:
		c.tick()
	case CallArrived:
		c.onCall(event)
	case CallerLeft:
		c.onCallerLeft(event)
	case PeerUp:
		c.onPeerUp(event)
	case PeerDown:
		c.onPeerDown(event.EntryID)
	case PeerRefused:
		c.onPeerRefused(event)
	case PeerMessage:
		c.onPeerMessage(event)
	case TransactDone:
		if done, ok := c.tableDone[event.ID]; ok {
			delete(c.tableDone, event.ID)
			done(event.Result, event.Failure)
		}
	case ReadDone:
		if done, ok := c.readDone[event.ID]; ok {
			delete(c.readDone, event.ID)
			done(event.Result, event.Failed)
		}
	case HostsListed:
		c.onHosts(event)
	case AttemptDone:
		c.onAttemptDone(event)
	case StatusDone:
		c.onStatus(event)
	case SyncDone:
		c.onSync(event)
	case ConfigAsked:
		c.onConfigAsked(event)
	case JobAsked:
		c.onClientJobRequest(event)
	case Drain:
		c.drain()
	}
	c.dispatchAll()
	return c.out
}

func (c *Core) emit(command Command) { c.out = append(c.out, command) }

func (c *Core) id() uint64 {
	c.nextID++
	return c.nextID
}

// tick does what is due by time alone.
func (c *Core) tick() {
	c.readTable()
	c.listHosts()
	c.tickHeartbeat()
	c.dropUnresponsivePeers()
	c.tickShards()
	c.storeWitnessed()
	c.reconcileOwnership()
	c.tickPools()
	c.tickFleet()
	c.sweep()
	c.tickDrain()
}

// Intervals of work that is not urgent.
const sweepInterval = time.Second

// sweep forgets what has served its time.
func (c *Core) sweep() {
	if c.now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = c.now
	c.witnesses.Expire(c.now)
	c.deleteIntents(c.book.Expire(c.now))
	c.expireJobs()
	c.removeStaleMembers()
}

// violate reports a broken invariant.
func (c *Core) violate(name, detail string) {
	c.stats.Violations++
	c.emit(Violation{Name: name, Detail: detail})
}

// timer is something to do at a time.
type timer struct {
	at time.Time
	do func()
}

// timers is a heap of timers, the next one first.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}

// at runs do at the first event at or after a time.
func (c *Core) at(at time.Time, do func()) { heap.Push(&c.timers, timer{at: at, do: do}) }

func (c *Core) runTimers() {
	for len(c.timers) > 0 && !c.now.Before(c.timers[0].at) {
		next, _ := heap.Pop(&c.timers).(timer)
		next.do()
	}
}

// transact sends a transaction; done may be nil.
func (c *Core) transact(transaction keeper.Transaction, deadline time.Time, done func(keeper.TransactResult, TableFailure)) {
	id := c.id()
	if done != nil {
		c.tableDone[id] = done
	}
	c.emit(Transact{ID: id, Transaction: transaction, Deadline: deadline})
}

// read sends a read.
func (c *Core) read(request keeper.ReadRequest, deadline time.Time, done func(keeper.ReadResult, bool)) {
	id := c.id()
	c.readDone[id] = done
	c.emit(Read{ID: id, Request: request, Deadline: deadline})
}

// breakerLimits returns the breaker's limits under a profile.
func routerLimits(profile tuner.Profile, options Options) router.Limits {
	return router.Limits{
		Breaker:       breakerLimits(profile),
		Random:        profile.EndpointChoice == tuner.ChooseRandom,
		SettleTimeout: options.MaxCallLifetime,
		Margin:        options.Margin,
	}
}
