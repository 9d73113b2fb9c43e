package replayer

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// Result is what a replay came to.
type Result struct {
	Pattern string
	Seed    uint64
	// Owed is what all jobs are worth in time, Earned what was earned, Bound
	// what an ideal scheduler could earn at most.
	Owed   float64
	Earned float64
	Bound  float64
	Kinds  []KindResult
	// UsedShare of the processors were at work from the first arrival to the
	// end of the time in which jobs may settle.
	UsedShare float64
	// WastedCoreSeconds were worked without a result.
	WastedCoreSeconds float64
	Starts            int64
	AdviceAsked       int64
	Violations        int64
	// DecideMillis is the processor time of all decisions.
	DecideMillis float64
}

// KindResult is what became of the jobs of a kind.
type KindResult struct {
	Name   string
	Owed   float64
	Earned float64
	Jobs   SizeResult
	// Largest is the tenth with the most work, NextLargest the fifth below it.
	Largest     SizeResult
	NextLargest SizeResult
}

// SizeResult counts jobs.
type SizeResult struct {
	Count  int
	InTime int
	Late   int
}

// ServedShare is the share that ended in time or late.
func (s SizeResult) ServedShare() float64 {
	if s.Count == 0 {
		return 1
	}
	return float64(s.InTime+s.Late) / float64(s.Count)
}

// usage integrates what of the processors is at work.
type usage struct {
	milliCores int64
	since      time.Time
	// coreSeconds were at work, wasted of them without a result.
	coreSeconds float64
	wasted      float64
}

func (u *usage) advance(now time.Time) {
	u.coreSeconds += float64(u.milliCores) / 1000 * now.Sub(u.since).Seconds()
	u.since = now
}

func (u *usage) take(now time.Time, need requester.Resources) {
	u.advance(now)
	u.milliCores += need.MilliCores
}

func (u *usage) free(now time.Time, need requester.Resources) {
	u.advance(now)
	u.milliCores -= need.MilliCores
}

func (u *usage) waste(need requester.Resources, worked time.Duration) {
	u.wasted += float64(need.MilliCores) / 1000 * worked.Seconds()
}

// takeNotes notes the ends of jobs.
func (r *replay) takeNotes() {
	for _, note := range r.core.TakeLogRecords() {
		state, ok := endStates[note.Event]
		if !ok {
			continue
		}
		j := r.byID[note.Job]
		j.state, j.endedAt = state, r.now
	}
}

var endStates = map[string]scheduler.State{
	"job completed": scheduler.StateCompleted,
	"job failed":    scheduler.StateFailed,
	"job cancelled": scheduler.StateCancelled,
}

// earned returns what a job has earned, and whether in time or late.
func (j *drawnJob) earned() (worth float64, inTime, late bool) {
	if j.state != scheduler.StateCompleted {
		return 0, false, false
	}
	switch took := j.endedAt.Sub(j.arrivesAt); {
	case took <= j.inTime:
		return j.worth, true, false
	case took <= j.stillLate:
		return j.late, false, true
	}
	return 0, false, false
}

func (r *replay) result() *Result {
	stats := r.core.Stats()
	result := &Result{
		Pattern: r.pattern.Name, Seed: r.seed, Bound: bound(r.pattern, r.jobs),
		WastedCoreSeconds: r.used.wasted, Starts: stats.Starts, AdviceAsked: stats.AdviceAsked,
		Violations: stats.Violations, DecideMillis: float64(r.tickAt) / float64(time.Millisecond),
	}
	capacity := float64(r.pattern.Workers) * float64(r.pattern.MilliCores) / 1000
	result.UsedShare = r.used.coreSeconds / (capacity * (r.pattern.Seconds + r.pattern.SettleSeconds))
	for i := range r.pattern.Kinds {
		kind := resultOf(&r.pattern.Kinds[i], r.jobs)
		result.Owed += kind.Owed
		result.Earned += kind.Earned
		result.Kinds = append(result.Kinds, kind)
	}
	return result
}

func resultOf(kind *Kind, jobs []*drawnJob) KindResult {
	result := KindResult{Name: kind.Name}
	var owed []*drawnJob
	for _, j := range jobs {
		if j.kind == kind && j.owed() {
			owed = append(owed, j)
			worth, _, _ := j.earned()
			result.Owed += j.worth
			result.Earned += worth
		}
	}
	slices.SortStableFunc(owed, func(a, b *drawnJob) int { return cmp.Compare(b.coreSeconds, a.coreSeconds) })
	tenth, fifth := len(owed)/10, len(owed)/5
	result.Jobs = count(owed)
	result.Largest = count(owed[:tenth])
	result.NextLargest = count(owed[tenth : tenth+fifth])
	return result
}

func count(jobs []*drawnJob) SizeResult {
	result := SizeResult{Count: len(jobs)}
	for _, j := range jobs {
		_, inTime, late := j.earned()
		if inTime {
			result.InTime++
		}
		if late {
			result.Late++
		}
	}
	return result
}

// Write reports as text or as JSON.
func (r *Result) Write(w io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(r), "write the result")
	}
	fmt.Fprintf(w, "%s, seed %d: earned %.3f of what is owed; an ideal scheduler %.3f at most\n", r.Pattern, r.Seed, r.Earned/r.Owed, r.Bound/r.Owed)
	fmt.Fprintf(w, "processors used %.2f, wasted %.0f core-seconds, %d starts, %d questions for advice, %d violations, decisions took %.0f ms\n",
		r.UsedShare, r.WastedCoreSeconds, r.Starts, r.AdviceAsked, r.Violations, r.DecideMillis)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\tjobs\tearned\tin time\tlate\tlargest tenth served\tfifth below served\t")
	for _, kind := range r.Kinds {
		fmt.Fprintf(table, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t\n", kind.Name, kind.Jobs.Count, kind.Earned/kind.Owed,
			share(kind.Jobs.InTime, kind.Jobs.Count), share(kind.Jobs.Late, kind.Jobs.Count),
			kind.Largest.ServedShare(), kind.NextLargest.ServedShare())
	}
	return errors.Wrap(table.Flush(), "write the result")
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
