package stager

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"kumquatstall/auditor"
	"kumquatstall/decider"
	"kumquatstall/loader"
	"kumquatstall/requester"
	"kumquatstall/standin"
)

// A process cluster is a small deployment whose entries run as the program does in
// production: each in its own process, which a test may kill, freeze or cut off. The
// stand-ins run in the process of the test. Tests wait for conditions that the entries'
// views or the load show, never for a fixed time, and audit the load at the end.

// builtBinary builds the program kumquatstall once for all tests of the package
// and returns its path.
var builtBinary = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "kumquatstall")
	if err != nil {
		return "", err
	}
	path := filepath.Join(directory, "kumquatstall")
	output, err := exec.Command("go", "build", "-o", path, "../cmd/kumquatstall").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, output)
	}
	return path, nil
})

// TestMain runs the tests and removes the directory of the built program.
func TestMain(m *testing.M) {
	status := m.Run()
	if path, err := builtBinary(); err == nil {
		_ = os.RemoveAll(filepath.Dir(path))
	}
	os.Exit(status)
}

// process is an entry that runs in its own process. Other entries connect to it
// through linkProxy, and it connects to the table through tableProxy.
type process struct {
	id      requester.EntryID
	address netip.AddrPort
	// running is nil while the process is not running.
	running      *standin.Process
	linkProxy    *standin.Proxy
	tableProxy   *standin.Proxy
	settingsFile string
	log          *os.File
}

// processCluster is a deployment whose entries run in processes of their own.
type processCluster struct {
	t   *testing.T
	ctx context.Context
	// standIns has the stand-ins and no entries; its balancer is not used.
	standIns  *Deployment
	processes []*process
	balancer  *standin.Balancer
	proxies   []*standin.Proxy
	audit     *auditor.Auditor
	load      *loader.Loader
	// loadDone is closed when all calls of the load have ended.
	loadDone chan struct{}
	// stopLoad ends the load; nil while there is none.
	stopLoad context.CancelFunc
}

const clusterEntries = 4

// newProcessCluster starts the stand-ins in this process and four entries, two in
// each data centre, in processes of their own, and waits until it has converged.
func newProcessCluster(t *testing.T) *processCluster {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	t.Cleanup(cancel)
	standIns := deploymentWithoutEntries()
	c := &processCluster{t: t, ctx: ctx, standIns: standIns, audit: auditor.New()}
	t.Cleanup(c.close)
	c.must(standIns.start())
	var addresses []netip.AddrPort
	for i := range clusterEntries {
		sites := standIns.Plan.Sites
		site := sites[i%len(sites)].Name
		p := c.configure(site, requester.EntryID(fmt.Sprintf("%s-entry-%d", site, i)))
		c.launch(p)
		addresses = append(addresses, p.address)
	}
	var err error
	c.balancer, err = standin.NewBalancer(addresses)
	c.must(err)
	c.await("all shards held and all entries linked", c.converged)
	return c
}

// must fails the test if err is not nil.
func (c *processCluster) must(err error) {
	c.t.Helper()
	if err != nil {
		c.t.Fatal(err)
	}
}

// close stops the load and kills the processes, including those that SIGSTOP has
// stopped, then closes the stand-ins.
func (c *processCluster) close() {
	if c.stopLoad != nil {
		c.stopLoad()
		<-c.loadDone
	}
	for _, p := range c.processes {
		if p.running != nil {
			p.running.Signal(syscall.SIGCONT)
			p.running.End(syscall.SIGKILL)
		}
		_ = p.log.Close()
	}
	if c.balancer != nil {
		c.balancer.Close()
	}
	for _, proxy := range c.proxies {
		proxy.Close()
	}
	c.standIns.Close()
}

// startProxy starts a proxy in front of target; the cluster's close closes it.
func (c *processCluster) startProxy(target netip.AddrPort) *standin.Proxy {
	proxy, err := standin.NewProxy(target)
	c.must(err)
	c.proxies = append(c.proxies, proxy)
	return proxy
}

