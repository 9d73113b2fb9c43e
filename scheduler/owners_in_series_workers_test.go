package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// The workers of the cell in which owners are lost in series, and their runs.

type seriesWorker struct {
	info   WorkerInfo
	fence  Fence
	lease  time.Time
	runs   map[runKey]*seriesRun
	barred map[TaskName]RunNumber
	ended  []EndedRun
	ends   int64
	// endedAt is when each of its runs ended, by the number of the end.
	endedAt map[int64]time.Time
	// lapsed is the number of the last end before a lease has lapsed.
	lapsed int64
	// down is true while no life is there, cut while no owner reaches it.
	down, cut bool
}

type seriesRun struct {
	startedAt, workedSince time.Time
}

// percent is how much of its work the run has done: nothing before it is at work.
func (r *seriesRun) percent(now time.Time) int {
	if r.workedSince.IsZero() {
		return 0
	}
	return int(min(99, now.Sub(r.workedSince)/(20*time.Millisecond)))
}

func (w *seriesWorker) ref() WorkerRef {
	return WorkerRef{HostID: w.info.HostID, Address: w.info.Address, BootedAt: w.info.BootedAt}
}

// execute has the present life of a worker execute a start, with a lease until a time on its clock.
func (c *seriesCell) execute(start StartOrder, deadline WorkerTime) OrderResult {
	w := c.workers[start.Worker.HostID]
	i := slices.IndexFunc(c.pending, func(o sentOrder) bool { return o.Task == start.Task && o.Run == start.Run && o.Fence == start.Fence })
	c.pending = slices.Delete(c.pending, i, i+1)
	key := runKey{start.Task, start.Run}
	if start.Fence < w.fence {
		return OrderFenced
	}
	w.fence = start.Fence
	if w.runs[key] != nil {
		return OrderAccepted
	}
	if start.Run <= w.barred[start.Task] {
		return OrderStaleRun
	}
	c.extend(w, deadline)
	c.checkTwice(w, key)
	w.runs[key] = &seriesRun{startedAt: c.now}
	c.startedAt[key.name] = c.now
	c.noteComplete(key.number)
	return OrderAccepted
}

func (c *seriesCell) extend(w *seriesWorker, deadline WorkerTime) {
	left := min(deadline-c.clock(w.ref()), 10_000)
	if until := c.now.Add(time.Duration(float64(left)/0.98) * time.Millisecond); until.After(w.lease) {
		w.lease = until
	}
}

// checkTwice fails the test if a run begins beside another one of its task, or after an end done that
// was taken note of.
func (c *seriesCell) checkTwice(w *seriesWorker, key runKey) {
	if c.noted[key.name] {
		c.t.Errorf("TWICE: run %d of %v starts on %s at %v; an end done was acknowledged", key.number, key.name, w.info.HostID, c.since(c.now))
	}
	for _, other := range c.workers {
		for k := range other.runs {
			if k.name == key.name {
				c.t.Errorf("TWICE: run %d of %v starts on %s at %v; run %d is on %s", key.number, key.name, w.info.HostID, c.since(c.now), k.number, other.info.HostID)
			}
		}
	}
}

func (w *seriesWorker) stop(now time.Time, stop StopOrder) OrderResult {
	if w.down || w.cut {
		return OrderUnknown
	}
	if stop.Fence < w.fence {
		return OrderFenced
	}
	w.fence = stop.Fence
	w.barred[stop.Task] = max(w.barred[stop.Task], stop.Run)
	if key := (runKey{stop.Task, stop.Run}); w.runs[key] != nil {
		w.end(now, key, EndStopped)
	}
	return OrderAccepted
}

func (w *seriesWorker) end(now time.Time, key runKey, kind EndKind) {
	delete(w.runs, key)
	w.barred[key.name] = max(w.barred[key.name], key.number)
	w.ends++
	w.endedAt[w.ends] = now
	w.ended = append(w.ended, EndedRun{Number: w.ends, Task: key.name, Run: key.number, Kind: kind})
}

// forget has a worker forget the ends up to a number. An end done may not be acknowledged as long as
// another order of its task may be executed by a later life of the worker.
func (c *seriesCell) forget(w *seriesWorker, acknowledged int64) {
	for len(w.ended) > 0 && w.ended[0].Number <= acknowledged {
		ended := w.ended[0]
		w.ended = w.ended[1:]
		if ended.Kind != EndDone || ended.Number <= w.lapsed {
			continue
		}
		c.noted[ended.Task] = true
		if started := c.startedAt[ended.Task]; started.After(w.endedAt[ended.Number]) {
			c.t.Errorf("TWICE: the end of run %d of %v at %v is acknowledged; another run started at %v", ended.Run, ended.Task, c.since(w.endedAt[ended.Number]), c.since(started))
		}
		for _, order := range c.pending {
			if order.Task == ended.Task && order.Worker.HostID == w.info.HostID && c.now.Before(order.sentAt.Add(latestLateStart)) {
				c.t.Errorf("TWICE: the end of run %d of %v is acknowledged at %v; a start sent at %v may still be executed by the next life of %s", ended.Run, ended.Task, c.since(c.now), c.since(order.sentAt), w.info.HostID)
			}
		}
	}
}

// advanceRuns ends the runs that have done their work, whose lease has lapsed, or whose gang has broken.
func (c *seriesCell) advanceRuns() {
	for _, host := range slices.Sorted(maps.Keys(c.workers)) {
		w := c.workers[host]
		lapsed := !w.lease.IsZero() && !c.now.Before(w.lease)
		if lapsed {
			w.lapsed = w.ends
		}
		for _, key := range w.sortedRuns() {
			r := w.runs[key]
			step := &c.job.Steps[0]
			complete := !step.Gang || c.present(key.number) == step.Count
			switch {
			case lapsed:
				w.end(c.now, key, EndExpired)
			case step.LongRunning:
			case complete && !r.workedSince.IsZero() && c.now.Sub(r.workedSince) >= c.length():
				c.endDone(key)
			case !complete && (!r.workedSince.IsZero() || c.now.Sub(r.startedAt) >= gangTimeout):
				w.end(c.now, key, EndGangAborted)
			}
		}
	}
}

func (w *seriesWorker) sortedRuns() []runKey {
	var keys []runKey
	for key := range w.runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b runKey) int {
		return cmp.Or(cmp.Compare(a.name.Index, b.name.Index), cmp.Compare(a.number, b.number))
	})
	return keys
}

// endLife ends the present life of a worker, with its runs.
func (c *seriesCell) endLife(w *seriesWorker) {
	clear(w.runs)
	clear(w.barred)
	clear(w.endedAt)
	w.down, w.fence, w.ends, w.lapsed, w.ended, w.lease = true, 0, 0, 0, nil, time.Time{}
	c.listAll()
}

// beginLife begins the next life of a worker.
func (c *seriesCell) beginLife(w *seriesWorker) {
	w.down, w.info.BootedAt = false, c.now
	c.listAll()
}

// executeLate has the present life of a worker execute all starts to it that were held up, in the
// order of their fences, by a clock that has any time.
func (c *seriesCell) executeLate(w *seriesWorker) {
	var late []sentOrder
	for _, order := range c.pending {
		if order.Worker.HostID == w.info.HostID && c.now.Before(order.sentAt.Add(latestLateStart)) {
			late = append(late, order)
		}
	}
	slices.SortFunc(late, func(a, b sentOrder) int { return cmp.Compare(a.Fence, b.Fence) })
	for _, order := range late {
		c.execute(order.StartOrder, c.clock(w.ref())+10_000)
	}
}
