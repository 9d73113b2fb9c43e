package limiter

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// testServer is a server behind a guarded listener. Its handler reads the body and
// then waits until proceed is closed.
type testServer struct {
	t       *testing.T
	guard   *Guard
	address string
	// started has an element for each request whose headers were read, entered for
	// each whose body was read.
	started chan struct{}
	entered chan struct{}
	proceed chan struct{}
}

func newTestServer(t *testing.T, options Options, connections int) *testServer {
	t.Helper()
	return newTestServerWith(t, options, connections, (*testServer).serve)
}

// newTestServerWith is newTestServer with another handler.
func newTestServerWith(t *testing.T, options Options, connections int, handler func(*testServer, http.ResponseWriter, *http.Request)) *testServer {
	t.Helper()
	guard, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{t: t, guard: guard, address: inner.Addr().String(), started: make(chan struct{}, 100), entered: make(chan struct{}, 100), proceed: make(chan struct{})}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { handler(s, w, r) })}
	Attach(server)
	served := make(chan struct{})
	go func() {
		defer close(served)
		// The error says that the test has closed the server.
		_ = server.Serve(guard.Listen(inner, connections))
	}()
	t.Cleanup(func() {
		_ = server.Close()
		<-served
	})
	return s
}

func (s *testServer) serve(w http.ResponseWriter, r *http.Request) {
	s.started <- struct{}{}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.entered <- struct{}{}
	<-s.proceed
	w.WriteHeader(http.StatusOK)
}

// dial opens a connection and sends text on it.
func (s *testServer) dial(text string) net.Conn {
	s.t.Helper()
	conn, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		s.t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// await waits until the metrics meet a condition.
func (s *testServer) await(condition func(Metrics) bool) {
	s.t.Helper()
	for until := time.Now().Add(30 * time.Second); !condition(s.guard.Metrics()); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			s.t.Fatalf("condition not met: %+v", s.guard.Metrics())
		}
	}
}

// status returns the status of the next response on a connection, or 0 if it has been
// closed.
func (s *testServer) status(conn net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	return response.StatusCode
}

const (
	wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	slowRequest  = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n123456789"
)

// TestOldestWaitingConnectionMakesRoom checks that a new connection takes the place of
// the one that has waited longest, be it silent, in its headers, in its body or idle,
// and never that of a request that is being handled.
func TestOldestWaitingConnectionMakesRoom(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, Options{}, 4)
	handled := s.dial(wholeRequest)
	<-s.started
	<-s.entered
	var waiting []net.Conn
	for i, text := range []string{"", "GET / HTTP/1.1\r\n", slowRequest} {
		waiting = append(waiting, s.dial(text))
		s.await(func(m Metrics) bool { return m.Connections == int64(i)+2 })
	}
	<-s.started // the slow request
	for i, conn := range waiting {
		s.dial("")
		is.Equal(s.status(conn), 0) // the oldest was closed
		s.await(func(m Metrics) bool { return m.ConnectionsClosed == int64(i)+1 })
	}
	close(s.proceed)
	is.Equal(s.status(handled), http.StatusOK)
	s.dial("")
	s.dial("")
	s.dial("")
	s.dial("")
	is.Equal(s.status(handled), 0) // idle, and by now the oldest
	s.await(func(m Metrics) bool { return m.Connections <= 4 })
}

// TestNewConnectionWaitsForHandledOnes checks that a new connection is served once a
// request has ended, if all of them are being handled.
func TestNewConnectionWaitsForHandledOnes(t *testing.T) {
	is := is.New(t)
	s := newTestServer(t, Options{}, 2)
	first, second := s.dial(wholeRequest), s.dial(wholeRequest)
	<-s.entered
	<-s.entered
	third := s.dial(wholeRequest)
	close(s.proceed)
	is.Equal(s.status(third), http.StatusOK)
	is.Equal(s.status(first), http.StatusOK)
	is.Equal(s.status(second), http.StatusOK)
	is.True(s.guard.Metrics().Connections <= 2)
}

// TestCloseEndsWaitForRoom checks that a listener that waits for room can be closed:
// the cleanup of the server waits for it.
func TestCloseEndsWaitForRoom(t *testing.T) {
	s := newTestServer(t, Options{}, 1)
	t.Cleanup(func() { close(s.proceed) })
	s.dial(wholeRequest)
	<-s.entered
	s.dial(wholeRequest)
}

// TestConnectionLimits checks the limits that follow from the machine.
func TestConnectionLimits(t *testing.T) {
	is := is.New(t)
	limits := func(options Options, set int) (callers, links int) {
		guard, err := New(options)
		is.NoErr(err)
		return guard.CallerConnections(set), guard.LinkConnections()
	}
	callers, links := limits(Options{Descriptors: 600}, 0)
	is.Equal(callers, 200) // half of what isn't for files
	is.Equal(links, 50)
	callers, _ = limits(Options{Descriptors: 600}, 4096)
	is.Equal(callers, 200) // a setting doesn't raise it
	callers, _ = limits(Options{Descriptors: 600}, 7)
	is.Equal(callers, 7)
	callers, _ = limits(Options{Descriptors: 600, MemoryBytes: 10 << 20}, 0)
	is.Equal(callers, 22) // a quarter of 10 MiB
	callers, links = limits(Options{Descriptors: 600, Entries: 4}, 0)
	is.Equal(callers, 50)
	is.Equal(links, 12)
	callers, links = limits(Options{Descriptors: 1, MemoryBytes: 1}, 0)
	is.Equal(callers, minConnections)
	is.Equal(links, minConnections)
}
