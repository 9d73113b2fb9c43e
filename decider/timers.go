package decider

import (
	"container/heap"
	"time"
)

// A timer lets the core act at a later time. The core has no clock: its timers run
// when the first event at or after that time is handled, at the latest the next Tick.

// timer is a function that runAt has scheduled.
type timer struct {
	at time.Time
	do func()
}

// timers is a heap of timers, the earliest first.
type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at.Before(t[j].at) }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	old := *t
	last := old[len(old)-1]
	old[len(old)-1] = timer{}
	*t = old[:len(old)-1]
	return last
}

// runAt runs do when the first event at or after the time is handled, before
// the event itself.
func (c *Core) runAt(at time.Time, do func()) { heap.Push(&c.timers, timer{at: at, do: do}) }

func (c *Core) runTimers() {
	for len(c.timers) > 0 && !c.now.Before(c.timers[0].at) {
		next, _ := heap.Pop(&c.timers).(timer)
		next.do()
	}
}
