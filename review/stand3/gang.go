//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// gang: ordinary submissions all the time and, once, one whose tasks work only together.
// With TROUBLE=0 these are fewer.
func gang(dir string, trouble bool) *world {
	tasks := 4000
	if trouble {
		tasks = 8000
	}
	large := []*submission{{id: fmt.Sprintf("%016x", 0xabc000), route: "/wide12/", Spec: "layout", large: true,
		Steps: []step{{Count: tasks, CPU: 10, Mem: 20, EstimateMS: 2000, Gang: true, takes: 2 * time.Second}}}}
	return beside(dir, large, 2, func(*world) []*submission { return large })
}

// cancel: ordinary submissions all the time and one with many tasks, which is cancelled once
// these run.
func cancel(dir string, trouble bool) *world {
	const tasks, cancelTime, stopTime = 50_000, 3 * time.Second, 900 * time.Millisecond
	large := []*submission{{id: fmt.Sprintf("%016x", 0xabc000), route: "/wide12/", Spec: "layout", large: true,
		Steps: []step{{Count: tasks, CPU: 10, Mem: 20, EstimateMS: 90_000, takes: 90 * time.Second}}}}
	return beside(dir, large, 2, func(w *world) []*submission {
		s := large[0]
		time.Sleep(12 * time.Second)
		w.note("%d tasks of the large submission run", w.runningOf(s))
		if !trouble {
			return nil
		}
		for i := range 5 {
			status, _ := w.call(w.entries[i%len(w.entries)], http.MethodDelete, s.route+s.id, nil, 3*time.Second)
			w.note("DELETE %s: %d", s.id, status)
			if status/100 == 2 || status == http.StatusGone {
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
		confirmed := time.Now()
		for _, after := range []time.Duration{cancelTime, cancelTime + stopTime + 100*time.Millisecond, 6 * time.Second, 10 * time.Second} {
			time.Sleep(time.Until(confirmed.Add(after)))
			running := w.runningOf(s)
			w.note("%.1f s after the confirmation of the cancelling %d of its tasks run", after.Seconds(), running)
			if after > cancelTime+stopTime && running > 0 {
				w.breaks("UNASKED: %d tasks of %s run %.1f s after the confirmation of its cancelling", running, s.id, after.Seconds())
			}
		}
		return nil
	})
}

func (w *world) runningOf(s *submission) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return s.running
}
