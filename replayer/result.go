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

// Result is the outcome of a replay.
type Result struct {
	Pattern string
	Seed    uint64
	// Owed is the value that the counted jobs earn if all complete on time,
	// Earned the value that they earned, and Bound an upper bound on what an
	// ideal scheduler could earn. Jobs that are cancelled or always fail are not
	// counted.
	Owed   float64
	Earned float64
	Bound  float64
	Kinds  []KindResult
	// UsedShare is the share of all processor time that runs occupied, from the
	// start to the end of the settling time.
	UsedShare float64
	// WastedCoreSeconds is the work of runs that ended without success.
	WastedCoreSeconds float64
	Starts            int64
	AdviceAsked       int64
	// Violations counts starts that the core withheld because they would have
	// violated an invariant.
	Violations int64
	// DecideMillis is the real time that the decisions of all ticks took.
	DecideMillis float64
}

// KindResult is the outcome of the counted jobs of one kind.
type KindResult struct {
	Name   string
	Owed   float64
	Earned float64
	Jobs   SizeResult
	// Largest counts the tenth of the jobs with the most work, NextLargest the
	// fifth that follows it.
	Largest     SizeResult
	NextLargest SizeResult
}

// SizeResult counts jobs, and of these the ones that completed on time or late.
type SizeResult struct {
	Count  int
	InTime int
	Late   int
}

// ServedShare returns the share of jobs that completed on time or late; 1 if
// there are none.
func (s SizeResult) ServedShare() float64 {
	if s.Count == 0 {
		return 1
	}
	return float64(s.InTime+s.Late) / float64(s.Count)
}

// usage integrates the processor time that runs occupy.
type usage struct {
	// milliCores is the number currently occupied.
	milliCores int64
	updatedAt  time.Time
	// usedCoreSeconds is the processor time occupied up to updatedAt;
	// wastedCoreSeconds is the work of runs that ended without success.
	usedCoreSeconds   float64
	wastedCoreSeconds float64
}

func (u *usage) advance(now time.Time) {
	u.usedCoreSeconds += float64(u.milliCores) / 1000 * now.Sub(u.updatedAt).Seconds()
	u.updatedAt = now
}

func (u *usage) allocate(now time.Time, need requester.Resources) {
	u.advance(now)
	u.milliCores += need.MilliCores
}

func (u *usage) release(now time.Time, need requester.Resources) {
	u.advance(now)
	u.milliCores -= need.MilliCores
}

func (u *usage) addWaste(need requester.Resources, worked time.Duration) {
	u.wastedCoreSeconds += float64(need.MilliCores) / 1000 * worked.Seconds()
}

// recordJobEnds records the end of each job from the core's log records.
func (r *replay) recordJobEnds() {
	for _, record := range r.core.TakeLogRecords() {
		state, ok := endStates[record.Event]
		if !ok {
			continue
		}
		j := r.byID[record.Job]
		j.state, j.endedAt = state, r.now
	}
}

// endStates maps the log events that report the end of a job to its state.
var endStates = map[string]scheduler.State{
	"job completed": scheduler.StateCompleted,
	"job failed":    scheduler.StateFailed,
	"job cancelled": scheduler.StateCancelled,
}

// earned returns the value that a job has earned, and whether it completed on
// time or late.
func (j *simulatedJob) earned() (value float64, inTime, late bool) {
	if j.state != scheduler.StateCompleted {
		return 0, false, false
	}
	switch took := j.endedAt.Sub(j.arrivesAt); {
	case took <= j.onTimeLimit:
		return j.value, true, false
	case took <= j.lateLimit:
		return j.lateValue, false, true
	}
	return 0, false, false
}

func (r *replay) result() *Result {
	stats := r.core.Stats()
	result := &Result{
		Pattern: r.pattern.Name, Seed: r.seed, Bound: upperBound(r.pattern, r.jobs),
		WastedCoreSeconds: r.usage.wastedCoreSeconds, Starts: stats.Starts, AdviceAsked: stats.AdviceAsked,
		Violations: stats.Violations, DecideMillis: float64(r.decideTime) / float64(time.Millisecond),
	}
	capacity := float64(r.pattern.Workers) * float64(r.pattern.MilliCores) / 1000
	result.UsedShare = r.usage.usedCoreSeconds / (capacity * (r.pattern.Seconds + r.pattern.SettleSeconds))
	for i := range r.pattern.Kinds {
		kind := kindResult(&r.pattern.Kinds[i], r.jobs)
		result.Owed += kind.Owed
		result.Earned += kind.Earned
		result.Kinds = append(result.Kinds, kind)
	}
	return result
}

func kindResult(kind *Kind, jobs []*simulatedJob) KindResult {
	result := KindResult{Name: kind.Name}
	var counted []*simulatedJob
	for _, j := range jobs {
		if j.kind == kind && j.counted() {
			counted = append(counted, j)
			value, _, _ := j.earned()
			result.Owed += j.value
			result.Earned += value
		}
	}
	slices.SortStableFunc(counted, func(a, b *simulatedJob) int { return cmp.Compare(b.coreSeconds, a.coreSeconds) })
	tenth, fifth := len(counted)/10, len(counted)/5
	result.Jobs = countCompleted(counted)
	result.Largest = countCompleted(counted[:tenth])
	result.NextLargest = countCompleted(counted[tenth : tenth+fifth])
	return result
}

func countCompleted(jobs []*simulatedJob) SizeResult {
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

// Write writes the result as text or as JSON.
func (r *Result) Write(w io.Writer, asJSON bool) error {
	if asJSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(r), "write the result")
	}
	fmt.Fprintf(w, "%s, seed %d: earned %.3f of the total value; upper bound of an ideal scheduler %.3f\n", r.Pattern, r.Seed, r.Earned/r.Owed, r.Bound/r.Owed)
	fmt.Fprintf(w, "processors used %.2f, wasted %.0f core-seconds, %d starts, %d advice requests, %d violations, decisions took %.0f ms\n",
		r.UsedShare, r.WastedCoreSeconds, r.Starts, r.AdviceAsked, r.Violations, r.DecideMillis)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "kind\tjobs\tearned\ton time\tlate\tlargest tenth served\tnext fifth served\t")
	for _, kind := range r.Kinds {
		fmt.Fprintf(table, "%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t\n", kind.Name, kind.Jobs.Count, kind.Earned/kind.Owed,
			ratio(kind.Jobs.InTime, kind.Jobs.Count), ratio(kind.Jobs.Late, kind.Jobs.Count),
			kind.Largest.ServedShare(), kind.NextLargest.ServedShare())
	}
	return errors.Wrap(table.Flush(), "write the result")
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
