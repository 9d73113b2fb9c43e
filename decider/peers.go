package decider

import (
	"encoding/json"
	"sort"
	"strings"
	"time"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/leaser"
	"kumquatstall/requester"
)

// peer is another entry as this one knows it.
type peer struct {
	info         encoder.PeerInfo
	incarnation  int64
	connected    bool
	refused      bool
	leaving      bool
	storeDown    bool
	lastHeardAt  time.Time
	holdings     []leaser.Holding
	loads        map[requester.Service]*encoder.ServiceLoad
	configHead   int64
	releaseCount int64
	mayAcquire   bool
	// lastSentAt is the SentAt of the last heartbeat heard.
	lastSentAt time.Time
	// met tells that a heartbeat of the peer has arrived.
	heartbeatReceived bool
	// roundTrip and offset are measured by heartbeats; offset is what the
	// peer's clock is ahead.
	roundTrip time.Duration
	offset    time.Duration
}

// holder is who holds a seat, as far as this entry knows.
type holder struct {
	entry requester.EntryID
	epoch int64
}

// maxMissedHeartbeats is the number of heartbeats that may be missing before a
// link counts as silent.
const maxMissedHeartbeats = 4

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

func (c *Core) onPeerUp(event PeerUp) {
	if event.Peer.EntryID == c.options.Self {
		return
	}
	if known, ok := c.peers[event.Peer.EntryID]; ok && known.connected {
		// The new link replaces one that was thought to be up.
		c.onPeerDown(event.Peer.EntryID)
	}
	known := c.ensurePeer(event.Peer)
	if event.Incarnation < known.incarnation {
		return
	}
	if known.incarnation != 0 && event.Incarnation > known.incarnation {
		c.recordMemberLoss(known)
	}
	known.info = event.Peer
	known.incarnation = event.Incarnation
	known.connected = true
	known.refused = false
	known.leaving = false
	known.lastHeardAt = c.now
	known.lastSentAt = time.Time{}
	c.emit(Send{To: event.Peer.EntryID, Message: &encoder.Introduce{Peers: c.knownPeers()}})
	c.emit(Send{To: event.Peer.EntryID, Message: c.heartbeatTo(known)})
	c.pullWitnesses(event.Peer.EntryID)
}

func (c *Core) recordMemberLoss(p *peer) {
	if p.info.DataCentre == c.options.DataCentre {
		c.memberLostAt = c.now
	}
}

func (c *Core) onPeerDown(id requester.EntryID) {
	known, ok := c.peers[id]
	if !ok || !known.connected {
		return
	}
	known.connected = false
	known.loads = make(map[requester.Service]*encoder.ServiceLoad)
	c.forwardsLost(id)
	c.failJobRequests(id)
	c.dropRelays(id)
}

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

// knownPeers lists all entries known, sorted by name.
func (c *Core) knownPeers() []encoder.PeerInfo {
	infos := make([]encoder.PeerInfo, 0, len(c.peers))
	for _, p := range c.peerOrder {
		infos = append(infos, p.info)
	}
	return infos
}

// leaserPeers returns what the leaser has to know of the other entries of the
// data centre.
func (c *Core) leaserPeers() []leaser.Peer {
	var peers []leaser.Peer
	for _, p := range c.peerOrder {
		if p.info.DataCentre != c.options.DataCentre {
			continue
		}
		peers = append(peers, leaser.Peer{
			EntryID:     p.info.EntryID,
			Connected:   p.connected,
			Refused:     p.refused,
			Incarnation: p.incarnation,
			Leaving:     p.leaving,
			MayClaim:    p.mayAcquire,
			Met:         p.heartbeatReceived,
		})
	}
	return peers
}

// applyMemberRows takes in the registered entries of all data centres.
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

