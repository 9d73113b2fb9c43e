//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// playDrift is no case, but a measurement: a service has one task on each minion,
// and jobs come of which some fail, as the site's kinds of request do on every
// day (3% can never be done, 5% of the runs of the others fail). It notes how many
// minions still get work. With TROUBLE=0 no run fails.
func playDrift(w *world, trouble bool) error {
	service := &submission{id: "00000000000000aa", steps: []step{{Count: 48, CPU: 2000, MemMB: 4000, EstimateMS: 1000, AntiAffinity: 1, LongRunning: true}}}
	if !w.submit(service) {
		return fmt.Errorf("the service was not accepted")
	}
	time.Sleep(4 * time.Second)
	random := rand.New(rand.NewPCG(7, 7))
	const length = 80 * time.Second
	stop := time.Now().Add(length)
	var group sync.WaitGroup
	group.Go(func() {
		for n := 0; time.Now().Before(stop); n++ {
			s := &submission{id: fmt.Sprintf("%016x", 0x10000+n), steps: []step{
				{Count: 3, CPU: 12000, MemMB: 20000, EstimateMS: 1000, workMS: 500 + int64(n*137%600)},
			}}
			if trouble {
				s.steps[0].failShare = 0.05
				if random.IntN(100) < 3 {
					s.steps[0].failShare = 1
				}
			}
			group.Go(func() { w.submit(s) })
			time.Sleep(40 * time.Millisecond)
		}
	})
	for time.Now().Before(stop) {
		time.Sleep(10 * time.Second)
		now, used := time.Now(), make(map[string]bool)
		for _, run := range w.settle() {
			if id, _ := splitTask(run.Task); id != service.id && now.Sub(run.Started) < 10*time.Second {
				used[run.Minion] = true
			}
		}
		w.note("%d minions have got jobs in the last 10 s", len(used))
		fmt.Printf("%d ", len(used))
	}
	group.Wait()
	return nil
}
