//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// finish is finish_s of the site.
const finish = 14 * time.Second

// playRack: a service has one task on each of most minions; all minions of one
// rack, the one without such tasks, are lost for good; then a gang that should
// run on one rack comes.
func playRack(w *world, trouble bool) error {
	service := &submission{id: "00000000000000b1", steps: []step{{Count: 42, CPU: 12000, MemMB: 26000, EstimateMS: 1000, AntiAffinity: 1, LongRunning: true}}}
	if !w.submit(service) {
		return fmt.Errorf("the service was not accepted")
	}
	time.Sleep(8 * time.Second)
	if running := w.running(service.id); running != 42 {
		return fmt.Errorf("%d of 42 tasks run before the disturbance", running)
	}
	if trouble {
		free := ""
		for _, m := range w.minions {
			m.mu.Lock()
			if len(m.runs) == 0 {
				free = m.rack
			}
			m.mu.Unlock()
		}
		w.note("rack %s is lost", free)
		for _, m := range w.minions {
			if m.rack == free {
				m.crash()
			}
		}
	}
	time.Sleep(6 * time.Second)
	job := &submission{id: "00000000000000b2", steps: []step{{Count: 8, CPU: 15000, MemMB: 26000, EstimateMS: 4000, Gang: true, SameRack: true, workMS: 4000}}}
	if !w.submit(job) {
		return fmt.Errorf("the gang was not accepted")
	}
	time.Sleep(finish + 26*time.Second)
	w.request(http.MethodGet, job.id, nil, 3)
	w.checkWaiting(job)
	return nil
}

// playFills: a service with a target for its response times has one task on each
// of six minions, and tasks that fill run on all others; three of the six minions
// are lost for good.
func playFills(w *world, trouble bool) error {
	service := &submission{id: "00000000000000c1", steps: []step{{Count: 6, CPU: 8000, MemMB: 16000, EstimateMS: 1000, AntiAffinity: 1, LongRunning: true, Image: "quotes", TargetMS: 100}}}
	if !w.submit(service) {
		return fmt.Errorf("the service was not accepted")
	}
	time.Sleep(3 * time.Second)
	fillers := &submission{id: "00000000000000c2", steps: []step{{Count: 42, CPU: 4000, MemMB: 8000, EstimateMS: 1000, AntiAffinity: 1, LongRunning: true, Image: "batch", Fills: true}}}
	if !w.submit(fillers) {
		return fmt.Errorf("the tasks that fill were not accepted")
	}
	time.Sleep(7 * time.Second)
	if running := w.running(service.id) + w.running(fillers.id); running != 48 {
		return fmt.Errorf("%d of 48 tasks run before the disturbance", running)
	}
	disturbed := time.Now()
	if trouble {
		lost := 0
		for _, m := range w.minions {
			m.mu.Lock()
			serves := m.runs[service.id+".0.0.0"] != nil || m.runs[service.id+".0.0.2"] != nil || m.runs[service.id+".0.0.4"] != nil
			m.mu.Unlock()
			if serves {
				m.crash()
				lost++
			}
		}
		disturbed = time.Now()
	}
	time.Sleep(finish + 26*time.Second)
	w.request(http.MethodGet, service.id, nil, 3)
	w.checkLasting(service, disturbed)
	return nil
}

// playRest: two services have one task each on every minion, and jobs come beside
// them; four minions fail all that they start for a while. During that time the
// second service's tasks there fail once, with and without the disturbance.
func playRest(w *world, trouble bool) error {
	first := &submission{id: "00000000000000d1", steps: []step{{Count: 48, CPU: 4000, MemMB: 8000, EstimateMS: 1000, AntiAffinity: 1, LongRunning: true}}}
	second := &submission{id: "00000000000000d2", steps: first.steps}
	if !w.submit(first) || !w.submit(second) {
		return fmt.Errorf("the services were not accepted")
	}
	stop := time.Now().Add(24 * time.Second)
	var group sync.WaitGroup
	group.Go(func() {
		for n := 0; time.Now().Before(stop); n++ {
			s := &submission{id: fmt.Sprintf("%016x", 0xe000+n), steps: []step{
				{Count: 36, CPU: 2000, MemMB: 4000, EstimateMS: 1000, AntiAffinity: 1, workMS: 1000},
			}}
			group.Go(func() { w.submit(s) })
			time.Sleep(400 * time.Millisecond)
		}
	})
	time.Sleep(7 * time.Second)
	if running := w.running(first.id) + w.running(second.id); running != 96 {
		return fmt.Errorf("%d of 96 tasks that last run before the disturbance", running)
	}
	grey := w.minions[:4]
	for _, m := range grey {
		if trouble {
			m.setGrey(true)
		}
	}
	time.Sleep(3 * time.Second)
	for _, m := range grey {
		for index := range 48 {
			m.fail(fmt.Sprintf("%s.0.0.%d", second.id, index))
		}
	}
	time.Sleep(3500 * time.Millisecond)
	for _, m := range grey {
		if trouble {
			m.setGrey(false)
		}
	}
	disturbed := time.Now()
	group.Wait()
	time.Sleep(finish + 20*time.Second)
	w.request(http.MethodGet, second.id, nil, 3)
	w.checkLasting(second, disturbed)
	return nil
}

