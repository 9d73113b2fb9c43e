// Package dispatcher runs jobs at one entry.
//
// Every entry accepts, cancels and shows jobs; it needs the store and the
// configuration for that, and no other entry. One entry at a time owns the
// cell: it runs the core of package scheduler and gives orders to workers.
//
// # Rows
//
// Entries write the rows of jobs, in several parts of the store. The owner
// writes their states and progress, and a row of its own, in one part, so that
// one transaction may touch all of these. Each of its commits requires its row
// as it wrote it last and writes it anew; a commit is a renewal, and an entry
// that has lost the row can't write states or progress at all.
//
// # Goroutines
//
// One goroutine follows the configuration, one the states, one decides whether
// to claim the cell. A session (the time as owner) has one control goroutine,
// which alone uses the core; orders, looks and commits run on goroutines of
// their own and post what comes of them.
package dispatcher

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/linker"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// Change is a row that was written, or removed.
type Change struct {
	Row     keeper.Row
	Removed bool
}

// Store keeps the rows. A key names a table, a part of it and a row, with
// slashes between them.
type Store interface {
	keeper.Table
	// List returns the rows below a table's prefix, and a revision after
	// which changes are missing from them.
	List(ctx context.Context, prefix string) ([]keeper.Row, int64, error)
	// Watch returns what has changed below a table's prefix after a revision
	// and the revision from which to go on. It waits for a change until the
	// given time. The error is ErrHistoryGone where changes were dropped.
	Watch(ctx context.Context, prefix string, after int64, until time.Time) ([]Change, int64, error)
}

// Workers takes orders to workers.
type Workers interface {
	Start(ctx context.Context, order scheduler.StartOrder) scheduler.OrderResult
	Stop(ctx context.Context, order scheduler.StopOrder) scheduler.OrderResult
	Look(ctx context.Context, order scheduler.PollOrder, wait time.Duration) (*scheduler.Report, scheduler.OrderResult)
}

// Adviser tells which workers may run a step. It answers one question at a
// time for each host.
type Adviser interface {
	Ask(ctx context.Context, step scheduler.StepName, workers []requester.HostID) ([]scheduler.Ticket, error)
}

// Platform is the world outside.
type Platform interface {
	Store
	Workers
	Adviser
	// Config reads the newest configuration; nil where there is none yet.
	Config(ctx context.Context) (*Config, int64, error)
	// WatchConfig waits for a change of the configuration after a revision;
	// nil where none came.
	WatchConfig(ctx context.Context, after int64, until time.Time) (*Config, int64, error)
	// ListWorkers returns the workers on the platform's list.
	ListWorkers(ctx context.Context) ([]scheduler.WorkerInfo, error)
}

// Options configures a Dispatcher. A zero duration means its default.
type Options struct {
	Self       requester.EntryID
	DataCentre requester.DataCentre
	// Address is where other entries reach this one's links.
	Address netip.AddrPort
	// OwnerTerm is how long an owner's row stands without renewal before
	// others may claim; default 0.8 s.
	OwnerTerm time.Duration
	// Cores is what the host has of processors; where it has less, it leaves
	// the cell to others for longer. 0 means 1.
	Cores float64
	// LongestLease is the longest that a worker grants; default 10 s.
	LongestLease time.Duration
	// WritesPerSecond bounds this entry's writes; default 60.
	WritesPerSecond float64
	// StateRetention is how long an ended job is shown; default 3 min.
	StateRetention time.Duration
}

func (o Options) withDefaults() Options {
	if o.OwnerTerm <= 0 {
		o.OwnerTerm = 800 * time.Millisecond
	}
	if o.Cores <= 0 {
		o.Cores = 1
	}
	if o.LongestLease <= 0 {
		o.LongestLease = 10 * time.Second
	}
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = 60
	}
	if o.StateRetention <= 0 {
		o.StateRetention = 3 * time.Minute
	}
	return o
}

