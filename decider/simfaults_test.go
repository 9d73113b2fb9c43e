package decider

import (
	"math/rand/v2"
	"time"

	"kumquatstall/requester"
)

// Faults start at random and end by themselves. Those of nodes, links, hosts and the
// table as a whole last for a time; those of single requests occur at faultRates. A run
// has all kinds or only a few.

// faultRates are the probabilities of faults that affect single requests.
type faultRates struct {
	lostResponse   float64
	lostConnection float64
	failedCall     float64
	notSent        float64
}

// faultKind is a kind of fault. Seeds depend on the order of the kinds.
type faultKind int

const (
	faultCrash faultKind = iota
	faultWorkerIsolated
	faultPause
	faultTableDown
	faultTableUnreachable
	faultPartition
	faultDataCentreIsolated
	// faultRequests makes single requests fail, at the rates drawn.
	faultRequests
	faultSlowEndpoint
	faultDrain
	faultKindCount
)

// drawFaultKinds draws the kinds of faults of a run: all of them, or a few, since
// one kind can mask a failure that another would expose.
func drawFaultKinds(random *rand.Rand) []faultKind {
	var kinds []faultKind
	for _, kind := range random.Perm(int(faultKindCount)) {
		kinds = append(kinds, faultKind(kind))
	}
	if random.IntN(3) == 0 {
		return kinds
	}
	return kinds[:1+random.IntN(3)]
}

// drawFault starts a random fault and schedules its end.
func (s *simulation) drawFault() {
	n := s.nodes[s.random.IntN(len(s.nodes))]
	length := time.Duration(200+s.random.IntN(8000)) * time.Millisecond
	switch s.faultKinds[s.random.IntN(len(s.faultKinds))] {
	case faultCrash:
		s.crash(n, length)
	case faultWorkerIsolated:
		s.isolateWorker(length)
	case faultPause:
		if n.core != nil {
			n.pausedUntil = s.now.Add(length)
			s.tracef("%s pauses for %s", n.id, length)
		}
	case faultTableDown:
		s.tableDown = true
		s.tracef("table is unavailable for %s", length)
		s.after(length, func() {
			s.tableDown = false
			s.tracef("table is available")
		})
	case faultTableUnreachable:
		n.tableUnreachable = true
		s.tracef("%s can't reach the table for %s", n.id, length)
		s.after(length, func() { n.tableUnreachable = false })
	case faultPartition:
		s.partitionPair(n, s.nodes[s.random.IntN(len(s.nodes))], length)
	case faultDataCentreIsolated:
		s.isolateDataCentre(n.dataCentre, length)
	case faultRequests:
		s.faults = faultRates{
			lostResponse:   s.random.Float64() * 0.3,
			lostConnection: s.random.Float64() * 0.2,
			failedCall:     s.random.Float64() * 0.2,
			notSent:        s.random.Float64() * 0.1,
		}
		s.tracef("fault rates %+v for %s", s.faults, length)
		s.after(length, func() { s.faults = faultRates{} })
	case faultSlowEndpoint:
		s.slowEndpoint(length)
	case faultDrain:
		s.drainNode(n, length)
	}
}

func (s *simulation) crash(n *node, length time.Duration) {
	if n.core == nil {
		return
	}
	s.tracef("%s crashes for %s", n.id, length)
	s.stopNode(n)
	s.after(length, func() { s.restart(n) })
}

func (s *simulation) restart(n *node) {
	if n.core == nil {
		s.tracef("%s restarts", n.id)
		n.pausedUntil = time.Time{}
		s.startNode(n)
	}
}

func (s *simulation) drainNode(n *node, length time.Duration) {
	if n.core == nil || n.draining {
		return
	}
	n.draining = true
	s.tracef("%s starts to drain", n.id)
	s.post(n, 0, Drain{})
	s.after(length+20*time.Second, func() { s.restart(n) })
}

// partitionPair separates two nodes. Their link stays open but delivers no message.
func (s *simulation) partitionPair(a, b *node, length time.Duration) {
	if a == b {
		return
	}
	pair := [2]int{min(a.index, b.index), max(a.index, b.index)}
	s.partitioned[pair] = true
	s.tracef("%s and %s are partitioned for %s", a.id, b.id, length)
	s.after(length, func() { delete(s.partitioned, pair) })
}

// isolateDataCentre separates a data centre from the others and from the table.
func (s *simulation) isolateDataCentre(dataCentre requester.DataCentre, length time.Duration) {
	s.tracef("data centre %s is isolated for %s", dataCentre, length)
	for _, a := range s.nodes {
		if a.dataCentre != dataCentre {
			continue
		}
		a.tableUnreachable = true
		s.after(length, func() { a.tableUnreachable = false })
		for _, b := range s.nodes {
			if b.dataCentre != dataCentre {
				s.partitionPair(a, b, length)
			}
		}
	}
}

// isolateWorker makes a worker unreachable from all entries. Nothing happens if the
// host drawn is not a worker.
func (s *simulation) isolateWorker(length time.Duration) {
	host := s.hosts[s.random.IntN(len(s.hosts))]
	s.workerUnreachableUntil[host.HostID] = s.now.Add(length)
	s.tracef("%s is unreachable for %s", host.HostID, length)
}

func (s *simulation) slowEndpoint(length time.Duration) {
	host := s.hosts[s.random.IntN(len(s.hosts))]
	if endpoint, ok := s.endpoints[host.HostID]; ok {
		endpoint.slowdown = 20
		s.after(length, func() { endpoint.slowdown = 1 })
	}
}

// endFaults ends all faults and restarts the nodes that do not run.
func (s *simulation) endFaults() {
	s.tracef("all faults end")
	s.faultsEnded = true
	s.tableDown = false
	s.faults = faultRates{}
	clear(s.partitioned)
	clear(s.workerUnreachableUntil)
	for _, n := range s.nodes {
		n.tableUnreachable = false
		n.pausedUntil = s.now
		if n.core == nil {
			s.restart(n)
		}
	}
	for _, endpoint := range s.endpoints {
		endpoint.slowdown = 1
	}
}
