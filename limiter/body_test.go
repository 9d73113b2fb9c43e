package limiter

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// testBudget is what the requests of these tests may hold beyond their allowances: two
// large bodies, and not three.
const (
	largeBytes = 100 << 10
	testBudget = 2 * decodeFactor * largeBytes
)

// newBodyServer returns a server whose handler reads a body, answers what it could not
// read, and waits for proceed otherwise.
func newBodyServer(t *testing.T) *testServer {
	t.Helper()
	return newTestServerWith(t, Options{HeldBytes: testBudget}, 50, func(s *testServer, w http.ResponseWriter, r *http.Request) {
		err := Reserve(r)
		if err == nil {
			_, err = io.Copy(io.Discard, r.Body)
		}
		switch {
		case errors.Is(err, ErrBusy):
			w.WriteHeader(http.StatusServiceUnavailable)
		case errors.Is(err, ErrTooLarge):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case r.URL.Path == "/abort":
			panic(http.ErrAbortHandler)
		case err == nil:
			Decoded(r)
			s.entered <- struct{}{}
			<-s.proceed
			w.WriteHeader(http.StatusOK)
		}
	})
}

// holds reports whether what is held is an amount, and the few lines of headers of one or
// two requests.
func holds(m Metrics, amount int64) bool {
	const headers = 2 * 10 * headerLineBytes
	return m.HeldBytes >= amount && m.HeldBytes <= amount+headers
}

func announced(path string, size, sent int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", sent))
}

func inChunks(size int, end string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%s", size, strings.Repeat("x", size), end)
}

// TestLargeBodiesLetSmallOnesIn checks that bodies of known size take memory before
// they are sent, that a further one is refused before it is read, that small ones are
// read nevertheless, and that all of the memory is given back.
func TestLargeBodiesLetSmallOnesIn(t *testing.T) {
	is := is.New(t)
	s := newBodyServer(t)
	slow := []io.Closer{s.dial(announced("/", largeBytes, 0)), s.dial(announced("/", largeBytes, largeBytes-1))}
	s.await(func(m Metrics) bool { return holds(m, testBudget-2*allowanceBytes) })
	refused := s.dial(announced("/", largeBytes, 0))
	is.Equal(s.status(refused), http.StatusServiceUnavailable)
	is.Equal(s.status(refused), 0) // closed
	is.Equal(s.guard.Metrics().BodiesRefused, int64(1))
	small := s.dial(announced("/", 1000, 1000))
	<-s.entered
	close(s.proceed)
	is.Equal(s.status(small), http.StatusOK)
	for _, conn := range slow {
		is.NoErr(conn.Close())
	}
	s.await(func(m Metrics) bool { return m.HeldBytes == 0 })
}

// TestBodyLargerThanBudget checks that a body that can never be read is refused for
// its size.
func TestBodyLargerThanBudget(t *testing.T) {
	is := is.New(t)
	s := newBodyServer(t)
	is.Equal(s.status(s.dial(announced("/", 10*largeBytes, 0))), http.StatusRequestEntityTooLarge)
	is.Equal(s.status(s.dial(inChunks(10*largeBytes, ""))), http.StatusRequestEntityTooLarge)
	is.Equal(s.guard.Metrics().HeldBytes, int64(0))
}

// TestChunksTakeMemoryAsTheyArrive checks that bodies of unknown size take memory for
// what has arrived, and that one is refused in the middle once there is none left.
func TestChunksTakeMemoryAsTheyArrive(t *testing.T) {
	is := is.New(t)
	s := newBodyServer(t)
	const partBytes = 60 << 10
	for i := range 2 {
		s.dial(inChunks(partBytes, ""))
		// The read in progress holds its buffer, too.
		s.await(func(m Metrics) bool {
			return m.HeldBytes >= int64(i+1)*(decodeFactor*partBytes-allowanceBytes)
		})
	}
	is.Equal(s.status(s.dial(inChunks(largeBytes, "0\r\n\r\n"))), http.StatusServiceUnavailable)
}

// TestDecodedBodyHoldsLess checks that a body holds its own size once it is decoded, and
// nothing after the response.
func TestDecodedBodyHoldsLess(t *testing.T) {
	is := is.New(t)
	s := newBodyServer(t)
	conn := s.dial(announced("/", largeBytes, largeBytes))
	<-s.entered
	is.True(holds(s.guard.Metrics(), largeBytes-allowanceBytes))
	close(s.proceed)
	is.Equal(s.status(conn), http.StatusOK)
	s.await(func(m Metrics) bool { return m.HeldBytes == 0 })
}

// TestAbortedHandlerGivesBack checks that a handler that panics holds nothing.
func TestAbortedHandlerGivesBack(t *testing.T) {
	is := is.New(t)
	s := newBodyServer(t)
	is.Equal(s.status(s.dial(announced("/abort", largeBytes, largeBytes))), 0)
	s.await(func(m Metrics) bool { return m.HeldBytes == 0 && m.Connections == 0 })
}

// TestHeldLimit checks what requests may hold by default.
func TestHeldLimit(t *testing.T) {
	is := is.New(t)
	is.Equal(heldLimit(Options{}), int64(defaultHeldBytes))
	is.Equal(heldLimit(Options{MemoryBytes: 80 << 20}), int64(10<<20))
	is.Equal(heldLimit(Options{MemoryBytes: 80 << 20, HeldBytes: 7}), int64(7))
}
