package scheduler

import (
	"slices"
	"time"
)

// The starts of a gang are sent only together: once the list of intended starts names all of
// them. That they are sent takes time, as there is a bound on the orders in flight. If one
// can't be sent any more meanwhile, the others are withdrawn, or stopped if they were sent.

// gangStart is a gang whose starts are intended and not all sent.
type gangStart struct {
	step *step
	// unsent are the runs whose starts are to be sent, those of each worker in turn.
	unsent []*run
	// named counts the first of them that a committed list names.
	named int
	// letGo is true from when the list names all of them. intendedAt is when they were placed.
	letGo      bool
	intendedAt time.Time
}

const (
	// maxGangSending is how long after it was intended a start of a wide gang may be sent. The
	// members that were started wait for the others for a limited time.
	maxGangSending = 2500 * time.Millisecond
	// maxUnsentMembers is the most starts of several gangs that wait to be sent.
	maxUnsentMembers = 2048
	// gangBackoff is how long a gang waits that could not be sent in time; the time doubles
	// with each further attempt, at most maxGangBackoffs times.
	gangBackoff     = time.Second
	maxGangBackoffs = 5
)

// mayStartGang reports whether the starts of a gang can be sent in time beside those that are
// to be sent already, and their runs fit into the bound. A gang that is wider than those may be
// starts alone.
func (c *Core) mayStartGang(s *step) bool {
	unsent := 0
	for _, g := range c.gangs {
		unsent += len(g.unsent)
	}
	return s.def.Count <= c.runsLeft && (unsent == 0 || unsent+s.def.Count <= maxUnsentMembers)
}

// intendGang adds the starts of a gang that has just been placed to those to be sent.
func (c *Core) intendGang(s *step) {
	byWorker := make(map[*worker][]*run)
	var workers []*worker
	for t := range s.knownTasks() {
		if r := t.run; r != nil {
			if byWorker[r.worker] == nil {
				workers = append(workers, r.worker)
			}
			byWorker[r.worker] = append(byWorker[r.worker], r)
		}
	}
	g := &gangStart{step: s, intendedAt: c.now}
	for len(workers) > 0 {
		workers = slices.DeleteFunc(workers, func(w *worker) bool {
			g.unsent = append(g.unsent, byWorker[w][0])
			byWorker[w] = byWorker[w][1:]
			return len(byWorker[w]) == 0
		})
	}
	c.gangs = append(c.gangs, g)
}

// sendGangs sends the starts of gangs that are committed, as far as there is room. It
// withdraws gangs that would not be started now.
func (c *Core) sendGangs() {
	for _, g := range c.gangs {
		if !g.letGo && !c.letGangGo(g) {
			continue
		}
		g.unsent = slices.DeleteFunc(g.unsent, func(r *run) bool {
			if r.toBeSent() && c.hasRoomForStart(r.worker) && c.mayStillSend() {
				if why := c.obsoleteStart(r); why != "" {
					g.backOff(c.now, why)
					c.withdraw(r, why)
				} else {
					c.sendStart(r)
				}
			}
			return !r.toBeSent()
		})
		c.startsWait = c.startsWait || len(g.unsent) > 0
	}
	c.gangs = slices.DeleteFunc(c.gangs, func(g *gangStart) bool { return len(g.unsent) == 0 })
}

// letGangGo reports whether a gang may be sent now. One that would not be started now is
// withdrawn.
func (c *Core) letGangGo(g *gangStart) bool {
	if g.unsent = slices.DeleteFunc(g.unsent, func(r *run) bool { return !r.toBeSent() }); len(g.unsent) == 0 {
		return false
	}
	for g.named < len(g.unsent) && g.unsent[g.named].named() {
		g.named++
	}
	if c.now.Sub(g.intendedAt) >= maxIntendedTime {
		c.withdraw(g.unsent[0], notInTime)
		return false
	}
	if g.named < len(g.unsent) || !c.startRecordStored(g.step) {
		c.noteUnsent(g.step)
		return false
	}
	for _, r := range g.unsent {
		if why := c.obsoleteStart(r); why != "" {
			c.withdraw(r, why)
			return false
		}
	}
	g.letGo = true
	return true
}

// mayStillSend reports whether the last commit is so young that a successor counts on further
// starts.
func (c *Core) mayStillSend() bool {
	return c.renewedAt.IsZero() || c.now.Sub(c.renewedAt) < maxIntendedTime
}

// wideGang reports whether the step is a gang whose members are too many to be treated one by
// one in the rows that tell a successor of their starts.
func (s *Step) wideGang() bool { return s.Gang && s.Count > gangWorkerStarts }

// sendingTime returns how long after it was intended a start of the step may be sent. Wide gangs
// need longer, and a successor counts on the longer time for them only.
func (s *Step) sendingTime() time.Duration {
	if s.wideGang() {
		return maxGangSending
	}
	return maxIntendedTime
}

// backOff has a wide gang wait that was let go and could not be sent in time. One that was not
// committed in time is tried again at once: the store may be back.
func (g *gangStart) backOff(now time.Time, why string) {
	if s := g.step; s.def.wideGang() && why == notInTime {
		s.retryAt = now.Add(gangBackoff << min(s.notSent, maxGangBackoffs))
		s.notSent++
	}
}
