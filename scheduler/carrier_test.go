package scheduler

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/requester"
)

// entryHost is a host with an entry, whose processor sends one call at a time.
type entryHost struct {
	id requester.EntryID
	// callTime is the processor time of a call, divided by the host's share of a core.
	callTime  time.Duration
	busyUntil time.Time
	fault     hostFault
	// calls counts the calls that it has sent, most is the most stops that it had at once.
	calls, stops, most int
}

// hostFault is what a host suffers.
type hostFault int

const (
	hostSound hostFault = iota
	// hostFrozen: nothing comes back from it, and its link stays open.
	hostFrozen
	// hostCutOff: it doesn't reach the workers.
	hostCutOff
	// hostRefuses: it refuses each batch, as it knows of a later owner.
	hostRefuses
)

const (
	// callTime is that of a call of 0.1 ms on 0.4 of a core, linkTime how long a message takes
	// on a link.
	callTime = 250 * time.Microsecond
	linkTime = 5 * time.Millisecond
)

// newSmallCell returns a cell of workers with that many entries on hosts of 0.4 of a core.
func newSmallCell(t testing.TB, entries int) *wideCell {
	c := newWideCell(t)
	c.store, c.latency, c.duration = newRowStore(t), roundTrip, 90*time.Second
	for i := range entries {
		c.hosts = append(c.hosts, &entryHost{id: requester.EntryID(fmt.Sprint("entry-", i)), callTime: callTime})
	}
	return c
}

// carriers returns the entries to which the owner has a link.
func (c *wideCell) carriers() []requester.EntryID {
	var ids []requester.EntryID
	for _, h := range c.hosts[1:] {
		ids = append(ids, h.id)
	}
	return ids
}

// at has something done once a time has come.
func (c *wideCell) at(when time.Time, do func()) {
	i := len(c.results)
	for i > 0 && c.results[i-1].at.After(when) {
		i--
	}
	c.results = append(c.results[:i], append([]wideResult{{when, do}}, c.results[i:]...)...)
}

// sendFromHosts sends the owner's stops from its own host, and batches from those of carriers.
func (c *wideCell) sendFromHosts(orders Orders) {
	core := c.core
	for _, order := range orders.Stops {
		c.call(c.hosts[0], c.now, order, func(result OrderResult) {
			c.measured(func() { core.StopDone(c.now, order, result) })
		})
	}
	for _, batch := range orders.Batches {
		for _, h := range c.hosts[1:] {
			if h.id == batch.Carrier {
				c.carry(core, h, batch)
			}
		}
	}
}

