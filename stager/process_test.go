package stager

import (
	"context"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"kumquatstall/decider"
	"kumquatstall/standin"
	"kumquatstall/tuner"
)

// TestProcessKilled kills an entry under load. The other entries must acquire its
// shards and serve calls, and the entry must rejoin after a restart.
func TestProcessKilled(t *testing.T) {
	c := newProcessCluster(t)
	c.startLoad()
	c.kill(c.processes[0])
	c.await("shards acquired by the other entries", func() bool { return c.heldShards() == c.totalShards() })
	c.awaitAnswered(100)
	c.launch(c.processes[0])
	c.await("cluster converged again", c.converged)
	c.awaitAnswered(100)
	c.checkNoLoss(c.stopAndAudit())
}

// TestProcessFrozen stops an entry with SIGSTOP for longer than its leases last, so
// that the others acquire its shards, and resumes it. It guards against an entry
// that continues as holder of expired leases.
func TestProcessFrozen(t *testing.T) {
	c := newProcessCluster(t)
	c.startLoad()
	c.processes[0].running.Signal(syscall.SIGSTOP)
	c.await("shards acquired by the other entries", func() bool { return c.shardsHeldBy(c.processes[1:]) == c.totalShards() })
	c.awaitCalls(50)
	c.processes[0].running.Signal(syscall.SIGCONT)
	c.await("cluster converged again", c.converged)
	c.awaitAnswered(100)
	c.checkNoLoss(c.stopAndAudit())
}

// TestLinksGoSilent blackholes every open link twice, while new ones work. The
// entries must detect unresponsive links and establish new ones.
func TestLinksGoSilent(t *testing.T) {
	c := newProcessCluster(t)
	c.startLoad()
	for range 2 {
		for _, p := range c.processes {
			p.linkProxy.BlackholeConnections()
		}
		c.awaitCalls(20)
		c.await("cluster converged again", c.converged)
		c.awaitAnswered(100)
	}
	c.checkNoLoss(c.stopAndAudit())
}

// TestStoreOutage makes the table unavailable for longer than a lease. The holders
// must extend their leases by grants of the other entries, so that no shard is lost
// and calls are served throughout. A change of configuration is refused during the
// outage and accepted after it.
func TestStoreOutage(t *testing.T) {
	is := is.New(t)
	c := newProcessCluster(t)
	c.startLoad()
	c.standIns.Table.SetFaults(standin.TableFaults{Down: true})
	c.await("all shards held by granted extensions", func() bool {
		extended := 0
		for _, p := range c.processes {
			view := c.status(p)
			if view == nil {
				return false
			}
			for _, shard := range view.Seats {
				if shard.Extended {
					extended++
				}
			}
		}
		return extended == c.totalShards()
	})
	c.awaitAnswered(300)
	is.Equal(c.heldShards(), c.totalShards()) // no shard was lost during the outage
	url := "http://" + c.processes[1].address.String() + "/v1/profiles/night"
	profile := tuner.DefaultProfile()
	profile.Name = "night"
	var item tuner.Item
	is.True(c.fetch(c.ctx, http.MethodPut, url, profile, &item) >= http.StatusInternalServerError) // refused during the outage
	c.standIns.Table.SetFaults(standin.TableFaults{})
	c.await("change accepted", func() bool { return c.fetch(c.ctx, http.MethodPut, url, profile, &item) == http.StatusOK })
	c.await("change applied by all entries", func() bool {
		return c.everyView(func(view *decider.View) bool { return view.ConfigRevision >= item.Revision })
	})
	c.checkNoLoss(c.stopAndAudit())
}

