package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestAcknowledgementIsVerified checks that a poll does not acknowledge an end
// that the stored rows don't imply, even if the core's own account says so.
func TestAcknowledgementIsVerified(t *testing.T) {
	is := is.New(t)
	h := newHarness(1)
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 2}, stepOf(2, 1000))
	starts := h.settle()
	is.Equal(len(starts), 2)
	h.commit()
	ends := endsOf(starts, EndDone)
	h.exchange(100*time.Millisecond, ends)
	w := h.core.sortedWorkers[0]
	w.committedEnd, w.pendingEnds = w.appliedEnd, nil
	is.Equal(h.exchange(time.Second, ends)["w000"], int64(0))
	is.Equal(h.core.Stats().Violations, int64(1)) // logged once, though every poll is lowered
	h.commit()
	is.Equal(h.exchange(time.Second, ends)["w000"], int64(2))
}

// TestImpliedBy checks which stored progress implies an end.
func TestImpliedBy(t *testing.T) {
	gang := gangOf(2, 1000)
	job := jobOf("j", stepOf(9, 1000), gang)
	job.Occurrences = 3
	row := func(steps ...stepProgress) []byte {
		return EncodeRow(progressRow{NextOccurrence: 2, Occurrences: []occurrenceProgress{{Number: 1, Steps: steps}}})
	}
	task := func(occurrence int64, step, index int) TaskName {
		return TaskName{StepName: StepName{Job: "j", Occurrence: occurrence, Step: step}, Index: index}
	}
	tests := []struct {
		name   string
		stored []byte
		end    EndedRun
		want   bool
	}{
		{"nothing stored", nil, EndedRun{Task: task(1, 0, 8), Kind: EndDone}, false},
		{"not done", row(stepProgress{calmProgress: calmProgress{Done: []byte{0xff, 0}}}, stepProgress{}), EndedRun{Task: task(1, 0, 8), Kind: EndDone}, false},
		{"done", row(stepProgress{calmProgress: calmProgress{Done: []byte{0, 1}}}, stepProgress{}), EndedRun{Task: task(1, 0, 8), Kind: EndDone}, true},
		{"all done", row(stepProgress{calmProgress: calmProgress{AllDone: true}}, stepProgress{}), EndedRun{Task: task(1, 0, 8), Kind: EndDone}, true},
		{"stopped", nil, EndedRun{Task: task(1, 0, 8), Kind: EndStopped}, true},
		{"job ended", EncodeRow(progressRow{State: StateFailed}), EndedRun{Task: task(1, 0, 8), Kind: EndDone}, true},
		{"occurrence ended", row(stepProgress{}, stepProgress{}), EndedRun{Task: task(0, 0, 8), Kind: EndDone}, true},
		{"occurrence not stored", row(stepProgress{}, stepProgress{}), EndedRun{Task: task(2, 0, 8), Kind: EndDone}, false},
		{"failure not counted", row(stepProgress{calmProgress: calmProgress{FailedRuns: map[int][]RunNumber{8: {3}}}}, stepProgress{}), EndedRun{Task: task(1, 0, 8), Run: 4, Kind: EndFailed}, false},
		{"failure counted", row(stepProgress{calmProgress: calmProgress{FailedRuns: map[int][]RunNumber{8: {3}}}}, stepProgress{}), EndedRun{Task: task(1, 0, 8), Run: 3, Kind: EndFailed}, true},
		{"failure of a gang", row(stepProgress{}, stepProgress{calmProgress: calmProgress{FailedRuns: map[int][]RunNumber{0: {3}}}}), EndedRun{Task: task(1, 1, 1), Run: 3, Kind: EndFailed}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := test.end.impliedBy(&committedProgress{value: test.stored}, &job); got != test.want {
				t.Errorf("impliedBy is %v, want %v", got, test.want)
			}
		})
	}
}
