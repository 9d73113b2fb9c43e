package scheduler

import (
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// A duel is a case of the search with one worker that matters. It has a past: an end of
// its life is to be acknowledged when a task starts on it and it begins another life. A
// few of the calls that it gets about then have no answers, and are executed by either
// life, in any order.

// duelCall names a call to the worker by its kind and its place among those of its kind.
type duelCall int

const (
	duelStart1 duelCall = iota
	duelStart2
	duelAcknowledgement1
	duelAcknowledgement2
	duelPoll1
	duelPoll2
	duelStop1
	duelStop2
	duelCalls
)

// duelFate is the fate of a call of a duel: that of a late call says when it is executed.
type duelFate int

const (
	duelAnswered duelFate = iota
	duelLost
	duelNever
	// duelSoon is executed after the shortest delay.
	duelSoon
	// The others are executed so long after the worker's birth, or after its second one.
	duelAtBirth
	duelEarly
	duelLater
	duelMuchLater
	duelAtSecondBirth
	duelFates
)

// The shortest delay of a late call, and how long after a birth late calls are executed.
const (
	duelShortest = 2 * time.Second
	duelMoment   = 2 * time.Second
)

var duelLandings = map[duelFate]time.Duration{duelAtBirth: 20 * time.Millisecond, duelEarly: 150 * time.Millisecond, duelLater: 700 * time.Millisecond, duelMuchLater: 2500 * time.Millisecond, duelAtSecondBirth: 30 * time.Millisecond}

// duel is what tells one duel from others.
type duel struct {
	fates [duelCalls]duelFate
	// slow and back delay calls and answers.
	slowCalls, slowAnswers [duelCalls]time.Duration
	workers                int
	// past is the job of which an end is to be acknowledged, task the one that starts
	// then, and next another one; none if it has no length.
	past, task, next livesJob
	rebornAt, down   time.Duration
	listedAfter      time.Duration
	// secondAfter is how long after its birth the worker begins one more life; 0 for never.
	secondAfter time.Duration
	// cutAfter is how long after its birth the worker is cut off for cutFor.
	cutAfter, cutFor time.Duration
	// unlisted keeps the worker off the list while it is cut off.
	unlisted bool
	// lostAt is when the owner is lost; 0 for never.
	lostAt         time.Duration
	lands, lingers bool
	held           bool
	slow           bool
	step           time.Duration
}

// birth and secondBirth are when the worker's next lives begin.
func (d *duel) birth() time.Duration { return d.rebornAt + d.down }

func (d *duel) secondBirth() time.Duration { return d.birth() + d.secondAfter + d.down }

// livesCase returns the case of the duel.
func (d *duel) livesCase() livesCase {
	c := livesCase{workers: d.workers, step: d.step, slow: d.slow, jobs: []livesJob{d.past, d.task}}
	if d.next.length > 0 {
		c.jobs = append(c.jobs, d.next)
	}
	c.faults = append(c.faults, livesFault{kind: faultRebirth, at: d.rebornAt, length: d.down, listedAfter: d.listedAfter})
	if d.secondAfter > 0 {
		c.faults = append(c.faults, livesFault{kind: faultRebirth, at: d.birth() + d.secondAfter, length: d.down, listedAfter: d.listedAfter})
	}
	if d.cutFor > 0 {
		c.faults = append(c.faults, livesFault{kind: faultCut, at: d.birth() + d.cutAfter, length: d.cutFor, unlisted: d.unlisted})
	}
	if d.lostAt > 0 {
		c.faults = append(c.faults, livesFault{kind: faultOwnerLost, at: d.lostAt, lands: d.lands, lingers: d.lingers})
	}
	c.fates = d.fateOf
	return c
}

// fateOf returns the fate of a call of a play.
func (d *duel) fateOf(c *livesCall, seen *[duelCalls]int) livesFate {
	fate := livesFate{held: d.held}
	if c.worker != 0 || c.at < duelMoment-300*time.Millisecond {
		return fate
	}
	first := duelPoll1
	switch {
	case c.kind == callStart:
		first = duelStart1
	case c.kind == callStop:
		first = duelStop1
	case c.ack > 0:
		first = duelAcknowledgement1
	}
	place := seen[first]
	seen[first]++
	if place > 1 {
		return fate
	}
	fate.slow, fate.back = d.slowCalls[first+duelCall(place)], d.slowAnswers[first+duelCall(place)]
	switch chosen := d.fates[first+duelCall(place)]; chosen {
	case duelAnswered:
	case duelLost:
		fate.kind = fateLost
	case duelNever:
		fate.kind = fateNever
	case duelSoon:
		fate.kind, fate.delay = fateLate, duelShortest
	default:
		fate.kind, fate.delay = fateLate, max(duelShortest, d.landing(chosen)-c.at)
	}
	return fate
}

// landing returns when a call with that fate is executed.
func (d *duel) landing(fate duelFate) time.Duration {
	if fate == duelAtSecondBirth && d.secondAfter > 0 {
		return d.secondBirth() + duelLandings[fate]
	}
	return d.birth() + duelLandings[fate]
}

// drawDuel draws a duel.
func drawDuel(seed uint64) livesCase {
	r := rand.New(rand.NewPCG(seed, 40))
	millis := func(from, to int) time.Duration { return time.Duration(from+r.IntN(to-from)) * time.Millisecond }
	oneIn := func(n int) bool { return r.IntN(n) == 0 }
	d := &duel{
		workers: 1 + r.IntN(2), past: livesJob{at: duelMoment - millis(0, 500), length: millis(10, 200)},
		task: livesJob{at: duelMoment + millis(0, 100), length: millis(1, 60)}, down: millis(50, 150),
		rebornAt: duelMoment + millis(0, 500), listedAfter: millis(0, 1500), held: oneIn(2), slow: oneIn(6),
		step: []time.Duration{20, 50, 100}[r.IntN(3)] * time.Millisecond,
	}
	if oneIn(2) {
		d.rebornAt = duelMoment + millis(500, 9000)
	}
	switch r.IntN(4) {
	case 0:
		d.task.length = millis(60, 2000)
	case 1:
		d.task.length = millis(2000, 10000)
	}
	if oneIn(6) {
		d.task.gang, d.workers = true, 2
	}
	if oneIn(2) {
		d.next = livesJob{at: duelMoment + millis(0, 1500), length: millis(1, 300)}
	}
	if oneIn(3) {
		d.secondAfter = millis(50, 9000)
	}
	if oneIn(2) {
		d.cutAfter, d.cutFor, d.unlisted = millis(-300, 1500), millis(1000, 14000), oneIn(4)
		if oneIn(6) {
			d.cutFor = millis(14000, 30000)
		}
	}
	if oneIn(3) {
		d.lostAt, d.lands, d.lingers = duelMoment+millis(0, 4000), oneIn(2), oneIn(3)
	}
	for range r.IntN(5) {
		d.fates[r.IntN(int(duelCalls))] = duelFate(r.IntN(int(duelFates)))
	}
	for range r.IntN(3) {
		d.slowCalls[r.IntN(int(duelCalls))] = millis(0, 690)
		d.slowAnswers[r.IntN(int(duelCalls))] = millis(0, 690)
	}
	c := d.livesCase()
	c.seed, c.clocksFromZero = seed, seed%2 == 0
	return c
}

// drawQuickDuel draws a duel in which two lives begin while a start is on its way, and the
// list shows the first of them at once.
func drawQuickDuel(seed uint64) livesCase {
	r := rand.New(rand.NewPCG(seed, 41))
	millis := func(from, to int) time.Duration { return time.Duration(from+r.IntN(to-from)) * time.Millisecond }
	listed := (duelMoment/livesListEvery + 1) * livesListEvery
	d := &duel{
		workers: 1 + r.IntN(2), past: livesJob{at: listed - time.Second, length: millis(10, 1000)},
		task: livesJob{at: listed - millis(150, 400), length: millis(50, 3000)}, down: 50 * time.Millisecond,
		rebornAt: listed - millis(60, 140), secondAfter: millis(60, 400), step: 20 * time.Millisecond, held: r.IntN(2) == 0,
	}
	d.slowCalls[duelStart1], d.slowAnswers[duelStart1] = millis(200, 690), millis(0, 100)
	d.slowAnswers[duelPoll1], d.slowAnswers[duelPoll2] = millis(0, 690), millis(0, 690)
	if r.IntN(3) == 0 {
		d.lostAt, d.lands, d.lingers = listed+millis(-200, 1000), r.IntN(2) == 0, r.IntN(3) == 0
	}
	c := d.livesCase()
	c.seed, c.clocksFromZero = seed, seed%2 == 0
	return c
}

// duelScenes returns the scenes of the grid: duels whose calls are all answered.
func duelScenes() []duel {
	const ms = time.Millisecond
	pasts := []livesJob{{at: duelMoment - 250*ms, length: 100 * ms}, {at: duelMoment - 100*ms, length: 60 * ms}}
	tasks := []livesJob{{at: duelMoment, length: 15 * ms}, {at: duelMoment, length: 700 * ms}, {at: duelMoment, length: 6000 * ms}, {at: duelMoment, length: 700 * ms, gang: true}}
	nexts := []livesJob{{}, {at: duelMoment + 60*ms, length: 15 * ms}, {at: duelMoment + 900*ms, length: 15 * ms}}
	rebirths := []time.Duration{100 * ms, 150 * ms, 400 * ms, 2200 * ms, 5 * time.Second, 9 * time.Second}
	cuts := []struct{ after, length time.Duration }{{}, {300 * ms, 8 * time.Second}, {0, 11 * time.Second}}
	var scenes []duel
	add := func(d duel) { scenes = append(scenes, d) }
	for _, past := range pasts {
		for _, task := range tasks {
			for _, next := range nexts {
				for _, rebornAt := range rebirths {
					for _, listedAfter := range []time.Duration{0, 1200 * ms} {
						for _, cut := range cuts {
							for _, secondAfter := range []time.Duration{0, 300 * ms, 4 * time.Second} {
								add(duel{
									workers: 2, past: past, task: task, next: next, rebornAt: duelMoment + rebornAt, down: 50 * ms, listedAfter: listedAfter,
									cutAfter: cut.after, cutFor: cut.length, secondAfter: secondAfter, step: 50 * ms, held: true,
								})
							}
						}
					}
				}
			}
		}
	}
	return scenes
}

// duelOwners are the losses of the owner in the grid, from the duel's moment on.
var duelOwners = []time.Duration{0, 100 * time.Millisecond, time.Second, 4 * time.Second}

// withFates calls do with the duel and each choice of fates of some calls, none of which is
// answered.
func (d duel) withFates(calls []duelCall, do func(duel)) {
	if len(calls) == 0 {
		do(d)
		return
	}
	for fate := duelLost; fate < duelFates; fate++ {
		if fate == duelAtSecondBirth && d.secondAfter == 0 || fate > duelSoon && fate < duelAtSecondBirth && d.rebornAt < duelMoment+duelShortest {
			continue
		}
		d.fates[calls[0]] = fate
		d.withFates(calls[1:], do)
	}
}

// duelSets returns the sets of calls of a size from first on.
func duelSets(first duelCall, size int) [][]duelCall {
	if size == 0 {
		return [][]duelCall{nil}
	}
	var sets [][]duelCall
	for call := first; call < duelCalls; call++ {
		for _, rest := range duelSets(call+1, size-1) {
			sets = append(sets, append([]duelCall{call}, rest...))
		}
	}
	return sets
}

// TestLivesGrid guards against a task that runs twice for any fates of a few calls about a
// rebirth. It plays each duel of the grid, or a part of them.
//
//	KUMQUATSTALL_GRID=2 KUMQUATSTALL_GRID_EVERY=1 go test ./scheduler -run TestLivesGrid -timeout 2h
//
// plays all duels with up to two calls without an answer in time.
func TestLivesGrid(t *testing.T) {
	most, every := gridNumber(t, "KUMQUATSTALL_GRID", 2), gridNumber(t, "KUMQUATSTALL_GRID_EVERY", 3001)
	scenes := duelScenes()
	for size := range most + 1 {
		for _, calls := range duelSets(0, size) {
			t.Run(duelName(calls), func(t *testing.T) {
				duels := gridDuels(scenes, calls, every)
				reportSearch(t, 0, uint64(len(duels)), func(index uint64) livesCase {
					c := duels[index].livesCase()
					storeStartsFirst(&c)
					return c
				})
			})
		}
	}
}

// gridDuels returns one in so many duels of a set of calls.
func gridDuels(scenes []duel, calls []duelCall, every int) []duel {
	var duels []duel
	number := 0
	for _, scene := range scenes {
		for _, lostAfter := range duelOwners {
			if scene.lostAt = 0; lostAfter > 0 {
				scene.lostAt = duelMoment + lostAfter
			}
			scene.withFates(calls, func(d duel) {
				if number%every == 0 {
					duels = append(duels, d)
				}
				number++
			})
		}
	}
	return duels
}

func gridNumber(t *testing.T, name string, fallback int) int {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	number, err := strconv.Atoi(text)
	if err != nil || number < 1 {
		t.Fatalf("%s: %q is no positive number", name, text)
	}
	return number
}

// duelName returns the names of calls.
func duelName(calls []duelCall) string {
	names := [...]string{"start 1", "start 2", "acknowledgement 1", "acknowledgement 2", "poll 1", "poll 2", "stop 1", "stop 2"}
	if len(calls) == 0 {
		return "all answered"
	}
	var text []string
	for _, call := range calls {
		text = append(text, names[call])
	}
	return strings.Join(text, ", ")
}

// reportSearch plays cases and reports those that fail, by their problem.
func reportSearch(t *testing.T, first, count uint64, draw func(uint64) livesCase) {
	t.Helper()
	failing := livesSearch(first, count, draw)
	total := 0
	for _, problem := range sortedKeys(failing) {
		slices.Sort(failing[problem])
		total += len(failing[problem])
		reportLives(t, problem, failing[problem], draw)
	}
	t.Logf("%d of %d cases failed, %d kinds of failures", total, count, len(failing))
}

// TestLivesMutations checks that the search finds what is broken on purpose, in cases
// that pass otherwise.
func TestLivesMutations(t *testing.T) {
	mutations := []struct {
		name    string
		draw    func(uint64) livesCase
		problem string
		mutate  func(*Core)
	}{
		{"open starts are taken for never executed", drawDuel, "start after a noted end", func(c *Core) {
			for _, task := range slices.Clone(c.openTasks) {
				c.closeStart(task)
			}
		}},
		{"open starts are never closed", drawDuel, "waits", func(c *Core) {
			for _, task := range c.openTasks {
				task.open.Until = c.now.Add(time.Minute)
			}
		}},
		{"the leases of silent workers are not waited for", drawLives, "two runs at once", func(c *Core) {
			for _, w := range c.sortedWorkers {
				if w.unanswered > 0 {
					w.leaseDeadline = 0
				}
			}
		}},
		{"workers end at once what has no lease", drawKills, "two runs at once", func(c *Core) { c.options.LongestStop = 0 }},
		{"what an acceptance says counts for the present life", drawDuel, "two runs at once", func(c *Core) {
			for _, w := range c.sortedWorkers {
				for _, r := range w.runs {
					if !r.acknowledgedAt.IsZero() && r.task != nil {
						r.reported = true
						c.settle(r)
					}
				}
			}
		}},
		{"ends are acknowledged before they are committed", drawLives, "start after a noted end", func(c *Core) {
			for _, w := range c.sortedWorkers {
				w.committedEnd, w.pendingEnds, w.unverifiedEnds = w.appliedEnd, nil, nil
			}
		}},
	}
	const cases = 3000
	for _, m := range mutations {
		t.Run(m.name, func(t *testing.T) {
			for seed := range uint64(cases) {
				mutated := m.draw(seed)
				mutated.mutate = m.mutate
				if strings.HasPrefix(playLives(mutated, false).kind, m.problem) && playLives(m.draw(seed), false).problem == "" {
					t.Logf("seed %d fails", seed)
					return
				}
			}
			t.Errorf("no case of %d fails with %q", cases, m.problem)
		})
	}
}

// playDuel plays a duel, and reports its trace if it fails.
func playDuel(t *testing.T, d duel) {
	t.Helper()
	if outcome := playLives(d.livesCase(), true); outcome.problem != "" {
		t.Errorf("%s\n%s", outcome.problem, strings.Join(outcome.trace, "\n"))
	}
}

// TestAcknowledgementAfterAStartThatWasGivenUp guards against an end of an open start that a later acknowledgement makes its life forget.
func TestAcknowledgementAfterAStartThatWasGivenUp(t *testing.T) {
	d := duel{
		workers: 2, past: livesJob{at: 1750 * time.Millisecond, length: 400 * time.Millisecond}, task: livesJob{at: duelMoment, length: 15 * time.Millisecond},
		rebornAt: 7 * time.Second, down: 50 * time.Millisecond, cutAfter: 300 * time.Millisecond, cutFor: 8 * time.Second, step: 50 * time.Millisecond,
	}
	d.fates[duelStart2], d.fates[duelAcknowledgement1] = duelAtBirth, duelLater
	playDuel(t, d)
}

// TestAcknowledgementAfterAStartAnsweredByTheNextLife guards against the same where an unknown life has accepted the start, and nothing is late.
func TestAcknowledgementAfterAStartAnsweredByTheNextLife(t *testing.T) {
	playDuel(t, duel{
		workers: 1, past: livesJob{at: 1647 * time.Millisecond, length: 113 * time.Millisecond}, task: livesJob{at: 2003 * time.Millisecond, length: 10 * time.Millisecond},
		rebornAt: 2033 * time.Millisecond, down: 124 * time.Millisecond, listedAfter: 861 * time.Millisecond, step: 100 * time.Millisecond,
	})
}

// TestStartAnsweredByALifeAfterTheListedOne guards against a run taken for never executed, as a slow report of the life before lacks it.
func TestStartAnsweredByALifeAfterTheListedOne(t *testing.T) {
	d := duel{
		workers: 2, past: livesJob{at: time.Second, length: 50 * time.Millisecond}, task: livesJob{at: 2646 * time.Millisecond, length: 4374 * time.Millisecond},
		rebornAt: 2715 * time.Millisecond, down: 78 * time.Millisecond, secondAfter: 108 * time.Millisecond, step: 20 * time.Millisecond,
	}
	d.slowCalls[duelStart1], d.slowAnswers[duelStart1] = 260*time.Millisecond, 46*time.Millisecond
	d.slowCalls[duelPoll1], d.slowAnswers[duelPoll1] = 50*time.Millisecond, 254*time.Millisecond
	d.slowCalls[duelPoll2], d.slowAnswers[duelPoll2] = 50*time.Millisecond, 254*time.Millisecond
	playDuel(t, d)
}
