package scheduler

import (
	"slices"
	"time"

	"kumquatstall/breaker"
	"kumquatstall/requester"
)

// Sending a stop costs far more than deciding on it, and a job that ends may have more runs
// than the host of one entry can stop in time. So the owner hands stops that it can't send at
// once to other entries, its carriers, in batches. A stop does no harm if it is sent twice or
// late: its run is never wanted again. So a stop of which a carrier has not said in time what
// became of it is sent again, by the owner or another carrier.
//
// Starts are not handed over. One without an answer may be executed for seconds, in which its
// task can't start elsewhere.

// StopBatch is an order to a carrier: to send stops of runs on one worker.
type StopBatch struct {
	// Number identifies the batch among those of all owners.
	Number  int64
	Carrier requester.EntryID
	Worker  WorkerRef
	Fence   Fence
	Runs    []NumberedRun
}

// NumberedRun identifies a run of a task.
type NumberedRun struct {
	_          struct{} `cbor:",toarray"`
	Job        requester.JobID
	Occurrence int64
	Step       int
	Index      int
	Run        RunNumber
}

// Stop returns the order to stop one of the batch's runs.
func (b *StopBatch) Stop(i int) StopOrder {
	r := &b.Runs[i]
	task := TaskName{StepName: StepName{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step}, Index: r.Index}
	return StopOrder{Worker: b.Worker, Task: task, Run: r.Run, Fence: b.Fence}
}

const (
	// MaxBatchStops is the most stops in a batch.
	MaxBatchStops = 32
	// CarrierCalls is how many stops of a batch its carrier sends at a time. With
	// workerCarried it bounds the connections of all carriers to a worker.
	CarrierCalls = 4
	// CarryTime is how long a carrier may send the stops of a batch. The owner waits for
	// its results for carryMargin longer.
	CarryTime   = OrderTimeout
	carryMargin = 250 * time.Millisecond
	// carrierStops is the most stops at one carrier, workerCarried the most of one worker at
	// all carriers.
	carrierStops  = 512
	workerCarried = 4 * MaxBatchStops
	// ownStops is the most stops that the owner itself has in flight while others wait for
	// carriers.
	ownStops = 64
	// sameCarrierSlack is by how many stops a carrier may have more than another one and
	// get the next batch of a worker to which it has connections.
	sameCarrierSlack = 2 * MaxBatchStops
	// After carrierFailures batches in a row without all results a carrier rests for
	// carrierRest. The stops of a worker with such batches at two carriers are not handed over
	// for workerRest.
	carrierFailures = 2
	carrierRest     = time.Second
	workerRest      = 2 * time.Second
	// batchesPerEpoch is how many batches an owner hands over in its epoch at most.
	batchesPerEpoch = 1 << 24
)

// carrier is another entry that sends stops for this owner.
type carrier struct {
	id requester.EntryID
	// stops counts the stops that it has and of which there is no result yet.
	stops   int
	breaker breaker.Breaker
}

// carriedBatch is a batch without results.
type carriedBatch struct {
	StopBatch
	carrier  *carrier
	worker   *worker
	runs     []*run
	deadline time.Time
}

// SetCarriers sets the entries that can send stops for this owner. Batches of others have no
// results any more.
func (c *Core) SetCarriers(now time.Time, ids []requester.EntryID) {
	c.now = now
	has := func(known *carrier, id requester.EntryID) bool { return known.id == id }
	if slices.EqualFunc(c.carriers, ids, has) {
		return
	}
	former := c.carriers
	c.carriers = nil
	for _, id := range ids {
		if i := slices.IndexFunc(former, func(known *carrier) bool { return has(known, id) }); i >= 0 {
			c.carriers = append(c.carriers, former[i])
		} else {
			c.carriers = append(c.carriers, &carrier{id: id, breaker: breaker.New()})
		}
	}
	for _, known := range former {
		if !slices.Contains(ids, known.id) {
			c.CarrierLost(now, known.id)
		}
	}
}

// CarrierLost ends the batches of a carrier to which the link has closed.
func (c *Core) CarrierLost(now time.Time, id requester.EntryID) {
	c.now = now
	for _, b := range slices.Clone(c.carried) {
		if b.Carrier == id {
			c.endBatch(b, nil)
		}
	}
}

