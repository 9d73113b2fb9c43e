package configurer

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const validSite = `EntryID: "entry-1"
DataCentre: "yame"
Listen:
  Callers: "10.1.0.13:8161"
  Ready: "10.1.0.13:8167"
  Links: "10.1.0.13:7720"
  Metrics: "10.1.0.13:9464"
Store:
  Address: "10.200.1.7:8169"
  WritesPerSecond: 600
Advice: "10.200.1.9:8169"
Timing:
  GraceSeconds: 6
  LongestLeaseMillis: 10000
  LongestStopMillis: 900
Limits:
  MemoryMB: 284
  Cores: 0.4
`

func TestParseSite(t *testing.T) {
	tests := []struct {
		name string
		old  string
		new  string
		// key is the key that the first problem must name; empty if the
		// settings are valid.
		key string
	}{
		{"valid", "", "", ""},
		{"no name", `EntryID: "entry-1"`, `EntryID: ""`, "EntryID"},
		{"slash in name", `"entry-1"`, `"entry/1"`, "EntryID"},
		{"no data centre", `DataCentre: "yame"`, `DataCentre: ""`, "DataCentre"},
		{"no address for callers", `  Callers: "10.1.0.13:8161"` + "\n", "", "Listen.Callers"},
		{"no address of the store", `  Address: "10.200.1.7:8169"` + "\n", "", "Store.Address"},
		{"no advice service", `Advice: "10.200.1.9:8169"` + "\n", "", ""},
		{"the template's text for no advice service", `"10.200.1.9:8169"`, `"0.0.0.0:0"`, ""},
		{"advice at no port", `"10.200.1.9:8169"`, `"10.200.1.9:0"`, "Advice"},
		{"advice at no host", `"10.200.1.9:8169"`, `"0.0.0.0:8169"`, "Advice"},
		{"advertised port of no host", `Advice: `, `Advertise: "0.0.0.0:7720"` + "\nAdvice: ", "Advertise"},
		{"advertised address without port", `Advice: `, `Advertise: "10.1.0.13:0"` + "\nAdvice: ", "Advertise"},
		{"negative rate", "WritesPerSecond: 600", "WritesPerSecond: -1", "Store.WritesPerSecond"},
		{"small rows", "WritesPerSecond: 600", "RowBytes: 100", "Store.RowBytes"},
		{"negative rows", "WritesPerSecond: 600", "RowBytes: -1", "Store.RowBytes"},
		{"rows of no given size", "WritesPerSecond: 600", "RowBytes:", ""},
		{"negative grace", "GraceSeconds: 6", "GraceSeconds: -6", "Timing.GraceSeconds"},
		{"negative lease", "LongestLeaseMillis: 10000", "LongestLeaseMillis: -1", "Timing.LongestLeaseMillis"},
		{"negative stop", "LongestStopMillis: 900", "LongestStopMillis: -1", "Timing.LongestStopMillis"},
		{"negative memory", "MemoryMB: 284", "MemoryMB: -284", "Limits.MemoryMB"},
		{"negative descriptors", "Cores: 0.4", "Descriptors: -1", "Limits.Descriptors"},
		{"too many descriptors", "Cores: 0.4", "Descriptors: 2000000000", "Limits.Descriptors"},
		{"negative connections", "Cores: 0.4", "MaxConnections: -1", "Limits.MaxConnections"},
		{"negative held bytes", "Cores: 0.4", "MaxHeldBytes: -1", "Limits.MaxHeldBytes"},
		{"limits of clients", "Cores: 0.4", "Cores: 0.4\n  MaxHeldBytes: 1000000\n  Descriptors: 4100\n  MaxConnections: 500", ""},
		{"negative cores", "Cores: 0.4", "Cores: -1", "Limits.Cores"},
		{"unknown level", "Limits:", "Log:\n  Level: loud\nLimits:", "Log.Level"},
		{"unknown key", "Limits:", "Limit: 3\nLimits:", "Limit"},
		{"no YAML", validSite, "{", "document"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			site, err := ParseSite("site.yaml", []byte(strings.Replace(validSite, test.old, test.new, 1)))
			if test.key == "" {
				is.NoErr(err)
				is.Equal(site.Limits.Cores, 0.4)
				is.Equal(Millis(site.Timing.LongestLeaseMillis), 10*time.Second)
				is.Equal(Millis(site.Timing.LongestStopMillis), 900*time.Millisecond)
				return
			}
			var problems *ProblemsError
			is.True(errors.As(err, &problems))
			is.True(strings.Contains(problems.Problems[0].Key, test.key)) // the key is named
		})
	}
}

func TestLinksAddress(t *testing.T) {
	is := is.New(t)
	site, err := ParseSite("site.yaml", []byte(validSite))
	is.NoErr(err)
	is.Equal(site.LinksAddress().String(), "10.1.0.13:7720")
	site, err = ParseSite("site.yaml", []byte(validSite+`Advertise: "192.0.2.7:77"`))
	is.NoErr(err)
	is.Equal(site.LinksAddress().String(), "192.0.2.7:77")
}
