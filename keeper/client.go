package keeper

import (
	"context"
	"net/netip"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
)

// Options configures a Client. The zero value of each field means its default.
type Options struct {
	// WritesPerSecond bounds the transactions sent; default 40.
	WritesPerSecond float64
	// ReadsPerSecond bounds the reads sent; default 100.
	ReadsPerSecond float64
	// QueueLength bounds the requests that wait; default 4096.
	QueueLength int
	// CallTimeout bounds one request to the service; default 1 s.
	CallTimeout time.Duration
	// MaxTransactionSize bounds the conditions and writes of one request; default
	// unbounded.
	MaxTransactionSize int
	// Observe is told of every request to the service; it may be nil.
	Observe func(operation Operation, err error)
}

// Operation is a kind of request to the table service.
type Operation int

// The operations.
const (
	OperationTransact Operation = iota
	OperationRead
)

const (
	defaultWritesPerSecond = 40
	defaultReadsPerSecond  = 100
	defaultQueueLength     = 4096
	defaultCallTimeout     = time.Second
	// burstSeconds is how much of its rate a client that was idle may use at
	// once, in seconds, so that single transactions go without delay.
	burstSeconds = 0.5
	// firstRetry and lastRetry separate attempts at a service that fails. What
	// is overdue is answered no later than after the next one.
	firstRetry = 20 * time.Millisecond
	lastRetry  = 150 * time.Millisecond
	// maxGroup bounds the transactions that are committed together.
	maxGroup = 128
)

// ErrOverloaded reports that the client's queue is full.
var ErrOverloaded = errors.New("table client queue is full")

// ErrNotApplied marks an error of a Table that proves that a transaction was not
// applied and won't be.
var ErrNotApplied = errors.New("transaction was not applied")

// ErrUnresolved reports that a transaction's fate was not known at its
// deadline. It may have taken effect, or may still do so.
var ErrUnresolved = errors.New("transaction not resolved before its deadline")

// TransactDone receives the result of a transaction.
type TransactDone func(TransactResult, error)

// ReadDone receives the result of a read.
type ReadDone func(ReadResult, error)

type pendingTransaction struct {
	transaction Transaction
	deadline    time.Time
	done        TransactDone
	// sent tells that an earlier request with this transaction got no answer.
	sent bool
}

type pendingRead struct {
	request  ReadRequest
	deadline time.Time
	done     ReadDone
}

// Client is the client of the table service. Its methods are safe for
// concurrent use.
type Client struct {
	table   Table
	options Options
	writes  chan *pendingTransaction
	reads   chan *pendingRead
	// writeLimit and readLimit keep the platform's limits.
	writeLimit *rate.Limiter
	readLimit  *rate.Limiter
	cancel     context.CancelFunc
	done       chan struct{}
}

// New starts a client of the service at address.
func New(address netip.AddrPort, options Options) *Client {
	return Start(newHTTPTable(address), options)
}

// Start starts a client of any table.
func Start(table Table, options Options) *Client {
	options = options.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	c := &Client{
		table:      table,
		options:    options,
		writes:     make(chan *pendingTransaction, options.QueueLength),
		reads:      make(chan *pendingRead, options.QueueLength),
		writeLimit: rate.NewLimiter(rate.Limit(options.WritesPerSecond), max(1, int(options.WritesPerSecond*burstSeconds))),
		readLimit:  rate.NewLimiter(rate.Limit(options.ReadsPerSecond), int(options.ReadsPerSecond)),
		cancel:     cancel,
		done:       make(chan struct{}),
	}
	writesDone := make(chan struct{})
	go func() {
		defer close(writesDone)
		c.writeLoop(ctx)
	}()
	go func() {
		defer close(c.done)
		c.readLoop(ctx)
		<-writesDone
	}()
	return c
}

