package scheduler

import (
	"fmt"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// A call without an answer may be executed later, by whatever life is at the worker then,
// and in any order with other such calls. The search of this file plays cells of two or
// three workers and a few tiny tasks, in which an adversary chooses the fate of each call,
// and checks from the workers' point of view that no task runs twice. A failing case is
// shrunk and printed with its trace.

// livesDraw draws the parts of a case, which gather about few moments.
type livesDraw struct {
	*rand.Rand
	livesCase
}

// drawLives draws a case.
func drawLives(seed uint64) livesCase {
	r := rand.New(rand.NewPCG(seed, 39))
	d := livesDraw{r, livesCase{
		seed: seed, workers: 2 + r.IntN(2), step: []time.Duration{20, 50, 100}[r.IntN(3)] * time.Millisecond,
		plain: r.IntN(6) == 0, slow: r.IntN(5) == 0, slowClocks: r.IntN(2) == 0, pastEnds: int64(r.IntN(2) * 3), clocksFromZero: seed%2 == 0,
	}}
	moment := d.millis(1500, 4000)
	for range 1 + r.IntN(3) {
		d.gather(moment)
		moment += d.millis(300, 9000)
	}
	if len(d.jobs) > livesMaxJobs {
		d.jobs = d.jobs[:livesMaxJobs]
	}
	return d.livesCase
}

// livesMaxJobs is how many jobs a case has at most; their numbers have one digit.
const livesMaxJobs = 9

func (d *livesDraw) millis(from, to int) time.Duration {
	return time.Duration(from+d.IntN(to-from)) * time.Millisecond
}

func (d *livesDraw) oneIn(n int) bool { return d.IntN(n) == 0 }

// gather adds jobs and faults about a moment.
func (d *livesDraw) gather(moment time.Duration) {
	for range 1 + d.IntN(4) {
		j := livesJob{at: max(300*time.Millisecond, moment+d.millis(-1500, 2000)), length: d.millis(1, 1200), gang: d.oneIn(5)}
		if d.oneIn(3) {
			j.length = d.millis(2000, 11000)
		}
		d.jobs = append(d.jobs, j)
	}
	// Tasks are packed, so that most of them are on the first worker.
	worker := 0
	if d.oneIn(4) {
		worker = d.IntN(d.workers)
	}
	weights := [4]int{d.IntN(8), d.IntN(4), d.IntN(8), d.IntN(4)}
	if weights == [4]int{} {
		weights[fateLate] = 1
	}
	storm := livesStorm{worker: worker, from: moment + d.millis(-300, 100), to: moment + d.millis(100, 3000), weights: weights}
	d.storms = append(d.storms, storm)
	at := moment + d.millis(0, 2500)
	for range d.IntN(4) {
		d.rebirth(worker, at)
		at += d.millis(150, 1000+d.IntN(11000))
	}
	if d.oneIn(3) {
		d.cut(worker, moment+d.millis(0, 4000))
	}
	if d.oneIn(4) {
		d.faults = append(d.faults, livesFault{kind: faultOwnerLost, at: moment + d.millis(0, 4000), length: d.millis(0, 600), lands: d.oneIn(2), lingers: d.oneIn(3)})
	}
}

// rebirth adds a rebirth, and perhaps a cut right after it.
func (d *livesDraw) rebirth(worker int, at time.Duration) {
	down := d.millis(50, 150)
	if d.oneIn(2) {
		down = d.millis(50, 2000)
	}
	d.faults = append(d.faults, livesFault{kind: faultRebirth, worker: worker, at: at, length: down, listedAfter: d.millis(0, 1500), refuses: d.oneIn(2), unlisted: d.oneIn(8)})
	if d.oneIn(4) {
		d.cut(worker, at+down+d.millis(0, 1000))
	}
}

// cut adds a cut, which may also keep the worker off the list.
func (d *livesDraw) cut(worker int, at time.Duration) {
	f := livesFault{kind: faultCut, worker: worker, at: at, length: d.millis(1000, 14000), listedAfter: d.millis(0, 1500), unlisted: d.oneIn(4)}
	if d.oneIn(6) {
		f.length = d.millis(14000, 30000)
	}
	d.faults = append(d.faults, f)
}

// shrink removes what a failing case does not need.
func (c livesCase) shrink(outcome *livesOutcome) (livesCase, *livesOutcome) {
	same := func(next livesCase) bool {
		found := playLives(next, false)
		if found.kind != outcome.kind {
			return false
		}
		c, outcome = next, found
		return true
	}
	for again := true; again; {
		again = false
		for i := len(c.faults) - 1; i >= 0; i-- {
			next := c
			next.faults = slices.Delete(slices.Clone(c.faults), i, i+1)
			again = same(next) || again
		}
		for i := len(c.jobs) - 1; i >= 0; i-- {
			next := c
			next.jobs = slices.Clone(c.jobs)
			next.jobs[i].removed = true
			if !c.jobs[i].removed {
				again = same(next) || again
			}
		}
		for _, call := range slices.Clone(outcome.unanswered) {
			next := c
			next.calm = make(map[callKey]bool, len(c.calm)+1)
			for key := range c.calm {
				next.calm[key] = true
			}
			next.calm[call.key()] = true
			again = same(next) || again
		}
		for _, simpler := range []func(*livesCase){
			func(c *livesCase) { c.slow = false },
			func(c *livesCase) { c.endsPerReport = 0 },
			func(c *livesCase) { c.slowClocks = false },
			func(c *livesCase) { c.kills = 0 },
			func(c *livesCase) { c.pastEnds = 0 },
			func(c *livesCase) { c.skewed = false },
		} {
			next := c
			simpler(&next)
			if next.slow != c.slow || next.endsPerReport != c.endsPerReport || next.slowClocks != c.slowClocks || next.pastEnds != c.pastEnds || next.kills != c.kills || next.skewed != c.skewed {
				again = same(next) || again
			}
		}
	}
	return c, outcome
}

// describe returns the parts of a case.
func (c livesCase) describe() string {
	text := fmt.Sprintf("seed %d, %d workers, step %v, plain %v, slow store %v, slow clocks %v, kills %v, past ends %d, ends per report %d, skewed births %v, owner clocks %v", c.seed, c.workers, c.step, c.plain, c.slow, c.slowClocks, c.kills, c.pastEnds, c.endsPerReport, c.skewed, c.ownerClocks)
	for _, f := range c.faults {
		text += fmt.Sprintf("\n  fault %v w%d at %.3f for %v, listed after %v, unlisted %v, refuses %v, moves %v, taken %v, lives %d", f.kind, f.worker, f.at.Seconds(), f.length, f.listedAfter, f.unlisted, f.refuses, f.moves, f.taken, f.lives)
	}
	return text
}

// livesSearch plays the cases of seeds and returns the failing ones by their problem.
func livesSearch(first, count uint64, draw func(uint64) livesCase) (failing map[string][]uint64) {
	failing = make(map[string][]uint64)
	var mu sync.Mutex
	var group sync.WaitGroup
	next := first
	for range min(3, runtime.GOMAXPROCS(0)) {
		group.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				mu.Unlock()
				if seed >= first+count {
					return
				}
				outcome := playLives(draw(seed), false)
				if outcome.problem != "" {
					mu.Lock()
					failing[outcome.kind] = append(failing[outcome.kind], seed)
					mu.Unlock()
				}
			}
		})
	}
	group.Wait()
	return failing
}

