package standin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/dispatcher"
	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// Cell is the platform of one cell in memory: a store with a change history, the
// configuration, workers and the advice service. It uses no sockets, so tests can
// run it in virtual time.
type Cell struct {
	mu     sync.Mutex
	random *rand.Rand
	// ways draws how long late orders take to arrive, so that the other draws of a seed
	// stay as they are.
	ways    *rand.Rand
	faults  CellFaults
	table   *Rows
	history []dispatcher.Change
	// truncatedAt is the revision after which the history is complete.
	truncatedAt int64
	// changed is closed and replaced at each change of a row or the configuration.
	changed chan struct{}
	config  *dispatcher.Config
	// configRevision is the revision at which config was set.
	configRevision int64
	workers        map[requester.HostID]*TaskWorker
	// adviceRequests counts the advice requests of each entry.
	adviceRequests map[requester.EntryID]int
	// adviceTurns has a mutex for each entry, which its advice requests hold one
	// after the other.
	adviceTurns map[requester.EntryID]*sync.Mutex
	// AdviceTime is how long the advice service works on a request, after Latency.
	// It works on one request of each entry at a time. Set it before the first one.
	AdviceTime time.Duration
	// Latency delays each call to the store, the configuration, the list of
	// workers and the advice service. An order reaches its worker after half of
	// it, and the response to an order is not delayed.
	Latency time.Duration
	// Heartbeat is the interval at which a worker writes its row in the list of workers;
	// see TaskWorker.Listed. With 0 the list shows at once that a worker is down or has
	// started again. Set it before the first call.
	Heartbeat time.Duration
}

// NewCell returns a cell with workers that boot now. The seed determines which
// responses are lost.
func NewCell(seed uint64, workers []scheduler.WorkerInfo) *Cell {
	c := &Cell{
		random:         rand.New(rand.NewPCG(seed, 2)),
		ways:           rand.New(rand.NewPCG(seed, 3)),
		table:          NewRows(),
		changed:        make(chan struct{}),
		workers:        make(map[requester.HostID]*TaskWorker),
		adviceRequests: make(map[requester.EntryID]int),
		adviceTurns:    make(map[requester.EntryID]*sync.Mutex),
		Latency:        4 * time.Millisecond,
	}
	for _, info := range workers {
		c.workers[info.HostID] = NewTaskWorker(info, time.Now())
	}
	return c
}

// SetFaults replaces the injected faults.
func (c *Cell) SetFaults(faults CellFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
	for _, w := range c.workers {
		w.setStoreAway(faults.StoreDown, time.Now())
	}
}

// Worker returns the worker on a host, or nil.
func (c *Cell) Worker(id requester.HostID) *TaskWorker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[id]
}

// Workers returns all workers, sorted by host ID.
func (c *Cell) Workers() []*TaskWorker {
	c.mu.Lock()
	defer c.mu.Unlock()
	var workers []*TaskWorker
	for _, w := range c.workers {
		workers = append(workers, w)
	}
	slices.SortFunc(workers, func(a, b *TaskWorker) int { return strings.Compare(string(a.info.HostID), string(b.info.HostID)) })
	return workers
}

// AdviceRequests returns how many advice requests an entry has sent.
func (c *Cell) AdviceRequests(entry requester.EntryID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.adviceRequests[entry]
}

// SetConfig replaces the configuration and notifies watches.
func (c *Cell) SetConfig(config *dispatcher.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.table.Apply(keeper.Transaction{Writes: []keeper.Write{{Key: configKey}}})
	c.config, c.configRevision = config, result.Revision
	c.notifyWatches()
}

// configKey is the row that SetConfig writes, so that each configuration has a
// revision of the store.
const configKey = "operator/config"

// Row returns the value of a row, or nil if there is none.
func (c *Cell) Row(key string) []byte {
	for _, row := range c.table.Read(keeper.ReadRequest{Keys: []string{key}}).Rows {
		return row.Value
	}
	return nil
}

// Keys returns the sorted keys that begin with prefix.
func (c *Cell) Keys(prefix string) []string {
	var keys []string
	for _, row := range c.table.Read(keeper.ReadRequest{Prefixes: []string{prefix}}).Rows {
		keys = append(keys, row.Key)
	}
	return keys
}

// revision returns the store's revision.
func (c *Cell) revision() int64 { return c.table.Read(keeper.ReadRequest{}).Revision }

