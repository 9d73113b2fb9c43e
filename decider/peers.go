package decider

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/leaser"
	"kumquatstall/recorder"
	"kumquatstall/requester"
)

// peer is the state of another entry as its link, its last heartbeat and the
// table report it.
type peer struct {
	info        encoder.PeerInfo
	incarnation int64
	connected   bool
	// refused is true if the peer's address refuses connections: no process
	// listens there.
	refused bool
	// draining is true while the peer transfers its shards to others during a
	// graceful shutdown.
	draining bool
	// storeDown is true while the peer can't reach the table.
	storeDown   bool
	lastHeardAt time.Time
	leases      []leaser.ShardLease
	// loads are the loads that the peer reported, updated by the calls that
	// were forwarded to it since.
	loads map[requester.Service]*encoder.ServiceLoad
	// configHead is the revision of the peer's configuration.
	configHead int64
	// releaseCount is how many shards the peer has released.
	releaseCount int64
	// mayAcquire is true if the peer could acquire a vacant shard at its last
	// heartbeat.
	mayAcquire bool
	// lastSentAt is the SentAt of the last heartbeat received.
	lastSentAt time.Time
	// heartbeatReceived is true once this incarnation of the peer has sent a
	// heartbeat; it stays true after the link has closed.
	heartbeatReceived bool
	// roundTrip is the smoothed round-trip time of heartbeats, and offset the
	// peer's clock minus the own one.
	roundTrip time.Duration
	offset    time.Duration
}

// holder is the peer that reported a shard under the highest epoch, and this epoch.
type holder struct {
	entry requester.EntryID
	epoch int64
}

// maxMissedHeartbeats is how many heartbeat intervals may pass without a heartbeat
// before a peer counts as unresponsive.
const maxMissedHeartbeats = 4

// ensurePeer returns the peer with the EntryID of info and adds it if it is
// unknown. It leaves the info of a known peer unchanged.
func (c *Core) ensurePeer(info encoder.PeerInfo) *peer {
	known, ok := c.peers[info.EntryID]
	if !ok {
		known = &peer{info: info, loads: make(map[requester.Service]*encoder.ServiceLoad), roundTrip: time.Millisecond}
		c.peers[info.EntryID] = known
		c.peerOrder = append(c.peerOrder, known)
		sort.Slice(c.peerOrder, func(i, j int) bool { return c.peerOrder[i].info.EntryID < c.peerOrder[j].info.EntryID })
	}
	return known
}

// onPeerUp records a new link and sends the peer all known entries and a
// heartbeat. It requests the replicas of write-ahead records that a coordinator
// shard still awaits from the peer. A link to an older incarnation is ignored; a
// newer incarnation has lost the replicas of the one before.
func (c *Core) onPeerUp(event PeerUp) {
	if event.Peer.EntryID == c.options.Self {
		return
	}
	if known, ok := c.peers[event.Peer.EntryID]; ok && known.connected {
		// The new link replaces one whose close was not detected.
		c.onPeerDown(event.Peer.EntryID)
	}
	known := c.ensurePeer(event.Peer)
	if event.Incarnation < known.incarnation {
		return
	}
	if known.incarnation != 0 && event.Incarnation > known.incarnation {
		c.recordMemberLoss(known)
		known.forgetHeartbeats()
	}
	known.info = event.Peer
	known.incarnation = event.Incarnation
	known.connected = true
	known.refused = false
	known.draining = false
	known.lastHeardAt = c.now
	known.lastSentAt = time.Time{}
	c.emit(Send{To: event.Peer.EntryID, Message: &encoder.PeerList{Peers: c.knownPeers()}})
	c.emit(Send{To: event.Peer.EntryID, Message: c.heartbeatTo(known)})
	c.fetchPendingReplicas(event.Peer.EntryID)
}

// forgetHeartbeats drops what an incarnation of the peer has told in its heartbeats.
func (p *peer) forgetHeartbeats() {
	p.heartbeatReceived, p.mayAcquire, p.storeDown, p.leases = false, false, false, nil
}

// recordMemberLoss records when a peer's process has ended, if the peer is in the
// own data centre: the replicas of write-ahead records in its memory are lost.
func (c *Core) recordMemberLoss(p *peer) {
	if p.info.DataCentre == c.options.DataCentre {
		c.memberLostAt = c.now
	}
}

// onPeerDown handles the loss of a link: what is in flight to the peer is
// rerouted, answered or discarded.
func (c *Core) onPeerDown(id requester.EntryID) {
	known, ok := c.peers[id]
	if !ok || !known.connected {
		return
	}
	known.connected = false
	known.loads = make(map[requester.Service]*encoder.ServiceLoad)
	c.resolveLostForwards(id)
	c.failJobRequests(id)
	c.dropRelays(id)
}