// livesSeeds is how many seeds of each kind TestLivesSearch plays in CI.
const livesSeeds = 1000

// TestLivesSearch guards against a task that runs twice, as calls without an answer are
// executed by a later life of their worker, in any order.
//
//	KUMQUATSTALL_SEED=100000 KUMQUATSTALL_SEEDS=50000 go test ./scheduler -run TestLivesSearch
//
// plays 50,000 cases of each kind from the seed 100,000 on.
func TestLivesSearch(t *testing.T) {
	kinds := []struct {
		name string
		draw func(seed uint64) livesCase
		vary func(*livesCase)
	}{
		{"one owner", drawLives, oneOwner},
		{"owners lost once their starts are stored", drawLives, storeStartsFirst},
		{"owners lost at any moment", drawLives, func(*livesCase) {}},
		{"short reports", drawLives, reportShortly},
		{"duels, one owner", drawDuel, oneOwner},
		{"duels, owners lost once their starts are stored", drawDuel, storeStartsFirst},
		{"duels, owners lost at any moment", drawDuel, func(*livesCase) {}},
		{"two quick rebirths, one owner", drawQuickDuel, oneOwner},
		{"two quick rebirths, owners lost once their starts are stored", drawQuickDuel, storeStartsFirst},
		{"slow kills, one owner", drawKills, oneOwner},
		{"an owner that stands still", drawFreezes, oneOwner},
		{"starts right after a takeover", drawTakeovers, storeStartsFirst},
		{"owners lost in series after their starts", drawSeries, func(*livesCase) {}},
		{"owners lost in series once their starts are stored", drawSeries, storeStartsFirst},
		{"slow kills, owners lost once their starts are stored", drawKills, storeStartsFirst},
		{"births out of order, one owner", drawBirths, oneOwner},
		{"births out of order, owners lost at any moment", drawBirths, func(*livesCase) {}},
		{"silent over owners in series", drawClocks, func(*livesCase) {}},
		{"moved workers, one owner", drawMoves, oneOwner},
		{"moved workers, owners lost at any moment", drawMoves, func(*livesCase) {}},
	}
	first, count := livesSeedsToPlay(t)
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			reportSearch(t, first, count, func(seed uint64) livesCase {
				c := kind.draw(seed)
				kind.vary(&c)
				return c
			})
		})
	}
}