func (o Options) withDefaults() Options {
	if o.WritesPerSecond <= 0 {
		o.WritesPerSecond = defaultWritesPerSecond
	}
	if o.ReadsPerSecond <= 0 {
		o.ReadsPerSecond = defaultReadsPerSecond
	}
	if o.QueueLength <= 0 {
		o.QueueLength = defaultQueueLength
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.Observe == nil {
		o.Observe = func(Operation, error) {}
	}
	return o
}

// Close ends the client. Requests that wait are answered with an error.
func (c *Client) Close() { c.cancel() }

// Done is closed when the client's goroutines have ended.
func (c *Client) Done() <-chan struct{} { return c.done }

// Transact queues a transaction. done is called once, from the client's
// goroutine; its error is ErrUnresolved where the transaction's fate is not
// known, ErrOverloaded where it was not tried.
func (c *Client) Transact(transaction Transaction, deadline time.Time, done TransactDone) {
	select {
	case c.writes <- &pendingTransaction{transaction: transaction, deadline: deadline, done: done}:
	default:
		done(TransactResult{}, ErrOverloaded)
	}
}

// Read queues a read. done is called once, from the client's goroutine.
func (c *Client) Read(request ReadRequest, deadline time.Time, done ReadDone) {
	select {
	case c.reads <- &pendingRead{request: request, deadline: deadline, done: done}:
	default:
		done(ReadResult{}, ErrOverloaded)
	}
}

func (c *Client) readLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			drainReads(c.reads, ctx.Err())
			return
		case pending := <-c.reads:
			c.read(ctx, pending)
		}
	}
}

