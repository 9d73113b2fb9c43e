//go:build review2

package main

import (
	"fmt"
	"strings"
	"time"
)

// cancelled: a consumer gets no 2xx for a submission, as the platform's store loses the
// answer to the write, gives up and cancels. The store does the write 5.9 s after it was
// sent, as its condition still holds.
func cancelled(dir string, trouble bool) {
	const (
		window    = 2500 * time.Millisecond
		late      = 5900 * time.Millisecond
		cancelMS  = 3000 * time.Millisecond
		stopMS    = 900 * time.Millisecond
		contactMS = 3000 * time.Millisecond
	)
	in := newInstallation(dir, 16, []map[string]any{
		{"name": "r-map", "path_prefix": "/lohu930/", "slo_ms": 3000, "priority": 1, "max_attempts": 3, "stretch": 4.0},
		{"name": "r-quote", "path_prefix": "/pule252/", "slo_ms": 1000, "priority": 0, "max_attempts": 3, "stretch": 4.0},
	})
	background := func(until time.Time) {
		for time.Now().Before(until) {
			id := newID()
			status, _ := in.balance("POST", "/pule252/"+id, map[string]any{
				"spec": "work 500 1000", "steps": []map[string]any{{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500}},
			}, 4)
			in.rec.note("POST of %s (other work): %d", id, status)
			time.Sleep(100 * time.Millisecond)
		}
	}
	background(time.Now().Add(2 * time.Second))
	id := newID()
	begun := time.Now()
	all, lost := 0, 0
	if trouble {
		in.store.mu.Lock()
		in.store.decide = func(entry string, tx *wireTx) fate {
			in.store.mu.Lock()
			defer in.store.mu.Unlock()
			if time.Since(begun) > window {
				return fate{}
			}
			all++
			for _, p := range tx.Put {
				if p.Table == "jobs" && strings.HasPrefix(p.Key, id) {
					lost++
					in.rec.log("the store loses its answer to a write of %s, and does it %v later", entry, late)
					return fate{lost: true, late: late}
				}
			}
			return fate{}
		}
		in.store.mu.Unlock()
		in.rec.log("the store loses answers for %v", window)
	}
	go background(begun.Add(22 * time.Second))
	first, second := in.entries[0], in.entries[3]
	status, _ := in.call(first, "POST", "/lohu930/"+id, map[string]any{
		"spec": "work 20000 1000", "steps": []map[string]any{{"count": 4, "cpu": 1000, "mem_mb": 256, "estimate_ms": 20000}},
	}, 3*time.Second)
	in.rec.log("POST of %s at %s, 4 tasks of 20 s: %d", id, first.name, status)
	if !trouble {
		time.Sleep(2 * time.Second)
	}
	cancelStatus := 0
	for cancelStatus != 410 && cancelStatus/100 != 2 {
		cancelStatus, _ = in.call(second, "DELETE", "/lohu930/"+id, nil, 3*time.Second)
		in.rec.log("the consumer gives up: DELETE of %s at %s: %d", id, second.name, cancelStatus)
		if time.Since(begun) > 10*time.Second {
			cannotRun("the cancel got no 2xx or 410")
		}
	}
	acknowledgedAt := time.Now()
	time.Sleep(time.Until(begun.Add(22 * time.Second)))
	in.store.mu.Lock()
	in.rec.log("the store lost %d of the %d answers to writes while it lost any", lost, all)
	in.store.mu.Unlock()
	shown, answered := in.balance("GET", "/lohu930/"+id, nil, 4)
	in.rec.log("GET of %s: %d %v", id, shown, answered["state"])
	// By now the store has done nothing late for a long time.
	calmFrom := begun.Add(late + window + contactMS)
	var broken []string
	for _, r := range in.runsOf()[id] {
		endedAt := time.Now()
		if !r.endedAt.IsZero() {
			endedAt = r.endedAt
		}
		in.rec.log("%s run %d on %s: started %.2f s after the cancel was answered, ran until %.2f s after it (%s)", r.task, r.number, r.minion,
			r.startedAt.Sub(acknowledgedAt).Seconds(), endedAt.Sub(acknowledgedAt).Seconds(), how(r))
		if r.startedAt.After(acknowledgedAt.Add(cancelMS)) && r.startedAt.After(begun.Add(window+contactMS)) {
			broken = append(broken, fmt.Sprintf("%s was started %.2f s after its cancelling was answered with %d", r.task, r.startedAt.Sub(acknowledgedAt).Seconds(), cancelStatus))
		}
		if endedAt.After(acknowledgedAt.Add(cancelMS+stopMS)) && endedAt.After(calmFrom) {
			broken = append(broken, fmt.Sprintf("%s still ran %.2f s after its cancelling was answered with %d, %.2f s after the store's last late write", r.task, endedAt.Sub(acknowledgedAt).Seconds(), cancelStatus, endedAt.Sub(begun.Add(late+window)).Seconds()))
		}
	}
	in.finish(broken)
}

func how(r run) string {
	if r.endedAt.IsZero() {
		return "still at work"
	}
	return r.how
}