// carry has a carrier send the stops of a batch.
func (c *wideCell) carry(core *Core, h *entryHost, batch StopBatch) {
	h.stops += len(batch.Runs)
	h.most = max(h.most, h.stops)
	arrivesAt := c.now.Add(linkTime)
	results := make([]OrderResult, len(batch.Runs))
	left := len(batch.Runs)
	reply := func() {
		if core == c.core {
			h.stops -= len(batch.Runs)
		}
		if h.fault != hostFrozen {
			c.at(c.now.Add(linkTime), func() {
				c.measured(func() { core.StopsDone(c.now, batch.Number, results) })
			})
		}
	}
	if h.fault == hostRefuses {
		results = nil
		c.at(arrivesAt, reply)
		return
	}
	for i := range batch.Runs {
		results[i] = OrderUnsent
		if sentAt := later(h.busyUntil, arrivesAt); h.fault == hostFrozen || sentAt.Sub(arrivesAt) >= CarryTime {
			left--
			continue
		}
		c.call(h, arrivesAt, batch.Stop(i), func(result OrderResult) {
			results[i] = result
			if left--; left == 0 {
				reply()
			}
		})
	}
	if left == 0 {
		c.at(arrivesAt.Add(CarryTime), reply)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// call sends a stop from a host once its processor is free for it.
func (c *wideCell) call(h *entryHost, from time.Time, order StopOrder, done func(OrderResult)) {
	h.calls++
	h.busyUntil = later(h.busyUntil, from).Add(h.callTime)
	if h.fault == hostCutOff {
		c.at(h.busyUntil.Add(OrderTimeout), func() { done(OrderUnknown) })
		return
	}
	id := order.Worker.HostID
	c.inFlight[id]++
	c.mostStops = max(c.mostStops, c.inFlight[id])
	c.at(h.busyUntil.Add(c.latency/2), func() {
		key := runKey{order.Task, order.Run}
		c.stops[key]++
		if _, runs := c.running[id][key]; runs {
			c.end(id, key, EndStopped)
		}
		c.at(c.now.Add(c.latency/2), func() {
			c.inFlight[id]--
			done(OrderAccepted)
		})
	})
}

// TestCancelOnSmallHosts guards against an owner that sends all stops itself (review/14): on 0.4
// of a core it sends 4,000 a second, and 50,000 tasks of cancelled jobs have to have ended within
// 3.9 s. It also loses, freezes, slows or cuts off entries half way.
func TestCancelOnSmallHosts(t *testing.T) {
	all := func(c *wideCell, fault hostFault) {
		for _, h := range c.hosts[1:] {
			h.fault = fault
		}
	}
	tests := []struct {
		name    string
		entries int
		jobs    int
		// within is the time in which all tasks have to have ended.
		within time.Duration
		// halfWay is what happens half a second after the cancel.
		halfWay func(c *wideCell, jobs []Job)
	}{
		{"four entries", 4, 1, stoppedIn, nil},
		{"eight entries", 8, 1, stoppedIn, nil},
		{"many jobs", 4, 50, stoppedIn, nil},
		{"a carrier freezes", 7, 1, stoppedIn, func(c *wideCell, _ []Job) { c.hosts[2].fault = hostFrozen }},
		{"a carrier is lost", 7, 1, stoppedIn, func(c *wideCell, _ []Job) {
			c.hosts[2].fault = hostFrozen
			c.core.SetCarriers(c.now, append(c.carriers()[:1:1], c.carriers()[2:]...))
		}},
		{"two carriers are cut off from the workers", 7, 1, stoppedIn, func(c *wideCell, _ []Job) {
			c.hosts[2].fault, c.hosts[3].fault = hostCutOff, hostCutOff
		}},
		{"a carrier is slow", 7, 1, stoppedIn, func(c *wideCell, _ []Job) { c.hosts[2].callTime *= 20 }},
		{"a carrier refuses", 7, 1, stoppedIn, func(c *wideCell, _ []Job) { c.hosts[2].fault = hostRefuses }},
		{"the owner is lost", 7, 1, 500*time.Millisecond + stoppedIn, func(c *wideCell, jobs []Job) {
			c.takeOver(jobs...)
			for _, h := range c.hosts {
				h.stops = 0
			}
			for i := range jobs {
				c.core.Cancel(c.now, jobs[i].JobID)
			}
			c.core.SetCarriers(c.now, c.carriers())
		}},
		// One entry alone needs 12.5 s for the rest.
		{"all carriers freeze", 7, 1, 16 * time.Second, func(c *wideCell, _ []Job) { all(c, hostFrozen) }},
		{"all carriers are cut off from the workers", 7, 1, 16 * time.Second, func(c *wideCell, _ []Job) { all(c, hostCutOff) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			c := newSmallCell(t, test.entries)
			var jobs []Job
			for i := range test.jobs {
				jobs = append(jobs, jobOf("wide-"+string(rune('A'+i)), smallStep(50_000/test.jobs)))
			}
			c.add(jobs...)
			c.advanceFor(10 * time.Second)
			is.Equal(c.countAll(), 50_000)
			most := 0
			for _, runs := range c.running {
				most = max(most, len(runs))
			}
			t.Logf("at most %d runs on a worker", most)
			c.core.SetCarriers(c.now, c.carriers())
			for i := range jobs {
				c.core.Cancel(c.now, jobs[i].JobID)
			}
			cancelledAt := c.now
			if test.halfWay != nil {
				c.advanceFor(500 * time.Millisecond)
				test.halfWay(c, jobs)
			}
			for c.countAll() > 0 && c.now.Sub(cancelledAt) < time.Minute {
				c.advance(10 * time.Millisecond)
			}
			for _, h := range c.hosts {
				t.Logf("%s sent %d, busy until %v", h.id, h.calls, h.busyUntil.Sub(cancelledAt))
			}
			again := 0
			for _, count := range c.stops {
				again += count - 1
			}
			t.Logf("all ended after %v, longest step %v, %d stops executed again, at most %d in flight to a worker", c.now.Sub(cancelledAt), c.longest, again, c.mostStops)
			is.True(c.now.Sub(cancelledAt) < test.within) // all have ended
			is.True(c.longest < longestStep)
			for _, h := range c.hosts[1:] {
				is.True(h.most <= carrierStops || h.fault != hostSound) // what a carrier holds
			}
			c.advanceFor(3 * time.Second)
			is.Equal(len(c.core.carried), 0)
			is.Equal(c.core.inFlight, orderCount{})
		})
	}
}
