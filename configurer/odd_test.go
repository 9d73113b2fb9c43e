package configurer

import (
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// TestOddSettingsEndProcess checks that settings which are deeply nested, large or
// refer to themselves are a problem and end no process: an entry reads its file
// again while it runs.
func TestOddSettingsEndProcess(t *testing.T) {
	bomb := "a: &a [x,x,x,x,x,x,x,x,x,x]\n"
	for i := 'b'; i < 'l'; i++ {
		previous := "*" + string(i-1)
		bomb += string(i) + ": &" + string(i) + " [" + strings.Repeat(previous+",", 9) + previous + "]\n"
	}
	tests := map[string]string{
		"nested lists":      "EntryID: " + strings.Repeat("[", 200_000),
		"nested maps":       "EntryID: " + strings.Repeat("{a: ", 200_000),
		"closed lists":      "EntryID: " + strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000),
		"indented maps":     indented(3000),
		"nested entries":    "EntryID:\n" + strings.Repeat("- ", 100_000) + "x\n",
		"alias of itself":   "EntryID: &a [*a]\n",
		"many aliases":      bomb,
		"merge with itself": "a: &a\n  <<: *a\n",
		"large":             "EntryID: \"" + strings.Repeat("x", 4<<20) + "\"\n",
		"null bytes":        strings.Repeat("\x00", 1000),
		"tags":              "EntryID: " + strings.Repeat("!!str ", 50_000) + "x\n",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			startedAt := time.Now()
			_, err := ParseSite("settings.yaml", []byte(text))
			var problems *ProblemsError
			is.True(errors.As(err, &problems))
			if took := time.Since(startedAt); took > 2*time.Second {
				t.Errorf("took %v", took)
			}
			if length := len(err.Error()); length > 20_000 {
				t.Errorf("got a message of %d bytes", length)
			}
		})
	}
}

func indented(depth int) string {
	var text strings.Builder
	for i := range depth {
		text.WriteString(strings.Repeat(" ", i) + "a:\n")
	}
	return text.String()
}

// TestOddNumbersInSettings checks that numbers which are none, or that overflow
// where they are used, are a problem that names the key.
func TestOddNumbersInSettings(t *testing.T) {
	tests := []struct{ old, new, key string }{
		{"GraceSeconds: 6", "GraceSeconds: .nan", "Timing.GraceSeconds"},
		{"GraceSeconds: 6", "GraceSeconds: 1e300", "Timing.GraceSeconds"},
		{"LongestLeaseMillis: 10000", "LongestLeaseMillis: 9223372036854775807", "Timing.LongestLeaseMillis"},
		{"LongestStopMillis: 900", "LongestStopMillis: 9223372036854775807", "Timing.LongestStopMillis"},
		{"MemoryMB: 284", "MemoryMB: 9223372036854775807", "Limits.MemoryMB"},
		{"MemoryMB: 284", "MemoryMB: -1", "Limits.MemoryMB"},
		{"Cores: 0.4", "Cores: .nan", "Limits.Cores"},
		{"Cores: 0.4", "Cores: .inf", "Limits.Cores"},
		{"Cores: 0.4", "Cores: 1e300", "Limits.Cores"},
		{"WritesPerSecond: 600", "WritesPerSecond: .nan", "Store.WritesPerSecond"},
		{"WritesPerSecond: 600", "WritesPerSecond: .inf", "Store.WritesPerSecond"},
		{"10.200.1.7:8169", "10.200.1.7:70000", "document"},
		{"10.200.1.7:8169", "10.200.1.7:0", "Store.Address"},
		{"10.200.1.7:8169", "0.0.0.0:8169", "Store.Address"},
		{`Advice: "10.200.1.9:8169"`, `Advice: "224.0.0.1:8169"`, "Advice"},
	}
	for _, test := range tests {
		t.Run(test.new, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(validSite, test.old))
			_, err := ParseSite("settings.yaml", []byte(strings.Replace(validSite, test.old, test.new, 1)))
			var problems *ProblemsError
			is.True(errors.As(err, &problems))
			is.Equal(problems.Problems[0].Key, test.key)
		})
	}
}
