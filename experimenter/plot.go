package experimenter

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// plotWidth and plotHeight are the size of a plot. bucketWidth is the time over
// which a percentile of waits is computed.
const (
	plotWidth   = 18 * vg.Centimeter
	plotHeight  = 11 * vg.Centimeter
	bucketWidth = 500 * time.Millisecond
)

// Plot writes two SVG files for each run to a directory, which it creates if
// needed: the waits by kind of call and the packing, both over time.
func (r *Report) Plot(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "create directory for plots")
	}
	for _, run := range r.Runs {
		name := filepath.Join(directory, fmt.Sprintf("%s-%s", r.Scenario, run.Policy))
		if err := run.plotWaits(name + "-wait.svg"); err != nil {
			return err
		}
		if err := run.plotPacking(name + "-packing.svg"); err != nil {
			return err
		}
	}
	return nil
}

// timePlot returns an empty plot of values in unit over the seconds of a run.
func timePlot(title, unit string) *plot.Plot {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "s"
	p.Y.Label.Text = unit
	return p
}

// plotWaits plots the 99th percentile of the waits of each kind of call, per
// bucket of bucketWidth.
func (r *Run) plotWaits(path string) error {
	p := timePlot("wait p99, policy "+r.Policy, "ms")
	buckets := make(map[string]map[int][]time.Duration)
	for _, sample := range r.WaitSamples {
		kind := string(sample.Class.Kind)
		if buckets[kind] == nil {
			buckets[kind] = make(map[int][]time.Duration)
		}
		bucket := int(sample.SentAt.Sub(r.StartedAt) / bucketWidth)
		buckets[kind][bucket] = append(buckets[kind][bucket], sample.Wait)
	}
	var lines []any
	for _, kind := range slices.Sorted(maps.Keys(buckets)) {
		lines = append(lines, kind, percentiles(buckets[kind]))
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "plot waits")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "write plot")
}

// percentiles returns the 99th percentile of the waits of each bucket, in order
// of time. The keys are the numbers of the buckets.
func percentiles(buckets map[int][]time.Duration) plotter.XYs {
	const quantile = 0.99
	var points plotter.XYs
	for _, number := range slices.Sorted(maps.Keys(buckets)) {
		waits := buckets[number]
		slices.Sort(waits)
		wait := waits[int(quantile*float64(len(waits)-1))]
		points = append(points, plotter.XY{
			X: (time.Duration(number) * bucketWidth).Seconds(),
			Y: float64(wait.Microseconds()) / 1000,
		})
	}
	return points
}

// plotPacking plots the packing samples.
func (r *Run) plotPacking(path string) error {
	p := timePlot("packing, policy "+r.Policy, "share")
	var points plotter.XYs
	for _, sample := range r.PackingSamples {
		points = append(points, plotter.XY{X: sample.At.Sub(r.StartedAt).Seconds(), Y: sample.Packing})
	}
	if err := plotutil.AddLines(p, "packing", points); err != nil {
		return errors.Wrap(err, "plot packing")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "write plot")
}