// onPeerRefused records whether the address of a disconnected peer refuses
// connections, which proves that its process has ended.
func (c *Core) onPeerRefused(event PeerRefused) {
	known, ok := c.peers[event.EntryID]
	if !ok || known.connected {
		return
	}
	if event.Refused && !known.refused {
		c.recordMemberLoss(known)
	}
	known.refused = event.Refused
}

// knownPeers returns all other entries known, sorted by EntryID.
func (c *Core) knownPeers() []encoder.PeerInfo {
	infos := make([]encoder.PeerInfo, 0, len(c.peers))
	for _, p := range c.peerOrder {
		infos = append(infos, p.info)
	}
	return infos
}

// leaserPeers returns the state of the peers of the own data centre for the
// leaser's decisions.
func (c *Core) leaserPeers() []leaser.Peer {
	var peers []leaser.Peer
	for _, p := range c.peerOrder {
		if p.info.DataCentre != c.options.DataCentre {
			continue
		}
		peers = append(peers, leaser.Peer{
			EntryID:           p.info.EntryID,
			Connected:         p.connected,
			Refused:           p.refused,
			Incarnation:       p.incarnation,
			Draining:          p.draining,
			MayAcquire:        p.mayAcquire,
			HeartbeatReceived: p.heartbeatReceived,
		})
	}
	return peers
}

// applyMemberRows adds the registered entries of all data centres as peers and
// requests links to them. A disconnected peer gets the address under which it is
// registered, unless the row is of an older incarnation.
func (c *Core) applyMemberRows(rows []keeper.Row) {
	for _, row := range rows {
		rest, ok := strings.CutPrefix(row.Key, "member/")
		if !ok {
			continue
		}
		dataCentre, _, ok := strings.Cut(rest, "/")
		var member leaser.MemberRow
		if !ok || json.Unmarshal(row.Value, &member) != nil || member.EntryID == c.options.Self {
			continue
		}
		info := encoder.PeerInfo{EntryID: member.EntryID, DataCentre: requester.DataCentre(dataCentre), Address: member.Address}
		known := c.ensurePeer(info)
		if !known.connected && member.Incarnation >= known.incarnation && known.info != info {
			known.info = info
			known.refused = false
		}
	}
	c.emit(DialPeers{Peers: c.knownPeers()})
}

// onPeerList adds the entries that a peer knows and requests links to them.
func (c *Core) onPeerList(message *encoder.PeerList) {
	added := false
	for _, info := range message.Peers {
		if info.EntryID == c.options.Self || info.EntryID == "" {
			continue
		}
		if _, ok := c.peers[info.EntryID]; !ok {
			c.ensurePeer(info)
			added = true
		}
	}
	if added {
		c.emit(DialPeers{Peers: c.knownPeers()})
	}
}

// tickHeartbeat sends heartbeats when they are due.
func (c *Core) tickHeartbeat() {
	if c.now.Sub(c.heartbeatAt) < c.options.HeartbeatInterval {
		return
	}
	c.sendHeartbeats()
}

// sendHeartbeats sends a heartbeat to every connected peer.
func (c *Core) sendHeartbeats() {
	c.heartbeatAt = c.now
	for _, p := range c.peerOrder {
		if p.connected {
			c.emit(Send{To: p.info.EntryID, Message: c.heartbeatTo(p)})
		}
	}
}

// heartbeatTo returns a heartbeat for a peer. It echoes the SentAt of the peer's
// last heartbeat, so that the peer can measure the round trip.
func (c *Core) heartbeatTo(p *peer) *encoder.Heartbeat {
	message := &encoder.Heartbeat{
		SentAt:     c.now,
		Holdings:   c.leaser.Leases(c.now),
		Loads:      c.loads(),
		ConfigHead: c.config.Head(),
		StoreDown:  c.leaser.StoreDown(c.now),
		Leaving:    c.releasingAll,
		Vacated:    c.releaseCount,
		MayClaim:   c.leaser.MayAcquire(c.now),
	}
	if !p.lastSentAt.IsZero() {
		message.EchoSentAt = p.lastSentAt
		message.EchoHeldMicros = c.now.Sub(p.lastHeardAt).Microseconds()
	}
	return message
}

// onHeartbeat applies a peer's state: its leases, loads, clock and configuration
// revision. It makes the table due to be read if the peer has released a shard,
// and requests a newer configuration.
func (c *Core) onHeartbeat(p *peer, message *encoder.Heartbeat) {
	p.lastHeardAt = c.now
	p.heartbeatReceived = true
	p.lastSentAt = message.SentAt
	p.leases = message.Holdings
	p.draining = message.Leaving
	p.storeDown = message.StoreDown
	p.mayAcquire = message.MayClaim
	p.configHead = message.ConfigHead
	if message.StoreDown {
		c.tableOutageAt = c.now
	}
	if message.Vacated != p.releaseCount {
		p.releaseCount = message.Vacated
		c.readSentAt = time.Time{}
	}
	c.updateClockEstimate(p, message)
	p.loads = make(map[requester.Service]*encoder.ServiceLoad, len(message.Loads))
	for i := range message.Loads {
		p.loads[message.Loads[i].Service] = &message.Loads[i]
	}
	for _, lease := range message.Holdings {
		if known, ok := c.shardHolders[lease.Seat]; !ok || lease.Epoch >= known.epoch {
			c.shardHolders[lease.Seat] = holder{entry: p.info.EntryID, epoch: lease.Epoch}
		}
	}
	if message.ConfigHead > c.config.Head() {
		c.emit(Send{To: p.info.EntryID, Message: &encoder.ConfigRequest{Since: c.config.Head()}})
	}
}

