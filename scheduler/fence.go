package scheduler

// An order without a response may be executed seconds later, after newer ones,
// and also by the worker's next incarnation: one that crashes and starts again
// under the same host ID numbers its ends from 1 again and begins its clock anew. A
// late order would acknowledge ends that nobody has read, grant leases that
// nobody knows of, or start a run that counts as never started. So the fence of
// an order also has a generation. It is raised whenever an order to the worker
// has received no response and whenever a new incarnation of it is observed:
// once the worker has executed an order of the new generation, it rejects what
// is left of earlier ones.
//
// It is also raised after each poll that acknowledges ends, so that every later start
// has a higher one: an incarnation that has executed such a start, and could have an end
// of it, rejects the poll. What holds for starts from before it is in unread.go.

// generationBits is how many low bits of a fence hold the generation. The bits
// above them are the owner's epoch.
const generationBits = 30

// Epoch returns the epoch of the owner whose orders have the fence.
func (f Fence) Epoch() int64 { return int64(f >> generationBits) }

// fence returns the fence of new orders to the worker.
func (c *Core) fence(w *worker) Fence {
	return Fence(c.options.Epoch)<<generationBits | Fence(min(w.generation, 1<<generationBits-1))
}

// addressesCurrent reports whether an order with that fence was meant for the
// worker's current incarnation. The result of any other order says nothing
// about it.
func (c *Core) addressesCurrent(w *worker, fence Fence) bool { return fence >= w.bornFence }

// currentRun returns the worker and the run that an order with that fence was about, and whether
// the worker's current incarnation, for which the order was meant, still counts as having the run.
func (c *Core) currentRun(ref WorkerRef, key runKey, fence Fence) (*worker, *run, bool) {
	w, ok := c.workers[ref.HostID]
	if !ok || !c.addressesCurrent(w, fence) {
		return nil, nil, false
	}
	r, ok := w.runs[key]
	return w, r, ok
}

// raiseGeneration makes the fence of further orders to a worker higher than that
// of earlier ones. The generations of removed workers are kept, as they may be
// listed again.
func (c *Core) raiseGeneration(w *worker) {
	if last, seen := c.generations[w.info.HostID]; seen {
		w.generation = last + 1
	}
	c.generations[w.info.HostID] = w.generation
}

// observeBirth raises the generation for a new incarnation of the worker.
func (c *Core) observeBirth(w *worker) {
	c.raiseGeneration(w)
	w.bornFence = c.fence(w)
}

// rejectedByFence handles the rejection of an order because of its fence. If the
// order had the worker's latest fence, only another owner can have raised it.
func (c *Core) rejectedByFence(w *worker, fence Fence) {
	c.fenced = c.fenced || fence == c.fence(w)
}
