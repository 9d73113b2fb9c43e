package replayer

import (
	"container/heap"
	"time"
)

// Virtual time stands still while an event runs, and then jumps to the next one that is
// due. Events due at the same time run in the order in which they were scheduled, so
// the same pattern and seed always yield the same replay.

// scheduledEvent is an action that runs at a virtual time.
type scheduledEvent struct {
	at time.Time
	// sequence orders events of the same time by when they were scheduled.
	sequence int
	action   func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []scheduledEvent

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	if !e[i].at.Equal(e[j].at) {
		return e[i].at.Before(e[j].at)
	}
	return e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(scheduledEvent)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (r *replay) schedule(at time.Time, action func()) {
	r.lastSequence++
	heap.Push(&r.events, scheduledEvent{at, r.lastSequence, action})
}

func (r *replay) scheduleAfter(delay time.Duration, action func()) {
	r.schedule(r.now.Add(delay), action)
}
