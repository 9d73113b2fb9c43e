package decider

import (
	"cmp"
	"slices"
	"time"

	"kumquatstall/encoder"
	"kumquatstall/leaser"
	"kumquatstall/recorder"
	"kumquatstall/requester"
)

// coordinatorShard is the state of a shard whose requests this entry
// coordinates. It shows whether this entry can find the attempts that earlier
// holders of the shard coordinated.
type coordinatorShard struct {
	number     int
	epoch      int64
	acquiredAt time.Time
	// firstHolder is true if no entry held the shard before.
	firstHolder bool
	// pendingReplicas are the members whose replica lists have not arrived.
	pendingReplicas map[requester.EntryID]bool
	// tableOutage is true if a peer has reported that the table was unavailable
	// within the retention of requests, so that write-ahead records may exist
	// as replicas only.
	tableOutage bool
	// windowObserved is true if a peer has reported that it has run for longer
	// than the retention of requests, so that its report of outages is
	// complete.
	windowObserved bool
	// transferComplete is true if the previous holder has transferred the
	// outcomes of all requests: none was pending there, and it could find every
	// earlier attempt itself.
	transferComplete bool
}

// transferTimeout is how long after it acquired a shard a coordinator may delay
// repeated attempts to wait for the records of the previous coordinator and the
// replica lists.
const transferTimeout = 300 * time.Millisecond

// updateCoordinatorShards adapts the coordinator shards to the shards held.
func (c *Core) updateCoordinatorShards() {
	held := make(map[int]bool)
	for _, lease := range c.leaser.Leases(c.now) {
		number := lease.Seat.Number
		held[number] = true
		if known, ok := c.coordinatorShards[number]; ok && known.epoch == lease.Epoch {
			continue
		}
		c.stats.SeatsTaken++
		c.becomeCoordinator(number, lease.Epoch)
	}
	for number := range c.coordinatorShards {
		if !held[number] && !c.leaser.Owns(number, c.now) {
			c.stats.SeatsLost++
			c.formerShards[number] = c.coordinatorShards[number]
			delete(c.coordinatorShards, number)
		}
	}
}

// becomeCoordinator starts to coordinate the requests of a shard. It fetches
// the replicas from every connected peer and awaits the lists of all other
// members. It does not await the list of a previous holder that did not release
// the shard: it may be dead, and the replicas of its records are at others.
func (c *Core) becomeCoordinator(number int, epoch int64) {
	shard := &coordinatorShard{number: number, epoch: epoch, acquiredAt: c.now, firstHolder: epoch == 1, pendingReplicas: make(map[requester.EntryID]bool)}
	c.supersedeRecords(number, epoch)
	c.coordinatorShards[number] = shard
	if shard.firstHolder || number == leaser.PlacementShard {
		return
	}
	previous := c.leaser.PreviousHolder(number)
	for _, member := range c.leaser.Members() {
		if member.EntryID != c.options.Self && member.EntryID != previous {
			shard.pendingReplicas[member.EntryID] = true
		}
	}
	for _, p := range c.peerOrder {
		if p.connected {
			c.fetchReplicas(p.info.EntryID, number)
		}
	}
}

// supersedeRecords marks the records that this entry has of a shard acquired
// under epoch, if another entry held the shard since: it may have run requests
// that did not run here.
func (c *Core) supersedeRecords(number int, epoch int64) {
	last, ok := c.coordinatorShards[number]
	if !ok {
		last, ok = c.formerShards[number]
	}
	if !ok || last.epoch == epoch-1 {
		return
	}
	c.registry.Supersede(func(id requester.RequestID) bool {
		return c.shardOf(c.options.DataCentre, string(id)).Number == number
	})
}

// fetchReplicas requests from a peer its replicas for a shard and, if it held
// the shard before, the requests that ended there.
func (c *Core) fetchReplicas(id requester.EntryID, number int) {
	c.emit(Send{To: id, Message: &encoder.ReplicaFetch{
		Seat:  leaser.Shard{DataCentre: c.options.DataCentre, Number: number},
		Epoch: c.coordinatorShards[number].epoch,
	}})
}