// updateClockEstimate updates the peer's round trip and clock offset. The error of
// an offset sample grows with its round trip, so samples with more than twice the
// smoothed round trip leave the offset unchanged. Samples with a round trip that is
// negative or longer than a lease term are ignored.
func (c *Core) updateClockEstimate(p *peer, message *encoder.Heartbeat) {
	if message.EchoSentAt.IsZero() {
		return
	}
	roundTrip := c.now.Sub(message.EchoSentAt) - time.Duration(message.EchoHeldMicros)*time.Microsecond
	if roundTrip < 0 || roundTrip > c.options.ShardLeaseTerm {
		return
	}
	const smoothing = 8
	if roundTrip <= p.roundTrip*2 || p.roundTrip == 0 {
		p.offset = message.SentAt.Add(roundTrip / 2).Sub(c.now)
	}
	p.roundTrip += (roundTrip - p.roundTrip) / smoothing
}

// dropUnresponsivePeers closes the links of peers whose heartbeats have stopped.
func (c *Core) dropUnresponsivePeers() {
	for _, p := range c.peerOrder {
		if p.connected && c.now.Sub(p.lastHeardAt) > maxMissedHeartbeats*c.options.HeartbeatInterval {
			c.emit(DropPeer{EntryID: p.info.EntryID})
			c.onPeerDown(p.info.EntryID)
		}
	}
}

// onPeerMessage handles a message of the connected incarnation of a peer. What a former
// one has sent says nothing of the present one, and concerns requests that it has not made.
func (c *Core) onPeerMessage(event PeerMessage) {
	p, ok := c.peers[event.From]
	if !ok || !p.connected || event.Incarnation != p.incarnation {
		return
	}
	switch message := event.Message.(type) {
	case *encoder.Heartbeat:
		c.onHeartbeat(p, message)
	case *encoder.PeerList:
		c.onPeerList(message)
	case *encoder.CallForward:
		c.onCallForward(p, message)
	case *encoder.CallReply:
		c.onCallReply(p, message)
	case *encoder.CallCancel:
		c.onCallCancel(p, message)
	case *encoder.ConfigUpdate:
		c.onConfigUpdate(p, message)
	case *encoder.ConfigRequest:
		c.emit(Send{To: p.info.EntryID, Message: &encoder.ConfigUpdate{Update: c.config.UpdateSince(message.Since)}})
	case *encoder.GrantRequest:
		c.onGrantRequest(p, message)
	case *encoder.GrantReply:
		c.onGrantReply(p, message)
	case *encoder.RelayRequest:
		c.onRelayRequest(p, message)
	case *encoder.RelayReply:
		c.onRelayReply(message)
	case *encoder.ReplicateRequest:
		c.onReplicateRequest(p, message)
	case *encoder.ReplicateReply:
		c.onReplicateReply(p, message)
	case *encoder.ReplicaFetch:
		c.onReplicaFetch(p, message)
	case *encoder.ReplicaList:
		c.onReplicaList(p, message)
	case *encoder.JobRequest:
		c.onJobRequest(p, message)
	case *encoder.JobReply:
		c.onJobReply(message)
	}
}

// holderOf returns the entry that holds a shard: this one, or a connected peer
// whose last heartbeat reports the lease. The result is false if there is none.
func (c *Core) holderOf(shard leaser.Shard) (requester.EntryID, bool) {
	if shard.DataCentre == c.options.DataCentre {
		if _, ok := c.leaser.Holds(shard.Number, c.now); ok {
			return c.options.Self, true
		}
	}
	known, ok := c.shardHolders[shard]
	if !ok || known.entry == c.options.Self {
		return "", false
	}
	p, ok := c.peers[known.entry]
	if !ok || !p.connected || !p.holds(shard, known.epoch) {
		return "", false
	}
	return known.entry, true
}

// coordinator returns the peer's incarnation as a coordinator.
func (p *peer) coordinator() recorder.Coordinator {
	return recorder.Coordinator{Entry: p.info.EntryID, Incarnation: p.incarnation}
}

// holds reports whether the peer's last heartbeat reports the shard under epoch.
func (p *peer) holds(shard leaser.Shard, epoch int64) bool {
	for _, lease := range p.leases {
		if lease.Seat == shard && lease.Epoch == epoch {
			return true
		}
	}
	return false
}
