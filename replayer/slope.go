package replayer

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Scaled returns the pattern for a cell and a load that are factor times as
// large.
func (p *Pattern) Scaled(factor float64) *Pattern {
	scaled := *p
	scaled.Workers = int(math.Round(float64(p.Workers) * factor))
	scaled.Entries = max(1, int(math.Round(float64(p.Entries)*factor)))
	scaled.Kinds = append([]Kind(nil), p.Kinds...)
	for i := range scaled.Kinds {
		scaled.Kinds[i].PerSecond *= factor
	}
	return &scaled
}

// Point is what the decisions for one size of cell cost.
type Point struct {
	Workers         int
	StartsPerSecond float64
	// Cores is what the decisions took of one core of this machine.
	Cores float64
	// MicrosPerStart is that for each task started.
	MicrosPerStart float64
	// HeapMB is what the core held at the end, and the replay with it.
	HeapMB      float64
	EarnedShare float64
}

// Measure replays a pattern at several sizes.
func Measure(pattern *Pattern, seed uint64, factors []float64) []Point {
	points := make([]Point, 0, len(factors))
	for _, factor := range factors {
		scaled := pattern.Scaled(factor)
		result, heap := measureOne(scaled, seed)
		seconds := scaled.Seconds + scaled.SettleSeconds
		points = append(points, Point{
			Workers:         scaled.Workers,
			StartsPerSecond: float64(result.Starts) / scaled.Seconds,
			Cores:           result.DecideMillis / 1000 / seconds,
			MicrosPerStart:  1000 * result.DecideMillis / float64(max(1, result.Starts)),
			HeapMB:          heap,
			EarnedShare:     result.Earned / result.Owed,
		})
	}
	return points
}

func measureOne(pattern *Pattern, seed uint64) (*Result, float64) {
	r := newReplay(pattern, seed)
	result := r.run()
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	runtime.KeepAlive(r)
	return result, float64(memory.HeapAlloc) / (1 << 20)
}

// Exponent is the power of the number of workers with which a cost grows from
// the first point to the last: 1 where it grows in proportion.
func Exponent(points []Point, cost func(Point) float64) float64 {
	first, last := points[0], points[len(points)-1]
	return math.Log(cost(last)/cost(first)) / math.Log(float64(last.Workers)/float64(first.Workers))
}

// WriteSlopes reports points and how costs grow, as a table in Markdown.
func WriteSlopes(w io.Writer, points []Point) error {
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(table, "| workers\t| starts/s\t| decisions, cores\t| a start, us\t| heap, MB\t| earned\t|")
	fmt.Fprintln(table, "|---\t|---\t|---\t|---\t|---\t|---\t|")
	for _, p := range points {
		fmt.Fprintf(table, "| %d\t| %.0f\t| %.3f\t| %.0f\t| %.0f\t| %.3f\t|\n", p.Workers, p.StartsPerSecond, p.Cores, p.MicrosPerStart, p.HeapMB, p.EarnedShare)
	}
	if err := table.Flush(); err != nil {
		return errors.Wrap(err, "write slopes")
	}
	if len(points) < 2 {
		return nil
	}
	_, err := fmt.Fprintf(w, "\nfrom %d to %d workers: cores grow with the power %.2f of workers, heap with %.2f\n",
		points[0].Workers, points[len(points)-1].Workers,
		Exponent(points, func(p Point) float64 { return p.Cores }), Exponent(points, func(p Point) float64 { return p.HeapMB }))
	return errors.Wrap(err, "write slopes")
}