// configure writes the settings file of an entry and starts its proxies. The entry
// advertises the address of linkProxy.
func (c *processCluster) configure(site requester.DataCentre, id requester.EntryID) *process {
	address, err := standin.FreeAddress()
	c.must(err)
	p := &process{id: id, address: address}
	p.linkProxy = c.startProxy(p.address)
	p.tableProxy = c.startProxy(c.standIns.Table.Address())
	settings := c.standIns.Settings(site, id)
	settings.Listen = p.address
	settings.Advertise = p.linkProxy.Address()
	settings.Platform.Table = p.tableProxy.Address()
	settings.Log.Level = "error"
	data, err := yaml.Marshal(settings)
	c.must(err)
	p.settingsFile = filepath.Join(c.t.TempDir(), string(id)+".yaml")
	c.must(os.WriteFile(p.settingsFile, data, 0o600))
	p.log, err = os.Create(p.settingsFile + ".log")
	c.must(err)
	c.processes = append(c.processes, p)
	return p
}

// launch starts the process of an entry.
func (c *processCluster) launch(p *process) {
	path, err := builtBinary()
	c.must(err)
	p.running, err = standin.StartProcess(p.log, path, "entry", "--config", p.settingsFile)
	c.must(err)
}

// end ends the process of an entry with a signal and waits until it has exited.
func (c *processCluster) end(p *process, signal syscall.Signal) {
	p.running.End(signal)
	p.running = nil
}

// kill kills the process of an entry with SIGKILL and waits until it has exited.
func (c *processCluster) kill(p *process) { c.end(p, syscall.SIGKILL) }

// status returns the view that an entry reports, or nil if the entry does not
// respond with status 200 within a second.
func (c *processCluster) status(p *process) *decider.View {
	ctx, cancel := context.WithTimeout(c.ctx, time.Second)
	defer cancel()
	var view decider.View
	if c.fetch(ctx, http.MethodGet, "http://"+p.address.String()+"/v1/status", nil, &view) != http.StatusOK {
		return nil
	}
	return &view
}

// everyView reports whether every entry reports a view and holds is true for each.
func (c *processCluster) everyView(holds func(*decider.View) bool) bool {
	for _, p := range c.processes {
		if view := c.status(p); view == nil || !holds(view) {
			return false
		}
	}
	return true
}

// fetch sends a request, decodes the response into answer and returns the status,
// or 0 if no valid response was received.
func (c *processCluster) fetch(ctx context.Context, method, url string, body, answer any) int {
	data, err := json.Marshal(body)
	c.must(err)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	c.must(err)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if json.NewDecoder(response.Body).Decode(answer) != nil {
		return 0
	}
	return response.StatusCode
}

// await waits until condition returns true. If the test's context ends first, or an
// entry ends by itself, it logs the view of every entry and fails the test.
func (c *processCluster) await(what string, condition func() bool) {
	c.t.Helper()
	if err := c.awaitRunning(what, condition); err != nil {
		for _, p := range c.processes {
			c.t.Logf("%s: %+v", p.id, c.status(p))
		}
		c.t.Fatal(err)
	}
}

// awaitRunning returns an error if the test's context ends before condition returns
// true, and as soon as an entry has ended by itself.
func (c *processCluster) awaitRunning(what string, condition func() bool) error {
	var failure error
	err := c.standIns.Await(c.ctx, what, func() bool {
		for _, p := range c.processes {
			if p.running != nil && failure == nil {
				failure = errors.Wrapf(p.running.Failure(), "await %s: %s", what, p.id)
			}
		}
		return failure != nil || condition()
	})
	if failure != nil {
		return failure
	}
	return err
}

// heldShards returns how many shards the running entries hold by their own views.
func (c *processCluster) heldShards() int { return c.shardsHeldBy(c.processes) }

// shardsHeldBy returns the same for some of the entries.
func (c *processCluster) shardsHeldBy(processes []*process) int {
	held := 0
	for _, p := range processes {
		if p.running == nil {
			continue
		}
		if view := c.status(p); view != nil {
			held += len(view.Seats)
		}
	}
	return held
}

func (c *processCluster) totalShards() int {
	return len(c.standIns.Plan.Sites) * c.standIns.Plan.Shards
}

