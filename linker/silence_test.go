package linker_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/encoder"
	"kumquatstall/linker"
	"kumquatstall/requester"
	"kumquatstall/standin"
)

// contact is the time after which machines count as in touch again.
const contact = 3 * time.Second

// end is one end of a link, which counts what its handler is told.
type end struct {
	*linker.Linker
	mu       sync.Mutex
	ups      int
	downs    int
	received int
}

func (e *end) PeerUp(encoder.PeerInfo, int64)                        { e.count(&e.ups) }
func (e *end) PeerDown(requester.EntryID, error)                     { e.count(&e.downs) }
func (e *end) PeerRefused(requester.EntryID, bool)                   {}
func (e *end) PeerMessage(requester.EntryID, int64, encoder.Message) { e.count(&e.received) }

func (e *end) count(counter *int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*counter++
}

func (e *end) read(counter *int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return *counter
}

func newEnd(id requester.EntryID) *end {
	e := new(end)
	e.Linker = linker.New(linker.Options{Self: encoder.PeerInfo{EntryID: id}, DialImmediately: true}, e)
	return e
}

// pair is two linked ends; the dialler reaches the other one through a proxy.
type pair struct {
	dialler, acceptor *end
	proxy             *standin.Proxy
}

func newPair(t *testing.T) *pair {
	return newPairBy(t, func(proxy netip.AddrPort) netip.AddrPort { return proxy })
}

// newPairBy is newPair with something between the dialler and the proxy: by returns
// the address at which the dialler reaches the proxy.
func newPairBy(t *testing.T, by func(proxy netip.AddrPort) netip.AddrPort) *pair {
	is := is.New(t)
	p := &pair{dialler: newEnd("dialler"), acceptor: newEnd("acceptor")}
	mux := http.NewServeMux()
	mux.Handle(linker.Path, p.acceptor)
	server := httptest.NewServer(mux)
	var err error
	p.proxy, err = standin.NewProxy(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	is.NoErr(err)
	t.Cleanup(func() {
		for _, e := range []*end{p.dialler, p.acceptor} {
			e.Close()
			<-e.Done()
		}
		p.proxy.Close()
		server.Close()
	})
	p.dialler.Dial([]encoder.PeerInfo{{EntryID: "acceptor", Address: by(p.proxy.Address())}})
	await(t, "link up", contact, func() bool { return p.dialler.read(&p.dialler.ups) == 1 && p.acceptor.read(&p.acceptor.ups) == 1 })
	return p
}

func await(t *testing.T, what string, bound time.Duration, done func() bool) {
	t.Helper()
	for until := time.Now().Add(bound); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("not within %v: %s", bound, what)
		}
	}
}

// TestSilentLinkIsReplaced guards against links that count as up although nothing
// comes through them any more.
func TestSilentLinkIsReplaced(t *testing.T) {
	p := newPair(t)
	p.proxy.BlackholeConnections()
	await(t, "a new link at both ends", contact, func() bool {
		return p.dialler.read(&p.dialler.ups) == 2 && p.acceptor.read(&p.acceptor.ups) == 2
	})
	p.dialler.Send("acceptor", &encoder.EntryCapacity{Cores: 1})
	p.acceptor.Send("dialler", &encoder.EntryCapacity{Cores: 1})
	await(t, "messages both ways", contact, func() bool {
		return p.dialler.read(&p.dialler.received) == 1 && p.acceptor.read(&p.acceptor.received) == 1
	})
}

// TestSilentLinkIsReported guards against a link that stays up at the end that
// does not dial, while the other one cannot be reached.
func TestSilentLinkIsReported(t *testing.T) {
	p := newPair(t)
	p.proxy.SetBlackhole(true)
	await(t, "the link reported down at both ends", contact, func() bool {
		return p.dialler.read(&p.dialler.downs) == 1 && p.acceptor.read(&p.acceptor.downs) == 1
	})
	p.proxy.SetBlackhole(false)
	await(t, "a new link at both ends", contact, func() bool {
		return p.dialler.read(&p.dialler.ups) == 2 && p.acceptor.read(&p.acceptor.ups) == 2
	})
}

