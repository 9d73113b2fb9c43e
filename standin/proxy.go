package standin

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Proxy is a TCP proxy that injects connection faults in front of one target.
type Proxy struct {
	listener net.Listener
	target   netip.AddrPort
	group    sync.WaitGroup

	mu          sync.Mutex
	connections map[*connection]bool
	// blackhole is true while new connections are accepted and blackholed.
	blackhole bool
	// refuse is true while new connections are closed as soon as they are
	// accepted.
	refuse bool
}

// connection is one proxied connection: downstream to the client, upstream to the
// target.
type connection struct {
	downstream, upstream net.Conn
	// blackholed makes the proxy discard all bytes; both ends stay open.
	blackholed atomic.Bool
}

// NewProxy starts a proxy on loopback in front of target.
func NewProxy(target netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for proxy")
	}
	p := &Proxy{listener: listener, target: target, connections: make(map[*connection]bool)}
	p.group.Go(p.accept)
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.CloseConnections()
	p.group.Wait()
}

// BlackholeConnections discards all further bytes of the open connections, until
// they are closed. New connections are not affected.
func (p *Proxy) BlackholeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		c.blackholed.Store(true)
	}
}

// SetBlackhole starts or ends the blackholing of all connections, open and new.
// Connections that were opened before it ends stay blackholed.
func (p *Proxy) SetBlackhole(on bool) {
	p.mu.Lock()
	p.blackhole = on
	p.mu.Unlock()
	if on {
		p.BlackholeConnections()
	}
}

// SetRefuse starts or ends the refusal of connections: the open ones are closed
// when it starts, new ones as soon as they are accepted.
func (p *Proxy) SetRefuse(on bool) {
	p.mu.Lock()
	p.refuse = on
	p.mu.Unlock()
	if on {
		p.CloseConnections()
	}
}

// CloseConnections closes the open connections. New ones are not affected.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		_ = c.downstream.Close()
		_ = c.upstream.Close()
	}
}

func (p *Proxy) accept() {
	for {
		downstream, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.group.Go(func() { p.serve(downstream) })
	}
}

func (p *Proxy) serve(downstream net.Conn) {
	defer downstream.Close()
	p.mu.Lock()
	refuse := p.refuse
	p.mu.Unlock()
	if refuse {
		return
	}
	upstream, err := net.Dial("tcp", p.target.String())
	if err != nil {
		return
	}
	defer upstream.Close()
	c := &connection{downstream: downstream, upstream: upstream}
	p.mu.Lock()
	c.blackholed.Store(p.blackhole)
	p.connections[c] = true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { c.forward(upstream, downstream) })
	group.Go(func() { c.forward(downstream, upstream) })
	group.Wait()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
}

// forward copies bytes in one direction until an end closes. On a blackholed
// connection it discards the bytes, and does not propagate the end of the stream;
// any other error still closes the destination.
func (c *connection) forward(destination, source net.Conn) {
	const bufferSize = 32 << 10
	buffer := make([]byte, bufferSize)
	for {
		n, err := source.Read(buffer)
		if n > 0 && !c.blackholed.Load() {
			if _, writeErr := destination.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if !c.blackholed.Load() || !errors.Is(err, io.EOF) {
			_ = destination.Close()
		}
		return
	}
}