// notifyWatches makes the waiting watches check for changes. It is called with mu
// held.
func (c *Cell) notifyWatches() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// PlatformFor returns the cell as the platform of one entry.
func (c *Cell) PlatformFor(entry requester.EntryID) dispatcher.Platform {
	return &entryPlatform{Cell: c, entry: entry}
}

// entryPlatform is the platform of one entry; its calls are subject to the faults
// that apply to that entry.
type entryPlatform struct {
	*Cell
	entry requester.EntryID
}

var _ dispatcher.Platform = (*entryPlatform)(nil)

// errStoreUnreachable marks the errors of calls that a fault has blocked.
var errStoreUnreachable = errors.New("store does not respond")

// awaitStore waits for the latency of a call and the delay of a slow store. If a
// fault makes the store unreachable, it blocks until ctx ends and returns an error.
func (c *entryPlatform) awaitStore(ctx context.Context) error {
	c.mu.Lock()
	delay := c.faults.StoreDelay
	c.mu.Unlock()
	return c.awaitStoreFor(ctx, c.Latency+delay)
}

// awaitStoreFor is awaitStore for a call that takes the given time.
func (c *entryPlatform) awaitStoreFor(ctx context.Context, latency time.Duration) error {
	timer := time.NewTimer(latency)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for the store")
	case <-timer.C:
	}
	c.mu.Lock()
	unreachable := c.faults.StoreDown || c.faults.StoreUnreachableFrom[c.entry]
	c.mu.Unlock()
	if unreachable {
		<-ctx.Done()
		return errors.Mark(errors.Wrap(ctx.Err(), "store does not respond"), errStoreUnreachable)
	}
	return nil
}

// Transact implements keeper.Table.
func (c *entryPlatform) Transact(ctx context.Context, transaction keeper.Transaction) (keeper.TransactResult, error) {
	before, after := c.splitStoreDelay()
	if err := c.awaitStoreFor(ctx, c.Latency+before); err != nil {
		return keeper.TransactResult{}, err
	}
	c.mu.Lock()
	faults := c.faults
	c.mu.Unlock()
	if err := faults.refusal(&transaction); err != nil {
		return keeper.TransactResult{}, errors.Mark(errors.Mark(err, keeper.ErrInvalid), keeper.ErrNotApplied)
	}
	if faults.late(&transaction) {
		time.AfterFunc(faults.LateBy, func() { _, _ = c.commit(transaction) })
		<-ctx.Done()
		return keeper.TransactResult{}, errors.Wrap(ctx.Err(), "transaction: no response received")
	}
	result, err := c.commit(transaction)
	if after > 0 {
		if err := c.awaitStoreFor(ctx, after); err != nil {
			return keeper.TransactResult{}, err
		}
	}
	return result, err
}

// splitStoreDelay returns how much of the delay of a slow store passes before and
// after a transaction commits.
func (c *Cell) splitStoreDelay() (before, after time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delay := c.faults.StoreDelay
	if delay == 0 {
		return 0, 0
	}
	before = time.Duration(c.random.Int64N(int64(delay)))
	return before, delay - before
}

// commit applies a transaction. It returns an error, as if no response were
// received, for the share of commits whose response is lost.
func (c *Cell) commit(transaction keeper.Transaction) (keeper.TransactResult, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.table.Apply(transaction)
	if !result.Committed {
		return result, nil
	}
	for _, write := range transaction.Writes {
		row := keeper.Row{Key: write.Key, Value: write.Value, Revision: result.Revision}
		c.history = append(c.history, dispatcher.Change{Row: row, Removed: write.Delete})
	}
	c.notifyWatches()
	if c.random.Float64() < c.faults.WriteResponseLoss {
		return keeper.TransactResult{}, errors.New("transaction: no response received")
	}
	return result, nil
}

// Read implements keeper.Table.
func (c *entryPlatform) Read(ctx context.Context, request keeper.ReadRequest) (keeper.ReadResult, error) {
	if err := c.awaitStore(ctx); err != nil {
		return keeper.ReadResult{}, err
	}
	return c.table.Read(request), nil
}

// List implements dispatcher.Store.
func (c *entryPlatform) List(ctx context.Context, prefix string) ([]keeper.Row, int64, error) {
	if err := c.awaitStore(ctx); err != nil {
		return nil, 0, err
	}
	result := c.table.Read(keeper.ReadRequest{Prefixes: []string{prefix}})
	return result.Rows, result.Revision, nil
}

