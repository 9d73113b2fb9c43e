package dispatcher

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/encoder"
	"kumquatstall/requester"
	"kumquatstall/scheduler"
)

// An entry sends stops to workers for the owner of the cell, in batches that the owner hands
// over on the link. It decides nothing: the fence of each stop is the owner's, and a worker that
// knows of a later owner rejects it.

// maxBatches is the most batches that an entry has at a time, for a few owners in a row.
const maxBatches = 64

// carriers returns the entries that can send stops for this one, by what they have announced
// lately.
func (d *Dispatcher) carriers(now time.Time) []requester.EntryID {
	d.mu.Lock()
	defer d.mu.Unlock()
	var ids []requester.EntryID
	for id, linked := range d.linked {
		if linked.sendsStops && now.Sub(linked.capacityAt) <= capacityValidity {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// carryStops sends a batch of stops for the owner, and the results to the owner. A batch that
// it refuses has no results.
func (d *Dispatcher) carryStops(owner requester.EntryID, request *encoder.StopRequest) {
	reply := &encoder.StopReply{Number: request.Batch.Number}
	if err := checkStopRequest(request); err != nil {
		d.counters.batchesRefused.Add(1)
		d.logOddRow("link to "+string(owner), err, "an entry sent an odd batch of stops; none of them is sent")
		return
	}
	if d.batches.Add(1) <= maxBatches && request.Batch.Fence.Epoch() >= d.cache.ownerView().row.Epoch {
		reply.Results = d.sendStops(request)
		d.counters.stopsSent.Add(int64(len(reply.Results)))
	} else {
		d.counters.batchesRefused.Add(1)
	}
	d.batches.Add(-1)
	d.linker.Send(owner, reply)
}

// checkStopRequest returns an error that names the first odd field.
func checkStopRequest(request *encoder.StopRequest) error {
	batch := &request.Batch
	switch {
	case len(batch.Runs) == 0 || len(batch.Runs) > scheduler.MaxBatchStops:
		return errors.Newf("got %d Runs, expected 1 to %d", len(batch.Runs), scheduler.MaxBatchStops)
	case !batch.Worker.Address.IsValid():
		return errors.New("got no Worker.Address, expected an address and port")
	case request.RemainingMicros <= 0 || request.RemainingMicros > scheduler.CarryTime.Microseconds():
		return errors.Newf("got RemainingMicros %d, expected 1 to %d", request.RemainingMicros, scheduler.CarryTime.Microseconds())
	}
	return nil
}

// sendStops sends the stops of a batch, a few at a time, and returns their results. Those that
// the time doesn't suffice for are not sent.
func (d *Dispatcher) sendStops(request *encoder.StopRequest) []scheduler.OrderResult {
	ctx, cancel := context.WithTimeout(d.ctx, time.Duration(request.RemainingMicros)*time.Microsecond)
	defer cancel()
	results := make([]scheduler.OrderResult, len(request.Batch.Runs))
	var next atomic.Int64
	var group sync.WaitGroup
	for range min(scheduler.CarrierCalls, len(results)) {
		group.Go(func() {
			for i := int(next.Add(1)) - 1; i < len(results); i = int(next.Add(1)) - 1 {
				results[i] = scheduler.OrderUnsent
				if ctx.Err() == nil {
					results[i] = d.platform.Stop(ctx, request.Batch.Stop(i))
				}
			}
		})
	}
	group.Wait()
	return results
}
