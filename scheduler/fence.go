package scheduler

// A worker that crashes and starts again under the same host ID numbers its ends
// from 1 and its clock from 0 again, and may still execute orders to its earlier
// incarnation seconds later. These would acknowledge ends that nobody has read
// and grant leases that nobody knows of. So the fence of an order also tells the
// incarnations of its worker apart: one that has responded to a poll of this
// owner rejects what was meant for an earlier one.

// lifeBits is how many low bits of a fence count the incarnations of a worker
// that the owner has seen. The bits above them are the owner's epoch.
const lifeBits = 12

// fence returns the fence of orders to the worker's current incarnation.
func (c *Core) fence(w *worker) Fence {
	return Fence(c.options.Epoch)<<lifeBits | Fence(min(w.life, 1<<lifeBits-1))
}

// addressesCurrent reports whether an order with that fence was meant for the
// worker's current incarnation. The result of any other order says nothing
// about it.
func (c *Core) addressesCurrent(w *worker, fence Fence) bool { return fence == c.fence(w) }

// nextLife makes the fence of further orders to a worker higher than that of
// earlier ones. Lives of removed workers are kept, as they may be listed again.
func (c *Core) nextLife(w *worker) {
	if last, seen := c.lives[w.info.HostID]; seen {
		w.life = last + 1
	}
	c.lives[w.info.HostID] = w.life
}