func (c *Client) read(ctx context.Context, pending *pendingRead) {
	if !time.Now().Before(pending.deadline) {
		pending.done(ReadResult{}, context.DeadlineExceeded)
		return
	}
	if err := c.readLimit.Wait(ctx); err != nil {
		pending.done(ReadResult{}, err)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	result, err := c.table.Read(callCtx, pending.request)
	c.options.Observe(OperationRead, err)
	pending.done(result, err)
}

func drainReads(reads <-chan *pendingRead, err error) {
	for {
		select {
		case pending := <-reads:
			pending.done(ReadResult{}, err)
		default:
			return
		}
	}
}

// writeLoop commits waiting transactions group by group. A group whose answer
// was lost is sent again until each transaction in it is resolved.
func (c *Client) writeLoop(ctx context.Context) {
	var waiting []*pendingTransaction
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstRetry
	retry.MaxInterval = lastRetry
	for {
		if len(waiting) == 0 {
			select {
			case <-ctx.Done():
				c.abandon(nil, ctx.Err())
				return
			case pending := <-c.writes:
				waiting = append(waiting, pending)
			}
		}
		if err := c.writeLimit.Wait(ctx); err != nil {
			c.abandon(waiting, err)
			return
		}
		waiting = c.collect(waiting)
		waiting = dropOverdue(waiting, time.Now())
		if len(waiting) == 0 {
			continue
		}
		var err error
		waiting, err = c.commitGroup(ctx, waiting)
		if err == nil {
			retry.Reset()
			continue
		}
		sleep(ctx, retry.NextBackOff())
	}
}

// collect adds what else is waiting, up to maxGroup.
func (c *Client) collect(waiting []*pendingTransaction) []*pendingTransaction {
	for len(waiting) < maxGroup {
		select {
		case pending := <-c.writes:
			waiting = append(waiting, pending)
		default:
			return waiting
		}
	}
	return waiting
}

// commitGroup sends the waiting transactions that touch disjoint keys as one,
// and returns those still unresolved.
func (c *Client) commitGroup(ctx context.Context, waiting []*pendingTransaction) ([]*pendingTransaction, error) {
	group, rest := disjoint(waiting, c.options.MaxTransactionSize)
	var merged Transaction
	for _, pending := range group {
		merged.Conditions = append(merged.Conditions, pending.transaction.Conditions...)
		merged.Writes = append(merged.Writes, pending.transaction.Writes...)
	}
	callCtx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	result, err := c.table.Transact(callCtx, merged)
	c.options.Observe(OperationTransact, err)
	if err != nil {
		for _, pending := range group {
			pending.sent = pending.sent || !errors.Is(err, ErrNotApplied)
		}
		return append(group, rest...), err
	}
	if result.Committed {
		for _, pending := range group {
			pending.done(TransactResult{Committed: true, Revision: result.Revision}, nil)
		}
		return rest, nil
	}
	for _, pending := range group {
		pending.sent = pending.sent || result.Resent
	}
	return append(resolveConflicts(group, result.Conflicts), rest...), nil
}

// resolveConflicts answers the transactions whose conditions failed and
// returns the others, which only failed because they shared the group.
func resolveConflicts(group []*pendingTransaction, conflicts []Row) []*pendingTransaction {
	current := make(map[string]Row, len(conflicts))
	for _, row := range conflicts {
		current[row.Key] = row
	}
	var again []*pendingTransaction
	for _, pending := range group {
		lost := conflictsOf(pending.transaction, current)
		switch {
		case len(lost) == 0:
			again = append(again, pending)
		case pending.sent && alreadyWritten(pending.transaction, current):
			pending.done(TransactResult{Committed: true, Revision: current[pending.transaction.Writes[0].Key].Revision}, nil)
		default:
			pending.done(TransactResult{Conflicts: lost}, nil)
		}
	}
	return again
}

func conflictsOf(transaction Transaction, current map[string]Row) []Row {
	var lost []Row
	for _, condition := range transaction.Conditions {
		if row, ok := current[condition.Key]; ok {
			lost = append(lost, row)
		}
	}
	return lost
}

// alreadyWritten reports whether the rows hold exactly what the transaction
// writes, so that an earlier sending of it took effect.
func alreadyWritten(transaction Transaction, current map[string]Row) bool {
	if len(transaction.Writes) == 0 {
		return false
	}
	for _, write := range transaction.Writes {
		row, ok := current[write.Key]
		if !ok || write.Delete != (row.Revision == 0) || string(row.Value) != string(write.Value) {
			return false
		}
	}
	return true
}

// disjoint splits off the longest prefix-closed set of transactions that share
// no key and fit one request, keeping the order of those that don't.
func disjoint(waiting []*pendingTransaction, maxEntries int) (group, rest []*pendingTransaction) {
	taken := make(map[string]bool)
	entries := 0
	for _, pending := range waiting {
		entries += len(pending.transaction.Conditions) + len(pending.transaction.Writes)
		clash := maxEntries > 0 && entries > maxEntries && len(group) > 0
		for _, condition := range pending.transaction.Conditions {
			clash = clash || taken[condition.Key]
		}
		for _, condition := range pending.transaction.Conditions {
			taken[condition.Key] = true
		}
		if clash {
			rest = append(rest, pending)
		} else {
			group = append(group, pending)
		}
	}
	return group, rest
}

// dropOverdue answers the transactions whose deadline has passed.
func dropOverdue(waiting []*pendingTransaction, now time.Time) []*pendingTransaction {
	var kept []*pendingTransaction
	for _, pending := range waiting {
		switch {
		case now.Before(pending.deadline):
			kept = append(kept, pending)
		case pending.sent:
			pending.done(TransactResult{}, ErrUnresolved)
		default:
			pending.done(TransactResult{}, context.DeadlineExceeded)
		}
	}
	return kept
}

// abandon answers everything that waits when the client closes.
func (c *Client) abandon(waiting []*pendingTransaction, err error) {
	for _, pending := range waiting {
		if pending.sent {
			pending.done(TransactResult{}, ErrUnresolved)
		} else {
			pending.done(TransactResult{}, err)
		}
	}
	for {
		select {
		case pending := <-c.writes:
			pending.done(TransactResult{}, err)
		default:
			return
		}
	}
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