// converged reports whether all shards are held and all running entries are ready
// and linked to each other.
func (c *processCluster) converged() bool {
	running := 0
	for _, p := range c.processes {
		if p.running != nil {
			running++
		}
	}
	for _, p := range c.processes {
		if p.running == nil {
			continue
		}
		view := c.status(p)
		if view == nil || !view.Ready {
			return false
		}
		connected := 0
		for _, peer := range view.Peers {
			if peer.Connected {
				connected++
			}
		}
		if connected < running-1 {
			return false
		}
	}
	return c.heldShards() == c.totalShards()
}

// startLoad starts a load of urgent exclusive and normal idempotent calls, which
// continues until stopAndAudit, and waits until 50 calls have ended.
func (c *processCluster) startLoad() {
	ctx, cancel := context.WithCancel(c.ctx)
	c.stopLoad = cancel
	c.load = loader.New(c.balancer.Address(), c.audit, "stage")
	c.loadDone = make(chan struct{})
	sites := []requester.DataCentre{"galway", "limerick"}
	workload := loader.Workload{Streams: []loader.Stream{
		{Trade: "kiosks", Service: "kiosk", Kind: "unlock", Urgency: requester.UrgencyUrgent, Exclusive: true, RatePerSecond: 40, WorkMillis: 5, DeadlineMillis: 4000, DataCentres: sites, Attempts: 3},
		{Trade: "kiosks", Service: "kiosk", Kind: "roaming", Urgency: requester.UrgencyUrgent, Exclusive: true, RatePerSecond: 20, WorkMillis: 5, DeadlineMillis: 4000, Attempts: 3},
		{Trade: "kiosks", Service: "kiosk", Kind: "rebalance", Urgency: requester.UrgencyNormal, Idempotent: true, RatePerSecond: 40, WorkMillis: 30, DeadlineMillis: 4000, Attempts: 3},
	}}
	until := time.Now().Add(2 * testTimeout)
	go func() {
		defer close(c.loadDone)
		c.load.RunWithArrivalContext(ctx, c.ctx, workload, 1, until)
	}()
	c.awaitCalls(50)
}

// awaitCalls waits until count more calls have ended with any outcome.
func (c *processCluster) awaitCalls(count int64) {
	c.t.Helper()
	wanted := c.load.Ended.Load() + count
	c.await(fmt.Sprintf("%d more calls", count), func() bool { return c.load.Ended.Load() >= wanted })
}

// awaitAnswered waits until count more calls have ended with OutcomeAnswered.
func (c *processCluster) awaitAnswered(count int64) {
	c.t.Helper()
	wanted := c.answered() + count
	c.await(fmt.Sprintf("%d more answered calls", count), func() bool { return c.answered() >= wanted })
}

// answered returns how many calls have ended with OutcomeAnswered.
func (c *processCluster) answered() int64 { return c.audit.Outcomes()[requester.OutcomeAnswered] }

// stopAndAudit stops the load and fails the test for every finding of the audit,
// every capacity violation and every invariant violation that an entry detected.
func (c *processCluster) stopAndAudit() auditor.Verdict {
	c.t.Helper()
	c.stopLoad()
	<-c.loadDone
	c.stopLoad = nil
	verdict := c.audit.Check(c.standIns.ExecutionLog.Executions())
	for _, finding := range verdict.Findings {
		c.t.Errorf("audit finding: %s", finding)
	}
	if violations := c.standIns.CapacityViolations(); violations > 0 {
		c.t.Errorf("capacity of a host exceeded %d times", violations)
	}
	for _, p := range c.processes {
		if view := c.status(p); p.running != nil && view != nil && view.Stats.Violations > 0 {
			c.t.Errorf("entry %s detected %d invariant violations", p.id, view.Stats.Violations)
		}
	}
	return verdict
}

// checkNoLoss fails the test if a caller received no response to a call.
func (c *processCluster) checkNoLoss(verdict auditor.Verdict) {
	c.t.Helper()
	for _, class := range verdict.Classes {
		if class.Lost > 0 {
			c.t.Errorf("%d calls of kind %s got no response", class.Lost, class.Kind)
		}
	}
}
