package scheduler

import (
	"testing"
	"time"
)

// BenchmarkCancelOfManyTasks cancels 50,000 running tasks and reports the core's processor time for
// each, from the cancel until nothing of them is left to do: with stops, reports and ends. With
// carriers it hands most of the stops over. Calls and the encoding of messages are not in it.
func BenchmarkCancelOfManyTasks(b *testing.B) {
	const tasks = 50_000
	for _, bench := range []struct {
		name    string
		entries int
	}{{"alone", 1}, {"seven entries", 7}} {
		b.Run(bench.name, func(b *testing.B) {
			var used time.Duration
			for b.Loop() {
				b.StopTimer()
				c := newSmallCell(b, bench.entries)
				c.add(jobOf("wide", smallStep(tasks)))
				c.advanceFor(10 * time.Second)
				if running := c.countAll(); running != tasks {
					b.Fatalf("%d tasks run, want %d", running, tasks)
				}
				c.core.SetCarriers(c.now, c.carriers())
				c.core.Cancel(c.now, "wide")
				c.used = 0
				b.StartTimer()
				for c.countAll() > 0 || len(c.core.workersWithEnds()) > 0 {
					c.advance(10 * time.Millisecond)
				}
				used += c.used
			}
			b.ReportMetric(float64(used.Nanoseconds())/1000/tasks/float64(b.N), "core-us/stop")
		})
	}
}

// workersWithEnds returns the workers with ends that are not acknowledged.
func (c *Core) workersWithEnds() []*worker {
	var found []*worker
	for _, w := range c.sortedWorkers {
		if len(w.runs) > 0 || w.keepsEnds() {
			found = append(found, w)
		}
	}
	return found
}
