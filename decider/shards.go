package decider

import (
	"strconv"
	"strings"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/leaser"
	"kumquatstall/requester"
)

// listHosts requests the platform's host list when a read is due.
func (c *Core) listHosts() {
	if c.hostListInFlight || c.now.Sub(c.hostListRequestedAt) < c.options.HostListInterval {
		return
	}
	c.hostListInFlight = true
	c.hostListRequestedAt = c.now
	c.emit(ListHosts{})
}

// onHosts applies a new host list: it assigns endpoints to shards and updates
// the pools and workers. A failed read keeps the last list.
func (c *Core) onHosts(event HostsListed) {
	c.hostListInFlight = false
	if event.Failed {
		return
	}
	c.hosts = event.Hosts
	var entries []requester.EntryID
	for _, host := range event.Hosts {
		switch host.Role {
		case keeper.RoleEntry:
			entries = append(entries, requester.EntryID(host.HostID))
		case keeper.RoleEndpoint:
			if _, ok := c.hostShards[host.HostID]; !ok {
				c.hostShards[host.HostID] = c.shardOf(c.options.DataCentre, string(host.HostID)).Number
			}
		}
	}
	c.leaser.OnHostList(entries)
	c.appliedOwnership = ""
	c.setWorkers()
}

// shardOf returns the call shard of a data centre to which a HostID or RequestID
// is assigned, by rendezvous hashing. For an unknown data centre the number is 0.
func (c *Core) shardOf(dataCentre requester.DataCentre, name string) leaser.Shard {
	info, ok := c.options.dataCentre(dataCentre)
	if !ok {
		return leaser.Shard{DataCentre: dataCentre}
	}
	return leaser.ShardOf(dataCentre, info.Shards, name)
}

// tickShards executes the leaser's decisions: it runs transactions, sends grant
// requests, releases a surplus shard and completes pending releases.
func (c *Core) tickShards() {
	decision := c.leaser.Tick(c.now, c.leaserPeers())
	for _, operation := range decision.Operations {
		c.runOperation(operation)
	}
	for _, request := range decision.GrantRequests {
		c.grantRounds[request.Round] = request
		delete(c.grantRounds, request.Round-maxGrantRounds)
		for _, id := range decision.GrantRecipients {
			c.emit(Send{To: id, Message: &encoder.GrantRequest{Request: request}})
		}
	}
	if shard := c.leaser.Surplus(c.now, c.leaserPeers()); shard >= 0 && !c.draining {
		c.releaseShard(shard)
	}
	c.finishReleases()
}

// maxGrantRounds is how many of the latest grant rounds are kept, so that replies
// can be matched to their requests.
const maxGrantRounds = 64

// runOperation runs a table operation of the leaser. While this entry can't reach
// the table, a renewal is also relayed through a peer. Both copies are conditional
// on the same row revisions, so at most one commits.
func (c *Core) runOperation(operation leaser.TableOperation) {
	done := func(result keeper.TransactResult, failure TableFailure) {
		var err error
		if failure != TableOK {
			err = errNoTableResult
		}
		c.leaser.OnResult(c.now, operation, result, err, failure == TableNotApplied)
		c.reconcileOwnership()
		if operation.Purpose == leaser.PurposeRelease && failure == TableOK {
			// An immediate heartbeat makes peers read the table at once,
			// which keeps the time without a holder short.
			c.releaseCount++
			c.sendHeartbeats()
		}
	}
	c.transact(operation.Transaction, operation.Deadline, done)
	if operation.Purpose == leaser.PurposeRenew && c.leaser.StoreDown(c.now) {
		c.relayOperation(operation)
	}
}

// noTableResultError reports a transaction whose result was not received.
type noTableResultError struct{}

func (noTableResultError) Error() string { return "table transaction: no result received" }

var errNoTableResult error = noTableResultError{}

// onGrantRequest decides which shards to grant to a peer and replies. A request
// in the name of another holder is ignored.
func (c *Core) onGrantRequest(p *peer, message *encoder.GrantRequest) {
	if message.Request.Holder != p.info.EntryID {
		return
	}
	reply := c.leaser.OnGrantRequest(c.now, message.Request, c.leaserPeers())
	c.emit(Send{To: p.info.EntryID, Message: &encoder.GrantReply{Reply: reply}})
}

