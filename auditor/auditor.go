// Package auditor checks what callers were told against what really ran.
//
// It looks only at the outside: what callers sent and were told, what
// endpoints and workers executed. It knows nothing of the scheduler's own
// state, so that it can judge it.
package auditor

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"kumquatstall/requester"
	"kumquatstall/standin"
)

// Told is what a caller was told about one attempt.
type Attempt struct {
	Call   requester.Call
	Answer requester.Answer
	// SentAt is when the attempt was sent.
	SentAt time.Time
	// Lost tells that no answer came at all, and Detail why.
	Lost   bool
	Detail string
}

// Series names the calls that are counted together.
type ClassKey struct {
	Trade requester.Trade
	Kind  requester.Kind
}

// Auditor collects what callers saw. Its methods may be used by several
// goroutines at once.
type Auditor struct {
	mu          sync.Mutex
	attempts    map[requester.RequestID][]Attempt
	classes     map[ClassKey]*classStats
	drainedFrom map[requester.HostID]time.Time
	waitSamples []WaitSample
}

// Point is the wait of one call that was answered.
type WaitSample struct {
	Class  ClassKey
	SentAt time.Time
	Wait   time.Duration
}

type classStats struct {
	outcomes map[requester.Outcome]int64
	offered  int64
	lost     int64
	waits    *hdrhistogram.Histogram
}

// Bounds of the wait histograms, in microseconds.
const (
	maxWaitMicros     = 600_000_000
	significantDigits = 3
)

// New returns an auditor that has seen nothing.
func New() *Auditor {
	return &Auditor{
		attempts:    make(map[requester.RequestID][]Attempt),
		classes:     make(map[ClassKey]*classStats),
		drainedFrom: make(map[requester.HostID]time.Time),
	}
}

// Tell notes what a caller was told.
func (a *Auditor) Record(told Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := told.Call.RequestID
	a.attempts[id] = append(a.attempts[id], told)
	series := ClassKey{told.Call.Trade, told.Call.Kind}
	t, ok := a.classes[series]
	if !ok {
		t = &classStats{
			outcomes: make(map[requester.Outcome]int64),
			waits:    hdrhistogram.New(1, maxWaitMicros, significantDigits),
		}
		a.classes[series] = t
	}
	t.offered++
	if told.Lost {
		t.lost++
		return
	}
	t.outcomes[told.Answer.Outcome]++
	if told.Answer.Outcome == requester.OutcomeAnswered {
		wait := told.Answer.StartedAt.Sub(told.SentAt)
		_ = t.waits.RecordValue(min(maxWaitMicros, max(1, wait.Microseconds())))
		a.waitSamples = append(a.waitSamples, WaitSample{Class: series, SentAt: told.SentAt, Wait: wait})
	}
}

// Outcomes counts the attempts told so far by outcome.
func (a *Auditor) Outcomes() map[requester.Outcome]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := make(map[requester.Outcome]int64)
	for _, t := range a.classes {
		for outcome, count := range t.outcomes {
			counts[outcome] += count
		}
	}
	return counts
}

// Points returns the waits of all calls that were answered.
func (a *Auditor) WaitSamples() []WaitSample {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.waitSamples)
}

// Leave notes that a host is to get no new work from a time on.
func (a *Auditor) RecordDrain(id requester.HostID, from time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drainedFrom[id] = from
}

// Class is the report on one series.
type Class struct {
	Trade     requester.Trade
	Kind      requester.Kind
	Offered   int64
	Answered  int64
	Refused   int64
	NotRun    int64
	Unknown   int64
	Cancelled int64
	Lost      int64
	Doubled   int64
	WaitP50Ms float64
	WaitP99Ms float64
}

// Finding is something that must never happen and did.
type Finding struct {
	What      string
	RequestID requester.RequestID `json:",omitempty"`
	Host      requester.HostID    `json:",omitempty"`
}

func (f Finding) String() string { return fmt.Sprintf("%s %s %s", f.What, f.RequestID, f.Host) }

