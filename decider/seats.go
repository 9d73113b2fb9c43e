package decider

import (
	"strconv"
	"strings"
	"time"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/leaser"
	"kumquatstall/requester"
	"kumquatstall/router"
	"kumquatstall/tuner"
)

// relay is a transaction that a peer runs for this entry.
type relay struct {
	peer requester.EntryID
	done func(keeper.TransactResult, TableFailure)
}

// readsPerTerm is how often the seats' rows are read in a term.
const readsPerTerm = 4

// readTable reads the seats, the members and the head of the configuration.
func (c *Core) readTable() {
	if c.readOpen || c.now.Sub(c.readAt) < c.options.SeatTerm/readsPerTerm {
		return
	}
	c.readOpen = true
	c.readAt = c.now
	request := c.leaser.ReadRequest()
	request.Keys = []string{tuner.HeadKey}
	request.Prefixes = []string{leaser.RowPrefix(c.options.DataCentre), "member/"}
	c.read(request, c.now.Add(c.options.SeatTerm), func(result keeper.ReadResult, failed bool) {
		c.readOpen = false
		c.tableDoubtful = failed
		if failed {
			c.outageAt = c.now
			return
		}
		c.onTableRead(result)
	})
}

func (c *Core) onTableRead(result keeper.ReadResult) {
	members := len(c.leaser.Members())
	if err := c.leaser.OnRows(c.now, result); err != nil {
		c.violate("table row", err.Error())
		return
	}
	if len(c.leaser.Members()) < members {
		c.memberLostAt = c.now
	}
	c.everRead = true
	c.learnMembers(result.Rows)
	c.checkHead(result.Rows)
}

// listHosts reads the platform's host list when due.
func (c *Core) listHosts() {
	if c.hostsOpen || c.now.Sub(c.hostsAskedAt) < c.options.HostListInterval {
		return
	}
	c.hostsOpen = true
	c.hostsAskedAt = c.now
	c.emit(ListHosts{})
}

func (c *Core) onHosts(event HostsListed) {
	c.hostsOpen = false
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
			if _, ok := c.hostSeats[host.HostID]; !ok {
				c.hostSeats[host.HostID] = c.seatOf(c.options.DataCentre, string(host.HostID)).Number
			}
		}
	}
	c.leaser.OnHostList(entries)
	c.ownedKey = ""
	c.setWorkers()
}

// seatOf divides a name among the call seats of a data centre.
func (c *Core) seatOf(dataCentre requester.DataCentre, name string) leaser.Shard {
	for _, info := range c.options.DataCentres {
		if info.Name == dataCentre {
			return leaser.ShardOf(dataCentre, info.Seats, name)
		}
	}
	return leaser.Shard{DataCentre: dataCentre}
}

// tickSeats lets the leaser decide and carries its decision out.
func (c *Core) tickSeats() {
	decision := c.leaser.Tick(c.now, c.leaserPeers())
	for _, step := range decision.Operations {
		c.runStep(step)
	}
	for _, request := range decision.GrantRequests {
		c.sentRounds[request.Round] = request
		delete(c.sentRounds, request.Round-maxRounds)
		for _, id := range decision.GrantRecipients {
			c.emit(Send{To: id, Message: &encoder.GrantRequest{Request: request}})
		}
	}
	if seat := c.leaser.Surplus(c.now, c.leaserPeers()); seat >= 0 && !c.draining {
		c.release(seat)
	}
	c.vacateReleased()
}

// maxRounds bounds the promise rounds remembered.
const maxRounds = 64

// runStep runs a transaction of the leaser. A renewal is relayed by a peer as
// well while the table can't be reached from here; both are conditional on
// the same revisions, so that at most one commits.
func (c *Core) runStep(step leaser.TableOperation) {
	done := func(result keeper.TransactResult, failure TableFailure) {
		var err error
		if failure != TableOK {
			err = errTable
		}
		c.leaser.OnResult(c.now, step, result, err, failure == TableNotTried)
		c.tickOwnership()
		if step.Purpose == leaser.PurposeRelease && failure == TableOK {
			// The others are told at once, so that a seat is not vacant for
			// longer than need be.
			c.vacated++
			c.beat()
		}
	}
	c.transact(step.Transaction, step.Deadline, done)
	if step.Purpose == leaser.PurposeRenew && c.leaser.StoreDown(c.now) {
		c.relayStep(step)
	}
}

