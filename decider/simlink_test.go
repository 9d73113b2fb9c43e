package decider

import (
	"net/netip"
	"time"

	"kumquatstall/encoder"
	"kumquatstall/leaser"
)

// A link joins two nodes and has a serial number, by which a message finds out that
// its link has closed meanwhile. Nodes that a partition separates keep their links,
// over which nothing arrives; a stopped node closes those that it can reach.

func (s *simulation) reachable(a, b *node) bool {
	return !s.partitioned[[2]int{min(a.index, b.index), max(a.index, b.index)}]
}

// openLinks opens the links that nodes have requested to reachable nodes, and
// reports whether an address refuses connections.
func (s *simulation) openLinks() {
	for _, a := range s.nodes {
		if a.core == nil || s.now.Before(a.pausedUntil) {
			continue
		}
		for _, b := range s.nodes {
			if a == b || !s.reachable(a, b) || !a.dialTargets[b.id] {
				continue
			}
			if refused := b.core == nil; refused != a.refused[b.index] {
				a.refused[b.index] = refused
				s.post(a, 0, PeerRefused{EntryID: b.id, Refused: refused})
			}
			if b.core != nil && a.links[b.index] == 0 && !s.now.Before(b.pausedUntil) {
				s.openLink(a, b)
			}
		}
	}
}

// linkEventDelay is how long after a link has opened or closed its ends learn of it. It is
// the same for both, so that an end learns that a link has closed before it learns of the next
// one, as a Linker reports them.
const linkEventDelay = time.Millisecond

func (s *simulation) openLink(a, b *node) {
	serial := s.now.UnixNano()
	for _, pair := range [][2]*node{{a, b}, {b, a}} {
		from, to := pair[0], pair[1]
		from.links[to.index] = serial
		info := encoder.PeerInfo{EntryID: to.id, DataCentre: to.dataCentre, Address: netip.MustParseAddrPort("127.0.0.1:2")}
		s.post(from, linkEventDelay, PeerUp{Peer: info, Incarnation: to.incarnation})
	}
}

// closeLink closes the link between two nodes on both sides.
func (s *simulation) closeLink(a, b *node) {
	for _, pair := range [][2]*node{{a, b}, {b, a}} {
		if from, to := pair[0], pair[1]; from.links[to.index] != 0 {
			from.links[to.index] = 0
			s.post(from, linkEventDelay, PeerDown{EntryID: to.id})
		}
	}
}

func (s *simulation) send(n *node, command Send) {
	to := s.nodeNamed(command.To)
	serial := n.links[to.index]
	if serial == 0 || to.links[n.index] != serial {
		return
	}
	if request, ok := command.Message.(*encoder.GrantRequest); ok && s.mutate == mutationGrantsForged {
		reply := leaser.GrantReply{Round: request.Request.Round}
		for _, shard := range request.Request.Seats {
			reply.Granted = append(reply.Granted, shard.Seat.Number)
		}
		for _, other := range s.nodes {
			if other.dataCentre == n.dataCentre && other != n {
				s.post(n, time.Millisecond, PeerMessage{From: other.id, Incarnation: other.incarnation, Message: &encoder.GrantReply{Reply: reply}})
			}
		}
		return
	}
	// Messages are encoded and decoded as on a real link.
	data, err := encoder.Encode(command.Message)
	if err != nil {
		s.failf("encode message: %v", err)
	}
	incarnation, sender := to.incarnation, n.incarnation
	s.after(s.delay(), func() {
		if !s.reachable(n, to) || to.links[n.index] != serial || to.incarnation != incarnation {
			return
		}
		message, err := encoder.Decode(data)
		if err != nil {
			s.failf("decode message: %v", err)
		}
		s.deliver(to, incarnation, PeerMessage{From: n.id, Incarnation: sender, Message: message})
	})
}
