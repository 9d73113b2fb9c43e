package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// TestWorkerThatKeepsItsEnds guards against tasks that never end because their
// worker keeps so many ends that cannot be acknowledged, here after that of an
// excluded job, that its reports have no room for later ones.
func TestWorkerThatKeepsItsEnds(t *testing.T) {
	const mostReported = 500
	is := is.New(t)
	h := newHarness(2)
	h.core.Exclude("x")
	h.add("j", Policy{Service: "service", MaxAttempts: 3, Stretch: 9}, stepOf(4000, 1000))
	kept := map[requester.HostID][]EndedRun{"w000": {{Number: 1, Task: TaskName{StepName: StepName{Job: "x"}}, Run: 1, Kind: EndDone}}}
	numbers := map[requester.HostID]int64{"w000": 1}
	for range 3000 {
		h.now = h.now.Add(50 * time.Millisecond)
		h.commit()
		orders := h.issue()
		for _, start := range orders.Starts {
			// The run ends at once.
			id := start.Worker.HostID
			h.core.StartDone(h.now, start, OrderAccepted)
			numbers[id]++
			kept[id] = append(kept[id], EndedRun{Number: numbers[id], Task: start.Task, Run: start.Run, Kind: EndDone})
		}
		for _, poll := range orders.Polls {
			id := poll.Worker.HostID
			for len(kept[id]) > 0 && kept[id][0].Number <= poll.AcknowledgedEnd {
				kept[id] = kept[id][1:]
			}
			reported := kept[id][:min(len(kept[id]), mostReported)]
			h.core.PollDone(h.now, poll, &Report{
				Clock: h.clock(poll.Worker), BootedAt: poll.Worker.BootedAt,
				Ended: reported, Partial: len(reported) == mostReported,
			}, OrderAccepted)
		}
	}
	is.Equal(h.core.Stats().JobsCompleted, int64(1))
	is.True(len(kept["w000"]) <= mostReported)
}