// onGrantReply passes a peer's grants to the leaser together with the request of
// that round. A reply to a round that is no longer kept is ignored.
func (c *Core) onGrantReply(p *peer, message *encoder.GrantReply) {
	sent, ok := c.grantRounds[message.Reply.Round]
	if ok {
		c.leaser.OnGrantReply(c.now, p.info.EntryID, message.Reply, sent, c.leaserPeers())
	}
}

// reconcileOwnership updates the coordinator shards, the pools and the fleet to
// match the held shards and the configuration, if either has changed, and sends a
// heartbeat at once.
func (c *Core) reconcileOwnership() {
	key := c.ownershipKey()
	if key == c.appliedOwnership {
		return
	}
	c.appliedOwnership = key
	c.updateCoordinatorShards()
	c.updatePools()
	c.updateFleet()
	c.sendHeartbeats()
}

// ownershipKey identifies the held shards, their epochs and the configuration
// revision; reconcileOwnership compares it with the last one. Other changes that
// concern ownership, such as a new host list, force a reconciliation.
func (c *Core) ownershipKey() string {
	var key strings.Builder
	for _, lease := range c.leaser.Leases(c.now) {
		key.WriteString(strconv.Itoa(lease.Seat.Number))
		key.WriteByte(':')
		key.WriteString(strconv.FormatInt(lease.Epoch, 10))
		key.WriteByte(' ')
	}
	key.WriteByte('/')
	key.WriteString(strconv.FormatInt(c.config.Head(), 10))
	return key.String()
}

// releaseShard starts to release a shard. No new work is started under it;
// finishReleases completes the release once the work in progress has ended.
func (c *Core) releaseShard(number int) {
	if c.leaser.StartRelease(number, c.now) {
		c.appliedOwnership = ""
		c.reconcileOwnership()
	}
}

// finishReleases removes the holder from the rows of the shards under release
// that have no work left. Requests that have not been dispatched are first
// transferred to the next coordinator.
func (c *Core) finishReleases() {
	for number := range c.shardCount() {
		if _, releasing := c.leaser.Releasing(number); !releasing {
			continue
		}
		c.transferUnstarted(number)
		if !c.shardBusy(number) {
			c.runOperation(c.leaser.FinishRelease(number, c.now))
		}
	}
}

// shardBusy reports whether work started under a shard is still in progress:
// pending requests that it coordinates, attempts at its endpoints or, for the
// placement shard, a write of job rows. While the table is available, the
// write-ahead records of any shard that exist only as replicas keep it busy until
// they are stored.
func (c *Core) shardBusy(number int) bool {
	own := func(id requester.RequestID) bool {
		return c.shardOf(c.options.DataCentre, string(id)).Number == number
	}
	if number != leaser.PlacementShard && c.registry.Pending(own) > 0 {
		return true
	}
	if !c.leaser.StoreDown(c.now) && len(c.registry.ReplicatedOnly(1)) > 0 {
		return true
	}
	for _, e := range c.attempts {
		if c.hostShards[e.endpoint] == number {
			return true
		}
	}
	return number == leaser.PlacementShard && c.jobWriteInFlight
}

// shardCount returns the number of shards of the own data centre, the placement
// shard included.
func (c *Core) shardCount() int {
	own, _ := c.options.dataCentre(c.options.DataCentre)
	return own.Shards
}

// removeStaleMembers deletes the registrations of entries that are proven dead. An
// entry leaves this to a connected peer with a lower EntryID that is not draining.
func (c *Core) removeStaleMembers() {
	if c.leaser.StoreDown(c.now) || !c.leaser.Registered() {
		return
	}
	peers := c.leaserPeers()
	for _, p := range peers {
		if p.Connected && !p.Draining && p.EntryID < c.options.Self {
			return
		}
	}
	for _, member := range c.leaser.StaleMembers(peers) {
		c.runOperation(c.leaser.RemoveMember(member, c.now))
	}
}
