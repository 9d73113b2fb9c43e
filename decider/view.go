package decider

import (
	"cmp"
	"slices"
	"time"

	"kumquatstall/keeper"
	"kumquatstall/requester"
	"kumquatstall/router"
	"kumquatstall/tuner"
)

// View is a snapshot of an entry's state for operators and probes. It is
// immutable.
type View struct {
	EntryID     requester.EntryID
	DataCentre  requester.DataCentre
	Incarnation int64
	// Ready reports whether the entry can serve. The load balancer's
	// readiness probe reads it.
	Ready          bool
	Draining       bool
	StoreDown      bool
	ConfigRevision int64
	Seats          []ShardView
	Peers          []PeerView
	Services       []ServiceView
	// Hosts are the hosts of the data centre. Views share the slice; it must
	// not be modified.
	Hosts []HostView
	// Calls counts the calls that are queued, running or being forwarded here;
	// Records counts the requests in the coordinator's registry.
	Calls   int
	Records int
	// Packing is the share of the workers' resources that is allocated to
	// tasks; 0 unless this entry places the tasks.
	Packing float64
	Stats   Stats
}

// HostView is a host of the data centre.
type HostView struct {
	HostID  requester.HostID
	Role    keeper.HostRole
	Rack    string            `json:",omitempty"`
	Service requester.Service `json:",omitempty"`
	// Leaving is true if the platform's host list or an operator's drain mark
	// names the host as leaving.
	Leaving bool
}

// ShardView is a shard held by the entry.
type ShardView struct {
	Number   int
	Epoch    int64
	Deadline time.Time
	// Extended is true while the lease is extended by grants of the other
	// entries because the table is unavailable.
	Extended bool
}

// PeerView is another entry as this one sees it. Refused is true if its
// address refuses connections. OffsetMicros is positive if its clock is ahead.
type PeerView struct {
	EntryID         requester.EntryID
	DataCentre      requester.DataCentre
	Connected       bool
	Refused         bool
	StoreDown       bool
	ConfigRevision  int64
	RoundTripMicros int64
	OffsetMicros    int64
}

// ServiceView is the queue and the endpoints of a service at this entry, which
// owns the endpoints. Waiting is the length of the queue.
type ServiceView struct {
	Service   requester.Service
	Profile   string
	Waiting   int
	Endpoints []router.EndpointView
}

// View returns a snapshot of the entry's state at now.
func (c *Core) View(now time.Time) *View {
	view := &View{
		EntryID:        c.options.Self,
		DataCentre:     c.options.DataCentre,
		Incarnation:    c.options.Incarnation,
		Ready:          c.ready(),
		Draining:       c.draining,
		StoreDown:      c.leaser.StoreDown(now),
		ConfigRevision: c.config.Head(),
		Calls:          len(c.executions) + len(c.forwards),
		Records:        c.registry.Len(),
		Hosts:          c.hostViews,
		Stats:          c.stats,
	}
	for _, lease := range c.leaser.Leases(now) {
		view.Seats = append(view.Seats, ShardView{
			Number:   lease.Seat.Number,
			Epoch:    lease.Epoch,
			Deadline: c.leaser.Deadline(lease.Seat.Number),
			Extended: c.leaser.Extended(lease.Seat.Number),
		})
	}
	for _, p := range c.peerOrder {
		view.Peers = append(view.Peers, PeerView{
			EntryID:         p.info.EntryID,
			DataCentre:      p.info.DataCentre,
			Connected:       p.connected,
			Refused:         p.refused,
			StoreDown:       p.storeDown,
			ConfigRevision:  p.configHead,
			RoundTripMicros: p.roundTrip.Microseconds(),
			OffsetMicros:    p.offset.Microseconds(),
		})
	}
	for service, sp := range c.pools {
		view.Services = append(view.Services, ServiceView{
			Service:   service,
			Profile:   sp.profile.Name,
			Waiting:   sp.queue.Len(),
			Endpoints: sp.pool.View(),
		})
	}
	slices.SortFunc(view.Services, func(a, b ServiceView) int { return cmp.Compare(a.Service, b.Service) })
	if c.fleet != nil {
		view.Packing = c.fleet.Packing()
	}
	return view
}

// updateHostViews rebuilds the host views from the host list and the drain
// marks.
func (c *Core) updateHostViews() {
	views := make([]HostView, 0, len(c.hosts))
	for _, host := range c.hosts {
		views = append(views, HostView{
			HostID:  host.HostID,
			Role:    host.Role,
			Rack:    host.Rack,
			Service: host.Service,
			Leaving: host.Leaving || c.config.Leaving(host.HostID),
		})
	}
	slices.SortFunc(views, func(a, b HostView) int { return cmp.Compare(a.HostID, b.HostID) })
	c.hostViews = views
}

// ready reports whether the entry knows enough to serve. Either it has read
// the table and the host list, or a connected peer has reported loads and this
// entry's configuration is as new as that peer's.
func (c *Core) ready() bool {
	if c.draining {
		return false
	}
	if c.hasReadTable && c.hostsKnown() {
		return true
	}
	for _, p := range c.peerOrder {
		if p.connected && c.config.Head() >= p.configHead && len(p.loads) > 0 {
			return true
		}
	}
	return false
}

// Config returns the configuration. It may be read until the next event is
// handled.
func (c *Core) Config() *tuner.Store { return c.config }
