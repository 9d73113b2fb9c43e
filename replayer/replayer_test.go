package replayer

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func load(t *testing.T, name string) *Pattern {
	t.Helper()
	pattern, err := LoadPattern(filepath.Join("..", "scenarios", "patterns", name+".yaml"))
	if err != nil {
		t.Fatal(err)
	}
	return pattern
}

// TestPatterns replays each pattern. Targets: no kind of job earns less than
// nine tenths of the mean, the largest tenth of a kind and the fifth below it
// are served at least half as often as the whole, and no invariant breaks.
func TestPatterns(t *testing.T) {
	const (
		classTarget = 0.9
		sizeTarget  = 0.5
	)
	paths, err := filepath.Glob("../scenarios/patterns/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("patterns: %v, %v", paths, err)
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			pattern, err := LoadPattern(path)
			is.NoErr(err)
			result := Run(pattern, 1)
			is.Equal(result.Violations, int64(0))
			is.True(result.Earned <= result.Bound)
			for _, kind := range result.Kinds {
				t.Logf("%s: %+v", kind.Name, kind)
				is.True(kind.Earned/kind.Owed >= classTarget*result.Earned/result.Owed)
				is.True(kind.Largest.ServedShare() >= sizeTarget*kind.Jobs.ServedShare())
				is.True(kind.NextLargest.ServedShare() >= sizeTarget*kind.Jobs.ServedShare())
			}
		})
	}
}

// TestSameDraws: a replay depends on pattern and seed only.
func TestSameDraws(t *testing.T) {
	is := is.New(t)
	pattern := load(t, "few-workers")
	pattern.Seconds, pattern.SettleSeconds = 5, 5
	first, second, other := Run(pattern, 1), Run(pattern, 1), Run(pattern, 2)
	for _, result := range []*Result{first, second, other} {
		result.DecideMillis = 0 // real time
	}
	is.Equal(first, second)
	is.True(first.Earned != other.Earned)
}

// TestBound: more worth than the processors can work off isn't in the bound.
func TestBound(t *testing.T) {
	is := is.New(t)
	pattern := load(t, "few-workers")
	is.True(Run(short(*pattern, 1), 1).earnable() > 0.999) // all of it, but for rounding
	is.True(Run(short(*pattern, 4), 1).earnable() < 0.95)
}

func short(pattern Pattern, factor float64) *Pattern {
	pattern.Seconds, pattern.SettleSeconds = 4, 4
	pattern.Surges = nil
	for _, kind := range pattern.Kinds {
		pattern.Surges = append(pattern.Surges, Surge{Kind: kind.Name, ForSeconds: pattern.Seconds, Factor: factor})
	}
	return &pattern
}

func (r *Result) earnable() float64 { return r.Bound / r.Owed }

// TestPatternErrors: what is wrong in a pattern is named.
func TestPatternErrors(t *testing.T) {
	valid, err := os.ReadFile("../scenarios/patterns/few-workers.yaml")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name, replace, by, want string
	}{
		{"unknown field", "Entries: 7", "Entrys: 7", "Entrys"},
		{"no workers", "Workers: 48", "Workers: 0", "Workers: expected between"},
		{"no such kind", "{Kind: gangs", "{Kind: flocks", "Surges[1].Kind"},
		{"no share", "GangShare: 1", "GangShare: 2", "Kinds[0].GangShare"},
		{"slow without factor", "Surges:", "Troubles: {SlowShare: 0.1}\nSurges:", "Troubles.SlowFactor"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "pattern.yaml")
			is.NoErr(os.WriteFile(path, bytes.Replace(valid, []byte(test.replace), []byte(test.by), 1), 0o600))
			_, err := LoadPattern(path)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.want))
		})
	}
}
