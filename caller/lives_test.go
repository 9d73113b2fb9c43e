package caller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/decider"
	"kumquatstall/requester"
	"kumquatstall/router"
	"kumquatstall/standin"
)

// TestCallForFormerLife guards against a call that an endpoint runs although it was meant for
// its former incarnation, of which the entry knows that it runs nothing any more.
func TestCallForFormerLife(t *testing.T) {
	is := is.New(t)
	executions := new(standin.ExecutionLog)
	endpoint, err := standin.NewEndpoint("endpoint", 1, 4, executions)
	is.NoErr(err)
	defer endpoint.Close()
	address := endpoint.Address()
	c := New(Options{})
	defer c.Close()
	status := c.Status(t.Context(), router.EndpointInfo{HostID: "endpoint", Address: address})
	is.True(!status.Failed)
	is.True(status.Status.Boot != 0)

	run := func(boot int64) decider.AttemptDone {
		now := time.Now()
		call := requester.Call{RequestID: "call", Deadline: now.Add(5 * time.Second)}
		return c.Run(t.Context(), decider.StartAttempt{AttemptID: 1, Address: address, Boot: boot, Call: call, SendBy: now.Add(4 * time.Second)})
	}
	former := run(status.Status.Boot - 1)
	is.Equal(former.Kind, decider.ResultNotSent)
	is.Equal(former.Boot, status.Status.Boot)
	is.Equal(len(executions.Executions()), 0)
	is.Equal(run(status.Status.Boot).Kind, decider.ResultAnswered)
	is.Equal(run(0).Kind, decider.ResultAnswered) // the incarnation isn't known
	is.Equal(len(executions.Executions()), 2)
}
