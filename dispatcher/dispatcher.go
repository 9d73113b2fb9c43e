// Package dispatcher implements one entry, a process of the scheduler on an
// entry host. The entry accepts jobs, and schedules the workers of the cell
// while it owns the cell.
//
// A cell is a set of workers and the jobs that run on them. Every entry accepts
// jobs, cancels them and reports their states. For that it needs only the store
// and the configuration, not another entry. One entry at a time is the owner
// (leader) of the cell: it runs the core of package scheduler, sends the core's
// orders to workers and commits the core's rows. The store, the workers and the
// advice service are behind the interface Platform.
//
// # Rows
//
// The store divides each table into partitions, and a transaction stays within
// one partition. The rows of jobs are written by the entries that accept the
// jobs and are spread over several partitions. The states and the progress of
// jobs are written by the owner, together with the owner's row, and lie in one
// partition, so that one transaction can write all of them.
//
// # Ownership
//
// The owner's row names the owner and its epoch, and is a lease: the owner may
// send orders until the row's term has passed since it sent the last commit
// that succeeded. Every commit of the owner is conditional on the revision of
// the owner's row that it wrote last, and writes the row again. So every commit
// renews the lease, and an entry whose row was replaced can write neither
// states nor progress. An entry acquires the cell by a compare-and-set of the
// owner's row that increments the epoch, once the row is released, the lease
// has expired or the owner's host refuses connections. The epoch is the fencing
// token of all orders to workers, so acquiring the cell early is safe and costs
// only time.
//
// # Links
//
// Entries keep a link to the owner. Links carry notifications of rows that were
// just stored, the advice requests that the owner distributes over the entries, stops that
// the owner can't send alone, and the number of cores of each entry, by which the owner selects its
// successor. A link may lose messages, so each entry also watches the store.
//
// # Goroutines
//
// One goroutine watches the configuration, one watches the states, and one
// acquires the cell when it has no owner. That one is also the control
// goroutine of each session, which is one period of ownership: it alone uses
// the core. Orders, polls and commits run on goroutines of their own and post
// their results to the control goroutine.
package dispatcher

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/linker"
	"kumquatstall/requester"
	"kumquatstall/retrier"
	"kumquatstall/scheduler"
)

// Change is a write or a removal of a row.
type Change struct {
	Row     keeper.Row
	Removed bool
}

// Store is the transactional store of rows. A key consists of a table, a
// partition and a row name, separated by slashes.
type Store interface {
	keeper.Table
	// List returns the rows whose keys begin with a prefix, and a revision.
	// The rows include every change up to that revision.
	List(ctx context.Context, prefix string) ([]keeper.Row, int64, error)
	// Watch returns the changes after a revision to rows whose keys begin with
	// a prefix, and the revision from which to continue. It waits for a change
	// until the given time. The error is ErrHistoryTruncated if the store no
	// longer has all changes after the revision.
	Watch(ctx context.Context, prefix string, after int64, until time.Time) ([]Change, int64, error)
}

// Workers sends orders to workers and returns their results.
type Workers interface {
	// Start also returns the worker's clock, read when the worker accepted the order;
	// 0 if the worker has not shown it.
	Start(ctx context.Context, order scheduler.StartOrder) (scheduler.WorkerTime, scheduler.OrderResult)
	Stop(ctx context.Context, order scheduler.StopOrder) scheduler.OrderResult
	// Pace sets the share of what a run would otherwise use that it may use.
	Pace(ctx context.Context, order scheduler.PaceOrder) scheduler.OrderResult
	// Poll returns the worker's report. A long poll waits for the end of a run
	// for up to wait. The report is nil if the worker sent none.
	Poll(ctx context.Context, order scheduler.PollOrder, wait time.Duration) (*scheduler.Report, scheduler.OrderResult)
}

// AdviceService decides which workers may run a step. It handles the requests
// of one entry host one at a time.
type AdviceService interface {
	// RequestAdvice returns a ticket for each of the workers that may run the
	// step.
	RequestAdvice(ctx context.Context, step scheduler.StepName, workers []requester.HostID) ([]scheduler.Ticket, error)
}

// Platform is everything outside the entry that a Dispatcher calls, except for
// the links to other entries.
type Platform interface {
	Store
	Workers
	AdviceService
	// Config returns the newest configuration, or nil if there is none yet,
	// and a revision from which to watch it.
	Config(ctx context.Context) (*Config, int64, error)
	// WatchConfig waits for a change of the configuration after a revision,
	// until the given time. It returns the newest configuration, or nil if
	// there was no change, and the revision from which to continue.
	WatchConfig(ctx context.Context, after int64, until time.Time) (*Config, int64, error)
	// ListWorkers returns the platform's list of workers.
	ListWorkers(ctx context.Context) ([]scheduler.WorkerInfo, error)
}

