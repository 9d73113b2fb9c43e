package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// startsOn returns the tasks that run on a worker.
func (h *deadlyHarness) startsOn(host requester.HostID) []TaskName {
	var names []TaskName
	for _, start := range h.running {
		if start.Worker.HostID == host {
			names = append(names, start.Task)
		}
	}
	return names
}

// hostOf returns the worker on which a task runs, or an empty string.
func (h *deadlyHarness) hostOf(name TaskName) requester.HostID {
	for _, start := range h.running {
		if start.Task == name {
			return start.Worker.HostID
		}
	}
	return ""
}

// occupy starts a task that lasts on each of as many workers.
func (h *deadlyHarness) occupy(workers int, milli int64) {
	lasting := lastingStep(workers, milli)
	lasting.AntiAffinity = 1
	h.add("lasting", Policy{Stretch: 3, ObjectiveMillis: 500}, lasting)
	for range 10 {
		h.step(20 * time.Millisecond)
	}
}

// accuse puts the first task of a job under suspicion.
func (h *harness) accuse(id string) *crashHistory {
	t := h.core.jobs[requester.JobID(id)].occurrences[0].steps[0].tasks()[0]
	t.crashes = &crashHistory{crashes: []crash{{Run: 1, Worker: "gone", AgeMillis: 10, ChancePPM: 100}}}
	return t.crashes
}

// TestSuspectStartsBesideOthers guards against a suspect that starts where other
// work would be lost with it, or beside which others start before it is cleared.
func TestSuspectStartsBesideOthers(t *testing.T) {
	is := is.New(t)
	h := newDeadlyHarness(4)
	lasting := stepOf(3, 6000)
	lasting.LongRunning = true
	lasting.AntiAffinity = 1
	h.add("lasting", Policy{Stretch: 3, ObjectiveMillis: 500}, lasting)
	h.step(20 * time.Millisecond)
	h.step(20 * time.Millisecond)
	is.Equal(len(h.running), 3)
	suspect := taskOf("suspect", 0)
	h.add("suspect", Policy{Stretch: 3, ObjectiveMillis: 500}, stepOf(1, 1000))
	for h.hostOf(suspect) == "" {
		h.step(20 * time.Millisecond)
	}
	h.crash(h.hostOf(suspect))
	for h.hostOf(suspect) == "" {
		h.step(20 * time.Millisecond)
	}
	is.Equal(h.startsOn(h.hostOf(suspect)), []TaskName{suspect}) // on the worker with nothing to lose
	begun := h.now
	h.add("others", Policy{Stretch: 3, ObjectiveMillis: 500}, stepOf(12, 1000))
	for h.now.Sub(begun) < minTrial-20*time.Millisecond {
		h.step(20 * time.Millisecond)
		is.Equal(h.startsOn(h.hostOf(suspect)), []TaskName{suspect})
	}
	for range 10 {
		h.step(20 * time.Millisecond)
	}
	is.True(len(h.startsOn(h.hostOf(suspect))) > 1) // cleared, others may start there
}

// TestQueueOfDeadlyTasksTakesOthersAlong guards against tasks of a queue that
// has just crashed a worker which start beside the work of other queues although
// a worker is idle.
func TestQueueOfDeadlyTasksTakesOthersAlong(t *testing.T) {
	is := is.New(t)
	h := newDeadlyHarness(4)
	first := taskOf("first", 0)
	h.deadly[first] = true
	h.add("first", Policy{Stretch: 3, ObjectiveMillis: 500}, stepOf(1, 1000))
	for h.crashes[first] == 0 {
		h.step(20 * time.Millisecond)
	}
	h.core.Add(h.now, Job{JobID: "other", Queue: "other", Policy: Policy{Service: "service", MaxAttempts: 3, Stretch: 1.1, ObjectiveMillis: 100}, Steps: []Step{stepOf(1, 1000)}, AcceptedAt: h.now})
	for h.hostOf(taskOf("other", 0)) == "" {
		h.step(20 * time.Millisecond)
	}
	h.step(500 * time.Millisecond)
	h.add("second", Policy{Stretch: 3, ObjectiveMillis: 500}, stepOf(2, 1000))
	for h.hostOf(taskOf("second", 1)) == "" {
		h.step(20 * time.Millisecond)
	}
	is.Equal(h.hostOf(taskOf("second", 0)), h.hostOf(taskOf("second", 1))) // one job is tried together
	is.True(h.hostOf(taskOf("second", 0)) != h.hostOf(taskOf("other", 0)))
}

