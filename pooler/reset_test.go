package pooler

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// testTimeout bounds what a test waits for.
const testTimeout = 5 * time.Second

// listen listens with a receive buffer of the given size, in bytes; 0 means the usual
// one.
func listen(t *testing.T, receiveBuffer int) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		if receiveBuffer == 0 {
			return nil
		}
		var failure error
		err := raw.Control(func(fd uintptr) {
			failure = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		})
		return errors.CombineErrors(err, failure)
	}}
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// accept returns the next connection.
func accept(t *testing.T, listener net.Listener) net.Conn {
	t.Helper()
	if err := listener.(*net.TCPListener).SetDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	return conn
}

func post(ctx context.Context, p *Pooler, listener net.Listener, body []byte) error {
	address := netip.MustParseAddrPort(listener.Addr().String())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String(), bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := p.Client(address, time.Time{}).Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// giveUpOnceSent sends a request and gives it up when the last of its bytes has been
// handed to the kernel.
func giveUpOnceSent(t *testing.T, p *Pooler, listener net.Listener, body []byte) {
	t.Helper()
	is := is.New(t)
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	sent := make(chan error, 1)
	trace := &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		sent <- info.Err
		cancel()
	}}
	is.True(errors.Is(post(httptrace.WithClientTrace(ctx, trace), p, listener, body), context.Canceled))
	is.NoErr(<-sent) // the kernel has not taken the whole request
}

// TestGivenUpRequestResetsItsConnection guards against an ordinary close, after which the
// kernel delivers a request that was given up once the host can be reached again.
func TestGivenUpRequestResetsItsConnection(t *testing.T) {
	is := is.New(t)
	p := New(Options{Connections: 4, IdleTimeout: time.Minute})
	defer p.Close()
	listener := listen(t, 0)
	giveUpOnceSent(t, p, listener, []byte("order"))
	_, err := io.ReadAll(accept(t, listener))
	is.True(errors.Is(err, syscall.ECONNRESET)) // an end of file instead of a reset
}

// TestHeldBytesOfGivenUpRequestNeverArrive guards against a request that was given up
// while the receiver's kernel had taken only a part, and that still arrives whole.
func TestHeldBytesOfGivenUpRequestNeverArrive(t *testing.T) {
	const (
		receiveBuffer = 4 << 10
		bodyBytes     = 64 << 10
	)
	is := is.New(t)
	p := New(Options{Connections: 4, IdleTimeout: time.Minute})
	defer p.Close()
	listener := listen(t, receiveBuffer)
	giveUpOnceSent(t, p, listener, bytes.Repeat([]byte("x"), bodyBytes))
	received, err := io.ReadAll(accept(t, listener))
	t.Logf("%d bytes of a body of %d and its header arrived; then: %v", len(received), bodyBytes, err)
	is.True(len(received) < bodyBytes) // the whole request arrived after it was given up
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// TestRequestGivenUpWhileDiallingIsNeverSent guards against a connection that is opened
// after its request was given up, and on which that request is then sent.
func TestRequestGivenUpWhileDiallingIsNeverSent(t *testing.T) {
	const (
		dialDelay = 100 * time.Millisecond
		patience  = 300 * time.Millisecond
	)
	is := is.New(t)
	p := New(Options{Connections: 4, IdleTimeout: time.Minute})
	defer p.Close()
	p.dialer.Control = func(string, string, syscall.RawConn) error {
		time.Sleep(dialDelay)
		return nil
	}
	listener := listen(t, 0)
	ctx, cancel := context.WithTimeout(t.Context(), dialDelay/2)
	defer cancel()
	is.True(IsTimeout(post(ctx, p, listener, []byte("order"))))
	is.NoErr(listener.(*net.TCPListener).SetDeadline(time.Now().Add(patience)))
	conn, err := listener.Accept()
	if err != nil {
		is.True(IsTimeout(err)) // the dial was given up with the request
		return
	}
	defer conn.Close()
	is.NoErr(conn.SetReadDeadline(time.Now().Add(patience)))
	received, _ := io.ReadAll(conn)
	is.Equal(len(received), 0) // bytes of a request that was given up before it had a connection
}

// TestResponseOfClosingServerArrivesWhole guards against a reset that loses a part of a
// response after which the server closes the connection.
func TestResponseOfClosingServerArrivesWhole(t *testing.T) {
	const responseBytes = 4 << 20
	is := is.New(t)
	server := newCountingServer(t)
	server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Connection", "close")
		_, _ = w.Write(make([]byte, responseBytes))
	})
	p := New(Options{Connections: 4, IdleTimeout: time.Minute})
	defer p.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	for range 20 {
		response, err := p.Client(address, time.Time{}).Get(server.URL)
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		is.Equal(len(body), responseBytes)
	}
}
