package configurer

import (
	"fmt"
	"net/netip"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"kumquatstall/requester"
)

// Site holds the settings of an entry of package dispatcher, which runs jobs on
// the platform. A running entry reloads the file when it has changed; of the new
// settings only Store.Address, Advice and Timing.GraceSeconds take effect.
type Site struct {
	EntryID    requester.EntryID    `yaml:"EntryID"`
	DataCentre requester.DataCentre `yaml:"DataCentre"`
	Listen     SiteListen           `yaml:"Listen"`
	// Advertise is where other entries reach Listen.Links, if that is another
	// address, such as that of a proxy or of address translation.
	Advertise netip.AddrPort `yaml:"Advertise,omitempty"`
	Store     SiteStore      `yaml:"Store"`
	// Advice is the address of the service that decides which workers may run a
	// step; absent or 0.0.0.0:0 if there is none.
	Advice netip.AddrPort `yaml:"Advice,omitempty"`
	Timing SiteTiming     `yaml:"Timing,omitempty"`
	Limits SiteLimits     `yaml:"Limits,omitempty"`
	Log    Log            `yaml:"Log,omitempty"`
}

// SiteListen holds the addresses on which an entry listens.
type SiteListen struct {
	// Callers serves the API for jobs, Ready the load balancer's readiness
	// checks, Links the links of other entries and Metrics, if set, expvar.
	Callers netip.AddrPort `yaml:"Callers"`
	Ready   netip.AddrPort `yaml:"Ready"`
	Links   netip.AddrPort `yaml:"Links"`
	Metrics netip.AddrPort `yaml:"Metrics,omitempty"`
}

// SiteStore is the durable store of jobs and their progress.
type SiteStore struct {
	Address netip.AddrPort `yaml:"Address"`
	// WritesPerSecond is the rate of transactions that the store accepts from
	// all entries together. Each entry limits the transactions that store jobs
	// and cancellations to a fixed share of it; 0 means the default limit of an
	// entry.
	WritesPerSecond float64 `yaml:"WritesPerSecond,omitempty"`
	// RowBytes is the most bytes that the store takes in the value of a row; 0 means
	// 65,536.
	RowBytes int `yaml:"RowBytes,omitempty"`
}

// SiteTiming holds durations; 0 means the default.
type SiteTiming struct {
	// GraceSeconds is how long the process may take to shut down after a
	// signal.
	GraceSeconds float64 `yaml:"GraceSeconds,omitempty"`
	// LongestLeaseMillis is the longest lease that a worker grants.
	LongestLeaseMillis int64 `yaml:"LongestLeaseMillis,omitempty"`
	// LongestStopMillis is how long a worker may take to end a run.
	LongestStopMillis int64 `yaml:"LongestStopMillis,omitempty"`
}

// SiteLimits holds the resources of its host that an entry may use.
type SiteLimits struct {
	// MemoryMB is the memory that the process may use, in binary megabytes; 0
	// means unlimited.
	MemoryMB int64 `yaml:"MemoryMB,omitempty"`
	// Cores is the number of processor cores available to the process; 0 means
	// 1.
	Cores float64 `yaml:"Cores,omitempty"`
	// Descriptors is the number of descriptors that the process may have open; 0
	// means the limit of the operating system.
	Descriptors int `yaml:"Descriptors,omitempty"`
	// MaxConnections bounds the connections of callers; 0 means as many as MemoryMB
	// and Descriptors leave room for. It can only lower that; see package limiter.
	MaxConnections int `yaml:"MaxConnections,omitempty"`
	// MaxHeldBytes is how much all requests together may hold beyond what each
	// connection may; 0 means an eighth of MemoryMB.
	MaxHeldBytes int64 `yaml:"MaxHeldBytes,omitempty"`
}

// LinksAddress returns where other entries reach this one.
func (s *Site) LinksAddress() netip.AddrPort {
	if s.Advertise.IsValid() {
		return s.Advertise
	}
	return s.Listen.Links
}

// LoadSite reads and validates a settings file. If the file can be read, any error
// is a *ProblemsError.
func LoadSite(path string) (*Site, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseSite(path, data)
}

