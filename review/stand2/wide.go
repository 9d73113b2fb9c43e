//go:build review2

package main

import (
	"fmt"
	"time"
)

// wide: one submission with many tasks is under way, most of which wait for their
// turn, when the process that last wrote to the store under a condition is killed.
func wide(dir string, trouble bool) {
	const (
		wideTasks   = 6000
		trafficEnds = 34 * time.Second
		finish      = 14 * time.Second
	)
	in := newInstallation(dir, 16, []map[string]any{
		{"name": "r-wide", "path_prefix": "/lohu930/", "slo_ms": 1000, "priority": 1, "max_attempts": 3, "stretch": 4.0},
		{"name": "r-quote", "path_prefix": "/pule252/", "slo_ms": 1000, "priority": 0, "max_attempts": 3, "stretch": 4.0},
	})
	for _, m := range in.minions {
		m.quiet = true
	}
	begun := time.Now()
	large := newID()
	status, _ := in.balance("POST", "/lohu930/"+large, map[string]any{
		"spec":  "work 1000 1000",
		"steps": []map[string]any{{"count": wideTasks, "cpu": 1000, "mem_mb": 256, "estimate_ms": 1000, "anti_affinity": 8}},
	}, 4)
	in.rec.log("POST of %s, %d tasks of 1 core and 1 s, at most 8 on a minion: %d", large, wideTasks, status)
	if status != 200 {
		cannotRun("the large submission was not accepted: %d", status)
	}
	type sent struct {
		id         string
		acceptedAt time.Time
	}
	var accepted []sent
	struck := false
	for time.Since(begun) < trafficEnds {
		if trouble && !struck && time.Since(begun) > 5*time.Second {
			struck = true
			victim := in.entryNamed(in.store.lastWriter())
			in.rec.log("SIGKILL of %s, which last wrote to the store under a condition; it starts again in 3.5 s", victim.name)
			victim.kill()
			time.AfterFunc(3500*time.Millisecond, func() { in.launch(victim) })
		}
		id := newID()
		status, _ := in.balance("POST", "/pule252/"+id, map[string]any{
			"spec": "work 500 1000", "steps": []map[string]any{{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500}},
		}, 4)
		in.rec.note("POST of %s, 2 tasks of 1 core and 0.5 s: %d", id, status)
		if status == 200 {
			accepted = append(accepted, sent{id, time.Now()})
		}
		time.Sleep(500 * time.Millisecond)
	}
	in.rec.log("the traffic ends; %d small submissions were accepted", len(accepted))
	time.Sleep(finish)
	now := time.Now()
	by := in.runsOf()
	used := 0
	for _, runs := range by {
		for _, r := range runs {
			if r.endedAt.IsZero() {
				used++
			}
		}
	}
	in.rec.log("%.0f s after the end of the traffic %d of 512 cores are in use", finish.Seconds(), used)
	var broken []string
	for _, s := range accepted {
		status, answered := in.balance("GET", "/pule252/"+s.id, nil, 4)
		state := fmt.Sprint(answered["state"])
		lastAt := s.acceptedAt
		for _, r := range by[s.id] {
			if r.endedAt.IsZero() {
				lastAt = now
			} else if r.endedAt.After(lastAt) {
				lastAt = r.endedAt
			}
		}
		in.rec.note("GET of %s: %d %s; %d runs so far", s.id, status, state, len(by[s.id]))
		switch {
		case status != 200:
			broken = append(broken, fmt.Sprintf("%s was accepted, and a GET for it got %d", s.id, status))
		case state != "completed" && now.Sub(lastAt) > 3*time.Second && used < 256:
			broken = append(broken, fmt.Sprintf("%s was accepted %.1f s ago, is %s, and has had nothing running for %.1f s, with %d of 512 cores in use", s.id, now.Sub(s.acceptedAt).Seconds(), state, now.Sub(lastAt).Seconds(), used))
		}
	}
	if len(broken) > 3 {
		for _, problem := range broken[3:] {
			in.rec.note("BROKEN: %s", problem)
		}
		broken = append(broken[:3], fmt.Sprintf("%d more of the %d accepted small submissions, see the record", len(broken)-3, len(accepted)))
	}
	_, answered := in.balance("GET", "/lohu930/"+large, nil, 4)
	done := 0
	by = in.runsOf()
	for _, r := range by[large] {
		if r.how == "done" {
			done++
		}
	}
	in.rec.log("the large submission is %v; %d of its tasks have ended done", answered["state"], done)
	in.rec.log("writes that the store refused for their size: %v", in.store.refusals())
	in.finish(broken)
}

func (s *store) refusals() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]int)
	for problem, n := range s.refused {
		all[problem] = n
	}
	return all
}
