package experimenter

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"kumquatstall/auditor"
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

// plotWaits plots the 99th percentile of the waits of each kind of call, per
// bucket of bucketWidth.
func (r *Run) plotWaits(path string) error {
	p := plot.New()
	p.Title.Text = "wait p99, policy " + r.Policy
	p.X.Label.Text = "s"
	p.Y.Label.Text = "ms"
	buckets := make(map[string]map[int][]time.Duration)
	for _, sample := range r.WaitSamples {
		kind := string(sample.Class.Kind)
		if buckets[kind] == nil {
			buckets[kind] = make(map[int][]time.Duration)
		}
		bucket := int(sample.SentAt.Sub(r.StartedAt) / bucketWidth)
		buckets[kind][bucket] = append(buckets[kind][bucket], sample.Wait)
	}
	kinds := make([]string, 0, len(buckets))
	for kind := range buckets {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	var lines []any
	for _, kind := range kinds {
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
	numbers := make([]int, 0, len(buckets))
	for number := range buckets {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	var points plotter.XYs
	for _, number := range numbers {
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
	p := plot.New()
	p.Title.Text = "packing, policy " + r.Policy
	p.X.Label.Text = "s"
	p.Y.Label.Text = "share"
	var points plotter.XYs
	for _, sample := range r.PackingSamples {
		points = append(points, plotter.XY{X: sample.At.Sub(r.StartedAt).Seconds(), Y: sample.Packing})
	}
	if err := plotutil.AddLines(p, "packing", points); err != nil {
		return errors.Wrap(err, "plot packing")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "write plot")
}

// class returns the result of one class of calls, if the run has it.
func (r *Run) class(key auditor.ClassKey) (auditor.Class, bool) {
	for _, class := range r.Classes {
		if class.Trade == key.Trade && class.Kind == key.Kind {
			return class, true
		}
	}
	return auditor.Class{}, false
}
