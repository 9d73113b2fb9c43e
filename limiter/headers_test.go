package limiter

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// shortLines returns the beginning of a request with many short headers.
func shortLines(count int) string {
	var text strings.Builder
	text.WriteString("GET / HTTP/1.1\r\nHost: h\r\n")
	for number := range count {
		fmt.Fprintf(&text, "%x:\r\n", number)
	}
	return text.String()
}

// TestManyHeadersTakeMemory checks that headers in very many lines take memory, that a
// connection is closed without an answer when there is none left, that an ordinary request
// is answered then, and that what headers hold is given back: by a closed connection, and
// by an answered request.
func TestManyHeadersTakeMemory(t *testing.T) {
	is := is.New(t)
	const lines = 600
	held := int64(len(shortLines(lines))) + (lines+2)*headerLineBytes - allowanceBytes
	s := newTestServer(t, Options{HeldBytes: 2 * held}, 50)
	slow := []net.Conn{s.dial(shortLines(lines)), s.dial(shortLines(lines))}
	s.await(func(m Metrics) bool { return m.HeldBytes == 2*held })
	is.Equal(s.status(s.dial(shortLines(lines))), 0)
	is.Equal(s.guard.Metrics().HeadersRefused, int64(1))
	close(s.proceed)
	is.Equal(s.status(s.dial(wholeRequest)), http.StatusOK)
	is.NoErr(slow[0].Close())
	s.await(func(m Metrics) bool { return m.HeldBytes == held })
	_, err := slow[1].Write([]byte("\r\n"))
	is.NoErr(err)
	is.Equal(s.status(slow[1]), http.StatusOK)
	s.await(func(m Metrics) bool { return m.HeldBytes == 0 })
}

// TestBodyThatArrivesWithHeadersCountsOnce checks that a small body is free although
// package http reads it together with the headers.
func TestBodyThatArrivesWithHeadersCountsOnce(t *testing.T) {
	is := is.New(t)
	s := newBodyServer(t)
	const size = 7000
	conn := s.dial(announced("/", size, size-1))
	s.await(func(m Metrics) bool { return m.Connections == 1 })
	_, err := conn.Write([]byte("x"))
	is.NoErr(err)
	<-s.entered
	is.Equal(s.guard.Metrics().HeldBytes, int64(0))
	close(s.proceed)
	is.Equal(s.status(conn), http.StatusOK)
}

// TestRequestsOnOneConnection checks that nothing adds up over the requests of a
// connection.
func TestRequestsOnOneConnection(t *testing.T) {
	is := is.New(t)
	s := newBodyServer(t)
	close(s.proceed)
	conn := s.dial("")
	for range 50 {
		_, err := conn.Write([]byte(announced("/", largeBytes/2, largeBytes/2)))
		is.NoErr(err)
		is.Equal(s.status(conn), http.StatusOK)
		<-s.entered
	}
	s.await(func(m Metrics) bool { return m.HeldBytes == 0 })
}