func (c *Core) onIntroduce(message *encoder.Introduce) {
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

// heartbeat sends a heartbeat to all peers when one is due.
func (c *Core) tickHeartbeat() {
	if c.now.Sub(c.heartbeatAt) < c.options.HeartbeatInterval {
		return
	}
	c.sendHeartbeats()
}

// beat sends a heartbeat to all peers at once.
func (c *Core) sendHeartbeats() {
	c.heartbeatAt = c.now
	for _, p := range c.peerOrder {
		if p.connected {
			c.emit(Send{To: p.info.EntryID, Message: c.heartbeatTo(p)})
		}
	}
}

func (c *Core) heartbeatTo(p *peer) *encoder.Heartbeat {
	message := &encoder.Heartbeat{
		SentAt:     c.now,
		Holdings:   c.leaser.Holdings(c.now),
		Loads:      c.loads(),
		ConfigHead: c.config.Head(),
		StoreDown:  c.leaser.StoreDown(c.now),
		Leaving:    c.handingOver,
		Vacated:    c.vacated,
		MayClaim:   c.leaser.MayClaim(c.now),
	}
	if !p.lastSentAt.IsZero() {
		message.EchoSentAt = p.lastSentAt
		message.EchoHeldMicros = c.now.Sub(p.lastHeardAt).Microseconds()
	}
	return message
}

func (c *Core) onHeartbeat(p *peer, message *encoder.Heartbeat) {
	p.lastHeardAt = c.now
	p.heartbeatReceived = true
	p.lastSentAt = message.SentAt
	p.holdings = message.Holdings
	p.leaving = message.Leaving
	p.storeDown = message.StoreDown
	p.mayAcquire = message.MayClaim
	p.configHead = message.ConfigHead
	if message.StoreDown {
		c.outageAt = c.now
	}
	if message.Vacated != p.releaseCount {
		p.releaseCount = message.Vacated
		c.readAt = time.Time{}
	}
	c.updateClockEstimate(p, message)
	p.loads = make(map[requester.Service]*encoder.ServiceLoad, len(message.Loads))
	for i := range message.Loads {
		p.loads[message.Loads[i].Service] = &message.Loads[i]
	}
	for _, holding := range message.Holdings {
		if known, ok := c.directory[holding.Seat]; !ok || holding.Epoch >= known.epoch {
			c.directory[holding.Seat] = holder{entry: p.info.EntryID, epoch: holding.Epoch}
		}
	}
	if message.ConfigHead > c.config.Head() {
		c.emit(Send{To: p.info.EntryID, Message: &encoder.ConfigRequest{Since: c.config.Head()}})
	}
}

// measure updates the peer's round trip and clock offset. A sample with a
// short round trip says more about the offset, so that long ones are left out.
func (c *Core) updateClockEstimate(p *peer, message *encoder.Heartbeat) {
	if message.EchoSentAt.IsZero() {
		return
	}
	roundTrip := c.now.Sub(message.EchoSentAt) - time.Duration(message.EchoHeldMicros)*time.Microsecond
	if roundTrip < 0 || roundTrip > c.options.SeatTerm {
		return
	}
	const smoothing = 8
	if roundTrip <= p.roundTrip*2 || p.roundTrip == 0 {
		p.offset = message.SentAt.Add(roundTrip / 2).Sub(c.now)
	}
	p.roundTrip += (roundTrip - p.roundTrip) / smoothing
}

// dropUnresponsivePeers drops the links on which nothing has been heard for too long.
func (c *Core) dropUnresponsivePeers() {
	for _, p := range c.peerOrder {
		if p.connected && c.now.Sub(p.lastHeardAt) > maxMissedHeartbeats*c.options.HeartbeatInterval {
			c.emit(DropPeer{EntryID: p.info.EntryID})
			c.onPeerDown(p.info.EntryID)
		}
	}
}

func (c *Core) onPeerMessage(event PeerMessage) {
	p, ok := c.peers[event.From]
	if !ok || !p.connected {
		return
	}
	switch message := event.Message.(type) {
	case *encoder.Heartbeat:
		c.onHeartbeat(p, message)
	case *encoder.Introduce:
		c.onIntroduce(message)
	case *encoder.CallForward:
		c.onForwarded(p, message)
	case *encoder.CallReply:
		c.onCallReply(p, message)
	case *encoder.CallCancel:
		c.onCancelled(p, message)
	case *encoder.ConfigUpdate:
		c.onConfigUpdate(p, message)
	case *encoder.ConfigRequest:
		c.emit(Send{To: p.info.EntryID, Message: &encoder.ConfigUpdate{Update: c.config.UpdateSince(message.Since)}})
	case *encoder.PromiseRequest:
		c.onGrantRequest(p, message)
	case *encoder.PromiseReply:
		c.onGrantReply(p, message)
	case *encoder.Relay:
		c.onRelay(p, message)
	case *encoder.RelayReply:
		c.onRelayReply(message)
	case *encoder.WitnessRequest:
		c.onWitnessRequest(p, message)
	case *encoder.WitnessReply:
		c.onWitnessReply(p, message)
	case *encoder.WitnessPull:
		c.onWitnessPull(p, message)
	case *encoder.WitnessList:
		c.onWitnessList(p, message)
	case *encoder.JobRequest:
		c.onJobRequest(p, message)
	case *encoder.JobReply:
		c.onJobReply(message)
	}
}

// holderOf returns the connected entry, or this one, that holds a seat.
func (c *Core) holderOf(shard leaser.Seat) (requester.EntryID, bool) {
	if shard.DataCentre == c.options.DataCentre {
		if _, ok := c.leaser.Holds(shard.Number, c.now); ok {
			return c.options.Self, true
		}
	}
	known, ok := c.directory[shard]
	if !ok || known.entry == c.options.Self {
		return "", false
	}
	p, ok := c.peers[known.entry]
	if !ok || !p.connected || !p.holds(shard, known.epoch) {
		return "", false
	}
	return known.entry, true
}

func (p *peer) holds(shard leaser.Seat, epoch int64) bool {
	for _, holding := range p.holdings {
		if holding.Seat == shard && holding.Epoch == epoch {
			return true
		}
	}
	return false
}