// Watch implements dispatcher.Store.
func (c *entryPlatform) Watch(ctx context.Context, prefix string, after int64, until time.Time) ([]dispatcher.Change, int64, error) {
	if err := c.awaitStore(ctx); err != nil {
		return nil, 0, err
	}
	for {
		c.mu.Lock()
		if c.faults.TruncateHistory {
			c.faults.TruncateHistory = false
			c.truncatedAt = c.revision()
		}
		if after < c.truncatedAt {
			c.mu.Unlock()
			return nil, 0, dispatcher.ErrHistoryTruncated
		}
		var changes []dispatcher.Change
		for _, change := range c.history {
			if change.Row.Revision > after && strings.HasPrefix(change.Row.Key, prefix) {
				changes = append(changes, change)
			}
		}
		revision, changed := c.revision(), c.changed
		c.mu.Unlock()
		if len(changes) > 0 || !waitClosed(ctx, changed, until) {
			return changes, revision, nil
		}
	}
}

// waitClosed waits until channel is closed, the time until is reached or ctx ends,
// and reports whether channel was closed.
func waitClosed(ctx context.Context, channel <-chan struct{}, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-channel:
		return true
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	}
}

// Config implements dispatcher.Platform.
func (c *entryPlatform) Config(ctx context.Context) (*dispatcher.Config, int64, error) {
	if err := c.awaitStore(ctx); err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config, c.revision(), nil
}

// WatchConfig implements dispatcher.Platform.
func (c *entryPlatform) WatchConfig(ctx context.Context, after int64, until time.Time) (*dispatcher.Config, int64, error) {
	if err := c.awaitStore(ctx); err != nil {
		return nil, 0, err
	}
	for {
		c.mu.Lock()
		config, changedAt, revision, changed := c.config, c.configRevision, c.revision(), c.changed
		c.mu.Unlock()
		if changedAt > after {
			return config, revision, nil
		}
		if !waitClosed(ctx, changed, until) {
			return nil, revision, nil
		}
	}
}

// ListWorkers implements dispatcher.Platform.
func (c *entryPlatform) ListWorkers(ctx context.Context) ([]scheduler.WorkerInfo, error) {
	if err := c.awaitStore(ctx); err != nil {
		return nil, err
	}
	c.mu.Lock()
	expired := c.faults.WorkerRowsExpired
	c.mu.Unlock()
	var infos []scheduler.WorkerInfo
	for _, w := range c.Workers() {
		if info, listed := w.Listed(time.Now(), c.Heartbeat); listed && !expired {
			infos = append(infos, info)
		}
	}
	return infos, nil
}

// RequestAdvice implements dispatcher.AdviceService: it returns a ticket for each
// worker that AdviceAllows.
func (c *entryPlatform) RequestAdvice(ctx context.Context, step scheduler.StepName, workers []requester.HostID) ([]scheduler.Ticket, error) {
	c.mu.Lock()
	turn := c.adviceTurns[c.entry]
	if turn == nil {
		turn = new(sync.Mutex)
		c.adviceTurns[c.entry] = turn
	}
	c.mu.Unlock()
	if c.AdviceTime > 0 {
		turn.Lock()
		defer turn.Unlock()
	}
	timer := time.NewTimer(c.Latency + c.AdviceTime)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "request advice")
	case <-timer.C:
	}
	c.mu.Lock()
	c.adviceRequests[c.entry]++
	c.mu.Unlock()
	var tickets []scheduler.Ticket
	for _, id := range workers {
		if AdviceAllows(step, id) {
			tickets = append(tickets, scheduler.Ticket{Worker: id, Text: fmt.Sprintf("%v-%s", step, id)})
		}
	}
	return tickets, nil
}

// AdviceAllows reports whether the advice service allows a worker to run a step.
// Workers whose host ID ends in an even digit may run the steps with an even
// number, the other workers those with an odd number.
func AdviceAllows(step scheduler.StepName, id requester.HostID) bool {
	return (int(id[len(id)-1])+step.Step)%2 == 0
}

// CellWorkers returns count workers of a service, three to a rack. Each has the
// label "kind-a" and one with the name of its rack.
func CellWorkers(service requester.Service, count int, total requester.Resources) []scheduler.WorkerInfo {
	infos := make([]scheduler.WorkerInfo, count)
	for i := range infos {
		rack := fmt.Sprintf("rack-%d", i/3)
		infos[i] = scheduler.WorkerInfo{
			HostID:  requester.HostID(fmt.Sprintf("worker-%02d", i)),
			Service: service,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 8000),
			Rack:    rack,
			Labels:  []string{"kind-a", rack},
			Total:   total,
		}
	}
	return infos
}
