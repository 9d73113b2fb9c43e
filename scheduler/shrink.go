package scheduler

// A worker's capacity, its room, may shrink and grow while it runs, and an
// incarnation may have another room than the one before. The list of workers
// shows it, at most one heartbeat late.

// roomKnown reports whether the list shows the room and the labels of the
// worker's current incarnation, and not those of an earlier one.
func (w *worker) roomKnown() bool {
	return w.info.BootedAt.IsZero() || !w.info.BootedAt.Before(w.bootedAt)
}

// updateRoom prepares a worker for the info that replaces its present one:
// waiting tasks look at it again if it may have more room than was known.
func (c *Core) updateRoom(w *worker, info WorkerInfo) {
	if !info.BootedAt.Equal(w.info.BootedAt) || !info.Total.Fits(w.info.Total) {
		c.markFreed(w)
	}
}
