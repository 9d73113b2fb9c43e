package scheduler

import (
	"slices"
	"time"
)

// The network of the simulation, which loses answers and delays orders.

// heldShare is the share of the orders to a worker that is down, or can't be reached, which
// arrive later.
const heldShare = 0.3

// deliver sends orders to the workers. A core that has been replaced receives
// no responses.
func (sim *simulation) deliver(orders Orders) { sim.deliverFrom(sim.core, orders) }

// deliverFrom sends orders of an owner that may have been replaced.
func (sim *simulation) deliverFrom(core *Core, orders Orders) {
	for _, order := range orders.Polls {
		sim.send(order.Worker, func(f *fakeWorker) func() {
			report, result := f.poll(order)
			return func() { core.PollDone(sim.now, order, report, result) }
		}, func(result OrderResult) { core.PollDone(sim.now, order, nil, result) }, core, sim.options.latePolls)
	}
	for _, order := range orders.Stops {
		sim.send(order.Worker, func(f *fakeWorker) func() {
			result := f.stop(order)
			return func() { core.StopDone(sim.now, order, result) }
		}, func(result OrderResult) { core.StopDone(sim.now, order, result) }, core, sim.options.delayedOrders)
	}
	for _, batch := range orders.Batches {
		sim.carry(core, batch)
	}
	issuedAt := sim.now
	for _, order := range orders.Starts {
		sim.noteSent(order)
		sim.send(order.Worker, func(f *fakeWorker) func() {
			f.room.issuedAt = issuedAt
			result, clock := f.start(order), f.clock()
			return func() {
				if result == OrderAccepted {
					core.StartAccepted(sim.now, order, clock)
				} else {
					sim.noteRejected(core, order)
					core.StartDone(sim.now, order, result)
				}
			}
		}, func(result OrderResult) {
			if result == OrderUnsent {
				sim.noteRejected(core, order)
			}
			core.StartDone(sim.now, order, result)
		}, core, sim.options.delayedOrders)
	}
}

// send delivers an order to a worker and its response to the core. The order is
// late with the given probability. A host that refuses connections is sent no byte of it.
func (sim *simulation) send(to WorkerRef, do func(*fakeWorker) func(), fail func(OrderResult), core *Core, late float64) {
	r := sim.random
	index := slices.IndexFunc(sim.workers, func(f *fakeWorker) bool { return f.info.HostID == to.HostID })
	f := sim.workers[index]
	outbound := time.Duration(1+r.IntN(20)) * time.Millisecond
	inbound := time.Duration(1+r.IntN(20)) * time.Millisecond
	respond := func(reply func()) {
		if sim.active(core) {
			reply()
		}
	}
	noAnswer := func() { fail(OrderUnknown) }
	if late > 0 && r.Float64() < late && sim.now.Before(sim.lateUntil) {
		// It arrives at any time until it is given up, and is held back from then on.
		arrives := sim.held.IntN(int(OrderTimeout / time.Millisecond))
		sim.after(time.Duration(arrives+2000+r.IntN(10000))*time.Millisecond, func() {
			if !f.crashed {
				do(f)
			}
		})
		sim.after(OrderTimeout, func() { respond(noAnswer) })
		return
	}
	lost := r.Float64() < sim.options.lostResponses
	sim.after(outbound, func() {
		if sim.lostOnTheWay(core) {
			return
		}
		if f.refuses && !sim.now.Before(f.partitionedUntil) {
			sim.after(inbound, func() { respond(func() { fail(OrderUnsent) }) })
			return
		}
		if f.crashed || f.hides(core) {
			if late > 0 && sim.held.Float64() < heldShare && sim.now.Before(sim.lateUntil) {
				// It is held up on its way, and arrives at whatever incarnation is there.
				sim.after(time.Duration(1000+sim.held.IntN(10000))*time.Millisecond, func() {
					if !f.crashed {
						do(f)
					}
				})
			}
			sim.after(700*time.Millisecond, func() { respond(noAnswer) })
			return
		}
		reply := do(f)
		if lost {
			sim.after(700*time.Millisecond, func() { respond(noAnswer) })
			return
		}
		sim.after(inbound, func() { respond(reply) })
	})
}
