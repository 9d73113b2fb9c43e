package decider

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/encoder"
	"kumquatstall/leaser"
	"kumquatstall/recorder"
	"kumquatstall/requester"
)

// lifeOf returns a core of entry "a" that started at now and has forwarded a call with the
// given RequestID to "b", and the message with the call.
func lifeOf(now time.Time, id requester.RequestID) (*Core, *encoder.CallForward) {
	c := New(Options{Self: "a", Incarnation: now.UnixNano(), DataCentre: "here", DataCentres: []DataCentreInfo{{Name: "here", Shards: 2}}}, now)
	c.Handle(now, PeerUp{Peer: encoder.PeerInfo{EntryID: "b", DataCentre: "here"}, Incarnation: 1})
	call := requester.Call{RequestID: id, DataCentre: "here", Deadline: now.Add(time.Minute)}
	c.waitingCallers[1], c.commands = id, nil
	c.sendForward(&forward{id: c.newID(), hop: encoder.HopExecutor, call: call, origin: recorder.Origin{Token: 1}}, "b")
	for _, command := range c.commands {
		if send, ok := command.(Send); ok {
			return c, send.Message.(*encoder.CallForward)
		}
	}
	panic("the call was not forwarded")
}

// TestReplyToFormerLife guards against a caller that gets the answer to another call, or a
// call that runs twice, as a peer's reply to an entry's former incarnation reaches the next
// one, which numbers its calls alike.
func TestReplyToFormerLife(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	for _, notHere := range []bool{false, true} {
		is := is.New(t)
		_, former := lifeOf(now, "former")
		now = now.Add(time.Second)
		c, present := lifeOf(now, "present")
		reply := &encoder.CallReply{ID: former.ID, NotHere: notHere, Answer: requester.Answer{RequestID: "former", Outcome: requester.OutcomeAnswered}}
		is.Equal(len(c.Handle(now, PeerMessage{From: "b", Incarnation: 1, Message: reply})), 0)
		f, ok := c.forwards[present.ID]
		is.True(ok)
		is.Equal(f.to, requester.EntryID("b"))
	}
}

// TestMessageOfFormerLife guards against what a peer's former incarnation has sent, and that is
// handled after the next one is linked, being taken for that of the next one: a shard that it
// held, or a replica that it has asked for.
func TestMessageOfFormerLife(t *testing.T) {
	is := is.New(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	c, _ := lifeOf(now, "call")
	shard := leaser.Shard{DataCentre: "here", Number: 1}
	heartbeat := &encoder.Heartbeat{SentAt: now, Holdings: []leaser.ShardLease{{Seat: shard, Epoch: 5}}, MayClaim: true}
	replicate := &encoder.ReplicateRequest{ID: 1, RequestID: "r"}
	c.Handle(now, PeerUp{Peer: encoder.PeerInfo{EntryID: "b", DataCentre: "here"}, Incarnation: 2})
	c.Handle(now, PeerMessage{From: "b", Incarnation: 1, Message: heartbeat})
	is.Equal(len(c.Handle(now, PeerMessage{From: "b", Incarnation: 1, Message: replicate})), 0)
	_, known := c.holderOf(shard)
	is.True(!known)
	is.True(!c.peers["b"].heartbeatReceived)
	c.Handle(now, PeerMessage{From: "b", Incarnation: 2, Message: heartbeat})
	holder, _ := c.holderOf(shard)
	is.Equal(holder, requester.EntryID("b"))
}

// TestHeartbeatOfFormerLife guards against what a former incarnation of a peer has told in a
// heartbeat, which says nothing of the next one: that it knows of this entry, may acquire, and
// holds shards.
func TestHeartbeatOfFormerLife(t *testing.T) {
	is := is.New(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	c, _ := lifeOf(now, "call")
	shard := leaser.Shard{DataCentre: "here", Number: 1}
	heartbeat := &encoder.Heartbeat{SentAt: now, Holdings: []leaser.ShardLease{{Seat: shard, Epoch: 5}}, MayClaim: true, StoreDown: true}
	c.Handle(now, PeerMessage{From: "b", Incarnation: 1, Message: heartbeat})
	is.True(c.leaserPeers()[0].HeartbeatReceived)
	c.Handle(now, PeerDown{EntryID: "b"})
	c.Handle(now, PeerUp{Peer: encoder.PeerInfo{EntryID: "b", DataCentre: "here"}, Incarnation: 1})
	is.True(c.leaserPeers()[0].HeartbeatReceived) // the same incarnation
	c.Handle(now, PeerUp{Peer: encoder.PeerInfo{EntryID: "b", DataCentre: "here"}, Incarnation: 2})
	is.Equal(c.leaserPeers()[0], leaser.Peer{EntryID: "b", Connected: true, Incarnation: 2})
	is.True(!c.peers["b"].storeDown)
	_, known := c.holderOf(shard)
	is.True(!known)
}

// TestReplicaListOfFormerTenure guards against a request that runs twice: a list that a
// coordinator, or its former incarnation, had asked for in an earlier tenure says that every
// earlier attempt can be found, and is taken for the present tenure.
func TestReplicaListOfFormerTenure(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	c, _ := lifeOf(now, "call")
	c.becomeCoordinator(1, 7)
	shard := c.coordinatorShards[1]
	shard.pendingReplicas["b"] = true
	list := &encoder.ReplicaList{Seat: leaser.Shard{DataCentre: "here", Number: 1}, Epoch: 5, Watched: true, Complete: true}
	for _, epoch := range []int64{5, 7} {
		is := is.New(t)
		list.Epoch = epoch
		c.Handle(now, PeerMessage{From: "b", Incarnation: 1, Message: list})
		is.Equal(shard.pendingReplicas["b"], epoch == 5)
		is.Equal(shard.transferComplete, epoch == 7)
		is.Equal(c.canFindEarlierAttempts(shard), epoch == 7)
	}
}

// TestReplicaOfFormerLife guards against a call that runs twice: a replica that a
// coordinator's former incarnation has left counts as the next one's own, so that the next one
// runs the call again.
func TestReplicaOfFormerLife(t *testing.T) {
	is := is.New(t)
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	c, _ := lifeOf(now, "call")
	granted := func(incarnation int64) bool {
		request := &encoder.ReplicateRequest{ID: 1, RequestID: "r"}
		commands := c.Handle(now, PeerMessage{From: "b", Incarnation: incarnation, Message: request})
		is.Equal(len(commands), 1)
		return commands[0].(Send).Message.(*encoder.ReplicateReply).Granted
	}
	is.True(granted(1))
	is.True(granted(1)) // the same coordinator renews it
	c.Handle(now, PeerUp{Peer: encoder.PeerInfo{EntryID: "b", DataCentre: "here"}, Incarnation: 2})
	is.True(!granted(2))
}
