// Package pooler keeps the open connections for HTTP requests to other hosts, and
// gives up those that may be silent.
//
// An open connection may go silent: nothing arrives on it any more, and nothing says
// so. A request on it is late or times out. Then the others to that host that are as
// old may be silent as well, also those that are idle. So the connections to an
// address belong to a transport, and a request that was late retires it: requests
// that are sent from then on use a new transport, whose connections are younger than
// the late request. Those in flight on the retired transport go on until their own
// timeouts, and take no place from those of the new one. Other addresses are not
// affected.
//
// A request that is given up may still be on its way: its bytes wait in this host's
// kernel while the other host can't be reached. After an ordinary close the kernel
// would deliver them later, perhaps to a process that has taken the place of the one
// for which they were meant. So a close resets the connection, which discards them. See
// Dialer.
package pooler

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Options configures a Pooler.
type Options struct {
	// Connections is the largest number of connections to an address, without
	// those of retired transports.
	Connections int
	// DialTimeout bounds the opening of a connection; 0 means that only the
	// request's own timeout does.
	DialTimeout time.Duration
	// IdleTimeout is after what time without use a connection is closed.
	IdleTimeout time.Duration
}

// Pooler has the connections to each address. It is safe for concurrent use.
type Pooler struct {
	options Options
	dialer  *Dialer

	mu        sync.Mutex
	byAddress map[netip.AddrPort]*pool
	sweptAt   time.Time
}

// pool is the client with the transport that new requests to an address use.
type pool struct {
	client *http.Client
	// startedAt is when the transport was created, usedAt when a request last
	// obtained it.
	startedAt, usedAt time.Time
}

// New returns a Pooler.
func New(options Options) *Pooler {
	return &Pooler{
		options:   options,
		dialer:    &Dialer{net.Dialer{Timeout: options.DialTimeout}},
		byAddress: make(map[netip.AddrPort]*pool),
	}
}

// Dialer opens TCP connections whose close resets them, so that the bytes that the
// other host's kernel has not accepted are discarded. It is for connections on which
// each request has a response, and which are closed when they are idle, after a whole
// response, or to give up a request: then a reset loses nothing that is still wanted.
type Dialer struct{ net.Dialer }

// DialContext opens a connection.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := d.Dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, errors.Wrapf(err, "open connection to %s", address)
	}
	if err := resetOnClose(conn); err != nil {
		return nil, errors.CombineErrors(errors.Wrapf(err, "open connection to %s", address), conn.Close())
	}
	return conn, nil
}

// resetOnClose makes the close of a TCP connection reset it.
func resetOnClose(conn net.Conn) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return errors.Newf("connection is a %T, which can't be reset", conn)
	}
	return errors.Wrap(tcp.SetLinger(0), "set linger")
}

// Client returns the client for a request to an address. All of its connections
// were opened after the given time; a zero time is before all others.
func (p *Pooler) Client(address netip.AddrPort, after time.Time) *http.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.retire(address, after)
	current := p.byAddress[address]
	if current == nil {
		p.sweep(now)
		current = &pool{client: &http.Client{Transport: p.newTransport(), CheckRedirect: useRedirect}, startedAt: now}
		p.byAddress[address] = current
	}
	current.usedAt = now
	return current.client
}

// useRedirect makes a redirect the response to a request: what another host answers is no
// answer of the one to which the request was sent.
func useRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

func (p *Pooler) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         p.dialer.DialContext,
		MaxIdleConnsPerHost: p.options.Connections,
		MaxConnsPerHost:     p.options.Connections,
		IdleConnTimeout:     p.options.IdleTimeout,
		DisableCompression:  true,
	}
}

// RetireAfter is called with the error of a request that was sent to an address at
// the given time. If it is a timeout, new requests use no connection that is older.
func (p *Pooler) RetireAfter(err error, address netip.AddrPort, sentAt time.Time) {
	if !IsTimeout(err) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retire(address, sentAt)
}

// retire makes new requests to an address use no connection that was opened before
// the given time. The caller holds mu.
func (p *Pooler) retire(address netip.AddrPort, before time.Time) {
	current := p.byAddress[address]
	if current == nil || current.startedAt.After(before) {
		return
	}
	delete(p.byAddress, address)
	// The transport also closes those in use, once they become idle.
	current.client.CloseIdleConnections()
}

// sweep removes the pools that have had no request for so long that all of their
// connections are closed. A request takes much less. The caller holds mu.
func (p *Pooler) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < p.options.IdleTimeout {
		return
	}
	p.sweptAt = now
	for address, unused := range p.byAddress {
		if now.Sub(unused.usedAt) >= 2*p.options.IdleTimeout {
			delete(p.byAddress, address)
			unused.client.CloseIdleConnections()
		}
	}
}

// Close closes the idle connections. It does not end requests in flight.
func (p *Pooler) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, current := range p.byAddress {
		current.client.CloseIdleConnections()
	}
}

// IsTimeout reports whether an error says that something took too long.
func IsTimeout(err error) bool {
	var timeout net.Error
	return errors.Is(err, context.DeadlineExceeded) || errors.As(err, &timeout) && timeout.Timeout()
}
