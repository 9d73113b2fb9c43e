package scheduler

import (
	"math"
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

// chance returns the probability that an innocent task has crashes as telling as
// those of the task, by chance. That of each crash is no more than the share of
// innocent crashes that are as telling; so the product of several is not a
// probability, and Fisher's method turns it into one. Which of the runs crashed
// doesn't matter, but for those whose crash tells nothing.
func (t *task) chance() float64 {
	product, telling, runs := 1.0, 0, t.startedRuns
	for _, crash := range t.crashes.crashes {
		switch {
		case crash.ChancePPM < certainPPM:
			product *= float64(crash.ChancePPM) / certainPPM
			telling++
		case crash.Worker != "":
			runs--
		}
	}
	chance := combinedChance(product, telling)
	for i := range telling {
		chance *= float64(max(runs, telling)-i) / float64(i+1)
	}
	return min(1, chance)
}

// combinedChance returns the probability that the product of so many independent
// probabilities, each evenly distributed, is at most the given one.
func combinedChance(product float64, count int) float64 {
	if count == 0 {
		return 1
	}
	term, sum := 1.0, 0.0
	for i := range count {
		sum += term
		term *= -math.Log(product) / float64(i+1)
	}
	return min(1, product*sum)
}

// guilty reports whether the task is to be given up: whether its crashes are less
// likely by chance than by its guilt, which is the share of the tasks that crash their
// workers as far as is known before a crash. Of the lives recorded with the task,
// minCrashes must say something about it. From maxCrashes on these need not be proven:
// a task may crash its workers before they acknowledge the start.
func (t *task) guilty(deadlyShare float64) bool {
	h := t.crashes
	if h == nil {
		return false
	}
	telling := 0
	for _, crash := range h.crashes {
		if crash.ChancePPM < certainPPM && (!crash.Unproven || len(h.crashes) >= maxCrashes) {
			telling++
		}
	}
	return telling >= minCrashes && t.chance()*t.guiltyOdds() < deadlyShare
}

// guiltyOdds returns how many times likelier than chance the guilt of the task has to
// be for it to be given up. Once the next start may be one too many, it is as bad to
// go on with a guilty task as to give up an innocent one, and the likelier counts; a
// task of which no run has fared better gets nowhere anyway. The members of a gang
// start one after the other, some of them after the third crash, so a gang has one
// start less; there, any of its members may be the one that chance has hit.
func (t *task) guiltyOdds() float64 {
	lives, known, early := t.crashes.count()
	switch {
	case early >= manyCrashes && early >= t.startedRuns:
		return hopelessOdds
	case lives >= manyCrashes:
		return lastOdds
	case t.step.def.Gang && known >= manyCrashes-1:
		return min(laterOdds, lastOdds*float64(t.step.def.Count))
	case lives >= maxCrashes:
		return laterOdds
	}
	return firstOdds
}

// suspect reports whether the task has to start on trial: a worker crashed soon after a
// start of it, and that was unlikely by chance, or several crashes together were rather
// unlikely. A crash that says nothing of the task, such as one of many at the same time,
// counts for nothing.
func (h *crashHistory) suspect() bool {
	if h == nil {
		return false
	}
	product, telling, early := 1.0, 0, false
	for _, crash := range h.crashes {
		if crash.Worker == "" || crash.ChancePPM >= certainPPM {
			continue
		}
		product *= float64(crash.ChancePPM) / certainPPM
		telling++
		if crash.age() <= suspectAge {
			early = true
			if crash.ChancePPM < suspectPPM {
				return true
			}
		}
	}
	return early && telling >= minCrashes && combinedChance(product, telling) < suspectChance
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

// crashRate returns how many times a second a worker crashes by itself. A crash right
// after a start may be due to what was started, which othersChance counts; so the rate
// is that of the other crashes, in the time in which a worker has started nothing
// right before.
func (c *Core) crashRate() float64 {
	c.lostLives = slices.DeleteFunc(c.lostLives, func(life lostLife) bool { return c.now.Sub(life.silentAt) > crashMemory })
	observed := c.observed() + crashPrior
	return float64(c.lostBy(silenceUnexplained)+1) / (c.workerCount() * observed.Seconds() * (1 - c.freshShare()))
}

// deadlyShare returns which share of the tasks crash their workers, from those that
// have just done so beyond what chance explains: at least taskPrior.
func (c *Core) deadlyShare() float64 {
	byChance := c.crashRate() * c.workerCount() * c.observed().Seconds() * c.freshShare()
	starts := c.startRate() * c.observed().Seconds()
	return max(taskPrior, (float64(c.lostBy(silenceAfterStart))-byChance+1)/(starts+1/taskPrior))
}

// lostBy counts the lives that ended lately, and what explains it.
func (c *Core) lostBy(cause silenceCause) int {
	count := 0
	for _, life := range c.lostLives {
		if life.silence == cause {
			count++
		}
	}
	return count
}

// observed returns the time over which the owner has seen crashes that it remembers.
func (c *Core) observed() time.Duration { return min(crashMemory, c.now.Sub(c.tookOverAt)) }

func (c *Core) workerCount() float64 { return float64(max(1, len(c.sortedWorkers))) }

// startRate returns how many tasks the owner starts in a second.
func (c *Core) startRate() float64 {
	return float64(c.stats.Starts) / (c.now.Sub(c.tookOverAt) + crashPrior).Seconds()
}

// freshShare returns in which share of the time a worker has just started something.
func (c *Core) freshShare() float64 {
	return min(maxFresh, c.startRate()*silenceAge.Seconds()/c.workerCount())
}

// othersChance returns the probability, in millionths, that another task on the
// worker that started at about the same time, or later, is the cause.
func (c *Core) othersChance(w *worker, r *run, silentAt time.Time, age time.Duration) int64 {
	var chance int64
	fresh := int64(certainPPM * c.deadlyShare())
	for _, other := range w.runs {
		if other == r || other.task == nil || other.task.step.def.Gang && other.task.step == r.task.step || silentAt.Sub(other.startedAt) > 2*age {
			continue
		}
		// Of a gang under suspicion, the members beside which no worker crashed are none.
		if other.task.crashes.suspect() {
			chance += suspectPriorPPM
		} else {
			chance += fresh
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
