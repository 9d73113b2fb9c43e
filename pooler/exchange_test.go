package pooler

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

func (s *countingServer) address() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// exchange sends a request on an Exchanger.
func exchange(ctx context.Context, e *Exchanger, address netip.AddrPort) (int, []byte, error) {
	request := &http.Request{Method: http.MethodGet, URL: &url.URL{Scheme: "http", Host: address.String(), Path: "/path"}, Header: http.Header{}}
	return e.Do(ctx, address, request, 1<<10)
}

func within(t *testing.T, limit time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	t.Cleanup(cancel)
	return ctx
}

func newTestExchanger(t *testing.T, idleTimeout time.Duration) *Exchanger {
	e := NewExchanger(Options{Connections: 2, DialTimeout: time.Second, IdleTimeout: idleTimeout})
	t.Cleanup(e.Close)
	return e
}

// TestExchangesShareAConnection checks that exchanges one after another use one connection, and
// that one that the server has closed meanwhile is replaced without an error.
func TestExchangesShareAConnection(t *testing.T) {
	is := is.New(t)
	e, server := newTestExchanger(t, time.Minute), newCountingServer(t)
	for range 3 {
		status, _, err := exchange(within(t, time.Second), e, server.address())
		is.NoErr(err)
		is.Equal(status, http.StatusOK)
	}
	is.Equal(server.accepted.Load(), int64(1))
	server.CloseClientConnections()
	time.Sleep(20 * time.Millisecond) // the close arrives
	_, _, err := exchange(within(t, time.Second), e, server.address())
	is.NoErr(err)
	is.Equal(server.accepted.Load(), int64(2))
}

// TestConnectionOutlivesTheDeadlineOfAnExchange guards against a connection that is opened anew for
// each exchange, as the deadline of the last one has passed since.
func TestConnectionOutlivesTheDeadlineOfAnExchange(t *testing.T) {
	is := is.New(t)
	e, server := newTestExchanger(t, time.Minute), newCountingServer(t)
	for range 2 {
		_, _, err := exchange(within(t, 500*time.Millisecond), e, server.address())
		is.NoErr(err)
		time.Sleep(520 * time.Millisecond)
	}
	is.Equal(server.accepted.Load(), int64(1))
}

// TestLateExchangeRetiresConnections guards against exchanges that use one silent connection after
// another: after a timeout, none uses a connection that is as old as the late request.
func TestLateExchangeRetiresConnections(t *testing.T) {
	is := is.New(t)
	e, silent, sound := newTestExchanger(t, time.Minute), newCountingServer(t), newCountingServer(t)
	_, _, err := exchange(within(t, time.Second), e, sound.address())
	is.NoErr(err)
	// Two connections to the silent server become idle.
	first, err := e.obtain(t.Context(), silent.address())
	is.NoErr(err)
	second, err := e.obtain(t.Context(), silent.address())
	is.NoErr(err)
	e.put(silent.address(), first)
	e.put(silent.address(), second)
	silent.silent.Store(true)
	_, _, err = exchange(within(t, 30*time.Millisecond), e, silent.address())
	is.True(IsTimeout(err) && !errors.Is(err, ErrNotSent))
	silent.silent.Store(false)
	_, _, err = exchange(within(t, time.Second), e, silent.address())
	is.NoErr(err)
	is.Equal(silent.accepted.Load(), int64(3)) // a new one, not the other idle one
	_, _, err = exchange(within(t, time.Second), e, sound.address())
	is.NoErr(err)
	is.Equal(sound.accepted.Load(), int64(1)) // other addresses are not affected
}

// TestConnectionInUseIsRetired checks that a connection that was in use when an older request
// timed out isn't used again.
func TestConnectionInUseIsRetired(t *testing.T) {
	is := is.New(t)
	e, server := newTestExchanger(t, time.Minute), newCountingServer(t)
	c, err := e.obtain(t.Context(), server.address())
	is.NoErr(err)
	e.retire(server.address(), time.Now())
	e.put(server.address(), c)
	is.True(e.takeIdle(server.address()) == nil)
}

// TestEndOfContextEndsExchange guards against an owner that waits, after it has lost the cell, for
// workers that don't answer.
func TestEndOfContextEndsExchange(t *testing.T) {
	is := is.New(t)
	e, server := newTestExchanger(t, time.Minute), newCountingServer(t)
	server.silent.Store(true)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(30*time.Millisecond, cancel)
	begin := time.Now()
	_, _, err := exchange(ctx, e, server.address())
	is.True(err != nil)
	is.True(time.Since(begin) < time.Second)
}

// TestRefusedExchangeIsNotSent checks that a request without a connection counts as not sent.
func TestRefusedExchangeIsNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := netip.MustParseAddrPort(listener.Addr().String())
	is.NoErr(listener.Close())
	_, _, err = exchange(within(t, time.Second), newTestExchanger(t, time.Minute), address)
	is.True(errors.Is(err, ErrNotSent))
}

// TestExchangeIsNotWrittenLate guards against a request that goes out after its time, as its
// process stood still: the timer of its connection has not run yet.
func TestExchangeIsNotWrittenLate(t *testing.T) {
	is := is.New(t)
	ours, theirs := net.Pipe()
	defer ours.Close()
	defer theirs.Close()
	c := &exchangeConn{conn: ours, deadline: time.Now().Add(-time.Millisecond)}
	count, err := c.Write([]byte("request"))
	is.Equal(count, 0)
	is.True(IsTimeout(err))
}

// TestUnusedExchangeConnectionsAreClosed checks that idle connections are closed after a time, and
// that their addresses are forgotten.
func TestUnusedExchangeConnectionsAreClosed(t *testing.T) {
	is := is.New(t)
	e, server := newTestExchanger(t, 50*time.Millisecond), newCountingServer(t)
	_, _, err := exchange(within(t, time.Second), e, server.address())
	is.NoErr(err)
	e.mu.Lock()
	is.Equal(len(e.byAddress), 1)
	e.mu.Unlock()
	for begin := time.Now(); time.Since(begin) < 5*time.Second; time.Sleep(10 * time.Millisecond) {
		e.mu.Lock()
		left := len(e.byAddress)
		e.mu.Unlock()
		if left == 0 {
			return
		}
	}
	t.Fatal("the idle connection is still there")
}

// TestOddResponsesEndConnections checks that a connection isn't used again after a response that
// is longer than its caller reads, that is followed by more, or that says so; and that something
// that is no response is an error.
func TestOddResponsesEndConnections(t *testing.T) {
	tests := []struct {
		name, response string
		fails          bool
	}{
		{"long", "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + strings.Repeat("x", 2000), false},
		{"followed by more", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1", false},
		{"closing", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", false},
		{"no response", "\x00\x01\x02\r\n\r\n", true},
		{"cut off", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nok", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer conn.Close()
				_, _ = io.ReadAtLeast(conn, make([]byte, 1<<10), 20)
				_, _ = conn.Write([]byte(test.response))
				time.Sleep(50 * time.Millisecond)
			}()
			e, address := newTestExchanger(t, time.Minute), netip.MustParseAddrPort(listener.Addr().String())
			status, _, err := exchange(within(t, time.Second), e, address)
			is.Equal(err != nil, test.fails)
			is.True(test.fails || status == http.StatusOK)
			is.True(e.takeIdle(address) == nil)
		})
	}
}
