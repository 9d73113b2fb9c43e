package scheduler

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"kumquatstall/requester"
)

// busyCell is a cell under overload: every worker nearly full, and steps of
// all kinds waiting.
func busyCell(workers, waiting int) (*Core, time.Time) {
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Date(2026, 7, 10, 12, 0, 0, 0, time.UTC)
	c := New(Options{Epoch: 1, LeaseTerm: time.Hour}, now)
	var infos []WorkerInfo
	for i := range workers {
		infos = append(infos, WorkerInfo{
			HostID: requester.HostID(fmt.Sprintf("w%04d", i)), Service: "service",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1),
			Total:   requester.Resources{MilliCores: 32000, MemoryMB: 131072}, BootedAt: now,
		})
	}
	c.SetWorkers(now, infos)
	c.Committed(now, c.TakeBatch(1<<20))
	for _, order := range c.Tick(now).Polls {
		c.PollDone(now, order, &Report{Clock: 1, BootedAt: now}, OrderAccepted)
	}
	add := func(i int, job Job) {
		job.JobID = requester.JobID(fmt.Sprintf("%016x", i))
		job.Policy.Service, job.Policy.MaxAttempts, job.Policy.Stretch, job.Policy.ObjectiveMillis = "service", 3, 2, 1000
		job.AcceptedAt = now
		c.Add(now, job)
	}
	// Work that takes three quarters of the room.
	for i := range workers * 4 {
		add(i, Job{Steps: []Step{{Count: 1, Need: requester.Resources{MilliCores: 6000, MemoryMB: 16000}, EstimateMillis: 4000}}})
	}
	c.Committed(now, c.TakeBatch(1<<20))
	c.Tick(now)
	for i := range waiting {
		job := Job{Policy: Policy{Priority: i % 3, Advice: &Advice{DecideMillis: 50, WorkerMillis: 1, ValidMillis: 1500}}}
		switch i % 3 {
		case 0:
			job.Steps = []Step{{Count: 3, Need: requester.Resources{MilliCores: 12000, MemoryMB: 8000}, EstimateMillis: 1000}}
		case 1:
			job.Steps = []Step{{Count: 20, Gang: true, Need: requester.Resources{MilliCores: 9000, MemoryMB: 26000}, EstimateMillis: 4000}}
		case 2:
			job.Steps = []Step{{Count: 25, Need: requester.Resources{MilliCores: 10000, MemoryMB: 4000}, EstimateMillis: 2700}}
		}
		add(workers*4+i, job)
	}
	for _, order := range c.Advise(now, AdviceRoom{Any: waiting}) {
		var tickets []Ticket
		for _, id := range order.Workers {
			if random.IntN(3) == 0 {
				tickets = append(tickets, Ticket{Worker: id, Text: "t"})
			}
		}
		c.Advised(now, order, tickets, false)
	}
	c.Committed(now, c.TakeBatch(1<<20))
	c.Tick(now)
	return c, now
}

// BenchmarkPlaceBlocked measures one pass over steps that find no room.
func BenchmarkPlaceBlocked(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{48, 40}, {350, 300}, {2800, 300}} {
		b.Run(fmt.Sprintf("%dworkers/%dsteps", size.workers, size.waiting), func(b *testing.B) {
			c, now := busyCell(size.workers, size.waiting)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(10 * time.Millisecond)
				for _, w := range c.sortedWorkers {
					w.clockAt = now
				}
				c.placementPending = true
				c.Tick(now)
			}
		})
	}
}
