package configurer

import (
	"net/netip"
	"os"
	"slices"

	"github.com/cockroachdb/errors"

	"kumquatstall/requester"
)

// Site holds the settings of an entry that runs jobs on a platform.
type Site struct {
	EntryID    requester.EntryID    `yaml:"EntryID"`
	DataCentre requester.DataCentre `yaml:"DataCentre"`
	Listen     SiteListen           `yaml:"Listen"`
	Store      SiteStore            `yaml:"Store"`
	// Advice is the service that tells which workers may run a step.
	Advice netip.AddrPort `yaml:"Advice"`
	Timing SiteTiming     `yaml:"Timing,omitempty"`
	Limits SiteLimits     `yaml:"Limits,omitempty"`
	Log    Log            `yaml:"Log,omitempty"`
}

// SiteListen is where an entry listens.
type SiteListen struct {
	// Callers is for jobs, Ready for the balancer's looks, Links for other
	// entries, Metrics for expvar.
	Callers netip.AddrPort `yaml:"Callers"`
	Ready   netip.AddrPort `yaml:"Ready"`
	Links   netip.AddrPort `yaml:"Links"`
	Metrics netip.AddrPort `yaml:"Metrics,omitempty"`
}

// SiteStore is the store that keeps what must last.
type SiteStore struct {
	Address netip.AddrPort `yaml:"Address"`
	// WritesPerSecond is what all entries together may write; 0 means the
	// default of one entry.
	WritesPerSecond float64 `yaml:"WritesPerSecond,omitempty"`
}

// SiteTiming holds times; 0 means the default.
type SiteTiming struct {
	// GraceSeconds is how long a process may take to end once it is told to.
	GraceSeconds float64 `yaml:"GraceSeconds,omitempty"`
	// LongestLeaseMillis is the longest lease that a worker grants.
	LongestLeaseMillis int64 `yaml:"LongestLeaseMillis,omitempty"`
}

// SiteLimits bounds what an entry takes of its host.
type SiteLimits struct {
	// MemoryMB is what the process may use, in binary megabytes; 0 means
	// unbounded.
	MemoryMB int64 `yaml:"MemoryMB,omitempty"`
	// Cores is what the process gets of processors; 0 means 1.
	Cores float64 `yaml:"Cores,omitempty"`
}

// LoadSite reads and checks a file of settings. The error is a *ProblemsError
// where the file could be read.
func LoadSite(path string) (*Site, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseSite(path, data)
}

// ParseSite decodes and checks settings; path names them in errors.
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

const maxGraceSeconds = 3600

func (c *checker) checkSite(s *Site) {
	c.need(validName(string(s.EntryID)), "EntryID", "a name of letters, digits, '-', '_' and '.'")
	c.need(validName(string(s.DataCentre)), "DataCentre", "a name of letters, digits, '-', '_' and '.'")
	addresses := []struct {
		key     string
		address netip.AddrPort
	}{
		{"Listen.Callers", s.Listen.Callers},
		{"Listen.Ready", s.Listen.Ready},
		{"Listen.Links", s.Listen.Links},
		{"Store.Address", s.Store.Address},
		{"Advice", s.Advice},
	}
	for _, a := range addresses {
		c.need(a.address.IsValid(), a.key, "an IP address and port")
	}
	c.need(s.Store.WritesPerSecond >= 0, "Store.WritesPerSecond", "a rate of at least 0")
	c.need(s.Timing.GraceSeconds >= 0 && s.Timing.GraceSeconds <= maxGraceSeconds, "Timing.GraceSeconds", "between 0 and 3600")
	c.need(s.Timing.LongestLeaseMillis >= 0 && s.Timing.LongestLeaseMillis <= maxMillis, "Timing.LongestLeaseMillis", "a time of at least 0")
	c.need(s.Limits.MemoryMB >= 0, "Limits.MemoryMB", "at least 0")
	c.need(s.Limits.Cores >= 0, "Limits.Cores", "at least 0")
	levels := []string{"", "debug", "info", "warn", "error"}
	c.need(slices.Contains(levels, s.Log.Level), "Log.Level", "one of debug, info, warn, error")
}
