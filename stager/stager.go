// Package stager starts a whole deployment in one process: stand-ins for the
// platform, the endpoints and the workers, real entries of the scheduler, and a
// balancer in front of the entries. They communicate over loopback.
//
// A Plan describes the deployment; Start returns the running Deployment, whose
// fields give access to each part, for example to inject faults. The command
// "dev", the load tool and the integration tests use it.
package stager

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"kumquatstall/configurer"
	"kumquatstall/keeper"
	"kumquatstall/limiter"
	"kumquatstall/requester"
	"kumquatstall/runner"
	"kumquatstall/standin"
)

// Site is one data centre and its number of hosts of each role.
type Site struct {
	Name      requester.DataCentre
	Entries   int
	Endpoints int
	Workers   int
}

// Plan describes a deployment.
type Plan struct {
	Name    string
	Sites   []Site
	Service requester.Service
	// Slots and Connections are the limits of each endpoint.
	Slots       int
	Connections int
	// WorkerCapacity is the total resources of each worker.
	WorkerCapacity requester.Resources
	// RackSize is the number of workers in a rack.
	RackSize int
	// HostListLag is the time after which the host list shows a change.
	HostListLag time.Duration
	// Shards is the number of shards of each data centre, including the placement
	// shard.
	Shards int
	Timing configurer.Timing
	// WritesPerSecond bounds the table writes of each entry.
	WritesPerSecond float64
	// Guard is that of the process, which the entries share with those of other
	// deployments; nil means that there are no others.
	Guard *limiter.Guard
}

// EntryCount returns the number of entries of the deployment.
func (p *Plan) EntryCount() int {
	count := 0
	for _, site := range p.Sites {
		count += site.Entries
	}
	return count
}

// Deployment is a running deployment.
type Deployment struct {
	Plan         Plan
	Table        *standin.Table
	Objects      *standin.Objects
	HostList     *standin.HostList
	ExecutionLog *standin.ExecutionLog
	Endpoints    []*standin.Endpoint
	Workers      []*standin.Worker
	Entries      []*runner.Entry
	Balancer     *standin.Balancer
	// guard is shared by the entries of Plan, and by those that are added.
	guard *limiter.Guard
	log   zerolog.Logger
}

// Chikugo returns the plan of the deployment for the customer Chikugo, whose
// service is the fold planner. scale is the share of the full number of endpoints
// and workers.
func Chikugo(scale float64) Plan {
	plan := newPlan("chikugo", "fold-planner", []requester.DataCentre{"yame", "kurume"}, scale)
	plan.WorkerCapacity = requester.Resources{MilliCores: 32_000, MemoryMB: 128 << 10}
	plan.RackSize = 6
	return plan
}

// Brennan returns the plan of the deployment for the customer Brennan, whose
// service is the kiosk. scale is the share of the full number of endpoints and
// workers.
func Brennan(scale float64) Plan {
	plan := newPlan("brennan", "kiosk", []requester.DataCentre{"galway", "limerick"}, scale)
	plan.WorkerCapacity = requester.Resources{MilliCores: 16_000, MemoryMB: 32 << 10}
	plan.RackSize = 8
	return plan
}

// newPlan returns the plan of a customer's deployment without its workers.
func newPlan(name string, service requester.Service, dataCentres []requester.DataCentre, scale float64) Plan {
	return Plan{
		Name:        name,
		Service:     service,
		Sites:       sites(dataCentres, scale),
		Slots:       8,
		Connections: 60,
		HostListLag: time.Second,
		Shards:      8,
	}
}

// Full sizes of one data centre, as in the current deployments.
const (
	entriesPerSite = 3
	fullEndpoints  = 25
	fullWorkers    = 25
)

// sites returns a site for each data centre. The number of entries is not scaled,
// and there are at least two endpoints and two workers.
func sites(names []requester.DataCentre, scale float64) []Site {
	var planned []Site
	for _, name := range names {
		planned = append(planned, Site{
			Name:      name,
			Entries:   entriesPerSite,
			Endpoints: max(2, int(fullEndpoints*scale)),
			Workers:   max(2, int(fullWorkers*scale)),
		})
	}
	return planned
}

