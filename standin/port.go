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
	// claims hold the UDP ports of the addresses that this process was given.
	claims []net.PacketConn
)

// FreeAddress returns a loopback address with a port that is not in use. No process
// that asks for one is given the same until this one ends, also while nothing listens
// there: this process keeps the UDP port of that number. The IP address is this
// process's own, so that those who take ports of 127.0.0.1 without asking are not in the
// way.
func FreeAddress() (netip.AddrPort, error) {
	portMu.Lock()
	defer portMu.Unlock()
	for range portCount {
		nextPort++
		address := netip.AddrPortFrom(ownLoopback(), uint16(firstPort+nextPort%portCount))
		claim, err := net.ListenPacket("udp", address.String())
		if err != nil {
			continue // given to another process
		}
		listener, err := net.Listen("tcp", address.String())
		if err != nil {
			_ = claim.Close() // in use by another process, and nothing was sent
			continue
		}
		if err := listener.Close(); err != nil {
			return netip.AddrPort{}, errors.Wrapf(err, "close listener at %s", address)
		}
		claims = append(claims, claim)
		return address, nil
	}
	return netip.AddrPort{}, errors.Newf("none of the %d ports from %d on is free", portCount, firstPort)
}

// ownLoopback returns a loopback address that depends on the process id and isn't
// 127.0.0.1. On Linux all of 127.0.0.0/8 are loopback addresses.
func ownLoopback() netip.Addr {
	pid := os.Getpid()
	return netip.AddrFrom4([4]byte{127, 1 + byte(pid>>16)%254, byte(pid >> 8), byte(pid)})
}
