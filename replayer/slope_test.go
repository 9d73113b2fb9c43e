package replayer

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestSlopes checks that the load scales with the number of workers, and that
// the written report covers the range of sizes.
func TestSlopes(t *testing.T) {
	is := is.New(t)
	pattern := loadPattern(t, "few-workers")
	pattern.Seconds, pattern.SettleSeconds = 5, 2
	points := Measure(pattern, 1, []float64{0.5, 1, 2})
	is.Equal(len(points), 3)
	for i, workers := range []int{24, 48, 96} {
		is.Equal(points[i].Workers, workers)
		is.True(points[i].Cores > 0)
		is.True(points[i].HeapMB > 0)
	}
	is.True(points[2].StartsPerSecond > 2*points[0].StartsPerSecond)
	var out bytes.Buffer
	is.NoErr(WriteSlopes(&out, points))
	is.True(strings.Contains(out.String(), "from 24 to 96 workers"))
}

// TestExponent checks the exponents of a cost that grows linearly and of one that
// grows quadratically.
func TestExponent(t *testing.T) {
	is := is.New(t)
	points := []Point{{Workers: 10, Cores: 1, HeapMB: 3}, {Workers: 40, Cores: 16, HeapMB: 12}}
	is.Equal(Exponent(points, func(p Point) float64 { return p.Cores }), 2.0)
	is.Equal(Exponent(points, func(p Point) float64 { return p.HeapMB }), 1.0)
}
