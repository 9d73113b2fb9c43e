// Package reporter writes reports as text or JSON: the DevReport of the command
// dev, and as JSON the values that other commands print.
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

// Format is the output format of a report.
type Format string

// Output formats.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// DevReport is the report of the command dev: the results of all deployments.
// Its counts are sums over all of them. Those from Answered to Lost count
// attempts of calls, Doubled counts requests that ran more often than they may.
type DevReport struct {
	Seed      uint64
	Seconds   float64
	Answered  int64
	Refused   int64
	NotRun    int64
	Unknown   int64
	Cancelled int64
	Lost      int64
	Doubled   int64
	// Overloaded counts how often the capacity of an endpoint or worker was
	// exceeded.
	Overloaded int64
	// Violations counts the invariant violations that entries detected, and those
	// that the verdicts count.
	Violations  int64
	Trades      []auditor.Class
	Deployments []DeploymentResult
	Findings    []auditor.Finding
}

// DeploymentResult is the result of one deployment of a run.
type DeploymentResult struct {
	Name    string
	Entries int
	// ProfileMillis is the time from sending a change of a profile until it
	// was in force on every entry.
	ProfileMillis float64
	// LeaveMillis is the same for the drain mark of a host.
	LeaveMillis float64
	// Packing is the highest packing that an entry reported: the share, 0 to 1,
	// of the resources of its data centre's workers that is allocated, in the
	// dominant dimension.
	Packing           float64
	Jobs              []JobCount
	TableTransactions int64
	TableReads        int64
	TasksPlaced       int64
}

// JobCount is the number of jobs in one state.
type JobCount struct {
	State requester.JobState
	Jobs  int
}

// Add adds the verdict on one deployment to the report.
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
	d.Violations += verdict.Violations()
	d.Trades = append(d.Trades, verdict.Classes...)
	d.Findings = append(d.Findings, verdict.Findings...)
}

// Clean reports whether every attempt was answered, no request ran more often
// than it may, no host was overloaded and there were no other violations.
func (d *DevReport) Clean() bool { return d.Lost+d.Doubled+d.Overloaded+d.Violations == 0 }

// Write writes the report to w in the given format.
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
	for _, deployment := range d.Deployments {
		fmt.Fprintf(w, "\n%s: %d entries\n", deployment.Name, deployment.Entries)
		fmt.Fprintf(w, "  profile in force on all entries after %.0f ms, drain mark after %.0f ms\n", deployment.ProfileMillis, deployment.LeaveMillis)
		fmt.Fprintf(w, "  highest packing %.0f %%, %d tasks placed, jobs:", deployment.Packing*100, deployment.TasksPlaced)
		for _, count := range deployment.Jobs {
			fmt.Fprintf(w, " %d %s", count.Jobs, count.State)
		}
		fmt.Fprintf(w, "\n  table: %d transactions, %d reads\n", deployment.TableTransactions, deployment.TableReads)
	}
	for _, finding := range d.Findings {
		fmt.Fprintf(w, "FINDING %s\n", finding)
	}
	_, err := fmt.Fprintf(w, "\nin %.1f s with seed %d: answered %d, refused %d, not run %d, unknown %d, lost %d, doubled %d, overloaded %d, violations %d\n",
		d.Seconds, d.Seed, d.Answered, d.Refused, d.NotRun, d.Unknown, d.Lost, d.Doubled, d.Overloaded, d.Violations)
	return errors.Wrap(err, "write report")
}
