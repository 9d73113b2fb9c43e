//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// loop: ordinary submissions all the time, beside some that last. The tasks of those fail soon
// after each start, from the beginning.
func loop(dir string, trouble bool) *world {
	const lasting, tasks, pause = 4, 30, time.Second
	w := newWorld(dir, sizes{entries: 4, minions: 48, room: room{32000, 131072, 0}, rack: 6, memoryMB: 284, cores: 0.4},
		manifest(1, route("quotes", "/lohu930/", 1), route("servers", "/last55/", 1)))
	w.startEntries()
	w.awaitReady()
	time.Sleep(3 * time.Second)
	begin := time.Now()
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(5 * time.Second)
		for i := range lasting {
			s := &submission{id: fmt.Sprintf("%016x", 0xabc000+i), route: "/last55/", Spec: "server", large: true,
				Steps: []step{{Count: tasks, CPU: 500, Mem: 1000, EstimateMS: 1000, LongRunning: true, takes: 300 * time.Millisecond, fails: trouble}}}
			w.submit(s, i)
		}
	})
	var ordinary []*submission
	for i := 0; time.Since(begin) < trafficTime; i++ {
		s := &submission{id: fmt.Sprintf("%016x", 0x1000+i), route: "/lohu930/", Spec: "quote", Steps: []step{{Count: 2, CPU: 2800, Mem: 10000, EstimateMS: 1000, takes: time.Second}}}
		ordinary = append(ordinary, s)
		group.Go(func() { w.submit(s, i) })
		time.Sleep(pause)
	}
	time.Sleep(time.Until(begin.Add(trafficTime + finishTime)))
	group.Wait()
	w.judgeLost(ordinary, watchTime)
	w.judgeLasting()
	w.end()
	w.judgeFault()
	return w
}

// judgeLasting applies LOST to the tasks that last: from 6 s after its last run, one has
// nothing running for 3 s. The caller has made sure that under half of the capacity is in use.
func (w *world) judgeLasting() {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	worst := time.Duration(0)
	for _, s := range w.subs {
		for number, st := range s.Steps {
			if !st.LongRunning || s.acceptedAt.IsZero() {
				continue
			}
			for index := range st.Count {
				task := fmt.Sprintf("%s.0.%d.%d", s.id, number, index)
				idleSince := s.acceptedAt
				longest := time.Duration(0)
				for _, r := range w.byTask[task] {
					longest = max(longest, r.StartedAt.Sub(idleSince))
					idleSince = r.EndedAt
					if r.EndedAt.IsZero() {
						idleSince = now
					}
				}
				longest = max(longest, now.Sub(idleSince))
				worst = max(worst, longest)
				if longest >= 9*time.Second {
					w.broken = append(w.broken, "LOST "+task)
					w.noteLocked("BROKEN LOST: the lasting task %s, of %d runs, had nothing running for %.1f s on end", task, len(w.byTask[task]), longest.Seconds())
				}
			}
		}
	}
	w.noteLocked("the longest time for which a lasting task had nothing running: %.1f s", worst.Seconds())
}
