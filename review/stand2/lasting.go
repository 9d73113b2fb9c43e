//go:build review2

package main

import (
	"fmt"
	"time"
)

// lasting: tasks that last run on a minion that is lost for good.
func lasting(dir string, trouble bool) {
	const submissions = 120
	in := newInstallation(dir, 16, []map[string]any{
		{"name": "r-serve", "path_prefix": "/lohu930/", "slo_ms": 1000, "priority": 1, "max_attempts": 3, "stretch": 2.2, "advice": map[string]any{"decide_ms": 360.0, "interval_ms": 5.2, "valid_ms": 1500}},
		{"name": "r-quote", "path_prefix": "/pule252/", "slo_ms": 1000, "priority": 0, "max_attempts": 3, "stretch": 4.0},
	})
	var ids []string
	for range submissions {
		id := newID()
		status, _ := in.balance("POST", "/lohu930/"+id, map[string]any{
			"spec":  "lasts advised",
			"steps": []map[string]any{{"count": 1, "cpu": 500, "mem_mb": 1024, "estimate_ms": 1000, "long_running": true}},
		}, 4)
		if status != 200 {
			cannotRun("a submission was not accepted: %d", status)
		}
		ids = append(ids, id)
	}
	in.rec.log("%d submissions of one task each that lasts were accepted", len(ids))
	in.await("all tasks to run", 40*time.Second, func() bool {
		by := in.runsOf()
		for _, id := range ids {
			if runs := by[id]; len(runs) == 0 || !runs[len(runs)-1].endedAt.IsZero() {
				return false
			}
		}
		return true
	})
	time.Sleep(5 * time.Second)
	count := make(map[string]int)
	on := make(map[string]string)
	for id, runs := range in.runsOf() {
		for _, r := range runs {
			if r.endedAt.IsZero() {
				count[r.minion]++
				on[id] = r.minion
			}
		}
	}
	var lost *minion
	for _, m := range in.minions {
		if lost == nil || count[m.id] > count[lost.id] {
			lost = m
		}
	}
	in.rec.log("all run; %d of them on %s", count[lost.id], lost.id)
	lostAt := time.Now()
	if trouble {
		in.rec.log("%s is lost for good", lost.id)
		lost.vanish()
	}
	time.Sleep(16 * time.Second)
	var broken []string
	var last time.Duration
	for _, id := range ids {
		var again time.Time
		for _, r := range in.runsOf()[id] {
			if r.startedAt.After(lostAt) && (again.IsZero() || r.startedAt.Before(again)) {
				again = r.startedAt
			}
		}
		if on[id] != lost.id || !trouble {
			continue
		}
		if again.IsZero() {
			again = time.Now()
		}
		in.rec.note("%s: at work again %.3f s after its minion was lost", id, again.Sub(lostAt).Seconds())
		last = max(last, again.Sub(lostAt))
		// Nothing runs for 3 s, from 6 s after the last run on.
		if again.Sub(lostAt) > 9*time.Second {
			broken = append(broken, fmt.Sprintf("%s: from 6 s after its last run on, nothing ran for %.3f s", id, again.Sub(lostAt).Seconds()-6))
		}
	}
	if trouble {
		in.rec.log("the last of the %d tasks is at work again %.3f s after the loss; %d of them after more than 9 s", count[lost.id], last.Seconds(), len(broken))
	}
	if len(broken) > 3 {
		for _, problem := range broken[3:] {
			in.rec.note("BROKEN: %s", problem)
		}
		broken = broken[:3]
	}
	in.finish(broken)
}
