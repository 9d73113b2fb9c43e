//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// long: an ordinary submission now and then and, once, one without an estimate that has a
// long task for each minion.
func long(dir string, trouble bool) *world {
	const traffic, pause = 66 * time.Second, 4 * time.Second
	w := newWorld(dir, sizes{entries: 4, minions: 48, room: room{32000, 131072, 0}, rack: 6, memoryMB: 284, cores: 0.4},
		manifest(1, route("quotes", "/lohu930/", 0), route("layouts", "/wide12/", 2)))
	w.startEntries()
	w.awaitReady()
	time.Sleep(3 * time.Second)
	begin := time.Now()
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(time.Second)
		takes := 5 * time.Second
		if trouble {
			takes = 3 * time.Hour
		}
		w.submit(&submission{id: fmt.Sprintf("%016x", 0xabc000), route: "/wide12/", Spec: "layout",
			Steps: []step{{Count: 48, CPU: 4000, Mem: 4000, AntiAffinity: 1, takes: takes}}}, 0)
	})
	var ordinary []*submission
	for i := 0; time.Since(begin) < traffic; i++ {
		s := &submission{id: fmt.Sprintf("%016x", 0x1000+i), route: "/lohu930/", Spec: "quote", Steps: []step{{Count: 2, CPU: 2800, Mem: 10000, EstimateMS: 1000, takes: time.Second}}}
		ordinary = append(ordinary, s)
		group.Go(func() { w.submit(s, i) })
		time.Sleep(pause)
	}
	time.Sleep(time.Until(begin.Add(traffic + finishTime)))
	group.Wait()
	w.judgeLost(ordinary, watchTime)
	w.end()
	w.judgeFault()
	return w
}
