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

// Size of a plot.
const (
	plotWidth   = 18 * vg.Centimeter
	plotHeight  = 11 * vg.Centimeter
	bucketWidth = 500 * time.Millisecond
)

// Plot writes, for each run, the waits over time by kind of work and the
// packing over time, as SVG files below a directory.
func (r *Report) Plot(directory string) error {
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "make directory for plots")
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

// plotWaits draws the 99th percentile of the wait in each half second.
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
		return errors.Wrap(err, "draw waits")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "write plot")
}

// percentiles returns the 99th percentile of each bucket, in order of time.
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
		return errors.Wrap(err, "draw packing")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "write plot")
}

// class returns the counts of one kind of work of a trade.
func (r *Run) class(key auditor.ClassKey) (auditor.Class, bool) {
	for _, class := range r.Classes {
		if class.Trade == key.Trade && class.Kind == key.Kind {
			return class, true
		}
	}
	return auditor.Class{}, false
}