// TestStoreOutageAndDeath kills an entry while the table is unavailable. The others
// must take over its call shards by grants; a placement shard may have no holder
// until the table is available again.
func TestStoreOutageAndDeath(t *testing.T) {
	c := newProcessCluster(t)
	c.startLoad()
	c.standIns.Table.SetFaults(standin.TableFaults{Down: true})
	c.awaitAnswered(100)
	c.kill(c.processes[0])
	// Peers take refused connections as proof that an entry has crashed, so the
	// proxy in front of the killed entry must refuse them too.
	c.processes[0].linkProxy.Close()
	placementShards := len(c.standIns.Plan.Sites)
	c.await("call shards taken over", func() bool { return c.heldShards() >= c.totalShards()-placementShards })
	c.awaitAnswered(100)
	c.standIns.Table.SetFaults(standin.TableFaults{})
	c.await("all shards held", func() bool { return c.heldShards() == c.totalShards() })
	c.awaitAnswered(100)
	c.checkNoLoss(c.stopAndAudit())
}

// TestLostTableAnswers drops the table's response to every third transaction while
// the configuration changes. It guards against a change that is applied twice
// because it is retried after no response was received.
func TestLostTableAnswers(t *testing.T) {
	is := is.New(t)
	c := newProcessCluster(t)
	c.startLoad()
	c.standIns.Table.SetFaults(standin.TableFaults{LoseEvery: 3})
	var last tuner.Item
	for i := range 6 {
		profile := tuner.DefaultProfile()
		profile.Name = "night"
		profile.QueueBound = 100 + i
		url := "http://" + c.processes[i%clusterEntries].address.String() + "/v1/profiles/night"
		is.Equal(c.fetch(c.ctx, http.MethodPut, url, profile, &last), http.StatusOK)
	}
	c.awaitAnswered(100)
	c.standIns.Table.SetFaults(standin.TableFaults{})
	c.await("last change applied by all entries", func() bool {
		return c.everyView(func(view *decider.View) bool { return view.ConfigRevision == last.Revision })
	})
	is.Equal(last.Revision, int64(6)) // each change was committed once
	c.checkNoLoss(c.stopAndAudit())
}

// TestGracefulShutdown stops two entries with SIGTERM, one after the other under
// load. The others must acquire their shards, and no call may end with an unknown
// outcome.
func TestGracefulShutdown(t *testing.T) {
	c := newProcessCluster(t)
	c.startLoad()
	for _, p := range c.processes[:2] {
		c.end(p, syscall.SIGTERM)
		c.await("shards acquired by the other entries", func() bool { return c.heldShards() == c.totalShards() })
		c.awaitAnswered(50)
		c.launch(p)
		c.await("cluster converged again", c.converged)
	}
	verdict := c.stopAndAudit()
	c.checkNoLoss(verdict)
	for _, class := range verdict.Classes {
		if class.Unknown > 0 {
			t.Errorf("%d calls of kind %s have an unknown outcome", class.Unknown, class.Kind)
		}
	}
}

// TestEndpointFaults makes endpoints return errors, close connections before the
// response is complete, send the response to another call, and send no response.
// Every caller must get a response, none that to another call, and no request may
// be executed more often than its declared properties allow.
func TestEndpointFaults(t *testing.T) {
	c := newProcessCluster(t)
	c.startLoad()
	faults := []standin.EndpointFaults{{FailEvery: 5}, {CutEvery: 7}, {CrossEvery: 6}, {SilentEvery: 9}}
	for i, endpoint := range c.standIns.Endpoints {
		endpoint.SetFaults(faults[i%len(faults)])
	}
	c.awaitCalls(300)
	for _, endpoint := range c.standIns.Endpoints {
		endpoint.SetFaults(standin.EndpointFaults{})
	}
	c.awaitAnswered(100)
	c.checkNoLoss(c.stopAndAudit())
}

// TestAwaitEndsWithProcess guards against a test that waits for its whole timeout
// although the port of an entry was taken and the entry has ended, saying so.
func TestAwaitEndsWithProcess(t *testing.T) {
	is := is.New(t)
	c := newProcessCluster(t)
	p := c.processes[0]
	c.kill(p)
	other, err := net.Listen("tcp", p.address.String())
	is.NoErr(err)
	defer other.Close()
	c.launch(p)
	err = c.awaitRunning("cluster converged again", c.converged)
	is.True(err != nil)
	is.True(!errors.Is(err, context.DeadlineExceeded)) // not at the test's timeout
	is.True(strings.Contains(err.Error(), "address already in use"))
}
