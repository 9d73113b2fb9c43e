package experimenter

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"kumquatstall/auditor"
	"kumquatstall/reporter"
)

// Write writes the report to w in the given format.
func (r *Report) Write(w io.Writer, format reporter.Format) error {
	if format == reporter.FormatJSON {
		return reporter.WriteJSON(w, r)
	}
	fmt.Fprintf(w, "scenario %s, seed %d, scale %.2f of the full size, %d s\n\n", r.Scenario, r.Seed, r.Scale, r.Seconds)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "trade\tkind\tpolicy\toffered\tanswered\trefused\tnot run\tunknown\tlost\tdoubled\twait p50 ms\twait p99 ms\t\n")
	for _, key := range r.classKeys() {
		for i := range r.Runs {
			run := &r.Runs[i]
			c, ok := run.class(key)
			if !ok {
				continue
			}
			fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t\n",
				c.Trade, c.Kind, run.Policy, c.Offered, c.Answered, c.Refused, c.NotRun, c.Unknown, c.Lost, c.Doubled, c.WaitP50Ms, c.WaitP99Ms)
		}
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write report")
	}
	fmt.Fprintln(w)
	t = tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "policy\tgoodput /s\tpacking\tjobs\tsucceeded\tfailed\tcancelled\topen\tplaced\texpired\toverloaded\tviolations\ttable writes /s\treads /s\tcores\t\n")
	for _, run := range r.Runs {
		j := run.Jobs
		fmt.Fprintf(t, "%s\t%.1f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.2f\t\n",
			run.Policy, run.Goodput, run.Packing, j.Submitted, j.Succeeded, j.Failed, j.Cancelled, j.Open, j.TasksPlaced, j.TasksLapsed,
			run.Overloaded, run.Violations, run.TablePerSecond.Transactions, run.TablePerSecond.Reads, run.ControlCoreShare)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write report")
	}
	for _, run := range r.Runs {
		for _, finding := range run.Findings {
			fmt.Fprintf(w, "FINDING under %s: %s\n", run.Policy, finding)
		}
	}
	return nil
}

// classKeys returns the classes of calls of all runs, each once, in the order in
// which they first occur.
func (r *Report) classKeys() []auditor.ClassKey {
	var keys []auditor.ClassKey
	seen := make(map[auditor.ClassKey]bool)
	for _, run := range r.Runs {
		for _, class := range run.Classes {
			key := auditor.ClassKey{Trade: class.Trade, Kind: class.Kind}
			if !seen[key] {
				seen[key] = true
				keys = append(keys, key)
			}
		}
	}
	return keys
}

// Clean reports whether in all runs every attempt was answered, no request ran
// more often than it may, no host was overloaded and there were no other
// violations.
func (r *Report) Clean() bool {
	for _, run := range r.Runs {
		failures := run.Overloaded + run.Violations
		for _, class := range run.Classes {
			failures += class.Lost + class.Doubled
		}
		if failures > 0 {
			return false
		}
	}
	return true
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
