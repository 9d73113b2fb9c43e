//go:build review

package main

import (
	"strings"
	"sync"
	"time"
)

// gang is one run of all tasks of a step that work only together: from the
// moment when all are present, and they end done together. If one ends, the
// others end broken; if some don't come within gangTimeout, those present end
// alone.
type gang struct {
	members []gangTask
	over    bool
}

type gangTask struct {
	minion *minion
	run    *taskRun
}

const gangTimeout = 3 * time.Second

// gangs are the gangs of the world by step and run.
type gangs struct {
	mu    sync.Mutex
	known map[gangKey]*gang
}

type gangKey struct {
	step string
	run  int64
}

func keyOf(run *taskRun) gangKey {
	return gangKey{run.Task[:strings.LastIndex(run.Task, ".")], run.Run}
}

// gangMember adds a run to its gang. It is called with the minion locked, so
// ends of other members are applied by goroutines of their own.
func (w *world) gangMember(m *minion, run *taskRun, s step) {
	w.gangs.mu.Lock()
	defer w.gangs.mu.Unlock()
	if w.gangs.known == nil {
		w.gangs.known = make(map[gangKey]*gang)
	}
	key := keyOf(run)
	g := w.gangs.known[key]
	if g == nil {
		g = &gang{}
		w.gangs.known[key] = g
		time.AfterFunc(gangTimeout, func() {
			w.gangs.mu.Lock()
			alone := len(g.members) < s.Count
			w.gangs.mu.Unlock()
			if alone {
				w.endGang(g, "alone", time.Now())
			}
		})
	}
	g.members = append(g.members, gangTask{m, run})
	if g.over {
		go w.endGang(g, "broken", time.Now())
		return
	}
	if len(g.members) == s.Count {
		time.AfterFunc(time.Duration(s.workMS)*time.Millisecond, func() { w.endGang(g, "done", time.Now()) })
	}
}

// endGang ends the members that run.
func (w *world) endGang(g *gang, how string, at time.Time) {
	w.gangs.mu.Lock()
	if g.over && how != "broken" {
		w.gangs.mu.Unlock()
		return
	}
	g.over = true
	members := append([]gangTask{}, g.members...)
	w.gangs.mu.Unlock()
	for _, member := range members {
		m := member.minion
		m.mu.Lock()
		if m.up && m.runs[member.run.Task] == member.run {
			m.end(member.run, how, at)
		}
		m.mu.Unlock()
	}
}

// gangBreaks ends the other members of a run that has ended otherwise than done.
func (w *world) gangBreaks(run *taskRun) {
	go func() {
		w.gangs.mu.Lock()
		g := w.gangs.known[keyOf(run)]
		ended := g == nil || g.over
		if g != nil {
			g.over = true
		}
		w.gangs.mu.Unlock()
		if !ended {
			w.endGang(g, "broken", time.Now())
		}
	}()
}