// fetchPendingReplicas fetches replicas from a peer that has just connected,
// for each shard for which its list is awaited.
func (c *Core) fetchPendingReplicas(id requester.EntryID) {
	for number := range c.shardCount() {
		if shard, ok := c.coordinatorShards[number]; ok && shard.pendingReplicas[id] {
			c.fetchReplicas(id, number)
		}
	}
}

// onReplicaFetch sends the replicas for a shard to its new holder. If this
// entry was the previous holder and no request is pending, it sends the
// requests that ended as well.
func (c *Core) onReplicaFetch(p *peer, message *encoder.ReplicaFetch) {
	ofShard := func(id requester.RequestID) bool {
		return c.shardOf(message.Seat.DataCentre, string(id)) == message.Seat
	}
	list := &encoder.ReplicaList{
		Seat:       message.Seat,
		Epoch:      message.Epoch,
		RequestIDs: c.replicas.Select(ofShard),
		Outage:     c.withinRetention(c.tableOutageAt),
		Watched:    !c.withinRetention(c.startedAt),
	}
	former, ok := c.formerShards[message.Seat.Number]
	if ok && message.Seat.DataCentre == c.options.DataCentre && former.epoch == message.Epoch-1 && c.registry.Pending(ofShard) == 0 {
		list.Complete = c.canFindEarlierAttempts(former)
		list.Ended = c.registry.SelectEnded(ofShard)
	}
	c.emit(Send{To: p.info.EntryID, Message: list})
}

// withinRetention reports whether a time, if set, is more recent than the
// retention of requests.
func (c *Core) withinRetention(at time.Time) bool {
	return !at.IsZero() && c.now.Sub(at) < c.options.RequestRetention
}

// onReplicaList applies a list that this entry has asked for in its present tenure. One of
// an earlier tenure, perhaps of a former incarnation, says nothing of those since.
func (c *Core) onReplicaList(p *peer, message *encoder.ReplicaList) {
	shard, ok := c.coordinatorShards[message.Seat.Number]
	if !ok || message.Seat.DataCentre != c.options.DataCentre || message.Epoch != shard.epoch {
		return
	}
	delete(shard.pendingReplicas, p.info.EntryID)
	shard.tableOutage = shard.tableOutage || message.Outage
	shard.windowObserved = shard.windowObserved || message.Watched
	shard.transferComplete = shard.transferComplete || message.Complete
	expires := c.now.Add(c.options.RequestRetention)
	for _, ended := range message.Ended {
		c.registry.Import(ended, expires)
	}
	for _, id := range message.RequestIDs {
		c.replicas.Record(id, p.coordinator(), expires)
	}
}

// canFindEarlierAttempts reports whether the coordinator can find out about
// every earlier attempt of a request of the shard. It can if it has held the
// shard for longer than requests are retained, if no entry held the shard
// before, or if the previous holder transferred all its records. Otherwise the
// table must be available, so that the row of an earlier record conflicts with
// the new one; all replica lists must have arrived; and no record may be lost.
// A record may be lost if, within the retention, the table was unavailable, so
// that records existed as replicas only, and this entry or another member was
// restarted or lost, with the replicas in its memory. An entry that was started
// within the retention assumes an outage unless a peer has observed the whole
// retention.
func (c *Core) canFindEarlierAttempts(shard *coordinatorShard) bool {
	if shard.firstHolder || shard.transferComplete || c.now.Sub(shard.acquiredAt) >= c.options.RequestRetention {
		return true
	}
	if c.leaser.StoreDown(c.now) || len(shard.pendingReplicas) > 0 {
		return false
	}
	started := c.withinRetention(c.startedAt)
	outage := shard.tableOutage || c.withinRetention(c.tableOutageAt) || started && !shard.windowObserved
	replicasLost := started || c.withinRetention(c.memberLostAt)
	return !outage || !replicasLost
}