type tableError struct{}

func (tableError) Error() string { return "table did not answer" }

var errTable error = tableError{}

// relayStep asks one peer that can reach the table to run a renewal.
func (c *Core) relayStep(step leaser.TableOperation) {
	for _, p := range c.peerOrder {
		if !p.connected || p.storeDown {
			continue
		}
		id := c.id()
		c.relays[id] = &relay{peer: p.info.EntryID, done: func(result keeper.TransactResult, failure TableFailure) {
			if failure == TableOK {
				c.leaser.OnResult(c.now, step, result, nil, true)
			}
		}}
		c.emit(Send{To: p.info.EntryID, Message: &encoder.RelayRequest{
			ID:             id,
			Transaction:    step.Transaction,
			DeadlineMicros: step.Deadline.Sub(c.now).Microseconds(),
		}})
		return
	}
}

func (c *Core) onRelay(p *peer, message *encoder.RelayRequest) {
	to := p.info.EntryID
	deadline := c.now.Add(min(time.Duration(message.DeadlineMicros)*time.Microsecond, c.options.SeatTerm))
	c.transact(message.Transaction, deadline, func(result keeper.TransactResult, failure TableFailure) {
		c.emit(Send{To: to, Message: &encoder.RelayReply{ID: message.ID, Result: result, Failed: failure != TableOK}})
	})
}

func (c *Core) onRelayReply(message *encoder.RelayReply) {
	known, ok := c.relays[message.ID]
	if !ok {
		return
	}
	delete(c.relays, message.ID)
	failure := TableOK
	if message.Failed {
		failure = TableUnresolved
	}
	known.done(message.Result, failure)
}

func (c *Core) relaysLost(id requester.EntryID) {
	for relayID, known := range c.relays {
		if known.peer == id {
			delete(c.relays, relayID)
		}
	}
}

func (c *Core) onPromiseRequest(p *peer, message *encoder.GrantRequest) {
	if message.Request.Holder != p.info.EntryID {
		return
	}
	reply := c.leaser.OnGrantRequest(c.now, message.Request, c.leaserPeers())
	c.emit(Send{To: p.info.EntryID, Message: &encoder.GrantReply{Reply: reply}})
}

func (c *Core) onPromiseReply(p *peer, message *encoder.GrantReply) {
	sent, ok := c.sentRounds[message.Reply.Round]
	if ok {
		c.leaser.OnGrantReply(c.now, p.info.EntryID, message.Reply, sent, c.leaserPeers())
	}
}

// tickOwnership brings the pools, homes and the fleet in line with the seats
// held.
func (c *Core) tickOwnership() {
	key := c.ownershipKey()
	if key == c.ownedKey {
		return
	}
	c.ownedKey = key
	c.updateHomes()
	c.updatePools()
	c.updateFleet()
	c.beat()
}

// ownershipKey changes whenever what this entry owns may have changed.
func (c *Core) ownershipKey() string {
	var key strings.Builder
	for _, holding := range c.leaser.Leases(c.now) {
		key.WriteString(strconv.Itoa(holding.Seat.Number))
		key.WriteByte(':')
		key.WriteString(strconv.FormatInt(holding.Epoch, 10))
		key.WriteByte(' ')
	}
	key.WriteByte('/')
	key.WriteString(strconv.FormatInt(c.config.Head(), 10))
	return key.String()
}

