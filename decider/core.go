// Package decider is the decision core of an entry (scheduler process).
//
// A Core handles events, each with the time at which it happened, and returns
// commands. It owns no goroutine, lock, clock or socket: the entry's control
// goroutine runs it, tests and benchmarks run it under simulated time. Events
// are calls and job requests from callers, messages from other entries, and
// the results of earlier commands. Commands are replies, messages to other
// entries, transactions and reads on the table, attempts at endpoints and
// syncs of workers.
//
// # Model
//
// The endpoints and the requests of a data centre are divided among its call
// shards by hashing; its workers belong to one more shard, the placement
// shard. An entry holds a shard under a lease that is stored in the table; the
// shard's epoch is the fencing token. While the table is unavailable, the other
// entries of the data centre can extend a lease by grants. The holder of a call
// shard owns the endpoints of the shard, to which it dispatches calls, and is
// the coordinator of the requests of the shard. The holder of the placement
// shard places tasks on the workers.
//
// A request is identified by its RequestID. A caller may send several calls for
// it: the attempts of the request. The entry that dispatches a call may in turn
// make several attempts at endpoints, each started by a StartAttempt.
//
// A call may arrive at any entry, which forwards it to an entry that owns
// endpoints of the service. A call that is not idempotent, and so must not run
// twice, or that is exclusive, and so must not run in two places at once, goes
// to its coordinator first. The coordinator lets a repeated attempt wait for the
// one in progress, or gives it the answer of the one that has ended. If it can't
// rule out that an earlier attempt ran under another coordinator, the outcome is
// Unknown. It stores a write-ahead record of a new request before it routes the
// call to an entry that owns endpoints. The record is a row of the table or,
// while the table is unavailable, a replica in the memory of other entries. If
// no other entry of the data centre is alive then, the record exists in the
// coordinator's own memory only.
//
// # Parts
//
// There is a file for each part:
//
//   - peers: the other entries, their loads, clock offsets and shards
//   - table: reads and transactions, also those that a peer runs for this entry
//   - shards: the shards that this entry holds, acquires and releases
//   - drain: graceful shutdown
//   - receive: calls from callers and peers, and the answers to them
//   - forward: routing of calls to other entries
//   - coordinator: deduplication of attempts
//   - writeahead: the write-ahead records of requests
//   - pools: the endpoints that this entry owns, and the load on them
//   - run, attempt: execution of calls at these endpoints
//   - demand: slots kept free for more urgent calls
//   - config: changes and propagation of the configuration
//   - fleet: tasks on the workers of the data centre
//   - jobs: requests of callers and operators about jobs and workers
//   - view: the snapshot that operators see
//
// # Invariants
//
// A call that is not idempotent is dispatched at most once, no endpoint is
// given more calls than it has slots, an outcome that proves that a call did
// not run is never reported for a call that was sent, and the revision of the
// configuration never decreases. Each is checked where it could be broken. A
// violation is reported by a Violation command; a second dispatch is withheld,
// and a false outcome is replaced by Unknown. Rows of the table that can't be
// decoded are reported in the same way.
package decider

import (
	"time"

	"kumquatstall/estimator"
	"kumquatstall/keeper"
	"kumquatstall/leaser"
	"kumquatstall/placer"
	"kumquatstall/recorder"
	"kumquatstall/requester"
	"kumquatstall/retrier"
	"kumquatstall/tuner"
)

