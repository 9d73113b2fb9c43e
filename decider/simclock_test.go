package decider

import (
	"container/heap"
	"time"
)

// Time in a simulation stands still while an action runs, and then jumps to the
// next one that is due. Actions due at the same time run in the order in which they
// were scheduled, so a seed always yields the same run.

// scheduledAction runs at a time; sequence orders actions with equal times.
type scheduledAction struct {
	at       time.Time
	sequence int
	do       func()
}

// actionQueue is a heap of scheduled actions, the next one first.
type actionQueue []scheduledAction

func (m actionQueue) Len() int { return len(m) }
func (m actionQueue) Less(i, j int) bool {
	return m[i].at.Before(m[j].at) || m[i].at.Equal(m[j].at) && m[i].sequence < m[j].sequence
}
func (m actionQueue) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *actionQueue) Push(x any)   { *m = append(*m, x.(scheduledAction)) }
func (m *actionQueue) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

func (s *simulation) after(pause time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.queue, scheduledAction{at: s.now.Add(pause), sequence: s.sequence, do: do})
}

func (s *simulation) every(pause time.Duration, do func()) {
	s.after(pause, func() {
		do()
		s.every(pause, do)
	})
}

// advance runs the actions that are due within length and moves the clock.
func (s *simulation) advance(length time.Duration) {
	end := s.now.Add(length)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next, _ := heap.Pop(&s.queue).(scheduledAction)
		s.now = next.at
		next.do()
	}
	s.now = end
}

// delay draws the transmission time of a message; a few messages are much slower.
func (s *simulation) delay() time.Duration {
	delay := time.Duration(1+s.random.IntN(6)) * time.Millisecond
	if s.random.IntN(200) == 0 {
		delay += time.Duration(s.random.IntN(300)) * time.Millisecond
	}
	return delay
}
