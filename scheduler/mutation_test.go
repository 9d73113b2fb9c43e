package scheduler

import (
	"testing"
	"time"
)

// TestMutationsAreCaught breaks one rule of the core at a time and expects the
// checks of the random runs to notice: each check can fail.
func TestMutationsAreCaught(t *testing.T) {
	forRuns := func(c *Core, do func(*worker, *run)) {
		for _, w := range c.sortedWorkers {
			for _, r := range w.sortedRuns() {
				do(w, r)
			}
		}
	}
	mutations := []struct {
		name    string
		options worldOptions
		mutate  func(*Core)
	}{
		{"room of what is being stopped is given away", worldOptions{cancel: 0.6}, func(c *Core) {
			forRuns(c, func(w *worker, r *run) {
				if r.phase == runStopping {
					c.release(r)
				}
			})
		}},
		{"a start without an answer is forgotten", worldOptions{lost: 0.1, late: 0.1}, func(c *Core) {
			forRuns(c, func(w *worker, r *run) {
				if r.phase == runUnacknowledged {
					c.release(r)
				}
			})
		}},
		{"the lease of a silent worker isn't waited out", worldOptions{cut: 4}, func(c *Core) {
			for _, w := range c.sortedWorkers {
				if w.unanswered > 0 {
					w.leaseDeadline = 0
				}
			}
		}},
		{"ends are confirmed before they are stored", worldOptions{takeover: 15}, func(c *Core) {
			for _, w := range c.sortedWorkers {
				w.committedEnd, w.pendingEnds = w.appliedEnd, nil
			}
		}},
		{"steps that may be running unseen are started", worldOptions{takeover: 4, cut: 6}, func(c *Core) {
			for _, s := range c.open {
				s.mayHaveUnknownRuns = false
			}
		}},
		{"leases of an earlier owner are not counted", worldOptions{takeover: 4, cut: 6}, func(c *Core) {
			for _, w := range c.sortedWorkers {
				if !w.reported {
					w.unreportedSince = time.Time{}
				}
			}
		}},
		{"steps start before they are stored as begun", worldOptions{takeover: 10, cut: 6}, func(c *Core) {
			c.eager = true
		}},
		{"room is counted only once a worker confirms it", worldOptions{}, func(c *Core) {
			for _, w := range c.sortedWorkers {
				w.allocated.MilliCores, w.allocated.MemoryMB = 0, 0
				for _, r := range w.runs {
					if r.phase != runStarting {
						w.allocated = w.allocated.Add(r.need)
					}
				}
			}
		}},
		{"failed runs are counted twice", worldOptions{failing: 0.15}, func(c *Core) {
			for _, j := range c.jobs {
				for _, o := range j.occurrences {
					for _, s := range o.steps {
						for _, task := range s.tasks {
							if len(task.failedRuns) == 1 {
								task.failedRuns = append(task.failedRuns, -1)
							}
						}
					}
				}
			}
		}},
	}
	const seeds = 12
	for _, mutation := range mutations {
		t.Run(mutation.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if problem := play(seed+1, mutation.options, nil); problem != "" {
					t.Fatalf("seed %d fails without the mutation: %s", seed+1, problem)
				}
				if problem := play(seed+1, mutation.options, mutation.mutate); problem != "" {
					t.Logf("caught with seed %d: %s", seed+1, problem)
					return
				}
			}
			t.Errorf("not caught with %d seeds", seeds)
		})
	}
}

// play runs a world to its end and returns the first problem found.
func play(seed uint64, options worldOptions, mutate func(*Core)) string {
	options.workers, options.jobs, options.mutateNow = 6, 60, mutate
	w := newWorld(seed, options)
	w.run(9000)
	if len(w.problems) == 0 {
		w.checkEnd()
	}
	if len(w.problems) == 0 {
		return ""
	}
	return w.problems[0]
}