// mayRun is the policy of the advice service in playApart: four of five minions.
func mayRun(id string) bool {
	number, err := strconv.Atoi(id[1:])
	return err == nil && number%5 != 4
}

// playApart: a gang of 15 tasks, one on a minion, runs on a queue with advice; six
// of its minions are lost for good.
func playApart(w *world, trouble bool) error {
	job := &submission{id: "00000000000000f1", steps: []step{{Count: 15, CPU: 2000, MemMB: 4000, EstimateMS: 8000, Gang: true, AntiAffinity: 1, workMS: 8000}}}
	if !w.submit(job) {
		return fmt.Errorf("the gang was not accepted")
	}
	time.Sleep(4 * time.Second)
	if running := w.running(job.id); running != 15 {
		return fmt.Errorf("%d of 15 tasks run before the disturbance", running)
	}
	if trouble {
		for _, m := range w.joined(6) {
			m.crash()
		}
	}
	time.Sleep(finish + 36*time.Second)
	_, found := w.request(http.MethodGet, job.id, nil, 3)
	ended, free := time.Time{}, 0
	for _, run := range w.settle() {
		if run.Ended.IsZero() || run.How == "done" {
			return nil
		}
		if run.Ended.After(ended) {
			ended = run.Ended
		}
	}
	for _, m := range w.minions {
		m.mu.Lock()
		if m.up && len(m.runs) == 0 && mayRun(m.id) {
			free++
		}
		m.mu.Unlock()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked("%d empty minions may run the step; the gang has %d tasks, one on a minion", free, job.steps[0].Count)
	if free >= 2*job.steps[0].Count && time.Since(ended) > finish+3*time.Second {
		w.violated("LOST: the gang %s, shown as %v, has had nothing running since %s, %.0f s; %d empty minions may run its %d tasks",
			job.id, found["state"], w.at(ended), time.Since(ended).Seconds(), free, job.steps[0].Count)
	}
	return nil
}

// running returns how many runs of a submission are going on.
func (w *world) running(id string) int {
	count := 0
	for _, run := range w.settle() {
		if job, _ := splitTask(run.Task); job == id && run.Ended.IsZero() {
			count++
		}
	}
	return count
}

// checkWaiting is the first part of the rule LOST: finish_s after the end of the
// traffic a submission has nothing running for 3 s while a task's turn has come,
// there is capacity for it twice over, and under half of the service's capacity
// is in use. It looks at the 3 s before now.
func (w *world) checkWaiting(s *submission) {
	runs := w.settle()
	slots, used, total := 0, int64(0), int64(0)
	need := s.steps[0]
	for _, m := range w.minions {
		m.mu.Lock()
		if m.up {
			free := m.capacity
			for _, run := range m.runs {
				free.CPU, free.MemMB = free.CPU-run.need.CPU, free.MemMB-run.need.MemMB
			}
			slots += int(min(free.CPU/need.CPU, free.MemMB/need.MemMB))
			used, total = used+m.capacity.CPU-free.CPU, total+m.capacity.CPU
		}
		m.mu.Unlock()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	ran := 0
	for _, run := range runs {
		if job, _ := splitTask(run.Task); job == s.id {
			ran++
		}
	}
	w.noteLocked("%d runs of %s; room for %d tasks, it has %d; %d of %d cpu in use", ran, s.id, slots, need.Count, used, total)
	if ran == 0 && slots >= 2*need.Count && 2*used < total {
		w.violated("LOST: %s, accepted at %s, has never run, with room for %d tasks like its %d and %d%% of the service in use",
			s.id, w.at(s.accepted), slots, need.Count, 100*used/total)
	}
}