// Verdict is the result of an audit.
type Verdict struct {
	Classes  []Class
	Findings []Finding
	// Doubled counts the requests that ran more often than they may.
	Doubled int64
	// FalselyNotRun counts the requests that ran though the caller was told
	// that they did not.
	FalselyNotRun int64
	// Wrong counts the answers that were not the whole answer to their own
	// request.
	Wrong int64
	// Late counts the calls started on a host that was leaving.
	Late int64
}

// Check compares what callers were told with what ran.
func (a *Auditor) Check(executions []standin.Execution) Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	byID := make(map[requester.RequestID][]standin.Execution)
	var verdict Verdict
	for _, execution := range executions {
		byID[execution.RequestID] = append(byID[execution.RequestID], execution)
		if from, ok := a.drainedFrom[execution.Endpoint]; ok && execution.StartedAt.After(from) {
			verdict.Late++
			verdict.addFinding(Finding{"started on a leaving host", execution.RequestID, execution.Endpoint})
		}
	}
	doubled := make(map[ClassKey]int64)
	for id, attempts := range a.attempts {
		a.checkRequest(&verdict, doubled, id, attempts, byID[id])
	}
	for series, t := range a.classes {
		verdict.Classes = append(verdict.Classes, t.result(series, doubled[series]))
	}
	slices.SortFunc(verdict.Classes, func(x, y Class) int {
		return cmp.Or(cmp.Compare(x.Trade, y.Trade), cmp.Compare(x.Kind, y.Kind))
	})
	return verdict
}

func (v *Verdict) addFinding(finding Finding) { v.Findings = append(v.Findings, finding) }

func (a *Auditor) checkRequest(verdict *Verdict, doubled map[ClassKey]int64, id requester.RequestID, attempts []Attempt, runs []standin.Execution) {
	call := attempts[0].Call
	if ranTooOften(call, runs) {
		verdict.Doubled++
		doubled[ClassKey{call.Trade, call.Kind}]++
		verdict.addFinding(Finding{"ran more often than it may", id, runs[0].Endpoint})
	}
	notRun := true
	for _, told := range attempts {
		if told.Lost {
			verdict.addFinding(Finding{"got no answer: " + told.Detail, id, ""})
		}
		notRun = notRun && !told.Lost && told.Answer.Outcome.ProvesNotRun()
		if told.Answer.Outcome == requester.OutcomeAnswered && string(told.Answer.Payload) != string(standin.AnswerBody(id)) {
			verdict.Wrong++
			verdict.addFinding(Finding{"got another answer than its own", id, told.Answer.ServedBy})
		}
	}
	if notRun && len(runs) > 0 {
		verdict.FalselyNotRun++
		verdict.addFinding(Finding{"ran though the caller was told that it did not", id, runs[0].Endpoint})
	}
}

// ranTooOften reports whether a call that is not idempotent ran twice, or an
// exclusive one in two places at once.
func ranTooOften(call requester.Call, runs []standin.Execution) bool {
	if !call.Idempotent && len(runs) > 1 {
		return true
	}
	if !call.Exclusive {
		return false
	}
	for i := range runs {
		for j := range i {
			if runs[i].StartedAt.Before(runs[j].EndedAt) && runs[j].StartedAt.Before(runs[i].EndedAt) {
				return true
			}
		}
	}
	return false
}

func (t *classStats) result(series ClassKey, doubled int64) Class {
	const microsPerMilli = 1000
	return Class{
		Trade:     series.Trade,
		Kind:      series.Kind,
		Offered:   t.offered,
		Answered:  t.outcomes[requester.OutcomeAnswered],
		Refused:   t.outcomes[requester.OutcomeRefused],
		NotRun:    t.outcomes[requester.OutcomeNotRun],
		Unknown:   t.outcomes[requester.OutcomeUnknown],
		Cancelled: t.outcomes[requester.OutcomeCancelled],
		Lost:      t.lost,
		Doubled:   doubled,
		WaitP50Ms: float64(t.waits.ValueAtQuantile(50)) / microsPerMilli,
		WaitP99Ms: float64(t.waits.ValueAtQuantile(99)) / microsPerMilli,
	}
}
