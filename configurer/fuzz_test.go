package configurer

import (
	"testing"
	"time"
)

// FuzzParseSite checks that no text ends the process or takes long, and that valid
// settings are in range.
func FuzzParseSite(f *testing.F) {
	f.Add(validSite)
	f.Add("EntryID: [[[[")
	f.Add("EntryID: &a [*a]\nLimits: {Cores: .inf}")
	f.Fuzz(func(t *testing.T, text string) {
		startedAt := time.Now()
		site, err := ParseSite("settings.yaml", []byte(text))
		if took := time.Since(startedAt); took > 10*time.Second {
			t.Errorf("took %v", took)
		}
		if err != nil {
			return
		}
		if site.Limits.MemoryMB<<20 < 0 || !(site.Limits.Cores <= maxCores) || !(site.Store.WritesPerSecond <= maxRate) || site.Store.Address.Port() == 0 || Millis(site.Timing.LongestLeaseMillis) < 0 {
			t.Errorf("got %+v", site)
		}
	})
}
