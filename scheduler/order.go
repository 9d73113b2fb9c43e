package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// lateFactor is the multiple of its objective after which a job has no value.
const lateFactor = 3

// rank is the position of a step in the placement order: by tier, then by
// priority, then by the time at which its objective ends.
type rank struct {
	// tier is 0 for a step whose job can still end within its objective, 1 for
	// one that can end within lateFactor times the objective, and 2 for all
	// others. Late steps thus do not delay steps that can still be in time.
	tier     int
	priority int
	dueAt    time.Time
}

// compare returns a negative number if a comes before b.
func (a rank) compare(b rank) int {
	if a.tier != b.tier {
		return cmp.Compare(a.tier, b.tier)
	}
	if a.priority != b.priority {
		return cmp.Compare(a.priority, b.priority)
	}
	return a.dueAt.Compare(b.dueAt)
}

// rankAt returns the rank of the step at now. It assumes that the step starts
// at now and that the job ends when the critical path that begins with the step
// is complete. Long-running steps have no end and are always in tier 0.
func (s *step) rankAt(now time.Time) rank {
	j := s.job()
	objective := j.objective
	startAt := s.occurrence.dueAt
	remaining := j.criticalPaths[s.number]
	result := rank{priority: j.spec.Priority, dueAt: startAt.Add(objective)}
	switch end := now.Add(remaining); {
	case s.def.LongRunning || !end.After(result.dueAt):
	case !end.After(startAt.Add(lateFactor * objective)):
		result.tier = 1
	default:
		result.tier = 2
	}
	return result
}

// sortByRank updates the ranks of the steps and sorts them. Steps of equal rank
// are ordered by job and step number, so that decisions are deterministic.
func (c *Core) sortByRank(steps []*step) {
	for _, s := range steps {
		s.rank = s.rankAt(c.now)
	}
	slices.SortFunc(steps, func(a, b *step) int {
		if order := a.rank.compare(b.rank); order != 0 {
			return order
		}
		return cmp.Or(cmp.Compare(a.job().name(), b.job().name()), cmp.Compare(a.number, b.number))
	})
}
