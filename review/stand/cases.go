//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// playLasting: a submission of tasks that last; some minions are lost for good,
// and the owner is killed at the same time.
func playLasting(w *world, trouble bool) error {
	s := &submission{id: "00000000000000a1", steps: []step{{Count: 24, CPU: 2000, MemMB: 4000, EstimateMS: 1000, AntiAffinity: 1, LongRunning: true}}}
	if !w.submit(s) {
		return fmt.Errorf("the submission was not accepted")
	}
	time.Sleep(10 * time.Second)
	running := 0
	for _, run := range w.settle() {
		if run.Ended.IsZero() {
			running++
		}
	}
	if running != s.steps[0].Count {
		return fmt.Errorf("%d of %d tasks run before the disturbance", running, s.steps[0].Count)
	}
	if trouble {
		for i := range 6 {
			w.minions[4*i].crash()
		}
		w.killOwner()
	}
	disturbed := time.Now()
	time.Sleep(16 * time.Second)
	w.checkLasting(s, disturbed)
	return nil
}

// checkLasting is the last part of the rule LOST: from 6 s after its last run, a
// task that lasts has nothing running for 3 s, and these 3 s and the 4 s before
// them are calm. The disturbance was at the time given; it counts as near for
// contact_ms, 3 s, more.
func (w *world) checkLasting(s *submission, disturbed time.Time) {
	runs := w.settle()
	w.mu.Lock()
	defer w.mu.Unlock()
	for index := range s.steps[0].Count {
		task := fmt.Sprintf("%s.0.0.%d", s.id, index)
		var end, next time.Time
		for _, run := range runs {
			if run.Task == task && !run.Ended.IsZero() && run.Ended.After(end) {
				end = run.Ended
			}
		}
		if end.IsZero() {
			continue
		}
		for _, run := range runs {
			if run.Task == task && run.Started.After(end) {
				next = run.Started
			}
		}
		w.noteLocked("%s: the last run ended at %s, the next began at %s", task, w.at(end), w.at(next))
		from := end.Add(6 * time.Second)
		if calm := disturbed.Add(7 * time.Second); calm.After(from) {
			from = calm
		}
		if next.IsZero() {
			next = time.Now()
		}
		if next.Sub(from) >= 3*time.Second {
			w.violated("LOST: %s had nothing running for %.2f s, from %s to %s", task, next.Sub(end).Seconds(), w.at(end), w.at(next))
		}
	}
}

// playKind: work that needs minions of kind a; some of these crash and start
// again under their ids, of kind b.
func playKind(w *world, trouble bool) error {
	var group sync.WaitGroup
	stop := time.Now().Add(20 * time.Second)
	for client := range 6 {
		group.Go(func() {
			for n := 0; time.Now().Before(stop); n++ {
				w.submit(&submission{id: fmt.Sprintf("%08x%08x", client+1, n), steps: []step{
					{Count: 30, CPU: 4000, MemMB: 8000, EstimateMS: 2000, RequiredLabel: "a", workMS: 2000},
				}})
				time.Sleep(600 * time.Millisecond)
			}
		})
	}
	time.Sleep(6 * time.Second)
	if trouble {
		// Minions with even numbers are of kind a.
		for i := range 6 {
			m := w.minions[8*i]
			m.crash()
		}
		time.Sleep(1500 * time.Millisecond)
		for i := range 6 {
			m := w.minions[8*i]
			m.mu.Lock()
			m.kind = "b"
			m.mu.Unlock()
			if err := m.start(); err != nil {
				return err
			}
		}
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	return nil
}

// playEager: the store is slow while the owner is killed; seconds later some
// minions are cut off and the next owner is killed.
func playEager(w *world, trouble bool) error {
	var group sync.WaitGroup
	stop := time.Now().Add(14 * time.Second)
	for client := range 6 {
		group.Go(func() {
			time.Sleep(time.Duration(client) * 150 * time.Millisecond)
			for n := 0; time.Now().Before(stop); n++ {
				w.submit(&submission{id: fmt.Sprintf("%08x%08x", client+1, n), steps: []step{
					{Count: 2, CPU: 500, MemMB: 500, EstimateMS: 500, workMS: 500},
					{Count: 8, CPU: 1000, MemMB: 1000, EstimateMS: 9000, After: []int{0}, AntiAffinity: 1, workMS: 9000},
				}})
				time.Sleep(900 * time.Millisecond)
			}
		})
	}
	time.Sleep(4 * time.Second)
	if trouble {
		w.note("the store turns slow")
		w.store.setDelay(240 * time.Millisecond)
		time.Sleep(2800 * time.Millisecond)
		w.killOwner()
		time.Sleep(1700 * time.Millisecond)
		w.note("the store is as before")
		w.store.setDelay(4 * time.Millisecond)
		time.Sleep(1700 * time.Millisecond)
		for i := range 8 {
			w.minions[6*i].setCut(true)
		}
		w.killOwner()
		time.Sleep(5500 * time.Millisecond)
		for i := range 8 {
			w.minions[6*i].setCut(false)
		}
	}
	group.Wait()
	time.Sleep(14 * time.Second)
	w.checkTwice()
	return nil
}

// killOwner kills the process that holds the minions, and starts it again half a
// second later, as the platform does.
func (w *world) killOwner() {
	if e := w.entryNamed(w.store.lastConditionalWriter()); e != nil {
		e.kill()
		go func() {
			time.Sleep(500 * time.Millisecond)
			_ = e.start()
		}()
	}
}

// playGang: the store is slow while the owner is killed and, just then, some
// minions crash; eight times.
func playGang(w *world, trouble bool) error {
	var group sync.WaitGroup
	const rounds, round = 8, 10 * time.Second
	stop := time.Now().Add(rounds * round)
	group.Go(func() {
		for n := 0; time.Now().Before(stop); n++ {
			s := &submission{id: fmt.Sprintf("%016x", n), steps: []step{
				{Count: 3, CPU: 15000, MemMB: 20000, EstimateMS: 1000, Gang: true, AntiAffinity: 1, workMS: 700 + int64(n*137%600)},
			}}
			group.Go(func() { w.submit(s) })
			time.Sleep(40 * time.Millisecond)
		}
	})
	for range rounds {
		began := time.Now()
		if trouble {
			w.note("the store turns slow")
			w.store.setDelay(392 * time.Millisecond)
			time.Sleep(3400 * time.Millisecond)
			w.killOwner()
			time.Sleep(100 * time.Millisecond)
			crashed := w.joined(7)
			for _, m := range crashed {
				m.crash()
			}
			time.Sleep(400 * time.Millisecond)
			w.note("the store is as before")
			w.store.setDelay(4 * time.Millisecond)
			time.Sleep(2500 * time.Millisecond)
			for _, m := range crashed {
				if err := m.start(); err != nil {
					return err
				}
			}
		}
		time.Sleep(time.Until(began.Add(round)))
	}
	group.Wait()
	time.Sleep(14 * time.Second)
	w.checkTwice()
	return nil
}

// joined returns minions to crash: those that run members of gangs first, spread
// evenly over these.
func (w *world) joined(count int) []*minion {
	var found, others []*minion
	for _, m := range w.minions {
		m.mu.Lock()
		if len(m.runs) > 0 {
			found = append(found, m)
		} else {
			others = append(others, m)
		}
		m.mu.Unlock()
	}
	var chosen []*minion
	for i := range min(count, len(found)) {
		chosen = append(chosen, found[i*len(found)/min(count, len(found))])
	}
	return append(chosen, others[:max(0, min(len(others), count-len(chosen)))]...)
}
