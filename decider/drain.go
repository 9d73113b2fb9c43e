package decider

import "kumquatstall/keeper"

// A draining entry shuts down gracefully. It acquires no more shards and serves those
// that it holds until another entry may acquire them; it then releases them, and once
// its calls have ended it removes its registration and stops.

// drain starts a graceful shutdown: the entry acquires no more shards.
func (c *Core) drain() {
	c.draining = true
	c.drainStartedAt = c.now
	c.leaser.Drain()
	c.sendHeartbeats()
}

// transferWaitTerms is how many lease terms a draining entry waits for a connected
// peer to become able to acquire its shards.
const transferWaitTerms = 4

// mayTransferShards reports whether a draining entry may release its shards: a
// connected peer of the data centre may acquire them at once, all such peers are
// draining, or the wait has timed out. A newly started peer may not acquire shards at first; until
// it may, this entry continues to serve them.
func (c *Core) mayTransferShards() bool {
	successorPending := false
	for _, p := range c.leaserPeers() {
		if p.Connected && p.MayAcquire {
			return true
		}
		successorPending = successorPending || p.Connected && !p.Draining
	}
	return !successorPending || c.now.Sub(c.drainStartedAt) > transferWaitTerms*c.options.ShardLeaseTerm
}

// tickDrain advances a graceful shutdown: it releases the shards, waits until all
// calls here have ended, and removes the registration last.
func (c *Core) tickDrain() {
	if !c.draining || c.stopped {
		return
	}
	if !c.releasingAll && !c.mayTransferShards() {
		return
	}
	c.releasingAll = true
	busy := len(c.executions)+len(c.forwards)+len(c.waitingCallers) > 0
	for number := range c.shardCount() {
		if _, held := c.leaser.Holds(number, c.now); held {
			c.releaseShard(number)
		}
		busy = busy || c.leaser.Owns(number, c.now)
	}
	if busy {
		return
	}
	c.stopped = true
	operation, ok := c.leaser.Unregister(c.now)
	if !ok {
		c.emit(Stopped{})
		return
	}
	c.transact(operation.Transaction, operation.Deadline, func(keeper.TransactResult, TableFailure) { c.emit(Stopped{}) })
}
