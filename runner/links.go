package runner

import (
	"kumquatstall/decider"
	"kumquatstall/encoder"
	"kumquatstall/requester"
)

// dialSeeds dials the peers named in the settings, so that links do not depend
// on the table's member list.
func (e *Entry) dialSeeds() {
	var seeds []encoder.PeerInfo
	for _, peer := range e.settings.Peers {
		seeds = append(seeds, encoder.PeerInfo{EntryID: peer.EntryID, DataCentre: peer.DataCentre, Address: peer.Address})
	}
	if len(seeds) > 0 {
		e.linker.Dial(seeds)
	}
}

// PeerUp implements linker.Handler.
func (e *Entry) PeerUp(peer encoder.PeerInfo, incarnation int64) {
	e.log.Info().Str("Peer", string(peer.EntryID)).Msg("link up")
	e.mailbox.post(decider.PeerUp{Peer: peer, Incarnation: incarnation})
}

// PeerDown implements linker.Handler.
func (e *Entry) PeerDown(id requester.EntryID, why error) {
	e.log.Info().Str("Peer", string(id)).AnErr("Why", why).Msg("link down")
	e.mailbox.post(decider.PeerDown{EntryID: id})
}

// PeerRefused implements linker.Handler.
func (e *Entry) PeerRefused(id requester.EntryID, refused bool) {
	e.mailbox.post(decider.PeerRefused{EntryID: id, Refused: refused})
}

// PeerMessage implements linker.Handler.
func (e *Entry) PeerMessage(from requester.EntryID, incarnation int64, message encoder.Message) {
	e.mailbox.post(decider.PeerMessage{From: from, Incarnation: incarnation, Message: message})
}