// expireBatches ends the batches whose results are overdue.
func (c *Core) expireBatches() {
	for len(c.carried) > 0 && c.now.After(c.carried[0].deadline) {
		c.endBatch(c.carried[0], nil)
	}
}

// StopsDone handles the results of a batch, in the order of its runs. If there are fewer
// results than runs, nothing is known of the others.
func (c *Core) StopsDone(now time.Time, number int64, results []OrderResult) {
	c.now = now
	for _, b := range c.carried {
		if b.Number == number {
			c.endBatch(b, results)
			return
		}
	}
}

// endBatch ends a batch with what results there are.
func (c *Core) endBatch(b *carriedBatch, results []OrderResult) {
	i := slices.Index(c.carried, b)
	c.carried = slices.Delete(c.carried, i, i+1)
	b.carrier.stops -= len(b.runs)
	b.worker.inFlight.carried -= len(b.runs)
	c.inFlight.carried -= len(b.runs)
	var again []*run
	for i, r := range b.runs {
		result := OrderUnknown
		if i < len(results) {
			result = results[i]
		}
		if result == OrderUnknown || result == OrderUnsent {
			again = append(again, r)
		} else {
			c.stopDone(b.Stop(i), result)
		}
	}
	c.recordCarried(b, len(again))
	c.sendStopsFirst(b.worker, again)
}

// recordCarried records how a carrier has done with a batch, of which some stops have no result.
func (c *Core) recordCarried(b *carriedBatch, without int) {
	c.stats.StopsCarried += int64(len(b.runs) - without)
	c.stats.StopsNotCarried += int64(without)
	w := b.worker
	if without == 0 {
		b.carrier.breaker.RecordSuccess()
		w.failedCarrier = ""
		return
	}
	b.carrier.breaker.RecordFailure(c.now, breaker.Limits{FailureThreshold: carrierFailures, CoolDown: carrierRest})
	if w.failedCarrier != "" && w.failedCarrier != b.Carrier {
		w.ownUntil = c.now.Add(workerRest)
	}
	w.failedCarrier = b.Carrier
}

// handOver hands stops of a worker to carriers, as far as they and the worker take more.
func (c *Core) handOver(w *worker) {
	if len(c.carriers) == 0 || c.now.Before(w.ownUntil) {
		return
	}
	for len(w.stops) > 0 && w.inFlight.carried+MaxBatchStops <= workerCarried {
		chosen := c.chooseCarrier(w)
		if chosen == nil {
			return
		}
		var runs []*run
		for len(w.stops) > 0 && len(runs) < MaxBatchStops {
			if r := w.takeStop(); r != nil {
				runs = append(runs, r)
			}
		}
		if len(runs) > 0 {
			c.issueBatch(w, chosen, runs)
		}
	}
}

// chooseCarrier returns the carrier for a batch: the one with the fewest stops, or that of the
// worker's last batch if it has few more; nil if none takes more.
func (c *Core) chooseCarrier(w *worker) *carrier {
	var best, last *carrier
	for _, candidate := range c.carriers {
		if candidate.stops+MaxBatchStops > carrierStops || candidate.id == w.failedCarrier || !candidate.breaker.Allows(c.now) {
			continue
		}
		if best == nil || candidate.stops < best.stops {
			best = candidate
		}
		if candidate.id == w.lastCarrier {
			last = candidate
		}
	}
	if last != nil && last.stops <= best.stops+sameCarrierSlack {
		return last
	}
	return best
}

func (c *Core) issueBatch(w *worker, chosen *carrier, runs []*run) {
	c.batchNumber++
	b := &carriedBatch{
		StopBatch: StopBatch{Number: c.options.Epoch*batchesPerEpoch + c.batchNumber, Carrier: chosen.id, Worker: w.ref(), Fence: c.fence(w)},
		carrier:   chosen, worker: w, runs: runs, deadline: c.now.Add(CarryTime + carryMargin),
	}
	for _, r := range runs {
		c.logStop(r)
		b.Runs = append(b.Runs, NumberedRun{Job: r.name.Job, Occurrence: r.name.Occurrence, Step: r.name.Step, Index: r.name.Index, Run: r.number})
	}
	chosen.breaker.RecordStart()
	chosen.stops += len(runs)
	w.inFlight.carried += len(runs)
	c.inFlight.carried += len(runs)
	w.lastCarrier = chosen.id
	c.carried = append(c.carried, b)
	c.orders.Batches = append(c.orders.Batches, b.StopBatch)
}
