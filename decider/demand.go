package decider

import (
	"math"
	"time"

	"kumquatstall/requester"
)

// demand measures how many slots the calls of each urgency would keep busy.
type demand struct {
	// arrived is the slot time of the calls since updatedAt.
	arrived [requester.UrgencyCount]time.Duration
	// slots is the smoothed demand, in slots.
	slots     [requester.UrgencyCount]float64
	updatedAt time.Time
}

const (
	// demandInterval separates updates of the demand.
	demandInterval = 500 * time.Millisecond
	// demandGain is the weight of the newest interval.
	demandGain = 0.1
	// demandIgnored is the demand below which a class counts as absent.
	demandIgnored = 0.001
)

// add counts a call that arrived.
func (d *demand) add(urgency requester.Urgency, run time.Duration) { d.arrived[urgency] += run }

// roll updates the smoothed demand when an interval has passed.
func (d *demand) update(now time.Time) {
	passed := now.Sub(d.updatedAt)
	if passed < demandInterval {
		return
	}
	for urgency := range d.arrived {
		latest := float64(d.arrived[urgency]) / float64(passed)
		d.slots[urgency] += demandGain * (latest - d.slots[urgency])
		d.arrived[urgency] = 0
	}
	d.updatedAt = now
}

// reserve returns how many of an entry's slots calls of an urgency leave free
// for more urgent ones: their demand and two deviations of it, which for
// arrivals at random are twice its square root.
func (d *demand) reserve(urgency requester.Urgency, slots int, share float64) int {
	var above float64
	for u := urgency + 1; u < requester.UrgencyCount; u++ {
		above += d.slots[u]
	}
	most := int(math.Round(share * float64(slots)))
	if above < demandIgnored || most == 0 {
		return 0
	}
	return min(most, int(math.Ceil(above+2*math.Sqrt(above))))
}

// minUrgency returns the lowest urgency whose calls may take a free slot.
// Calls of an urgency and below it may hold all slots but the reserve for what
// is above; the rule has to hold at each urgency above as well. It limits what
// they hold and not what is free, so that a flood of more urgent calls does
// not keep them out.
func (sp *servicePool) minUrgency(slots int) requester.Urgency {
	held := sp.busy[requester.UrgencyLow] + sp.busy[requester.UrgencyNormal]
	least := requester.UrgencyUrgent
	for urgency := requester.UrgencyNormal; urgency >= requester.UrgencyLow; urgency-- {
		if held >= slots-sp.demand.reserve(urgency, slots, sp.profile.ReserveShare) {
			break
		}
		least = urgency
		held -= sp.busy[urgency]
	}
	return least
}
