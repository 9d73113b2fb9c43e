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

// View is what an entry shows of itself. It is immutable.
type View struct {
	EntryID     requester.EntryID
	DataCentre  requester.DataCentre
	Incarnation int64
	// Ready tells that the entry can serve; the balancer asks for it.
	Ready          bool
	Draining       bool
	StoreDown      bool
	ConfigRevision int64
	Seats          []SeatView
	Peers          []PeerView
	Services       []ServiceView
	// Hosts are the hosts of the data centre; the slice is shared.
	Hosts   []HostView
	Calls   int
	Records int
	Packing float64
	Stats   Stats
}

// HostView is a host of the data centre.
type HostView struct {
	HostID  requester.HostID
	Role    keeper.HostRole
	Rack    string            `json:",omitempty"`
	Service requester.Service `json:",omitempty"`
	// Leaving tells that the platform or an operator marked the host.
	Leaving bool
}

// SeatView is a seat held.
type SeatView struct {
	Number   int
	Epoch    int64
	Deadline time.Time
	// Extended tells that the seat is held by promises of the other entries
	// because the table can't be reached.
	Extended bool
}

// PeerView is another entry.
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

// ServiceView is a service's endpoints owned here.
type ServiceView struct {
	Service   requester.Service
	Profile   string
	Waiting   int
	Endpoints []router.EndpointView
}

// View returns what the entry shows of itself at now.
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
		Records:        c.book.Len(),
		Hosts:          c.hostViews,
		Stats:          c.stats,
	}
	for _, holding := range c.leaser.Leases(now) {
		view.Seats = append(view.Seats, SeatView{
			Number:   holding.Seat.Number,
			Epoch:    holding.Epoch,
			Deadline: c.leaser.Deadline(holding.Seat.Number),
			Extended: c.leaser.Extended(holding.Seat.Number),
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

// viewHosts renews what operators see of the hosts.
func (c *Core) viewHosts() {
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

// ready reports whether the entry knows enough to serve: it has read the
// table, or a peer that has.
func (c *Core) ready() bool {
	if c.draining {
		return false
	}
	if c.everRead && c.hostsKnown() {
		return true
	}
	for _, p := range c.peerOrder {
		if p.connected && c.config.Head() >= p.configHead && len(p.loads) > 0 {
			return true
		}
	}
	return false
}

// Config returns the configuration. It may be read until the next event.
func (c *Core) Config() *tuner.Store { return c.config }