// oneOwner takes the losses of the owner out of a case.
func oneOwner(c *livesCase) {
	c.faults = slices.DeleteFunc(c.faults, func(f livesFault) bool { return f.kind == faultOwnerLost })
}

// reportShortly lets the reports of workers list few ends.
func reportShortly(c *livesCase) {
	oneOwner(c)
	c.endsPerReport = 1 + int(c.seed%3)
}

// storeStartsFirst lets owners be lost only once their starts are stored, so that none that
// goes on issues others.
func storeStartsFirst(c *livesCase) {
	c.storedFirst = true
	for i := range c.faults {
		c.faults[i].lingers = false
	}
}

// livesSeedsToPlay returns the first seed and how many to play.
func livesSeedsToPlay(t *testing.T) (first, count uint64) {
	t.Helper()
	first, count = seedsFrom(t, 1, 1)[0], livesSeeds
	if os.Getenv("KUMQUATSTALL_SEED") != "" {
		count = 1
	}
	if text := os.Getenv("KUMQUATSTALL_SEEDS"); text != "" {
		number, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			t.Fatalf("KUMQUATSTALL_SEEDS: %v", err)
		}
		count = number
	}
	return first, count
}

// reportLives reports a kind of failures, with the shortest trace among a few seeds.
func reportLives(t *testing.T, problem string, seeds []uint64, draw func(uint64) livesCase) {
	t.Helper()
	var best livesCase
	var trace []string
	for _, seed := range seeds[:min(len(seeds), 5)] {
		c := draw(seed)
		c, _ = c.shrink(playLives(c, false))
		if found := playLives(c, true); trace == nil || len(found.trace) < len(trace) {
			best, trace = c, found.trace
		}
	}
	t.Errorf("%s\n%d seeds, first %v\n%s\n%s", problem, len(seeds), seeds[:min(len(seeds), 12)], best.describe(), strings.Join(trace, "\n"))
}
