// Package reporter writes what runs and operators are shown, as text or JSON.
package reporter

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"

	"kumquatstall/auditor"
	"kumquatstall/requester"
)

// Format is how a report is written.
type Format string

// The formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Dev is the report of a bounded run.
type DevReport struct {
	Seed       uint64
	Seconds    float64
	Answered   int64
	Refused    int64
	NotRun     int64
	Unknown    int64
	Cancelled  int64
	Lost       int64
	Doubled    int64
	Overloaded int64
	// Violations counts everything else that must never happen.
	Violations  int64
	Trades      []auditor.Class
	Deployments []DeploymentResult
	Findings    []auditor.Finding
}

// Deployment is what one deployment of a run did.
type DeploymentResult struct {
	Name    string
	Entries int
	// ProfileMillis is how long a change of a profile took to be in force
	// on every entry.
	ProfileMillis float64
	// LeaveMillis is how long the mark of a leaving host took.
	LeaveMillis float64
	// Packing is the share of the workers that tasks took, at its highest.
	Packing           float64
	Jobs              []JobCount
	TableTransactions int64
	TableReads        int64
	TasksPlaced       int64
}

// JobCount counts the jobs in one state.
type JobCount struct {
	State requester.JobState
	Jobs  int
}

// Add counts a verdict into the report.
func (d *DevReport) Add(verdict auditor.Verdict) {
	for _, class := range verdict.Classes {
		d.Answered += class.Answered
		d.Refused += class.Refused
		d.NotRun += class.NotRun
		d.Unknown += class.Unknown
		d.Cancelled += class.Cancelled
		d.Lost += class.Lost
	}
	d.Doubled += verdict.Doubled
	d.Violations += verdict.FalselyNotRun + verdict.Wrong + verdict.Late
	d.Trades = append(d.Trades, verdict.Classes...)
	d.Findings = append(d.Findings, verdict.Findings...)
}

// Clean reports whether nothing was lost, doubled, over-used or falsely
// answered.
func (d *DevReport) Clean() bool { return d.Lost+d.Doubled+d.Overloaded+d.Violations == 0 }

// Write writes the report.
func (d *DevReport) Write(w io.Writer, format Format) error {
	if format == FormatJSON {
		return WriteJSON(w, d)
	}
	return d.writeText(w)
}

// WriteJSON writes any value as indented JSON.
func WriteJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "write JSON")
}

func (d *DevReport) writeText(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "trade\tkind\toffered\tanswered\trefused\tnot run\tunknown\tlost\tdoubled\twait p50 ms\twait p99 ms\t\n")
	for _, c := range d.Trades {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t\n",
			c.Trade, c.Kind, c.Offered, c.Answered, c.Refused, c.NotRun, c.Unknown, c.Lost, c.Doubled, c.WaitP50Ms, c.WaitP99Ms)
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write report")
	}
	for _, p := range d.Deployments {
		fmt.Fprintf(w, "\n%s: %d entries\n", p.Name, p.Entries)
		fmt.Fprintf(w, "  profile in force everywhere after %.0f ms, leaving host after %.0f ms\n", p.ProfileMillis, p.LeaveMillis)
		fmt.Fprintf(w, "  packing at its highest %.0f %%, %d tasks placed, jobs:", p.Packing*100, p.TasksPlaced)
		for _, count := range p.Jobs {
			fmt.Fprintf(w, " %d %s", count.Jobs, count.State)
		}
		fmt.Fprintf(w, "\n  table: %d transactions, %d reads\n", p.TableTransactions, p.TableReads)
	}
	for _, finding := range d.Findings {
		fmt.Fprintf(w, "FOUND %s\n", finding)
	}
	_, err := fmt.Fprintf(w, "\nin %.1f s with seed %d: answered %d, refused %d, not run %d, unknown %d, lost %d, doubled %d, overloaded %d, violations %d\n",
		d.Seconds, d.Seed, d.Answered, d.Refused, d.NotRun, d.Unknown, d.Lost, d.Doubled, d.Overloaded, d.Violations)
	return errors.Wrap(err, "write report")
}