// Start starts a deployment, which the caller must close. It does not wait until
// the entries are ready; AwaitReady does.
func Start(plan Plan, log zerolog.Logger) (*Deployment, error) {
	d := &Deployment{Plan: plan, ExecutionLog: &standin.ExecutionLog{}, log: log}
	if err := d.start(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// start starts the platform, the hosts, the entries and the balancer, in this
// order. If it fails, Close releases what has been started.
func (d *Deployment) start() error {
	var err error
	if d.guard = d.Plan.Guard; d.guard == nil {
		if d.guard, err = limiter.New(limiter.Options{Entries: d.Plan.EntryCount()}); err != nil {
			return err
		}
	}
	if d.Table, err = standin.NewTable(); err != nil {
		return err
	}
	if d.Objects, err = standin.NewObjects(); err != nil {
		return err
	}
	if d.HostList, err = standin.NewHostList(d.Plan.HostListLag); err != nil {
		return err
	}
	for _, site := range d.Plan.Sites {
		if err := d.startHosts(site); err != nil {
			return err
		}
	}
	var addresses []netip.AddrPort
	for _, site := range d.Plan.Sites {
		for i := range site.Entries {
			entry, err := d.StartEntry(site.Name, requester.EntryID(fmt.Sprintf("%s-entry-%d", site.Name, i)))
			if err != nil {
				return err
			}
			addresses = append(addresses, entry.Address())
		}
	}
	d.Balancer, err = standin.NewBalancer(addresses)
	return err
}

// startHosts starts the endpoints and workers of a site and lists them in the host
// list without its lag.
func (d *Deployment) startHosts(site Site) error {
	for i := range site.Endpoints {
		id := requester.HostID(fmt.Sprintf("%s-endpoint-%02d", site.Name, i))
		endpoint, err := standin.NewEndpoint(id, d.Plan.Slots, d.Plan.Connections, d.ExecutionLog)
		if err != nil {
			return err
		}
		d.Endpoints = append(d.Endpoints, endpoint)
		d.HostList.PutNow(keeper.Host{
			HostID:      id,
			DataCentre:  site.Name,
			Role:        keeper.RoleEndpoint,
			Address:     endpoint.Address(),
			Service:     d.Plan.Service,
			Slots:       d.Plan.Slots,
			Connections: d.Plan.Connections,
		})
	}
	for i := range site.Workers {
		id := requester.HostID(fmt.Sprintf("%s-worker-%02d", site.Name, i))
		worker, err := standin.NewWorker(id, d.Plan.WorkerCapacity)
		if err != nil {
			return err
		}
		d.Workers = append(d.Workers, worker)
		d.HostList.PutNow(keeper.Host{
			HostID:     id,
			DataCentre: site.Name,
			Role:       keeper.RoleWorker,
			Address:    worker.Address(),
			Rack:       fmt.Sprintf("%s-rack-%d", site.Name, i/max(1, d.Plan.RackSize)),
			Total:      d.Plan.WorkerCapacity,
		})
	}
	return nil
}

// Settings returns settings with which an entry joins the deployment and listens on
// a free loopback port.
func (d *Deployment) Settings(dataCentre requester.DataCentre, id requester.EntryID) *configurer.Settings {
	settings := &configurer.Settings{
		EntryID:    id,
		DataCentre: dataCentre,
		Listen:     netip.MustParseAddrPort("127.0.0.1:0"),
		Platform: configurer.Platform{
			Table:           d.Table.Address(),
			HostList:        d.HostList.Address(),
			WritesPerSecond: d.Plan.WritesPerSecond,
		},
		Timing: d.Plan.Timing,
		Limits: configurer.Limits{
			MaxBodyBytes:   configurer.DefaultMaxBodyBytes,
			MaxHeaderBytes: configurer.DefaultMaxHeaderBytes,
			MaxConnections: configurer.DefaultMaxConnections,
			IdleMillis:     configurer.DefaultIdleMillis,
		},
	}
	settings.Advertise = settings.Listen
	for _, site := range d.Plan.Sites {
		settings.DataCentres = append(settings.DataCentres, configurer.DataCentre{Name: site.Name, Seats: d.Plan.Shards})
	}
	return settings
}

// StartEntry starts an entry and adds it to Entries. The balancer does not forward
// requests to it until SetEntries includes it.
func (d *Deployment) StartEntry(dataCentre requester.DataCentre, id requester.EntryID) (*runner.Entry, error) {
	entry, err := runner.StartShared(d.Settings(dataCentre, id), d.guard, d.log)
	if err != nil {
		return nil, errors.Wrapf(err, "start entry %s", id)
	}
	d.Entries = append(d.Entries, entry)
	return entry, nil
}

// pollInterval is how often Await evaluates its condition.
const pollInterval = 20 * time.Millisecond

// AwaitReady waits until every shard is held and no entry holds more than its fair
// share, every entry is ready and linked to all others, and the balancer forwards
// to all entries.
func (d *Deployment) AwaitReady(ctx context.Context) error {
	wanted := len(d.Plan.Sites) * d.Plan.Shards
	return d.Await(ctx, "all shards held and all entries linked", func() bool {
		held := 0
		for _, entry := range d.Entries {
			view := entry.View()
			held += len(view.Seats)
			if !view.Ready || !linked(entry, len(d.Entries)-1) || len(view.Seats) > d.fairShare(view.DataCentre) {
				return false
			}
		}
		return held == wanted && len(d.Balancer.Ready()) == len(d.Entries)
	})
}

// fairShare returns the number of shards of a data centre divided by that of its
// entries, rounded up.
func (d *Deployment) fairShare(dataCentre requester.DataCentre) int {
	entries := 0
	for _, entry := range d.Entries {
		if entry.View().DataCentre == dataCentre {
			entries++
		}
	}
	return (d.Plan.Shards + entries - 1) / entries
}

// linked reports whether an entry has links to exactly peers other entries.
func linked(entry *runner.Entry, peers int) bool {
	count := 0
	for _, peer := range entry.View().Peers {
		if peer.Connected {
			count++
		}
	}
	return count == peers
}

// Await waits until condition returns true. If ctx ends first, it returns an error
// whose message contains what, the description of the condition.
func (d *Deployment) Await(ctx context.Context, what string, condition func() bool) error {
	for !condition() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "await %s", what)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// CapacityViolations returns how often the capacity of an endpoint or worker was
// exceeded.
func (d *Deployment) CapacityViolations() int64 {
	sum := d.ExecutionLog.CapacityViolations()
	for _, worker := range d.Workers {
		sum += worker.CapacityViolations()
	}
	return sum
}

// InvariantViolations returns how many invariant violations the entries have
// detected in their own state.
func (d *Deployment) InvariantViolations() int64 {
	var sum int64
	for _, entry := range d.Entries {
		sum += entry.View().Stats.Violations
	}
	return sum
}

// Shutdown shuts down all entries gracefully and concurrently, and returns the
// first error. The stand-ins keep running.
func (d *Deployment) Shutdown(ctx context.Context) error {
	failed := make(chan error, len(d.Entries))
	for _, entry := range d.Entries {
		go func() { failed <- entry.Shutdown(ctx) }()
	}
	var first error
	for range d.Entries {
		if err := <-failed; err != nil && first == nil {
			first = err
		}
	}
	d.Entries = nil
	return first
}

// Close stops the entries and the stand-ins immediately, without draining.
func (d *Deployment) Close() {
	if d.Balancer != nil {
		d.Balancer.Close()
	}
	for _, entry := range d.Entries {
		entry.Close()
	}
	for _, endpoint := range d.Endpoints {
		endpoint.Close()
	}
	for _, worker := range d.Workers {
		worker.Close()
	}
	if d.HostList != nil {
		d.HostList.Close()
	}
	if d.Objects != nil {
		d.Objects.Close()
	}
	if d.Table != nil {
		d.Table.Close()
	}
}
