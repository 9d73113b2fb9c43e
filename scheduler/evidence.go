package scheduler

import (
	"slices"
	"time"

	"kumquatstall/requester"
)

// How strong the evidence against a task is follows from how likely its workers crashed
// by chance: from the rate of crashes, from what else had just started there, and from
// the workers that fell silent at the same time.

// lostLife is an incarnation of a worker that has ended.
type lostLife struct {
	worker   requester.HostID
	silentAt time.Time
	silence  silenceCause
}

// chance returns the probability that so many of the task's runs crashed by
// chance. A gang starts again whichever member's worker crashes, so the crashes
// may have come together under any of its members.
func (t *task) chance() float64 {
	h := t.crashes
	chance := 1.0
	for i, crash := range h.crashes {
		chance *= float64(crash.ChancePPM) / certainPPM
		// Which of the runs crashed doesn't matter.
		chance *= float64(max(t.startedRuns, len(h.crashes))-i) / float64(i+1)
	}
	if t.step.def.Gang {
		chance *= float64(len(t.step.tasks))
	}
	return min(1, chance)
}

// guiltyChances are, by the number of lives recorded with a task, the
// probabilities of chance below which the task is given up. The last one holds
// for all higher numbers.
var guiltyChances = [...]float64{0, 0, 1e-5, 1e-5, 1e-4, 5e-2}

// guilty reports whether the task is to be given up. Of the lives recorded with
// it, minCrashes must say something about the task. From maxCrashes on these
// need not be proven: a task may crash its workers before they acknowledge the
// start. Once manyCrashes workers have crashed soon after a start of it, and fewer
// have not, the probability doesn't matter.
func (t *task) guilty() bool {
	h := t.crashes
	if h == nil {
		return false
	}
	telling, early := 0, 0
	for _, crash := range h.crashes {
		if crash.ChancePPM < certainPPM && (!crash.Unproven || len(h.crashes) >= maxCrashes) {
			telling++
		}
		if crash.Worker != "" && crash.age() <= suspectAge {
			early++
		}
	}
	if telling < minCrashes {
		return false
	}
	return early >= manyCrashes && 2*early > t.startedRuns || t.chance() < guiltyChances[min(len(h.crashes), len(guiltyChances)-1)]
}

// suspect reports whether the task has to start on trial: a worker crashed soon
// after a start of it, and that was unlikely by chance or not the first one.
func (h *crashHistory) suspect() bool {
	if h == nil {
		return false
	}
	crashes, early := 0, false
	for _, crash := range h.crashes {
		if crash.Worker == "" {
			continue
		}
		crashes++
		if crash.age() <= suspectAge {
			early = true
			if crash.ChancePPM < suspectPPM {
				return true
			}
		}
	}
	return early && crashes >= minCrashes
}

// crashChance returns the probability, in millionths, that the worker crashes by
// chance within the given time from the start of the run. A worker that has not
// acknowledged the start may have crashed before it, at any time since aliveAt.
func (c *Core) crashChance(w *worker, r *run, silentAt, aliveAt time.Time, age, youngest time.Duration) int64 {
	if r.tracked || c.wideFailure(w, r, silentAt) {
		return certainPPM
	}
	within := age
	if r.acknowledgedAt.IsZero() && !aliveAt.IsZero() {
		within = max(age, silentAt.Sub(aliveAt))
	}
	chance := int64(certainPPM * c.crashRate() * within.Seconds())
	if age >= explainedFactor*youngest && age >= minTrial || r.acknowledgedAt.IsZero() && youngest <= silenceAge {
		chance = max(chance, explainedPPM)
	}
	chance += c.othersChance(w, r, silentAt, age)
	return min(certainPPM, max(1, chance))
}

// crashRate returns how many times a second a worker crashes, whatever the cause:
// where tasks crash workers too, that is more than by chance alone, and errs in
// favour of the innocent.
func (c *Core) crashRate() float64 {
	c.lostLives = slices.DeleteFunc(c.lostLives, func(life lostLife) bool { return c.now.Sub(life.silentAt) > crashMemory })
	workers := float64(max(1, len(c.sortedWorkers)))
	observed := min(crashMemory, c.now.Sub(c.tookOverAt)) + crashPrior
	return float64(len(c.lostLives)+1) / (workers * observed.Seconds())
}

// othersChance returns the probability, in millionths, that another task on the
// worker that started at about the same time, or later, is the cause.
func (c *Core) othersChance(w *worker, r *run, silentAt time.Time, age time.Duration) int64 {
	var chance int64
	for _, other := range w.runs {
		if other == r || other.task == nil || other.task.step.def.Gang && other.task.step == r.task.step || silentAt.Sub(other.startedAt) > 2*age {
			continue
		}
		// Of a gang under suspicion, the members beside which no worker crashed are none.
		if other.task.crashes.suspect() {
			chance += suspectPriorPPM
		} else {
			chance += taskPriorPPM
		}
	}
	return chance
}

// wideFailure reports whether a worker fell silent together with others that
// did not run the same gang.
func (c *Core) wideFailure(w *worker, r *run, silentAt time.Time) bool {
	others := c.silentNear(silentAt)
	delete(others, w.info.HostID)
	if s := r.task.step; s.def.Gang {
		for _, id := range s.hosts {
			delete(others, id)
		}
	}
	return c.wide(others, silentAt)
}

// wide reports whether workers that fell silent at about a time are a wide failure:
// several are not explained by a start, or they are many of the workers that there
// were. Workers that fell silent right after the start of a suspect on trial count
// for neither: many suspects may be tried at the same time.
func (c *Core) wide(silent map[requester.HostID]silenceCause, at time.Time) bool {
	unexplained, fallen, sound := 0, 0, 0
	for _, cause := range silent {
		if cause == silenceUnexplained {
			unexplained++
		}
		if cause != silenceOnTrial {
			fallen++
		}
	}
	for _, w := range c.sortedWorkers {
		if _, fell := silent[w.info.HostID]; !fell && !w.ended && !w.bootedAt.After(at) {
			sound++
		}
	}
	return unexplained >= wideCrashes || fallen >= wideCrashes && float64(fallen) > wideShare*float64(fallen+sound)
}

// silentNear returns the workers that fell silent at about a time, and what
// explains it.
func (c *Core) silentNear(at time.Time) map[requester.HostID]silenceCause {
	found := make(map[requester.HostID]silenceCause)
	for _, life := range c.lostLives {
		if life.silentAt.Sub(at).Abs() <= wideWindow {
			found[life.worker] = life.silence
		}
	}
	for _, w := range c.sortedWorkers {
		// A worker that never answered this owner may have fallen silent earlier.
		if w.reported && w.unanswered > 0 && w.silentAt.Sub(at).Abs() <= wideWindow {
			found[w.info.HostID] = w.silence
		}
	}
	return found
}
