package standin

import (
	"fmt"
	"net"
	"os"
	"testing"

	"github.com/matryer/is"
)

// TestFreeAddressIsNoEphemeralPort guards against entries that can't start again
// because an outgoing connection was given their port while they were down.
func TestFreeAddressIsNoEphemeralPort(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		t.Skipf("the range of ephemeral ports is unknown: %v", err)
	}
	var first, last uint16
	_, err = fmt.Sscan(string(data), &first, &last)
	is.NoErr(err)
	for range 100 {
		address, err := FreeAddress()
		is.NoErr(err)
		if port := address.Port(); port >= first && port <= last {
			t.Fatalf("got port %d, expected none of %d to %d", port, first, last)
		}
	}
}

// TestFreeAddressIsGivenOnce guards against two test processes that are given the same
// port while the entry there is down, so that it can't start again.
func TestFreeAddressIsGivenOnce(t *testing.T) {
	is := is.New(t)
	address, err := FreeAddress()
	is.NoErr(err)
	listener, err := net.Listen("tcp", address.String())
	is.NoErr(err) // an entry can listen there
	is.NoErr(listener.Close())
	portMu.Lock()
	nextPort-- // as another process would, which tries the same port
	portMu.Unlock()
	again, err := FreeAddress()
	is.NoErr(err)
	is.True(again != address)
}

// TestFreeAddressStaysFreeBesideOthers guards against an entry that can't start again
// because the stand-in of another test took its port of 127.0.0.1 while it was down.
func TestFreeAddressStaysFreeBesideOthers(t *testing.T) {
	is := is.New(t)
	address, err := FreeAddress()
	is.NoErr(err)
	other, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", address.Port()))
	is.NoErr(err)
	defer other.Close()
	listener, err := net.Listen("tcp", address.String())
	is.NoErr(err) // the entry can listen there
	is.NoErr(listener.Close())
}