// ParseSite decodes and validates settings. Problems have path as their File. Any
// error is a *ProblemsError.
func ParseSite(path string, data []byte) (*Site, error) {
	site := &Site{}
	if err := decode(data, site); err != nil {
		return nil, &ProblemsError{Problems: []Problem{decodeProblem(path, err)}}
	}
	c := checker{file: path}
	c.checkSite(site)
	if len(c.problems) > 0 {
		return nil, &ProblemsError{Problems: c.problems}
	}
	return site, nil
}

// Limits of the values in the settings of a site.
const (
	maxGraceSeconds = 3600
	minRowBytes     = 4096
	maxRowBytes     = 1e9
	maxRate         = 1e9
	maxMemoryMB     = 1e9
	maxCores        = 1e6
	maxDescriptors  = 1 << 30
	maxConnections  = 1 << 20
	maxHeldBytes    = 1 << 40
)

func (c *checker) checkSite(s *Site) {
	c.require(validName(string(s.EntryID)), "EntryID", "a name of letters, digits, '-', '_' and '.'")
	c.require(validName(string(s.DataCentre)), "DataCentre", "a name of letters, digits, '-', '_' and '.'")
	addresses := []struct {
		key     string
		address netip.AddrPort
	}{
		{"Listen.Callers", s.Listen.Callers},
		{"Listen.Ready", s.Listen.Ready},
		{"Listen.Links", s.Listen.Links},
		{"Store.Address", s.Store.Address},
	}
	for _, a := range addresses {
		c.require(a.address.IsValid(), a.key, "an IP address and port")
	}
	c.require(isHostAddress(s.Store.Address), "Store.Address", "the address of a host, with a port")
	c.require(!s.hasAdvice() || isHostAddress(s.Advice), "Advice", "the address of a host, with a port, or 0.0.0.0:0 for none")
	c.require(!s.Advertise.IsValid() || isHostAddress(s.Advertise), "Advertise", "the address of a host, with a port")
	c.require(s.Store.WritesPerSecond >= 0 && s.Store.WritesPerSecond <= maxRate, "Store.WritesPerSecond", "a rate between 0 and 1000000000")
	c.require(s.Store.RowBytes == 0 || s.Store.RowBytes >= minRowBytes && s.Store.RowBytes <= maxRowBytes, "Store.RowBytes", "0, or between 4096 and 1000000000")
	c.require(s.Timing.GraceSeconds >= 0 && s.Timing.GraceSeconds <= maxGraceSeconds, "Timing.GraceSeconds", "between 0 and 3600")
	c.require(s.Timing.LongestLeaseMillis >= 0 && s.Timing.LongestLeaseMillis <= maxMillis, "Timing.LongestLeaseMillis", "between 0 and 86400000")
	c.require(s.Timing.LongestStopMillis >= 0 && s.Timing.LongestStopMillis <= maxMillis, "Timing.LongestStopMillis", "between 0 and 86400000")
	c.require(s.Limits.MemoryMB >= 0 && s.Limits.MemoryMB <= maxMemoryMB, "Limits.MemoryMB", "between 0 and 1000000000")
	c.require(s.Limits.Cores >= 0 && s.Limits.Cores <= maxCores, "Limits.Cores", "between 0 and 1000000")
	c.require(s.Limits.Descriptors >= 0 && s.Limits.Descriptors <= maxDescriptors, "Limits.Descriptors", fmt.Sprintf("between 0 and %d", maxDescriptors))
	c.require(s.Limits.MaxConnections >= 0 && s.Limits.MaxConnections <= maxConnections, "Limits.MaxConnections", fmt.Sprintf("between 0 and %d", maxConnections))
	c.require(s.Limits.MaxHeldBytes >= 0 && s.Limits.MaxHeldBytes <= maxHeldBytes, "Limits.MaxHeldBytes", fmt.Sprintf("between 0 and %d", maxHeldBytes))
	levels := []string{"", "debug", "info", "warn", "error"}
	c.require(slices.Contains(levels, s.Log.Level), "Log.Level", "one of debug, info, warn, error")
}

// hasAdvice reports whether there is an advice service.
func (s *Site) hasAdvice() bool {
	return s.Advice.IsValid() && s.Advice != netip.AddrPortFrom(netip.IPv4Unspecified(), 0)
}

// isHostAddress reports whether an address is one that others can connect to.
func isHostAddress(address netip.AddrPort) bool {
	ip := address.Addr().Unmap()
	return address.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast()
}
