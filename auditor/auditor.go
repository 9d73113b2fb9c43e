// Package auditor checks the outcomes that callers received against the
// executions at endpoints.
//
// Its inputs are observed from outside the scheduler: the attempts of callers
// with their answers, and the calls that endpoints executed. It reads no state
// of the scheduler, so that its verdict is independent of the code that it
// checks. It finds calls that ran more often than they may, calls that ran
// although their outcome says otherwise, wrong or missing answers, and calls
// that started on a drained host. A call that is not idempotent may run once; an
// exclusive call may run again, but its executions must not overlap.
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

// Attempt is one attempt of a call and what the caller received for it.
type Attempt struct {
	Call   requester.Call
	Answer requester.Answer
	SentAt time.Time
	// Lost is true if no answer was received; Detail is the error.
	Lost   bool
	Detail string
}

// ClassKey identifies a class of calls, which are counted together.
type ClassKey struct {
	Trade requester.Trade
	Kind  requester.Kind
}

// Auditor collects the attempts of callers. Its methods are safe for concurrent
// use.
type Auditor struct {
	mu       sync.Mutex
	attempts map[requester.RequestID][]Attempt
	classes  map[ClassKey]*classStats
	// drainedFrom holds, for each drained host, the time from which no call may
	// start on it.
	drainedFrom map[requester.HostID]time.Time
	waitSamples []WaitSample
}

// WaitSample is the wait of one answered attempt: the time from when the caller
// sent it to when the scheduler dispatched the call to the endpoint.
type WaitSample struct {
	Class  ClassKey
	SentAt time.Time
	Wait   time.Duration
}

// classStats counts the attempts of a class of calls.
type classStats struct {
	outcomes map[requester.Outcome]int64
	offered  int64
	lost     int64
	waits    *hdrhistogram.Histogram
}

// maxWaitMicros is the highest value of the wait histograms, in microseconds;
// longer waits count as this value. significantDigits is the precision of the
// histograms.
const (
	maxWaitMicros     = 600_000_000
	significantDigits = 3
)

// New returns an Auditor without attempts.
func New() *Auditor {
	return &Auditor{
		attempts:    make(map[requester.RequestID][]Attempt),
		classes:     make(map[ClassKey]*classStats),
		drainedFrom: make(map[requester.HostID]time.Time),
	}
}

// Record adds an attempt that has ended.
func (a *Auditor) Record(attempt Attempt) {
	a.mu.Lock()
	defer a.mu.Unlock()
	id := attempt.Call.RequestID
	a.attempts[id] = append(a.attempts[id], attempt)
	key := ClassKey{attempt.Call.Trade, attempt.Call.Kind}
	stats, ok := a.classes[key]
	if !ok {
		stats = &classStats{
			outcomes: make(map[requester.Outcome]int64),
			waits:    hdrhistogram.New(1, maxWaitMicros, significantDigits),
		}
		a.classes[key] = stats
	}
	stats.offered++
	if attempt.Lost {
		stats.lost++
		return
	}
	stats.outcomes[attempt.Answer.Outcome]++
	if attempt.Answer.Outcome == requester.OutcomeAnswered {
		wait := attempt.Answer.StartedAt.Sub(attempt.SentAt)
		_ = stats.waits.RecordValue(min(maxWaitMicros, max(1, wait.Microseconds())))
		a.waitSamples = append(a.waitSamples, WaitSample{Class: key, SentAt: attempt.SentAt, Wait: wait})
	}
}

// Outcomes returns the number of recorded attempts by outcome. Attempts without
// an answer are not counted.
func (a *Auditor) Outcomes() map[requester.Outcome]int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	counts := make(map[requester.Outcome]int64)
	for _, stats := range a.classes {
		for outcome, count := range stats.outcomes {
			counts[outcome] += count
		}
	}
	return counts
}

// WaitSamples returns the waits of all answered attempts.
func (a *Auditor) WaitSamples() []WaitSample {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.waitSamples)
}

// RecordDrain records that a host is drained: calls that start on it after from
// are violations.
func (a *Auditor) RecordDrain(id requester.HostID, from time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.drainedFrom[id] = from
}

