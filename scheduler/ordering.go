package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// An owner may have thousands of runs to stop at once, or of starts to send. Each order that
// is sent takes memory, and a connection to its worker, of which there are a few; one that
// waits for a connection may time out before it is sent. So orders wait as runs, and there is a
// bound on the starts and on the stops in flight, for each worker and in all. Neither kind
// waits for the other, and workers take turns.

const (
	// workerOrders is the most starts and stops together in flight to one worker, workerKind
	// the most of either. They, a poll and a pace have a connection each.
	workerOrders = 14
	workerKind   = 10
	// maxOrdersInFlight is the most starts in flight to all workers, and the most stops.
	maxOrdersInFlight = 384
)

// orderCount counts orders in flight: those that the owner sends, and the stops that carriers
// send (carrier.go).
type orderCount struct{ starts, stops, carried int }

func (n orderCount) mayAddStart() bool {
	return n.starts < workerKind && n.starts+n.stops < workerOrders
}

func (n orderCount) mayAddStop() bool {
	return n.stops < workerKind && n.starts+n.stops < workerOrders
}

// sendStop has a stop sent for a run unless one waits or is in flight.
func (c *Core) sendStop(r *run) {
	if r.stopInFlight {
		return
	}
	r.stopInFlight = true
	if r.worker.stops = append(r.worker.stops, r); len(r.worker.stops) == 1 {
		c.stopping = append(c.stopping, r.worker)
	}
}

// sendStopsFirst has stops sent again for runs that the worker still has, before those that wait.
func (c *Core) sendStopsFirst(w *worker, runs []*run) {
	if len(runs) == 0 {
		return
	}
	if len(w.stops) == 0 {
		c.stopping = append(c.stopping, w)
	}
	for _, r := range runs {
		r.stopInFlight = true
	}
	w.stops = slices.Concat(runs, w.stops)
}

// issueStops issues the stops for which there is room, worker after worker. The owner hands
// over what it can't send itself.
func (c *Core) issueStops() {
	c.expireBatches()
	limit, handsOver := c.options.OwnStops, c.handsOver()
	if handsOver {
		limit = min(limit, ownStops)
		// Those with the most stops would be the last to be done with them.
		slices.SortStableFunc(c.stopping, func(a, b *worker) int { return cmp.Compare(len(b.stops), len(a.stops)) })
	}
	for range c.stopping {
		w := c.stopping[0]
		c.stopping = c.stopping[1:]
		for len(w.stops) > 0 && w.inFlight.mayAddStop() && c.inFlight.stops < limit {
			if r := w.takeStop(); r != nil {
				c.issueStop(r)
			}
		}
		if handsOver {
			c.handOver(w)
		}
		if len(w.stops) > 0 {
			c.stopping = append(c.stopping, w)
		}
	}
}

// handsOver reports whether more stops are due than the owner may have in flight, and there are
// carriers for them that don't rest.
func (c *Core) handsOver() bool {
	if !slices.ContainsFunc(c.carriers, func(candidate *carrier) bool { return candidate.breaker.Allows(c.now) }) {
		return false
	}
	due := c.inFlight.stops + c.inFlight.carried
	for _, w := range c.stopping {
		due += len(w.stops)
	}
	return due > c.options.OwnStops
}

// takeStop removes the first stop that waits, and returns its run, or nil if the run needs none
// any more.
func (w *worker) takeStop() *run {
	r := w.stops[0]
	w.stops = w.stops[1:]
	if !r.stopInFlight || w.runs[runKey{r.name, r.number}] != r {
		return nil
	}
	return r
}

// issueStop issues a stop.
func (c *Core) issueStop(r *run) {
	c.logStop(r)
	r.worker.inFlight.stops++
	c.inFlight.stops++
	c.orders.Stops = append(c.orders.Stops, StopOrder{Worker: r.worker.ref(), Task: r.name, Run: r.number, Fence: c.fence(r.worker)})
}

// logStop logs a stop as it is issued: a job that ends may have very many runs.
func (c *Core) logStop(r *run) {
	if r.stopWhy == "" {
		return
	}
	c.logLimited(eventStop, func() LogRecord {
		return LogRecord{Job: r.name.Job, Task: r.name, Run: r.number, Worker: r.worker.info.HostID, Why: r.stopWhy}
	})
	r.stopWhy = ""
}

// stopReturned records that a stop has a result, or none in time.
func (c *Core) stopReturned(w *worker) {
	c.inFlight.stops = max(0, c.inFlight.stops-1)
	if w != nil {
		w.inFlight.stops = max(0, w.inFlight.stops-1)
	}
}

// startReturned records that a start has a result, or none in time.
func (c *Core) startReturned(w *worker) {
	c.inFlight.starts = max(0, c.inFlight.starts-1)
	if w != nil {
		w.inFlight.starts = max(0, w.inFlight.starts-1)
	}
}

// hasRoomForStart reports whether a start may be sent to the worker now.
func (c *Core) hasRoomForStart(w *worker) bool {
	return w.inFlight.mayAddStart() && c.inFlight.starts < maxOrdersInFlight
}

// OrdersWaiting reports whether orders wait only for others to return, so that they may be
// taken with TakeOrders once some have.
func (c *Core) OrdersWaiting() bool { return len(c.stopping) > 0 || c.startsWait }

// TakeOrders returns the orders that may be sent now: starts that a commit has let go, and
// what has waited for other orders to return.
func (c *Core) TakeOrders(now time.Time) Orders {
	c.now = now
	c.sendIntended()
	c.issueStops()
	orders := c.orders
	c.orders = Orders{}
	return orders
}

// mayStopAgain reports whether a stop is to be sent for a run that its worker still reports:
// it has acknowledged none, or has had the time to carry it out.
func (c *Core) mayStopAgain(r *run) bool {
	return r.barredAt.IsZero() || c.now.Sub(r.barredAt) > c.options.LongestStop
}