// Core is the decision core of one entry.
type Core struct {
	options Options
	// now is the time of the event being handled.
	now time.Time
	// commands are those issued for the event being handled.
	commands []Command
	timers   timers
	// nextID numbers the messages to other entries and the commands. It begins at the
	// incarnation, a time in nanoseconds, so that a reply to another incarnation of
	// this entry, which links tell apart by the entry's name only, matches nothing.
	nextID uint64

	leaser    *leaser.Leaser
	config    *tuner.Store
	registry  *recorder.Registry
	replicas  *recorder.Replicas
	budgets   *retrier.Budgets
	durations *estimator.Durations
	peers     map[requester.EntryID]*peer
	// peerOrder holds the peers sorted by EntryID.
	peerOrder []*peer
	// shardHolders has, for each shard, the peer whose heartbeat reported it
	// under the highest epoch so far.
	shardHolders map[leaser.Shard]holder
	// coordinatorShards are the shards that are held or being released, the
	// placement shard included, by number.
	coordinatorShards map[int]*coordinatorShard
	// formerShards are the shards that were released or lost, each with the
	// state of its last tenure here, for the reply to the next holder's
	// ReplicaFetch.
	formerShards map[int]*coordinatorShard
	pools        map[requester.Service]*servicePool
	// forwards and executions are keyed by their own IDs. attempts holds the
	// executions by the ID of each attempt that still occupies a slot.
	forwards   map[uint64]*forward
	executions map[uint64]*execution
	attempts   map[uint64]*execution
	// byOrigin is the ID of the forward or execution of each origin.
	byOrigin map[recorder.Origin]uint64
	// waitingCallers are the requests of callers that await an answer, by
	// token.
	waitingCallers map[uint64]requester.RequestID
	// writeAheads are the write-ahead records being stored; replications
	// holds them by the ID of each replicate request in flight.
	writeAheads       map[requester.RequestID]*writeAhead
	replications      map[uint64]*writeAhead
	transactCallbacks map[uint64]func(result keeper.TransactResult, failure TableFailure)
	readCallbacks     map[uint64]func(result keeper.ReadResult, failed bool)
	relays            map[uint64]*relay
	jobRequests       map[uint64]*pendingJobRequest
	// grantRounds are the latest grant requests, by round.
	grantRounds map[int64]leaser.GrantRequest

	hosts []keeper.Host
	// hostShards is the number of the call shard of each endpoint that the
	// host list has named.
	hostShards map[requester.HostID]int
	hostViews  []HostView
	// fleet is nil unless this entry holds the placement shard, under
	// fleetEpoch, and has read its jobs.
	fleet      *placer.Fleet
	fleetEpoch int64

	readInFlight bool
	readSentAt   time.Time
	hasReadTable bool
	// tableRequestFailed reports whether the last read of the table, or a
	// write of a write-ahead record after it, got no result.
	tableRequestFailed bool
	// releaseCount counts the releases of shards. Heartbeats carry it, so
	// that peers read the table at once when it has changed.
	releaseCount        int64
	hostListRequestedAt time.Time
	hostListInFlight    bool
	heartbeatAt         time.Time
	sweptAt             time.Time
	jobsWrittenAt       time.Time
	jobWriteInFlight    bool
	// storingWriteAheads is true while replicated write-ahead records are
	// being written to the table.
	storingWriteAheads bool
	// appliedOwnership is the ownership key that the coordinator shards, pools
	// and fleet match. It is set to the empty string to force a reconciliation.
	appliedOwnership string
	// tableOutageAt is when the table was last found unavailable to this entry
	// or to a peer, so that write-ahead records may exist as replicas only.
	tableOutageAt time.Time
	// memberLostAt is when an entry of the data centre last restarted,
	// refused connections or was removed from the member list. Its replicas
	// may be lost.
	memberLostAt   time.Time
	startedAt      time.Time
	draining       bool
	drainStartedAt time.Time
	// releasingAll is true once a draining entry has started to release its
	// shards.
	releasingAll bool
	stopped      bool
	stats        Stats
}

// Stats are the counters of the core. Operators see them under these names.
type Stats struct {
	// Dispatched counts the attempts at endpoints, Retried the calls enqueued
	// for a further one, and Forwarded the calls sent to peers.
	Dispatched int64
	Retried    int64
	Forwarded  int64
	Violations int64
	// SeatsTaken counts the shards acquired; SeatsLost those released or
	// lost. SeatsExtended is not counted and stays 0.
	SeatsTaken    int64
	SeatsLost     int64
	SeatsExtended int64
	// IntentsTable counts the calls whose write-ahead record was stored in the
	// table before they were dispatched, IntentsWitness those whose record was
	// replicated to other entries instead.
	IntentsTable   int64
	IntentsWitness int64
	TasksPlaced    int64
	// TasksLapsed counts the tasks whose worker's lease expired.
	TasksLapsed int64
	// ConfigApplied counts the updates that changed the configuration and all
	// reads of it.
	ConfigApplied int64
}

