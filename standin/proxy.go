package standin

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Proxy is a TCP proxy that injects connection faults in front of one target.
type Proxy struct {
	listener net.Listener
	// others are the listeners at further addresses.
	others []net.Listener
	target netip.AddrPort
	group  sync.WaitGroup
	// delay is the time in nanoseconds for which bytes are held before they are
	// forwarded.
	delay atomic.Int64

	mu          sync.Mutex
	connections map[*connection]bool
	// silent has the directions in which new connections are silent.
	silent [directionCount]bool
	// refuse is true while new connections are closed as soon as they are
	// accepted.
	refuse bool
	// held is closed when the proxy lets go of the bytes that it holds up; nil while it
	// holds up none.
	held chan struct{}
}

// Direction is one of the two directions of a proxied connection.
type Direction int

//go:generate go tool -modfile=../tools/go.mod stringer -type=Direction -linecomment

// The directions of a connection.
const (
	ToTarget       Direction = iota // to the target
	FromTarget                      // from the target
	directionCount                  // (count)
)

// bothDirections silences a connection altogether.
var bothDirections = []Direction{ToTarget, FromTarget}

// connection is one proxied connection: downstream to the client, upstream to the
// target.
type connection struct {
	downstream, upstream net.Conn
	// silent has the directions in which the proxy discards all bytes and does not
	// show that an end has closed.
	silent [directionCount]atomic.Bool
}

// NewProxy starts a proxy on loopback in front of target.
func NewProxy(target netip.AddrPort) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for proxy")
	}
	p := &Proxy{listener: listener, target: target, connections: make(map[*connection]bool)}
	p.group.Go(func() { p.accept(listener) })
	return p, nil
}

// ListenAlso makes the proxy listen at its port on another loopback IP address as
// well. It may be called before the first connection only.
func (p *Proxy) ListenAlso(address netip.Addr) error {
	listener, err := net.Listen("tcp", netip.AddrPortFrom(address, p.Address().Port()).String())
	if err != nil {
		return errors.Wrapf(err, "listen for proxy at %s", address)
	}
	p.others = append(p.others, listener)
	p.group.Go(func() { p.accept(listener) })
	return nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	for _, listener := range append(p.others, p.listener) {
		_ = listener.Close()
	}
	p.SetRefuse(true)
	p.SetHold(false)
	p.group.Wait()
}

// BlackholeConnections silences the open connections in both directions.
func (p *Proxy) BlackholeConnections() { p.SilenceConnections(bothDirections...) }

// SetBlackhole is SetSilent for both directions.
func (p *Proxy) SetBlackhole(on bool) { p.SetSilent(on, bothDirections...) }

// SilenceConnections discards all further bytes of the open connections in some
// directions, until they are closed. New connections are not affected.
func (p *Proxy) SilenceConnections(directions ...Direction) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.connections {
		for _, d := range directions {
			c.silent[d].Store(true)
		}
	}
}

// SetSilent starts or ends the silence of all connections, open and new, in some
// directions. Connections that were opened before it ends stay silent.
func (p *Proxy) SetSilent(on bool, directions ...Direction) {
	p.mu.Lock()
	for _, d := range directions {
		p.silent[d] = on
	}
	p.mu.Unlock()
	if on {
		p.SilenceConnections(directions...)
	}
}

// SetHold starts or ends a time in which all bytes are held up, of open and new connections.
// At its end they arrive, also if their sender has given up and closed the connection since,
// but not if it has reset it.
func (p *Proxy) SetHold(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on && p.held == nil {
		p.held = make(chan struct{})
	}
	if !on && p.held != nil {
		close(p.held)
		p.held = nil
	}
}

// awaitRelease waits until bytes of source that have arrived now are let go, and reports
// whether they are lost by then.
func (p *Proxy) awaitRelease(source net.Conn) (lost bool) {
	p.mu.Lock()
	held := p.held
	p.mu.Unlock()
	if held == nil {
		return false
	}
	<-held
	return isReset(source)
}

// isReset reports whether the other end has reset a connection. Its state shows that also while
// there are bytes which arrived before the reset and were not read yet: a read returns those
// first.
func isReset(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	var info *unix.TCPInfo
	var infoErr error
	err = raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	return err != nil || infoErr != nil || info.State == unix.BPF_TCP_CLOSE
}

// SetDelay holds bytes for a time before they are forwarded, in their order. Bytes
// that arrive while others are held wait for these, so they may take twice as long.
func (p *Proxy) SetDelay(delay time.Duration) { p.delay.Store(int64(delay)) }

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

func (p *Proxy) accept(listener net.Listener) {
	for {
		downstream, err := listener.Accept()
		if err != nil {
			return
		}
		p.group.Go(func() { p.serve(downstream) })
	}
}

func (p *Proxy) serve(downstream net.Conn) {
	defer downstream.Close()
	if p.refuses() {
		return
	}
	upstream, err := net.Dial("tcp", p.target.String())
	if err != nil {
		return
	}
	defer upstream.Close()
	c := &connection{downstream: downstream, upstream: upstream}
	if !p.add(c) {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { p.forward(c, ToTarget, upstream, downstream) })
	group.Go(func() { p.forward(c, FromTarget, downstream, upstream) })
	group.Wait()
	p.mu.Lock()
	delete(p.connections, c)
	p.mu.Unlock()
}

func (p *Proxy) refuses() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refuse
}

// add records an open connection, and returns false if connections are refused by
// now.
func (p *Proxy) add(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for d, silent := range p.silent {
		c.silent[d].Store(silent)
	}
	if !p.refuse {
		p.connections[c] = true
	}
	return !p.refuse
}

// forward copies bytes in one direction until an end closes. While the direction is
// silent, it discards the bytes, and the destination does not learn that the source
// has closed. Nor does the source learn that the destination has closed while the
// other direction is silent.
func (p *Proxy) forward(c *connection, d Direction, destination, source net.Conn) {
	const bufferSize = 32 << 10
	buffer := make([]byte, bufferSize)
	back := &c.silent[1-d]
	for {
		n, err := source.Read(buffer)
		if delay := time.Duration(p.delay.Load()); delay > 0 {
			time.Sleep(delay)
		}
		if n > 0 && p.awaitRelease(source) {
			_ = destination.Close()
			return
		}
		if n > 0 && !c.silent[d].Load() {
			if _, writeErr := destination.Write(buffer[:n]); writeErr != nil && !back.Load() {
				err = writeErr
			}
		}
		if err == nil {
			continue
		}
		if !c.silent[d].Load() {
			_ = destination.Close()
		}
		return
	}
}
