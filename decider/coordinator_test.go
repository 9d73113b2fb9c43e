package decider

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/recorder"
	"kumquatstall/requester"
)

// TestShardRegainedAfterAnotherCoordinator guards against a coordinator that
// loses a shard, gets it back from another coordinator, and tells of its own old
// record that a request did not run, though the other one has run it.
func TestShardRegainedAfterAnotherCoordinator(t *testing.T) {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	call := requester.Call{RequestID: "r", DataCentre: "here", Deadline: now.Add(time.Minute), Attempt: 2}
	for _, test := range []struct {
		name string
		// epoch is that of the second tenure; that of the first is 2.
		epoch   int64
		outcome requester.Outcome
	}{
		{"another entry held the shard", 4, requester.OutcomeUnknown},
		{"no other entry held the shard", 3, requester.OutcomeNotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := New(Options{Self: "a", DataCentre: "here", DataCentres: []DataCentreInfo{{Name: "here", Shards: 2}}}, now)
			number := c.coordinatorShardOf(&call).Number
			c.becomeCoordinator(number, 2)
			_, _ = c.registry.Register(call, recorder.Origin{Token: 1})
			c.registry.SetWriteAhead("r", 7)
			c.finishRequest("r", requester.Answer{RequestID: "r", Outcome: requester.OutcomeNotRun})
			c.formerShards[number] = c.coordinatorShards[number]
			delete(c.coordinatorShards, number)

			c.now = now.Add(time.Second)
			c.becomeCoordinator(number, test.epoch)
			c.now = c.now.Add(transferTimeout)
			c.waitingCallers[2], c.commands = "r", nil
			c.coordinate(call, recorder.Origin{Token: 2}, true)

			is.Equal(len(c.commands), 1) // the caller is answered, and nothing is forwarded
			reply, ok := c.commands[0].(ReplyCall)
			is.True(ok)
			is.Equal(reply.Answer.Outcome, test.outcome)
		})
	}
}
