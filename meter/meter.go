// Package meter counts the outcomes of calls and computes the burn rate of the
// error budget that their service level objective allows.
//
// A call is good if it was answered and its wait before it started did not exceed
// the target of its profile. Calls are counted per trade and kind in buckets of
// time, from which burn rates over several sliding windows are computed. The
// burn rate is the share of bad calls divided by the share that the objective
// allows: at 1 the budget is consumed exactly as fast as the objective allows, at
// 10 ten times as fast.
package meter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"kumquatstall/requester"
)

// Target is the service level objective of calls.
type Target struct {
	// Wait is the longest time from the arrival of a good call to its start.
	Wait time.Duration
	// Share is the share of calls that must be good, 0 to 1.
	Share float64
}

// The buckets of a series together cover the longest window, 1 h.
const (
	bucketLength = 10 * time.Second
	bucketCount  = 360
)

// Windows are the lengths of the sliding windows for which burn rates are
// reported. Since the newest bucket is still being filled, a window covers up to
// bucketLength less than its length.
var Windows = []time.Duration{time.Minute, 5 * time.Minute, 30 * time.Minute, time.Hour}

// key identifies the calls that a series counts.
type key struct {
	trade requester.Trade
	kind  requester.Kind
}

// bucket counts the calls that ended within one bucketLength. number is the
// number of that interval since the Unix epoch.
type bucket struct {
	number int64
	total  int64
	bad    int64
}

// series holds the counts of the calls of one trade and kind. targetShare is the
// Target.Share of the last call. totalWait is the sum of the waits of the started
// calls, whose number is started.
type series struct {
	buckets     [bucketCount]bucket
	outcomes    map[requester.Outcome]int64
	targetShare float64
	totalWait   time.Duration
	started     int64
}

// Meter measures the calls that one entry received. Its methods may be used by
// several goroutines at once.
type Meter struct {
	mu     sync.Mutex
	series map[key]*series
}

// New returns a Meter without any calls.
func New() *Meter { return &Meter{series: make(map[key]*series)} }

// Observe counts a call that arrived at arrivedAt and ended at now with answer.
func (m *Meter) Observe(call *requester.Call, answer *requester.Answer, arrivedAt, now time.Time, target Target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := key{call.Trade, call.Kind}
	s, ok := m.series[k]
	if !ok {
		s = &series{outcomes: make(map[requester.Outcome]int64)}
		m.series[k] = s
	}
	s.outcomes[answer.Outcome]++
	s.targetShare = target.Share
	good := answer.Outcome == requester.OutcomeAnswered
	if !answer.StartedAt.IsZero() {
		wait := answer.StartedAt.Sub(arrivedAt)
		s.totalWait += wait
		s.started++
		good = good && wait <= target.Wait
	}
	number := now.UnixNano() / int64(bucketLength)
	current := &s.buckets[number%bucketCount]
	if current.number != number {
		*current = bucket{number: number}
	}
	current.total++
	if !good {
		current.bad++
	}
}

// Burn holds the burn rates and outcomes of the calls of one trade and kind, as
// received by one entry or, after Merge, by several.
type Burn struct {
	Trade requester.Trade
	Kind  requester.Kind
	// Share is the Target.Share of the last call; after Merge, the largest of the
	// entries' shares.
	Share   float64
	Windows []Window
	// Outcomes counts the calls by outcome since the entry started.
	Outcomes []OutcomeCount
	// MeanWaitMicros is the mean wait of the calls that started.
	MeanWaitMicros int64
}

// Window counts the calls that ended within the last Seconds.
type Window struct {
	Seconds int64
	Total   int64
	Bad     int64
	// Rate is the burn rate; at 1 the budget is consumed exactly as fast as the
	// objective allows.
	Rate float64
}

// OutcomeCount is the number of calls with one outcome.
type OutcomeCount struct {
	Outcome requester.Outcome
	Count   int64
}

