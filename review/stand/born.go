//go:build review

package main

import (
	"fmt"
	"time"
)

// playBorn: a service with one task on each minion; four minions crash and start
// again twice within two seconds, and between the two their time of day is set
// back by two seconds.
func playBorn(w *world, trouble bool) error {
	s := &submission{id: "00000000000000ab", steps: []step{{Count: 48, CPU: 2000, MemMB: 4000, EstimateMS: 1000, AntiAffinity: 1, LongRunning: true}}}
	if !w.submit(s) {
		return fmt.Errorf("the submission was not accepted")
	}
	time.Sleep(6 * time.Second)
	if running := w.running(s.id); running != 48 {
		return fmt.Errorf("%d of 48 tasks run before the disturbance", running)
	}
	for round := range 2 {
		for _, m := range w.minions[:4] {
			m.mu.Lock()
			if trouble && round == 0 {
				m.clockAhead = 2 * time.Second
			} else {
				m.clockAhead = 0
			}
			m.mu.Unlock()
			m.crash()
		}
		time.Sleep(300 * time.Millisecond)
		for _, m := range w.minions[:4] {
			if err := m.start(); err != nil {
				return err
			}
		}
		time.Sleep(900 * time.Millisecond)
	}
	disturbed := time.Now()
	time.Sleep(finish + 16*time.Second)
	w.checkLasting(s, disturbed)
	return nil
}
