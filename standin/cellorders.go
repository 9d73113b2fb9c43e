package standin

import (
	"context"
	"time"

	"kumquatstall/scheduler"
)

// deliver waits until an order reaches its worker and returns the worker. An order on its
// way arrives also if its sender gives up. If the worker is unreachable, deliver blocks until
// ctx ends and returns nil.
func (c *entryPlatform) deliver(ctx context.Context, ref scheduler.WorkerRef) *TaskWorker {
	time.Sleep(c.Latency / 2)
	w := c.Worker(ref.HostID)
	if w == nil || !w.Reachable() {
		<-ctx.Done()
		return nil
	}
	return w
}

// How much later a late order is executed. It is held back at its worker once it has
// arrived, which may take as long as its sender waits for an answer, and at most maxOrderWay.
const (
	minOrderDelay = 2 * time.Second
	maxOrderDelay = 12 * time.Second
	maxOrderWay   = time.Second
)

// lateCheckInterval is how often a late order checks whether its worker can execute it
// by now.
const lateCheckInterval = 50 * time.Millisecond

// randomOrderDelay returns a random delay for the share of orders to a worker that are
// late, and 0 for the others.
func (c *Cell) randomOrderDelay(w *TaskWorker) time.Duration {
	share := w.orderLateness()
	c.mu.Lock()
	defer c.mu.Unlock()
	share = max(share, c.faults.OrdersLate)
	if share == 0 || c.random.Float64() >= share {
		return 0
	}
	return minOrderDelay + time.Duration(c.random.Int64N(int64(maxOrderDelay-minOrderDelay)))
}

// randomOrderWay returns a random time that a late order takes to arrive, within the time
// limit of its sender. An order without a limit came over a network, which took its time.
func (c *Cell) randomOrderWay(ctx context.Context) time.Duration {
	limit, limited := ctx.Deadline()
	longest := min(time.Until(limit), maxOrderWay)
	if !limited || longest <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.ways.Int64N(int64(longest)))
}

// delayOrder decides whether an order is executed late. If it is, delayOrder blocks until
// ctx ends and returns true, and the order is executed after a random delay by the
// incarnation that is up then, whatever an earlier one had promised: the order names the
// worker's ID, which doesn't change, and an incarnation knows nothing of those before it.
func (c *entryPlatform) delayOrder(ctx context.Context, ref scheduler.WorkerRef, execute func(*TaskWorker, time.Time)) bool {
	w := c.Worker(ref.HostID)
	if w == nil {
		return false
	}
	delay := c.randomOrderDelay(w)
	if delay == 0 {
		return false
	}
	time.AfterFunc(c.randomOrderWay(ctx), func() {
		received, lostAt := w.Reachable(), time.Now().Add(maxOrderDelay)
		time.AfterFunc(delay, func() { executeLate(w, received, lostAt, execute) })
	})
	<-ctx.Done()
	return true
}

// executeLate executes a late order. If the worker is down, the order waits for its next
// incarnation until lostAt. A network partition keeps an order back that was sent during
// one, but not an order that the worker had received before.
func executeLate(w *TaskWorker, received bool, lostAt time.Time, execute func(*TaskWorker, time.Time)) {
	_, up := w.Info()
	if received && up || w.Reachable() {
		execute(w, time.Now())
		return
	}
	if time.Now().Add(lateCheckInterval).Before(lostAt) {
		time.AfterFunc(lateCheckInterval, func() { executeLate(w, received, lostAt, execute) })
	}
}

// respond returns result, or OrderUnknown for the share of orders whose response
// is lost.
func (c *entryPlatform) respond(result scheduler.OrderResult) scheduler.OrderResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.random.Float64() < c.faults.OrderResponseLoss {
		return scheduler.OrderUnknown
	}
	return result
}

// Start implements dispatcher.Workers.
func (c *entryPlatform) Start(ctx context.Context, order scheduler.StartOrder) (scheduler.WorkerTime, scheduler.OrderResult) {
	sentAt := time.Now()
	if c.delayOrder(ctx, order.Worker, func(w *TaskWorker, now time.Time) { w.startSent(order, sentAt, now) }) {
		return 0, scheduler.OrderUnknown
	}
	if w := c.deliver(ctx, order.Worker); w != nil {
		now := time.Now()
		result := w.Start(order, now)
		return w.shownClock(now), c.respond(result)
	}
	return 0, scheduler.OrderUnknown
}

// Stop implements dispatcher.Workers.
func (c *entryPlatform) Stop(ctx context.Context, order scheduler.StopOrder) scheduler.OrderResult {
	return c.send(ctx, order.Worker, func(w *TaskWorker, now time.Time) scheduler.OrderResult { return w.Stop(order, now) })
}

// Pace implements dispatcher.Workers.
func (c *entryPlatform) Pace(ctx context.Context, order scheduler.PaceOrder) scheduler.OrderResult {
	return c.send(ctx, order.Worker, func(w *TaskWorker, now time.Time) scheduler.OrderResult { return w.Pace(order, now) })
}

// send delivers an order of which nothing but the result is returned, in time or late.
func (c *entryPlatform) send(ctx context.Context, ref scheduler.WorkerRef, execute func(*TaskWorker, time.Time) scheduler.OrderResult) scheduler.OrderResult {
	if c.delayOrder(ctx, ref, func(w *TaskWorker, now time.Time) { execute(w, now) }) {
		return scheduler.OrderUnknown
	}
	if w := c.deliver(ctx, ref); w != nil {
		return c.respond(execute(w, time.Now()))
	}
	return scheduler.OrderUnknown
}

// Poll implements dispatcher.Workers.
func (c *entryPlatform) Poll(ctx context.Context, order scheduler.PollOrder, wait time.Duration) (*scheduler.Report, scheduler.OrderResult) {
	if c.delayOrder(ctx, order.Worker, func(w *TaskWorker, now time.Time) { w.Poll(order, now) }) {
		return nil, scheduler.OrderUnknown
	}
	w := c.deliver(ctx, order.Worker)
	if w == nil {
		return nil, scheduler.OrderUnknown
	}
	until := time.Now().Add(wait)
	initial := w.trueBirth()
	for {
		if _, up := w.Info(); !up || !w.trueBirth().Equal(initial) {
			// A connection ends with the incarnation that accepted it.
			return nil, scheduler.OrderUnknown
		}
		report, result := w.Poll(order, time.Now())
		if result != scheduler.OrderAccepted || len(report.Ended) > 0 || !time.Now().Before(until) {
			if !w.Reachable() {
				// The order arrived before the partition, its response is lost in it.
				<-ctx.Done()
				return nil, scheduler.OrderUnknown
			}
			return report, c.respond(result)
		}
		// The order acknowledges and renews when it arrives, not while the
		// response waits for an end.
		order.AcknowledgedEnd, order.Deadline = 0, 0
		timer := time.NewTimer(pollCheckInterval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil, scheduler.OrderUnknown
		case <-timer.C:
		}
	}
}

// pollCheckInterval is how often a long poll checks for ended runs.
const pollCheckInterval = 5 * time.Millisecond
