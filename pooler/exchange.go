package pooler

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Exchanger sends requests that are small, very many and answered at once. An http.Client
// hands each of them to two goroutines of its connection and back, which costs several times
// what the request itself does. Here one exchange has a connection to itself, and the calling
// goroutine writes the request and reads the response.
//
// What holds for a Pooler holds here too: once a request was late, no connection that is as
// old is used for others, a request that is given up resets its connection, and there is a
// bound on the connections to an address, for one of which an exchange waits. An Exchanger is
// safe for concurrent use.
type Exchanger struct {
	options Options
	dialer  *Dialer

	mu        sync.Mutex
	byAddress map[netip.AddrPort]*idlePool
	closed    bool
}

// idlePool has the idle connections to an address, the one that was used last at the end.
type idlePool struct {
	idle []*exchangeConn
	// inUse has an element for each exchange that has or opens a connection.
	inUse chan struct{}
	// notBefore is when the last late request was sent: connections that were opened before
	// or at it are not used any more.
	notBefore time.Time
	// sweeping is true while a sweep of the idle connections is due.
	sweeping bool
}

// exchangeConn is a connection with one exchange at a time.
type exchangeConn struct {
	conn             net.Conn
	reader           *bufio.Reader
	writer           *bufio.Writer
	openedAt, usedAt time.Time
	// deadline is that of the present exchange; zero for none.
	deadline time.Time
}

// exchangeBuffer is the size of each buffer of a connection, in bytes. Longer requests and
// responses pass through it in parts.
const exchangeBuffer = 1 << 10

// ErrNotSent marks the error of an exchange for which no connection was obtained, so that the
// request can't have arrived.
var ErrNotSent = errors.New("request was not sent")

// NewExchanger returns an Exchanger.
func NewExchanger(options Options) *Exchanger {
	return &Exchanger{
		options:   options,
		dialer:    &Dialer{net.Dialer{Timeout: options.DialTimeout}},
		byAddress: make(map[netip.AddrPort]*idlePool),
	}
}

// Do sends a request, whose body must not be read from elsewhere, to an address and reads the
// whole response, of whose body it returns at most limit bytes. The error is marked as
// ErrNotSent if no connection was obtained. After any other error the server may have executed
// the request.
func (e *Exchanger) Do(ctx context.Context, address netip.AddrPort, request *http.Request, limit int64) (int, []byte, error) {
	sentAt := time.Now()
	done, err := e.await(ctx, address)
	if err != nil {
		return 0, nil, errors.Mark(err, ErrNotSent)
	}
	defer done()
	c, err := e.obtain(ctx, address)
	if err != nil {
		e.RetireAfter(err, address, sentAt)
		return 0, nil, errors.Mark(err, ErrNotSent)
	}
	status, body, reusable, err := c.exchange(ctx, request, limit)
	if err != nil {
		if errors.Is(ctx.Err(), context.Canceled) {
			// Nobody waits any more, which says nothing of the connection.
			err = errors.Wrap(ctx.Err(), "exchange was given up")
		}
		e.RetireAfter(err, address, sentAt)
		_ = c.conn.Close()
		return 0, nil, errors.Wrapf(err, "exchange with %s", address)
	}
	if reusable {
		e.put(address, c)
	} else {
		_ = c.conn.Close()
	}
	return status, body, nil
}

// exchange writes a request and reads the whole response. The end of ctx ends it at once. It
// returns whether the connection can be used again.
func (c *exchangeConn) exchange(ctx context.Context, request *http.Request, limit int64) (status int, body []byte, reusable bool, err error) {
	c.deadline, _ = ctx.Deadline()
	if err := c.conn.SetDeadline(c.deadline); err != nil {
		return 0, nil, false, errors.Wrap(err, "set deadline")
	}
	// A deadline in the past ends the read or write that waits.
	interrupted := func() { _ = c.conn.SetDeadline(time.Unix(1, 0)) }
	stop := context.AfterFunc(ctx, interrupted)
	defer func() { reusable = stop() && reusable }()
	if err := request.Write(c.writer); err != nil {
		return 0, nil, false, errors.Wrap(err, "write request")
	}
	if err := c.writer.Flush(); err != nil {
		return 0, nil, false, errors.Wrap(err, "write request")
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return 0, nil, false, errors.Wrap(err, "receive response")
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, limit))
	if err != nil {
		return 0, nil, false, errors.Wrap(err, "read response body")
	}
	whole := int64(len(data)) < limit && c.reader.Buffered() == 0
	return response.StatusCode, data, whole && !response.Close && response.StatusCode >= http.StatusOK, nil
}

// Write implements io.Writer for the buffer of requests. A process that stood still goes on
// before its timers have run, so that the deadline of the connection alone would let out a
// request that was due long ago.
func (c *exchangeConn) Write(data []byte) (int, error) {
	if !c.deadline.IsZero() && !time.Now().Before(c.deadline) {
		return 0, os.ErrDeadlineExceeded
	}
	return c.conn.Write(data)
}

