// Package meter counts what became of calls and measures how fast a service
// level's budget burns.
//
// A call is good if it was answered and waited no longer than its profile's
// target before it started. Counts are kept per trade and kind in slots of
// time, so that the burn rate can be told for several windows: a burn rate of
// 1 spends exactly the budget that the target allows, one of 10 spends it ten
// times as fast.
package meter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"kumquatstall/requester"
)

// Target is what a call is measured against.
type Target struct {
	Wait time.Duration
	// Share is the share of calls that should be good.
	Share float64
}

// slotLength and slotCount span the longest window.
const (
	slotLength = 10 * time.Second
	slotCount  = 360
)

// Windows are the spans of time for which burn rates are told.
var Windows = []time.Duration{time.Minute, 5 * time.Minute, 30 * time.Minute, time.Hour}

// key identifies a series.
type key struct {
	trade requester.Trade
	kind  requester.Kind
}

type slot struct {
	number int64
	total  int64
	bad    int64
}

type series struct {
	slots    [slotCount]slot
	outcomes map[requester.Outcome]int64
	share    float64
	waited   time.Duration
	started  int64
}

// Meter measures the calls of one entry. Its methods may be used by several
// goroutines at once.
type Meter struct {
	mu     sync.Mutex
	series map[key]*series
}

// New returns a meter that has seen nothing.
func New() *Meter { return &Meter{series: make(map[key]*series)} }

// Observe counts a call that arrived at one time and was answered at another.
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
	s.share = target.Share
	good := answer.Outcome == requester.OutcomeAnswered
	if !answer.StartedAt.IsZero() {
		wait := answer.StartedAt.Sub(arrivedAt)
		s.waited += wait
		s.started++
		good = good && wait <= target.Wait
	}
	number := now.UnixNano() / int64(slotLength)
	current := &s.slots[number%slotCount]
	if current.number != number {
		*current = slot{number: number}
	}
	current.total++
	if !good {
		current.bad++
	}
}

// Burn is how fast one series spends its budget.
type Burn struct {
	Trade requester.Trade
	Kind  requester.Kind
	// Share is the share of calls that should be good.
	Share   float64
	Windows []Window
	// Outcomes counts the calls by outcome since the start.
	Outcomes []OutcomeCount
	// MeanWaitMicros is the mean wait of calls that started.
	MeanWaitMicros int64
}

// Window is the count of one span of time.
type Window struct {
	Seconds int64
	Total   int64
	Bad     int64
	// Rate is the burn rate; 1 spends exactly the budget.
	Rate float64
}

// OutcomeCount counts the calls that ended alike.
type OutcomeCount struct {
	Outcome requester.Outcome
	Count   int64
}

// Report returns the burn of every series, sorted by trade and kind.
func (m *Meter) Report(now time.Time) []Burn {
	m.mu.Lock()
	defer m.mu.Unlock()
	burns := make([]Burn, 0, len(m.series))
	for k, s := range m.series {
		burns = append(burns, s.burn(k, now))
	}
	slices.SortFunc(burns, func(a, b Burn) int {
		return cmp.Or(cmp.Compare(a.Trade, b.Trade), cmp.Compare(a.Kind, b.Kind))
	})
	return burns
}

func (s *series) burn(k key, now time.Time) Burn {
	burn := Burn{Trade: k.trade, Kind: k.kind, Share: s.share}
	for _, span := range Windows {
		window := s.window(now, span)
		window.Rate = rate(window.Bad, window.Total, s.share)
		burn.Windows = append(burn.Windows, window)
	}
	for outcome, count := range s.outcomes {
		burn.Outcomes = append(burn.Outcomes, OutcomeCount{Outcome: outcome, Count: count})
	}
	slices.SortFunc(burn.Outcomes, func(a, b OutcomeCount) int { return cmp.Compare(a.Outcome, b.Outcome) })
	if s.started > 0 {
		burn.MeanWaitMicros = (s.waited / time.Duration(s.started)).Microseconds()
	}
	return burn
}

func (s *series) window(now time.Time, span time.Duration) Window {
	window := Window{Seconds: int64(span / time.Second)}
	last := now.UnixNano() / int64(slotLength)
	first := last - int64(span/slotLength) + 1
	for i := range s.slots {
		if s.slots[i].number >= first && s.slots[i].number <= last {
			window.Total += s.slots[i].total
			window.Bad += s.slots[i].bad
		}
	}
	return window
}

// rate returns the share of bad calls in units of the share allowed.
func rate(bad, total int64, share float64) float64 {
	allowed := 1 - share
	if total == 0 || allowed <= 0 {
		return 0
	}
	return float64(bad) / float64(total) / allowed
}

// Merge adds up the burns that several entries report.
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
	slices.SortFunc(sums, func(a, b Burn) int {
		return cmp.Or(cmp.Compare(a.Trade, b.Trade), cmp.Compare(a.Kind, b.Kind))
	})
	return sums
}

// add adds another entry's burn of the same series.
func (b *Burn) add(other Burn) {
	b.Share = max(b.Share, other.Share)
	own, theirs := b.calls(), other.calls()
	if own+theirs > 0 {
		b.MeanWaitMicros = (b.MeanWaitMicros*own + other.MeanWaitMicros*theirs) / (own + theirs)
	}
	for i := range b.Windows {
		for _, window := range other.Windows {
			if window.Seconds == b.Windows[i].Seconds {
				b.Windows[i].Total += window.Total
				b.Windows[i].Bad += window.Bad
			}
		}
		b.Windows[i].Rate = rate(b.Windows[i].Bad, b.Windows[i].Total, b.Share)
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
