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

// CellFaults are the faults of a Cell. The zero value has none.
type CellFaults struct {
	// StoreDown answers no call to the store; StoreUnreachableFrom only those of the
	// entries named.
	StoreDown            bool
	StoreUnreachableFrom map[requester.EntryID]bool
	// WriteResponseLoss is the share of transactions that are done without an
	// answer.
	WriteResponseLoss float64
	// OrderResponseLoss is the share of orders that are carried out without an
	// answer.
	OrderResponseLoss float64
	// WorkerRowsExpired lists no workers: their rows have lapsed.
	WorkerRowsExpired bool
	// TruncateHistory drops the history of changes at the next watch.
	TruncateHistory bool
}

// Cell is a platform in memory: a store with a history of changes, a
// configuration, workers and advice. It needs no network, so tests can run it
// in virtual time.
type Cell struct {
	mu      sync.Mutex
	random  *rand.Rand
	faults  CellFaults
	table   *Rows
	history []dispatcher.Change
	// oldest is the revision from which on the history is whole.
	oldest  int64
	changed chan struct{}
	config  *dispatcher.Config
	// configRevision is that of the configuration.
	configRevision int64
	workers        map[requester.HostID]*TaskWorker
	// asked counts the questions for advice by entry.
	asked map[requester.EntryID]int
	// Latency is how long each call takes.
	Latency time.Duration
}

// NewCell returns a cell with workers of one service.
func NewCell(seed uint64, workers []scheduler.WorkerInfo) *Cell {
	c := &Cell{
		random:  rand.New(rand.NewPCG(seed, 2)),
		table:   NewRows(),
		changed: make(chan struct{}),
		workers: make(map[requester.HostID]*TaskWorker),
		asked:   make(map[requester.EntryID]int),
		Latency: 4 * time.Millisecond,
	}
	for _, info := range workers {
		c.workers[info.HostID] = NewTaskWorker(info, time.Now())
	}
	return c
}

// SetFaults replaces the faults.
func (c *Cell) SetFaults(faults CellFaults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = faults
}

// Worker returns a worker.
func (c *Cell) Worker(id requester.HostID) *TaskWorker {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.workers[id]
}

// Workers returns all workers by name.
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

// Asked returns how many questions for advice an entry has asked.
func (c *Cell) AdviceRequests(entry requester.EntryID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.asked[entry]
}

// SetConfig puts a configuration in force.
func (c *Cell) SetConfig(config *dispatcher.Config) {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := c.table.Apply(keeper.Transaction{Writes: []keeper.Write{{Key: configKey}}})
	c.config, c.configRevision = config, result.Revision
	c.wake()
}

// configKey is the row whose revision is that of the configuration.
const configKey = "operator/config"

// Row returns the value of a row, nil where there is none.
func (c *Cell) Row(key string) []byte {
	for _, row := range c.table.Read(keeper.ReadRequest{Keys: []string{key}}).Rows {
		return row.Value
	}
	return nil
}

// Keys returns the keys below a prefix, in order.
func (c *Cell) Keys(prefix string) []string {
	var keys []string
	for _, row := range c.table.Read(keeper.ReadRequest{Prefixes: []string{prefix}}).Rows {
		keys = append(keys, row.Key)
	}
	return keys
}

// now is the store's newest revision.
func (c *Cell) now() int64 { return c.table.Read(keeper.ReadRequest{}).Revision }

// wake lets the watches look again.
func (c *Cell) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// As returns the cell as one entry reaches it.
func (c *Cell) PlatformFor(entry requester.EntryID) dispatcher.Platform {
	return &cellEntry{Cell: c, entry: entry}
}

// cellEntry is a cell as one entry reaches it.
type cellEntry struct {
	*Cell
	entry requester.EntryID
}

var _ dispatcher.Platform = (*cellEntry)(nil)

var errCellAway = errors.New("the cell's store gives no answer")

// call lets the latency pass and reports whether the store answers.
func (c *cellEntry) call(ctx context.Context) error {
	timer := time.NewTimer(c.Latency)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "call the cell")
	case <-timer.C:
	}
	c.mu.Lock()
	away := c.faults.StoreDown || c.faults.StoreUnreachableFrom[c.entry]
	c.mu.Unlock()
	if away {
		<-ctx.Done()
		return errors.Mark(errors.Wrap(ctx.Err(), "store away"), errCellAway)
	}
	return nil
}

// Transact implements keeper.Table.
func (c *cellEntry) Transact(ctx context.Context, transaction keeper.Transaction) (keeper.TransactResult, error) {
	if err := c.call(ctx); err != nil {
		return keeper.TransactResult{}, err
	}
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
	c.wake()
	if c.random.Float64() < c.faults.WriteResponseLoss {
		return keeper.TransactResult{}, errors.New("answer lost")
	}
	return result, nil
}

// Read implements keeper.Table.
func (c *cellEntry) Read(ctx context.Context, request keeper.ReadRequest) (keeper.ReadResult, error) {
	if err := c.call(ctx); err != nil {
		return keeper.ReadResult{}, err
	}
	return c.table.Read(request), nil
}

// List implements dispatcher.Store.
func (c *cellEntry) List(ctx context.Context, prefix string) ([]keeper.Row, int64, error) {
	if err := c.call(ctx); err != nil {
		return nil, 0, err
	}
	result := c.table.Read(keeper.ReadRequest{Prefixes: []string{prefix}})
	return result.Rows, result.Revision, nil
}