// await waits until there may be another exchange with an address, and returns the function
// that ends it.
func (e *Exchanger) await(ctx context.Context, address netip.AddrPort) (func(), error) {
	e.mu.Lock()
	p := e.poolOf(address)
	e.mu.Unlock()
	select {
	case p.inUse <- struct{}{}:
		return func() { <-p.inUse }, nil
	case <-ctx.Done():
		return nil, errors.Wrapf(ctx.Err(), "wait for a connection to %s", address)
	}
}

// obtain returns an idle connection to an address, or opens one.
func (e *Exchanger) obtain(ctx context.Context, address netip.AddrPort) (*exchangeConn, error) {
	for {
		c := e.takeIdle(address)
		if c == nil {
			break
		}
		if c.open() {
			return c, nil
		}
		_ = c.conn.Close()
	}
	conn, err := e.dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, err
	}
	now := time.Now()
	c := &exchangeConn{conn: conn, reader: bufio.NewReaderSize(conn, exchangeBuffer), openedAt: now, usedAt: now}
	c.writer = bufio.NewWriterSize(c, exchangeBuffer)
	return c, nil
}

// open reports whether an idle connection is still open: the other side has neither closed it
// nor sent anything.
func (c *exchangeConn) open() bool {
	// That of the last exchange may have passed, after which the connection can't be read.
	if err := c.conn.SetDeadline(time.Time{}); err != nil {
		return false
	}
	tcp, ok := c.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	var one [1]byte
	err = raw.Read(func(descriptor uintptr) bool {
		_, err := syscall.Read(int(descriptor), one[:])
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// takeIdle removes and returns the idle connection that was used last, or nil.
func (e *Exchanger) takeIdle(address netip.AddrPort) *exchangeConn {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.byAddress[address]
	if p == nil || len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

// poolOf returns the pool of an address, which it adds if there is none. The caller holds mu.
func (e *Exchanger) poolOf(address netip.AddrPort) *idlePool {
	p := e.byAddress[address]
	if p == nil {
		p = &idlePool{inUse: make(chan struct{}, e.options.Connections)}
		e.byAddress[address] = p
		e.sweepLater(address, p)
	}
	return p
}

// put keeps a connection for further exchanges, unless it is retired or there are enough.
func (e *Exchanger) put(address netip.AddrPort, c *exchangeConn) {
	c.usedAt = time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.poolOf(address)
	if e.closed || !c.openedAt.After(p.notBefore) || len(p.idle) >= e.options.Connections {
		_ = c.conn.Close()
		return
	}
	p.idle = append(p.idle, c)
	e.sweepLater(address, p)
}

// RetireAfter is called with the error of a request that was sent to an address at the given
// time, by this Exchanger or over other connections. If it is a timeout, new exchanges use no
// connection that is older.
func (e *Exchanger) RetireAfter(err error, address netip.AddrPort, sentAt time.Time) {
	if IsTimeout(err) {
		e.retire(address, sentAt)
	}
}

// retire makes new exchanges with an address use no connection that was opened before the given
// time. Those in use are closed when their exchanges are over.
func (e *Exchanger) retire(address netip.AddrPort, before time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.poolOf(address)
	if before.After(p.notBefore) {
		p.notBefore = before
	}
	p.close(func(c *exchangeConn) bool { return !c.openedAt.After(p.notBefore) })
	e.sweepLater(address, p)
}

// close closes the idle connections that a function names.
func (p *idlePool) close(obsolete func(*exchangeConn) bool) {
	p.idle = slices.DeleteFunc(p.idle, func(c *exchangeConn) bool {
		if !obsolete(c) {
			return false
		}
		_ = c.conn.Close()
		return true
	})
}

// sweepLater has the connections closed that nobody uses for Options.IdleTimeout, and the pool
// removed that has none. The caller holds mu.
func (e *Exchanger) sweepLater(address netip.AddrPort, p *idlePool) {
	if p.sweeping || e.closed {
		return
	}
	p.sweeping = true
	time.AfterFunc(e.options.IdleTimeout, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		p.sweeping = false
		unusedSince := time.Now().Add(-e.options.IdleTimeout)
		p.close(func(c *exchangeConn) bool { return !c.usedAt.After(unusedSince) })
		if len(p.idle) == 0 && len(p.inUse) == 0 && !p.notBefore.After(unusedSince) {
			delete(e.byAddress, address)
		} else {
			e.sweepLater(address, p)
		}
	})
}

// Close closes the idle connections. It does not end exchanges, whose connections are closed
// when they are over.
func (e *Exchanger) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	for _, p := range e.byAddress {
		p.close(func(*exchangeConn) bool { return true })
	}
}
