package scheduler

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestManyRunsEndAtOnce guards against an owner that stands still, or starts tasks twice, when
// very many runs end at once: they are done, or fail, or lapse with the workers of a data centre,
// or their owner is lost meanwhile. In the end the job is completed.
func TestManyRunsEndAtOnce(t *testing.T) {
	const tasks = 30_000
	tests := []struct {
		name string
		end  func(c *wideCell, job Job)
	}{
		{"done", func(c *wideCell, _ Job) { c.endAll(EndDone) }},
		{"failed", func(c *wideCell, _ Job) { c.endAll(EndFailed) }},
		{"failed, and the owner is lost", func(c *wideCell, job Job) {
			c.endAll(EndFailed)
			c.advanceFor(300 * time.Millisecond)
			c.takeOver(job)
		}},
		{"done, and the owner is lost", func(c *wideCell, job Job) {
			c.endAll(EndDone)
			c.advanceFor(300 * time.Millisecond)
			c.takeOver(job)
		}},
		{"the owner is lost", func(c *wideCell, job Job) { c.takeOver(job) }},
		{"lapsed", func(c *wideCell, _ Job) { c.lose(12) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newWideCell(t)
			c.store, c.duration = newRowStore(t), time.Minute
			job := jobOf("wide", smallStep(tasks))
			job.MaxAttempts = 9
			c.add(job)
			c.advanceFor(3 * time.Second)
			is.Equal(c.countRunning("wide"), tasks)
			c.longest = 0
			c.duration = 2 * time.Second
			test.end(c, job)
			for i := 0; i < 12_000 && !c.core.jobs["wide"].state.Ended(); i++ {
				c.advance(10 * time.Millisecond)
			}
			is.Equal(c.core.jobs["wide"].state, StateCompleted)
			t.Logf("longest step %v, %d starts, completed after %v", c.longest, c.starts["wide"], c.now.Sub(detailsNow))
			is.True(c.longest < longestStep)
		})
	}
}

func (c *wideCell) advanceFor(wait time.Duration) {
	for until := c.now.Add(wait); c.now.Before(until); {
		c.advance(10 * time.Millisecond)
	}
}

// endAll ends all runs in one way.
func (c *wideCell) endAll(kind EndKind) {
	for id, runs := range c.running {
		for key := range runs {
			c.end(id, key, kind)
		}
	}
}

// lose loses workers for good: they answer nothing from now on.
func (c *wideCell) lose(workers int) {
	for _, info := range wideInfos(workers) {
		c.lost[info.HostID] = true
		c.running[info.HostID] = make(map[runKey]time.Time)
	}
}
