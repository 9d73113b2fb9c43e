package scheduler

import (
	"fmt"
	"time"

	"kumquatstall/requester"
)

// Carriers in the randomised runs: they lose batches and replies, send batches late, also to
// workers of a later owner, and their links close and open again.

const (
	// simulatedOwnStops is how many stops an owner has in flight before it hands some over.
	simulatedOwnStops = 2
	// Of a hundred batches so many are lost, executed without a reply, and executed late.
	batchesLost, batchesUnanswered, batchesLate = 8, 8, 8
)

func (o simulationOptions) ownStops() int {
	if o.carriers > 0 {
		return simulatedOwnStops
	}
	return 0
}

// changeCarriers has the owner learn now and then which entries have a link to it.
func (sim *simulation) changeCarriers() {
	if sim.options.carriers == 0 || sim.held.IntN(20) > 0 {
		return
	}
	var ids []requester.EntryID
	for i := range sim.options.carriers {
		if sim.held.IntN(10) > 0 {
			ids = append(ids, requester.EntryID(fmt.Sprint("carrier-", i)))
		}
	}
	sim.core.SetCarriers(sim.now, ids)
}

// carry has a carrier send a batch for an owner, which may have been replaced meanwhile.
func (sim *simulation) carry(core *Core, batch StopBatch) {
	sim.carried++
	fate := sim.held.IntN(100)
	if fate < batchesLost {
		return
	}
	fate -= batchesLost
	way := func() time.Duration { return time.Duration(1+sim.held.IntN(20)) * time.Millisecond }
	outbound := way()
	if fate >= batchesUnanswered && fate < batchesUnanswered+batchesLate {
		outbound += time.Duration(sim.held.IntN(5000)) * time.Millisecond
	}
	results := make([]OrderResult, len(batch.Runs))
	left := len(results)
	sim.after(outbound, func() {
		for i := range results {
			done := func(result OrderResult) {
				if results[i], left = result, left-1; left > 0 || fate < batchesUnanswered {
					return
				}
				sim.after(way(), func() {
					if sim.active(core) {
						core.StopsDone(sim.now, batch.Number, results)
					}
				})
			}
			order := batch.Stop(i)
			sim.send(order.Worker, func(f *fakeWorker) func() {
				result := f.stop(order)
				return func() { done(result) }
			}, done, core, sim.options.delayedOrders)
		}
	})
}