// Options configures a Dispatcher. A field that has a default takes it if it is
// zero.
type Options struct {
	Self       requester.EntryID
	DataCentre requester.DataCentre
	// Address is the address at which this entry accepts links.
	Address netip.AddrPort
	// OwnerTerm is the shortest term of the owner's lease; default 0.8 s. If
	// commits are slow, the term is longer, up to 4 s.
	OwnerTerm time.Duration
	// Cores is the number of processor cores of the host; default 1. An entry
	// with fewer cores waits longer before it acquires a cell without an
	// owner.
	Cores float64
	// MaxLease is the longest lease that any owner may grant to a worker;
	// default 10 s.
	MaxLease time.Duration
	// LongestStop is how long a worker may take to end a run; default 0.9 s.
	LongestStop time.Duration
	// WritesPerSecond bounds the transactions with which this entry stores
	// jobs and cancellations; default 60.
	WritesPerSecond float64
	// MaxRuns is how many runs this entry has at most while it owns the cell; 0 means the
	// default of package scheduler.
	MaxRuns int
	// RowBytes is the most bytes that the store takes in the value of a row; default
	// 65,536.
	RowBytes int
	// LinkBytes bounds what messages that are being received on links hold; 0 means
	// the default of package linker.
	LinkBytes int64
	// StateRetention is how long the state of an ended job is kept; default
	// 3 min.
	StateRetention time.Duration
}

func (o Options) withDefaults() Options {
	if o.OwnerTerm <= 0 {
		o.OwnerTerm = 800 * time.Millisecond
	}
	if o.Cores <= 0 {
		o.Cores = 1
	}
	if o.MaxLease <= 0 {
		o.MaxLease = 10 * time.Second
	}
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = 60
	}
	if o.RowBytes <= 0 {
		o.RowBytes = scheduler.DefaultRowBytes
	}
	if o.StateRetention <= 0 {
		o.StateRetention = 3 * time.Minute
	}
	return o
}

// Dispatcher is one entry.
type Dispatcher struct {
	options  Options
	platform Platform
	log      zerolog.Logger
	clock    Clock
	cache    *stateCache
	store    *keeper.Hedged
	// jobWriters write the rows of jobs, one client for each partition.
	jobWriters []*keeper.Client
	linker     *linker.Linker
	config     atomic.Pointer[Config]
	session    atomic.Pointer[session]
	draining   atomic.Bool
	// readLatency is the recent latency of reads from the store.
	readLatency keeper.Latency
	// storeContactedAt is when the store last answered a list or watch of the
	// states, in Unix nanoseconds by clock; 0 before the first answer.
	storeContactedAt atomic.Int64
	// refusedEpoch is the epoch of an owner whose host has refused a
	// connection, which proves that no entry runs there; 0 for none.
	refusedEpoch atomic.Int64
	counters     counters
	// tombstones limits the tombstones that this entry stores.
	tombstones *rate.Limiter
	// doubts are the jobs that a request of this entry may still store.
	doubts doubts
	// adviceTimeouts is how often adviceTimeout is doubled; see requestAdvice.
	adviceTimeouts atomic.Int32
	// batches counts the batches of stops that this entry has from owners.
	batches atomic.Int32
	// cellStats holds the counters of the core as of the last run of logLoad;
	// nil if this entry has not owned the cell.
	cellStats atomic.Pointer[scheduler.Stats]
	// cellAwaited holds what tasks may wait for, as of the same time.
	cellAwaited atomic.Pointer[scheduler.Awaited]
	ctx         context.Context
	cancel      context.CancelFunc
	group       sync.WaitGroup
	done        chan struct{}
	closeOnce   sync.Once

	// dialedOwner is the owner to which this entry keeps a link. Only
	// acquireLoop uses it.
	dialedOwner encoder.PeerInfo
	// announcedAt is when this entry last sent its number of cores to the owner.
	// Only acquireLoop uses it.
	announcedAt time.Time
	// acquisition is the last attempt to acquire the cell. Only acquireLoop uses
	// it.
	acquisition acquisition

	mu sync.Mutex
	// linked has the entries to which a link is up.
	linked map[requester.EntryID]linkedEntry
}

