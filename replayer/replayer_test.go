package replayer

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func loadPattern(t *testing.T, name string) *Pattern {
	t.Helper()
	pattern, err := LoadPattern(filepath.Join("..", "scenarios", "patterns", name+".yaml"))
	if err != nil {
		t.Fatal(err)
	}
	return pattern
}

// TestPatterns replays each pattern and checks the targets: the earned share of
// each kind is at least nine tenths of the overall share; the largest tenth of a
// kind's jobs and the fifth that follows it are each served at least half as
// often as all its jobs; no start is withheld because it would violate an
// invariant; and the earned value does not exceed the upper bound.
func TestPatterns(t *testing.T) {
	const (
		kindTarget = 0.9
		sizeTarget = 0.5
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
				is.True(kind.Earned/kind.Owed >= kindTarget*result.Earned/result.Owed)
				is.True(kind.Largest.ServedShare() >= sizeTarget*kind.Jobs.ServedShare())
				is.True(kind.NextLargest.ServedShare() >= sizeTarget*kind.Jobs.ServedShare())
			}
		})
	}
}

// TestSameDraws checks that the result depends on the pattern and the seed only,
// except for the time that decisions took.
func TestSameDraws(t *testing.T) {
	is := is.New(t)
	pattern := loadPattern(t, "few-workers")
	pattern.Seconds, pattern.SettleSeconds = 5, 5
	first, second, other := Run(pattern, 1), Run(pattern, 1), Run(pattern, 2)
	for _, result := range []*Result{first, second, other} {
		result.DecideMillis = 0 // real time
	}
	is.Equal(first, second)
	is.True(first.Earned != other.Earned)
}

// TestBound checks that the upper bound is the whole value if the processors
// suffice for all jobs, and excludes value beyond their capacity.
func TestBound(t *testing.T) {
	is := is.New(t)
	pattern := loadPattern(t, "few-workers")
	is.True(Run(withLoad(*pattern, 1), 1).boundShare() > 0.999) // all of it, but for rounding
	is.True(Run(withLoad(*pattern, 4), 1).boundShare() < 0.95)
}

// withLoad returns the pattern shortened to 4 s of arrivals, with all arrival
// rates multiplied by factor.
func withLoad(pattern Pattern, factor float64) *Pattern {
	pattern.Seconds, pattern.SettleSeconds = 4, 4
	pattern.Surges = nil
	for _, kind := range pattern.Kinds {
		pattern.Surges = append(pattern.Surges, Surge{Kind: kind.Name, ForSeconds: pattern.Seconds, Factor: factor})
	}
	return &pattern
}

// boundShare returns the ratio of the upper bound to the total value.
func (r *Result) boundShare() float64 { return r.Bound / r.Owed }

// TestPatternErrors checks that the error for an invalid pattern names the
// offending field.
func TestPatternErrors(t *testing.T) {
	valid, err := os.ReadFile("../scenarios/patterns/few-workers.yaml")
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name, original, replacement, want string
	}{
		{"unknown field", "Entries: 7", "Entrys: 7", "Entrys"},
		{"no workers", "Workers: 48", "Workers: 0", "Workers: expected between"},
		{"unknown kind", "{Kind: gangs", "{Kind: flocks", "Surges[1].Kind"},
		{"share above 1", "GangShare: 1", "GangShare: 2", "Kinds[0].GangShare"},
		{"slow without factor", "Surges:", "Troubles: {SlowShare: 0.1}\nSurges:", "Troubles.SlowFactor"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "pattern.yaml")
			is.NoErr(os.WriteFile(path, bytes.Replace(valid, []byte(test.original), []byte(test.replacement), 1), 0o600))
			_, err := LoadPattern(path)
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), test.want))
		})
	}
}
