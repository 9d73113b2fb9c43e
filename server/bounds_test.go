package server

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCallerSilentWithinBody checks that a connection that goes silent in the middle of
// a body is closed, whether the handler reads the body or not, and that a request that
// takes longer than the bound is not ended by it.
func TestCallerSilentWithinBody(t *testing.T) {
	const timeout = 200 * time.Millisecond
	tests := []struct {
		name    string
		handler http.HandlerFunc
		body    string
		status  int
	}{
		{"read", func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.ReadAll(r.Body); err != nil {
				w.WriteHeader(http.StatusBadRequest)
			}
		}, "half", http.StatusBadRequest},
		{"not read", func(http.ResponseWriter, *http.Request) {}, "half", http.StatusOK},
		{"whole body, slow handler", func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			select {
			case <-r.Context().Done():
				w.WriteHeader(http.StatusGatewayTimeout)
			case <-time.After(3 * timeout):
			}
		}, "all of it", http.StatusOK},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(boundTransfers(test.handler, timeout))
			defer server.Close()
			defer server.CloseClientConnections()
			conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(conn.SetDeadline(time.Now().Add(2 * time.Second)))
			_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n%s", test.body)
			is.NoErr(err)
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, nil)
			is.NoErr(err) // no response: the handler waits for the body
			is.Equal(response.StatusCode, test.status)
			if test.status == http.StatusOK && test.body == "all of it" {
				return
			}
			_, _ = io.Copy(io.Discard, response.Body)
			_, err = reader.ReadByte()
			is.Equal(err, io.EOF) // the connection is still open
		})
	}
}

// TestCallerSilentWithinResponse checks that the writing of a response to a caller that
// takes nothing ends, and that a connection may still be used long after a response.
func TestCallerSilentWithinResponse(t *testing.T) {
	const timeout = 200 * time.Millisecond
	is := is.New(t)
	failed := make(chan error, 1)
	server := httptest.NewServer(boundTransfers(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/small" {
			_, _ = w.Write([]byte("ok"))
			return
		}
		if r.URL.Path == "/large" {
			_, err := w.Write(make([]byte, 64<<20))
			failed <- err
		}
	}), timeout))
	defer server.Close()
	defer server.CloseClientConnections()
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	is.NoErr(err)
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for _, path := range []string{"/small", "/empty", "/small"} {
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
		is.NoErr(err)
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		time.Sleep(2 * timeout)
	}
	_, err = fmt.Fprint(conn, "GET /large HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	select {
	case err := <-failed:
		is.True(err != nil)
	case <-time.After(2 * time.Second):
		t.Fatal("the handler still writes")
	}
}
