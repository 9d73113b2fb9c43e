package standin

import (
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// proxyPair is a proxy and the two ends of connections through it.
type proxyPair struct {
	t      *testing.T
	proxy  *Proxy
	target net.Listener
}

func newProxyPair(t *testing.T) *proxyPair {
	is := is.New(t)
	target, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	proxy, err := NewProxy(netip.MustParseAddrPort(target.Addr().String()))
	is.NoErr(err)
	t.Cleanup(func() { proxy.Close(); _ = target.Close() })
	return &proxyPair{t: t, proxy: proxy, target: target}
}

// connect returns the ends of a connection that has carried a byte each way.
func (p *proxyPair) connect() (client, server net.Conn) {
	is := is.New(p.t)
	client, err := net.Dial("tcp", p.proxy.Address().String())
	is.NoErr(err)
	server, err = p.target.Accept()
	is.NoErr(err)
	p.t.Cleanup(func() { _ = client.Close(); _ = server.Close() })
	is.True(arrives(p.t, client, server))
	is.True(arrives(p.t, server, client))
	return client, server
}

// arrivalTimeout is how long a byte that is not discarded may take.
const arrivalTimeout = 300 * time.Millisecond

// arrives reports whether a byte that is written to one end arrives at the other.
func arrives(t *testing.T, from, to net.Conn) bool {
	t.Helper()
	is := is.New(t)
	_, err := from.Write([]byte{1})
	is.NoErr(err)
	is.NoErr(to.SetReadDeadline(time.Now().Add(arrivalTimeout)))
	_, err = to.Read(make([]byte, 1))
	return err == nil
}

func TestProxySilencesOneDirection(t *testing.T) {
	for _, silent := range []Direction{ToTarget, FromTarget} {
		is := is.New(t)
		p := newProxyPair(t)
		client, server := p.connect()
		p.proxy.SilenceConnections(silent)
		is.Equal(arrives(t, client, server), silent != ToTarget)
		is.Equal(arrives(t, server, client), silent != FromTarget)
		p.connect() // a new connection works
	}
}

func TestProxyCutsOneDirectionOfNewConnections(t *testing.T) {
	is := is.New(t)
	p := newProxyPair(t)
	p.proxy.SetSilent(true, FromTarget)
	client, err := net.Dial("tcp", p.proxy.Address().String())
	is.NoErr(err)
	defer client.Close()
	server, err := p.target.Accept()
	is.NoErr(err)
	defer server.Close()
	is.True(arrives(t, client, server))
	is.True(!arrives(t, server, client))
	p.proxy.SetSilent(false, FromTarget)
	is.True(!arrives(t, server, client)) // it stays silent
	p.connect()
}

// TestProxyHidesEndOfSilentConnection guards against a target that learns through a
// silent connection that the client has closed.
func TestProxyHidesEndOfSilentConnection(t *testing.T) {
	is := is.New(t)
	p := newProxyPair(t)
	client, server := p.connect()
	p.proxy.SilenceConnections(ToTarget)
	is.NoErr(client.Close())
	for range 3 {
		_, err := server.Write([]byte{1}) // the client's end resets these
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond)
	}
	is.NoErr(server.SetReadDeadline(time.Now().Add(arrivalTimeout)))
	_, err := server.Read(make([]byte, 1))
	is.True(errors.Is(err, os.ErrDeadlineExceeded)) // neither an end nor a reset
}

func TestProxyDelays(t *testing.T) {
	is := is.New(t)
	p := newProxyPair(t)
	client, server := p.connect()
	const delay = 60 * time.Millisecond
	p.proxy.SetDelay(delay)
	for _, ends := range [][2]net.Conn{{client, server}, {server, client}} {
		sent := time.Now()
		is.True(arrives(t, ends[0], ends[1]))
		is.True(time.Since(sent) >= delay)
	}
}

// TestProxyHoldsBytesUp guards against a cut that loses what its sender has given up: bytes
// that are held up arrive later, unless their sender has reset the connection. There are some
// which the proxy has read, and some behind them which it has not.
func TestProxyHoldsBytesUp(t *testing.T) {
	for _, reset := range []bool{false, true} {
		is := is.New(t)
		p := newProxyPair(t)
		client, server := p.connect()
		p.proxy.SetHold(true)
		is.True(!arrives(t, client, server))
		is.True(!arrives(t, client, server))
		if reset {
			is.NoErr(client.(*net.TCPConn).SetLinger(0))
		}
		is.NoErr(client.Close())
		p.proxy.SetHold(false)
		is.NoErr(server.SetReadDeadline(time.Now().Add(arrivalTimeout)))
		arrived, err := io.ReadAll(server)
		is.NoErr(err)
		is.Equal(len(arrived), map[bool]int{false: 2, true: 0}[reset])
		p.connect() // a new connection works
	}
}
