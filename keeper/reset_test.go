package keeper_test

import (
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"kumquatstall/keeper"
)

// TestGivenUpTransactionResetsItsConnection guards against a transaction that is given up
// and that the kernel still delivers once the table can be reached again.
func TestGivenUpTransactionResetsItsConnection(t *testing.T) {
	const (
		patience    = 5 * time.Second
		headerBytes = 4 << 10
	)
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	is.NoErr(listener.(*net.TCPListener).SetDeadline(time.Now().Add(patience)))
	client := keeper.New(netip.MustParseAddrPort(listener.Addr().String()), keeper.Options{})
	client.Transact(keeper.Transaction{}, time.Now().Add(time.Minute), func(keeper.TransactResult, error) {})
	conn, err := listener.Accept()
	is.NoErr(err)
	defer conn.Close()
	is.NoErr(conn.SetReadDeadline(time.Now().Add(patience)))
	_, err = conn.Read(make([]byte, headerBytes))
	is.NoErr(err)
	client.Close()
	_, err = io.ReadAll(conn)
	is.True(errors.Is(err, syscall.ECONNRESET)) // an end of file instead of a reset
}
