package scheduler

import (
	"testing"
)

// BenchmarkBatchOfAWideJob measures a commit of one change of a job with as many tasks as
// a job may have, without and with details of a tenth of them.
func BenchmarkBatchOfAWideJob(b *testing.B) {
	for _, detailed := range []bool{false, true} {
		name := "bits alone"
		if detailed {
			name = "details of a tenth"
		}
		b.Run(name, func(b *testing.B) {
			c := New(Options{Epoch: 1}, detailsNow)
			c.Add(detailsNow, jobOf("wide", stepOf(MaxStepTasks, 1000)))
			j := c.jobs["wide"]
			for i, t := range j.occurrences[0].steps[0].tasks() {
				if detailed && i%10 == 0 {
					t.checkpoint = "0123456789abcdef"
				}
				if i%3 == 1 {
					t.step.setDone(i)
				}
			}
			for !c.TakeBatch(storeEntries).Empty() {
				batch := c.TakeBatch(storeEntries)
				c.Committed(detailsNow, batch)
			}
			for b.Loop() {
				c.markDirty(j)
				c.Committed(detailsNow, c.TakeBatch(storeEntries))
			}
		})
	}
}
