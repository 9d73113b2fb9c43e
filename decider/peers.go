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
	info        encoder.PeerInfo
	incarnation int64
	connected   bool
	refused     bool
	leaving     bool
	storeDown   bool
	heardAt     time.Time
	holdings    []leaser.ShardLease
	loads       map[requester.Service]*encoder.ServiceLoad
	configHead  int64
	vacated     int64
	mayClaim    bool
	// lastSentAt is the SentAt of the last heartbeat heard.
	lastSentAt time.Time
	// met tells that a heartbeat of the peer has arrived.
	met bool
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

// silentHeartbeats is the number of heartbeats that may be missing before a
// link counts as silent.
const silentHeartbeats = 4

func (c *Core) learnPeer(info encoder.PeerInfo) *peer {
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
	known := c.learnPeer(event.Peer)
	if event.Incarnation < known.incarnation {
		return
	}
	if known.incarnation != 0 && event.Incarnation > known.incarnation {
		c.noteMemberLost(known)
	}
	known.info = event.Peer
	known.incarnation = event.Incarnation
	known.connected = true
	known.refused = false
	known.leaving = false
	known.heardAt = c.now
	known.lastSentAt = time.Time{}
	c.emit(Send{To: event.Peer.EntryID, Message: &encoder.PeerList{Peers: c.knownPeers()}})
	c.emit(Send{To: event.Peer.EntryID, Message: c.heartbeatTo(known)})
	c.pullWitnesses(event.Peer.EntryID)
}

func (c *Core) noteMemberLost(p *peer) {
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
	c.jobAsksLost(id)
	c.relaysLost(id)
}

func (c *Core) onPeerRefused(event PeerRefused) {
	known, ok := c.peers[event.EntryID]
	if !ok || known.connected {
		return
	}
	if event.Refused && !known.refused {
		c.noteMemberLost(known)
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
			EntryID:           p.info.EntryID,
			Connected:         p.connected,
			Refused:           p.refused,
			Incarnation:       p.incarnation,
			Draining:          p.leaving,
			MayAcquire:        p.mayClaim,
			HeartbeatReceived: p.met,
		})
	}
	return peers
}

// learnMembers takes in the registered entries of all data centres.
func (c *Core) learnMembers(rows []keeper.Row) {
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
		known := c.learnPeer(info)
		if !known.connected && member.Incarnation >= known.incarnation && known.info != info {
			known.info = info
			known.refused = false
		}
	}
	c.emit(DialPeers{Peers: c.knownPeers()})
}

func (c *Core) onIntroduce(message *encoder.PeerList) {
	learnt := false
	for _, info := range message.Peers {
		if info.EntryID == c.options.Self || info.EntryID == "" {
			continue
		}
		if _, ok := c.peers[info.EntryID]; !ok {
			c.learnPeer(info)
			learnt = true
		}
	}
	if learnt {
		c.emit(DialPeers{Peers: c.knownPeers()})
	}
}

// heartbeat sends a heartbeat to all peers when one is due.
func (c *Core) heartbeat() {
	if c.now.Sub(c.heartbeatAt) < c.options.HeartbeatInterval {
		return
	}
	c.beat()
}

// beat sends a heartbeat to all peers at once.
func (c *Core) beat() {
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
		Holdings:   c.leaser.Leases(c.now),
		Loads:      c.loads(),
		ConfigHead: c.config.Head(),
		StoreDown:  c.leaser.StoreDown(c.now),
		Leaving:    c.handingOver,
		Vacated:    c.vacated,
		MayClaim:   c.leaser.MayAcquire(c.now),
	}
	if !p.lastSentAt.IsZero() {
		message.EchoSentAt = p.lastSentAt
		message.EchoHeldMicros = c.now.Sub(p.heardAt).Microseconds()
	}
	return message
}

func (c *Core) onHeartbeat(p *peer, message *encoder.Heartbeat) {
	p.heardAt = c.now
	p.met = true
	p.lastSentAt = message.SentAt
	p.holdings = message.Holdings
	p.leaving = message.Leaving
	p.storeDown = message.StoreDown
	p.mayClaim = message.MayClaim
	p.configHead = message.ConfigHead
	if message.StoreDown {
		c.outageAt = c.now
	}
	if message.Vacated != p.vacated {
		p.vacated = message.Vacated
		c.readAt = time.Time{}
	}
	c.measure(p, message)
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
func (c *Core) measure(p *peer, message *encoder.Heartbeat) {
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

// checkPeers drops the links on which nothing has been heard for too long.
func (c *Core) checkPeers() {
	for _, p := range c.peerOrder {
		if p.connected && c.now.Sub(p.heardAt) > silentHeartbeats*c.options.HeartbeatInterval {
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
	case *encoder.PeerList:
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
	case *encoder.GrantRequest:
		c.onPromiseRequest(p, message)
	case *encoder.GrantReply:
		c.onPromiseReply(p, message)
	case *encoder.RelayRequest:
		c.onRelay(p, message)
	case *encoder.RelayReply:
		c.onRelayReply(message)
	case *encoder.ReplicateRequest:
		c.onWitnessRequest(p, message)
	case *encoder.ReplicateReply:
		c.onWitnessReply(p, message)
	case *encoder.ReplicaFetch:
		c.onWitnessPull(p, message)
	case *encoder.ReplicaList:
		c.onWitnessList(p, message)
	case *encoder.JobRequest:
		c.onJobRequest(p, message)
	case *encoder.JobReply:
		c.onJobReply(message)
	}
}

// holderOf returns the connected entry, or this one, that holds a seat.
func (c *Core) holderOf(seat leaser.Shard) (requester.EntryID, bool) {
	if seat.DataCentre == c.options.DataCentre {
		if _, ok := c.leaser.Holds(seat.Number, c.now); ok {
			return c.options.Self, true
		}
	}
	known, ok := c.directory[seat]
	if !ok || known.entry == c.options.Self {
		return "", false
	}
	p, ok := c.peers[known.entry]
	if !ok || !p.connected || !p.holds(seat, known.epoch) {
		return "", false
	}
	return known.entry, true
}

func (p *peer) holds(seat leaser.Shard, epoch int64) bool {
	for _, holding := range p.holdings {
		if holding.Seat == seat && holding.Epoch == epoch {
			return true
		}
	}
	return false
}
