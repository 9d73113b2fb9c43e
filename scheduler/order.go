package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// lateFactor times its objective is when a job is worth nothing any more.
const lateFactor = 3

// urgency is a step's place in the order.
type urgency struct {
	// tier is 0 for what can still be in time, 1 for what can be late, 2 for
	// what is past that.
	tier     int
	priority int
	dueAt    time.Time
}

func (a urgency) compare(b urgency) int {
	if a.tier != b.tier {
		return cmp.Compare(a.tier, b.tier)
	}
	if a.priority != b.priority {
		return cmp.Compare(a.priority, b.priority)
	}
	return a.dueAt.Compare(b.dueAt)
}

// urgencyOf returns where a step stands in the order at now.
func (s *step) urgencyOf(now time.Time) urgency {
	j := s.job()
	objective := j.objective
	from := s.occurrence.dueAt
	left := j.criticalPaths[s.number]
	u := urgency{priority: j.spec.Priority, dueAt: from.Add(objective)}
	switch end := now.Add(left); {
	case s.def.LongRunning || !end.After(u.dueAt):
	case !end.After(from.Add(lateFactor * objective)):
		u.tier = 1
	default:
		u.tier = 2
	}
	return u
}

// sortByOrder sorts steps by urgency.
func (c *Core) sortByOrder(steps []*step) {
	for _, s := range steps {
		s.rank = s.urgencyOf(c.now)
	}
	slices.SortFunc(steps, func(a, b *step) int {
		if order := a.rank.compare(b.rank); order != 0 {
			return order
		}
		return cmp.Or(cmp.Compare(a.job().name(), b.job().name()), cmp.Compare(a.number, b.number))
	})
}
