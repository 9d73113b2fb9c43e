//go:build review2

package main

import (
	"fmt"
	"time"
)

// maymiss: of the tasks of a step with may_miss = 1, one is away because its minion was
// lost for good 5 s ago, when a task with a target for its response times comes.
func maymiss(dir string, trouble bool) {
	const (
		minions  = 16
		noticeMS = 4500 * time.Millisecond
		mayMiss  = 1
	)
	in := newInstallation(dir, minions, []map[string]any{
		{"name": "r-fill", "path_prefix": "/lohu930/", "slo_ms": 3000, "priority": 2, "max_attempts": 3, "stretch": 4.0},
		{"name": "r-serve", "path_prefix": "/pule252/", "slo_ms": 250, "priority": 0, "max_attempts": 3, "stretch": 1.5},
	})
	filler := newID()
	status, _ := in.balance("POST", "/lohu930/"+filler, map[string]any{
		"spec":  "lasts",
		"steps": []map[string]any{{"count": minions, "cpu": 4000, "mem_mb": 1024, "estimate_ms": 1000, "long_running": true, "fills": true, "may_miss": mayMiss, "anti_affinity": 1}},
	}, 4)
	in.rec.log("POST of %s, %d tasks that last and fill, may_miss %d, one on a minion: %d", filler, minions, mayMiss, status)
	in.await("all tasks that fill to run", 20*time.Second, func() bool {
		atWork := 0
		for _, r := range in.runsOf()[filler] {
			if r.endedAt.IsZero() {
				atWork++
			}
		}
		return atWork == minions
	})
	time.Sleep(3 * time.Second)
	lost := in.minions[5]
	lostAt := time.Now()
	if trouble {
		in.rec.log("minion %s is lost for good", lost.id)
		lost.vanish()
	}
	time.Sleep(5 * time.Second)
	server := newID()
	status, _ = in.balance("POST", "/pule252/"+server, map[string]any{
		"spec":  "lasts",
		"steps": []map[string]any{{"count": 1, "cpu": 8000, "mem_mb": 1024, "estimate_ms": 1000, "long_running": true, "target_ms": 50}},
	}, 4)
	in.rec.log("POST of %s, one task that serves, target_ms 50: %d, %.3f s after", server, status, time.Since(lostAt).Seconds())
	time.Sleep(9 * time.Second)
	byTask := make(map[string][]run)
	for _, r := range in.runsOf()[filler] {
		byTask[r.task] = append(byTask[r.task], r)
	}
	var broken []string
	for task, runs := range byTask {
		for _, r := range runs {
			if r.how != "stopped" {
				continue
			}
			away := 0
			for other, theirs := range byTask {
				if other != task && awayFor(theirs, r.endedAt, noticeMS) {
					away++
					in.rec.log("when %s was stopped, %s had not been at work for %.3f s", task, other, sinceWork(theirs, r.endedAt).Seconds())
				}
			}
			in.rec.log("%s was stopped on %s %.3f s after; of the others %d were away, and %d may be", task, r.minion, r.endedAt.Sub(lostAt).Seconds(), away, mayMiss)
			if away >= mayMiss {
				broken = append(broken, fmt.Sprintf("a stop ended %s at work on %s while %d other task of its step was away (may_miss %d)", task, r.minion, away, mayMiss))
			}
		}
	}
	in.finish(broken)
}

// sinceWork returns for how long none of the runs of a task had been at work.
func sinceWork(runs []run, at time.Time) time.Duration {
	var last time.Time
	for _, r := range runs {
		if r.startedAt.After(at) {
			continue
		}
		if r.endedAt.IsZero() || r.endedAt.After(at) {
			return 0
		}
		if r.endedAt.After(last) {
			last = r.endedAt
		}
	}
	return at.Sub(last)
}

// awayFor reports whether a task was away: ended by a stop, or not at work for the given
// time for any cause.
func awayFor(runs []run, at time.Time, notice time.Duration) bool {
	idle := sinceWork(runs, at)
	if idle == 0 {
		return false
	}
	stopped := false
	for _, r := range runs {
		stopped = stopped || r.how == "stopped" && r.endedAt.Equal(at.Add(-idle))
	}
	return stopped || idle >= notice
}
