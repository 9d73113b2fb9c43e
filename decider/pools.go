package decider

import (
	"cmp"
	"slices"
	"time"

	"kumquatstall/breaker"
	"kumquatstall/encoder"
	"kumquatstall/estimator"
	"kumquatstall/keeper"
	"kumquatstall/queuer"
	"kumquatstall/requester"
	"kumquatstall/router"
	"kumquatstall/tuner"
)

// A service pool is one service at this entry: the endpoints that it owns, and the
// queue of calls that wait for a slot of these. What an entry owns follows from the
// shards that it holds, so the pools are updated with them.

// servicePool holds the endpoints of one service that this entry owns and the
// queue of calls for them.
type servicePool struct {
	service requester.Service
	profile tuner.Profile
	pool    *router.Pool
	queue   *queuer.Queue
	demand  demand
	// busy is the number of slots in use, by the urgency of their calls.
	busy [requester.UrgencyCount]int
}

func breakerLimits(profile tuner.Profile) breaker.Limits {
	return breaker.Limits{
		FailureThreshold: profile.BreakerFailures,
		CoolDown:         time.Duration(profile.BreakerMillis) * time.Millisecond,
	}
}

// routerLimits returns the limits of an endpoint pool under a profile.
func routerLimits(profile tuner.Profile, options Options) router.Limits {
	return router.Limits{
		Breaker:       breakerLimits(profile),
		Random:        profile.EndpointChoice == tuner.ChooseRandom,
		SettleTimeout: options.MaxCallLifetime,
		Margin:        options.Margin,
	}
}

func (c *Core) queuePolicy(profile tuner.Profile) queuer.Policy {
	return queuer.Policy{
		Fifo:        profile.QueueOrder == tuner.QueueFifo,
		MaxPerTrade: profile.QueueBound,
		Floors:      [requester.UrgencyCount]float64{profile.FloorLow, profile.FloorNormal, 0},
		Weight:      c.config.TradeWeight,
	}
}

// pool returns the pool of a service and creates it if there is none.
func (c *Core) pool(service requester.Service) *servicePool {
	sp, ok := c.pools[service]
	if !ok {
		profile := c.config.ServiceProfile(service)
		sp = &servicePool{
			service: service,
			profile: profile,
			pool:    router.NewPool(routerLimits(profile, c.options)),
			queue:   queuer.New(c.queuePolicy(profile)),
		}
		c.pools[service] = sp
	}
	return sp
}

// updatePools sets the endpoints, limits and queue policy of each pool to the
// owned endpoints and the profile in force.
func (c *Core) updatePools() {
	owned := make(map[requester.Service][]router.OwnedEndpoint)
	for _, host := range c.hosts {
		if host.Role != keeper.RoleEndpoint || !c.ownsEndpoint(host.HostID) {
			continue
		}
		owned[host.Service] = append(owned[host.Service], router.OwnedEndpoint{
			EndpointInfo: router.EndpointInfo{
				HostID:      host.HostID,
				Service:     host.Service,
				Address:     host.Address,
				Slots:       host.Slots,
				Connections: host.Connections,
			},
			Leaving: host.Leaving || c.config.Leaving(host.HostID),
		})
	}
	c.updateHostViews()
	for service := range owned {
		c.pool(service)
	}
	for service, sp := range c.pools {
		profile := c.config.ServiceProfile(service)
		sp.profile = profile
		sp.pool.SetLimits(routerLimits(profile, c.options))
		sp.queue.SetPolicy(c.queuePolicy(profile))
		sp.pool.SetEndpoints(c.now, owned[service])
	}
}

// ownsEndpoint reports whether this entry holds the shard of an endpoint.
func (c *Core) ownsEndpoint(id requester.HostID) bool {
	number, ok := c.hostShards[id]
	if !ok {
		return false
	}
	_, held := c.leaser.Holds(number, c.now)
	return held
}

// tickPools updates the demand, requests the status of endpoints that may run calls
// of lost attempts or of a previous owner, and frees the slots of lost attempts that
// have timed out.
func (c *Core) tickPools() {
	for _, sp := range c.pools {
		sp.demand.update(c.now)
		for _, info := range sp.pool.StatusDue(c.now) {
			c.emit(PollStatus{Endpoint: info})
		}
		c.endLostAttempts(sp, sp.pool.Expire(c.now))
	}
}

// canRun reports whether this entry accepts calls of a service: it owns an
// endpoint that is not leaving, and is not transferring its shards.
func (c *Core) canRun(service requester.Service) bool {
	sp, ok := c.pools[service]
	if !ok || c.releasingAll {
		return false
	}
	slots, _ := sp.pool.Slots(c.now)
	return slots > 0
}

// expectedWait estimates how long a call that arrives now waits for a slot: not at
// all if one is free for it, else the queued work plus one mean run time, divided
// among the slots. It is MaxCallLifetime if there are no slots.
func (c *Core) expectedWait(service requester.Service) time.Duration {
	sp := c.pools[service]
	slots, free := sp.pool.Slots(c.now)
	if free > sp.queue.Len() {
		return 0
	}
	if slots == 0 {
		return c.options.MaxCallLifetime
	}
	return sp.queue.Work()/time.Duration(slots) + c.durations.Mean(estimator.Key{Scope: string(service)})/time.Duration(slots)
}

// loads returns the load of each service with endpoints owned here, for the
// heartbeats. It is empty while the entry transfers its shards, so that peers
// forward no more calls.
func (c *Core) loads() []encoder.ServiceLoad {
	var loads []encoder.ServiceLoad
	if c.releasingAll {
		return loads
	}
	for service, sp := range c.pools {
		slots, free := sp.pool.Slots(c.now)
		if slots == 0 {
			continue
		}
		loads = append(loads, encoder.ServiceLoad{
			Service:    service,
			Slots:      slots,
			Free:       max(0, free-sp.queue.Len()),
			WaitMicros: c.expectedWait(service).Microseconds(),
		})
	}
	slices.SortFunc(loads, func(a, b encoder.ServiceLoad) int { return cmp.Compare(a.Service, b.Service) })
	return loads
}
