//go:build review

package main

import (
	"fmt"
	"net/http"
	"time"
)

// playTimed: submissions that run at set times, while the holder is killed every
// few seconds. Every time of every submission has to run once, no earlier than it
// is due.
func playTimed(w *world, trouble bool) error {
	const jobs, repeats, period = 12, 20, 1500
	began := time.Now()
	first := began.Add(2 * time.Second).UnixMilli()
	for n := range jobs {
		s := &submission{id: fmt.Sprintf("%016x", 0x7000+n), steps: []step{
			{Count: 3, CPU: 2000, MemMB: 2000, EstimateMS: 800, workMS: 800, Gang: n%3 == 0, AntiAffinity: 1},
			{Count: 2, CPU: 2000, MemMB: 2000, EstimateMS: 500, workMS: 500, After: []int{0}},
		}, repeats: repeats, firstMS: first + int64(n*100), periodMS: period}
		if !w.submit(s) {
			return fmt.Errorf("a submission was not accepted")
		}
	}
	for time.Since(began) < 34*time.Second {
		if trouble {
			w.killOwner()
		}
		time.Sleep(4300 * time.Millisecond)
	}
	time.Sleep(20 * time.Second)
	done := make(map[string]int)
	for _, run := range w.settle() {
		if run.How == "done" {
			done[run.Task]++
		}
	}
	for n := range jobs {
		id := fmt.Sprintf("%016x", 0x7000+n)
		_, found := w.request(http.MethodGet, id, nil, 3)
		w.mu.Lock()
		if found["state"] != "completed" {
			w.violated("LOST: %s is shown as %v", id, found["state"])
		}
		for k := range repeats {
			for step, count := range []int{3, 2} {
				for index := range count {
					task := fmt.Sprintf("%s.%d.%d.%d", id, k, step, index)
					if done[task] == 0 {
						w.violated("LOST: %s has not been done", task)
					}
				}
			}
		}
		w.mu.Unlock()
	}
	w.checkTwice()
	return nil
}