var _ linker.Handler = (*Dispatcher)(nil)

// maxTransaction bounds the total number of conditions and writes of a
// transaction. A commit has the condition on the owner's row and the write of
// that row in addition.
const maxTransaction = 90

// maxTransactionBytes bounds the values of the transactions that are merged into one call
// to the store, in base64. The rest of what a call may hold is left for keys.
const maxTransactionBytes = scheduler.DefaultCallBytes * 9 / 10

// Start starts an entry. If clock is nil, it uses the clock of the host.
func Start(options Options, platform Platform, clock Clock, log zerolog.Logger) *Dispatcher {
	if clock == nil {
		clock = NewClock()
	}
	options = options.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	d := &Dispatcher{
		options:  options,
		platform: platform,
		log:      log,
		clock:    clock,
		cache:    newStateCache(),
		ctx:      ctx,
		cancel:   cancel,
		done:     make(chan struct{}),
		linked:   make(map[requester.EntryID]linkedEntry),

		tombstones: rate.NewLimiter(maxTombstones/rate.Limit(tombstoneRetention.Seconds()), maxTombstones),
	}
	d.store = keeper.NewHedged(platform)
	for range scheduler.JobPartitions {
		d.jobWriters = append(d.jobWriters, keeper.Start(d.store, keeper.Options{
			WritesPerSecond:     options.WritesPerSecond / scheduler.JobPartitions,
			MaxTransactionSize:  maxTransaction,
			MaxTransactionBytes: maxTransactionBytes,
			CallTimeout:         storeTimeout,
		}))
	}
	self := encoder.PeerInfo{EntryID: options.Self, DataCentre: options.DataCentre, Address: options.Address}
	d.linker = linker.New(linker.Options{Self: self, Incarnation: time.Now().UnixNano(), DialImmediately: true, MaxIncomingBytes: options.LinkBytes}, d)
	for _, loop := range []func(){d.watchConfig, d.watchStates, d.acquireLoop} {
		d.group.Go(loop)
	}
	return d
}

// Links returns the linker, which is the HTTP handler for links from other
// entries.
func (d *Dispatcher) Links() *linker.Linker { return d.linker }

// storeContactWindow is how long after the store's last answer the store counts
// as reachable. Twice the read latency is added to it.
const storeContactWindow = 900 * time.Millisecond

// storeLatency returns the recent latency of reads from the store.
func (d *Dispatcher) storeLatency() time.Duration { return d.readLatency.Recent() }

// Ready reports whether the entry accepts jobs: it is not draining, has a
// configuration and reaches the store.
func (d *Dispatcher) Ready() bool {
	return !d.draining.Load() && d.config.Load() != nil && d.storeReachable()
}

// storeReachable reports whether the store has answered a list or watch of the
// states recently.
func (d *Dispatcher) storeReachable() bool {
	contactedAt := d.storeContactedAt.Load()
	return contactedAt != 0 && d.clock.Now().Sub(time.Unix(0, contactedAt)) < storeContactWindow+2*d.storeLatency()
}

// Drain makes the entry not ready and, if it owns the cell, releases the cell.
// It waits for the release until ctx is done. The entry still serves requests.
func (d *Dispatcher) Drain(ctx context.Context) {
	d.draining.Store(true)
	// Without cores, this entry is no candidate when the owner chooses its
	// successor.
	d.linker.Send(d.cache.ownerView().row.Holder, &encoder.EntryCapacity{})
	d.log.Info().Str("Event", "draining").Msg("entry is draining: it is not ready, and releases the cell if it owns it")
	if s := d.session.Load(); s != nil {
		s.release()
		select {
		case <-s.done:
		case <-ctx.Done():
		}
	}
}

// Close stops the entry and waits until all of its goroutines have ended. It
// does not release the cell. Further calls wait for the first one.
func (d *Dispatcher) Close() { d.closeOnce.Do(d.close) }

func (d *Dispatcher) close() {
	d.cancel()
	d.linker.Close()
	for _, writer := range d.jobWriters {
		writer.Close()
	}
	<-d.linker.Done()
	for _, writer := range d.jobWriters {
		<-writer.Done()
	}
	d.group.Wait()
	close(d.done)
}

// Done returns a channel that is closed when Close has stopped the entry.
func (d *Dispatcher) Done() <-chan struct{} { return d.done }

// pause waits, and returns false early if the entry is closing.
func (d *Dispatcher) pause(wait time.Duration) bool { return retrier.Sleep(d.ctx, wait) }
