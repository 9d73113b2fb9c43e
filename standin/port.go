package standin

import (
	"net"
	"net/netip"
	"os"
	"sync"

	"github.com/cockroachdb/errors"
)

// Ports for processes that end and start again at the same address lie below the
// usual ranges of ephemeral ports. If an outgoing connection got the port of a
// process that is down, the process could not start again.
const (
	firstPort = 20_000
	portCount = 10_000
	// portsPerProcess separates the ports that concurrent test processes try
	// first.
	portsPerProcess = 40
)

var (
	portMu   sync.Mutex
	nextPort = os.Getpid() * portsPerProcess
)

// FreeAddress returns a loopback address with a port that is not in use, and that
// this process has not been given before.
func FreeAddress() (netip.AddrPort, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range portCount {
		nextPort++
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+nextPort%portCount))
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			continue // in use by another process
		}
		if err := listener.Close(); err != nil {
			return netip.AddrPort{}, errors.Wrapf(err, "close listener at %s", address)
		}
		return address, nil
	}
	return netip.AddrPort{}, errors.Newf("none of the %d ports from %d on is free", portCount, firstPort)
}
