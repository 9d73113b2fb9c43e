package scheduler

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// waitOf returns why the first step of a job waits.
func (h *harness) waitOf(id string) WaitReason {
	return h.core.jobs[taskOf(id, 0).Job].occurrences[0].steps[0].wait.reason
}

// TestReasonsToWait guards against a task that waits and of which the log and the
// load don't tell why.
func TestReasonsToWait(t *testing.T) {
	policy := Policy{Stretch: 9}
	advised := Policy{Stretch: 9, Advice: &Advice{DecideMillis: 10, WorkerMillis: 1, ValidMillis: 60_000}}
	tests := []struct {
		want WaitReason
		set  func(*harness)
	}{
		{WaitNothing, func(h *harness) { h.add("job", policy, stepOf(1, 1000)) }},
		{WaitRoom, func(h *harness) { h.add("job", policy, stepOf(5, 8000)) }},
		{WaitAdvice, func(h *harness) { h.add("job", advised, stepOf(1, 1000)) }},
		{WaitCrashRecord, func(h *harness) {
			h.add("job", policy, stepOf(1, 1000))
			h.accuse("job").version = 1000
		}},
		{WaitPause, func(h *harness) {
			h.add("job", policy, lastingStep(1, 1000))
			h.accuse("job").heldUntil = h.now.Add(time.Minute)
		}},
		{WaitTrial, func(h *harness) {
			for _, w := range h.core.sortedWorkers {
				w.trial = &trial{until: h.now.Add(time.Minute)}
			}
			h.core.sortedWorkers[0].trial = nil
			h.add("beside", policy, stepOf(1, 6000)) // leaves little that is free
			h.settle()
			h.add("job", policy, stepOf(1, 1000))
			h.accuse("job")
		}},
		{WaitEarlierRun, func(h *harness) {
			h.add("job", policy, stepOf(1, 1000))
			h.core.strays[taskOf("job", 0)] = 1
		}},
		{WaitRack, func(h *harness) {
			h.rackWorkers(2)
			busy := stepOf(4, 2000)
			busy.EstimateMillis, busy.AntiAffinity = 60_000, 1
			h.add("busy", policy, busy)
			h.settle()
			gang := gangOf(3, 4000)
			gang.SameRack = true
			h.add("job", policy, gang)
		}},
	}
	for _, test := range tests {
		t.Run(test.want.String(), func(t *testing.T) {
			is := is.New(t)
			h := newHarness(4)
			test.set(h)
			h.settle()
			is.Equal(h.waitOf("job"), test.want)
			load := h.core.Load()
			is.Equal(load.Waits[test.want], load.OpenTasks)
			is.Equal(load.OpenTasks > 0, test.want != WaitNothing)
		})
	}
}

// TestUnrecordedStepsWait guards against a step that waits for the store, or for
// the workers of a previous owner, and is said to wait for something else.
func TestUnrecordedStepsWait(t *testing.T) {
	is := is.New(t)
	h := newHarness(2)
	h.add("job", Policy{Stretch: 9}, stepOf(1, 1000))
	h.core.Tick(h.now)
	is.Equal(h.waitOf("job"), WaitStartRecord) // nothing was committed
	h.core.sortedWorkers[0].inherited, h.core.sortedWorkers[0].reported = true, false
	h.core.jobs["job"].occurrences[0].steps[0].mayHaveUnknownRuns = true
	h.settle()
	is.Equal(h.waitOf("job"), WaitUnknownRuns)
}

// TestLongWaitsAreLogged guards against a task that waits beside free room without
// a line in the log, and against one line for each pass.
func TestLongWaitsAreLogged(t *testing.T) {
	is := is.New(t)
	h := newHarness(4)
	h.add("wide", Policy{Stretch: 9}, gangOf(9, 8000)) // never fits
	h.core.TakeLogRecords()
	for range 400 {
		h.advance(20 * time.Millisecond)
	}
	var lines []LogRecord
	for _, record := range h.core.TakeLogRecords() {
		if record.Event == "step waits" {
			lines = append(lines, record)
		}
	}
	is.Equal(len(lines), 1)
	is.Equal(string(lines[0].Job), "wide")
	is.True(strings.HasPrefix(lines[0].Why, "Room: 9 tasks"))
	is.Equal(h.core.Stats().LongWaits, int64(1))
}