// TestIdleLinkStaysUp guards against closing links that are only unused.
func TestIdleLinkStaysUp(t *testing.T) {
	p := newPair(t)
	time.Sleep(contact)
	is := is.New(t)
	is.Equal(p.dialler.read(&p.dialler.downs), 0)
	is.Equal(p.acceptor.read(&p.acceptor.downs), 0)
	is.Equal(p.acceptor.read(&p.acceptor.ups), 1)
}

// TestReplacedLinkIsReported guards against requests that wait for replies on a link
// that a newer one has replaced.
func TestReplacedLinkIsReported(t *testing.T) {
	p := newPair(t)
	p.dialler.StopDialing("acceptor")
	second := newEnd("dialler")
	second.Dial([]encoder.PeerInfo{{EntryID: "acceptor", Address: p.proxy.Address()}})
	await(t, "the second link up", contact, func() bool { return p.acceptor.read(&p.acceptor.ups) == 2 })
	is := is.New(t)
	is.Equal(p.acceptor.read(&p.acceptor.downs), 1)
	second.Close()
	<-second.Done()
}

// TestLinkSilentInOneDirection guards against a link on which one side hears the
// other, whom it cannot reach.
func TestLinkSilentInOneDirection(t *testing.T) {
	for _, direction := range []standin.Direction{standin.ToTarget, standin.FromTarget} {
		t.Run(direction.String(), func(t *testing.T) {
			p := newPair(t)
			p.proxy.SilenceConnections(direction)
			await(t, "a new link at both ends", contact, func() bool {
				return p.dialler.read(&p.dialler.ups) == 2 && p.acceptor.read(&p.acceptor.ups) == 2
			})
		})
	}
}

// TestLinkAfterDialsHang guards against a dial or handshake that hangs for long
// after the network works again.
func TestLinkAfterDialsHang(t *testing.T) {
	p := newPair(t)
	p.proxy.SetBlackhole(true)
	time.Sleep(1800 * time.Millisecond)
	p.proxy.SetBlackhole(false)
	await(t, "a new link at both ends", contact, func() bool {
		return p.dialler.read(&p.dialler.ups) == 2 && p.acceptor.read(&p.acceptor.ups) == 2
	})
}

// TestLargeMessageOnASlowLink guards against closing a link that works: while a large
// message is on its way, the peer has nothing to say, and no answer to a ping arrives.
func TestLargeMessageOnASlowLink(t *testing.T) {
	const bytesPerSecond = 1 << 20
	p := newPairBy(t, func(proxy netip.AddrPort) netip.AddrPort { return slowRelay(t, proxy, bytesPerSecond) })
	// Both sides have nothing to say for a while, so that pings are due.
	time.Sleep(500 * time.Millisecond)
	message := &encoder.StatesStored{Revision: 1, States: []encoder.StoredState{{Key: "key", Value: make([]byte, 5*bytesPerSecond/2)}}}
	p.dialler.Send("acceptor", message)
	await(t, "the message", 6*time.Second, func() bool { return p.acceptor.read(&p.acceptor.received) == 1 })
	is := is.New(t)
	is.Equal(p.dialler.read(&p.dialler.downs), 0)
	is.Equal(p.acceptor.read(&p.acceptor.downs), 0)
}

// slowRelay forwards connections to target at a limited rate, and returns its address.
func slowRelay(t *testing.T, target netip.AddrPort, bytesPerSecond int) netip.AddrPort {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			downstream, err := listener.Accept()
			if err != nil {
				return
			}
			upstream, err := net.Dial("tcp", target.String())
			if err != nil {
				_ = downstream.Close()
				return
			}
			go forwardSlowly(upstream, downstream, bytesPerSecond)
			go forwardSlowly(downstream, upstream, bytesPerSecond)
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// forwardSlowly copies bytes until an end closes, through a small window.
func forwardSlowly(destination, source net.Conn, bytesPerSecond int) {
	defer destination.Close()
	defer source.Close()
	if tcp, ok := source.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(64 << 10)
	}
	buffer := make([]byte, bytesPerSecond/50)
	for {
		n, err := source.Read(buffer)
		time.Sleep(time.Duration(n) * time.Second / time.Duration(bytesPerSecond))
		if _, writeErr := destination.Write(buffer[:n]); err != nil || writeErr != nil {
			return
		}
	}
}
