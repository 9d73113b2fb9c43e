package caller

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/decider"
	"kumquatstall/placer"
	"kumquatstall/requester"
	"kumquatstall/router"
	"kumquatstall/standin"
)

// TestSyncForFormerHost guards against the runs of a worker being taken for those of another
// one that had its address before, and against orders for the other one that it carries out.
func TestSyncForFormerHost(t *testing.T) {
	is := is.New(t)
	worker, err := standin.NewWorker("present", requester.Resources{MilliCores: 1000, MemoryMB: 1000})
	is.NoErr(err)
	defer worker.Close()
	c := New(Options{})
	defer c.Close()
	for _, name := range []requester.HostID{"former", "present"} {
		fleet := placer.New("entry", 1, time.Now(), placer.Limits{LeaseTerm: time.Minute, SyncInterval: time.Second})
		fleet.SetWorkers(time.Now(), []placer.WorkerInfo{{HostID: name, Address: worker.Address()}})
		syncs := fleet.Syncs(time.Now())
		is.Equal(len(syncs), 1)
		is.Equal(c.Sync(t.Context(), syncs[0]).Failed, name == "former")
	}
}

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
