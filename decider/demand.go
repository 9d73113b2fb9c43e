package decider

import (
	"math"
	"time"

	"kumquatstall/requester"
)

// demand estimates how many slots the calls of each urgency would keep busy.
type demand struct {
	// arrived is the total estimated run time of the calls that arrived since
	// updatedAt.
	arrived [requester.UrgencyCount]time.Duration
	// slots is the demand in slots, smoothed exponentially.
	slots     [requester.UrgencyCount]float64
	updatedAt time.Time
}

const (
	// demandInterval is the time between updates of the demand.
	demandInterval = 500 * time.Millisecond
	// demandGain is the weight of the latest interval in the smoothed demand.
	demandGain = 0.1
	// minDemand is the demand of all more urgent calls, in slots, below which
	// no slot is reserved for them.
	minDemand = 0.001
)

// add counts a call that arrived and is expected to run for the time given.
func (d *demand) add(urgency requester.Urgency, run time.Duration) { d.arrived[urgency] += run }

// update updates the smoothed demand once an interval has passed.
func (d *demand) update(now time.Time) {
	elapsed := now.Sub(d.updatedAt)
	if elapsed < demandInterval {
		return
	}
	for urgency := range d.arrived {
		latest := float64(d.arrived[urgency]) / float64(elapsed)
		d.slots[urgency] += demandGain * (latest - d.slots[urgency])
		d.arrived[urgency] = 0
	}
	d.updatedAt = now
}

// reserve returns how many of an entry's slots calls of an urgency leave free
// for more urgent calls: the demand of those and two standard deviations of
// it, where random (Poisson) arrivals have a standard deviation of the square
// root of the demand. share bounds the reserve to a share of the slots.
func (d *demand) reserve(urgency requester.Urgency, slots int, share float64) int {
	var above float64
	for u := urgency + 1; u < requester.UrgencyCount; u++ {
		above += d.slots[u]
	}
	limit := int(math.Round(share * float64(slots)))
	if above < minDemand || limit == 0 {
		return 0
	}
	return min(limit, int(math.Ceil(above+2*math.Sqrt(above))))
}

// minUrgency returns the lowest urgency whose calls may take a free slot.
//
// Calls of an urgency and of lower ones may together occupy all slots but the
// reserve for more urgent calls. A call is admitted to a slot only if this
// holds for its own urgency and for each higher one. The rule limits the slots
// occupied and not the slots free, so that a flood of more urgent calls does
// not starve the less urgent ones.
func (sp *servicePool) minUrgency(slots int) requester.Urgency {
	occupied := sp.busy[requester.UrgencyLow] + sp.busy[requester.UrgencyNormal]
	lowest := requester.UrgencyUrgent
	for urgency := requester.UrgencyNormal; urgency >= requester.UrgencyLow; urgency-- {
		if occupied >= slots-sp.demand.reserve(urgency, slots, sp.profile.ReserveShare) {
			break
		}
		lowest = urgency
		occupied -= sp.busy[urgency]
	}
	return lowest
}