// coordinate handles an attempt of a request that this entry coordinates. A
// repeated attempt waits until every earlier attempt can be found, but no
// longer than transferTimeout after the shard was acquired. The outcome of a
// request that the registry does not have is Unknown if this entry has a
// replica of its write-ahead record, or if the attempt is a repeated one and
// earlier attempts still can't be found.
func (c *Core) coordinate(call requester.Call, origin recorder.Origin, repeated bool) {
	shardID := c.coordinatorShardOf(&call)
	shard, ok := c.coordinatorShards[shardID.Number]
	if !ok || shardID.DataCentre != c.options.DataCentre {
		c.redirectToCoordinator(call, origin, repeated)
		return
	}
	if repeated && !c.canFindEarlierAttempts(shard) && c.now.Sub(shard.acquiredAt) < transferTimeout {
		c.runAt(c.now.Add(routingRetryInterval), func() { c.coordinate(call, origin, repeated) })
		return
	}
	verdict, answer := c.registry.Register(call, origin)
	switch verdict {
	case recorder.VerdictJoined:
		return
	case recorder.VerdictEnded:
		if answer.Outcome.ProvesNotRun() && c.registry.Reopen(call, origin) {
			c.runCoordinated(call)
			return
		}
		c.reply(origin, answer)
		return
	case recorder.VerdictNew:
	}
	if c.replicas.Has(call.RequestID) || repeated && !c.canFindEarlierAttempts(shard) {
		c.finishRequest(call.RequestID, recorder.DuplicateAnswer(call.RequestID))
		return
	}
	c.storeWriteAhead(&writeAhead{call: call, repeated: repeated})
}

// redirectToCoordinator handles a call that this entry does not coordinate any
// more: a peer's call is returned to the peer, a caller's call is routed again.
func (c *Core) redirectToCoordinator(call requester.Call, origin recorder.Origin, repeated bool) {
	if origin.Peer != "" {
		c.replyNotHere(origin)
		return
	}
	c.retryRouting(&forward{id: c.newID(), hop: encoder.HopCoordinator, call: call, origin: origin, sent: repeated})
}

// runCoordinated routes a call whose write-ahead record is stored to an owner
// of endpoints. The shard must have been held without a break, because another
// coordinator may already have handled another attempt.
func (c *Core) runCoordinated(call requester.Call) {
	if !c.leaser.Owns(c.coordinatorShardOf(&call).Number, c.now) || c.registry.Superseded(call.RequestID) {
		c.finishRequest(call.RequestID, requester.Answer{
			RequestID: call.RequestID,
			Outcome:   requester.OutcomeNotRun,
			Reason:    requester.ReasonNoCoordinator,
		})
		return
	}
	origin := recorder.Origin{CoordinatedRequest: call.RequestID}
	c.routeToOwner(&forward{id: c.newID(), hop: encoder.HopExecutor, call: call, origin: origin})
}

// transferUnstarted transfers to the next coordinator those requests of a shard
// being released that no entry has started to run. Their write-ahead records
// are kept; the next coordinator receives them as requests that did not run,
// and runs them.
func (c *Core) transferUnstarted(number int) {
	var waiting []recorder.Origin
	for origin := range c.byOrigin {
		if origin.CoordinatedRequest != "" && c.shardOf(c.options.DataCentre, string(origin.CoordinatedRequest)).Number == number {
			waiting = append(waiting, origin)
		}
	}
	slices.SortFunc(waiting, func(a, b recorder.Origin) int { return cmp.Compare(a.CoordinatedRequest, b.CoordinatedRequest) })
	for _, origin := range waiting {
		key := c.byOrigin[origin]
		if f, ok := c.forwards[key]; ok && f.to == "" && !f.sent {
			c.dropForward(f)
			c.transferRequest(f.call)
		}
		if e, ok := c.executions[key]; ok && !e.sent && c.pool(e.call.Service).queue.Remove(e.id) {
			c.removeExecution(e)
			c.transferRequest(e.call)
		}
	}
}

// transferRequest ends a request as not run and redirects its attempts to the
// next coordinator.
func (c *Core) transferRequest(call requester.Call) {
	answer := requester.Answer{RequestID: call.RequestID, Outcome: requester.OutcomeNotRun, Reason: requester.ReasonDraining}
	waiters, _ := c.registry.Finish(call.RequestID, answer, c.now.Add(c.options.RequestRetention))
	for _, origin := range waiters {
		c.redirectToCoordinator(call, origin, call.Attempt > 1)
	}
}

// finishRequest ends a request and answers all its attempts.
func (c *Core) finishRequest(id requester.RequestID, answer requester.Answer) {
	waiters, answer := c.registry.Finish(id, answer, c.now.Add(c.options.RequestRetention))
	for _, origin := range waiters {
		c.reply(origin, answer)
	}
}
