//go:build review2

package main

import (
	"fmt"
	"time"
)

// serving: a step that fills has a task on each minion and may miss one of them. One
// minion is lost for good. Later a task that serves comes.
func serving(dir string, trouble bool) {
	const minions = 16
	in := newInstallation(dir, minions, []map[string]any{
		{"name": "r-fill", "path_prefix": "/lohu930/", "slo_ms": 3000, "priority": 2, "max_attempts": 3, "stretch": 4.0},
		{"name": "r-serve", "path_prefix": "/pule252/", "slo_ms": 250, "priority": 0, "max_attempts": 3, "stretch": 1.5},
	})
	filler := newID()
	status, _ := in.balance("POST", "/lohu930/"+filler, map[string]any{
		"spec":  "lasts",
		"steps": []map[string]any{{"count": minions, "cpu": 4000, "mem_mb": 1024, "estimate_ms": 1000, "long_running": true, "fills": true, "may_miss": 1, "anti_affinity": 1}},
	}, 4)
	in.rec.log("POST of %s, %d tasks that last and fill, may_miss 1, one on a minion: %d", filler, minions, status)
	atWork := func() int {
		n := 0
		for _, r := range in.runsOf()[filler] {
			if r.endedAt.IsZero() {
				n++
			}
		}
		return n
	}
	in.await("all tasks that fill to run", 20*time.Second, func() bool { return atWork() == minions })
	time.Sleep(3 * time.Second)
	if trouble {
		in.rec.log("minion %s is lost for good", in.minions[5].id)
		in.minions[5].vanish()
	}
	time.Sleep(20 * time.Second)
	server := newID()
	status, _ = in.balance("POST", "/pule252/"+server, map[string]any{
		"spec":  "lasts",
		"steps": []map[string]any{{"count": 1, "cpu": 8000, "mem_mb": 1024, "estimate_ms": 1000, "long_running": true, "target_ms": 50}},
	}, 4)
	if status != 200 {
		cannotRun("the task that serves was not accepted: %d", status)
	}
	acceptedAt := time.Now()
	in.rec.log("POST of %s, one task of 8 cores that serves, target_ms 50: %d; 20 s after the loss", server, status)
	const watched = 30 * time.Second
	time.Sleep(watched)
	shown, answered := in.balance("GET", "/pule252/"+server, nil, 4)
	runs := in.runsOf()[server]
	in.rec.log("GET of %s: %d %v; %d runs; %d of the tasks that fill are at work, and nothing else", server, shown, answered["state"], len(runs), atWork())
	var broken []string
	switch {
	case len(runs) == 0:
		broken = append(broken, fmt.Sprintf("%s was accepted %.1f s ago and has had nothing running since, with 32 cores on each of %d minions of which nothing is counted as taken", server, time.Since(acceptedAt).Seconds(), minions-1))
	case runs[0].startedAt.Sub(acceptedAt) > 3*time.Second:
		broken = append(broken, fmt.Sprintf("%s was started %.1f s after it was accepted", server, runs[0].startedAt.Sub(acceptedAt).Seconds()))
	}
	in.finish(broken)
}
