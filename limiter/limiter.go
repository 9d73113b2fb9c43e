// Package limiter bounds what the clients of a process can make it hold, however
// many they are and however slowly they send.
//
// A process has one Guard, which all of its listeners share. It bounds the connections
// of each listener (file listener.go), so that what each connection costs fits into the
// memory of the machine and descriptors are left for what the process itself connects
// to. A new connection takes the place of the one that has waited longest: one that is
// idle, or of which the request is still being read. So a crowd that stays connected
// keeps out nobody, and the process needs no bound of time for that.
//
// The Guard also bounds what the requests that are read or handled hold (file
// budget.go). Each connection has an allowance, which covers an ordinary request and is
// part of what a connection costs. What a request holds beyond it comes from one budget,
// and is taken before it is read (files headers.go and body.go). So a crowd with large bodies can use up
// the budget, and then large bodies are refused, but it can't keep out ordinary requests.
package limiter

import (
	"math"
	"sync"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// connectionBytes is what a connection costs in the worst case: its goroutine,
	// its two buffers and its entries in tables (24 KiB), the allowance of its
	// request (24 KiB), and bytes that have arrived and are not read (64 KiB).
	connectionBytes = 112 << 10
	// connectionShare is the fraction of the machine's memory for connections.
	connectionShare = 0.25
	// fileDescriptors are left for files.
	fileDescriptors = 200
	// callerShare and linkShare are the fractions of the other descriptors that the
	// connections of callers, and those of links, may take. The rest is for the
	// store, the workers and the other connections that the process opens.
	callerShare = 0.5
	linkShare   = 0.125
	// minConnections is the least that a listener allows.
	minConnections = 8
	// maxLinkConnections is the most that a listener for links allows.
	maxLinkConnections = 256
	// ProbeConnections is the number of connections that a listener for readiness
	// checks, or for metrics, allows.
	ProbeConnections = 16
)

// Options configures a Guard.
type Options struct {
	// MemoryBytes is the memory of the machine; 0 means that it is not known and
	// bounds nothing.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may have; 0 means
	// the limit of the operating system.
	Descriptors int
	// HeldBytes is how much all requests may hold beyond the allowances of their
	// connections; 0 means a share of MemoryBytes, or 96 MiB if that is not known.
	HeldBytes int64
	// Entries is the number of entries in the process, which share it; 0 means 1.
	Entries int
}

// Guard bounds what the clients of a process make it hold.
type Guard struct {
	options     Options
	descriptors int
	heldLimit   int64

	mu sync.Mutex
	// changed is signalled when a connection closes or begins to wait.
	changed sync.Cond
	metrics Metrics
}

// Metrics are the counters of a Guard.
type Metrics struct {
	// Connections is how many connections of clients are open now.
	Connections int64
	// ConnectionsClosed counts those that were closed for a new one.
	ConnectionsClosed int64
	// HeldBytes is what requests hold now, beyond the allowances.
	HeldBytes int64
	// BodiesRefused counts the bodies that were not read for what requests held.
	BodiesRefused int64
	// HeadersRefused counts the connections that were closed in the middle of a
	// request's headers for what requests held.
	HeadersRefused int64
}

// New returns a Guard.
func New(options Options) (*Guard, error) {
	g := &Guard{options: options, descriptors: options.Descriptors, heldLimit: heldLimit(options)}
	if g.descriptors <= 0 {
		var limit unix.Rlimit
		if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			return nil, errors.Wrap(err, "read the limit of descriptors")
		}
		g.descriptors = int(min(limit.Cur, math.MaxInt32))
	}
	g.options.Entries = max(1, options.Entries)
	g.changed.L = &g.mu
	return g, nil
}

// Metrics returns the current counters.
func (g *Guard) Metrics() Metrics {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.metrics
}

// CallerConnections returns how many connections a listener for callers may have: the
// number that is set, if it is not 0, unless the machine has too little memory or too
// few descriptors.
func (g *Guard) CallerConnections(set int) int {
	limit := g.shareOf(callerShare)
	if g.options.MemoryBytes > 0 {
		fitting := float64(g.options.MemoryBytes) * connectionShare / connectionBytes
		limit = min(limit, max(minConnections, int(fitting)/g.options.Entries))
	}
	if set > 0 {
		limit = min(limit, set)
	}
	return limit
}

// LinkConnections returns how many connections a listener for links only may have.
func (g *Guard) LinkConnections() int { return min(maxLinkConnections, g.shareOf(linkShare)) }

// LinkBytes returns what messages that are being received on links may hold, beside what
// requests may hold; 0 if the memory of the machine is not known.
func (g *Guard) LinkBytes() int64 { return int64(float64(g.options.MemoryBytes) * heldShare) }

// shareOf returns an entry's part of a fraction of the descriptors.
func (g *Guard) shareOf(fraction float64) int {
	available := float64(max(0, g.descriptors-fileDescriptors)) * fraction
	return max(minConnections, int(available)/g.options.Entries)
}