// TestSuspectsTriedAtTheSameTime guards against tasks that crash their workers and
// are acquitted by each other: workers that fall silent together right after the
// starts of suspects are no wide failure.
func TestSuspectsTriedAtTheSameTime(t *testing.T) {
	is := is.New(t)
	h := newDeadlyHarness(24)
	for i := range 6 {
		id := fmt.Sprintf("deadly%d", i)
		h.add(id, Policy{Stretch: 3, ObjectiveMillis: 500}, stepOf(1, 8000))
		h.deadly[TaskName{StepName: StepName{Job: requester.JobID(id)}}] = true
	}
	for range 2000 {
		h.step(20 * time.Millisecond)
	}
	is.Equal(h.core.Stats().GivenUp, int64(6))
	is.True(h.core.Stats().Starts <= 18) // three each at the most
}

// TestSuspectsWaitBesideRoom guards against suspects that wait for each other's
// trials while most of the room is free, as every worker runs something.
func TestSuspectsWaitBesideRoom(t *testing.T) {
	is := is.New(t)
	h := newDeadlyHarness(40)
	h.occupy(40, 1000)
	for i := range 16 {
		id := fmt.Sprintf("deadly%d", i)
		h.add(id, Policy{Stretch: 3, ObjectiveMillis: 500}, stepOf(1, 1000))
		h.deadly[taskOf(id, 0)] = true
	}
	for range 1000 {
		h.step(20 * time.Millisecond)
	}
	is.Equal(h.core.Stats().GivenUp, int64(16))
	is.Equal(h.core.Stats().LongWaits, int64(0)) // none has waited for longWait
}

// TestTrialsOfLostWorkers guards against suspects that wait for good, because workers
// on which others were tried are gone without a proof that they have ended.
func TestTrialsOfLostWorkers(t *testing.T) {
	is := is.New(t)
	h := newDeadlyHarness(4)
	h.occupy(4, 7000)
	for i := range 3 {
		id := fmt.Sprintf("suspect%d", i)
		h.add(id, Policy{Stretch: 3, ObjectiveMillis: 500}, stepOf(1, 300))
		h.accuse(id)
	}
	lost := make(map[requester.HostID]bool)
	for range 1000 {
		h.step(20 * time.Millisecond)
		for i := range 2 {
			if host := h.hostOf(taskOf(fmt.Sprintf("suspect%d", i), 0)); host != "" && len(lost) < 2 && !lost[host] {
				lost[host] = true
				h.crash(host)
				h.backAt[host] = h.now.Add(time.Hour) // listed, and never heard of again
			}
		}
	}
	is.Equal(len(lost), 2)
	is.True(h.hostOf(taskOf("suspect2", 0)) != "")
}

// TestSuspectGangStartsBesideFreshTasks guards against a gang under suspicion that
// starts where others have started just before: a crash then tells nothing, or it
// convicts the wrong one.
func TestSuspectGangStartsBesideFreshTasks(t *testing.T) {
	is := is.New(t)
	h := newDeadlyHarness(3)
	h.occupy(1, 1000)
	fresh := taskOf("fresh", 0)
	h.add("fresh", Policy{Stretch: 3, ObjectiveMillis: 500}, stepOf(1, 3000))
	gang := stepOf(2, 1000)
	gang.Gang = true
	h.add("gang", Policy{Stretch: 30, ObjectiveMillis: 5000}, gang)
	h.accuse("gang")
	for h.hostOf(taskOf("gang", 0)) == "" {
		h.step(20 * time.Millisecond)
	}
	is.Equal(h.startedAt[fresh], h.startedAt[taskOf("gang", 0)]) // in one pass
	is.True(h.hostOf(taskOf("gang", 0)) != h.hostOf(fresh))
	is.True(h.hostOf(taskOf("gang", 1)) != h.hostOf(fresh))
}
