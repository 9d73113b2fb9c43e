package decider

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/encoder"
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
		is.Equal(len(c.Handle(now, PeerMessage{From: "b", Message: reply})), 0)
		f, ok := c.forwards[present.ID]
		is.True(ok)
		is.Equal(f.to, requester.EntryID("b"))
	}
}
