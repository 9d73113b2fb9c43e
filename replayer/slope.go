package replayer

import (
	"fmt"
	"io"
	"math"
	"runtime"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Scaled returns the pattern with the number of workers and of entries and the
// arrival rates multiplied by factor.
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

// Point is the cost of decisions for one size of cell.
type Point struct {
	Workers         int
	StartsPerSecond float64
	// Cores is the real time of decisions per second of virtual time, which is
	// the number of cores of the replaying machine that they would occupy.
	Cores float64
	// MicrosPerStart is the real time of decisions per started task.
	MicrosPerStart float64
	// HeapMB is the heap in use at the end, by the core and the replay together.
	HeapMB      float64
	EarnedShare float64
}

// Measure replays a pattern scaled by each of the factors.
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

// measureOne replays a pattern and returns the result and the heap in use at
// the end, in MB.
func measureOne(pattern *Pattern, seed uint64) (*Result, float64) {
	r := newReplay(pattern, seed)
	result := r.run()
	var memory runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&memory)
	runtime.KeepAlive(r)
	return result, float64(memory.HeapAlloc) / (1 << 20)
}

// Exponent returns the scaling exponent of a cost from the first point to the
// last: the cost grows with that power of the number of workers, 1 meaning
// linear growth.
func Exponent(points []Point, cost func(Point) float64) float64 {
	first, last := points[0], points[len(points)-1]
	return math.Log(cost(last)/cost(first)) / math.Log(float64(last.Workers)/float64(first.Workers))
}

// WriteSlopes writes the points as a Markdown table, followed by the scaling
// exponents of processor time and heap.
func WriteSlopes(w io.Writer, points []Point) error {
	table := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(table, "| workers\t| starts/s\t| decisions, cores\t| us/start\t| heap, MB\t| earned\t|")
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
	_, err := fmt.Fprintf(w, "\nfrom %d to %d workers: scaling exponent of cores %.2f, of heap %.2f\n",
		points[0].Workers, points[len(points)-1].Workers,
		Exponent(points, func(p Point) float64 { return p.Cores }), Exponent(points, func(p Point) float64 { return p.HeapMB }))
	return errors.Wrap(err, "write slopes")
}
