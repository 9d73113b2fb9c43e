//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	trafficTime = 40 * time.Second
	finishTime  = 14 * time.Second // finish_s
	watchTime   = 6 * time.Second
)

// memory: ordinary submissions all the time and, once, 25 that can never be done, with many
// tasks each.
func memory(dir string, trouble bool) *world {
	const count, tasks, cpu = 25, 100_000, 64_000
	var large []*submission
	for i := range count {
		large = append(large, &submission{id: fmt.Sprintf("%016x", 0xabc000+i), route: "/wide12/", Spec: "layout", large: true,
			Steps: []step{{Count: tasks, CPU: cpu, EstimateMS: 2000, takes: 2 * time.Second}}})
	}
	if !trouble {
		large = nil
	}
	return beside(dir, large, 2, nil)
}

// wide: ordinary submissions all the time and, once, one with many small tasks that are kept
// apart.
func wide(dir string, trouble bool) *world {
	const tasks, apart = 80_000, 1667 // as many as 48 minions may have at once
	large := []*submission{{id: fmt.Sprintf("%016x", 0xabc000), route: "/wide12/", Spec: "layout", large: true,
		Steps: []step{{Count: tasks, CPU: 10, Mem: 20, EstimateMS: 2000, AntiAffinity: apart, takes: 2 * time.Second}}}}
	if !trouble {
		large = nil
	}
	return beside(dir, large, 2, nil)
}

// beside hands large submissions in, on a queue of the given priority, beside ordinary ones of
// priority 0, and judges the ordinary ones. Once the large ones have been handed in, it calls
// then, which may be nil and returns further submissions to judge.
func beside(dir string, large []*submission, priority int, then func(*world) []*submission) *world {
	w := newWorld(dir, sizes{entries: 4, minions: 48, room: room{32000, 131072, 0}, rack: 6, memoryMB: 284, cores: 0.4},
		manifest(1, route("quotes", "/lohu930/", 0), route("layouts", "/wide12/", priority)))
	w.startEntries()
	w.awaitReady()
	time.Sleep(3 * time.Second)
	begin := time.Now()
	var group sync.WaitGroup
	var further []*submission
	group.Go(func() {
		time.Sleep(8 * time.Second)
		var sending sync.WaitGroup
		for i, s := range large {
			sending.Go(func() { w.submit(s, i) })
		}
		sending.Wait()
		if then != nil {
			further = then(w)
		}
	})
	var ordinary []*submission
	for i := 0; time.Since(begin) < trafficTime; i++ {
		s := &submission{id: fmt.Sprintf("%016x", 0x1000+i), route: "/lohu930/", Spec: "quote", Steps: []step{{Count: 2, CPU: 2800, Mem: 10000, EstimateMS: 1000, takes: time.Second}}}
		ordinary = append(ordinary, s)
		group.Go(func() { w.submit(s, i) })
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(time.Until(begin.Add(trafficTime + finishTime)))
	group.Wait()
	w.judgeLost(append(ordinary, further...), watchTime)
	w.end()
	w.judgeFault()
	return w
}

// judgeFault applies the rule Fault: on a tenth of the machines in use, two at least,
// processes end three times, where memory over the limit counts.
func (w *world) judgeFault() {
	machines := 0
	for _, e := range w.entries {
		if e.kills+e.ownEnds >= 3 {
			machines++
		}
	}
	if machines >= max(2, (len(w.entries)+9)/10) {
		w.breaks("Fault: on %d of %d machines the process ended three times or more, for its memory or by itself", machines, len(w.entries))
	}
}

// judgeLost applies the last sentences of LOST: finish_s after the end of the traffic,
// submissions are asked for, and for some time it watches which of them have nothing running.
func (w *world) judgeLost(subs []*submission, watch time.Duration) {
	w.note("finish_s after the end of the traffic: the submissions are asked for")
	var group sync.WaitGroup
	gate := make(chan struct{}, 16)
	open := make(map[*submission]time.Time)
	var mu sync.Mutex
	accepted := 0
	for i, s := range subs {
		if s.acceptedAt.IsZero() {
			continue
		}
		accepted++
		group.Go(func() {
			gate <- struct{}{}
			defer func() { <-gate }()
			state, status := w.ask(s, i)
			w.note("GET %s: %d %s", s.id, status, state)
			s.state = state
			if status != 200 {
				w.breaks("LOST: submission %s, accepted %.1f s before, isn't known or gets no answer (%d)", s.id, time.Since(s.acceptedAt).Seconds(), status)
			} else if state == "queued" || state == "running" {
				mu.Lock()
				open[s] = time.Time{}
				mu.Unlock()
			}
		})
	}
	group.Wait()
	w.note("of %d submissions %d were accepted, and of these %d are still open", len(subs), accepted, len(open))
	reported := make(map[*submission]bool)
	for until := time.Now().Add(watch); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
		used, total := w.used()
		calm := used.CPU*2 < total.CPU && used.Mem*2 < total.Mem
		now := time.Now()
		w.mu.Lock()
		for s, since := range open {
			idle := calm && s.running == 0 && s.done < s.tasks()
			switch {
			case !idle:
				open[s] = time.Time{}
			case since.IsZero():
				open[s] = now
			case now.Sub(since) >= 3*time.Second && !reported[s]:
				reported[s] = true
				w.broken = append(w.broken, "LOST "+s.id)
				w.noteLocked("BROKEN LOST: submission %s, accepted %.1f s before and shown as %s, has had nothing running for 3 s; in use are %d of %d thousandths of a core and %d of %d MB",
					s.id, now.Sub(s.acceptedAt).Seconds(), s.state, used.CPU, total.CPU, used.Mem, total.Mem)
			}
		}
		w.mu.Unlock()
	}
}

func (s *submission) tasks() int {
	count := 0
	for _, st := range s.Steps {
		count += st.Count
	}
	return count
}