// Dispatcher runs jobs at one entry.
type Dispatcher struct {
	options  Options
	platform Platform
	log      zerolog.Logger
	clock    Clock
	board    *board
	store    *keeper.Hedged
	// tables write jobs, one for each part.
	tables   []*keeper.Client
	linker   *linker.Linker
	config   atomic.Pointer[Config]
	session  atomic.Pointer[session]
	draining atomic.Bool
	// slowness is how long the store has taken to answer reads.
	slowness keeper.Latency
	// storeSeen is when the store last answered a watch, by the clock.
	storeSeen atomic.Int64
	// refusedEpoch is the epoch of an owner whose host has refused a
	// connection, so that no entry runs there; 0 for none.
	refusedEpoch atomic.Int64
	counters     counters
	// cellStats is what this entry has counted as owner, as of the last line
	// on how busy the cell is.
	cellStats atomic.Pointer[scheduler.Stats]
	ctx       context.Context
	cancel    context.CancelFunc
	group     sync.WaitGroup
	done      chan struct{}

	// dialed is the owner to which a link is wanted; used by claimLoop only.
	dialed requester.EntryID

	mu sync.Mutex
	// linked are the entries to which a link is up.
	linked map[requester.EntryID]linkedEntry
}

var _ linker.Handler = (*Dispatcher)(nil)

// maxTransaction bounds the conditions and writes of one transaction.
const maxTransaction = 90

// Start starts the parts of an entry. clock may be nil.
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
		board:    newBoard(),
		ctx:      ctx,
		cancel:   cancel,
		done:     make(chan struct{}),
		linked:   make(map[requester.EntryID]linkedEntry),
	}
	d.store = keeper.NewHedged(platform)
	for range scheduler.JobPartitions {
		d.tables = append(d.tables, keeper.Start(d.store, keeper.Options{
			WritesPerSecond: options.WritesPerSecond / scheduler.JobPartitions,
			MaxEntries:      maxTransaction,
			CallTimeout:     storeTimeout,
		}))
	}
	self := encoder.PeerInfo{EntryID: options.Self, DataCentre: options.DataCentre, Address: options.Address}
	d.linker = linker.New(linker.Options{Self: self, Incarnation: time.Now().UnixNano(), DialImmediately: true}, d)
	for _, part := range []func(){d.followConfig, d.followStates, d.claimLoop} {
		d.group.Go(part)
	}
	return d
}

// Links serves links from other entries.
func (d *Dispatcher) Links() *linker.Linker { return d.linker }

// inTouch is how long ago the store may have answered for the entry to take
// work, and some more where its answers take long.
const inTouch = 900 * time.Millisecond

// storeLatency is how long the store's answers have taken lately.
func (d *Dispatcher) storeLatency() time.Duration { return d.slowness.Recent() }

// Ready reports whether the entry can take work.
func (d *Dispatcher) Ready() bool {
	return !d.draining.Load() && d.config.Load() != nil && d.storeInTouch()
}

func (d *Dispatcher) storeInTouch() bool {
	seen := d.storeSeen.Load()
	return seen != 0 && d.clock.Now().Sub(time.Unix(0, seen)) < inTouch+2*d.storeLatency()
}

// Drain makes the entry not ready and gives up the cell, if this entry owns
// it. Requests are still served.
func (d *Dispatcher) Drain(ctx context.Context) {
	d.draining.Store(true)
	// Nobody hands the cell over to an entry that goes.
	d.linker.Send(d.board.ownerView().row.Holder, &encoder.EntryCapacity{})
	d.log.Info().Str("Event", "draining").Msg("entry drains")
	if s := d.session.Load(); s != nil {
		s.release()
		select {
		case <-s.done:
		case <-ctx.Done():
		}
	}
}

// Close ends all parts.
func (d *Dispatcher) Close() {
	d.cancel()
	d.linker.Close()
	for _, table := range d.tables {
		table.Close()
	}
	<-d.linker.Done()
	for _, table := range d.tables {
		<-table.Done()
	}
	d.group.Wait()
	close(d.done)
}

// Done is closed when all parts have ended.
func (d *Dispatcher) Done() <-chan struct{} { return d.done }

// pause waits, and reports false where the entry is closing.
func (d *Dispatcher) pause(wait time.Duration) bool { return sleep(d.ctx, wait) }
