package standin

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Proxy is a TCP proxy that injects faults between two ends.
type Proxy struct {
	listener net.Listener
	target   netip.AddrPort
	group    sync.WaitGroup

	mu    sync.Mutex
	conns map[*proxied]bool
	// blackhole accepts connections but carries nothing.
	blackhole bool
	// refuse closes connections as soon as they are accepted.
	refuse bool
}

// proxied is one connection through the proxy.
type proxied struct {
	near, far net.Conn
	// silent swallows all bytes while both ends stay open.
	silent atomic.Bool
}

// NewProxy starts a proxy on loopback in front of target.
func NewProxy(target netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for proxy")
	}
	p := &Proxy{listener: listener, target: target, conns: make(map[*proxied]bool)}
	p.group.Go(p.accept)
	return p, nil
}

// Address returns where the proxy listens.
func (p *Proxy) Address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.CloseConnections()
	p.group.Wait()
}

// Silence makes the open connections go silent for good; new ones work.
func (p *Proxy) BlackholeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.silent.Store(true)
	}
}

// SetBlackhole makes all connections, new ones too, carry nothing. Those that
// are open when it ends stay silent.
func (p *Proxy) SetBlackhole(on bool) {
	p.mu.Lock()
	p.blackhole = on
	p.mu.Unlock()
	if on {
		p.BlackholeConnections()
	}
}

// SetRefuse makes the proxy break all connections at once.
func (p *Proxy) SetRefuse(on bool) {
	p.mu.Lock()
	p.refuse = on
	p.mu.Unlock()
	if on {
		p.CloseConnections()
	}
}

// Break closes the open connections.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.near.Close()
		_ = c.far.Close()
	}
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.group.Go(func() { p.serve(near) })
	}
}

func (p *Proxy) serve(near net.Conn) {
	defer near.Close()
	p.mu.Lock()
	refuse := p.refuse
	p.mu.Unlock()
	if refuse {
		return
	}
	far, err := net.Dial("tcp", p.target.String())
	if err != nil {
		return
	}
	defer far.Close()
	c := &proxied{near: near, far: far}
	p.mu.Lock()
	c.silent.Store(p.blackhole)
	p.conns[c] = true
	p.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { c.carry(far, near) })
	group.Go(func() { c.carry(near, far) })
	group.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// carry copies bytes one way until an end closes. A silent connection does not
// pass on the closing either.
func (c *proxied) carry(to, from net.Conn) {
	const bufferSize = 32 << 10
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.silent.Load() {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if !c.silent.Load() || !errors.Is(err, io.EOF) {
			_ = to.Close()
		}
		return
	}
}
