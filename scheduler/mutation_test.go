package scheduler

import (
	"slices"
	"testing"
	"time"
)

// TestMutationsAreCaught breaks one rule of the core at a time and requires
// that the checks of the simulation find it, which shows that each check can
// fail.
func TestMutationsAreCaught(t *testing.T) {
	forRuns := func(c *Core, do func(*worker, *run)) {
		for _, w := range c.sortedWorkers {
			for _, r := range w.sortedRuns() {
				do(w, r)
			}
		}
	}
	forHistories := func(c *Core, do func(*crashHistory)) {
		for _, s := range c.open {
			for _, task := range s.tasks() {
				if h := task.crashes; h != nil {
					do(h)
				}
			}
		}
	}
	mutations := []struct {
		name    string
		options simulationOptions
		mutate  func(*Core)
	}{
		{"the resources of stopping runs are released", simulationOptions{cancels: 0.6}, func(c *Core) {
			forRuns(c, func(w *worker, r *run) {
				if r.phase == runStopping {
					c.release(r)
				}
			})
		}},
		{"suspects stay on trial", simulationOptions{deadly: 0.2}, func(c *Core) {
			for _, w := range c.sortedWorkers {
				if w.trial != nil && w.trial.job == nil {
					w.trial.until = c.now.Add(time.Minute)
				}
			}
		}},
		{"unacknowledged starts are dropped", simulationOptions{lostResponses: 0.1, delayedOrders: 0.1}, func(c *Core) {
			forRuns(c, func(w *worker, r *run) {
				if r.phase == runUnacknowledged {
					r.settled = true
					c.release(r)
					if r.task != nil && r.task.open != nil {
						c.closeStart(r.task)
					}
				}
			})
		}},
		{"the lease of an unresponsive worker is not waited for", simulationOptions{partitions: 4}, func(c *Core) {
			for _, w := range c.sortedWorkers {
				if w.unanswered > 0 {
					w.leaseDeadline = 0
				}
			}
		}},
		{"ends are acknowledged before they are committed", simulationOptions{takeovers: 15}, func(c *Core) {
			for _, w := range c.sortedWorkers {
				w.committedEnd, w.pendingEnds = w.appliedEnd, nil
			}
		}},
		{"ends are acknowledged before they are committed, and not verified", simulationOptions{takeovers: 15}, func(c *Core) {
			for _, w := range c.sortedWorkers {
				w.committedEnd, w.pendingEnds, w.unverifiedEnds = w.appliedEnd, nil, nil
			}
		}},
		{"ends of jobs that have ended in memory are acknowledged", simulationOptions{takeovers: 6, ownerFaults: ownerFaults{slowStore: 6}}, func(c *Core) {
			for _, w := range c.sortedWorkers {
				w.unverifiedEnds = nil
				for i := range w.pendingEnds {
					if p := &w.pendingEnds[i]; p.job != nil && p.job.state.Ended() {
						p.version = 0
					}
				}
			}
		}},
		{"ends of occurrences that have ended in memory are acknowledged", simulationOptions{takeovers: 6, ownerFaults: ownerFaults{slowStore: 6, timed: 0.7}}, func(c *Core) {
			for _, w := range c.sortedWorkers {
				w.unverifiedEnds = nil
				for i := range w.pendingEnds {
					if p := &w.pendingEnds[i]; p.job != nil && c.findTask(p.ended.Task) == nil {
						p.version = 0
					}
				}
			}
		}},
		{"jobs added after the takeover are not marked", simulationOptions{takeovers: 20, ownerFaults: ownerFaults{slowStore: 12, overlap: true}}, func(c *Core) {
			c.options.PreviousOwnerEager = false
		}},
		{"orders to an earlier incarnation carry the same fence", simulationOptions{crashes: 6, delayedOrders: 0.1, ownerFaults: ownerFaults{latePolls: 0.1, quickRebirths: true}}, func(c *Core) {
			for _, w := range c.sortedWorkers {
				w.generation, w.bornFence = 0, 0
			}
			clear(c.generations)
		}},
		{"accepted starts count as runs of the earlier incarnation", simulationOptions{crashes: 16, lostResponses: 0.1, ownerFaults: ownerFaults{quickRebirths: true}}, func(c *Core) {
			forRuns(c, func(w *worker, r *run) {
				if !r.acknowledgedAt.IsZero() {
					r.reported = true
					c.settle(r)
				}
			})
		}},
		{"open starts are taken for never executed", simulationOptions{crashes: 6, delayedOrders: 0.1, ownerFaults: ownerFaults{quickRebirths: true}}, func(c *Core) {
			for _, t := range slices.Clone(c.openTasks) {
				c.closeStart(t)
			}
		}},
		{"open starts of an earlier owner are forgotten", simulationOptions{crashes: 8, takeovers: 8, delayedOrders: 0.1, ownerFaults: ownerFaults{quickRebirths: true}}, func(c *Core) {
			for _, t := range slices.Clone(c.openTasks) {
				if t.open.Run < c.firstRun() {
					c.closeStart(t)
				}
			}
		}},
		{"starts are not written ahead", simulationOptions{crashes: 16, takeovers: 30, delayedOrders: 0.3, ownerFaults: ownerFaults{quickRebirths: true}}, func(c *Core) {
			for _, s := range c.written {
				s.committed = true
			}
			c.written = nil
		}},
		{"unknown starts of an eager owner are ignored", simulationOptions{crashes: 16, takeovers: 12, delayedOrders: 0.2, ownerFaults: ownerFaults{quickRebirths: true, slowStore: 12}}, func(c *Core) {
			c.startsUnknown = false
		}},
		{"steps that may have unknown runs are started", simulationOptions{takeovers: 4, partitions: 6}, func(c *Core) {
			for _, s := range c.open {
				s.mayHaveUnknownRuns = false
			}
		}},
		{"leases granted by a previous owner are ignored", simulationOptions{takeovers: 4, partitions: 6}, func(c *Core) {
			for _, w := range c.sortedWorkers {
				if !w.reported {
					w.unreportedSince = time.Time{}
				}
			}
		}},
		{"bounded leases of a previous owner are taken for shorter", simulationOptions{takeovers: 4, partitions: 6, ownerFaults: ownerFaults{bounded: true, overlap: true}}, func(c *Core) {
			c.options.PreviousLeaseTerm = min(c.options.PreviousLeaseTerm, 2*time.Second)
		}},
		{"steps start before their start record is committed", simulationOptions{takeovers: 10, partitions: 6}, func(c *Core) {
			for _, s := range c.written {
				s.committed = true
			}
			for _, s := range c.open {
				if stored := s.job().committedVersion; stored > 0 {
					s.startRecordVersion = min(s.startRecordVersion, stored)
				}
			}
		}},
		{"resources are allocated only once a worker acknowledges the run", simulationOptions{}, func(c *Core) {
			for _, w := range c.sortedWorkers {
				w.allocated.MilliCores, w.allocated.MemoryMB = 0, 0
				for _, r := range w.runs {
					if r.phase != runStarting {
						w.allocated = w.allocated.Add(r.need)
					}
				}
			}
		}},
		{"a shrunk room is not heeded", simulationOptions{shrinks: 15}, func(c *Core) {
			for _, w := range c.sortedWorkers {
				w.info.Total = fullRoom
			}
		}},
		{"accelerators that have gone are not heeded", simulationOptions{shrinks: 15}, func(c *Core) {
			for _, w := range c.sortedWorkers {
				w.info.Total.Accelerators = fullRoom.Accelerators
			}
		}},
		{"failed runs are counted twice", simulationOptions{failures: 0.15}, func(c *Core) {
			for _, j := range c.jobs {
				for _, o := range j.occurrences {
					for _, s := range o.steps {
						for _, task := range s.tasks() {
							if len(task.failedRuns) == 1 {
								task.failedRuns = append(task.failedRuns, -1)
							}
						}
					}
				}
			}
		}},
		{"crashes under tasks are forgotten", simulationOptions{deadly: 0.1}, func(c *Core) {
			forHistories(c, func(h *crashHistory) { h.crashes = nil })
		}},
		{"any crash counts as evidence", simulationOptions{deadly: 0.1, racks: 0.5}, func(c *Core) {
			forHistories(c, func(h *crashHistory) {
				for i := range h.crashes {
					h.crashes[i].ChancePPM = 1
				}
			})
		}},
	}
	const seeds = 30
	for _, mutation := range mutations {
		t.Run(mutation.name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				if problem := runSimulation(seed+1, mutation.options, nil); problem != "" {
					t.Fatalf("seed %d fails without the mutation: %s", seed+1, problem)
				}
				if problem := runSimulation(seed+1, mutation.options, mutation.mutate); problem != "" {
					t.Logf("caught with seed %d: %s", seed+1, problem)
					return
				}
			}
			t.Errorf("not caught with %d seeds", seeds)
		})
	}
}

// runSimulation runs a simulation to its end and returns the first problem
// found, or an empty string.
func runSimulation(seed uint64, options simulationOptions, mutate func(*Core)) string {
	options.workers, options.jobs, options.mutate = 6, 60, mutate
	steps := 9000
	if options.slowed() {
		steps = 20_000
	}
	sim := newSimulation(seed, options)
	sim.run(steps)
	if len(sim.problems) == 0 {
		sim.checkEnd()
	}
	if len(sim.problems) == 0 {
		return ""
	}
	return sim.problems[0]
}