// Class is the result of one class of calls. It counts attempts, except for
// Doubled, which counts requests. Waits are those of answered attempts.
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

// Finding is one violation of a guarantee to callers.
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
	// FalselyNotRun counts the requests that ran although the outcomes of all
	// their attempts say that they did not.
	FalselyNotRun int64
	// Wrong counts the answers whose payload is not exactly the one that
	// endpoints return for the request, such as a truncated payload or that of
	// another request.
	Wrong int64
	// Late counts the executions that started on a drained host after the time
	// given to RecordDrain.
	Late int64
}

// Check compares the recorded attempts with the executions of all endpoints.
func (a *Auditor) Check(executions []standin.Execution) Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	executionsByID := make(map[requester.RequestID][]standin.Execution)
	var verdict Verdict
	for _, execution := range executions {
		executionsByID[execution.RequestID] = append(executionsByID[execution.RequestID], execution)
		if from, ok := a.drainedFrom[execution.Endpoint]; ok && execution.StartedAt.After(from) {
			verdict.Late++
			verdict.addFinding(Finding{"started on a leaving host", execution.RequestID, execution.Endpoint})
		}
	}
	doubled := make(map[ClassKey]int64)
	for id, attempts := range a.attempts {
		a.checkRequest(&verdict, doubled, id, attempts, executionsByID[id])
	}
	for key, stats := range a.classes {
		verdict.Classes = append(verdict.Classes, stats.result(key, doubled[key]))
	}
	slices.SortFunc(verdict.Classes, func(x, y Class) int {
		return cmp.Or(cmp.Compare(x.Trade, y.Trade), cmp.Compare(x.Kind, y.Kind))
	})
	return verdict
}

// Violations returns how many requests and calls count as FalselyNotRun, Wrong or
// Late. Doubled is not among them.
func (v *Verdict) Violations() int64 { return v.FalselyNotRun + v.Wrong + v.Late }

func (v *Verdict) addFinding(finding Finding) { v.Findings = append(v.Findings, finding) }

// checkRequest adds the findings on one request to the verdict and counts it in
// doubled if it ran more often than it may.
func (a *Auditor) checkRequest(verdict *Verdict, doubled map[ClassKey]int64, id requester.RequestID, attempts []Attempt, executions []standin.Execution) {
	call := attempts[0].Call
	if ranTooOften(call, executions) {
		verdict.Doubled++
		doubled[ClassKey{call.Trade, call.Kind}]++
		verdict.addFinding(Finding{"ran more often than it may", id, executions[0].Endpoint})
	}
	notRun := true
	for _, attempt := range attempts {
		if attempt.Lost {
			verdict.addFinding(Finding{"got no answer: " + attempt.Detail, id, ""})
		}
		notRun = notRun && !attempt.Lost && attempt.Answer.Outcome.ProvesNotRun()
		if attempt.Answer.Outcome == requester.OutcomeAnswered && string(attempt.Answer.Payload) != string(standin.AnswerBody(id)) {
			verdict.Wrong++
			verdict.addFinding(Finding{"got another answer than its own", id, attempt.Answer.ServedBy})
		}
	}
	if notRun && len(executions) > 0 {
		verdict.FalselyNotRun++
		verdict.addFinding(Finding{"ran though the caller was told that it did not", id, executions[0].Endpoint})
	}
}

// ranTooOften reports whether a call that is not idempotent ran more than once,
// or two executions of an exclusive one overlapped.
func ranTooOften(call requester.Call, executions []standin.Execution) bool {
	if !call.Idempotent && len(executions) > 1 {
		return true
	}
	if !call.Exclusive {
		return false
	}
	for i := range executions {
		for j := range i {
			if executions[i].StartedAt.Before(executions[j].EndedAt) && executions[j].StartedAt.Before(executions[i].EndedAt) {
				return true
			}
		}
	}
	return false
}

// result returns the result of the class key. doubled is the number of its
// requests that ran more often than they may.
func (t *classStats) result(key ClassKey, doubled int64) Class {
	const microsPerMilli = 1000
	return Class{
		Trade:     key.Trade,
		Kind:      key.Kind,
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
