package keeper

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"kumquatstall/retrier"
)

// Options configures a Client. The zero value of each field means its default.
type Options struct {
	// WritesPerSecond bounds the rate of transaction requests; default 40. The
	// further attempts of a Hedged are not counted.
	WritesPerSecond float64
	// ReadsPerSecond bounds the rate of read requests; default 100.
	ReadsPerSecond float64
	// QueueLength bounds the queued transactions, and separately the queued
	// reads; default 4096.
	QueueLength int
	// CallTimeout bounds one request to the service; default 1 s.
	CallTimeout time.Duration
	// MaxTransactionSize bounds the total number of conditions and writes of the
	// transactions that are merged into one request; default unbounded. A larger
	// transaction is sent alone.
	MaxTransactionSize int
	// MaxTransactionBytes bounds the size of the values of the transactions that are
	// merged into one request, encoded in base64; default unbounded. A larger
	// transaction is sent alone.
	MaxTransactionBytes int
	// Observe is called after every call of the Table, with its error; it may
	// be nil.
	Observe func(operation Operation, err error)
}

// Operation is a kind of request to the table service.
type Operation int

const (
	OperationTransact Operation = iota
	OperationRead
)

const (
	defaultWritesPerSecond = 40
	defaultReadsPerSecond  = 100
	defaultQueueLength     = 4096
	defaultCallTimeout     = time.Second
	// burstSeconds is the burst of the write limiter, in seconds of its rate. It
	// lets an idle client send single transactions without delay.
	burstSeconds = 0.5
	// initialBackoff and maxBackoff are the first and the longest delay between
	// attempts while the service fails, before jitter. Transactions whose
	// deadline has passed fail only between attempts, so longer delays would
	// also make them fail later.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 150 * time.Millisecond
	// maxGroupSize bounds the transactions considered for one request.
	maxGroupSize = 128
)

// ErrOverloaded reports that the client's queue is full.
var ErrOverloaded = errors.New("table client queue is full")

// ErrClosed reports that the client is closed, and that the request was not sent.
var ErrClosed = errors.New("table client is closed")

// ErrNotApplied marks an error of a Table that proves that the transaction was
// not applied and won't be.
var ErrNotApplied = errors.New("transaction was not applied")

// ErrInvalid marks an error of a Table that has refused the transaction as invalid: it
// was not applied, and the same one would be refused again.
var ErrInvalid = errors.New("transaction is invalid for the table service")

// ErrUnresolved reports that the outcome of a transaction was still unknown at
// its deadline or when the client was closed. It may have been applied, or may
// still be.
var ErrUnresolved = errors.New("transaction outcome unknown at its deadline or when the client closed")

// TransactDone receives the result of a transaction.
type TransactDone func(TransactResult, error)

// ReadDone receives the result of a read.
type ReadDone func(ReadResult, error)

// pendingTransaction is a transaction that is queued or has no known outcome.
type pendingTransaction struct {
	transaction Transaction
	deadline    time.Time
	done        TransactDone
	// inDoubt is true if an earlier request may have applied the transaction,
	// although no response confirmed it.
	inDoubt bool
	// alone is true if the transaction is sent in a request of its own, as the
	// service has refused one that it shared.
	alone bool
}

// pendingRead is a queued read.
type pendingRead struct {
	request  ReadRequest
	deadline time.Time
	done     ReadDone
}

// Client is a client of the table service. It is safe for concurrent use.
type Client struct {
	table   Table
	options Options
	writes  chan *pendingTransaction
	reads   chan *pendingRead
	// writeLimit and readLimit enforce WritesPerSecond and ReadsPerSecond, the
	// limits that the platform sets.
	writeLimit *rate.Limiter
	readLimit  *rate.Limiter
	cancel     context.CancelFunc
	done       chan struct{}

	// mu orders closed and what is put on the queues: nothing is put there once closed
	// is set, and the client's goroutines end only after that.
	mu     sync.RWMutex
	closed bool
}

// New starts a client of the table service at address.
func New(address netip.AddrPort, options Options) *Client {
	return Start(newHTTPTable(address), options)
}

// Start starts a client of a Table.
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

// Close stops the client. Queued requests fail, and so do later ones.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cancel()
}

// Done returns a channel that is closed once the client's goroutines have ended.
func (c *Client) Done() <-chan struct{} { return c.done }