// New returns a core that holds no shard, knows no peer and has an empty
// configuration.
func New(options Options, now time.Time) *Core {
	options = options.withDefaults()
	own, _ := options.dataCentre(options.DataCentre)
	return &Core{
		options: options,
		now:     now,
		leaser: leaser.New(leaser.Options{
			Self:        options.Self,
			Incarnation: options.Incarnation,
			Address:     options.Address,
			DataCentre:  options.DataCentre,
			Shards:      own.Shards,
			Term:        options.ShardLeaseTerm,
			Margin:      options.Margin,
		}, now),
		config:            tuner.NewStore(),
		registry:          recorder.NewRegistry(),
		replicas:          recorder.NewReplicas(),
		budgets:           retrier.New(),
		durations:         estimator.NewDurations(initialRunTime),
		peers:             make(map[requester.EntryID]*peer),
		shardHolders:      make(map[leaser.Shard]holder),
		coordinatorShards: make(map[int]*coordinatorShard),
		formerShards:      make(map[int]*coordinatorShard),
		pools:             make(map[requester.Service]*servicePool),
		forwards:          make(map[uint64]*forward),
		executions:        make(map[uint64]*execution),
		attempts:          make(map[uint64]*execution),
		byOrigin:          make(map[recorder.Origin]uint64),
		waitingCallers:    make(map[uint64]requester.RequestID),
		writeAheads:       make(map[requester.RequestID]*writeAhead),
		replications:      make(map[uint64]*writeAhead),
		transactCallbacks: make(map[uint64]func(keeper.TransactResult, TableFailure)),
		readCallbacks:     make(map[uint64]func(keeper.ReadResult, bool)),
		relays:            make(map[uint64]*relay),
		jobRequests:       make(map[uint64]*pendingJobRequest),
		grantRounds:       make(map[int64]leaser.GrantRequest),
		hostShards:        make(map[requester.HostID]int),
		nextID:            uint64(options.Incarnation),
		startedAt:         now,
	}
}

// initialRunTime is the estimated run time of a kind of call that has not been
// observed yet.
const initialRunTime = 5 * time.Millisecond

// Handle handles an event that happened at now and returns the commands to
// carry out. The slice is valid until the next call.
func (c *Core) Handle(now time.Time, event Event) []Command {
	c.now = now
	c.commands = c.commands[:0]
	c.runTimers()
	switch event := event.(type) {
	case Tick:
		c.tick()
	case CallArrived:
		c.onCall(event)
	case CallerDisconnected:
		c.onCallerDisconnected(event)
	case PeerUp:
		c.onPeerUp(event)
	case PeerDown:
		c.onPeerDown(event.EntryID)
	case PeerRefused:
		c.onPeerRefused(event)
	case PeerMessage:
		c.onPeerMessage(event)
	case TransactDone:
		if done, ok := c.transactCallbacks[event.ID]; ok {
			delete(c.transactCallbacks, event.ID)
			done(event.Result, event.Failure)
		}
	case ReadDone:
		if done, ok := c.readCallbacks[event.ID]; ok {
			delete(c.readCallbacks, event.ID)
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
	case ConfigChangeRequested:
		c.onConfigChangeRequested(event)
	case JobActionRequested:
		c.onClientJobRequest(event)
	case Drain:
		c.drain()
	}
	c.dispatchAll()
	return c.commands
}

func (c *Core) emit(command Command) { c.commands = append(c.commands, command) }

func (c *Core) newID() uint64 {
	c.nextID++
	return c.nextID
}

// tick does the periodic work that is due.
func (c *Core) tick() {
	c.readTable()
	c.listHosts()
	c.tickHeartbeat()
	c.dropUnresponsivePeers()
	c.tickShards()
	c.storeReplicated()
	c.reconcileOwnership()
	c.tickPools()
	c.tickFleet()
	c.sweep()
	c.tickDrain()
}

// sweepInterval is the time between sweeps, whose work is not urgent.
const sweepInterval = time.Second

// sweep deletes expired replicas, write-ahead records and jobs, and removes
// dead entries from the member list.
func (c *Core) sweep() {
	if c.now.Sub(c.sweptAt) < sweepInterval {
		return
	}
	c.sweptAt = c.now
	c.replicas.Expire(c.now)
	c.deleteWriteAheads(c.registry.Expire(c.now))
	c.expireJobs()
	c.removeStaleMembers()
}

// reportViolation counts a broken invariant and reports it by a command.
func (c *Core) reportViolation(name, detail string) {
	c.stats.Violations++
	c.emit(Violation{Name: name, Detail: detail})
}