// Report returns a Burn for each trade and kind, sorted by them.
func (m *Meter) Report(now time.Time) []Burn {
	m.mu.Lock()
	defer m.mu.Unlock()
	burns := make([]Burn, 0, len(m.series))
	for k, s := range m.series {
		burns = append(burns, s.burn(k, now))
	}
	slices.SortFunc(burns, compareBurns)
	return burns
}

// compareBurns orders by trade, then by kind.
func compareBurns(a, b Burn) int {
	return cmp.Or(cmp.Compare(a.Trade, b.Trade), cmp.Compare(a.Kind, b.Kind))
}

func (s *series) burn(k key, now time.Time) Burn {
	burn := Burn{Trade: k.trade, Kind: k.kind, Share: s.targetShare}
	for _, span := range Windows {
		window := s.window(now, span)
		window.Rate = burnRate(window.Bad, window.Total, s.targetShare)
		burn.Windows = append(burn.Windows, window)
	}
	for outcome, count := range s.outcomes {
		burn.Outcomes = append(burn.Outcomes, OutcomeCount{Outcome: outcome, Count: count})
	}
	slices.SortFunc(burn.Outcomes, func(a, b OutcomeCount) int { return cmp.Compare(a.Outcome, b.Outcome) })
	if s.started > 0 {
		burn.MeanWaitMicros = (s.totalWait / time.Duration(s.started)).Microseconds()
	}
	return burn
}

func (s *series) window(now time.Time, span time.Duration) Window {
	window := Window{Seconds: int64(span / time.Second)}
	last := now.UnixNano() / int64(bucketLength)
	first := last - int64(span/bucketLength) + 1
	for i := range s.buckets {
		if s.buckets[i].number >= first && s.buckets[i].number <= last {
			window.Total += s.buckets[i].total
			window.Bad += s.buckets[i].bad
		}
	}
	return window
}

// burnRate returns the share of bad calls divided by the share that the
// objective allows, and 0 without calls or if no bad call is allowed.
func burnRate(bad, total int64, share float64) float64 {
	allowed := 1 - share
	if total == 0 || allowed <= 0 {
		return 0
	}
	return float64(bad) / float64(total) / allowed
}

// Merge combines the reports of several entries into one, which has the sums of
// their counts, sorted by trade and kind.
func Merge(reports ...[]Burn) []Burn {
	merged := make(map[key]*Burn)
	for _, report := range reports {
		for _, burn := range report {
			k := key{burn.Trade, burn.Kind}
			if sum, ok := merged[k]; ok {
				sum.add(burn)
				continue
			}
			clone := burn
			clone.Windows = slices.Clone(burn.Windows)
			clone.Outcomes = slices.Clone(burn.Outcomes)
			merged[k] = &clone
		}
	}
	sums := make([]Burn, 0, len(merged))
	for _, sum := range merged {
		sums = append(sums, *sum)
	}
	slices.SortFunc(sums, compareBurns)
	return sums
}

// add adds the Burn of another entry for the same trade and kind. Mean waits are
// weighted by the numbers of all calls, since a Burn does not contain the number
// of started calls.
func (b *Burn) add(other Burn) {
	b.Share = max(b.Share, other.Share)
	calls, otherCalls := b.calls(), other.calls()
	if calls+otherCalls > 0 {
		b.MeanWaitMicros = (b.MeanWaitMicros*calls + other.MeanWaitMicros*otherCalls) / (calls + otherCalls)
	}
	for i := range b.Windows {
		for _, window := range other.Windows {
			if window.Seconds == b.Windows[i].Seconds {
				b.Windows[i].Total += window.Total
				b.Windows[i].Bad += window.Bad
			}
		}
		b.Windows[i].Rate = burnRate(b.Windows[i].Bad, b.Windows[i].Total, b.Share)
	}
	for _, count := range other.Outcomes {
		i := slices.IndexFunc(b.Outcomes, func(c OutcomeCount) bool { return c.Outcome == count.Outcome })
		if i < 0 {
			b.Outcomes = append(b.Outcomes, count)
			continue
		}
		b.Outcomes[i].Count += count.Count
	}
}

func (b *Burn) calls() int64 {
	var sum int64
	for _, count := range b.Outcomes {
		sum += count.Count
	}
	return sum
}
