package limiter

import "github.com/cockroachdb/errors"

const (
	// allowanceBytes is what the request of a connection may hold by itself: the
	// headers and the body of an ordinary request. It is part of connectionBytes.
	allowanceBytes = 24 << 10
	// heldShare is the fraction of the machine's memory that requests may hold
	// beyond the allowances. The garbage collector may let the memory grow to twice
	// what is held.
	heldShare = 0.125
	// defaultHeldBytes is what requests may hold beyond the allowances if neither
	// that nor the memory of the machine is known.
	defaultHeldBytes = 96 << 20
)

var (
	// ErrBusy means that a body was not read, since the requests of other clients
	// hold all that requests may hold. The server must answer that nothing was
	// accepted, and the connection is closed.
	ErrBusy = errors.New("other requests hold all memory for requests")
	// ErrTooLarge means that a body was not read, since it alone would hold more
	// than all requests may hold.
	ErrTooLarge = errors.New("the body is larger than the memory for all requests")
)

// heldLimit returns how much requests may hold beyond the allowances.
func heldLimit(options Options) int64 {
	switch {
	case options.HeldBytes > 0:
		return options.HeldBytes
	case options.MemoryBytes > 0:
		return int64(float64(options.MemoryBytes) * heldShare)
	default:
		return defaultHeldBytes
	}
}

// charge takes memory for the request of a connection before it is used. It takes
// nothing if it returns an error. The caller holds the Guard's mutex.
func (c *conn) charge(count int64) error {
	g := c.listener.guard
	more := beyondAllowance(c.charged+count) - beyondAllowance(c.charged)
	switch {
	case beyondAllowance(c.charged+count) > g.heldLimit:
		return ErrTooLarge
	case more > 0 && g.metrics.HeldBytes+more > g.heldLimit:
		return ErrBusy
	}
	c.charged += count
	g.metrics.HeldBytes += more
	return nil
}

// giveBack returns memory of the request of a connection. The caller holds the Guard's
// mutex.
func (c *conn) giveBack(count int64) {
	c.listener.guard.metrics.HeldBytes -= beyondAllowance(c.charged) - beyondAllowance(c.charged-count)
	c.charged -= count
}

func beyondAllowance(charged int64) int64 { return max(0, charged-allowanceBytes) }