// Transact queues a transaction. If the queue is full or the client is closed, it calls
// done with ErrOverloaded or ErrClosed before it returns; otherwise done is called once,
// from the client's goroutine for writes. The error is ErrUnresolved if the outcome of
// the transaction is unknown. Any other error means that the transaction was not
// applied.
func (c *Client) Transact(transaction Transaction, deadline time.Time, done TransactDone) {
	if err := enqueue(c, c.writes, &pendingTransaction{transaction: transaction, deadline: deadline, done: done}); err != nil {
		done(TransactResult{}, err)
	}
}

// Read queues a read. If the queue is full or the client is closed, it calls done with
// ErrOverloaded or ErrClosed before it returns; otherwise done is called once, from the
// client's goroutine for reads.
func (c *Client) Read(request ReadRequest, deadline time.Time, done ReadDone) {
	if err := enqueue(c, c.reads, &pendingRead{request: request, deadline: deadline, done: done}); err != nil {
		done(ReadResult{}, err)
	}
}

// enqueue puts a request on its queue, from which the client's goroutine takes it also if
// the client is closed then. The error is ErrOverloaded or ErrClosed.
func enqueue[T any](c *Client, queue chan<- T, request T) error {
	c.mu.RLock()
	defer c.mu.RUnlock()
	if c.closed {
		return ErrClosed
	}
	select {
	case queue <- request:
		return nil
	default:
		return ErrOverloaded
	}
}

// readLoop sends queued reads one after the other.
func (c *Client) readLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			failQueuedReads(c.reads)
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
		if ctx.Err() != nil {
			err = ErrClosed
		}
		pending.done(ReadResult{}, err)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	result, err := c.table.Read(callCtx, pending.request)
	c.options.Observe(OperationRead, err)
	pending.done(result, err)
}

// failQueuedReads fails the queued reads when the client closes.
func failQueuedReads(reads <-chan *pendingRead) {
	for {
		select {
		case pending := <-reads:
			pending.done(ReadResult{}, ErrClosed)
		default:
			return
		}
	}
}

// writeLoop commits queued transactions in groups. The transactions of a request
// that failed or got no response are sent again until each is resolved or has
// passed its deadline.
func (c *Client) writeLoop(ctx context.Context) {
	var waiting []*pendingTransaction
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = initialBackoff
	retry.MaxInterval = maxBackoff
	for {
		if len(waiting) == 0 {
			select {
			case <-ctx.Done():
				c.failAll(nil)
				return
			case pending := <-c.writes:
				waiting = append(waiting, pending)
			}
		}
		if err := c.writeLimit.Wait(ctx); err != nil {
			c.failAll(waiting)
			return
		}
		waiting = c.addQueued(waiting)
		waiting = failExpired(waiting, time.Now())
		if len(waiting) == 0 {
			continue
		}
		var err error
		waiting, err = c.commitGroup(ctx, waiting)
		if err == nil {
			retry.Reset()
			continue
		}
		retrier.Sleep(ctx, retry.NextBackOff())
	}
}

// addQueued adds queued transactions to the waiting ones, up to maxGroupSize.
func (c *Client) addQueued(waiting []*pendingTransaction) []*pendingTransaction {
	for len(waiting) < maxGroupSize {
		select {
		case pending := <-c.writes:
			waiting = append(waiting, pending)
		default:
			return waiting
		}
	}
	return waiting
}

// failExpired fails the transactions whose deadline has passed and returns the
// others.
func failExpired(waiting []*pendingTransaction, now time.Time) []*pendingTransaction {
	var remaining []*pendingTransaction
	for _, pending := range waiting {
		switch {
		case now.Before(pending.deadline):
			remaining = append(remaining, pending)
		case pending.inDoubt:
			pending.done(TransactResult{}, ErrUnresolved)
		default:
			pending.done(TransactResult{}, context.DeadlineExceeded)
		}
	}
	return remaining
}

// failAll fails the waiting and the queued transactions when the client closes.
func (c *Client) failAll(waiting []*pendingTransaction) {
	for _, pending := range waiting {
		if pending.inDoubt {
			pending.done(TransactResult{}, ErrUnresolved)
		} else {
			pending.done(TransactResult{}, ErrClosed)
		}
	}
	for {
		select {
		case pending := <-c.writes:
			pending.done(TransactResult{}, ErrClosed)
		default:
			return
		}
	}
}
