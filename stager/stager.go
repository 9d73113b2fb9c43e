// Package stager starts a whole deployment in one process: the stand-ins for
// the platform, endpoints and workers, and real entries over loopback.
//
// It serves the command "dev", the load tool and integration tests.
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
	"kumquatstall/requester"
	"kumquatstall/runner"
	"kumquatstall/standin"
)

// Site is what one data centre of a deployment has.
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
	// Slots and Connections are those of each endpoint.
	Slots       int
	Connections int
	// WorkerCapacity is what each worker has; RackSize is how many share a rack.
	WorkerCapacity requester.Resources
	RackSize       int
	// HostListLag is how late changes of hosts show.
	HostListLag time.Duration
	// Seats is the number of seats of each data centre.
	Shards int
	Timing configurer.Timing
	// WritesPerSecond bounds what each entry asks of the table.
	WritesPerSecond float64
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
	log          zerolog.Logger
}

// Chikugo is the plan of the fold planner, scaled by a share of its size.
func Chikugo(scale float64) Plan {
	return Plan{
		Name:           "chikugo",
		Service:        "fold-planner",
		Sites:          sites([]requester.DataCentre{"yame", "kurume"}, scale),
		Slots:          8,
		Connections:    60,
		WorkerCapacity: requester.Resources{MilliCores: 32_000, MemoryMB: 128 << 10},
		RackSize:       6,
		HostListLag:    time.Second,
		Shards:         8,
	}
}

// Brennan is the plan of the kiosk service, scaled by a share of its size.
func Brennan(scale float64) Plan {
	return Plan{
		Name:           "brennan",
		Service:        "kiosk",
		Sites:          sites([]requester.DataCentre{"galway", "limerick"}, scale),
		Slots:          8,
		Connections:    60,
		WorkerCapacity: requester.Resources{MilliCores: 16_000, MemoryMB: 32 << 10},
		RackSize:       8,
		HostListLag:    time.Second,
		Shards:         8,
	}
}

// Full sizes of one data centre of today's deployments.
const (
	entriesPerSite = 3
	fullEndpoints  = 25
	fullWorkers    = 25
)

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

// Start starts a deployment. It has to be closed.
func Start(plan Plan, log zerolog.Logger) (*Deployment, error) {
	d := &Deployment{Plan: plan, ExecutionLog: &standin.ExecutionLog{}, log: log}
	if err := d.start(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	var err error
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

// Settings returns the settings of an entry of the deployment.
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

// StartEntry starts one more entry.
func (d *Deployment) StartEntry(dataCentre requester.DataCentre, id requester.EntryID) (*runner.Entry, error) {
	entry, err := runner.Start(d.Settings(dataCentre, id), d.log)
	if err != nil {
		return nil, errors.Wrapf(err, "start entry %s", id)
	}
	d.Entries = append(d.Entries, entry)
	return entry, nil
}

// pollInterval separates looks at a condition that is waited for.
const pollInterval = 20 * time.Millisecond

// AwaitReady waits until every seat is held, by entries that each have their
// share, and every entry is ready and linked to all others.
func (d *Deployment) AwaitReady(ctx context.Context) error {
	wanted := len(d.Plan.Sites) * d.Plan.Shards
	return d.Await(ctx, "all seats held and all entries linked", func() bool {
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

// fairShare returns the most seats that an entry of a data centre should hold.
func (d *Deployment) fairShare(dataCentre requester.DataCentre) int {
	entries := 0
	for _, entry := range d.Entries {
		if entry.View().DataCentre == dataCentre {
			entries++
		}
	}
	return (d.Plan.Shards + entries - 1) / entries
}

func linked(entry *runner.Entry, peers int) bool {
	count := 0
	for _, peer := range entry.View().Peers {
		if peer.Connected {
			count++
		}
	}
	return count == peers
}

// Await polls until a condition holds.
func (d *Deployment) Await(ctx context.Context, what string, holds func() bool) error {
	for !holds() {
		select {
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "await %s", what)
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// CapacityViolations counts how often an endpoint or worker was given more than it
// holds.
func (d *Deployment) CapacityViolations() int64 {
	sum := d.ExecutionLog.CapacityViolations()
	for _, worker := range d.Workers {
		sum += worker.CapacityViolations()
	}
	return sum
}

// Violations counts the broken invariants that entries found themselves.
func (d *Deployment) InvariantViolations() int64 {
	var sum int64
	for _, entry := range d.Entries {
		sum += entry.View().Stats.Violations
	}
	return sum
}

// Shutdown stops all entries gracefully.
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

// Close ends everything at once.
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