// Watch implements dispatcher.Store.
func (c *cellEntry) Watch(ctx context.Context, prefix string, after int64, until time.Time) ([]dispatcher.Change, int64, error) {
	if err := c.call(ctx); err != nil {
		return nil, 0, err
	}
	for {
		c.mu.Lock()
		if c.faults.TruncateHistory {
			c.faults.TruncateHistory = false
			c.oldest = c.now()
		}
		if after < c.oldest {
			c.mu.Unlock()
			return nil, 0, dispatcher.ErrHistoryTruncated
		}
		var changes []dispatcher.Change
		for _, change := range c.history {
			if change.Row.Revision > after && strings.HasPrefix(change.Row.Key, prefix) {
				changes = append(changes, change)
			}
		}
		revision, changed := c.now(), c.changed
		c.mu.Unlock()
		if len(changes) > 0 || !waitFor(ctx, changed, until) {
			return changes, revision, nil
		}
	}
}

// waitFor waits for a channel until a time, and reports whether it was closed.
func waitFor(ctx context.Context, channel <-chan struct{}, until time.Time) bool {
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
func (c *cellEntry) Config(ctx context.Context) (*dispatcher.Config, int64, error) {
	if err := c.call(ctx); err != nil {
		return nil, 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config, c.now(), nil
}

// WatchConfig implements dispatcher.Platform.
func (c *cellEntry) WatchConfig(ctx context.Context, after int64, until time.Time) (*dispatcher.Config, int64, error) {
	if err := c.call(ctx); err != nil {
		return nil, 0, err
	}
	for {
		c.mu.Lock()
		config, at, revision, changed := c.config, c.configRevision, c.now(), c.changed
		c.mu.Unlock()
		if at > after {
			return config, revision, nil
		}
		if !waitFor(ctx, changed, until) {
			return nil, revision, nil
		}
	}
}

// ListWorkers implements dispatcher.Platform.
func (c *cellEntry) ListWorkers(ctx context.Context) ([]scheduler.WorkerInfo, error) {
	if err := c.call(ctx); err != nil {
		return nil, err
	}
	c.mu.Lock()
	lapsed := c.faults.WorkerRowsExpired
	c.mu.Unlock()
	var infos []scheduler.WorkerInfo
	for _, w := range c.Workers() {
		if info, up := w.Info(); up && !lapsed {
			infos = append(infos, info)
		}
	}
	return infos, nil
}

// reach lets an order travel to a worker; nil where it does not arrive.
func (c *cellEntry) reach(ctx context.Context, ref scheduler.WorkerRef) *TaskWorker {
	timer := time.NewTimer(c.Latency / 2)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-timer.C:
	}
	w := c.Worker(ref.HostID)
	if w == nil || !w.Reachable() {
		<-ctx.Done()
		return nil
	}
	return w
}

// answer loses some results.
func (c *cellEntry) answer(result scheduler.OrderResult) scheduler.OrderResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.random.Float64() < c.faults.OrderResponseLoss {
		return scheduler.OrderUnknown
	}
	return result
}

// Start implements dispatcher.Workers.
func (c *cellEntry) Start(ctx context.Context, order scheduler.StartOrder) scheduler.OrderResult {
	if w := c.reach(ctx, order.Worker); w != nil {
		return c.answer(w.Start(order, time.Now()))
	}
	return scheduler.OrderUnknown
}

// Stop implements dispatcher.Workers.
func (c *cellEntry) Stop(ctx context.Context, order scheduler.StopOrder) scheduler.OrderResult {
	if w := c.reach(ctx, order.Worker); w != nil {
		return c.answer(w.Stop(order, time.Now()))
	}
	return scheduler.OrderUnknown
}

// Poll implements dispatcher.Workers.
func (c *cellEntry) Poll(ctx context.Context, order scheduler.PollOrder, wait time.Duration) (*scheduler.Report, scheduler.OrderResult) {
	w := c.reach(ctx, order.Worker)
	if w == nil {
		return nil, scheduler.OrderUnknown
	}
	until := time.Now().Add(wait)
	life, _ := w.Info()
	for {
		if info, up := w.Info(); !up || !info.BootedAt.Equal(life.BootedAt) {
			// The connection ends with the life that it was made to.
			return nil, scheduler.OrderUnknown
		}
		report, result := w.Poll(order, time.Now())
		if result != scheduler.OrderAccepted || len(report.Ended) > 0 || !time.Now().Before(until) {
			return report, c.answer(result)
		}
		timer := time.NewTimer(lookStep)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, scheduler.OrderUnknown
		case <-timer.C:
		}
	}
}

// lookStep is how often a waiting look checks for an end.
const lookStep = 5 * time.Millisecond

// RequestAdvice implements dispatcher.AdviceService: workers with an even last digit may run a
// step with an even number, the others the rest.
func (c *cellEntry) RequestAdvice(ctx context.Context, step scheduler.StepName, workers []requester.HostID) ([]scheduler.Ticket, error) {
	timer := time.NewTimer(c.Latency)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil, errors.Wrap(ctx.Err(), "ask for advice")
	case <-timer.C:
	}
	c.mu.Lock()
	c.asked[c.entry]++
	c.mu.Unlock()
	var tickets []scheduler.Ticket
	for _, id := range workers {
		if AdviceAllows(step, id) {
			tickets = append(tickets, scheduler.Ticket{Worker: id, Text: fmt.Sprintf("%v-%s", step, id)})
		}
	}
	return tickets, nil
}

// AdviceAllows tells which workers may run a step.
func AdviceAllows(step scheduler.StepName, id requester.HostID) bool {
	return (int(id[len(id)-1])+step.Step)%2 == 0
}

// CellWorkers returns count workers of a service, three to a rack.
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
