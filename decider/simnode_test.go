package decider

import (
	"net/netip"
	"slices"
	"time"

	"kumquatstall/encoder"
	"kumquatstall/requester"
	"kumquatstall/tuner"
)

// A node is a host on which an entry runs, stops and starts again. Its clock differs
// from the simulated one by clockSkew. It may pause, as a process does that gets no
// processor: what happens meanwhile reaches its core when it resumes. Events carry the
// incarnation for which they are meant, so that none reaches a later one.

// node is one entry host. Its core is nil while the entry does not run, and is
// replaced when the entry restarts.
type node struct {
	index            int
	id               requester.EntryID
	dataCentre       requester.DataCentre
	core             *Core
	incarnation      int64
	clockSkew        time.Duration
	pausedUntil      time.Time
	tableUnreachable bool
	dialTargets      map[requester.EntryID]bool
	links            map[int]int64
	refused          map[int]bool
	draining         bool
	revisions        map[tuner.ItemID]int64
	shards           string
}

func (s *simulation) startNode(n *node) {
	n.incarnation = s.now.UnixNano() + int64(n.index)
	n.dialTargets = make(map[requester.EntryID]bool)
	n.links = make(map[int]int64)
	n.refused = make(map[int]bool)
	n.revisions = make(map[tuner.ItemID]int64)
	n.draining = false
	options := Options{
		Self:             n.id,
		Incarnation:      n.incarnation,
		Address:          netip.MustParseAddrPort("127.0.0.1:2"),
		DataCentre:       n.dataCentre,
		ShardLeaseTerm:   testTerm,
		WorkerLeaseTerm:  testTerm,
		Margin:           testMargin,
		RequestRetention: 20 * time.Second,
		MaxCallLifetime:  8 * time.Second,
		SyncInterval:     300 * time.Millisecond,
	}
	for index := range testDataCentres {
		options.DataCentres = append(options.DataCentres, DataCentreInfo{Name: dataCentreName(index), Shards: testShards})
	}
	n.core = New(options, s.clock(n))
	s.scheduleTick(n, n.incarnation)
}

// stopNode ends the process of a node: its links close on the sides that it can
// still reach.
func (s *simulation) stopNode(n *node) {
	n.core = nil
	for _, other := range s.nodes {
		if other != n && n.links[other.index] != 0 {
			n.links[other.index] = 0
			if other.links[n.index] != 0 && s.reachable(n, other) {
				other.links[n.index] = 0
				s.post(other, linkEventDelay, PeerDown{EntryID: n.id})
			}
		}
	}
}

func (s *simulation) clock(n *node) time.Time { return s.now.Add(n.clockSkew) }

func (s *simulation) scheduleTick(n *node, incarnation int64) {
	s.after(testTick, func() {
		if n.core == nil || n.incarnation != incarnation {
			return
		}
		s.deliver(n, incarnation, Tick{})
		s.scheduleTick(n, incarnation)
	})
}

// deliver passes an event to a node's core and runs the resulting commands. A
// paused node receives it when it resumes; one that has restarted never does.
func (s *simulation) deliver(n *node, incarnation int64, event Event) {
	if n.core == nil || n.incarnation != incarnation {
		return
	}
	if s.now.Before(n.pausedUntil) {
		s.after(n.pausedUntil.Sub(s.now), func() { s.deliver(n, incarnation, event) })
		return
	}
	commands := slices.Clone(n.core.Handle(s.clock(n), event))
	for _, command := range commands {
		s.runCommand(n, command)
	}
	s.checkShards()
}

// post delivers an event after a delay.
func (s *simulation) post(n *node, delay time.Duration, event Event) {
	incarnation := n.incarnation
	s.after(delay, func() { s.deliver(n, incarnation, event) })
}

func (s *simulation) nodeNamed(id requester.EntryID) *node {
	for _, n := range s.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

func (s *simulation) runCommand(n *node, command Command) {
	switch command := command.(type) {
	case Send:
		s.send(n, command)
	case DialPeers:
		for _, info := range command.Peers {
			n.dialTargets[info.EntryID] = true
		}
	case DropPeer:
		s.closeLink(n, s.nodeNamed(command.EntryID))
	case ReplyCall:
		s.onReply(command)
	case ReplyConfig:
		if command.Problem.Code == encoder.ProblemNone {
			s.accepted = append(s.accepted, command.Item)
		}
	case ReplyJob:
	case Transact:
		s.transact(n, command, false)
	case Read:
		s.read(n, command)
	case ListHosts:
		s.listHosts(n)
	case StartAttempt:
		s.startAttempt(n, command)
	case PollStatus:
		s.requestStatus(n, command)
	case SyncWorker:
		s.syncWorker(n, command)
	case Violation:
		s.failf("%s reports a broken invariant: %s: %s", n.id, command.Name, command.Detail)
	case Stopped:
		s.tracef("%s has shut down", n.id)
		s.stopNode(n)
	}
}
