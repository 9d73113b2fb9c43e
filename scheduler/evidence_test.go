package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// accusedTask returns a task of a step with so many tasks, with these lives.
func accusedTask(tasks int, gang bool, crashes ...crash) *task {
	def := stepOf(tasks, 1000)
	def.Gang = gang
	s := &step{def: &def}
	s.tasks()[0].crashes = &crashHistory{crashes: crashes}
	for _, known := range crashes {
		if known.Worker != "" {
			s.tasks()[0].startedRuns++
		}
	}
	return s.tasks()[0]
}

// crashAt returns a proven crash with a probability of chance.
func crashAt(run RunNumber, age time.Duration, ppm int64) crash {
	return crash{Run: run, Worker: "w", AgeMillis: age.Milliseconds(), ChancePPM: ppm}
}

// TestProductOfChancesConvictsInnocent guards against a product of probabilities
// that is taken for one: of an innocent task each crash has any of them.
func TestProductOfChancesConvictsInnocent(t *testing.T) {
	const rounds = 1_000_000
	random := rand.New(rand.NewPCG(1, 1))
	// Of a million innocent tasks whose workers crash that often, so many may be given
	// up: one is expected, 100 when the next start may be one too many, 1000 when it is,
	// and 2000 if no run fared better; these are the limits on the page, and room for
	// the draw.
	limits := []struct{ crashes, runs, most int }{{2, 2, 10}, {3, 3, 10}, {4, 4, 130}, {5, 6, 1100}, {5, 5, 2200}}
	for _, limit := range limits {
		crashes, most := limit.crashes, limit.most
		found := make([]crash, crashes)
		task := accusedTask(1, false, found...)
		task.startedRuns = limit.runs
		guilty := 0
		for range rounds {
			for i := range found {
				found[i] = crashAt(RunNumber(i+1), 100*time.Millisecond, 1+random.Int64N(certainPPM-1))
			}
			if task.guilty(taskPrior) {
				guilty++
			}
		}
		if guilty > most {
			t.Errorf("%d of %d innocent tasks are given up after %d crashes, at most %d may be", guilty, rounds, crashes, most)
		}
	}
}

// TestUnknownLivesConvictInnocent guards against a task that is given up for two
// crashes that say little, because three owners were lost: a life of unknown outcome
// is no evidence.
func TestUnknownLivesConvictInnocent(t *testing.T) {
	is := is.New(t)
	unknown := func(run RunNumber) crash { return crash{Run: run, ChancePPM: certainPPM} }
	is.True(!accusedTask(2, true, crashAt(1, 800*time.Millisecond, 23893), crashAt(2, 1930*time.Millisecond, 57088), unknown(3), unknown(4), unknown(5)).guilty(taskPrior))
	is.True(!accusedTask(6, false, crashAt(1, 1210*time.Millisecond, 34553), unknown(2), unknown(3), unknown(4), crashAt(5, 360*time.Millisecond, 12671)).guilty(taskPrior))
	// Two starts on workers that were dead before were no runs.
	deadBefore := func(run RunNumber, ppm int64) crash {
		return crash{Run: run, Worker: "w", AgeMillis: 10, ChancePPM: ppm, Unproven: true}
	}
	is.True(!accusedTask(5, true, deadBefore(1, 10579), crashAt(2, 1190*time.Millisecond, 58669), deadBefore(4, 43786), crashAt(5, 430*time.Millisecond, 27273)).guilty(taskPrior))
	// Two that say much suffice then.
	is.True(accusedTask(2, false, crashAt(1, 50*time.Millisecond, 3000), crashAt(2, 50*time.Millisecond, 3000), unknown(3), unknown(4), unknown(5)).guilty(taskPrior))
}

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
	task := h.core.jobs["innocent"].occurrences[0].steps[0].tasks()[0]
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
		for _, single := range h.core.jobs["singles"].occurrences[0].steps[0].tasks() {
			if r := single.run; r.worker.info.HostID == h.hostOf(taskOf("gang", index)) {
				return h.core.othersChance(r.worker, r, h.now, time.Second)
			}
		}
		return 0
	}
	is.True(beside(0) >= suspectPriorPPM)
	is.True(beside(1) > 0 && beside(1) < suspectPriorPPM)
}

// TestSuspicionNeedsEvidence guards against tasks that wait for a trial, beside free room,
// since their workers were lost with many others or for other known reasons.
func TestSuspicionNeedsEvidence(t *testing.T) {
	const early, late = 500, 3000
	life := func(chance, age int64) crash {
		return crash{Worker: "w", ChancePPM: chance, AgeMillis: age}
	}
	tests := []struct {
		name    string
		crashes []crash
		suspect bool
	}{
		{"none", nil, false},
		{"unknown lives", []crash{{ChancePPM: certainPPM}, {ChancePPM: 10}}, false},
		{"lost with many others", []crash{life(certainPPM, early), life(certainPPM, early), life(certainPPM, early)}, false},
		{"once, unlikely", []crash{life(20_000, early)}, true},
		{"once, unlikely, long after the start", []crash{life(20_000, late)}, false},
		{"once, likely", []crash{life(300_000, early)}, false},
		{"twice, likely", []crash{life(300_000, early), life(300_000, early)}, false},
		{"twice, unlikely together", []crash{life(80_000, early), life(80_000, late)}, true},
		{"twice, once with many others", []crash{life(80_000, early), life(certainPPM, early)}, false},
		{"four times", []crash{life(120_000, early), life(120_000, early), life(120_000, early), life(120_000, early)}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal((&crashHistory{crashes: test.crashes}).suspect(), test.suspect)
		})
	}
}