// updatePools gives each pool the endpoints that are owned now.
func (c *Core) updatePools() {
	owned := make(map[requester.Service][]router.OwnedEndpoint)
	for _, host := range c.hosts {
		if host.Role != keeper.RoleEndpoint || !c.ownsEndpoint(host.HostID) {
			continue
		}
		owned[host.Service] = append(owned[host.Service], router.OwnedEndpoint{
			EndpointInfo: router.EndpointInfo{
				HostID:      host.HostID,
				Service:     host.Service,
				Address:     host.Address,
				Slots:       host.Slots,
				Connections: host.Connections,
			},
			Leaving: host.Leaving || c.config.Leaving(host.HostID),
		})
	}
	c.viewHosts()
	for service := range owned {
		c.pool(service)
	}
	for service, sp := range c.pools {
		profile := c.config.ServiceProfile(service)
		sp.profile = profile
		sp.pool.SetLimits(routerLimits(profile, c.options))
		sp.queue.SetPolicy(c.queuePolicy(profile))
		sp.pool.SetEndpoints(c.now, owned[service])
	}
}

func (c *Core) ownsEndpoint(id requester.HostID) bool {
	number, ok := c.hostSeats[id]
	if !ok {
		return false
	}
	_, held := c.leaser.Holds(number, c.now)
	return held
}

// release starts to give a seat up. Nothing new is begun under it.
func (c *Core) release(number int) {
	if c.leaser.StartRelease(number, c.now) {
		c.ownedKey = ""
		c.tickOwnership()
	}
}

// vacateReleased leaves the seats whose work has ended.
func (c *Core) vacateReleased() {
	for number := range c.seatCount() {
		if _, releasing := c.leaser.Releasing(number); !releasing {
			continue
		}
		c.handBackHomes(number)
		if !c.seatBusy(number) {
			c.runStep(c.leaser.FinishRelease(number, c.now))
		}
	}
}

// seatBusy reports whether work begun under a seat goes on.
func (c *Core) seatBusy(number int) bool {
	own := func(id requester.RequestID) bool {
		return c.seatOf(c.options.DataCentre, string(id)).Number == number
	}
	if number != leaser.PlacementShard && c.book.Pending(own) > 0 {
		return true
	}
	if !c.leaser.StoreDown(c.now) && len(c.book.ReplicatedOnly(1)) > 0 {
		return true
	}
	for _, e := range c.attempts {
		if c.hostSeats[e.endpoint] == number {
			return true
		}
	}
	return number == leaser.PlacementShard && c.saveOpen
}

func (c *Core) seatCount() int {
	for _, info := range c.options.DataCentres {
		if info.Name == c.options.DataCentre {
			return info.Seats
		}
	}
	return 0
}

// removeDeadMembers takes entries off the member list that are proven dead.
// The one with the lowest name among those alive does so.
func (c *Core) removeDeadMembers() {
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
		c.runStep(c.leaser.RemoveMember(member, c.now))
	}
}

// drain starts a graceful shutdown.
func (c *Core) drain() {
	c.draining = true
	c.drainedAt = c.now
	c.leaser.Drain()
	c.beat()
}

// handOverTerms is how many lease terms an entry that shuts down waits for
// another one that may claim its seats.
const handOverTerms = 4

// mayHandOver reports whether another entry may claim the seats at once, or
// none is about to: while a newcomer waits to be allowed, seats are served here.
func (c *Core) mayHandOver() bool {
	coming := false
	for _, p := range c.leaserPeers() {
		if p.Connected && p.MayAcquire {
			return true
		}
		coming = coming || p.Connected && !p.Draining
	}
	return !coming || c.now.Sub(c.drainedAt) > handOverTerms*c.options.SeatTerm
}

// tickDrain goes on with a graceful shutdown: seats are released, what runs
// here ends, and the registration is withdrawn last.
func (c *Core) tickDrain() {
	if !c.draining || c.stopped {
		return
	}
	if !c.handingOver && !c.mayHandOver() {
		return
	}
	c.handingOver = true
	busy := len(c.executions)+len(c.forwards)+len(c.tokens) > 0
	for number := range c.seatCount() {
		if _, held := c.leaser.Holds(number, c.now); held {
			c.release(number)
		}
		busy = busy || c.leaser.Owns(number, c.now)
	}
	if busy {
		return
	}
	c.stopped = true
	step, ok := c.leaser.Unregister(c.now)
	if !ok {
		c.emit(Stopped{})
		return
	}
	c.transact(step.Transaction, step.Deadline, func(keeper.TransactResult, TableFailure) { c.emit(Stopped{}) })
}
