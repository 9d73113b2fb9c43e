package scheduler

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// coreShare is the share of a core that an entry has on its machine.
const coreShare = 0.4

// onItsMachine returns how many milliseconds processor time takes on a machine with coreShare.
func onItsMachine(used time.Duration) float64 { return used.Seconds() * 1000 / coreShare }

// BenchmarkAcceptedTasks measures how an owner grows with the tasks that were accepted: those
// that wait for more room than there is, and those that run. Of each, it reports the memory
// that lives, the longest step of the core within some seconds in which ordinary jobs come, and
// the processor time in which a successor recovers the jobs, the last two on 0.4 of a core.
func BenchmarkAcceptedTasks(b *testing.B) {
	for _, size := range []struct{ waiting, running int }{
		{0, 0}, {100_000, 0}, {1_000_000, 0}, {2_500_000, 0}, {0, 10_000}, {0, 25_000}, {0, 50_000}, {0, 100_000},
	} {
		b.Run(fmt.Sprintf("%dwaiting/%drunning", size.waiting, size.running), func(b *testing.B) {
			for range b.N {
				measureAccepted(b, size.waiting, size.running)
			}
		})
	}
}

func measureAccepted(b *testing.B, waiting, running int) {
	c := newWideCell(b)
	c.store, c.duration, c.latency = newRowStore(b), time.Minute, roundTrip
	var jobs []Job
	for left := waiting; left > 0; left -= MaxStepTasks {
		jobs = append(jobs, jobOf(fmt.Sprintf("waiting-%d", left), hopelessStep(min(left, MaxStepTasks))))
	}
	for left := running; left > 0; left -= MaxStepTasks {
		jobs = append(jobs, jobOf(fmt.Sprintf("running-%d", left), smallStep(min(left, MaxStepTasks))))
	}
	held := heldBytes(func() {
		c.add(jobs...)
		for range 400 {
			c.advance(10 * time.Millisecond)
		}
	})
	for i := range 100 {
		c.add(jobOf(fmt.Sprintf("ordinary-%d", i), stepOf(2, 2800)))
		c.advance(10 * time.Millisecond)
	}
	steps := c.longest
	c.longest = 0
	c.takeOver(jobs...)
	takeOver := c.longest
	for range 200 {
		c.advance(10 * time.Millisecond)
	}
	b.ReportMetric(float64(held)/(1<<20), "held-MB")
	b.ReportMetric(onItsMachine(steps), "longest-ms")
	b.ReportMetric(onItsMachine(takeOver), "takeover-ms")
	b.ReportMetric(onItsMachine(c.longest), "longest-after-ms")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(c)
}
