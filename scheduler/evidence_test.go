package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStartOnDeadWorkerIsNoEvidence guards against a worker that crashed before a
// start, and is taken for one that crashed right after it.
func TestStartOnDeadWorkerIsNoEvidence(t *testing.T) {
	is := is.New(t)
	h := newDeadlyHarness(1)
	h.step(20 * time.Millisecond)
	alive := h.now
	h.crash(h.infos[0].HostID)
	h.now = h.now.Add(180 * time.Millisecond) // no poll is due yet
	h.add("innocent", Policy{Stretch: 3, ObjectiveMillis: 500}, stepOf(1, 1000))
	h.core.SetWorkers(h.now, h.infos)
	task := h.core.jobs["innocent"].occurrences[0].steps[0].tasks[0]
	for task.crashes == nil {
		h.step(20 * time.Millisecond)
	}
	is.Equal(len(task.crashes.crashes), 1)
	found := task.crashes.crashes[0]
	is.True(found.Unproven)
	is.True(found.age() < 100*time.Millisecond) // the start
	w := h.core.sortedWorkers[0]
	is.True(w.silentAt.Sub(alive) >= 180*time.Millisecond)
	is.True(found.ChancePPM >= int64(certainPPM*0.18/(crashMemory+crashPrior).Seconds())) // the crash may have been at any time since the last answer
}

// TestCrashesOfIdleWorkersCount guards against a rate of crashes that leaves out the
// workers on which nothing ran, so that crashes by chance seem rarer than they are.
func TestCrashesOfIdleWorkersCount(t *testing.T) {
	is := is.New(t)
	h := newDeadlyHarness(12)
	before := h.core.crashRate()
	for i := range 6 {
		h.crash(h.infos[i].HostID)
	}
	for range 300 {
		h.step(20 * time.Millisecond)
	}
	is.Equal(len(h.core.lostLives), 6)
	is.True(h.core.crashRate() > before)
}

// TestCleanMemberAcquitsDeadlyTask guards against a task that seems innocent because
// a gang under suspicion was on its worker, of which only other members had crashes.
func TestCleanMemberAcquitsDeadlyTask(t *testing.T) {
	is := is.New(t)
	h := newDeadlyHarness(2)
	gang := stepOf(2, 5000)
	gang.Gang, gang.AntiAffinity = true, 1
	h.add("gang", Policy{Stretch: 3, ObjectiveMillis: 500}, gang)
	for h.hostOf(taskOf("gang", 1)) == "" {
		h.step(20 * time.Millisecond)
	}
	h.accuse("gang")
	h.add("singles", Policy{Stretch: 3, ObjectiveMillis: 500}, stepOf(2, 3000))
	for h.hostOf(taskOf("singles", 1)) == "" {
		h.step(20 * time.Millisecond)
	}
	beside := func(index int) int64 {
		for _, single := range h.core.jobs["singles"].occurrences[0].steps[0].tasks {
			if r := single.run; r.worker.info.HostID == h.hostOf(taskOf("gang", index)) {
				return h.core.othersChance(r.worker, r, h.now, time.Second)
			}
		}
		return 0
	}
	is.True(beside(0) >= suspectPriorPPM)
	is.True(beside(1) > 0 && beside(1) < suspectPriorPPM)
}
